//! Whether this process accepts clients, and how far its listener has been closed.
//!
//! Set by a hot restart (which process accepts) and by a shutdown (the listener goes). Read by the listener, by client
//! connections and by the fleet's event loop, which takes part only while this process accepts.

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
    /// A process that accepts clients from its start.
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
    /// Whether this process accepts connections of clients.
    pub(crate) fn is_accepting(&self) -> bool {
        self.accepting.get()
    }

    /// Accepts clients from now on, or no more; everyone who waits for a change is woken.
    pub(crate) fn set_accepting(&self, accepting: bool) {
        self.accepting.set(accepting);
        self.accepting_changed.notify(usize::MAX);
    }

    /// Resolves at the next change of [`ListenerState::is_accepting`]. Listen first, then look: a change between is seen.
    pub(crate) fn accepting_changed(&self) -> EventListener {
        self.accepting_changed.listen()
    }

    /// Resolves once the listener is to be closed.
    pub(crate) fn closing(&self) -> EventListener {
        self.closing.listen()
    }

    /// Asks for the listener to be closed, after what waits in it has been accepted.
    pub(crate) fn close(&self) {
        self.closing.notify(usize::MAX);
    }

    /// The listener is gone: from now on a connection ends with the request on it, at once if it has none.
    pub(crate) fn mark_closed(&self) {
        self.closed.set(true);
    }

    /// Whether the listener is gone.
    pub(crate) fn is_closed(&self) -> bool {
        self.closed.get()
    }
}
