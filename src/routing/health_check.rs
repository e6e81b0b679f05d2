//! Health checks and load reports. Where only health checks bring reports, each node in use is checked once a
//! second.

use crate::actions::Actions;
use crate::types::{LoadMetric, LoadReporting, Micros, Node, NodeId};

use super::{smooth, RoutingEngine, RuleMatch, FAST_SMOOTHING};

#[cfg(test)]
mod tests;

/// The pause between two health checks of a node, and how long a node counts as in use after a send.
const HEALTH_CHECK_INTERVAL: Micros = Micros(1_000_000);

impl RoutingEngine {
    /// A health check was answered. One that fails says nothing that an attempt would not: it times out
    /// sooner and is rejected sooner. One that succeeds brings the load report and no trust: a hung node
    /// answers health checks promptly.
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
            !node.in_flight.is_empty() || last_send.is_some_and(|send| is_recent(send.at))
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

    /// Takes in a load report: a figure for each configured metric, in their order. An empty one, from a
    /// check that failed or an answer without report, changes nothing.
    pub(super) fn record_load_report(&mut self, id: NodeId, report: &[f64]) {
        let metrics = &self.config.load_metrics;
        // A figure that is not a number, or negative, says nothing.
        let is_valid = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        let position = |wanted: LoadMetric| metrics.iter().position(|metric| *metric == wanted);
        let read = |wanted: LoadMetric| report.get(position(wanted)?).copied().filter(is_valid);
        let latency = read(LoadMetric::LatencyMs);
        let load = latency.or(read(LoadMetric::Queue));
        let rate = read(LoadMetric::Rate);
        // Work takes time: a latency of zero is no report, and what came before it is not believed either.
        let is_untrue = latency == Some(0.0);
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        node.reported_load = load
            .map(|load| smooth(node.reported_load, load, FAST_SMOOTHING))
            .or(node.reported_load)
            .filter(|_| !is_untrue);
        node.max_reported_rate = node.max_reported_rate.max(rate.unwrap_or(0.0));
        self.statistics_are_stale = true;
    }
}
