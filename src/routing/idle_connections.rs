//! Detection of idle connections that are dropped silently: a device on the network path discards them without
//! notifying either end, and whatever is sent on such a connection is lost.
//!
//! An attempt sent after an idle time of more than the shortest latency objective counts as lost if it is late for
//! its node. While the loss rate is too high, attempts after such an idle time use a new connection. This is only
//! done for a limited time, since a handshake costs nodes work and a connect may reach a hung node.

use crate::actions::Actions;
use crate::types::{InFlightAttempt, Micros, Node, NodeId};

use super::retry::LATE_FACTOR;
use super::{smooth, RoutingEngine, RuleMatch, SLOW_SMOOTHING};

#[cfg(test)]
mod tests;

/// The time for which idle connections are distrusted, in multiples of the shortest latency objective.
const DISTRUST_OBJECTIVES: f64 = 16.0;
/// The share of lost attempts on idle connections above which such connections are distrusted: more than a slow node
/// causes.
const LOSS_RATE_LIMIT: f64 = 0.15;

impl RoutingEngine {
    /// Returns whether an attempt to a node is sent on an idle connection. While idle connections are distrusted,
    /// closes those of the node, so that the attempt is sent on a new one.
    pub(super) fn uses_idle_connection(&self, to: NodeId, out: &mut dyn Actions) -> bool {
        let idle_time = self
            .nodes
            .get(&to)
            .map_or(Micros(0), |node| node.idle_time(self.now));
        let is_idle = idle_time.0 as f64 > self.shortest_objective_us();
        if is_idle && self.idle_distrusted_since.is_some() {
            out.close_idle_connections(to);
            return false;
        }
        is_idle
    }

    /// Finds a node at which an attempt on an idle connection is late.
    pub(super) fn idle_connection_was_lost(&self) -> Option<RuleMatch> {
        let median = self.statistics.median_latency?;
        let late_after = |node: &Node| {
            Micros(node.latency.unwrap_or(median).max(median) as u64).times(LATE_FACTOR)
        };
        let is_lost = |node: &&Node| {
            attempt_on_idle_connection(node)
                .is_some_and(|attempt| self.now.since(attempt.sent_at) > late_after(node))
        };
        self.monitored_nodes()
            .find(is_lost)
            .map(|node| RuleMatch::of_node(node.endpoint.node))
    }

    pub(super) fn count_lost_idle_connection(&mut self, found: RuleMatch, out: &mut dyn Actions) {
        let Some(node) = self.nodes.get_mut(&found.node) else {
            return;
        };
        node.attempt_on_idle_connection = None;
        self.idle_loss_rate = smooth(Some(self.idle_loss_rate), 1.0, SLOW_SMOOTHING);
        if self.idle_loss_rate > LOSS_RATE_LIMIT && self.idle_distrusted_since.is_none() {
            self.idle_distrusted_since = Some(self.now);
            let percent = self.idle_loss_rate * 100.0;
            out.log(&format!(
                "idle connections no longer used, {percent:.0}% of attempts on them lost"
            ));
        }
    }

    pub(super) fn idle_distrust_is_over(&self) -> Option<RuleMatch> {
        let distrust_us = self.shortest_objective_us() * DISTRUST_OBJECTIVES;
        let is_over = |since: &Micros| self.now.since(*since).0 as f64 > distrust_us;
        self.idle_distrusted_since
            .filter(is_over)
            .map(|_| RuleMatch::default())
    }

    pub(super) fn trust_idle_connections(&mut self, _: RuleMatch, out: &mut dyn Actions) {
        self.idle_distrusted_since = None;
        self.idle_loss_rate = LOSS_RATE_LIMIT / 2.0;
        out.log("idle connections used again");
    }
}

fn attempt_on_idle_connection(node: &Node) -> Option<&InFlightAttempt> {
    let key = node.attempt_on_idle_connection.as_ref()?;
    node.in_flight.get(key)
}
