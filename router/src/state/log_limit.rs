//! Limits how often one kind of event is logged: at most once per interval, together with the total count of such
//! events.

use std::cell::Cell;

use ternpick::types::Micros;

/// The shortest time between two log lines of one kind.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// The number of events of one kind since the start, and when one was last logged.
#[derive(Default)]
pub(crate) struct LogLimit {
    count: Cell<u64>,
    logged_at: Cell<Micros>,
}

impl LogLimit {
    /// Counts an event at `now`. Returns the total so far if this event should be logged.
    pub(crate) fn count(&self, now: Micros) -> Option<u64> {
        let count = self.count.get() + 1;
        self.count.set(count);
        if now.since(self.logged_at.get()) < LOG_INTERVAL {
            return None;
        }
        self.logged_at.set(now);
        Some(count)
    }
}

#[cfg(test)]
mod tests;
