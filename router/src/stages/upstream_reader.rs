//! Reads frames from nodes, and holds each answer until its length is confirmed (`answer_hold.rs`).
//!
//! This is the reading half of a connection's task in `upstream_connection.rs`. `upstream_frames.rs` handles complete
//! frames.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::Instant;

use async_io::Async;
use futures_lite::future;
use ternpick::types::Micros;
use ternpick_wire::frames::{self, BadFrame, FrameStart};
use ternpick_wire::ring::Ring;

use crate::router::Router;
use crate::stages::answer_hold::{hold_time, Arrival, HeldAnswer, Pauses};
use crate::stages::dispatch;
use crate::stages::upstream_connection::UpstreamEnd;
use crate::stages::upstream_frames::{handle_answer, handle_frame};
use crate::state::in_flight::AttemptKey;
use crate::state::memory_budget::MemoryShare;
use crate::state::nodes::ConnectionId;
use crate::state::wake_time::WakeTime;

/// The bound of the input buffer, in bytes.
const INPUT_BOUND: usize = 16 * 1024;
/// The letter of an answer's frame.
const ANSWER: u8 = b'a';
/// The maximum number of consecutive reads before other tasks run.
const READS_IN_A_ROW: usize = 16;
/// The maximum number of frames that are handled in a row before other tasks run.
const FRAMES_IN_A_ROW: usize = 64;

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
    /// An answer's value is too long for any response of its query.
    #[error("an answer whose value is too long for a response")]
    ValueTooLong,
    /// A load report is not UTF-8.
    #[error("a load report is not UTF-8")]
    ReportNotText,
    /// The record of the connection has already been removed.
    #[error("the connection is already removed")]
    ConnectionRemoved,
}

/// The reader of one connection, with the bytes that are not complete frames yet.
pub(super) struct UpstreamReader<'a> {
    router: &'a Router,
    id: ConnectionId,
    input: Ring,
    /// The bytes of an incomplete frame, as [`frames::read_frame`] collects them.
    frame: Vec<u8>,
    /// When the bytes that are being handled arrived, as far as is known.
    now: Micros,
    readable_since: WakeTime,
    /// The number of frames that may still be handled before other tasks run.
    frames_left: usize,
    /// When the first byte of the incomplete frame was read.
    frame_began_at: Option<Micros>,
    pauses: Pauses,
    /// The last complete answer, while it is not known whether its length is right.
    held: Option<HeldAnswer>,
    /// The attempt of the last answer, while nothing has confirmed its length but that no byte followed it in time.
    unconfirmed: Option<AttemptKey>,
    memory: MemoryShare,
}

impl<'a> UpstreamReader<'a> {
    /// Creates the reader of a connection that has just been established.
    pub(super) fn new(router: &'a Router, id: ConnectionId) -> Self {
        UpstreamReader {
            router,
            id,
            input: Ring::new(INPUT_BOUND),
            frame: Vec::new(),
            now: router.clock.now(),
            readable_since: WakeTime::default(),
            frames_left: FRAMES_IN_A_ROW,
            frame_began_at: None,
            pauses: Pauses::default(),
            held: None,
            unconfirmed: None,
            memory: router.budget.share(),
        }
    }

    /// Reads until the connection ends or delivers unusable data. A frame that is not completed within the dial
    /// timeout is unusable too, because it would absorb all bytes that follow it.
    pub(super) async fn read(&mut self, stream: &Async<TcpStream>) -> UpstreamEnd {
        loop {
            let turn = if self.frames_left == 0 {
                future::yield_now().await;
                self.frames_left = FRAMES_IN_A_ROW;
                self.handle_frames()
            } else {
                self.read_when_ready(stream).await
            };
            if let Err(end) = turn {
                return end;
            }
        }
    }

    /// Handles the answer that is held when the connection ends, if no byte has followed it. If bytes have followed the
    /// last answer that begin no frame, its value is withdrawn.
    pub(super) fn finish(&mut self) {
        if self.frame.is_empty() {
            // The connection has ended already, so an unusable answer changes nothing.
            let _ = self.release_answer();
        } else {
            self.withdraw_unconfirmed_answer();
        }
    }

    /// Waits for bytes, then reads until there are none or other tasks must run.
    async fn read_when_ready(&mut self, stream: &Async<TcpStream>) -> Result<(), UpstreamEnd> {
        let readable = self.readable_since.watch(stream.readable());
        let ready = self.router.with_deadline(self.deadline(), readable).await;
        if matches!(ready, Some(Some(Err(_)))) {
            return Err(UpstreamEnd::ReadFailed);
        }
        self.frames_left = FRAMES_IN_A_ROW;
        let noted = self.readable_since.take();
        self.now = self.arrival(noted);
        // Also after a time-out: bytes may have arrived that the poller has not reported yet.
        let received = self.read_available(stream)?;
        if ready.is_none() && received == 0 {
            return self.time_out();
        }
        self.release_answer_in_time()
    }

    /// When bytes arrived whose arrival was noted at `noted`. If this process was held up, they may have arrived as early
    /// as that began.
    fn arrival(&self, noted: Option<Instant>) -> Micros {
        let noted_at = self.router.clock.arrival(noted);
        let now = self.router.clock.now();
        let decisions = self.router.decisions.borrow();
        let overdue_since = decisions.effects.overdue_since(now);
        overdue_since.map_or(noted_at, |since| since.min(noted_at))
    }

    /// Reads and handles bytes until there are none or other tasks must run. Returns the number of bytes read.
    fn read_available(&mut self, stream: &Async<TcpStream>) -> Result<usize, UpstreamEnd> {
        let mut received = 0;
        for _ in 0..READS_IN_A_ROW {
            let count = match stream.get_ref().read(self.input.free()) {
                Ok(0) => return Err(UpstreamEnd::ClosedByNode),
                Ok(count) => count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(_) => return Err(UpstreamEnd::ReadFailed),
            };
            if received == 0 {
                self.pauses.record_arrival(self.now, !self.frame.is_empty());
            }
            received += count;
            self.input.commit(count);
            self.handle_frames()?;
            if self.frames_left == 0 {
                break;
            }
        }
        self.input.release_if_empty();
        Ok(received)
    }

    /// Handles a deadline by which no byte has arrived.
    fn time_out(&mut self) -> Result<(), UpstreamEnd> {
        if self.frame.is_empty() {
            self.release_answer()
        } else {
            Err(self.abandon_on_incomplete_frame())
        }
    }

    /// Handles an answer that need not be held any longer. Without another wait, since its attempt may be about to time
    /// out.
    fn release_answer_in_time(&mut self) -> Result<(), UpstreamEnd> {
        match &self.held {
            Some(held) if self.frame.is_empty() && held.until <= self.now => self.release_answer(),
            _ => Ok(()),
        }
    }

    /// When the incomplete frame must be complete, or else when the held answer is released.
    fn deadline(&self) -> Option<Micros> {
        match self.frame_began_at {
            Some(began_at) => {
                let limit = self.router.bounds.dial_timeout?;
                Some(began_at + limit)
            }
            None => self.held.as_ref().map(|held| held.until),
        }
    }

    /// Handles complete frames in the input buffer until there are none or other tasks must run.
    fn handle_frames(&mut self) -> Result<(), UpstreamEnd> {
        while self.frames_left > 0 {
            match frames::read_frame(&mut self.input, &mut self.frame) {
                Ok(None) => break,
                Ok(Some(letter)) => {
                    self.frames_left -= 1;
                    self.handle_complete_frame(letter)?;
                }
                Err(error) => return Err(self.abandon_on_invalid_frame(error)),
            }
        }
        if self.held.is_some() || self.unconfirmed.is_some() {
            match frames::frame_start(&self.frame) {
                FrameStart::Frame => self.confirm_answer()?,
                FrameStart::Invalid => {
                    return Err(self.abandon_on_invalid_frame(BadFrame::WrongLength))
                }
                FrameStart::Undecided => {}
            }
        }
        let held_bytes = self.held.as_ref().map_or(0, |held| held.payload.capacity());
        self.memory.set(self.frame.capacity() + held_bytes);
        self.frame_began_at = if self.frame.is_empty() {
            None
        } else {
            self.frame_began_at.or(Some(self.now))
        };
        Ok(())
    }

    /// Handles a complete frame, which confirms the length of the answer before it. An answer is held.
    fn handle_complete_frame(&mut self, letter: u8) -> Result<(), UpstreamEnd> {
        self.confirm_answer()?;
        self.frame_began_at = None;
        let longest_pause = self.pauses.finish_frame();
        let payload = std::mem::take(&mut self.frame);
        self.record_reception();
        if letter == ANSWER {
            self.hold_answer(payload, longest_pause);
            return Ok(());
        }
        handle_frame(self.router, self.id, letter, &payload).map_err(|error| {
            let attempt_id = frames::parse_shard_request_id(&payload);
            self.abandon_connection(error, attempt_id)
        })
    }

    /// Holds an answer until the bytes behind it, or their absence, confirm its length.
    fn hold_answer(&mut self, payload: Vec<u8>, longest_pause: Option<Micros>) {
        let arrival = match longest_pause.max(self.recent_pause()) {
            Some(pause) => Arrival::InPieces(pause),
            None if frames::is_served_without_value(&payload) => Arrival::WithoutValue,
            None => Arrival::Together,
        };
        let time_left = self
            .attempt_due(&payload)
            .map_or(Micros(0), |due| due.since(self.now));
        self.held = Some(HeldAnswer {
            payload,
            arrived_at: self.now,
            longest_pause,
            until: self.now + hold_time(arrival, time_left),
        });
    }

    /// The longest pause that the node has recently made within the frame of an answer.
    fn recent_pause(&self) -> Option<Micros> {
        let decisions = self.router.decisions.borrow();
        let nodes = &decisions.effects.nodes;
        let node = nodes.connection(self.id)?.node;
        nodes.node(node)?.recent_pause.longest(self.now)
    }

    /// Records a pause that the node has made within the frame of an answer.
    fn record_pause(&self, pause: Micros) {
        let mut decisions = self.router.decisions.borrow_mut();
        let nodes = &mut decisions.effects.nodes;
        let node = nodes.connection(self.id).map(|connection| connection.node);
        if let Some(node) = node.and_then(|node| nodes.node_mut(node)) {
            node.recent_pause.record(self.now, pause);
        }
    }

    /// When the attempt that an answer names times out; `None` if it is not in flight.
    fn attempt_due(&self, payload: &[u8]) -> Option<Micros> {
        let attempt_id = frames::parse_shard_request_id(payload)?;
        let decisions = self.router.decisions.borrow();
        let effects = &decisions.effects;
        let key = effects
            .nodes
            .connection(self.id)?
            .attempts
            .get(attempt_id)?;
        Some(effects.in_flight.attempt(key)?.due)
    }

    /// Handles the answer that is held, if there is one, as a frame has begun behind the last answer.
    fn confirm_answer(&mut self) -> Result<(), UpstreamEnd> {
        self.release_answer()?;
        self.unconfirmed = None;
        Ok(())
    }

    /// Handles the answer that is held, if there is one.
    fn release_answer(&mut self) -> Result<(), UpstreamEnd> {
        let Some(held) = self.held.take() else {
            return Ok(());
        };
        let attempt = handle_answer(self.router, self.id, &held.payload, held.arrived_at).map_err(
            |error| {
                let attempt_id = frames::parse_shard_request_id(&held.payload);
                self.abandon_connection(error, attempt_id)
            },
        )?;
        if let Some(pause) = held.longest_pause {
            self.record_pause(pause);
        }
        self.unconfirmed = attempt;
        Ok(())
    }

    /// Withdraws the value of the last answer, because the bytes that have followed it begin no frame.
    fn withdraw_unconfirmed_answer(&mut self) {
        if let Some(attempt) = self.unconfirmed.take() {
            dispatch::answer_withdrawn(self.router, attempt);
        }
    }

    /// Abandons the connection because a frame was not completed in time. The answer before it may have a wrong
    /// length if too little of the frame is there.
    fn abandon_on_incomplete_frame(&mut self) -> UpstreamEnd {
        let error = UnusableInput::IncompleteFrame;
        match self.held.take() {
            Some(held) => {
                let attempt_id = frames::parse_shard_request_id(&held.payload);
                self.abandon_connection(error, attempt_id)
            }
            None => {
                self.withdraw_unconfirmed_answer();
                let attempt_id = frames::parse_incomplete_frame_id(&self.frame);
                self.abandon_connection(error, attempt_id)
            }
        }
    }

    /// Abandons the connection because its bytes are no frame. The answer before them has a wrong length, unless they
    /// are noise that cannot belong to it.
    fn abandon_on_invalid_frame(&mut self, error: BadFrame) -> UpstreamEnd {
        if self.is_noise_behind_last_answer() {
            if let Err(end) = self.release_answer() {
                return end;
            }
        }
        let Some(held) = self.held.take() else {
            if frames::may_continue_value(&self.frame) {
                self.withdraw_unconfirmed_answer();
            }
            // The bytes read so far are not a frame, and name no attempt.
            return self.abandon_connection(UnusableInput::Malformed(error), None);
        };
        let attempt_id = frames::parse_shard_request_id(&held.payload);
        self.abandon_connection(UnusableInput::Malformed(BadFrame::WrongLength), attempt_id)
    }

    /// Whether the bytes in `frame`, which are no frame, cannot belong to the answer before them: they are no text,
    /// and no other answer is awaited whose beginning that answer may have absorbed.
    fn is_noise_behind_last_answer(&self) -> bool {
        let decisions = self.router.decisions.borrow();
        let connection = decisions.effects.nodes.connection(self.id);
        connection.is_some_and(|connection| connection.attempts.awaited_count() <= 1)
            && !frames::may_continue_value(&self.frame)
    }

    /// Abandons the connection because of unusable data; the attempt that `attempt_id` names has failed.
    fn abandon_connection(&self, error: UnusableInput, attempt_id: Option<&str>) -> UpstreamEnd {
        let now = self.router.clock.now();
        let mut decisions = self.router.decisions.borrow_mut();
        decisions.effects.now = now;
        decisions
            .effects
            .abandon_connection(self.id, error, attempt_id);
        UpstreamEnd::UnusableInput(error)
    }

    fn record_reception(&self) {
        let now = self.now;
        let mut decisions = self.router.decisions.borrow_mut();
        decisions.effects.nodes.last_received = now;
        if let Some(connection) = decisions.effects.nodes.connection_mut(self.id) {
            connection.last_used = now;
            connection.last_received = now;
        }
    }
}
