//! Whether this process has been asked to stop, is in a graceful shutdown, or has handed over to a new process.

use std::cell::Cell;

use event_listener::{Event, EventListener};
use ternpick::shutdown::ShutdownSchedule;
use ternpick::types::Micros;

/// The progress of this process's shutdown.
#[derive(Default)]
pub(crate) struct ShutdownState {
    schedule: Cell<Option<ShutdownSchedule>>,
    requested_at: Cell<Option<Micros>>,
    handed_over: Cell<bool>,
    changed: Event,
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

    /// Asks this process to stop. The first request counts.
    pub(crate) fn request(&self, requested_at: Micros) {
        if self.requested_at.get().is_none() {
            self.requested_at.set(Some(requested_at));
        }
        self.changed.notify(usize::MAX);
    }

    /// When this process was asked to stop.
    pub(crate) fn requested_at(&self) -> Option<Micros> {
        self.requested_at.get()
    }

    /// Resolves at the next request to stop, or once everything has been handed over.
    pub(crate) fn changed(&self) -> EventListener {
        self.changed.listen()
    }

    /// Records that everything has been handed over to a new process.
    pub(crate) fn mark_handed_over(&self) {
        self.handed_over.set(true);
        self.changed.notify(usize::MAX);
    }

    /// Whether everything has been handed over to a new process.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.handed_over.get()
    }
}
