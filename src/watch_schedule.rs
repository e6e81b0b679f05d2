//! The schedule of the calls that watch the endpoint list: when the next call is made and when a call times out.
//!
//! The timings are chosen so that the steps together, not only each on its own, reveal a change in time, even if
//! a watch stops responding. The schedule only computes what to do next; the caller reads the clock and makes the
//! calls.
//!
//! A change counts as known [`NOTIFIED_WITHIN`] after discovery has it and is reachable. Only an answer shows that a
//! watch is alive, so a call waits only as long as there is time for all the steps that follow a time-out:
//!
//! | step | at most |
//! | --- | --- |
//! | a call that waits for a change and gets no response from its beginning on | [`LONGEST_WAIT`] |
//! | the time until its answer is overdue | [`OVERDUE_AFTER`] |
//! | an immediate poll of the list, queued behind other callers | twice [`OVERDUE_AFTER`] |
//! | or, if that poll is refused within [`OVERDUE_AFTER`], a pause and another poll | the rest, 1 s |

use nanorand::Rng;

use crate::random::RandomSource;
use crate::time::Micros;

#[cfg(test)]
mod tests;

/// The time after which a change at discovery counts as known to routers, by the platform's protocol.
pub const NOTIFIED_WITHIN: Micros = Micros(6_000_000);
/// The longest time that a call waits for a change. Each wait is drawn at random between two thirds of this time and
/// all of it, so that callers whose watches were answered or timed out together spread out.
pub const LONGEST_WAIT: Micros = Micros(3_000_000);
/// The time past its wait after which a call times out. No answer arrives later than that, since discovery would
/// have rejected the call long before.
pub const OVERDUE_AFTER: Micros = Micros(1_000_000);

/// The timing of one call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The time for which discovery may wait for a change before it answers.
    pub wait: Micros,
    /// The time after which the call times out, from its beginning.
    pub timeout: Micros,
}

/// The schedule of the calls with which one router watches the endpoint list.
pub struct WatchSchedule {
    longest_wait: Micros,
    rng: RandomSource,
    /// Whether a call has timed out and none has been answered since. The next call then asks for changes without
    /// waiting for one.
    polls_without_wait: bool,
}

impl WatchSchedule {
    /// Creates a schedule for settings that require a call at least every `ask_within`, with a random source seeded
    /// with `seed`.
    pub fn new(ask_within: Option<Micros>, seed: u64) -> Self {
        WatchSchedule {
            longest_wait: ask_within.unwrap_or(LONGEST_WAIT).min(LONGEST_WAIT),
            rng: RandomSource::new(seed),
            polls_without_wait: false,
        }
    }

    /// Returns the timing of the next call, which asks for changes since a version if `version_is_known`,
    /// otherwise for the whole list.
    pub fn next(&mut self, version_is_known: bool) -> Poll {
        if self.polls_without_wait || !version_is_known {
            return Poll {
                wait: Micros(0),
                timeout: OVERDUE_AFTER.times(2.0),
            };
        }
        let longest = self.longest_wait.0;
        let wait = Micros(self.rng.0.generate_range(longest * 2 / 3..=longest));
        Poll {
            wait,
            timeout: wait + OVERDUE_AFTER,
        }
    }

    /// Records that a call was answered.
    pub fn answered(&mut self) {
        self.polls_without_wait = false;
    }

    /// Records that a call has failed and returns whether the next one follows immediately. A call that timed out
    /// cost discovery nothing, so one immediate poll may follow it. After a call that was refused or cut off, the
    /// usual pause applies.
    pub fn failed(&mut self, timed_out: bool) -> bool {
        let follows_at_once = timed_out && !self.polls_without_wait;
        self.polls_without_wait |= timed_out;
        follows_at_once
    }
}
