//! Dispatch: passes inputs to the routing engine one after another, and has the effects of each turn carried out.
//!
//! Inputs are new queries (from admission), disconnected clients, ended attempts, and timers. `lifecycle/start.rs`
//! runs the loop [`run_turns`]; `upstream_writer.rs` carries out the effects of a turn, and `attempt_deadline.rs`
//! handles the deadlines of attempts.

use std::rc::Rc;

use async_io::Timer;
use futures_lite::future;
use ternpick::types::{CustomerNo, IndexNo, Micros, QueryId, ShardRequestId, WireQueryNo};

use ternpick_wire::query::ShardFields;

use crate::router::Router;
use crate::stages::completion::{CancelFrame, FinishedAttempt};
use crate::stages::{attempt_deadline, upstream_writer};
use crate::state::in_flight::AttemptKey;
use crate::state::turns::LATE_AFTER;

/// A query that admission has entered in the in-flight table.
pub(super) struct NewQuery {
    /// Its id in the table.
    pub(super) id: QueryId,
    /// The index that it queries.
    pub(super) index: IndexNo,
    /// The tenant that it is charged to.
    pub(super) tenant: CustomerNo,
    /// The time left until its client's deadline.
    pub(super) time_left: Micros,
    /// Whether the client has marked it as a retry.
    pub(super) is_retry: bool,
    /// Its shard requests.
    pub(super) shard_requests: Vec<NewShardRequest>,
}

/// One shard request of a new query.
pub(super) struct NewShardRequest {
    /// Its id in the table.
    pub(super) id: ShardRequestId,
    /// The shard, weight and work hint that the client has sent.
    pub(super) fields: ShardFields,
}

/// Passes a query and all its shard requests to the routing engine.
pub(super) fn start_query(router: &Router, query: NewQuery) {
    let number = WireQueryNo(query.id.0);
    let shard_request_count = query.shard_requests.len();
    router.apply(|engine, now, effects| {
        effects.counts.admitted += 1;
        if let Some(record) = effects.in_flight.query(query.id) {
            let time_left_us = query.time_left.0;
            record.admission.span.in_scope(|| {
                tracing::debug!(
                    shard_requests = shard_request_count,
                    time_left_us,
                    "query dispatched"
                )
            });
        }
        engine.query_received(
            now,
            query.id,
            number,
            query.index,
            query.tenant,
            shard_request_count,
            query.time_left,
            query.is_retry,
            effects,
        );
        for request in query.shard_requests {
            engine.shard_request_received(
                now,
                request.id,
                number,
                request.fields.shard,
                request.fields.weight,
                request.fields.work_hint,
                effects,
            );
        }
    });
}

/// Closes a query whose client has disconnected, and informs the routing engine.
pub(super) fn client_left(router: &Router, query: QueryId) {
    router.apply(|engine, now, effects| {
        if effects.in_flight.query(query).is_some() {
            effects.client_left(query);
            engine.client_left(now, query, effects);
        }
    });
}

/// Passes the outcome of an attempt to the routing engine, with the load report received with it.
pub(super) fn attempt_finished(router: &Router, finished: FinishedAttempt, load_report: &[f64]) {
    let (shard_request, number) = finished.key;
    let attempt = finished.attempt;
    router.apply(|engine, now, effects| {
        engine.attempt_finished(
            now,
            shard_request,
            number,
            attempt.node,
            finished.ended_at.since(attempt.requested_at),
            finished.outcome,
            load_report,
            effects,
        );
    });
}

/// Withdraws the value that an attempt returned, because it was found to be wrong, if its query is still in flight.
pub(super) fn answer_withdrawn(router: &Router, key: AttemptKey) {
    router.apply(|engine, now, effects| {
        let (shard_request, number) = key;
        if let Some(query) = effects.in_flight.withdraw_value(key) {
            engine.answer_withdrawn(now, query, shard_request, number, effects);
        }
    });
}

/// The maximum number of ended attempts, checks and timers that are applied in a row before other tasks run.
const INPUTS_IN_A_ROW: usize = 32;

/// Whether inputs that are due are left for the next turn.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Applied {
    /// Nothing more is due.
    All,
    /// More inputs may be due, and other tasks run first.
    Some,
}

/// Applies ended attempts, attempt checks and timers that are due, up to a bound: each may make the routing engine
/// decide on all queries, and as many may come due together as attempts are in flight.
fn apply_due(router: &Router) -> Applied {
    for _ in 0..INPUTS_IN_A_ROW {
        if !apply_next_due(router) {
            return Applied::All;
        }
    }
    Applied::Some
}

/// Applies the next due input; returns false if there is none.
fn apply_next_due(router: &Router) -> bool {
    let now = router.clock.now();
    let mut decisions = router.decisions.borrow_mut();
    let cancel_frame = if decisions.engine.config.cancellation {
        CancelFrame::Send
    } else {
        CancelFrame::Omit
    };
    let effects = &mut decisions.effects;
    effects.now = now;
    if let Some(finished) = effects.finished_attempts.pop_front() {
        drop(decisions);
        attempt_finished(router, finished, &[]);
        return true;
    }
    if let Some(key) = effects.in_flight.due_check(now) {
        attempt_deadline::check(effects, key, cancel_frame);
        return true;
    }
    if effects.timers.first().is_none_or(|(at, _)| *at > now) {
        return false;
    }
    let Some((_, timer)) = effects.timers.pop_first() else {
        return false;
    };
    drop(decisions);
    router.apply(|engine, now, effects| engine.timer_fired(now, timer, effects));
    true
}

/// Whether this process was held up, and has not read what has arrived since.
fn is_behind(router: &Router) -> bool {
    let now = router.clock.now();
    let decisions = router.decisions.borrow();
    let overdue_since = decisions.effects.overdue_since(now);
    if let Some(due) = overdue_since {
        router.turns.record_timer(now.since(due));
    }
    overdue_since.is_some() || decisions.engine.defers_decisions()
}

/// If this process was held up, first lets all that has arrived be read and then has the routing engine decide on it.
/// Otherwise attempts timed out whose answers had arrived, and nodes were held responsible for this process's delay.
async fn catch_up(router: &Router) {
    if !is_behind(router) {
        return;
    }
    router.read_arrived().await;
    router.decisions.borrow_mut().effects.caught_up_at = router.clock.now();
    router.apply(|engine, now, effects| engine.resume_decisions(now, effects));
}

/// Runs the turns of a router for as long as it runs. A turn starts when an input is applied or a timer is due, and
/// applies a bounded number of inputs. It first lets all ready inputs be applied, then carries out all effects together, so that shard requests for one node
/// share a frame.
pub(crate) async fn run_turns(router: Rc<Router>) {
    loop {
        let input_applied = router.input_applied.listen();
        future::yield_now().await;
        catch_up(&router).await;
        let applied = apply_due(&router);
        upstream_writer::carry_out(&router);
        if applied == Applied::Some {
            continue;
        }
        let next_due = router.decisions.borrow().effects.next_due();
        match next_due {
            Some(at) => {
                let timer = Timer::at(router.clock.instant(at));
                let due = async {
                    timer.await;
                };
                future::or(input_applied, due).await;
                let now = router.clock.now();
                if now >= at && now.since(at) <= LATE_AFTER {
                    router.turns.record_timer(now.since(at));
                }
            }
            None => input_applied.await,
        }
    }
}
