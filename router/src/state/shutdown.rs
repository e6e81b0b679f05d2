//! Whether and how this process ends: asked to stop, in a graceful shutdown, or handed over to a new process.

use std::cell::Cell;

use event_listener::{Event, EventListener};
use ternpick::shutdown::ShutdownSchedule;

/// What a stop of this process has come to.
#[derive(Default)]
pub(crate) struct ShutdownState {
    schedule: Cell<Option<ShutdownSchedule>>,
    requested: Event,
    handed_over: Cell<bool>,
}

impl ShutdownState {
    /// The instants of the shutdown that is under way.
    pub(crate) fn schedule(&self) -> Option<ShutdownSchedule> {
        self.schedule.get()
    }

    /// The shutdown begins, with these instants.
    pub(crate) fn begin(&self, schedule: ShutdownSchedule) {
        self.schedule.set(Some(schedule));
    }

    /// Asks this process to stop: by an operator's command, or because it has nothing left to do.
    pub(crate) fn request(&self) {
        self.requested.notify(1);
    }

    /// Resolves once this process is asked to stop.
    pub(crate) fn requested(&self) -> EventListener {
        self.requested.listen()
    }

    /// Everything has gone over to a new process.
    pub(crate) fn mark_handed_over(&self) {
        self.handed_over.set(true);
    }

    /// Whether everything has gone over to a new process.
    pub(crate) fn is_handed_over(&self) -> bool {
        self.handed_over.get()
    }
}
