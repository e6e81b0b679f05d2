//! When a node started, by this router's own clock. [`crate::routing`] derives from it what a node that warms
//! up may be sent (slow start).
//!
//! What discovery says of a start is a claim of another clock, and the wall clock that it is compared with
//! may have been stepped: by an hour forward a cold node counted as warm, by an hour back a warm one as cold
//! for that hour, and a start reported after a step back counted as none.

use crate::time::Micros;

#[cfg(test)]
mod tests;

/// Before when a start that is reported now did not come. `last_list_at` is when the last list came, without
/// it. The first list has nothing before it; there the newest claim is one by the same clock, and is over by
/// now: a node that claims to have started so much earlier is at least so old, whatever this machine's clock
/// reads. No more can be known, as after a restart.
pub fn not_before(
    last_list_at: Option<Micros>,
    now: Micros,
    claimed: Micros,
    newest: Micros,
) -> Micros {
    last_list_at.unwrap_or(now.since(newest.since(claimed)))
}

/// A node's starts as this router knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartTime {
    /// As last claimed, microseconds of Unix time; 0: long ago. It tells one start from another, and is not
    /// compared with this router's clock.
    pub claimed: Micros,
    /// By the router's own clock, never before it really was as far as can be told; 0: long ago.
    pub by_local_clock: Micros,
    /// The claim of the start before this one: a list that comes late still makes it.
    previous_claim: Option<Micros>,
}

impl StartTime {
    /// Takes a claim in; true if it is another start. It came no earlier than `not_before`, and not in the
    /// future. The later reading is the safer: a node that is held to be younger than it is gets less for a
    /// while, one held to be older fails.
    pub fn observe(&mut self, claimed: Micros, now: Micros, not_before: Micros) -> bool {
        // 0 is long ago, and a line that leaves it out: what was seen to start runs on by this clock.
        let is_known = claimed == self.claimed || Some(claimed) == self.previous_claim;
        if is_known || claimed.0 == 0 {
            return false;
        }
        *self = StartTime {
            claimed,
            by_local_clock: claimed.min(now).max(not_before),
            previous_claim: Some(self.claimed).filter(|claim| claim.0 > 0),
        };
        true
    }
}
