//! The bytes of one client connection: its stream, its two buffers, the memory that they take up, and whether the client is
//! still there.
//!
//! Used by the stages that read a request, wait for its answer and write it. Knows nothing of requests.

use std::io::{ErrorKind, Result as IoResult};
use std::time::Instant;

use ternpick::types::Micros;
use ternpick_wire::http::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use ternpick_wire::ring::Ring;

use crate::stages::stream::Stream;
use crate::state::memory_budget::MemoryShare;
use crate::state::wake_time::WakeTime;

/// Clients send one request at a time; a complete further one may wait behind it.
const INPUT_BOUND: usize = MAX_HEAD_BYTES + MAX_BODY_BYTES;
/// The longest answer: as long a body as the protocol allows, and its head.
const OUTPUT_BOUND: usize = MAX_BODY_BYTES + MAX_HEAD_BYTES;
/// Reads in a row before other tasks get their turn.
const READS_IN_A_ROW: usize = 64;

/// The client has closed the connection, or the connection has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ClientGone;

/// What a read that does not wait has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Received {
    /// Bytes, or the input buffer was full already.
    Bytes,
    /// Nothing just now.
    Nothing,
}

/// A client's stream with its buffers.
pub(crate) struct ClientIo {
    /// The connection itself.
    pub(crate) stream: Stream,
    /// Bytes received that no request has taken yet.
    pub(crate) input: Ring,
    /// Bytes of answers that the stream has not taken yet.
    pub(crate) output: Ring,
    memory: MemoryShare,
    readable_since: WakeTime,
    /// Since when the first of the bytes that were sent ahead wait: a client's deadline counts from when it sent them. A
    /// request behind a slow one was otherwise passed on with its full deadline.
    sent_ahead_at: Option<Micros>,
    /// The client has sent more ahead than may wait: that is read and discarded, and the connection ends with the next
    /// answer.
    overran: bool,
    /// The client has closed the connection, or takes nothing more: there is nobody to read on for.
    client_gone: bool,
}

impl ClientIo {
    /// A connection on which `unread` has been received already; none if that is more than the input buffer may hold.
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
            overran: false,
            client_gone: false,
        };
        io.account_memory(0);
        Some(io)
    }

    /// Reports to the memory budget what is held: the buffers, `request_bytes` of a request, and what the stream takes up.
    /// Returns the bytes without the stream's.
    pub(crate) fn account_memory(&mut self, request_bytes: usize) -> usize {
        let held = self.input.memory_bytes() + self.output.memory_bytes() + request_bytes;
        self.memory.set(held + self.stream.size());
        held
    }

    /// Waits until there may be bytes to read; notes when they arrived.
    pub(crate) async fn readable(&mut self) -> IoResult<()> {
        let readable = self.readable_since.watch(self.stream.readable()).await;
        readable.unwrap_or(Ok(()))
    }

    /// When the bytes arrived that the last wait for them has found; none if they were there already, or none are. Asked once
    /// for each wait.
    pub(crate) fn take_readable_since(&self) -> Option<Instant> {
        self.readable_since.take()
    }

    /// Takes in bytes that have arrived, without waiting.
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

    /// Whether the client is still there, as far as the bytes that it has sent tell; they are read, and wait.
    pub(crate) fn is_client_there(&mut self) -> bool {
        for _ in 0..READS_IN_A_ROW {
            self.discard_if_full();
            match self.receive() {
                Ok(Received::Bytes) => {}
                Ok(Received::Nothing) => return true,
                Err(ClientGone) => return false,
            }
        }
        true
    }

    /// Takes in what the client sends ahead while its answer is awaited, up to the bound of the input buffer.
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

    /// Notes that bytes wait in the input buffer since `at`, if any do and none were noted before.
    pub(crate) fn note_sent_ahead(&mut self, at: Micros) {
        if !self.input.is_empty() {
            self.sent_ahead_at = self.sent_ahead_at.or(Some(at));
        }
    }

    /// Notes, in place of what was noted before, that the bytes behind a request wait since `at`, if there are any.
    pub(crate) fn restart_sent_ahead(&mut self, at: Micros) {
        self.sent_ahead_at = None;
        self.note_sent_ahead(at);
    }

    /// Since when the bytes that wait in the input buffer have been there; asked once for each request.
    pub(crate) fn take_sent_ahead(&mut self) -> Option<Micros> {
        let at = self.sent_ahead_since();
        self.sent_ahead_at = None;
        at
    }

    /// Since when the bytes that wait in the input buffer have been there, if any do.
    pub(crate) fn sent_ahead_since(&self) -> Option<Micros> {
        self.sent_ahead_at.filter(|_| !self.input.is_empty())
    }

    fn discard_if_full(&mut self) {
        if self.input.room() == 0 {
            self.overrun();
        }
    }

    /// Discards what the client has sent ahead: it is more than may wait, or there is no memory for it.
    pub(crate) fn overrun(&mut self) {
        self.overran = true;
        self.discard_input();
    }

    /// Discards all bytes received.
    pub(crate) fn discard_input(&mut self) {
        self.input.consume(usize::MAX);
    }

    /// Whether bytes that the client sent ahead have been discarded.
    pub(crate) fn has_overrun(&self) -> bool {
        self.overran
    }

    /// The client is known to be gone.
    pub(crate) fn mark_client_gone(&mut self) {
        self.client_gone = true;
    }

    /// Whether the client is known to be gone.
    pub(crate) fn is_client_gone(&self) -> bool {
        self.client_gone
    }

    /// Writes the whole output buffer, and waits for it; false if the client does not take it.
    pub(crate) async fn write_output(&mut self) -> bool {
        while !self.output.is_empty() {
            match self.stream.write(self.output.filled()) {
                Ok(0) => return false,
                Ok(count) => self.output.consume(count),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.stream.writable().await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
        loop {
            match self.stream.flush() {
                Ok(true) => return true,
                Ok(false) if self.stream.writable().await.is_ok() => {}
                _ => return false,
            }
        }
    }
}
