//! When the roster's watch calls next, and when a call is given up: so that a change is here in time also
//! where a watch has fallen silent, by sums and not by parts. Pure: time and chance come in, what to do
//! next comes out.
//!
//! A change counts as told [`TOLD`] after discovery had it and could be reached. A watch shows that it
//! lives by its answers alone, so a call waits only as long as leaves time for all that follows its
//! silence:
//!
//! | step | at most |
//! | --- | --- |
//! | a call that waits, fallen silent as it began | [`WAITS`] |
//! | its answer overdue | [`OVERDUE`] |
//! | a look at the list at once, in turn behind other callers | twice [`OVERDUE`] |
//! | or that look refused, within [`OVERDUE`]: a pause and another | the rest, 1 s |

use nanorand::Rng;

use crate::types::{Micros, RandomSource};

/// What is new counts as told so long after discovery had it, by the platform's protocol.
pub const TOLD: Micros = Micros(6_000_000);
/// The longest that a call waits for news. Each wait is drawn anew between two thirds of it and all of it:
/// callers whose watches were answered or fell silent together come apart.
pub const WAITS: Micros = Micros(3_000_000);
/// An answer that is so much late does not come any more: discovery has turned its call away long before.
pub const OVERDUE: Micros = Micros(1_000_000);

/// How the next call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll {
    /// How long discovery may wait for news.
    pub wait: Micros,
    /// When it is given up, from its beginning.
    pub timeout: Micros,
}

pub struct WatchSchedule {
    longest: Micros,
    chance: RandomSource,
    /// A call fell silent and none was answered since: the next looks what is new and waits for nothing.
    looks: bool,
}

impl WatchSchedule {
    /// Under settings by which a router asks within `ask_within`, with chance of its own.
    pub fn new(ask_within: Option<Micros>, seed: u64) -> Self {
        WatchSchedule {
            longest: ask_within.unwrap_or(WAITS).min(WAITS),
            chance: RandomSource::new(seed),
            looks: false,
        }
    }

    /// The next call, for what is newer than a version if `after` is known, else for the whole list.
    pub fn next(&mut self, after: bool) -> Poll {
        if self.looks || !after {
            return Poll {
                wait: Micros(0),
                timeout: OVERDUE.times(2.0),
            };
        }
        let wait = Micros(
            self.chance
                .0
                .generate_range(self.longest.0 * 2 / 3..=self.longest.0),
        );
        Poll {
            wait,
            timeout: wait + OVERDUE,
        }
    }

    /// A call was answered.
    pub fn answered(&mut self) {
        self.looks = false;
    }

    /// A call has failed; true if another is to follow at once. Silence costs discovery nothing, so one
    /// look behind it may follow at once; whoever was refused or cut off keeps the pause of all.
    pub fn failed(&mut self, silent: bool) -> bool {
        silent && !std::mem::replace(&mut self.looks, true)
    }
}

#[cfg(test)]
mod tests;
