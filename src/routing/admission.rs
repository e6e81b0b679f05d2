//! Admission: a query is taken only if enough of its weight is predicted within the time allowed; beyond its
//! customer's quota only with time to spare. What is not taken is shed: rejected at once, with a time to come
//! back.

use crate::actions::Actions;
use crate::types::{CustomerNo, DecisionReason, Micros, NodeId, Query, QueryId};

use super::placement::Placement;
use super::{RoutingEngine, RuleMatch, TICK};

#[cfg(test)]
mod tests;

/// The share of its time that a query of little gain may be predicted to take.
const LEAST_TIME_SHARE: f64 = 0.6;
/// That share is 1 less this many times the cost of wasted work, where lateness and wasted work are cheap.
const WASTED_WORK_FACTOR: f64 = 2.5;
/// A customer's unused quota is kept for so many seconds.
const QUOTA_SECONDS: f64 = 2.0;
/// Weights as they come are rounded: sums of them may fall so much short of all that was predicted.
const WEIGHT_ROUNDING: f64 = 0.00005;

/// What a customer may still send within its quota (a token bucket).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QuotaLeft {
    pub(super) queries: f64,
    /// When they were last counted.
    pub(super) counted_at: Micros,
}

impl RoutingEngine {
    pub(super) fn query_awaits_placement(&self) -> Option<RuleMatch> {
        self.find_query(|query| {
            !query.placed && query.all_requests_received() && !self.awaits_canary(query)
        })
    }

    /// Admits a query and sends its requests, or sheds it. A query that has run is not shed.
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
        let within_quota = !is_new || self.draw_quota(customer);
        let Some(query) = self.queries.get(&id) else {
            return;
        };
        let time_left = query.soft_deadline.since(self.now).0 as f64
            * self.allowed_time_share(query, within_quota);
        let plan = self.plan(query, time_left);
        let minimum = self.completeness_thresholds(query).minimum;
        if is_new && plan.weight_in_time + WEIGHT_ROUNDING < minimum {
            self.shed(id, &plan, time_left, out);
        } else {
            self.send_plan(id, plan, out);
        }
    }

    fn shed(&mut self, id: QueryId, plan: &Placement, time_left: f64, out: &mut dyn Actions) {
        if self.last_shed.replace(self.now).is_none() {
            let predicted_ms = plan.slowest_latency / 1e3;
            let allowed_ms = time_left / 1e3;
            let requests = plan.assignments.len();
            out.log(&format!(
                "load shedding, {requests} requests predicted in {predicted_ms:.0} ms, allowed {allowed_ms:.0}"
            ));
        }
        out.record_reason(id, DecisionReason::Shed);
        let excess = plan.slowest_latency - time_left;
        let retry_after = Micros(excess.max(TICK.0 as f64) as u64);
        self.reject_or_fail(id, retry_after, out);
    }

    /// Sends the planned requests; where a canary goes first, those to its node alone.
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
        let goes_first = self.needs_canary(query) && query.in_flight_since().next().is_none();
        let first = plan.assignments.first().filter(|_| goes_first)?;
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
            "load shedding over, {} queries in hand",
            self.queries.len()
        ));
    }

    /// The share of its time that a query may be predicted to take: all of it where the gain is the best
    /// there is, less for others, so that they give way first when nodes are busy. It does not follow the
    /// number of requests: where one index needs all shards and another needs one, the index between them
    /// would have no room on a quiet day.
    fn allowed_time_share(&self, query: &Query, within_quota: bool) -> f64 {
        let indexes = self.config.indexes.iter().filter(|row| row.has_queries);
        let best = indexes.map(|row| row.priority_weight).fold(0.0, f64::max);
        let quota_weight = if within_quota {
            1.0
        } else {
            self.config.over_quota_weight
        };
        let gives_little_time = query.time_allowed < query.config.latency_objective;
        let rank = if gives_little_time || best <= 0.0 {
            1.0
        } else {
            quota_weight * query.config.priority_weight / best
        };
        let least = self
            .config
            .wasted_work_cost
            .map_or(LEAST_TIME_SHARE, |cost| {
                LEAST_TIME_SHARE.max(1.0 - WASTED_WORK_FACTOR * cost)
            });
        least + (1.0 - least) * rank
    }

    /// Takes one query from the customer's quota; false if that is used up.
    fn draw_quota(&mut self, customer: CustomerNo) -> bool {
        let at = usize::from(customer.0);
        let (Some(quota), Some(left)) = (self.config.quotas.get(at), self.quota_left.get_mut(at))
        else {
            return true;
        };
        let rate = quota / self.config.router_count;
        let most = (rate * QUOTA_SECONDS).max(1.0);
        let elapsed = self.now.since(left.counted_at).0 as f64;
        left.queries = (left.queries + rate * elapsed / 1e6).min(most);
        left.counted_at = self.now;
        let is_within = left.queries >= 1.0;
        if is_within {
            left.queries -= 1.0;
        }
        is_within
    }
}
