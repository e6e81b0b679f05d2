//! When the watch of the endpoint list calls next, and when a call is given up: so that a change is known here
//! in time also where a watch has fallen silent, by sums and not by each step alone. Pure: what to do next
//! comes out; the clock and the calls are the caller's.
//!
//! A change counts as known [`NOTIFIED_WITHIN`] after discovery had it and could be reached. A watch shows that
//! it is alive by its answers alone, so a call waits only as long as leaves time for all that follows its
//! silence:
//!
//! | step | at most |
//! | --- | --- |
//! | a call that waits, fallen silent as it began | [`LONGEST_WAIT`] |
//! | its answer overdue | [`OVERDUE`] |
//! | a poll of the list at once, queued behind other callers | twice [`OVERDUE`] |
//! | or that poll refused, within [`OVERDUE`]: a pause and another | the rest, 1 s |

use nanorand::Rng;

use crate::random::RandomSource;
use crate::time::Micros;

#[cfg(test)]
mod tests;

/// A change counts as known so long after discovery had it, by the platform's protocol.
pub const NOTIFIED_WITHIN: Micros = Micros(6_000_000);
/// The longest that a call waits for a change. Each wait is drawn anew between two thirds of it and all of it:
/// callers whose watches were answered or fell silent together come apart.
pub const LONGEST_WAIT: Micros = Micros(3_000_000);
/// An answer that is so much late does not come any more: discovery has rejected its call long before.
pub const OVERDUE: Micros = Micros(1_000_000);

/// How the next call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// How long discovery may wait for a change.
    pub wait: Micros,
    /// When it is given up, from its beginning.
    pub timeout: Micros,
}

/// The schedule of one router's watch.
pub struct WatchSchedule {
    longest_wait: Micros,
    rng: RandomSource,
    /// A call fell silent and none was answered since: the next asks what has changed and waits for nothing.
    polls_at_once: bool,
}

impl WatchSchedule {
    /// Under settings by which a router asks within `ask_within`, with a random source of its own.
    pub fn new(ask_within: Option<Micros>, seed: u64) -> Self {
        WatchSchedule {
            longest_wait: ask_within.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT),
            rng: RandomSource::new(seed),
            polls_at_once: false,
        }
    }

    /// The next call: for what is newer than a version if `after` is known, else for the whole list.
    pub fn next(&mut self, after: bool) -> Poll {
        if self.polls_at_once || !after {
            return Poll {
                wait: Micros(0),
                timeout: OVERDUE.times(2.0),
            };
        }
        let longest = self.longest_wait.0;
        let wait = Micros(self.rng.0.generate_range(longest * 2 / 3..=longest));
        Poll {
            wait,
            timeout: wait + OVERDUE,
        }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.polls_at_once = false;
    }

    /// A call has failed; true if another is to follow at once. Silence costs discovery nothing, so one poll
    /// behind it may follow at once; a call that was refused or cut off keeps the pause of all.
    pub fn failed(&mut self, silent: bool) -> bool {
        let follows_at_once = silent && !self.polls_at_once;
        self.polls_at_once |= silent;
        follows_at_once
    }
}
