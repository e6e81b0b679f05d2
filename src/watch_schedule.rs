//! The schedule of the calls that watch the endpoint list: when the next call is made, when a call is overdue, and how
//! long an overdue call is read on.
//!
//! The timings are chosen so that the steps together, not only each on its own, reveal a change in time, even if
//! a watch stops responding. The schedule only computes what to do next; the caller reads the clock and makes the
//! calls.
//!
//! A change counts as known [`NOTIFIED_WITHIN`] after discovery has it and is reachable. Only an answer shows that a
//! watch is alive, so a call waits only as long as there is time for all the steps that follow an overdue call:
//!
//! | step | at most |
//! | --- | --- |
//! | a call that waits for a change and gets no response from its beginning on | [`LONGEST_WAIT`] |
//! | the time until its answer is overdue | [`OVERDUE_AFTER`] |
//! | an immediate poll of the list, queued behind other callers | twice [`OVERDUE_AFTER`] |
//! | or, if that poll is refused within [`OVERDUE_AFTER`], a pause and another poll | the rest, 1 s |
//!
//! These times find a discovery that is down or unreachable. They must not decide whether the answer of a slow one is
//! read: discovery works through calls in turn, and if each answer came just behind its call's time, closing the call
//! would fail in the same way for ever. So an overdue call stays open while the next one is made, and the first answer of
//! any counts. A call is overdue by the time since it began, also if a part of its answer has arrived.

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
/// The time past its wait after which a call is overdue and another one is made.
pub const OVERDUE_AFTER: Micros = Micros(1_000_000);
/// The most overdue calls that are open at once. Together with the pauses between calls, it leaves each the time within
/// which a change has to become known.
pub const MAX_OVERDUE_CALLS: usize = 4;
/// How long a call is open before a later overdue call may take its place. A connection whose peer has vanished never
/// ends by itself.
pub const OVERDUE_READ_FOR: Micros = Micros(30_000_000);

/// The timing of one call to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// The time for which discovery may wait for a change before it answers.
    pub wait: Micros,
    /// The time after which the call is overdue, from its beginning.
    pub overdue_after: Micros,
}

/// The schedule of the calls with which one router watches the endpoint list.
pub struct WatchSchedule {
    longest_wait: Micros,
    rng: RandomSource,
    /// Whether a call was overdue and none has been answered since. The next call then asks for changes without
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
                overdue_after: OVERDUE_AFTER.times(2.0),
            };
        }
        let longest = self.longest_wait.0;
        let wait = Micros(self.rng.0.generate_range(longest * 2 / 3..=longest));
        Poll {
            wait,
            overdue_after: wait + OVERDUE_AFTER,
        }
    }

    /// Records that a call was answered.
    pub fn answered(&mut self) {
        self.polls_without_wait = false;
    }

    /// Records that a call has failed or is overdue, and returns whether the next one follows immediately. One
    /// immediate poll follows an overdue call, whose connection may be dead. After a call that was refused or cut off,
    /// the usual pause applies.
    pub fn failed(&mut self, is_overdue: bool) -> bool {
        let follows_at_once = is_overdue && !self.polls_without_wait;
        self.polls_without_wait |= is_overdue;
        follows_at_once
    }
}
