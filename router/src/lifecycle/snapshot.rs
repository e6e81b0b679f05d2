//! What a router passes to the process that takes its place: one form, each field as plain data with ages, not times.
//!
//! A reader that lacks a field, or cannot use it, does as after a plain start. Encoded by position (postcard): fields are
//! neither reordered nor added or removed under one [`FORMAT_VERSION`].

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use ternpick::routing::EngineSnapshot;
use ternpick::types::{EndpointState, Micros, NodeId};
use ternpick_tenant_limits::LimitsSnapshot;

use crate::lifecycle::watch::{self, MalformedList};
use crate::router::{Decisions, Router};
use crate::stages::auth_filter::AuthFilter;

/// The form of the snapshot; another one is not read.
pub(crate) const FORMAT_VERSION: u16 = 2;

/// The terms that the engine is given where its own do not apply: they agree with none.
const FOREIGN_SETTINGS: &str = "settings of another router";

/// A document, and its age in microseconds.
type AgedDocument = (u64, String);

/// The state of a router.
#[derive(Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// [`FORMAT_VERSION`].
    pub(crate) format_version: u16,
    /// The endpoint list as discovery words it, with its version. Without it: the list of the configuration.
    pub(crate) endpoint_list: String,
    /// The numbers by which the engine's state names nodes, and the nodes' names.
    pub(crate) node_names: Vec<(u64, String)>,
    /// What the decision module has learnt.
    pub(crate) engine: EngineSnapshot,
    /// Limits of tenants. Without it: full bursts.
    pub(crate) limits: Option<LimitsSnapshot>,
    /// The set of keys as it was served, and its age in microseconds. Without it: none until the source answers.
    pub(crate) keys: Option<AgedDocument>,
    /// All revocations, and their age. Without it: none until the source answers, and no trust before.
    pub(crate) revocations: Option<AgedDocument>,
}

/// Why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SnapshotError {
    /// Not the encoding of a snapshot.
    #[error("{0}")]
    Encoding(#[from] postcard::Error),
    /// Of another form.
    #[error("form {0} is not known")]
    FormatVersion(u16),
    /// The endpoint list is not JSON.
    #[error("{0}")]
    EndpointListSyntax(#[from] serde_json::Error),
    /// The endpoint list cannot be used.
    #[error("{0}")]
    EndpointList(#[from] MalformedList),
    /// Identity does not accept the keys or the revocations.
    #[error("{0}")]
    Identity(String),
}

/// The endpoint list as discovery words it, and the names of its nodes by number.
struct ListedEndpoints {
    list: Value,
    node_names: Vec<(u64, String)>,
}

fn listed_endpoints(router: &Router) -> ListedEndpoints {
    let now = router.clock.now();
    let decisions = router.decisions.borrow();
    let mut entries = Vec::new();
    let mut node_names = Vec::new();
    for (id, name, address) in decisions.effects.nodes.all() {
        let Some(node) = decisions.engine.nodes.get(&id) else {
            continue;
        };
        let endpoint = &node.endpoint;
        // Discovery's own state: what operators take out is the fleet's, and the new process learns it from there.
        // Seen: a machine that was out at an upgrade never came back, the new process had it from discovery.
        let fleet = router.fleet.as_ref();
        let at_discovery = fleet.and_then(|fleet| fleet.discovery_state(name));
        let status = match at_discovery.unwrap_or(endpoint.state) {
            EndpointState::Ready => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Gone => continue,
        };
        // How long it has been up by this process's clock: the next one's may read another wall clock.
        let started_at = Some(node.started.by_local_clock).filter(|at| at.0 > 0);
        let age_ms = started_at.map(|at| now.since(at).0 / 1000);
        let zone_names = &decisions.effects.bounds.zone_names;
        let zone = zone_names.get(usize::from(endpoint.zone.0));
        entries.push(json!({"name": name, "address": address.to_string(), "zone": zone,
            "group": endpoint.shard_group.0, "status": status, "since_ms": endpoint.started_at.0 / 1000, "age_ms": age_ms}));
        node_names.push((id.0, name.to_owned()));
    }
    let version = router.discovery.list_version();
    ListedEndpoints {
        list: json!({"index": version, "snapshot": true, "endpoints": entries}),
        node_names,
    }
}

/// Whose state this is: the names that numbers of indexes and tenants stand for.
fn settings_suffix(router: &Router) -> String {
    let tenants = match &router.auth {
        Some(auth) => auth.tenant_names(),
        None => router.bounds.customer_names.clone(),
    };
    format!(" of {:?}", (&router.bounds.index_names, tenants))
}

/// The engine's terms without their owners.
struct ParsedSettings {
    settings: String,
    /// Whether the owners are this router's.
    is_own: bool,
}

/// Under other names a number means somebody else: what was learnt of one customer's index would be held against another's.
fn parse_settings(settings: Option<&str>, suffix: &str) -> ParsedSettings {
    match settings.and_then(|settings| settings.strip_suffix(suffix)) {
        Some(own) => ParsedSettings {
            settings: own.to_owned(),
            is_own: true,
        },
        None => ParsedSettings {
            settings: FOREIGN_SETTINGS.to_owned(),
            is_own: false,
        },
    }
}

impl Snapshot {
    /// The state of a router now.
    pub(crate) fn take(router: &Router) -> Snapshot {
        let ListedEndpoints { list, node_names } = listed_endpoints(router);
        let now = router.clock.now();
        let auth = router.auth.as_ref();
        let [keys, revocations] = auth.map_or([None, None], |auth| auth.known_documents(router));
        let mut decisions = router.decisions.borrow_mut();
        let limits = decisions.effects.limits.as_mut();
        let limits = limits.map(|limits| limits.snapshot(now));
        let mut engine = decisions.engine.snapshot(now);
        engine.settings = engine
            .settings
            .map(|settings| settings + &settings_suffix(router));
        Snapshot {
            format_version: FORMAT_VERSION,
            endpoint_list: list.to_string(),
            node_names,
            engine,
            limits,
            keys,
            revocations,
        }
    }

    /// Its encoding.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot of this form.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let snapshot: Snapshot = postcard::from_bytes(bytes)?;
        match snapshot.format_version {
            FORMAT_VERSION => Ok(snapshot),
            other => Err(SnapshotError::FormatVersion(other)),
        }
    }

    /// Applies it to a router that does not serve yet; returns the version of the endpoint list. Numbers of nodes become
    /// this process's own.
    pub(crate) fn apply(mut self, router: &Router) -> Result<u64, SnapshotError> {
        let list: Value = serde_json::from_str(&self.endpoint_list)?;
        let version = apply_list(router, &list)?;
        let nodes = self.engine.nodes.len();
        let applied = self.apply_to_engine(router, &list);
        if let Some(auth) = &router.auth {
            self.apply_to_identity(router, auth)?;
        }
        tracing::info!(
            nodes,
            applied,
            list_version = version,
            "hot restart: node statistics taken over"
        );
        Ok(version)
    }

    /// Applies what was learnt; returns of how many nodes.
    fn apply_to_engine(&mut self, router: &Router, list: &Value) -> usize {
        let now = router.clock.now();
        let mut decisions = router.decisions.borrow_mut();
        let decisions = &mut *decisions;
        apply_start_times(decisions, list, now);
        let Decisions { engine, effects } = decisions;
        let names: HashMap<u64, String> = self.node_names.drain(..).collect();
        let known = |id: &u64| effects.nodes.id_of(names.get(id)?);
        let nodes = std::mem::take(&mut self.engine.nodes);
        self.engine.nodes = nodes
            .into_iter()
            .filter_map(|(id, node)| Some((known(&id)?.0, node)))
            .collect();
        let own = parse_settings(self.engine.settings.as_deref(), &settings_suffix(router));
        self.engine.settings = Some(own.settings);
        let applied = engine.restore(now, &self.engine);
        if let (Some(limits), Some(snapshot)) = (&mut effects.limits, &self.limits) {
            if own.is_own {
                limits.restore(now, snapshot);
            }
        }
        applied
    }

    fn apply_to_identity(&self, router: &Router, auth: &AuthFilter) -> Result<(), SnapshotError> {
        let now = auth.now(router);
        let current_at = |age: u64| now.since(Micros(age));
        if let Some((age, text)) = &self.keys {
            auth.update_keys(current_at(*age), text.as_bytes())
                .map_err(|error| SnapshotError::Identity(error.to_string()))?;
        }
        if let Some((age, text)) = &self.revocations {
            auth.update_revocations(current_at(*age), text.as_bytes())
                .map_err(|error| SnapshotError::Identity(error.to_string()))?;
        }
        Ok(())
    }
}

fn apply_list(router: &Router, list: &Value) -> Result<u64, MalformedList> {
    // The watch goes on from this version, and is asked for as the list is applied.
    let version = list["index"].as_u64().unwrap_or(0);
    let before = router.discovery.list_version();
    router.discovery.set_list_version(version);
    if let Err(error) = watch::apply_endpoint_list(router, list) {
        router.discovery.set_list_version(before);
        return Err(error);
    }
    Ok(version)
}

fn apply_start_times(decisions: &mut Decisions, list: &Value, now: Micros) {
    for entry in list["endpoints"].as_array().into_iter().flatten() {
        let name = entry["name"].as_str();
        let id = name.and_then(|name| decisions.effects.nodes.id_of(name));
        let node = id.and_then(|id| decisions.engine.nodes.get_mut(&id));
        if let (Some(node), Some(age_ms)) = (node, entry["age_ms"].as_u64()) {
            node.started.by_local_clock = now.since(Micros(age_ms.saturating_mul(1000)));
        }
    }
}

/// The number of a node, as status and log print it.
pub(crate) fn format_node_id(id: NodeId) -> String {
    format!("{:x}", id.0)
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod release_bytes;
