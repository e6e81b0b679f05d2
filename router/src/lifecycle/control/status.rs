//! The status of a router for `ternpick status`. Operators' scripts read the JSON keys, so the keys must not change.

use serde_json::{json, Value};
use ternpick::types::Micros;

use super::Control;
use crate::lifecycle::snapshot;
use crate::router::{Decisions, Router};

/// Returns the router's status as JSON.
pub(super) fn status(router: &Router, control: &Control) -> Value {
    let now = router.clock.now();
    let decisions = router.decisions.borrow();
    let effects = &decisions.effects;
    let restart = control.upgrades.machine.borrow();
    let limits = effects
        .limits
        .as_ref()
        .map(|limits| json!({"limit": limits.limit(), "in_hand": limits.in_flight()}));
    json!({
        "name": control.name,
        "version": env!("CARGO_PKG_VERSION"),
        "process": std::process::id(),
        "step": restart.step_name(),
        "upgrades_begun": control.upgrades.begun.get(),
        "accepts": router.listener.is_accepting(),
        "stopping": router.is_stopping(),
        "lookups": effects.in_flight.query_count(),
        "held": effects.in_flight.load(),
        "taken": effects.counts.admitted,
        "satisfied": effects.counts.satisfied,
        "nacked": effects.counts.rejected,
        "aborted": effects.counts.failed,
        "clients": router.descriptors.clients(),
        "descriptors": router.descriptors.held(),
        "descriptors_may": router.descriptors.total(),
        "memory_held": router.budget.used(),
        "roster_version": router.discovery.list_version(),
        "nodes": nodes(&decisions, now),
        "identity": router.auth.as_ref().map(|auth| auth.status(router)),
        "limits": limits,
        "fleet": router.fleet.as_ref().map(|fleet| fleet.status(&decisions.engine, now)),
    })
}

fn nodes(decisions: &Decisions, now: Micros) -> Vec<Value> {
    let effects = &decisions.effects;
    let rows = effects.nodes.all().filter_map(|(id, name, address)| {
        let node = decisions.engine.nodes.get(&id)?;
        // Microseconds to milliseconds, rounded to two decimal places.
        let latency_ms = node.latency.map(|micros| (micros / 10.0).round() / 100.0);
        let suspected_index = node
            .suspected_for
            .and_then(|index| effects.bounds.index_names.get(index.as_usize()));
        let seen_ms_ago = node
            .latency
            .map(|_| now.since(node.latency_updated_at).0 / 1000);
        Some(json!({
            "node": snapshot::format_node_id(id),
            "name": name,
            "address": address.to_string(),
            "phase": format!("{:?}", node.endpoint.state).to_lowercase(),
            "latency_ms": latency_ms,
            "report": node.reported_load,
            "parts_out": node.in_flight.len(),
            "doubted": suspected_index,
            "seen_ms_ago": seen_ms_ago,
        }))
    });
    rows.collect()
}
