//! Bounds how often one kind of event is logged: one event an interval, with the count of all.

use std::cell::Cell;

use ternpick::types::Micros;

/// Events of one kind come no closer than this in the log.
const LOG_INTERVAL: Micros = Micros(1_000_000);

/// Events of one kind since the start, and when one was last logged.
#[derive(Default)]
pub(crate) struct LogLimit {
    count: Cell<u64>,
    logged_at: Cell<Micros>,
}

impl LogLimit {
    /// Counts an event at `now`. Returns how many there were, if this one is to be logged.
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
