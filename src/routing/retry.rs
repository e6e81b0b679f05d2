//! Further attempts: retries after failures, hedged requests for late attempts, the budget of both, and
//! [`RoutingEngine::may_send`], the check that every attempt must pass.
//!
//! A shard request without an attempt in flight is sent again, to another node if possible. Hedged requests cover a
//! single slow node or a lost request. A query of death (`query_of_death`) is not retried.

use std::collections::BTreeMap;

use crate::actions::Actions;
use crate::types::{Attempt, DecisionReason, Micros, Query, RetrySemantics, ShardRequest};

use super::{drop_old, RoutingEngine, RuleMatch};

#[cfg(test)]
mod tests;

/// The multiple of the median latency after which an attempt is late.
pub(super) const LATE_FACTOR: f64 = 4.0;
/// The share of the attempts in flight that may be hedged requests.
const HEDGED_SHARE: f64 = 0.1;
/// The maximum number of attempts of a shard request that never left this machine for lack of a local resource.
const MAX_UNSENT: usize = 16;
/// The maximum number of attempts of a shard request: attempt numbers are single bytes on the wire.
const MAX_ATTEMPTS: usize = 255;

impl RoutingEngine {
    /// Whether a shard request may get an attempt now, be it the first or a further one.
    pub(super) fn may_send(&self, query: &Query, request: &ShardRequest) -> bool {
        let configured = query.config.max_attempts.or(self.config.max_attempts);
        let limit = configured.unwrap_or(MAX_ATTEMPTS).min(MAX_ATTEMPTS);
        // Attempts that never left this machine do not count: otherwise a local resource shortage used up three
        // attempts within a millisecond.
        let counts = request.attempt_counts();
        let attempts_left = counts.sent < limit
            && counts.unsent < MAX_UNSENT
            && request.attempts.len() < MAX_ATTEMPTS;
        let hedging = self.config.hedging && !query.config.hedging_disabled;
        let may_run_in_parallel = hedging || request.attempts_in_flight() == 0;
        !request.answered
            && self.repeat_is_harmless(query, request)
            && attempts_left
            && may_run_in_parallel
            && (request.attempts.is_empty() || self.is_within_retry_budget(query))
            && !self.is_soon(query.deadline)
    }

    /// Whether another attempt has no effect beyond that of the previous attempts.
    fn repeat_is_harmless(&self, query: &Query, request: &ShardRequest) -> bool {
        let first_run = request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run())
            .map(|attempt| attempt.sent_at);
        match query.config.retry_semantics {
            RetrySemantics::Idempotent => true,
            // Time for a connect and two ticks is reserved, since the window is measured at the nodes and the
            // attempt still has to reach one.
            RetrySemantics::Fingerprinted(window) => {
                let usable = window.since(self.config.connect_timeout);
                first_run.is_none_or(|first| !self.is_soon(first + usable))
            }
            RetrySemantics::OnceOnly => first_run.is_none(),
        }
    }

    /// Whether another retry or hedged request fits the platform's retry budget and that of the query's policy.
    fn is_within_retry_budget(&self, query: &Query) -> bool {
        let Some(window) = self.config.retry_budget_window else {
            return true;
        };
        // Exactly at the edge of the window, an attempt may still count and an admitted query may not.
        let sent = self
            .extra_attempts
            .iter()
            .filter(|at| self.now.since(**at) <= window)
            .count() as f64;
        let admitted = self
            .admitted
            .iter()
            .filter(|at| self.now.since(**at) < window)
            .count() as f64;
        let fits = |(min, ratio): (f64, f64)| sent + 1.0 <= min + ratio * admitted;
        fits((self.config.retry_budget_min, self.config.retry_budget_ratio))
            && query.config.retry_budget.is_none_or(fits)
    }

    /// Counts an admitted query or shard request for the retry budget, if one is set.
    pub(super) fn count_admitted(&mut self) {
        let Some(window) = self.config.retry_budget_window else {
            return;
        };
        let now = self.now;
        self.admitted.push_back(now);
        for times in [&mut self.admitted, &mut self.extra_attempts] {
            drop_old(times, |at| now.since(*at) > window);
        }
    }

    /// Finds a shard request without an attempt in flight that is to be sent again, to another node if possible.
    pub(super) fn request_needs_retry(&self) -> Option<RuleMatch> {
        self.find_request(|query, request| {
            let awaits_retry =
                request.attempts_in_flight() == 0 && request.retry_not_before <= self.now;
            awaits_retry && (query.is_survivable() || query.in_flight_since().next().is_none())
        })
    }

    /// Finds a late shard request, which delays its query, for a second attempt that can still be in time.
    pub(super) fn request_needs_hedge(&self) -> Option<RuleMatch> {
        let median = Micros(self.statistics.median_latency? as u64);
        if self.too_many_are_hedged() {
            return None;
        }
        let is_late = |attempt: &Attempt| {
            attempt.is_in_flight() && self.now.since(attempt.sent_at) > median.times(LATE_FACTOR)
        };
        self.find_request(|query, request| {
            request.attempts.iter().any(is_late)
                && self.now + median < query.soft_deadline
                && query.is_survivable()
        })
    }

    /// Whether no further request may be hedged. Hedged requests are limited to a small share of the attempts in
    /// flight, since more would only add to the load when everything is late. Without a retry budget only one is
    /// allowed at a time: more of them cost an overloaded fleet a fifth of the value of its answers.
    fn too_many_are_hedged(&self) -> bool {
        let share = self
            .config
            .retry_budget_window
            .map_or(0.0, |_| HEDGED_SHARE);
        let mut hedged = 0;
        let mut in_flight = 0;
        for query in self.queries.values() {
            for request in &query.requests {
                let attempts = request.attempts_in_flight();
                hedged += attempts.saturating_sub(1);
                in_flight += attempts;
            }
        }
        hedged as f64 >= (in_flight as f64 * share).max(1.0)
    }

    /// Finds the first shard request of a placed query that satisfies `wanted`, may be sent, and has an eligible
    /// node.
    fn find_request(&self, wanted: impl Fn(&Query, &ShardRequest) -> bool) -> Option<RuleMatch> {
        let mut placed = self.queries.values().filter(|query| query.placed);
        placed.find_map(|query| {
            let mut requests = query.requests.iter().enumerate();
            requests.find_map(|(request_index, request)| {
                if request.answered || !wanted(query, request) || !self.may_send(query, request) {
                    return None;
                }
                let nodes = self.eligible_nodes(request, &BTreeMap::new());
                let node = self.cheapest(&nodes, |node| self.node_cost(node, query.index))?;
                Some(RuleMatch {
                    query: query.id,
                    request_index,
                    node: node.endpoint.node,
                    ..RuleMatch::default()
                })
            })
        })
    }

    pub(super) fn send_further_attempt(&mut self, found: RuleMatch, out: &mut dyn Actions) {
        let request = self
            .queries
            .get(&found.query)
            .and_then(|query| query.requests.get(found.request_index));
        let is_hedged = request.is_some_and(|request| request.attempts_in_flight() > 0);
        let reason = if is_hedged {
            DecisionReason::Hedge
        } else {
            DecisionReason::Retry
        };
        out.record_reason(found.query, reason);
        self.send_attempt(found.query, found.request_index, found.node, out);
    }
}
