//! Writes a history from many threads: each event gets its time as it is written, so that lines stand in order.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use crate::event::{Event, EventKind};

pub struct Writer<W: Write> {
    began: Instant,
    out: Mutex<W>,
}

impl<W: Write> Writer<W> {
    pub fn new(out: W) -> Self {
        Writer {
            began: Instant::now(),
            out: Mutex::new(out),
        }
    }

    /// Writes what happens now. What a client is about to do is written before, what it saw after it.
    ///
    /// # Errors
    /// Where the line could not be written: then the history is no evidence.
    pub fn note(&self, kind: EventKind) -> std::io::Result<()> {
        let mut out = self.out.lock().unwrap_or_else(PoisonError::into_inner);
        let at = u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX);
        let mut line = serde_json::to_vec(&Event { at, kind })?;
        line.push(b'\n');
        out.write_all(&line)
    }

    /// Microseconds since the history began.
    pub fn now(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// # Errors
    /// Where the last lines could not be written.
    pub fn finish(self) -> std::io::Result<W> {
        let mut out = self
            .out
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        out.flush()?;
        Ok(out)
    }
}
