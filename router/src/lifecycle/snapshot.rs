//! What a router passes to the process that takes its place: one form, each field as plain data with ages, not times.
//! A reader that lacks a field, or cannot use it, does as after a plain start.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use ternpick::routing::EngineSnapshot;
use ternpick::types::{EndpointState, Micros, NodeId};
use ternpick_tenant_limits::Counted;

use crate::lifecycle::watch;
use crate::router::Router;

/// The form of the snapshot; another one is not read.
pub const FORM: u16 = 2;

#[derive(Serialize, Deserialize)]
pub struct Snapshot {
    pub form: u16,
    /// The roster as discovery words it, with its version. Without it: the list of the configuration.
    pub roster: String,
    /// The numbers that beliefs name nodes by, and the nodes' names.
    pub names: Vec<(u64, String)>,
    pub beliefs: EngineSnapshot,
    /// Limits of tenants. Without it: full bursts.
    pub limits: Option<Counted>,
    /// The set of keys as it was served, and its age in microseconds. Without it: none until the source is heard.
    pub keys: Option<(u64, String)>,
    /// All revocations, and their age. Without it: none until the source is heard, and no trust before.
    pub revocations: Option<(u64, String)>,
}

fn roster(router: &Router) -> (Value, Vec<(u64, String)>) {
    let (now, desk) = (router.clock.now(), router.decisions.borrow());
    let (mut entries, mut names) = (Vec::new(), Vec::new());
    for (id, name, address) in desk.effects.nodes.all() {
        let Some(node) = desk.engine.nodes.get(&id) else {
            continue;
        };
        let listing = &node.endpoint;
        // Discovery's own word: what operators take out is the fleet's, and the new process hears it from there.
        // Seen: a machine that was out at an upgrade never came back, the new process had it from discovery.
        let own = router
            .fleet
            .as_ref()
            .and_then(|fleet| fleet.discovery_says(name));
        let status = match own.unwrap_or(listing.state) {
            EndpointState::Ready => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Gone => continue,
        };
        // How long it has been up by this process's clock: the next one's may read another wall clock.
        let age = Some(node.started.at)
            .filter(|at| at.0 > 0)
            .map(|at| now.since(at).0 / 1000);
        let zone = desk
            .effects
            .bounds
            .zone_names
            .get(usize::from(listing.zone.0));
        entries.push(json!({"name": name, "address": address.to_string(), "zone": zone,
            "group": listing.shard_group.0, "status": status, "since_ms": listing.started_at.0 / 1000, "age_ms": age}));
        names.push((id.0, name.to_owned()));
    }
    (
        json!({"index": router.discovery.list_version(), "snapshot": true, "endpoints": entries}),
        names,
    )
}

/// Whose beliefs these are: the names that numbers of indexes and tenants stand for.
fn owners(router: &Router) -> String {
    let tenants = router.auth.as_ref().map_or_else(
        || router.bounds.customer_names.clone(),
        |gate| gate.customers(),
    );
    format!(" of {:?}", (&router.bounds.index_names, tenants))
}

/// What beliefs rest on without whose they are, and whether they are this router's own. Under other names a number means
/// somebody else: what was learnt of one customer's index would be held against another's.
fn own_terms(terms: Option<&str>, owners: &str) -> (String, bool) {
    match terms.and_then(|terms| terms.strip_suffix(owners)) {
        Some(own) => (own.to_owned(), true),
        None => ("somebody else's".to_owned(), false),
    }
}

impl Snapshot {
    pub fn take(router: &Router) -> Snapshot {
        let (roster, names) = roster(router);
        let now = router.clock.now();
        let [keys, revocations] = router
            .auth
            .as_ref()
            .map_or([None, None], |gate| gate.kept(router));
        let mut desk = router.decisions.borrow_mut();
        let limits = desk
            .effects
            .limits
            .as_mut()
            .map(|limits| limits.counted(now));
        let mut beliefs = desk.engine.snapshot(now);
        beliefs.terms = beliefs.terms.map(|terms| terms + &owners(router));
        Snapshot {
            form: FORM,
            roster: roster.to_string(),
            names,
            beliefs,
            limits,
            keys,
            revocations,
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn parse(bytes: &[u8]) -> Result<Snapshot, String> {
        let snapshot: Snapshot = postcard::from_bytes(bytes).map_err(|e| e.to_string())?;
        match snapshot.form {
            FORM => Ok(snapshot),
            other => Err(format!("form {other} is not known")),
        }
    }

    /// Takes it in; tells the version of the roster. Numbers of nodes are this process's own.
    pub fn apply(mut self, router: &Router) -> Result<u64, String> {
        let roster: Value = serde_json::from_str(&self.roster).map_err(|e| e.to_string())?;
        // The watch goes on from this version, and is asked for as the list is taken in.
        let version = roster["index"].as_u64().unwrap_or(0);
        let before = router.discovery.list_version();
        router.discovery.set_list_version(version);
        watch::take_list(router, &roster).map_err(|what| {
            router.discovery.set_list_version(before);
            what.to_owned()
        })?;
        let names: HashMap<u64, String> = self.names.into_iter().collect();
        let now = router.clock.now();
        let (nodes, taken) = {
            let mut desk = router.decisions.borrow_mut();
            let crate::router::Decisions {
                engine: brain,
                effects: office,
            } = &mut *desk;
            for entry in roster["endpoints"].as_array().into_iter().flatten() {
                let of = entry["name"]
                    .as_str()
                    .and_then(|name| office.nodes.number(name));
                let node = of.and_then(|id| brain.nodes.get_mut(&id));
                if let (Some(node), Some(age)) = (node, entry["age_ms"].as_u64()) {
                    node.started.at = now.since(Micros(age.saturating_mul(1000)));
                }
            }
            let known = |id: &u64| office.nodes.number(names.get(id)?);
            let nodes = std::mem::take(&mut self.beliefs.nodes);
            let count = nodes.len();
            self.beliefs.nodes = nodes
                .into_iter()
                .filter_map(|(id, belief)| Some((known(&id)?.0, belief)))
                .collect();
            let (terms, own) = own_terms(self.beliefs.terms.as_deref(), &owners(router));
            self.beliefs.terms = Some(terms);
            let taken = brain.believe(now, &self.beliefs);
            if let (Some(limits), Some(counted), true) = (&mut office.limits, &self.limits, own) {
                limits.go_on(now, counted);
            }
            (count, taken)
        };
        if let Some(gate) = &router.auth {
            let now = gate.now(router);
            let then = |age: u64| now.since(Micros(age));
            if let Some((age, text)) = &self.keys {
                gate.told_of_keys(then(*age), text.as_bytes())?;
            }
            if let Some((age, text)) = &self.revocations {
                gate.told_of_revocations(then(*age), text.as_bytes())?;
            }
        }
        tracing::info!(
            "upgrade: beliefs of {taken} of {nodes} nodes are taken over, roster version {version}"
        );
        Ok(version)
    }
}

/// The number of a node, for status.
pub fn number(id: NodeId) -> String {
    format!("{:x}", id.0)
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod release_bytes;
