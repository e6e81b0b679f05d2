//! Completion: carries out the routing engine's actions on queries and attempts, and closes queries.
//!
//! [`EffectQueue`] implements the engine's [`Actions`]. Attempts and health checks are queued here until
//! `upstream_writer.rs` sends them at the end of the turn; answers go to the client's
//! [`PendingResponse`](crate::state::clients::PendingResponse) at once. [`EffectQueue::close`] releases a query's
//! record, its shard requests and its pending response; [`InFlightTable::finish`] releases an attempt's record.

mod counts;
#[cfg(test)]
mod tests;

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ternpick::actions::Actions;
use ternpick::types::{
    AttemptNo, AttemptOutcome, DecisionReason, Micros, NodeId, QueryId, ShardRequestId, TimerId,
};
use ternpick_platform_config::Bounds;
use ternpick_tenant_limits::Limits;
use ternpick_wire::{frames, query};

pub(crate) use crate::stages::completion::counts::Counts;

use crate::fleet::PolicyMark;
use crate::stages::upstream_reader::UnusableInput;
use crate::stages::upstream_writer;
use crate::state::forwarded_ids::ForwardedIds;
use crate::state::in_flight::{AttemptKey, AttemptProgress, InFlightTable, OutgoingAttempt};
use crate::state::nodes::{ConnectionId, Nodes};
use crate::state::turns::LATE_AFTER;

/// An attempt that has ended, and whose outcome has not been passed to the routing engine yet.
pub(crate) struct FinishedAttempt {
    /// Its shard request and number.
    pub(crate) key: AttemptKey,
    /// Its record, which has been removed from the in-flight table.
    pub(crate) attempt: OutgoingAttempt,
    /// How it ended.
    pub(crate) outcome: AttemptOutcome,
    /// When it ended, as far as is known: an answer may have arrived before this process read it.
    pub(crate) ended_at: Micros,
}

/// Whether the router sends the node a cancel frame for an abandoned attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CancelFrame {
    /// The node gets a cancel frame, if it may have received the attempt.
    Send,
    /// The node may finish the attempt.
    Omit,
}

/// The state on which the routing engine's actions operate: the queries and attempts in flight, the nodes, and the
/// effects that are not carried out yet.
#[derive(Default)]
pub(crate) struct EffectQueue {
    /// The time of the current input, on the router's clock.
    pub(crate) now: Micros,
    /// Limits of the platform configuration.
    pub(crate) bounds: Rc<Bounds>,
    /// Queries, shard requests and attempts in flight.
    pub(crate) in_flight: InFlightTable,
    /// Ids of ended queries that must not run twice.
    pub(crate) forwarded_ids: ForwardedIds,
    /// Nodes and the connections to them.
    pub(crate) nodes: Nodes,
    /// Counts of queries by outcome.
    pub(crate) counts: Counts,
    /// Attempts requested by the engine since the last turn, in order; emptied by `upstream_writer.rs`.
    pub(crate) ordered_attempts: Vec<AttemptKey>,
    /// Nodes to be sent a health check, which requests a load report; emptied by `upstream_writer.rs`.
    pub(crate) health_checks: Vec<NodeId>,
    /// Attempts that have ended; emptied by the next turn of `dispatch.rs`.
    pub(crate) finished_attempts: VecDeque<FinishedAttempt>,
    /// Timers of the routing engine, by the time at which they fire.
    pub(crate) timers: BTreeSet<(Micros, TimerId)>,
    /// Whether the routing engine has requested a new watch of the endpoint list.
    pub(crate) watch_wanted: bool,
    /// When a turn last read all that had arrived. Timers that were due by then do not show that this process is late.
    pub(crate) caught_up_at: Micros,
    /// The limit on queries and shard requests in flight while two processes share a router's limit; `None` if only
    /// the limit of the settings applies.
    pub(crate) shared_limit: Option<usize>,
    /// The tenants' limits and their queries in flight; `None` without an auth filter.
    pub(crate) limits: Option<Limits>,
    /// Whether the last query found the router at capacity.
    pub(crate) at_capacity: bool,
}

impl EffectQueue {
    /// When the next timer or check of an attempt is due.
    pub(crate) fn next_due(&self) -> Option<Micros> {
        let timer = self.timers.first().map(|(at, _)| *at);
        timer.into_iter().chain(self.in_flight.next_check()).min()
    }

    /// If this process is late, returns since when: bytes that have arrived since may not have been read.
    pub(crate) fn overdue_since(&self, now: Micros) -> Option<Micros> {
        self.next_due()
            .filter(|due| *due > self.caught_up_at && now.since(*due) > LATE_AFTER)
    }

    /// Whether the queries and shard requests in flight have reached their limit. If so, counts the calling query as
    /// rejected.
    pub(crate) fn is_full(&mut self) -> bool {
        let in_flight = self.in_flight.load();
        let limit = self
            .bounds
            .max_in_flight
            .into_iter()
            .chain(self.shared_limit)
            .min();
        let at_capacity = limit.is_some_and(|limit| in_flight >= limit);
        self.counts.over_capacity += u64::from(at_capacity);
        if self.at_capacity != at_capacity {
            self.at_capacity = at_capacity;
            let rejected = self.counts.over_capacity;
            if at_capacity {
                tracing::info!(in_flight, rejected, "at capacity, rejecting queries");
            } else {
                tracing::info!(in_flight, rejected, "below capacity, admitting queries");
            }
        }
        at_capacity
    }

    /// Abandons a connection on which the node has sent unusable data. The attempt that `attempt_id` names, if any,
    /// has failed.
    pub(super) fn abandon_connection(
        &mut self,
        id: ConnectionId,
        error: UnusableInput,
        attempt_id: Option<&str>,
    ) {
        let Some(connection) = self.nodes.connection_mut(id) else {
            return;
        };
        connection.abandon_on_bad_input(attempt_id);
        let node = connection.node.0;
        if let Some(count) = self.counts.unusable_inputs.count(self.now) {
            tracing::warn!(
                node = format_args!("{node:x}"),
                %error,
                count,
                "node connection closed, the node sent unusable data"
            );
        }
    }

    /// Ends an attempt that has no answer, and removes it from the in-flight table. This is the only place that does
    /// so. The routing engine receives the outcome in the next turn.
    pub(crate) fn end_attempt(&mut self, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(attempt) = self.in_flight.finish(key) else {
            return;
        };
        self.in_flight.record_outcome(&attempt, outcome);
        match attempt.progress {
            AttemptProgress::Ordered => self.ordered_attempts.retain(|ordered| *ordered != key),
            AttemptProgress::Waiting(id) => self.remove_waiting(id, key),
            AttemptProgress::Queued(id, end) => self.nodes.end_unanswered(id, &attempt.id, end),
        }
        self.finished_attempts.push_back(FinishedAttempt {
            key,
            attempt,
            outcome,
            ended_at: self.now,
        });
    }

    /// Removes an attempt from the frames that wait for a connection.
    fn remove_waiting(&mut self, id: ConnectionId, key: AttemptKey) {
        let Some(connection) = self.nodes.connection_mut(id) else {
            return;
        };
        for frame in &mut connection.waiting {
            frame.retain(|waiting| *waiting != key);
        }
        connection.waiting.retain(|frame| !frame.is_empty());
    }

    /// Abandons an attempt, and cancels it at the node if `cancel_frame` asks for it and the node may have received it.
    pub(crate) fn abandon_attempt(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        cancel_frame: CancelFrame,
    ) {
        let Some(attempt) = self.in_flight.attempt(key) else {
            return;
        };
        let written = upstream_writer::is_written(&self.nodes, attempt);
        if let AttemptProgress::Queued(id, _) = attempt.progress {
            if written && cancel_frame == CancelFrame::Send {
                let frame = frames::encode_cancel(&attempt.id);
                if let Some(connection) = self.nodes.connection_mut(id) {
                    // If the buffer has no room, the node is not reading; it drops the shard request at its deadline.
                    let _ = connection.push(&frame, self.now);
                }
            }
        }
        self.end_attempt(key, outcome);
    }

    /// Closes a query. This is the only place that does so; no attempt of the query is sent afterwards.
    fn close(&mut self, id: QueryId, status: u16, headers: String, body: String) {
        let may_have_run = self.may_have_run(id);
        let Some(query) = self.in_flight.close(id) else {
            return;
        };
        if query.admission.runs_once && may_have_run {
            self.forwarded_ids.insert(self.now, &query.request_id);
        }
        let took = self.now.since(query.admission.admitted_at);
        query.admission.span.in_scope(|| {
            tracing::debug!(status, took_us = took.0, "query completed");
        });
        let late = took > query.admission.latency_objective;
        self.counts.late += u64::from(status == 200 && late);
        if let (Some(limits), Some(tenant)) = (&mut self.limits, query.admission.tenant) {
            limits.release(self.now, tenant, took, late);
        }
        for shard_request in &query.shard_requests {
            self.end_unwritten_attempts(shard_request.id);
        }
        let mark = query
            .admission
            .mark
            .map(PolicyMark::headers)
            .unwrap_or_default();
        query.reply.set(status, headers + &mark, body);
    }

    /// Whether an attempt of a query may have run, or may be running.
    fn may_have_run(&self, id: QueryId) -> bool {
        let Some(query) = self.in_flight.query(id) else {
            return false;
        };
        let mut in_flight = query
            .shard_requests
            .iter()
            .flat_map(|request| self.in_flight.attempts_of(request.id));
        self.in_flight.may_have_run(id)
            || in_flight.any(|(_, attempt)| upstream_writer::is_written(&self.nodes, attempt))
    }

    /// Ends the attempts of a shard request whose frames have not been written in full.
    fn end_unwritten_attempts(&mut self, shard_request: ShardRequestId) {
        let unsent: Vec<AttemptKey> = self
            .in_flight
            .attempts_of(shard_request)
            .filter(|(_, attempt)| !upstream_writer::is_written(&self.nodes, attempt))
            .map(|(key, _)| key)
            .collect();
        for key in unsent {
            self.end_attempt(key, AttemptOutcome::Unsent);
        }
    }

    /// Closes a query whose client has disconnected, so that no answer is needed.
    pub(crate) fn client_left(&mut self, id: QueryId) {
        self.counts.client_left += 1;
        self.close(id, 503, String::new(), String::new());
    }
}

impl Actions for EffectQueue {
    fn send_attempt(&mut self, shard_request: ShardRequestId, node: NodeId, limit: Micros) {
        let dial_timeout = self.bounds.dial_timeout;
        if let Some(key) =
            self.in_flight
                .add_attempt(shard_request, node, self.now, limit, dial_timeout)
        {
            self.counts.attempts += 1;
            self.ordered_attempts.push(key);
        }
    }

    fn answer(&mut self, id: QueryId, complete: bool) {
        let Some(record) = self.in_flight.query(id) else {
            return;
        };
        let values = record
            .shard_requests
            .iter()
            .filter_map(|request| Some((request.shard, &*request.value.as_ref()?.text)));
        let body = query::encode_response_body(complete, values);
        self.counts.satisfied += 1;
        self.close(id, 200, String::new(), body);
    }

    fn reject(&mut self, query: QueryId, retry_after: Micros) {
        self.counts.rejected += 1;
        let body = "refused: asking again is harmless\n".to_owned();
        self.close(query, 503, self::retry_after(retry_after), body);
    }

    fn fail(&mut self, query: QueryId) {
        self.counts.failed += 1;
        let body = "failed: it may have had its effect\n".to_owned();
        self.close(query, 502, String::new(), body);
    }

    fn cancel_attempt(&mut self, shard_request: ShardRequestId, attempt: AttemptNo) {
        self.abandon_attempt(
            (shard_request, attempt),
            AttemptOutcome::Cancelled,
            CancelFrame::Send,
        );
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.nodes.retire_idle(node);
    }

    fn check_health(&mut self, node: NodeId) {
        self.health_checks.push(node);
    }

    fn watch_endpoints(&mut self) {
        self.watch_wanted = true;
    }

    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.timers.insert((self.now + delay, timer));
    }

    fn record_reason(&mut self, query: QueryId, reason: DecisionReason) {
        if let Some(record) = self.in_flight.query(query) {
            record
                .admission
                .span
                .in_scope(|| tracing::debug!(?reason, "decision"));
        }
    }

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}

/// Returns the `Retry-After` header line (RFC 9110, with a fraction of a second), or an empty text if `delay` is zero.
pub(crate) fn retry_after(delay: Micros) -> String {
    if delay.0 == 0 {
        return String::new();
    }
    let seconds = delay.0 / 1_000_000;
    let milliseconds = delay.0 / 1000 % 1000;
    format!("Retry-After: {seconds}.{milliseconds:03}\r\n")
}
