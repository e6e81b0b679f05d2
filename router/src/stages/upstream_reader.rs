//! Reads frames from nodes, and matches answers to attempts by connection and id.
//!
//! This is the reading half of a connection's task in `upstream_connection.rs`. The value of an answer goes to the
//! in-flight table, the outcome of its attempt through `dispatch.rs` to the routing engine.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;

use async_io::Async;
use ternpick::types::{AttemptOutcome, Micros};
use ternpick_wire::frames::{self, BadFrame, ResponseStatus, ShardResponse};
use ternpick_wire::ring::Ring;

use crate::router::Router;
use crate::stages::completion::FinishedAttempt;
use crate::stages::dispatch;
use crate::stages::upstream_connection::UpstreamEnd;
use crate::state::memory_budget::MemoryShare;
use crate::state::nodes::ConnectionId;

/// The bound of the input buffer, in bytes.
const INPUT_BOUND: usize = 16 * 1024;
/// The maximum number of bytes of a node's error text in a log line.
const MAX_LOGGED_BYTES: usize = 200;
/// The maximum number of consecutive reads before other tasks run.
const READS_IN_A_ROW: usize = 16;

/// Why data from a node is unusable; its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UnusableInput {
    /// A frame, or the answer in it, is malformed.
    #[error("{0}")]
    Malformed(BadFrame),
    /// A frame was not completed within the dial timeout.
    #[error("a frame was not completed within the dial timeout")]
    IncompleteFrame,
    /// The node has reported that a frame of the router was unusable.
    #[error("the node rejected a frame of the router")]
    RejectedByNode,
    /// The node has sent a frame of a kind that only routers send, or of an unknown kind.
    #[error("a frame with an unknown letter")]
    UnknownKind,
    /// The node has answered an attempt that was never sent on this connection.
    #[error("an answer with an unknown id")]
    UnknownAttempt,
    /// A load report is not UTF-8.
    #[error("a load report is not UTF-8")]
    ReportNotText,
    /// The record of the connection has already been removed.
    #[error("the connection is already removed")]
    ConnectionRemoved,
}

/// Reads from a connection until it ends or delivers unusable data. A frame that is not completed within the dial
/// timeout is unusable too, because it would absorb all bytes that follow it.
pub(super) async fn read(
    router: &Router,
    id: ConnectionId,
    stream: &Async<TcpStream>,
) -> UpstreamEnd {
    let mut reader = UpstreamReader {
        router,
        id,
        input: Ring::new(INPUT_BOUND),
        frame: Vec::new(),
        frame_began_at: None,
        memory: router.budget.share(),
    };
    loop {
        if let Err(end) = reader.read_when_ready(stream).await {
            return end;
        }
    }
}

/// The reader of one connection, with the bytes that are not complete frames yet.
struct UpstreamReader<'a> {
    router: &'a Router,
    id: ConnectionId,
    input: Ring,
    frame: Vec<u8>,
    /// When the first byte of the incomplete frame was read.
    frame_began_at: Option<Micros>,
    memory: MemoryShare,
}

impl UpstreamReader<'_> {
    /// Waits for bytes, then reads until there are none or other tasks must run.
    async fn read_when_ready(&mut self, stream: &Async<TcpStream>) -> Result<(), UpstreamEnd> {
        let unfinished_until = self
            .frame_began_at
            .zip(self.router.bounds.dial_timeout)
            .map(|(begun, limit)| begun + limit);
        let ready = self
            .router
            .with_deadline(unfinished_until, stream.readable())
            .await;
        match ready {
            Some(Ok(())) => {}
            Some(Err(_)) => return Err(UpstreamEnd::ReadFailed),
            None => return Err(self.abandon_connection(UnusableInput::IncompleteFrame)),
        }
        for _ in 0..READS_IN_A_ROW {
            match stream.get_ref().read(self.input.free()) {
                Ok(0) => return Err(UpstreamEnd::ClosedByNode),
                Ok(count) => self.input.commit(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return Err(UpstreamEnd::ReadFailed),
            }
            self.handle_frames()?;
        }
        self.input.release_if_empty();
        Ok(())
    }

    /// Handles all complete frames in the input buffer.
    fn handle_frames(&mut self) -> Result<(), UpstreamEnd> {
        loop {
            match frames::read_frame(&mut self.input, &mut self.frame) {
                Ok(None) => break,
                Ok(Some(letter)) => {
                    if let Err(error) = handle_frame(self.router, self.id, letter, &self.frame) {
                        return Err(self.abandon_connection(error));
                    }
                    self.record_reception();
                    self.frame_began_at = None;
                    self.frame = Vec::new();
                }
                Err(error) => {
                    // The bytes read so far are not a frame, and name no attempt.
                    self.frame.clear();
                    return Err(self.abandon_connection(UnusableInput::Malformed(error)));
                }
            }
        }
        self.memory.set(self.frame.capacity());
        self.frame_began_at = if self.frame.is_empty() {
            None
        } else {
            self.frame_began_at.or(Some(self.router.clock.now()))
        };
        Ok(())
    }

    /// Abandons the connection because of unusable data; the attempt that the frame names has failed.
    fn abandon_connection(&self, error: UnusableInput) -> UpstreamEnd {
        let now = self.router.clock.now();
        let mut decisions = self.router.decisions.borrow_mut();
        decisions.effects.now = now;
        let attempt_id = frames::parse_shard_request_id(&self.frame);
        decisions
            .effects
            .abandon_connection(self.id, error, attempt_id);
        UpstreamEnd::UnusableInput(error)
    }

    fn record_reception(&self) {
        let now = self.router.clock.now();
        let mut decisions = self.router.decisions.borrow_mut();
        decisions.effects.nodes.last_received = now;
        if let Some(connection) = decisions.effects.nodes.connection_mut(self.id) {
            connection.last_used = now;
            connection.last_received = now;
        }
    }
}

fn handle_frame(
    router: &Router,
    id: ConnectionId,
    letter: u8,
    payload: &[u8],
) -> Result<(), UnusableInput> {
    match letter {
        b'a' => handle_answer(router, id, payload),
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

fn handle_answer(router: &Router, id: ConnectionId, payload: &[u8]) -> Result<(), UnusableInput> {
    let answer = frames::parse_shard_response(payload).map_err(UnusableInput::Malformed)?;
    let outcome = match answer.status {
        ResponseStatus::Served => AttemptOutcome::Satisfied,
        ResponseStatus::Failed => AttemptOutcome::MayHaveRun,
        ResponseStatus::NotStarted => AttemptOutcome::NeverRan,
    };
    let Some(finished) = finish_attempt(router, id, &answer, outcome)? else {
        return Ok(());
    };
    let load_report =
        frames::parse_load_report(answer.load_report, &router.bounds.load_metric_names);
    dispatch::attempt_finished(router, finished, &load_report);
    Ok(())
}

/// Removes the attempt that an answer names from its connection and from the in-flight table; returns `None` if the
/// attempt has already ended.
fn finish_attempt(
    router: &Router,
    id: ConnectionId,
    answer: &ShardResponse,
    outcome: AttemptOutcome,
) -> Result<Option<FinishedAttempt>, UnusableInput> {
    let now = router.clock.now();
    let mut decisions = router.decisions.borrow_mut();
    let effects = &mut decisions.effects;
    let connection = effects
        .nodes
        .connection_mut(id)
        .ok_or(UnusableInput::ConnectionRemoved)?;
    let Some(key) = connection.attempts.remove(answer.id) else {
        // An answer to an abandoned attempt is normal, and a second answer is harmless. An answer to an attempt that
        // was never on this connection belongs to another attempt, which would otherwise wait until its deadline.
        return if connection.is_finished(answer.id) {
            Ok(None)
        } else {
            Err(UnusableInput::UnknownAttempt)
        };
    };
    let Some(attempt) = effects.in_flight.finish(key) else {
        return Ok(None);
    };
    connection.mark_finished(&attempt.id, now);
    if let Some((query, _)) = effects.in_flight.shard_request(&attempt) {
        query
            .admission
            .span
            .in_scope(|| tracing::debug!(attempt = &*attempt.id, ?outcome, "attempt answered"));
    }
    if outcome == AttemptOutcome::Satisfied {
        effects.in_flight.store_value(&attempt, answer.value);
    }
    effects.nodes.wake_retired(id);
    Ok(Some(FinishedAttempt {
        key,
        attempt,
        outcome,
    }))
}

fn handle_load_report(
    router: &Router,
    id: ConnectionId,
    payload: &[u8],
) -> Result<(), UnusableInput> {
    let text = std::str::from_utf8(payload).map_err(|_| UnusableInput::ReportNotText)?;
    let node = {
        let decisions = router.decisions.borrow();
        let connection = decisions.effects.nodes.connection(id);
        connection.ok_or(UnusableInput::ConnectionRemoved)?.node
    };
    let report = frames::parse_load_report(text.trim_end(), &router.bounds.load_metric_names);
    router.apply(|engine, now, effects| {
        engine.health_check_finished(now, node, &report, effects);
    });
    Ok(())
}
