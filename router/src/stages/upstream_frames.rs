//! Handles complete frames of nodes, and matches answers to attempts by connection and id.
//!
//! `upstream_reader.rs` reads the frames and confirms the length of answers. The value of an answer goes to the in-flight
//! table, the outcome of its attempt through `dispatch.rs` to the routing engine.

use ternpick::types::{AttemptOutcome, Micros};
use ternpick_wire::frames::{self, ResponseStatus, ShardResponse};

use crate::router::Router;
use crate::stages::completion::{EffectQueue, FinishedAttempt};
use crate::stages::upstream_reader::UnusableInput;
use crate::stages::{dispatch, upstream_writer};
use crate::state::carried_attempts::AnswerOwner;
use crate::state::in_flight::AttemptKey;
use crate::state::nodes::ConnectionId;
use crate::state::response_size::ValueTooLong;

/// The maximum number of bytes of a node's error text in a log line.
const MAX_LOGGED_BYTES: usize = 200;

/// Handles a complete frame that is no answer.
pub(super) fn handle_frame(
    router: &Router,
    id: ConnectionId,
    letter: u8,
    payload: &[u8],
) -> Result<(), UnusableInput> {
    match letter {
        b'l' => handle_load_report(router, id, payload),
        b'p' => Ok(()),
        b'e' => {
            let text = String::from_utf8_lossy(&payload[..payload.len().min(MAX_LOGGED_BYTES)]);
            tracing::debug!(%text, "a node reports an error");
            Err(UnusableInput::RejectedByNode)
        }
        _ => Err(UnusableInput::UnknownKind),
    }
}

/// Passes an answer that arrived at `arrived_at` to the attempt that it names. Returns that attempt, unless it has ended before.
pub(super) fn handle_answer(
    router: &Router,
    id: ConnectionId,
    payload: &[u8],
    arrived_at: Micros,
) -> Result<Option<AttemptKey>, UnusableInput> {
    let answer = frames::parse_shard_response(payload).map_err(UnusableInput::Malformed)?;
    let outcome = match answer.status {
        ResponseStatus::Served => AttemptOutcome::Satisfied,
        ResponseStatus::Failed => AttemptOutcome::MayHaveRun,
        ResponseStatus::NotStarted => AttemptOutcome::NeverRan,
    };
    let Some(finished) = finish_attempt(router, id, &answer, outcome, arrived_at)? else {
        return Ok(None);
    };
    let load_report =
        frames::parse_load_report(answer.load_report, &router.bounds.load_metric_names);
    let key = finished.key;
    dispatch::attempt_finished(router, finished, &load_report);
    Ok(Some(key))
}

/// Removes the attempt that an answer names from its connection and from the in-flight table; returns `None` if the
/// attempt has already ended.
fn finish_attempt(
    router: &Router,
    id: ConnectionId,
    answer: &ShardResponse,
    outcome: AttemptOutcome,
    arrived_at: Micros,
) -> Result<Option<FinishedAttempt>, UnusableInput> {
    let now = router.clock.now();
    let mut decisions = router.decisions.borrow_mut();
    let effects = &mut decisions.effects;
    let outcome = check_answer(effects, id, answer, outcome)?;
    let connection = effects
        .nodes
        .connection_mut(id)
        .ok_or(UnusableInput::ConnectionRemoved)?;
    let key = match connection.attempts.record_answer(answer.id, now) {
        AnswerOwner::InFlight(key) => key,
        // An answer to an abandoned attempt is normal, and a second answer is harmless.
        AnswerOwner::Ended | AnswerOwner::Answered => return Ok(None),
        // An answer to an attempt that was never on this connection belongs to another attempt, which would otherwise
        // wait until its deadline.
        AnswerOwner::Unknown => return Err(UnusableInput::UnknownAttempt),
    };
    let Some(attempt) = effects.in_flight.finish(key) else {
        return Ok(None);
    };
    effects.in_flight.record_outcome(&attempt, outcome);
    if let Some((query, _)) = effects.in_flight.shard_request(&attempt) {
        query
            .admission
            .span
            .in_scope(|| tracing::debug!(attempt = &*attempt.id, ?outcome, "attempt answered"));
    }
    if outcome == AttemptOutcome::Satisfied {
        let (_, number) = key;
        effects
            .in_flight
            .store_value(number, &attempt, answer.value);
    }
    effects.nodes.wake_retired(id);
    Ok(Some(FinishedAttempt {
        key,
        attempt,
        outcome,
        ended_at: arrived_at,
    }))
}

/// Checks an answer against the attempt in flight that it names, if there is one. Returns the outcome of the attempt,
/// which has failed if its value does not fit into the response.
fn check_answer(
    effects: &EffectQueue,
    id: ConnectionId,
    answer: &ShardResponse,
    outcome: AttemptOutcome,
) -> Result<AttemptOutcome, UnusableInput> {
    let connection = effects.nodes.connection(id);
    let key = connection.and_then(|connection| connection.attempts.get(answer.id));
    let Some(attempt) = key.and_then(|key| effects.in_flight.attempt(key)) else {
        return Ok(outcome);
    };
    if !upstream_writer::is_written(&effects.nodes, attempt) {
        return Err(UnusableInput::UnknownAttempt);
    }
    if outcome != AttemptOutcome::Satisfied {
        return Ok(outcome);
    }
    match effects.in_flight.check_value(attempt, answer.value) {
        Ok(()) => Ok(outcome),
        Err(ValueTooLong::ByItself) => Err(UnusableInput::ValueTooLong),
        Err(error @ ValueTooLong::WithOthers) => {
            tracing::debug!(attempt = answer.id, bytes = answer.value.len(), %error, "value rejected");
            Ok(AttemptOutcome::MayHaveRun)
        }
    }
}

/// Passes a load report to the routing engine. One that was not requested is ignored: each report makes the engine
/// decide anew, so that a node that sends them without end would take up the router's time.
fn handle_load_report(
    router: &Router,
    id: ConnectionId,
    payload: &[u8],
) -> Result<(), UnusableInput> {
    let text = std::str::from_utf8(payload).map_err(|_| UnusableInput::ReportNotText)?;
    let node = {
        let mut decisions = router.decisions.borrow_mut();
        let connection = decisions.effects.nodes.connection_mut(id);
        let connection = connection.ok_or(UnusableInput::ConnectionRemoved)?;
        if !connection.take_awaited_report() {
            return Ok(());
        }
        connection.node
    };
    let report = frames::parse_load_report(text.trim_end(), &router.bounds.load_metric_names);
    router.apply(|engine, now, effects| {
        engine.health_check_finished(now, node, &report, effects);
    });
    Ok(())
}
