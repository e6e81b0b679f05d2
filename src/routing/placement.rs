//! Placement: which node gets each request of a query.
//!
//! The cost model is that of "EC-Store: Bridging the Gap Between Storage and Latency in Distributed Erasure
//! Coded Systems" (section IV-B, equation 1; the greedy form is what its section V uses while no solved plan
//! is cached). A plan costs, summed over the nodes that it touches, a fixed cost o for the node plus m·z for
//! each request placed there: o is [`RoutingEngine::node_cost`], z is [`RoutingEngine::relative_cost`], m is
//! one figure for all nodes ([`super::statistics`]). Each request goes to the node of least added cost: m·z
//! on a node that is chosen already, o + m·z on another. So chosen nodes draw further requests, and requests
//! for one node leave in one call. `docs/design.md` says what differs from the paper, and why.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::types::{
    EndpointState, IndexNo, LoadMetric, LoadReporting, Node, NodeId, Query, ShardGroupNo, ShardNo,
    ShardRequest,
};

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// Mean o that the whole gain of a query is worth, when a request's crossing of zones is priced.
const CROSS_ZONE_FACTOR: f64 = 20.0;
/// Predictions are means: a request may be so much later.
const LATENCY_MARGIN: f64 = 1.25;
/// A query is as late as the latest of its calls: so many times their mean latency,
const LATEST_BASE: f64 = 0.5;
/// and so many more with each natural logarithm of their number. Requests that share a call come together.
const LATEST_PER_LOG: f64 = 0.9;

/// Where the requests of a query go.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    pub(super) assignments: Vec<Assignment>,
    /// The weight that is predicted in time.
    pub(super) weight_in_time: f64,
    /// The highest predicted latency, in microseconds.
    pub(super) slowest_latency: f64,
}

/// A request, by its place in its query, and its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Assignment {
    pub(super) request_index: usize,
    pub(super) node: NodeId,
}

/// A request that is to be placed, with what its turn depends on.
#[derive(Clone, Copy)]
struct Candidate {
    nodes_holding: usize,
    cost: f64,
    request_index: usize,
}

impl Candidate {
    /// Requests that few nodes hold come first: they fix the nodes that the others can join. Then the
    /// heavier.
    fn turn(&self, other: &Candidate) -> Ordering {
        let by_nodes = self.nodes_holding.cmp(&other.nodes_holding);
        let by_cost = other.cost.total_cmp(&self.cost);
        by_nodes
            .then(by_cost)
            .then(self.request_index.cmp(&other.request_index))
    }
}

/// A plan under construction.
#[derive(Default)]
struct Plan {
    placement: Placement,
    /// The cost that goes to each node.
    planned: BTreeMap<NodeId, f64>,
    /// The predicted latencies without their margin, added up.
    latency_sum: f64,
}

impl Plan {
    fn planned_for(&self, node: &Node) -> f64 {
        self.planned
            .get(&node.endpoint.node)
            .copied()
            .unwrap_or(0.0)
    }
}

impl RoutingEngine {
    /// Plans the requests of a query that have nothing in flight. `time_left` is the time within which
    /// answers are wanted, in microseconds.
    pub(super) fn plan(&self, query: &Query, time_left: f64) -> Placement {
        let mut plan = Plan::default();
        for candidate in self.placement_order(query) {
            self.place_request(query, candidate, time_left, &mut plan);
        }
        self.account_for_latest(query, time_left, plan)
    }

    fn placement_order(&self, query: &Query) -> Vec<Candidate> {
        let mut order = Vec::new();
        for (request_index, request) in query.requests.iter().enumerate() {
            if request.attempts_in_flight() == 0 && self.may_send(query, request) {
                order.push(Candidate {
                    nodes_holding: self.nodes_holding(request.shard).count(),
                    cost: self.relative_cost(request),
                    request_index,
                });
            }
        }
        order.sort_by(Candidate::turn);
        order
    }

    fn place_request(&self, query: &Query, candidate: Candidate, time_left: f64, plan: &mut Plan) {
        let request = &query.requests[candidate.request_index];
        let cost = candidate.cost;
        let added_cost = |node: &Node| {
            let is_chosen = plan.planned.contains_key(&node.endpoint.node);
            let fixed = if is_chosen {
                0.0
            } else {
                self.node_cost(node, query.index)
            };
            fixed + self.statistics.request_cost * cost
        };
        let latency = |node: &Node| {
            let more = plan.planned_for(node) + cost;
            self.predicted_latency(node, query.index, more) * LATENCY_MARGIN
        };
        // The discount stacks requests behind the chosen node: nodes predicted late give way to those in
        // time.
        let eligible = self.eligible_nodes(request, &plan.planned);
        let nodes = prefer(eligible, |node| latency(node) <= time_left);
        let Some(node) = self.cheapest(&nodes, added_cost) else {
            return;
        };
        let latency = latency(node);
        let id = node.endpoint.node;
        *plan.planned.entry(id).or_default() += cost;
        plan.latency_sum += latency / LATENCY_MARGIN;
        let placement = &mut plan.placement;
        placement.weight_in_time += if latency <= time_left {
            request.weight
        } else {
            0.0
        };
        placement.slowest_latency = placement.slowest_latency.max(latency);
        placement.assignments.push(Assignment {
            request_index: candidate.request_index,
            node: id,
        });
    }

    /// A query that needs all its requests is as late as the latest of its calls, later than their mean.
    fn account_for_latest(&self, query: &Query, time_left: f64, plan: Plan) -> Placement {
        let mut placement = plan.placement;
        let calls = plan.planned.len().max(1) as f64;
        let latest = plan.latency_sum / placement.assignments.len().max(1) as f64
            * (LATEST_BASE + LATEST_PER_LOG * calls.ln()).max(1.0);
        // Not where some may be missing; and a client that gives less than the objective is no sign of load.
        let all_are_needed = self.completeness_thresholds(query).minimum >= 1.0;
        let gives_enough_time = query.time_allowed >= query.config.latency_objective;
        if all_are_needed && gives_enough_time && latest > time_left {
            placement.slowest_latency = placement.slowest_latency.max(latest);
            placement.weight_in_time = 0.0;
        }
        placement
    }

    /// o of the cost model: the node's reported load, what it is suspected of, its zone, and what this router
    /// has in flight to it.
    pub(super) fn node_cost(&self, node: &Node, index: IndexNo) -> f64 {
        let statistics = &self.statistics;
        let mut cost = self
            .reported_cost(node)
            .unwrap_or(statistics.mean_node_cost);
        cost = self
            .outlier_ratio(node, index)
            .map_or(cost, |ratio| cost.max(statistics.mean_node_cost * ratio));
        if node.endpoint.zone != self.config.zone {
            cost += statistics.mean_node_cost * self.config.cross_zone_cost * CROSS_ZONE_FACTOR;
        }
        cost + statistics.request_cost * node.in_flight_cost()
    }

    /// o as the node reports it, or from its answers where it does not.
    pub(super) fn reported_cost(&self, node: &Node) -> Option<f64> {
        let config = &self.config;
        let nothing_is_reported = match config.load_reporting {
            LoadReporting::Off => true,
            LoadReporting::InHealthChecks => !config.health_checks,
            LoadReporting::InAnswers => false,
        };
        let says_no_load =
            |metric: &LoadMetric| matches!(metric, LoadMetric::Rate | LoadMetric::Unread);
        if nothing_is_reported || config.load_metrics.iter().all(says_no_load) {
            return node.latency;
        }
        if config.load_metrics.contains(&LoadMetric::LatencyMs) {
            let seen = node.latency.map(|micros| micros / 1e3);
            return node.reported_load.or(seen);
        }
        // A queue of none is no free ride: a call costs a node work of its own, counted in mean requests.
        // Queues are often all empty; then o and m would be 0 and every node alike.
        node.reported_load.map(|queue| {
            queue
                + self
                    .mean_cost_hint
                    .map_or(1.0, |hint| config.attempt_cost.0 as f64 / hint)
        })
    }

    /// z of the cost model: the request's hint over the mean hint, 1 without hints.
    pub(super) fn relative_cost(&self, request: &ShardRequest) -> f64 {
        match (request.cost_hint, self.mean_cost_hint) {
            (Some(hint), Some(mean)) if mean > 0.0 => hint.0 as f64 / mean,
            _ => 1.0,
        }
    }

    /// All nodes that hold a shard: those of its consecutive groups.
    fn nodes_holding(&self, shard: ShardNo) -> impl Iterator<Item = &Node> {
        let groups = self.config.shard_group_count;
        let holding = self.config.groups_per_shard.min(groups);
        let group = move |at| ShardGroupNo((shard.0 % groups + at) % groups);
        (0..holding)
            .filter_map(move |at| self.shard_groups.get(&group(at)))
            .flatten()
            .filter_map(|id| self.nodes.get(id))
    }

    /// The nodes that a request may go to: those that hold its shard, are ready and may be sent more than is
    /// `planned` for them. Those that have not been tried, if there are any.
    pub(super) fn eligible_nodes(
        &self,
        request: &ShardRequest,
        planned: &BTreeMap<NodeId, f64>,
    ) -> Vec<&Node> {
        let cost = self.relative_cost(request).max(1.0);
        let mut eligible = Vec::new();
        for node in self.nodes_holding(request.shard) {
            let id = node.endpoint.node;
            let has_an_attempt = request
                .attempts
                .iter()
                .any(|attempt| attempt.is_in_flight() && attempt.node == id);
            let more = planned.get(&id).copied().unwrap_or(0.0);
            if node.endpoint.state == EndpointState::Ready
                && !has_an_attempt
                && self.slow_start_allows(node, more + cost)
            {
                eligible.push(node);
            }
        }
        prefer(eligible, |node| {
            let mut attempts = request.attempts.iter();
            attempts.all(|attempt| attempt.node != node.endpoint.node)
        })
    }

    /// The node of least cost; among equals one of this router's zone, then by the tie breaker, which differs
    /// from router to router: they do not all pick the same node.
    pub(super) fn cheapest<'a>(
        &self,
        nodes: &[&'a Node],
        cost: impl Fn(&Node) -> f64,
    ) -> Option<&'a Node> {
        let rank = |node: &Node| {
            let is_in_another_zone = node.endpoint.zone != self.config.zone;
            (is_in_another_zone, node.tie_breaker)
        };
        nodes
            .iter()
            .copied()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)).then(rank(a).cmp(&rank(b))))
    }
}

/// Those wanted, if there are any, else all.
fn prefer(nodes: Vec<&Node>, wanted: impl Fn(&Node) -> bool) -> Vec<&Node> {
    let preferred: Vec<&Node> = nodes.iter().copied().filter(|node| wanted(node)).collect();
    if preferred.is_empty() {
        nodes
    } else {
        preferred
    }
}
