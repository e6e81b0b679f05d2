//! Outlier detection: a node's observed answers and failures outweigh a load report that looks better.
//!
//! The expected latency of a node for an index is derived from its smoothed answer latency, which decays towards
//! the median within one latency objective; from the cost of its failures, which decays within eight, since a
//! router among many rarely gets an answer from a given node; and from the age of the attempts in flight to it. A
//! node whose expected latency is much higher than the median is suspected: its cost rises (`placement`). It is
//! not ejected, since all other nodes may be worse.
//!
//! This covers hung, slow, paused and overloaded nodes, nodes that fail one index, slow links, and late, frozen or
//! false load reports. It does harm when the median node is itself abnormal.

use crate::actions::Actions;
use crate::types::{
    AttemptOutcome, InFlightAttempt, IndexHealth, IndexNo, Micros, Node, NodeId, RetrySemantics,
};

use super::{smooth, RoutingEngine, RuleMatch, FAST_SMOOTHING};

#[cfg(test)]
mod tests;

/// The ratio of a node's expected latency to the median above which the node is suspected.
const OUTLIER_RATIO: f64 = 2.5;
/// The share of the shortest latency objective within which an answer delays no query, regardless of the median.
const HARMLESS_OBJECTIVE_SHARE: f64 = 0.25;
/// The time constant with which failures decay, in multiples of the shortest latency objective. It is long because a
/// router may see failures rarely.
const FAILURE_MEMORY_OBJECTIVES: f64 = 8.0;
/// The number of requests in flight at a node that do not yet affect its answer latency, since it has several cores.
pub(super) const FREE_DEPTH: f64 = 2.0;

/// The evidence about a node from the end of one attempt.
struct Evidence {
    /// 1 for a failure, otherwise 0.
    failure: f64,
    /// The time that the attempt lost, in microseconds.
    cost: f64,
    /// Whether it shows that the process is down, so that it counts for every index.
    shows_process_down: bool,
}

impl RoutingEngine {
    /// Records the end of an attempt in the statistics of its node. Refusals, lost connections and errors are
    /// treated alike, as bad as an answer that takes the shortest latency objective. An outcome that shows that
    /// the process is down counts for every index. An error counts only for its own index, since a node may fail
    /// one index and serve the others.
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
        for (position, health) in node.index_health.iter_mut().enumerate() {
            if position == index.as_usize() || evidence.shows_process_down {
                update_health(health, &evidence, now);
            }
        }
        self.monitored.insert(id);
        self.statistics_are_stale = true;
    }

    /// Returns the evidence about the node, or `None` if the outcome says nothing about it.
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
            // If a retry is allowed, the cost is the time of this attempt plus that of another one. A node that
            // fails fast still serves part of its load, which the other nodes could not take over.
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

    /// Returns the expected answer latency of a node for an index, in microseconds: the smoothed latency plus the
    /// cost of its failures for the index, both decaying, but at least the age of any attempt in flight.
    pub(super) fn expected_latency(&self, node: &Node, index: IndexNo) -> f64 {
        let median = self.statistics.median_latency.unwrap_or(0.0);
        let time_constant_us = self.shortest_objective_us();
        let known = node.latency.unwrap_or(median);
        let latency =
            median + (known - median) * self.decay(node.latency_updated_at, time_constant_us);
        let failures = self.failure_cost(node, index, time_constant_us * FAILURE_MEMORY_OBJECTIVES);
        let age = node
            .all_in_flight(self.now)
            .map(|(attempt, until)| in_flight_age(node, attempt, until, index))
            .fold(0.0, f64::max);
        (latency + failures).max(age)
    }

    /// Returns the predicted answer latency of a planned request, in microseconds, where this request and those
    /// planned before it add `added_cost` to what is in flight to the node. The latency per request is assumed to
    /// stay the same, and to be no lower than the ages of the attempts in flight imply.
    pub(super) fn predicted_latency(&self, node: &Node, index: IndexNo, added_cost: f64) -> f64 {
        let depth = node.in_flight_cost() + added_cost;
        // A node that has not answered yet counts as the median node, and as slower while it is warming up.
        let median = self.statistics.median_latency_per_request;
        let known = node
            .latency_per_request
            .unwrap_or(median / self.warm_share(node, self.now));
        // Failures decay fast here; otherwise a router that saw all nodes fail would never admit queries again.
        let failures = self.failure_cost(node, index, self.shortest_objective_us());
        let latency_per_request_in_flight = |(attempt, until): (&InFlightAttempt, Micros)| {
            in_flight_age(node, attempt, until, index) / (attempt.depth_when_sent + FREE_DEPTH)
        };
        node.all_in_flight(self.now)
            .map(latency_per_request_in_flight)
            .fold(known, f64::max)
            * (depth + FREE_DEPTH)
            + failures
    }

    /// Returns the remaining weight of an observation made at `since`, at most 1. It falls to 1/e within
    /// `time_constant_us`.
    fn decay(&self, since: Micros, time_constant_us: f64) -> f64 {
        (-(self.now.since(since).0 as f64) / time_constant_us).exp()
    }

    /// Returns the decayed cost of a node's failures for an index, in microseconds.
    fn failure_cost(&self, node: &Node, index: IndexNo, time_constant_us: f64) -> f64 {
        let health = node.health(index);
        health.failure_cost * self.decay(health.updated_at, time_constant_us)
    }

    /// Returns the ratio of a node's expected latency for an index to the median, if that makes the node an outlier.
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
        let failure_percent = node.health(index).failure_rate * 100.0;
        out.log(&format!(
            "node {:x} {change}: expected latency {expected_ms:.0} ms, median {median_ms:.0} ms, \
             failure rate {failure_percent:.0}%",
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

/// Returns the age of an attempt at the time up to which it is known, in microseconds. The age is counted at the
/// earliest from the node's last answer, since one lost answer does not mean that the node hangs.
fn in_flight_age(node: &Node, attempt: &InFlightAttempt, until: Micros, index: IndexNo) -> f64 {
    let last_sign_of_life = attempt.sent_at.max(node.health(index).last_answer);
    until.since(last_sign_of_life).0 as f64
}
