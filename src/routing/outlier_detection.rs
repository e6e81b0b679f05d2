//! Outlier detection: what a node's own answers and failures show outweighs a load report that says better.
//!
//! The latency to expect of a node for an index has three parts: its smoothed answer latency, fading towards
//! the median within one latency objective; what its failures cost, fading within eight, since a router among
//! many hears from a node rarely; and the age of what is in flight to it. A node that is expected much later
//! than the median is suspected: its cost rises (`placement`). It is not ejected, since all others may be
//! worse. Covers hung, slow, paused and overloaded nodes, nodes that fail one index, slow links, and late,
//! frozen or untrue load reports. Hurts when the median node is the odd one out.

use crate::actions::Actions;
use crate::types::{
    AttemptOutcome, InFlightAttempt, IndexHealth, IndexNo, Micros, Node, NodeId, RetrySemantics,
};

use super::{smooth, RoutingEngine, RuleMatch, FAST_SMOOTHING};

#[cfg(test)]
mod tests;

/// A node is suspected when it answers so many times later than the median node.
const OUTLIER_RATIO: f64 = 2.5;
/// An answer within this share of the shortest latency objective delays no query, whatever the median.
const HARMLESS_OBJECTIVE_SHARE: f64 = 0.25;
/// Failures are remembered for so many of the shortest latency objective: routers may see them rarely.
const FAILURE_MEMORY_OBJECTIVES: f64 = 8.0;
/// Requests in flight at a node before their number shows in its answers: it has cores.
pub(super) const FREE_DEPTH: f64 = 2.0;

/// What one attempt's end says about its node.
struct Evidence {
    /// 1 for a failure, else 0.
    failure: f64,
    /// The time that the attempt lost, in microseconds.
    cost: f64,
    /// It shows the process down, and counts for every index.
    shows_process_down: bool,
}

impl RoutingEngine {
    /// Takes in an attempt's end. Refusals, lost connections and errors are one symptom, as bad as an answer
    /// as late as the shortest objective. What shows the process down counts for every index, an error only
    /// for its own, since a node may fail one index and serve the others.
    pub(super) fn record_outcome(
        &mut self,
        id: NodeId,
        index: IndexNo,
        latency: Micros,
        outcome: AttemptOutcome,
    ) {
        if outcome == AttemptOutcome::Broken {
            self.last_node_failure = Some(self.now);
        }
        let Some(evidence) = self.evidence(index, latency, outcome) else {
            return;
        };
        let now = self.now;
        let indexes = self.config.indexes.len();
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        if outcome == AttemptOutcome::Satisfied {
            node.latency = Some(smooth(node.latency, latency.0 as f64, FAST_SMOOTHING));
            node.latency_updated_at = now;
        }
        node.index_health.resize(indexes, IndexHealth::default());
        for (at, health) in node.index_health.iter_mut().enumerate() {
            if at == index.as_usize() || evidence.shows_process_down {
                update_health(health, &evidence, now);
            }
        }
        self.monitored.insert(id);
        self.statistics_are_stale = true;
    }

    /// `None` for an end that says nothing about the node.
    fn evidence(
        &self,
        index: IndexNo,
        latency: Micros,
        outcome: AttemptOutcome,
    ) -> Option<Evidence> {
        let objective_us = self.shortest_objective_us();
        let median = self.statistics.median_latency.unwrap_or(f64::MAX);
        let semantics = self.config.indexes[index.as_usize()].retry_semantics;
        let cost = match outcome {
            AttemptOutcome::Satisfied => 0.0,
            AttemptOutcome::Cancelled | AttemptOutcome::Unsent => return None,
            // Where it may be repeated: for the time that it took and another attempt's. A node that fails at
            // once does a part of its work, which others could not carry.
            AttemptOutcome::MayHaveRun if semantics != RetrySemantics::OnceOnly => {
                objective_us.min(latency.0 as f64 + median)
            }
            AttemptOutcome::MayHaveRun | AttemptOutcome::NeverRan | AttemptOutcome::Broken => {
                objective_us
            }
        };
        let failed = outcome != AttemptOutcome::Satisfied;
        Some(Evidence {
            failure: if failed { 1.0 } else { 0.0 },
            cost,
            shows_process_down: matches!(
                outcome,
                AttemptOutcome::NeverRan | AttemptOutcome::Broken
            ),
        })
    }

    /// The answer latency to expect of a node for an index, in microseconds: as smoothed, later by how often
    /// it failed that index, both fading, and no less than the age of what is in flight.
    pub(super) fn expected_latency(&self, node: &Node, index: IndexNo) -> f64 {
        let median = self.statistics.median_latency.unwrap_or(0.0);
        let memory = self.shortest_objective_us();
        let known = node.latency.unwrap_or(median);
        let latency = median + (known - median) * self.decay(node.latency_updated_at, memory);
        let failures = self.failure_cost(node, index, memory * FAILURE_MEMORY_OBJECTIVES);
        let age = node
            .all_in_flight(self.now)
            .map(|(attempt, until)| in_flight_age(node, attempt, until, index))
            .fold(0.0, f64::max);
        (latency + failures).max(age)
    }

    /// The predicted answer latency of a request that would be the last of so many more, in microseconds: the
    /// latency for each request goes on as it was, and the node answers no sooner than what is in flight is
    /// old.
    pub(super) fn predicted_latency(&self, node: &Node, index: IndexNo, more: f64) -> f64 {
        let depth = node.in_flight_cost() + more;
        // A node not heard from yet is no better than the median, and one that warms up is slower.
        let median = self.statistics.median_latency_per_request;
        let known = node
            .latency_per_request
            .unwrap_or(median / self.warm_share(node, self.now));
        // Failures are remembered briefly here, or a router that saw all nodes fail would reject for good.
        let failures = self.failure_cost(node, index, self.shortest_objective_us());
        let shown_in_flight = |(attempt, until): (&InFlightAttempt, Micros)| {
            in_flight_age(node, attempt, until, index) / (attempt.depth_when_sent + FREE_DEPTH)
        };
        node.all_in_flight(self.now)
            .map(shown_in_flight)
            .fold(known, f64::max)
            * (depth + FREE_DEPTH)
            + failures
    }

    /// How much of an opinion is left, of 1; it falls to 1/e within `memory` microseconds.
    fn decay(&self, since: Micros, memory: f64) -> f64 {
        (-(self.now.since(since).0 as f64) / memory).exp()
    }

    /// How much later its failures make a node, in microseconds.
    fn failure_cost(&self, node: &Node, index: IndexNo, memory: f64) -> f64 {
        let health = node.health(index);
        health.failure_cost * self.decay(health.updated_at, memory)
    }

    /// How many times later than the median a node is expected for an index, if that makes it an outlier.
    pub(super) fn outlier_ratio(&self, node: &Node, index: IndexNo) -> Option<f64> {
        let median = self.statistics.median_latency?.max(1.0);
        let expected = self.expected_latency(node, index);
        let harmless = self.shortest_objective_us() * HARMLESS_OBJECTIVE_SHARE;
        (expected > (OUTLIER_RATIO * median).max(harmless)).then_some(expected / median)
    }

    pub(super) fn suspicion_has_changed(&self) -> Option<RuleMatch> {
        self.monitored_nodes().find_map(|node| {
            let outlier_for = self.first_outlier_index(node);
            if outlier_for.is_some() == node.suspected_for.is_some() {
                return None;
            }
            Some(RuleMatch {
                index: outlier_for.or(node.suspected_for)?,
                node: node.endpoint.node,
                ..RuleMatch::default()
            })
        })
    }

    fn first_outlier_index(&self, node: &Node) -> Option<IndexNo> {
        (0..self.config.indexes.len() as u8)
            .map(IndexNo)
            .find(|index| self.outlier_ratio(node, *index).is_some())
    }

    pub(super) fn change_suspicion(&mut self, found: RuleMatch, out: &mut dyn Actions) {
        let Some(node) = self.nodes.get(&found.node) else {
            return;
        };
        let index = found.index;
        let becomes_suspected = node.suspected_for.is_none();
        let change = if becomes_suspected {
            "suspected"
        } else {
            "trusted again"
        };
        let expected_ms = self.expected_latency(node, index) / 1e3;
        let median_ms = self.statistics.median_latency.unwrap_or(0.0) / 1e3;
        let failing = node.health(index).failure_rate * 100.0;
        out.log(&format!(
            "node {:x} {change}: expected latency {expected_ms:.0} ms, median {median_ms:.0} ms, \
             failure rate {failing:.0}%",
            found.node.0
        ));
        if let Some(node) = self.nodes.get_mut(&found.node) {
            node.suspected_for = becomes_suspected.then_some(index);
        }
    }
}

fn update_health(health: &mut IndexHealth, evidence: &Evidence, now: Micros) {
    health.failure_rate = smooth(Some(health.failure_rate), evidence.failure, FAST_SMOOTHING);
    health.failure_cost = smooth(Some(health.failure_cost), evidence.cost, FAST_SMOOTHING);
    health.updated_at = now;
    if evidence.failure == 0.0 {
        health.last_answer = now;
    }
}

/// The age of an attempt as far as it is known, in microseconds. It counts from the node's last answer: a
/// lost answer is not a hung node.
fn in_flight_age(node: &Node, attempt: &InFlightAttempt, until: Micros, index: IndexNo) -> f64 {
    let last_sign = attempt.sent_at.max(node.health(index).last_answer);
    until.since(last_sign).0 as f64
}
