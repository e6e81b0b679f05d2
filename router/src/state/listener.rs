//! Whether this process accepts clients, and whether its listener is open, closing or closed.
//!
//! A hot restart decides which process accepts; a shutdown closes the listener. The listener, the client connections
//! and the fleet's event loop read this state. The event loop takes part in the fleet only while this process accepts
//! clients.

use std::cell::Cell;

use event_listener::{Event, EventListener};

/// The state of this process's listener.
pub(crate) struct ListenerState {
    accepting: Cell<bool>,
    accepting_changed: Event,
    closing: Event,
    closed: Cell<bool>,
}

impl Default for ListenerState {
    /// The state of a process that accepts clients from its start.
    fn default() -> Self {
        ListenerState {
            accepting: Cell::new(true),
            accepting_changed: Event::new(),
            closing: Event::new(),
            closed: Cell::new(false),
        }
    }
}

impl ListenerState {
    /// Whether this process accepts client connections.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting.get()
    }

    /// Sets whether this process accepts clients and wakes all listeners of [`ListenerState::accepting_changed`].
    pub(crate) fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.accepting_changed.notify(usize::MAX);
    }

    /// Resolves at the next call of [`ListenerState::set_accepting`]. Create the event listener before reading
    /// [`ListenerState::is_accepting`], so that a change in between is not missed.
    pub(crate) fn accepting_changed(&self) -> EventListener {
        self.accepting_changed.listen()
    }

    /// Resolves once [`ListenerState::close`] has been called.
    pub(crate) fn closing(&self) -> EventListener {
        self.closing.listen()
    }

    /// Asks the listener to close once it has accepted the connections in its backlog.
    pub(crate) fn close(&self) {
        self.closing.notify(usize::MAX);
    }

    /// Records that the listener is closed. From then on a connection ends after its current request, or at once if
    /// it has none.
    pub(crate) fn mark_closed(&self) {
        self.closed.set(true);
    }

    /// Whether the listener is closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }
}
