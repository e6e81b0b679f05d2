//! Holds an answer of a node until the bytes behind it show whether its length is right.
//!
//! The only length in an answer is that of its frame, so a wrong length shows only in the bytes that follow: they are
//! then no frame. `upstream_reader.rs` handles an answer once the next frame has begun, or once nothing has followed
//! for the time that [`hold_time`] returns.

use ternpick::types::Micros;

/// The least time for which an answer that came in pieces is held, unless a frame follows.
const MIN_HOLD: Micros = Micros(2_000);
/// The longest time for which an answer is held if no byte follows.
const MAX_HOLD: Micros = Micros(30_000);
/// The multiple of the longest pause within a frame after which no more bytes of the same node are expected.
const PAUSE_FACTOR: f64 = 2.0;

/// An answer whose length is not confirmed yet.
pub(super) struct HeldAnswer {
    /// The payload of its frame.
    pub(super) payload: Vec<u8>,
    /// When it arrived.
    pub(super) arrived_at: Micros,
    /// The longest pause within its frame; `None` if the frame's bytes arrived together.
    pub(super) longest_pause: Option<Micros>,
    /// Until when it is held if no byte follows it.
    pub(super) until: Micros,
}

/// The pauses of the bytes of a frame. A node whose bytes come in pieces may send the rest of an answer as long after its
/// wrong end as it paused before, also where the answer itself came together.
#[derive(Default)]
pub(super) struct Pauses {
    last_arrival: Option<Micros>,
    longest_in_frame: Option<Micros>,
}

impl Pauses {
    /// Records that bytes have arrived at `now`, after a wait; `in_frame` tells whether they continue a frame.
    pub(super) fn record_arrival(&mut self, now: Micros, in_frame: bool) {
        if let Some(last) = self.last_arrival.filter(|_| in_frame) {
            self.longest_in_frame = self.longest_in_frame.max(Some(now.since(last)));
        }
        self.last_arrival = Some(now);
    }

    /// Returns the longest pause within the frame that is now complete, and begins the next frame. Returns `None` if
    /// the frame's bytes arrived together.
    pub(super) fn finish_frame(&mut self) -> Option<Micros> {
        self.longest_in_frame.take()
    }
}

/// How the payload of an answer arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Arrival {
    /// All of it together, with a value, from a node whose frames come so.
    Together,
    /// Without a value, which may follow in a write of its own.
    WithoutValue,
    /// In pieces, or from a node whose recent frames came in pieces, with this longest pause.
    InPieces(Micros),
}

/// Returns how long to hold an answer that no byte follows. The bytes of one write arrive together, so that an answer
/// that arrived so is not held. `time_left` is the time until its attempt times out; no more than half of that is
/// used, so that the answer counts.
pub(super) fn hold_time(arrival: Arrival, time_left: Micros) -> Micros {
    let pause = match arrival {
        Arrival::Together => return Micros(0),
        Arrival::WithoutValue => Micros(0),
        Arrival::InPieces(longest_pause) => longest_pause,
    };
    pause
        .times(PAUSE_FACTOR)
        .clamp(MIN_HOLD, MAX_HOLD)
        .min(time_left.times(0.5))
}

#[cfg(test)]
mod tests;
