//! Health checks and load reports. Where only answers to health checks carry load reports, each node in use is
//! checked once per second.

use crate::actions::Actions;
use crate::types::{LoadMetric, LoadReporting, Micros, Node, NodeId};

use super::{smooth, RoutingEngine, RuleMatch, FAST_SMOOTHING};

#[cfg(test)]
mod tests;

/// The interval between two health checks of a node, and the time for which a node counts as in use after an attempt
/// was sent to it.
const HEALTH_CHECK_INTERVAL: Micros = Micros(1_000_000);

impl RoutingEngine {
    /// Handles the end of a health check; `report` is empty if the check failed.
    ///
    /// A failed health check does not count against the node: health checks time out and are rejected sooner than
    /// attempts, so a failure shows nothing that an attempt would not. A successful one only provides the load
    /// report and does not make the node trusted: a hung node still answers health checks promptly.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        node: NodeId,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.record_load_report(node, report);
        self.run_rules(out);
    }

    pub(super) fn health_check_is_due(&self) -> Option<RuleMatch> {
        if self.config.load_reporting != LoadReporting::InHealthChecks || !self.config.health_checks
        {
            return None;
        }
        let is_recent = |at: Micros| self.now.since(at) < HEALTH_CHECK_INTERVAL;
        let is_used = |node: &Node| {
            let last_send = node.recent_sends.back();
            !node.in_flight.is_empty() || last_send.is_some_and(|send| is_recent(send.sent_at))
        };
        let is_due =
            |node: &&Node| is_used(node) && node.last_health_check.is_none_or(|at| !is_recent(at));
        self.monitored_nodes()
            .find(is_due)
            .map(|node| RuleMatch::of_node(node.endpoint.node))
    }

    pub(super) fn send_health_check(&mut self, found: RuleMatch, out: &mut dyn Actions) {
        if let Some(node) = self.nodes.get_mut(&found.node) {
            node.last_health_check = Some(self.now);
        }
        out.check_health(found.node);
    }

    /// Records a load report, which has one figure for each configured metric, in their order. An empty report,
    /// from a failed check or an answer without a report, changes nothing.
    pub(super) fn record_load_report(&mut self, id: NodeId, report: &[f64]) {
        let metrics = &self.config.load_metrics;
        // A figure that is negative or not a finite number is ignored.
        let is_valid = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        let position = |wanted: LoadMetric| metrics.iter().position(|metric| *metric == wanted);
        let read = |wanted: LoadMetric| report.get(position(wanted)?).copied().filter(is_valid);
        let latency = read(LoadMetric::LatencyMs);
        let load = latency.or(read(LoadMetric::Queue));
        let rate = read(LoadMetric::Rate);
        // Work takes time, so a latency of zero is invalid, and the node's earlier reports are discarded too.
        let is_invalid = latency == Some(0.0);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.reported_load = load
            .map(|load| smooth(node.reported_load, load, FAST_SMOOTHING))
            .or(node.reported_load)
            .filter(|_| !is_invalid);
        node.max_reported_rate = node.max_reported_rate.max(rate.unwrap_or(0.0));
        self.statistics_are_stale = true;
    }
}
