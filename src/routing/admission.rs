//! Admission control. A query is admitted only if enough of its weight is predicted to be answered within the time
//! allowed; a query beyond its customer's quota is allowed less time. Other queries are shed: rejected
//! immediately, with a Retry-After.

use crate::actions::Actions;
use crate::types::{CustomerNo, DecisionReason, Micros, NodeId, Query, QueryId};

use super::placement::Placement;
use super::{RoutingEngine, RuleMatch, TICK};

#[cfg(test)]
mod tests;

/// The share of its time that a query of very low priority weight may be predicted to take.
const MIN_TIME_SHARE: f64 = 0.6;
/// Where late queries and wasted work are cheap, that share is 1 minus this multiple of their cost.
const WASTED_WORK_FACTOR: f64 = 2.5;
/// The number of seconds for which a customer's unused quota accumulates.
const QUOTA_BURST_SECONDS: f64 = 2.0;
/// Weights arrive rounded, so the sum of the weights in a plan may fall short of the exact value by this much.
const WEIGHT_ROUNDING_ERROR: f64 = 0.00005;

/// A customer's remaining quota (a token bucket).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QuotaLeft {
    pub(super) queries: f64,
    /// When `queries` was last updated.
    pub(super) counted_at: Micros,
}

impl RoutingEngine {
    pub(super) fn query_awaits_placement(&self) -> Option<RuleMatch> {
        self.find_query(|query| {
            !query.placed && query.all_requests_received() && !self.awaits_canary(query)
        })
    }

    /// Admits a query and sends its shard requests, or sheds it. A query in its second phase, or with an attempt
    /// already sent, is not shed.
    pub(super) fn place_or_shed(&mut self, found: RuleMatch, out: &mut dyn Actions) {
        let id = found.query;
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let is_new = !query.in_second_phase
            && query
                .requests
                .iter()
                .all(|request| request.attempts.is_empty());
        let customer = query.customer;
        let within_quota = !is_new || self.take_from_quota(customer);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let time_left = query.soft_deadline.since(self.now).0 as f64
            * self.allowed_time_share(query, within_quota);
        let plan = self.plan(query, time_left);
        let minimum = self.completeness_thresholds(query).minimum;
        let is_late = plan.weight_in_time + WEIGHT_ROUNDING_ERROR < minimum;
        if is_new && is_late && !self.tests_prediction(query, &plan) {
            self.shed(id, &plan, time_left, out);
        } else {
            self.send_plan(id, plan, out);
        }
    }

    /// Whether a query that is predicted late is admitted because the prediction is stale: nothing is in flight, and no
    /// node has answered or failed for one latency objective. Otherwise a router that admits nothing would never learn
    /// that its nodes answer in time again.
    fn tests_prediction(&self, query: &Query, plan: &Placement) -> bool {
        let is_fully_placed = plan.assignments.len() == query.requests.len();
        let has_time = !self.is_soon(query.soft_deadline);
        is_fully_placed && has_time && self.predictions_are_stale()
    }

    fn predictions_are_stale(&self) -> bool {
        let objective_us = self.shortest_objective_us();
        let is_old = |at: Micros| self.now.since(at).0 as f64 > objective_us;
        self.nodes.values().all(|node| {
            node.all_in_flight(self.now).next().is_none()
                && is_old(node.latency_updated_at)
                && node
                    .index_health
                    .iter()
                    .all(|health| is_old(health.updated_at))
        })
    }

    fn shed(&mut self, id: QueryId, plan: &Placement, time_left: f64, out: &mut dyn Actions) {
        if self.last_shed.replace(self.now).is_none() {
            let predicted_ms = plan.slowest_latency / 1e3;
            let allowed_ms = time_left / 1e3;
            let requests = plan.assignments.len();
            out.log(&format!(
                "load shedding started, {requests} requests predicted in {predicted_ms:.0} ms, allowed {allowed_ms:.0} ms"
            ));
        }
        out.record_reason(id, DecisionReason::Shed);
        let excess = plan.slowest_latency - time_left;
        let retry_after = Micros(excess.max(TICK.0 as f64) as u64);
        self.reject_or_fail(id, retry_after, out);
    }

    /// Sends the planned shard requests. If a canary request is needed, sends only those planned for its node.
    fn send_plan(&mut self, id: QueryId, plan: Placement, out: &mut dyn Actions) {
        let canary = self.canary_node(id, &plan);
        if let Some(query) = self.queries.get_mut(&id) {
            query.placed = canary.is_none();
        }
        for assignment in plan.assignments {
            if canary.is_none_or(|canary| canary == assignment.node) {
                self.send_attempt(id, assignment.request_index, assignment.node, out);
            }
        }
    }

    fn canary_node(&self, id: QueryId, plan: &Placement) -> Option<NodeId> {
        let query = self.queries.get(&id)?;
        let canary_is_due = self.needs_canary(query) && query.in_flight_since().next().is_none();
        let first = plan.assignments.first().filter(|_| canary_is_due)?;
        Some(first.node)
    }

    pub(super) fn shedding_is_over(&self) -> Option<RuleMatch> {
        self.last_shed
            .filter(|at| self.now.since(*at).0 as f64 > self.shortest_objective_us())
            .map(|_| RuleMatch::default())
    }

    pub(super) fn end_shedding(&mut self, _: RuleMatch, out: &mut dyn Actions) {
        self.last_shed = None;
        out.log(&format!(
            "load shedding ended, {} queries in flight",
            self.queries.len()
        ));
    }

    /// Returns the share of its time that a query may be predicted to take.
    ///
    /// Queries of the highest priority weight may take all of their time. Others get less, so that they are shed
    /// first when nodes are busy. The share does not depend on the number of shard requests: where one index needs
    /// all shards and another needs one, an index in between would be shed even under low load.
    fn allowed_time_share(&self, query: &Query, within_quota: bool) -> f64 {
        let indexes = self.config.indexes.iter().filter(|row| row.has_queries);
        let best = indexes.map(|row| row.priority_weight).fold(0.0, f64::max);
        let quota_weight = if within_quota {
            1.0
        } else {
            self.config.over_quota_weight
        };
        let deadline_precedes_objective = query.time_allowed < query.config.latency_objective;
        let rank = if deadline_precedes_objective || best <= 0.0 {
            1.0
        } else {
            quota_weight * query.config.priority_weight / best
        };
        let least = self.config.wasted_work_cost.map_or(MIN_TIME_SHARE, |cost| {
            MIN_TIME_SHARE.max(1.0 - WASTED_WORK_FACTOR * cost)
        });
        least + (1.0 - least) * rank
    }

    /// Takes one query from the customer's quota. Returns false if the quota is used up.
    fn take_from_quota(&mut self, customer: CustomerNo) -> bool {
        let position = usize::from(customer.0);
        let (Some(quota), Some(left)) = (
            self.config.quotas.get(position),
            self.quota_left.get_mut(position),
        ) else {
            return true;
        };
        let rate = quota / self.config.router_count;
        let capacity = (rate * QUOTA_BURST_SECONDS).max(1.0);
        let elapsed = self.now.since(left.counted_at).0 as f64;
        left.queries = (left.queries + rate * elapsed / 1e6).min(capacity);
        left.counted_at = self.now;
        let is_within = left.queries >= 1.0;
        if is_within {
            left.queries -= 1.0;
        }
        is_within
    }
}
