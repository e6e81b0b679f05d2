//! Whether this process has been asked to stop, is in a graceful shutdown, or has handed over to a new process.

use std::cell::Cell;

use event_listener::{Event, EventListener};
use ternpick::shutdown::ShutdownSchedule;

/// The progress of this process's shutdown.
#[derive(Default)]
pub(crate) struct ShutdownState {
    schedule: Cell<Option<ShutdownSchedule>>,
    requested: Event,
    handed_over: Cell<bool>,
}

impl ShutdownState {
    /// The schedule of the shutdown in progress, if there is one.
    pub(crate) fn schedule(&self) -> Option<ShutdownSchedule> {
        self.schedule.get()
    }

    /// Begins the shutdown with this schedule.
    pub(crate) fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.set(Some(schedule));
    }

    /// Asks this process to stop, on an operator's command or because it has nothing left to do.
    pub(crate) fn request(&self) {
        self.requested.notify(1);
    }

    /// Resolves once this process has been asked to stop.
    pub(crate) fn requested(&self) -> EventListener {
        self.requested.listen()
    }

    /// Records that everything has been handed over to a new process.
    pub(crate) fn mark_handed_over(&self) {
        self.handed_over.set(true);
    }

    /// Whether everything has been handed over to a new process.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.handed_over.get()
    }
}
