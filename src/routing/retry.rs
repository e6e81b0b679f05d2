//! Further attempts: retries after failures, hedged requests beside late attempts, the budget of both, and
//! the one check that every attempt passes, [`RoutingEngine::may_send`].
//!
//! A request with nothing in flight is sent again, elsewhere if it can be. Hedged requests cover a single
//! straggler or a lost request. No retry for a query that brings nodes down (`query_of_death`).

use std::collections::BTreeMap;

use crate::actions::Actions;
use crate::types::{Attempt, DecisionReason, Micros, Query, RetrySemantics, ShardRequest};

use super::{drop_old, RoutingEngine, RuleMatch};

#[cfg(test)]
mod tests;

/// An attempt is late after this many times the median latency.
pub(super) const LATE_FACTOR: f64 = 4.0;
/// Of the attempts in flight, the share that may be hedged requests.
const HEDGED_SHARE: f64 = 0.1;
/// Attempts that never left, for want of something on this machine, that a request may have.
const MAX_UNSENT: usize = 16;
/// Attempts that a request may have: their numbers are bytes on the wire.
const MAX_ATTEMPTS: usize = 255;

impl RoutingEngine {
    /// Whether the rules let a request have an attempt, first or further, now.
    pub(super) fn may_send(&self, query: &Query, request: &ShardRequest) -> bool {
        let configured = query.config.max_attempts.or(self.config.max_attempts);
        let limit = configured.unwrap_or(MAX_ATTEMPTS).min(MAX_ATTEMPTS);
        // What never left does not count: three attempts were gone within a millisecond of a shortage here.
        let counts = request.attempt_counts();
        let attempts_left = counts.sent < limit
            && counts.unsent < MAX_UNSENT
            && request.attempts.len() < MAX_ATTEMPTS;
        let hedging = self.config.hedging && !query.config.hedging_disabled;
        let may_be_beside_another = hedging || request.attempts_in_flight() == 0;
        !request.answered
            && self.repeat_is_harmless(query, request)
            && attempts_left
            && may_be_beside_another
            && (request.attempts.is_empty() || self.is_within_retry_budget(query))
            && !self.is_soon(query.deadline)
    }

    /// Whether one more attempt has no effect beyond that of the attempts before it.
    fn repeat_is_harmless(&self, query: &Query, request: &ShardRequest) -> bool {
        let first_run = request
            .attempts
            .iter()
            .find(|attempt| attempt.may_have_run())
            .map(|attempt| attempt.sent_at);
        match query.config.retry_semantics {
            RetrySemantics::Idempotent => true,
            // Time for a connect and two ticks is kept back: the window is the nodes', and the attempt has
            // yet to reach one.
            RetrySemantics::Fingerprinted(window) => {
                let usable = window.since(self.config.connect_timeout);
                first_run.is_none_or(|first| !self.is_soon(first + usable))
            }
            RetrySemantics::OnceOnly => first_run.is_none(),
        }
    }

    /// Whether one more retry or hedged request fits the platform's budget, and the query's own.
    fn is_within_retry_budget(&self, query: &Query) -> bool {
        let Some(window) = self.config.retry_budget_window else {
            return true;
        };
        // At the very edge of the window an attempt may still count, an admitted query may not.
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

    /// Counts a query or request for the budget, where one is set.
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

    /// A request without an attempt in flight gets one, elsewhere if it can.
    pub(super) fn request_needs_retry(&self) -> Option<RuleMatch> {
        self.find_request(|query, request| {
            let waits = request.attempts_in_flight() == 0 && request.retry_not_before <= self.now;
            waits && (query.is_survivable() || query.in_flight_since().next().is_none())
        })
    }

    /// A late request holds back its query: it gets a second attempt while that may still be in time.
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

    /// Hedged requests are a small share of what is in flight: when everything is late, more would only add
    /// to the load. One at a time where no budget bounds them: more cost an overloaded fleet a fifth of its
    /// gain.
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

    /// The first request of a placed query that is wanted, may be sent, and has a node to go to.
    fn find_request(&self, wanted: impl Fn(&Query, &ShardRequest) -> bool) -> Option<RuleMatch> {
        let mut placed = self.queries.values().filter(|query| query.placed);
        placed.find_map(|query| {
            let mut requests = query.requests.iter().enumerate();
            requests.find_map(|(at, request)| {
                if request.answered || !wanted(query, request) || !self.may_send(query, request) {
                    return None;
                }
                let nodes = self.eligible_nodes(request, &BTreeMap::new());
                let node = self.cheapest(&nodes, |node| self.node_cost(node, query.index))?;
                Some(RuleMatch {
                    query: query.id,
                    request_index: at,
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
