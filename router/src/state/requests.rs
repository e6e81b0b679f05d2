//! Stops and reloads that this process has received, and the other process of a hot restart that may have to learn of
//! them.
//!
//! [`ternpick_hot_restart::Requests`] decides; `lifecycle/requests.rs` carries out what it decides. The main loop waits
//! for reloads here, and for stops in [`ShutdownState`](crate::state::shutdown::ShutdownState).

use std::cell::{Cell, RefCell};

use event_listener::{Event, EventListener};
use rustix::process::Pid;
use ternpick_hot_restart::{Phase, Request, RequestEffect, Requester, Requests};

/// The requests to this process.
pub(crate) struct RequestState {
    requests: RefCell<Requests>,
    /// The other process of the hot restart that is in progress, or the last one.
    other_process: Cell<Option<Pid>>,
    is_upgrading: Cell<bool>,
    reload_requested: Cell<bool>,
    reload_event: Event,
}

impl Default for RequestState {
    /// The state of a process that serves alone.
    fn default() -> Self {
        RequestState {
            requests: RefCell::new(Requests::new(Phase::Alone)),
            other_process: Cell::new(None),
            is_upgrading: Cell::new(false),
            reload_requested: Cell::new(false),
            reload_event: Event::new(),
        }
    }
}

impl RequestState {
    /// Handles a request, and returns what is to be done.
    pub(crate) fn handle(&self, request: Request, requester: Requester) -> Vec<RequestEffect> {
        self.requests.borrow_mut().handle(request, requester)
    }

    /// Enters a phase, and returns what earlier requests require in it.
    pub(crate) fn enter(&self, phase: Phase) -> Vec<RequestEffect> {
        self.requests.borrow_mut().enter(phase)
    }

    /// The part of this process in the router.
    pub(crate) fn phase(&self) -> Phase {
        self.requests.borrow().phase()
    }

    /// Whether this process may shut down the listening sockets when it stops.
    pub(crate) fn may_shut_down_listeners(&self) -> bool {
        self.requests.borrow().may_shut_down_listeners()
    }

    /// Handles the death of the old process, and returns what is to be done.
    pub(crate) fn handle_death_of_old_process(&self) -> Vec<RequestEffect> {
        self.requests.borrow_mut().handle_death_of_old_process()
    }

    /// Notes that the link to the old process is lost while that process lives.
    pub(crate) fn note_link_lost(&self) {
        self.requests.borrow_mut().note_link_lost();
    }

    /// Sets whether an upgrade is in progress whose outcome its client does not know yet.
    pub(crate) fn set_upgrading(&self, is_upgrading: bool) {
        self.is_upgrading.set(is_upgrading);
    }

    /// Whether an upgrade is in progress whose outcome its client does not know yet.
    pub(crate) fn is_upgrading(&self) -> bool {
        self.is_upgrading.get()
    }

    /// Sets the other process of the hot restart that begins.
    pub(crate) fn set_other_process(&self, process: Option<Pid>) {
        self.other_process.set(process);
    }

    /// The other process of the hot restart.
    pub(crate) fn other_process(&self) -> Option<Pid> {
        self.other_process.get()
    }

    /// Who has sent a signal, given the id of the sending process.
    pub(crate) fn requester(&self, sender: Option<Pid>) -> Requester {
        if sender.is_some() && sender == self.other_process.get() {
            Requester::OtherProcess
        } else {
            Requester::Operator
        }
    }

    /// Asks the main loop for a reload.
    pub(crate) fn request_reload(&self) {
        self.reload_requested.set(true);
        self.reload_event.notify(1);
    }

    /// Whether a reload was requested since the last call.
    pub(crate) fn take_reload(&self) -> bool {
        self.reload_requested.take()
    }

    /// Resolves at the next [`RequestState::request_reload`].
    pub(crate) fn reload_requested(&self) -> EventListener {
        self.reload_event.listen()
    }
}
