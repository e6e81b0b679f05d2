//! Whether this process still waits for the ids of queries that the old process of a hot restart has forwarded.

use std::cell::Cell;

use event_listener::{Event, EventListener};
use ternpick::types::Micros;

/// The wait for the old process's ids.
#[derive(Default)]
pub(crate) struct PredecessorIds {
    awaited_until: Cell<Option<Micros>>,
    received: Event,
}

impl PredecessorIds {
    /// Begins to wait, until `deadline` at the latest.
    pub(crate) fn await_until(&self, deadline: Micros) {
        self.awaited_until.set(Some(deadline));
    }

    /// Ends the wait, and wakes whoever waits.
    pub(crate) fn set_received(&self) {
        self.awaited_until.set(None);
        self.received.notify(usize::MAX);
    }

    /// Until when the ids are awaited; `None` if they are not.
    pub(crate) fn awaited_until(&self, now: Micros) -> Option<Micros> {
        self.awaited_until.get().filter(|deadline| *deadline > now)
    }

    /// Resolves once the ids have been received.
    pub(crate) fn received(&self) -> EventListener {
        self.received.listen()
    }
}
