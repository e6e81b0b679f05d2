//! Placement: the choice of a node for each shard request of a query.
//!
//! The cost model is that of "EC-Store: Bridging the Gap Between Storage and Latency in Distributed Erasure Coded
//! Systems" (section IV-B, equation 1; the greedy form is the one that its section V uses while no solved plan is
//! cached). The cost of a plan is the sum, over the nodes in it, of a fixed cost o of the node plus m·z for each
//! request placed there. o is [`RoutingEngine::node_cost`], z is [`RoutingEngine::relative_cost`], and m is the
//! same for all nodes ([`super::statistics`]). Each request goes to the node with the lowest added cost: m·z for a
//! node that is already in the plan, o + m·z for another. Nodes in the plan therefore attract further requests,
//! and requests for one node are sent in one call. `docs/design.md` describes the differences from the paper and
//! the reasons for them.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use crate::types::{
    EndpointState, IndexNo, LoadMetric, LoadReporting, Node, NodeId, Query, ShardGroupNo, ShardNo,
    ShardRequest,
};

use super::RoutingEngine;

#[cfg(test)]
mod tests;

/// The multiple of the mean node cost o that corresponds to the whole value of a query, for pricing requests that
/// cross zones.
const CROSS_ZONE_FACTOR: f64 = 20.0;
/// The margin on predicted latencies, which are means: a request may take this many times longer.
const LATENCY_MARGIN: f64 = 1.25;
/// A query takes as long as its slowest call. The predicted latency of the slowest call is the mean latency times
/// this factor,
const SLOWEST_CALL_BASE: f64 = 0.5;
/// plus this factor times the natural logarithm of the number of calls. Requests that share a call are answered
/// together.
const SLOWEST_CALL_PER_LOG: f64 = 0.9;

/// The nodes chosen for the shard requests of a query.
#[derive(Clone, Debug, Default)]
pub(super) struct Placement {
    pub(super) assignments: Vec<Assignment>,
    /// The weight of the requests that are predicted to be answered in time.
    pub(super) weight_in_time: f64,
    /// The highest predicted latency, in microseconds.
    pub(super) slowest_latency: f64,
}

/// A shard request, identified by its position in the query, and the node chosen for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Assignment {
    pub(super) request_index: usize,
    pub(super) node: NodeId,
}

/// A shard request to be placed, with the properties that determine its order.
#[derive(Clone, Copy)]
struct Candidate {
    nodes_holding: usize,
    cost: f64,
    request_index: usize,
}

impl Candidate {
    /// Orders requests for placement. Requests whose shard few nodes hold come first, since they determine nodes
    /// that the other requests can join; then those of higher cost.
    fn compare(&self, other: &Candidate) -> Ordering {
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
    /// The cost of the requests planned for each node.
    planned_cost: BTreeMap<NodeId, f64>,
    /// The sum of the predicted latencies without their margin.
    latency_sum: f64,
}

impl Plan {
    fn planned_for(&self, node: &Node) -> f64 {
        self.planned_cost
            .get(&node.endpoint.node)
            .copied()
            .unwrap_or(0.0)
    }
}

impl RoutingEngine {
    /// Plans the shard requests of a query that have no attempt in flight. `time_left` is the time within which
    /// answers are wanted, in microseconds.
    pub(super) fn plan(&self, query: &Query, time_left: f64) -> Placement {
        let mut plan = Plan::default();
        for candidate in self.placement_order(query) {
            self.place_request(query, candidate, time_left, &mut plan);
        }
        self.account_for_slowest_call(query, time_left, plan)
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
        order.sort_by(Candidate::compare);
        order
    }

    fn place_request(&self, query: &Query, candidate: Candidate, time_left: f64, plan: &mut Plan) {
        let request = &query.requests[candidate.request_index];
        let cost = candidate.cost;
        let added_cost = |node: &Node| {
            let is_chosen = plan.planned_cost.contains_key(&node.endpoint.node);
            let fixed = if is_chosen {
                0.0
            } else {
                self.node_cost(node, query.index)
            };
            fixed + self.statistics.request_cost * cost
        };
        let latency = |node: &Node| {
            let planned_cost = plan.planned_for(node) + cost;
            self.predicted_latency(node, query.index, planned_cost) * LATENCY_MARGIN
        };
        // The discount for a chosen node can stack up requests there, so nodes predicted to answer in time are
        // preferred to those predicted late.
        let eligible = self.eligible_nodes(request, &plan.planned_cost);
        let nodes = prefer(eligible, |node| latency(node) <= time_left);
        let Some(node) = self.cheapest(&nodes, added_cost) else {
            return;
        };
        let latency = latency(node);
        let id = node.endpoint.node;
        *plan.planned_cost.entry(id).or_default() += cost;
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

    /// Adjusts a plan of a query that needs all its requests: such a query takes as long as its slowest call,
    /// which is longer than the mean.
    fn account_for_slowest_call(&self, query: &Query, time_left: f64, plan: Plan) -> Placement {
        let mut placement = plan.placement;
        let calls = plan.planned_cost.len().max(1) as f64;
        let slowest_call = plan.latency_sum / placement.assignments.len().max(1) as f64
            * (SLOWEST_CALL_BASE + SLOWEST_CALL_PER_LOG * calls.ln()).max(1.0);
        // The adjustment does not apply if some requests may stay unanswered, nor if the client allows less than the
        // latency objective, which is no sign of load.
        let all_are_needed = self.completeness_thresholds(query).minimum >= 1.0;
        let deadline_covers_objective = query.time_allowed >= query.config.latency_objective;
        if all_are_needed && deadline_covers_objective && slowest_call > time_left {
            placement.slowest_latency = placement.slowest_latency.max(slowest_call);
            placement.weight_in_time = 0.0;
        }
        placement
    }

    /// Returns o of the cost model: the node's reported load, raised if it is an outlier or in another zone, plus
    /// the cost that this router has in flight to it.
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

    /// Returns o according to the node's load reports, or according to its answers if it reports no load.
    pub(super) fn reported_cost(&self, node: &Node) -> Option<f64> {
        let config = &self.config;
        let no_load_is_reported = match config.load_reporting {
            LoadReporting::Off => true,
            LoadReporting::InHealthChecks => !config.health_checks,
            LoadReporting::InAnswers => false,
        };
        let is_no_load_metric =
            |metric: &LoadMetric| matches!(metric, LoadMetric::Rate | LoadMetric::Unread);
        if no_load_is_reported || config.load_metrics.iter().all(is_no_load_metric) {
            return node.latency;
        }
        if config.load_metrics.contains(&LoadMetric::LatencyMs) {
            let seen = node.latency.map(|micros| micros / 1e3);
            return node.reported_load.or(seen);
        }
        // A call costs a node work even if its queue is empty; the fixed cost is counted in mean requests. Without
        // it, o and m would be 0 when all queues are empty, as is common, and all nodes would look alike.
        node.reported_load.map(|queue| {
            queue
                + self
                    .mean_cost_hint
                    .map_or(1.0, |hint| config.attempt_cost.0 as f64 / hint)
        })
    }

    /// Returns z of the cost model: the request's cost hint divided by the mean hint, or 1 without hints.
    pub(super) fn relative_cost(&self, request: &ShardRequest) -> f64 {
        match (request.cost_hint, self.mean_cost_hint) {
            (Some(hint), Some(mean)) if mean > 0.0 => hint.0 as f64 / mean,
            _ => 1.0,
        }
    }

    /// Returns all nodes that hold a shard: those of its consecutive shard groups.
    fn nodes_holding(&self, shard: ShardNo) -> impl Iterator<Item = &Node> {
        let groups = self.config.shard_group_count;
        let holding = self.config.groups_per_shard.min(groups);
        let group = move |offset| ShardGroupNo((shard.0 % groups + offset) % groups);
        (0..holding)
            .filter_map(move |offset| self.shard_groups.get(&group(offset)))
            .flatten()
            .filter_map(|id| self.nodes.get(id))
    }

    /// Returns the nodes that a shard request may be sent to: those that hold its shard, are ready, have no
    /// attempt of it in flight, and may be sent more than is already `planned` for them. If any of these have not
    /// been tried yet, only those are returned.
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
            let already_planned = planned.get(&id).copied().unwrap_or(0.0);
            if node.endpoint.state == EndpointState::Ready
                && !has_an_attempt
                && self.slow_start_allows(node, already_planned + cost)
            {
                eligible.push(node);
            }
        }
        prefer(eligible, |node| {
            let mut attempts = request.attempts.iter();
            attempts.all(|attempt| attempt.node != node.endpoint.node)
        })
    }

    /// Returns the node of lowest cost. Among equals, a node in this router's zone is preferred, then the tie
    /// breaker decides, which differs between routers so that they do not all choose the same node.
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

/// Returns the nodes that satisfy `wanted`, or all nodes if none does.
fn prefer(nodes: Vec<&Node>, wanted: impl Fn(&Node) -> bool) -> Vec<&Node> {
    let preferred: Vec<&Node> = nodes.iter().copied().filter(|node| wanted(node)).collect();
    if preferred.is_empty() {
        nodes
    } else {
        preferred
    }
}
