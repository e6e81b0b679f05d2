//! Applies endpoint lists to the node table and the routing engine: those of discovery, of the configuration and of a
//! snapshot.

use serde_json::Value;
use ternpick::routing::RoutingEngine;
use ternpick::types::{Endpoint, EndpointState};
use ternpick_wire::discovery;

use crate::router::Router;
use crate::stages::completion::EffectQueue;

/// An endpoint list is not valid.
#[derive(Debug, thiserror::Error)]
#[error("{reason}")]
pub(crate) struct MalformedList {
    pub(super) reason: String,
}

/// Applies an endpoint list: addresses to the router's node table, everything else to the routing engine. Returns its
/// version.
pub(crate) fn apply_endpoint_list(router: &Router, list: &Value) -> Result<u64, MalformedList> {
    let (version, complete) = discovery::version(list).map_err(|error| MalformedList {
        reason: error.to_string(),
    })?;
    let entries = list["endpoints"].as_array().map_or(&[][..], Vec::as_slice);
    router.apply(|engine, now, effects| {
        let endpoints: Vec<Endpoint> = entries
            .iter()
            .filter_map(|entry| apply_entry(router, engine, effects, entry, complete))
            .collect();
        if complete {
            let listed: Vec<_> = endpoints.iter().map(|endpoint| endpoint.node).collect();
            effects.nodes.retire_unlisted(&listed);
            keep_only_in_fleet(router, entries);
        }
        let gone = endpoints
            .iter()
            .filter(|endpoint| endpoint.state == EndpointState::Gone)
            .count();
        let entries = endpoints.len();
        tracing::debug!(version, entries, gone, "endpoint list applied");
        engine.endpoints_changed(now, &endpoints, complete, effects);
        effects.nodes.forget_gone();
    });
    Ok(version)
}

/// Applies an entry of the list and returns it as an endpoint for the routing engine; none if it is not valid.
fn apply_entry(
    router: &Router,
    engine: &RoutingEngine,
    effects: &mut EffectQueue,
    entry: &Value,
    complete: bool,
) -> Option<Endpoint> {
    match discovery::parse_entry(entry, &effects.bounds.zone_names) {
        Ok((name, address, mut endpoint)) => {
            if let Some(fleet) = &router.fleet {
                fleet.endpoint_listed(&name, &mut endpoint);
            }
            let (node, address_is_new) = effects.nodes.apply_entry(&name, address, endpoint.state);
            endpoint.node = node;
            // Logged because the routing engine's log lines name nodes by these ids.
            if address_is_new {
                let node = format_args!("{:x}", node.0);
                tracing::info!(%node, name, %address, "endpoint list: node at a new address");
            }
            Some(endpoint)
        }
        Err(error) => {
            tracing::warn!(%error, %entry, "endpoint list: entry skipped");
            // An invalid entry of a complete list does not remove the node that it names: the node keeps its endpoint.
            let name = entry["name"].as_str().filter(|_| complete)?;
            let node = engine.nodes.get(&effects.nodes.id_of(name)?)?;
            Some(node.endpoint)
        }
    }
}

fn keep_only_in_fleet(router: &Router, entries: &[Value]) {
    let Some(fleet) = &router.fleet else {
        return;
    };
    let names = entries
        .iter()
        .filter_map(|entry| entry["name"].as_str())
        .collect();
    fleet.retain_listed_endpoints(&names);
}
