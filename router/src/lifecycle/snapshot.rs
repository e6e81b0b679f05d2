//! The snapshot of its state that the old process of a hot restart passes to the new one. The fields are plain data,
//! with ages instead of times.
//!
//! If a field is absent or unusable, the new process behaves as after a start without a snapshot. Postcard encodes the
//! fields by position: they must not be reordered, added or removed under the same [`FORMAT_VERSION`].

use std::collections::HashMap;

use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use ternpick::routing::EngineSnapshot;
use ternpick::types::{EndpointState, Micros, NodeId};
use ternpick_tenant_limits::LimitsSnapshot;

use crate::lifecycle::endpoint_list::{apply_endpoint_list, MalformedList};
use crate::router::{Decisions, Router};
use crate::stages::auth_filter::AuthFilter;

/// The format version of the snapshot. Snapshots of other versions are rejected.
pub(crate) const FORMAT_VERSION: u16 = 2;

/// The settings passed to the engine if those in the snapshot do not apply to this router. They equal no engine's
/// settings.
const FOREIGN_SETTINGS: &str = "settings of another router";

/// A document, and its age in microseconds.
type AgedDocument = (u64, String);

/// The state of a router.
#[derive(Serialize, Deserialize)]
pub(crate) struct Snapshot {
    /// [`FORMAT_VERSION`].
    pub(crate) format_version: u16,
    /// The endpoint list in discovery's format, with its version. If unusable: the list of the configuration.
    pub(crate) endpoint_list: String,
    /// The node ids used in the engine snapshot, and the nodes' names.
    pub(crate) node_names: Vec<(u64, String)>,
    /// The engine snapshot.
    pub(crate) engine: EngineSnapshot,
    /// The state of the tenants' limits. If absent: each tenant starts with a full burst.
    pub(crate) limits: Option<LimitsSnapshot>,
    /// The key set as its source served it, and its age in microseconds. If absent: no keys until the source answers.
    pub(crate) keys: Option<AgedDocument>,
    /// All revocations, and their age in microseconds. If absent: none, and no caller is trusted, until the source
    /// answers.
    pub(crate) revocations: Option<AgedDocument>,
}

/// Why a snapshot cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum SnapshotError {
    /// The bytes do not decode as a snapshot.
    #[error("{0}")]
    Encoding(#[from] postcard::Error),
    /// The snapshot has another format version.
    #[error("snapshot format version {0} is not supported, expected {FORMAT_VERSION}")]
    FormatVersion(u16),
    /// The endpoint list is not JSON.
    #[error("{0}")]
    EndpointListSyntax(#[from] serde_json::Error),
    /// The endpoint list cannot be used.
    #[error("{0}")]
    EndpointList(#[from] MalformedList),
    /// The identity module rejects the keys or the revocations.
    #[error("{0}")]
    Identity(String),
}

/// The endpoint list in discovery's format, and the names of its nodes by id.
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
        // The list has the state from discovery, without the fleet's maintenance states: the new process learns those
        // from the fleet. When the list had them, a machine that was out for maintenance during an upgrade never
        // returned to service, because the new process took its state for discovery's.
        let fleet = router.fleet.as_ref();
        let discovery_state = fleet.and_then(|fleet| fleet.discovery_state(name));
        let status = match discovery_state.unwrap_or(endpoint.state) {
            EndpointState::Ready => "Ready",
            EndpointState::Draining => "Terminating",
            EndpointState::Gone => continue,
        };
        // The node's uptime by this process's clock: the new process's clock may have started from another wall clock
        // time.
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

/// Returns the suffix of the engine's settings that names the router's indexes and tenants, in the order of their ids.
fn settings_suffix(router: &Router) -> String {
    let tenants = match &router.auth {
        Some(auth) => auth.tenant_names(),
        None => router.bounds.customer_names.clone(),
    };
    format!(" of {:?}", (&router.bounds.index_names, tenants))
}

/// The engine's settings from a snapshot, without the names of indexes and tenants.
struct ParsedSettings {
    settings: String,
    /// Whether the names are those of this router.
    is_own: bool,
}

/// Removes the suffix with this router's names. With other names, the same ids mean other indexes and tenants, and
/// statistics of one tenant's index would be applied to another's; then the result is [`FOREIGN_SETTINGS`].
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
    /// Takes a snapshot of a router's current state.
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

    /// Encodes the snapshot.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a snapshot of the current format version.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
        let snapshot: Snapshot = postcard::from_bytes(bytes)?;
        match snapshot.format_version {
            FORMAT_VERSION => Ok(snapshot),
            other => Err(SnapshotError::FormatVersion(other)),
        }
    }

    /// Applies the snapshot to a router that does not serve yet, and returns the version of the endpoint list. Node ids
    /// are mapped to those of this process.
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

    /// Applies the engine snapshot and the limits. Returns the number of nodes whose statistics were applied.
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
    // Set before the list is applied: applying it may request the watch, which continues from this version.
    let version = list["index"].as_u64().unwrap_or(0);
    let previous_version = router.discovery.list_version();
    router.discovery.set_list_version(version);
    if let Err(error) = apply_endpoint_list(router, list) {
        router.discovery.set_list_version(previous_version);
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

/// Formats a node id as in the status and the log.
pub(crate) fn format_node_id(id: NodeId) -> String {
    format!("{:x}", id.0)
}

#[cfg(test)]
mod tests;

#[cfg(test)]
mod release_bytes;
