//! The start time of a node by this router's own clock. [`crate::routing`] uses it to limit what a node that is
//! warming up may be sent (slow start).
//!
//! The start time from discovery is a claim made by another clock, and the wall clock that it is compared with may
//! have been stepped. After a step of one hour forward, a cold node counted as warm; after a step of one hour
//! back, a warm node counted as cold for that hour, and a start reported after a step back was not recognized as a
//! new one.

use crate::time::Micros;

#[cfg(test)]
mod tests;

/// Returns the earliest time that this router assumes, by its own clock, for a start that is reported now.
///
/// `last_list_at` is when the last list without this start arrived; the start is later than that. For the first
/// list there is no such bound. Its newest claim was made by the same clock and lies in the past, so a node that
/// claims to have started earlier than the newest by some duration is at least that old, whatever this machine's
/// clock reads. No more can be known, as after a restart.
pub fn earliest_start(
    last_list_at: Option<Micros>,
    now: Micros,
    claimed: Micros,
    newest: Micros,
) -> Micros {
    last_list_at.unwrap_or(now.since(newest.since(claimed)))
}

/// The last start of a node as this router knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartTime {
    /// The start time last claimed, in microseconds of Unix time; 0 if it was long ago. It distinguishes one start
    /// from another and is not compared with this router's clock.
    pub claimed: Micros,
    /// The start time by this router's own clock, as far as known not earlier than the actual start; 0 if it was
    /// long ago.
    pub by_local_clock: Micros,
    /// The claimed time of the previous start, which a delayed list may still contain.
    previous_claim: Option<Micros>,
}

impl StartTime {
    /// Records a claimed start time and returns whether it is a new start. The start is taken to be no earlier
    /// than `earliest_start` and not in the future. The later estimate is the safer one: a node considered younger
    /// than it is gets fewer requests for a while, but a node considered older than it is fails.
    pub fn observe(&mut self, claimed: Micros, now: Micros, earliest_start: Micros) -> bool {
        // 0 stands for long ago and for an entry without a start time. A start that this router has observed is
        // kept.
        let is_known = claimed == self.claimed || Some(claimed) == self.previous_claim;
        if is_known || claimed.0 == 0 {
            return false;
        }
        *self = StartTime {
            claimed,
            by_local_clock: claimed.min(now).max(earliest_start),
            previous_claim: Some(self.claimed).filter(|claim| claim.0 > 0),
        };
        true
    }
}
