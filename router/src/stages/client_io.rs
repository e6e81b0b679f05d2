//! The I/O of one client connection: its stream, its two buffers, the memory that they take up, and whether the
//! client is still connected.
//!
//! Used by the stages that read a request, wait for its answer and write the answer. Independent of the format of
//! requests.

use std::io::{ErrorKind, Result as IoResult};
use std::time::Instant;

use ternpick::types::Micros;
use ternpick_wire::http::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use ternpick_wire::ring::Ring;

use crate::stages::stream::Stream;
use crate::state::memory_budget::MemoryShare;
use crate::state::wake_time::WakeTime;

/// The bound of the input buffer, in bytes. Clients send one request at a time; one further complete request may be
/// sent ahead.
const INPUT_BOUND: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// The bound of the output buffer, in bytes: the longest body that the protocol allows, and its head.
const OUTPUT_BOUND: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;
/// The maximum number of consecutive reads before other tasks run.
const READS_IN_A_ROW: usize = 64;

/// The number of bytes that are discarded with one read.
const DISCARD_BYTES: usize = 8 * 1024;
/// The maximum number of such reads before other tasks run.
const DISCARDS_IN_A_ROW: usize = 8;

/// The client has closed the connection, or the connection has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientGone;

/// The result of a non-blocking read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Bytes were read, or the input buffer was full already.
    Bytes,
    /// No bytes are available now.
    Nothing,
}

/// Whether a client is still connected, as the bytes that it has sent show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Presence {
    /// All that it has sent has been read, and it has not disconnected.
    Connected,
    /// It has disconnected.
    Gone,
    /// It has sent more than the input buffer holds; its end may stand behind that.
    Unknown,
}

/// The result of a non-blocking write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// All bytes have been written.
    All,
    /// The client accepts no more bytes now.
    Partly,
}

/// A client's stream with its buffers.
pub(crate) struct ClientIo {
    /// The stream of the connection.
    pub(crate) stream: Stream,
    /// Bytes received that have not been parsed as a request yet.
    pub(crate) input: Ring,
    /// Bytes of answers that have not been written to the stream yet.
    pub(crate) output: Ring,
    memory: MemoryShare,
    readable_since: WakeTime,
    /// When the first of the bytes sent ahead arrived, from which the deadline of their request counts. Without it, a
    /// request that waited behind a slow one was passed on with its full deadline.
    sent_ahead_at: Option<Micros>,
    /// Whether bytes that the client sent ahead were discarded, because they exceeded the buffer or memory was short.
    /// The connection then ends with the next answer.
    sent_ahead_discarded: bool,
    /// Whether the client has closed the connection or accepts no more bytes, so that further reads have no purpose.
    client_gone: bool,
}

impl ClientIo {
    /// Creates the I/O state of a connection on which `unread` was received already; returns `None` if `unread`
    /// exceeds the input buffer.
    pub(crate) fn new(stream: Stream, memory: MemoryShare, unread: &[u8]) -> Option<Self> {
        let mut input = Ring::new(INPUT_BOUND);
        if !input.push(unread) {
            return None;
        }
        let mut io = ClientIo {
            stream,
            input,
            output: Ring::new(OUTPUT_BOUND),
            memory,
            readable_since: WakeTime::default(),
            sent_ahead_at: None,
            sent_ahead_discarded: false,
            client_gone: false,
        };
        io.account_memory(0);
        Some(io)
    }

    /// Reports the memory in use to the budget: the buffers, `request_bytes` of a request, and the stream. Returns
    /// the bytes without those of the stream.
    pub(crate) fn account_memory(&mut self, request_bytes: usize) -> usize {
        let held = self.input.memory_bytes() + self.output.memory_bytes() + request_bytes;
        self.memory.set(held + self.stream.size());
        held
    }

    /// Waits until there may be bytes to read, and records when they arrived.
    pub(crate) async fn readable(&mut self) -> IoResult<()> {
        let readable = self.readable_since.watch(self.stream.readable()).await;
        readable.unwrap_or(Ok(()))
    }

    /// Takes the time at which the bytes found by the last wait arrived; `None` if they had arrived before the wait,
    /// or there are none. Called once for each wait.
    pub(crate) fn take_readable_since(&self) -> Option<Instant> {
        self.readable_since.take()
    }

    /// Reads bytes that have arrived into the input buffer, without waiting.
    pub(crate) fn receive(&mut self) -> Result<Received, ClientGone> {
        let free = self.input.free();
        if free.is_empty() {
            return Ok(Received::Bytes);
        }
        loop {
            match self.stream.read(free) {
                Ok(count) if count > 0 => {
                    self.input.commit(count);
                    return Ok(Received::Bytes);
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    self.input.release_if_empty();
                    return Ok(Received::Nothing);
                }
                Ok(_) | Err(_) => {
                    self.client_gone = true;
                    return Err(ClientGone);
                }
            }
        }
    }

    /// Reads what the client has sent ahead, as far as the input buffer has room, to see whether it is still connected.
    /// If the buffer becomes full, its bytes are discarded. Returns `None` if [`READS_IN_A_ROW`] reads did not show it.
    pub(crate) fn presence(&mut self) -> Option<Presence> {
        for _ in 0..READS_IN_A_ROW {
            if self.input.room() == 0 {
                self.discard_sent_ahead();
                return Some(Presence::Unknown);
            }
            match self.receive() {
                Ok(Received::Bytes) => {}
                Ok(Received::Nothing) => return Some(Presence::Connected),
                Err(ClientGone) => return Some(Presence::Gone),
            }
        }
        None
    }

    /// Reads bytes that the client sends ahead while its query is in flight, up to the bound of the input buffer.
    pub(crate) fn receive_ahead(&mut self) -> Result<(), ClientGone> {
        self.discard_if_full();
        for _ in 0..READS_IN_A_ROW {
            let received = self.receive()?;
            if received == Received::Nothing || self.input.room() == 0 {
                break;
            }
        }
        Ok(())
    }

    /// Records `at` as the arrival of the bytes in the input buffer, if there are any and no arrival is recorded.
    pub(crate) fn note_sent_ahead(&mut self, at: Micros) {
        if !self.input.is_empty() {
            self.sent_ahead_at = self.sent_ahead_at.or(Some(at));
        }
    }

    /// Replaces the recorded arrival: the bytes after a request arrived at `at`, if there are any.
    pub(crate) fn restart_sent_ahead(&mut self, at: Micros) {
        self.sent_ahead_at = None;
        self.note_sent_ahead(at);
    }

    /// Takes the recorded arrival of the bytes in the input buffer; called once for each request.
    pub(crate) fn take_sent_ahead(&mut self) -> Option<Micros> {
        let at = self.sent_ahead_since();
        self.sent_ahead_at = None;
        at
    }

    /// Returns the recorded arrival of the bytes in the input buffer, if there are any.
    pub(crate) fn sent_ahead_since(&self) -> Option<Micros> {
        self.sent_ahead_at.filter(|_| !self.input.is_empty())
    }

    fn discard_if_full(&mut self) {
        if self.input.room() == 0 {
            self.discard_sent_ahead();
        }
    }

    /// Discards the bytes that the client has sent ahead, because they exceed the buffer or memory is short.
    pub(crate) fn discard_sent_ahead(&mut self) {
        self.sent_ahead_discarded = true;
        self.discard_input();
    }

    /// Reads and discards bytes that have arrived, up to a bound. Returns their number; 0 if there are none now.
    pub(crate) fn discard_arrived(&mut self) -> Result<usize, ClientGone> {
        let mut bytes = [0; DISCARD_BYTES];
        let mut discarded = 0;
        for _ in 0..DISCARDS_IN_A_ROW {
            match self.stream.read(&mut bytes) {
                Ok(count) if count > 0 => discarded += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Ok(_) | Err(_) => {
                    self.client_gone = true;
                    return Err(ClientGone);
                }
            }
        }
        Ok(discarded)
    }

    /// Discards all bytes in the input buffer.
    pub(crate) fn discard_input(&mut self) {
        self.input.consume(usize::MAX);
    }

    /// Whether bytes that the client sent ahead have been discarded.
    pub(crate) fn has_discarded_sent_ahead(&self) -> bool {
        self.sent_ahead_discarded
    }

    /// Records that the client is gone.
    pub(crate) fn mark_client_gone(&mut self) {
        self.client_gone = true;
    }

    /// Whether the client is known to be gone.
    pub(crate) fn is_client_gone(&self) -> bool {
        self.client_gone
    }

    /// Writes as much of the output buffer as the stream accepts without waiting.
    pub(crate) fn write_available(&mut self) -> Result<Written, ClientGone> {
        while !self.output.is_empty() {
            match self.stream.write(self.output.filled()) {
                Ok(0) => return Err(ClientGone),
                Ok(count) => self.output.consume(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(Written::Partly),
                Err(_) => return Err(ClientGone),
            }
        }
        match self.stream.flush() {
            Ok(true) => Ok(Written::All),
            Ok(false) => Ok(Written::Partly),
            Err(_) => Err(ClientGone),
        }
    }

    /// Writes the whole output buffer, waiting as needed.
    pub(crate) async fn write_output(&mut self) -> Result<(), ClientGone> {
        while self.write_available()? == Written::Partly {
            self.stream.writable().await.map_err(|_| ClientGone)?;
        }
        Ok(())
    }
}
