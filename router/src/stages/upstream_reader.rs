//! Reads what nodes send, and matches answers to attempts by connection and id.
//!
//! The reading half of a connection's task in `upstream_connection.rs`. A value goes to the in-flight table, the end of its
//! attempt to the decision module through `dispatch.rs`.

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

/// Bytes of a node that may wait to be parsed.
const INPUT_BOUND: usize = 16 * 1024;
/// Bytes of a node's error text that are logged.
const LOGGED_BYTES: usize = 200;
/// Reads in a row before other connections get their turn.
const READS_IN_A_ROW: usize = 16;

/// What a node has sent cannot be used; its connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum UnusableInput {
    /// A frame, or the answer in it, is malformed.
    #[error("{0}")]
    Malformed(BadFrame),
    /// A frame is begun and not finished in the time of a dial.
    #[error("a frame is not finished")]
    Unfinished,
    /// The node says that it could not use a frame of the router's.
    #[error("the node could not use a frame")]
    RejectedByNode,
    /// A frame of a kind that nodes do not send.
    #[error("a frame of unknown letter")]
    UnknownKind,
    /// An answer to an attempt that never was on this connection.
    #[error("an answer of unknown id")]
    UnknownAttempt,
    /// A load report is not UTF-8.
    #[error("a report is not text")]
    ReportNotText,
    /// The connection's record is gone already.
    #[error("its connection is removed")]
    ConnectionRemoved,
}

/// Reads a connection until it ends or sends what cannot be used: also a frame that is begun and not finished in the time of a
/// dial, which would take in all that comes behind it.
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
        frame_begun: None,
        memory: router.budget.share(),
    };
    loop {
        if let Err(end) = reader.read_when_ready(stream).await {
            return end;
        }
    }
}

/// The bytes of one connection that are not yet complete frames.
struct UpstreamReader<'a> {
    router: &'a Router,
    id: ConnectionId,
    input: Ring,
    frame: Vec<u8>,
    /// When the first byte of the frame that is not finished was read.
    frame_begun: Option<Micros>,
    memory: MemoryShare,
}

impl UpstreamReader<'_> {
    /// Waits for bytes, and reads until there are none or others have their turn.
    async fn read_when_ready(&mut self, stream: &Async<TcpStream>) -> Result<(), UpstreamEnd> {
        let unfinished_until = self
            .frame_begun
            .zip(self.router.bounds.dial_timeout)
            .map(|(begun, limit)| begun + limit);
        let ready = self
            .router
            .with_deadline(unfinished_until, stream.readable())
            .await;
        match ready {
            Some(Ok(())) => {}
            Some(Err(_)) => return Err(UpstreamEnd::ReadFailed),
            None => return Err(self.unusable(UnusableInput::Unfinished)),
        }
        for _ in 0..READS_IN_A_ROW {
            match stream.get_ref().read(self.input.free()) {
                Ok(0) => return Err(UpstreamEnd::ClosedByNode),
                Ok(count) => self.input.commit(count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return Err(UpstreamEnd::ReadFailed),
            }
            self.take_frames()?;
        }
        self.input.release_if_empty();
        Ok(())
    }

    /// Takes all complete frames off the input.
    fn take_frames(&mut self) -> Result<(), UpstreamEnd> {
        loop {
            match frames::read_frame(&mut self.input, &mut self.frame) {
                Ok(None) => break,
                Ok(Some(letter)) => {
                    if let Err(error) = take_frame(self.router, self.id, letter, &self.frame) {
                        return Err(self.unusable(error));
                    }
                    self.note_heard();
                    self.frame_begun = None;
                    self.frame = Vec::new();
                }
                Err(error) => {
                    // What is there of the frame is no frame, and names no attempt.
                    self.frame.clear();
                    return Err(self.unusable(UnusableInput::Malformed(error)));
                }
            }
        }
        self.memory.set(self.frame.capacity());
        self.frame_begun = if self.frame.is_empty() {
            None
        } else {
            self.frame_begun.or(Some(self.router.clock.now()))
        };
        Ok(())
    }

    /// Ends the connection over what the node has sent; the attempt that the frame names is the one that has failed.
    fn unusable(&self, error: UnusableInput) -> UpstreamEnd {
        let now = self.router.clock.now();
        let mut decisions = self.router.decisions.borrow_mut();
        decisions.effects.now = now;
        let named = frames::parse_shard_request_id(&self.frame);
        decisions.effects.abandon_connection(self.id, error, named);
        UpstreamEnd::UnusableInput(error)
    }

    fn note_heard(&self) {
        let now = self.router.clock.now();
        let mut decisions = self.router.decisions.borrow_mut();
        decisions.effects.nodes.last_received = now;
        if let Some(connection) = decisions.effects.nodes.connection_mut(self.id) {
            connection.last_used = now;
            connection.last_received = now;
        }
    }
}

fn take_frame(
    router: &Router,
    id: ConnectionId,
    letter: u8,
    rest: &[u8],
) -> Result<(), UnusableInput> {
    match letter {
        b'a' => take_answer(router, id, rest),
        b'l' => take_load_report(router, id, rest),
        b'p' => Ok(()),
        b'e' => {
            let text = String::from_utf8_lossy(&rest[..rest.len().min(LOGGED_BYTES)]);
            tracing::debug!(%text, "a node reports an error");
            Err(UnusableInput::RejectedByNode)
        }
        _ => Err(UnusableInput::UnknownKind),
    }
}

fn take_answer(router: &Router, id: ConnectionId, rest: &[u8]) -> Result<(), UnusableInput> {
    let answer = frames::parse_shard_response(rest).map_err(UnusableInput::Malformed)?;
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

/// Takes the attempt that an answer names off its connection and the in-flight table; none if it is over already.
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
        // An answer to an attempt that was given up is ordinary, and a second answer harmless. One to an attempt that never
        // was on this connection belongs to another one, which would wait until its time is up.
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

fn take_load_report(router: &Router, id: ConnectionId, rest: &[u8]) -> Result<(), UnusableInput> {
    let text = std::str::from_utf8(rest).map_err(|_| UnusableInput::ReportNotText)?;
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
