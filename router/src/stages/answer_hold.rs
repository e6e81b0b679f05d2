//! Holds an answer of a node until the bytes behind it show whether its length is right.
//!
//! The only length in an answer is that of its frame, so a wrong length shows only in the bytes that follow: they are
//! then no frame. `upstream_reader.rs` handles an answer once the next frame has begun, or once nothing has followed
//! for the time that [`hold_time`] returns.

use ternpick::types::Micros;

/// The least time for which an answer is held, unless a frame follows. The bytes of one write arrive within it.
const MIN_HOLD: Micros = Micros(2_000);
/// The longest time for which an answer is held if no byte follows.
const MAX_HOLD: Micros = Micros(30_000);
/// The multiple of the longest pause within a frame after which no more bytes of the same write are expected.
const PAUSE_FACTOR: f64 = 2.0;

/// An answer whose length is not confirmed yet.
pub(super) struct HeldAnswer {
    /// The payload of its frame.
    pub(super) payload: Vec<u8>,
    /// Until when it is held if no byte follows it.
    pub(super) until: Micros,
}

/// The pauses between the reads that deliver a frame. A node whose bytes come in pieces may send the rest of an answer
/// as long after its wrong end as it paused before.
#[derive(Default)]
pub(super) struct ReadPauses {
    last_read_at: Option<Micros>,
    longest: Micros,
}

impl ReadPauses {
    /// Records a read at `now`; `in_frame` tells whether it continues a frame.
    pub(super) fn record_read(&mut self, now: Micros, in_frame: bool) {
        if let Some(last) = self.last_read_at.filter(|_| in_frame) {
            self.longest = self.longest.max(now.since(last));
        }
        self.last_read_at = Some(now);
    }

    /// Returns the longest pause within the frame that is now complete, and begins the next frame.
    pub(super) fn finish_frame(&mut self) -> Micros {
        std::mem::take(&mut self.longest)
    }
}

/// Returns how long to hold an answer that no byte follows. `longest_pause` is the longest pause within its frame,
/// `time_left` the time until its attempt times out; no more than half of that is used, so that the answer counts.
pub(super) fn hold_time(longest_pause: Micros, time_left: Micros) -> Micros {
    longest_pause
        .times(PAUSE_FACTOR)
        .clamp(MIN_HOLD, MAX_HOLD)
        .min(time_left.times(0.5))
}

#[cfg(test)]
mod tests;
