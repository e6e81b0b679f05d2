//! Attempts: sending, recording the outcome, and cancelling.

use crate::actions::Actions;
use crate::types::{
    Attempt, AttemptNo, AttemptOutcome, InFlightAttempt, IndexNo, Micros, NodeId, Query, QueryId,
    RecentSend, ShardRequest, ShardRequestId,
};

use super::outlier_detection::FREE_DEPTH;
use super::{drop_old, smooth, RoutingEngine, FAST_SMOOTHING, SLOW_SMOOTHING};

#[cfg(test)]
mod tests;

/// The delay after an attempt that never left this machine for lack of a local resource.
const UNSENT_RETRY_DELAY: Micros = Micros(20_000);

impl RoutingEngine {
    /// Handles the end of an attempt, `latency` after it was sent. `report` is the load report that came with the
    /// answer; it is empty if there is none.
    #[expect(
        clippy::too_many_arguments,
        reason = "a decoded field goes straight into a call"
    )]
    pub fn attempt_finished(
        &mut self,
        now: Micros,
        request: ShardRequestId,
        attempt: AttemptNo,
        node: NodeId,
        latency: Micros,
        outcome: AttemptOutcome,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        self.now = now;
        let key = (request, attempt);
        if let Some(sent) = self.take_in_flight(node, key, latency, outcome) {
            self.record_outcome(node, sent.index, latency, outcome);
            self.record_end(&sent, key, outcome);
        }
        self.record_load_report(node, report);
        self.run_rules(out);
    }

    /// Removes an attempt from its node. Returns `None` if the attempt is unknown, because it ended before or
    /// another process sent it.
    fn take_in_flight(
        &mut self,
        node: NodeId,
        key: (ShardRequestId, AttemptNo),
        latency: Micros,
        outcome: AttemptOutcome,
    ) -> Option<InFlightAttempt> {
        let node = self.nodes.get_mut(&node)?;
        let sent = node.in_flight.remove(&key)?;
        let on_idle_connection = node
            .attempt_on_idle_connection
            .take_if(|attempt| *attempt == key)
            .is_some();
        if outcome == AttemptOutcome::Satisfied {
            if on_idle_connection {
                self.idle_loss_rate = smooth(Some(self.idle_loss_rate), 0.0, SLOW_SMOOTHING);
            }
            node.latency_per_request = Some(smooth(
                node.latency_per_request,
                latency.0 as f64 / (sent.depth_when_sent + FREE_DEPTH),
                FAST_SMOOTHING,
            ));
        }
        Some(sent)
    }

    /// Records the outcome with the shard request, unless the attempt belongs to a query, or a first phase, that has
    /// already ended.
    fn record_end(
        &mut self,
        sent: &InFlightAttempt,
        (id, attempt): (ShardRequestId, AttemptNo),
        outcome: AttemptOutcome,
    ) {
        let request = self
            .queries
            .get_mut(&sent.query)
            .and_then(|query| query.requests.get_mut(sent.request_index));
        let Some(request) = request.filter(|request| request.id == id) else {
            return;
        };
        request.answered |= outcome == AttemptOutcome::Satisfied;
        if outcome == AttemptOutcome::Unsent {
            request.retry_not_before = self.now + UNSENT_RETRY_DELAY;
        }
        if let Some(attempt) = request.attempts.get_mut(usize::from(attempt.0)) {
            attempt.outcome = Some(outcome);
        }
    }

    /// Handles an answer that had counted and was found to be wrong: its attempt has failed and may have run. The caller
    /// keeps the answer's value only while the query is in flight, so that nothing is left to do for other queries.
    pub fn answer_withdrawn(
        &mut self,
        now: Micros,
        query: QueryId,
        request: ShardRequestId,
        attempt: AttemptNo,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        if let Some((index, failed)) = self.withdraw_answer(query, request, attempt) {
            let latency = now.since(failed.sent_at);
            self.record_outcome(failed.node, index, latency, AttemptOutcome::MayHaveRun);
        }
        self.run_rules(out);
    }

    /// Records that an answered attempt has failed. Returns the index of its query and the attempt.
    fn withdraw_answer(
        &mut self,
        query: QueryId,
        request: ShardRequestId,
        attempt: AttemptNo,
    ) -> Option<(IndexNo, Attempt)> {
        let query = self.queries.get_mut(&query)?;
        let request = query.requests.iter_mut().find(|sent| sent.id == request)?;
        let attempt = request.attempts.get_mut(usize::from(attempt.0))?;
        attempt.outcome = Some(AttemptOutcome::MayHaveRun);
        request.answered = false;
        Some((query.index, *attempt))
    }

    /// Sends a shard request to a node if this is still allowed. A plan may contain retries of several requests, and
    /// each may use up the retry budget on which the next one relied.
    pub(super) fn send_attempt(
        &mut self,
        id: QueryId,
        request_index: usize,
        to: NodeId,
        out: &mut dyn Actions,
    ) {
        let query = self.queries.get(&id);
        let Some(query) =
            query.filter(|query| self.may_send(query, &query.requests[request_index]))
        else {
            return;
        };
        let request = &query.requests[request_index];
        let key = (request.id, AttemptNo(request.attempts.len() as u8));
        let cost = self.relative_cost(request);
        let limit = self.attempt_timeout(query);
        let index = query.index;
        let Some(node) = self.nodes.get(&to) else {
            return;
        };
        let in_flight = InFlightAttempt {
            query: id,
            request_index,
            index,
            sent_at: self.now,
            relative_cost: cost,
            depth_when_sent: node.in_flight_cost() + cost,
        };
        let on_idle_connection = self.uses_idle_connection(to, out);
        self.record_send(to, key, in_flight, on_idle_connection);
        out.send_attempt(key.0, to, limit);
    }

    /// Returns the time-out of an attempt sent now. Attempts time out at the soft deadline, so that nodes do not
    /// work on requests that are already late; when that is about to pass or has passed, they time out at the
    /// deadline.
    fn attempt_timeout(&self, query: &Query) -> Micros {
        let due = if self.is_soon(query.soft_deadline) {
            query.deadline
        } else {
            query.soft_deadline
        };
        due.since(self.now).max(Micros(1))
    }

    fn record_send(
        &mut self,
        to: NodeId,
        key: (ShardRequestId, AttemptNo),
        in_flight: InFlightAttempt,
        on_idle_connection: bool,
    ) {
        let now = self.now;
        let retention = self.config.slow_start_duration;
        if let Some(node) = self.nodes.get_mut(&to) {
            if on_idle_connection {
                node.attempt_on_idle_connection = Some(key);
            }
            node.in_flight.insert(key, in_flight);
            drop_old(&mut node.recent_sends, |send| {
                now.since(send.sent_at) > retention
            });
            node.recent_sends.push_back(RecentSend {
                sent_at: now,
                cost: in_flight.relative_cost.max(1.0),
            });
        }
        self.monitored.insert(to);
        let is_extra = key.1 .0 > 0;
        if is_extra && self.config.retry_budget_window.is_some() {
            self.extra_attempts.push_back(now);
        }
        if let Some(query) = self.queries.get_mut(&in_flight.query) {
            query.requests[in_flight.request_index]
                .attempts
                .push(Attempt {
                    node: to,
                    sent_at: now,
                    outcome: None,
                });
        }
    }

    pub(super) fn cancel_in_flight(&mut self, requests: &[ShardRequest], out: &mut dyn Actions) {
        if !self.config.cancellation {
            return;
        }
        for request in requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    out.cancel_attempt(request.id, AttemptNo(number as u8));
                }
            }
        }
    }
}
