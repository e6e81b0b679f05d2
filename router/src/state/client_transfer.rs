//! Idle connections of clients on their way to a new process, during a hot restart.
//!
//! Client connections put themselves here once passing is on; the upgrade sends them over the link between the processes.
//! What cannot be sent comes back here, and is adopted again if the upgrade is given up.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;

use event_listener::{Event, EventListener};
use ternpick::types::Micros;

/// A client's connection, with the bytes that the client has sent already and nobody has read as a request.
pub(crate) struct TransferredClient {
    /// The connection.
    pub(crate) socket: TcpStream,
    /// What has been read from it.
    pub(crate) unread: Vec<u8>,
    /// Since when nothing is read from it.
    pub(crate) set_aside_at: Micros,
}

/// The connections that are to go to the new process. Emptied by the upgrade; bounded by the descriptors of clients.
#[derive(Default)]
pub(crate) struct ClientTransfer {
    began_at: Cell<Option<Micros>>,
    active_changed: Event,
    waiting: RefCell<VecDeque<TransferredClient>>,
    added: Event,
}

impl ClientTransfer {
    /// Whether idle connections go to the new process.
    pub(crate) fn is_active(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// Since when idle connections go to the new process, if they do.
    pub(crate) fn began_at(&self) -> Option<Micros> {
        self.began_at.get()
    }

    /// Passes connections on from `now` on; everyone who waits for a change is woken.
    pub(crate) fn begin(&self, now: Micros) {
        self.began_at.set(Some(now));
        self.active_changed.notify(usize::MAX);
    }

    /// Passes no more connections on; everyone who waits for a change is woken.
    pub(crate) fn end(&self) {
        self.began_at.set(None);
        self.active_changed.notify(usize::MAX);
    }

    /// Resolves at the next change of [`ClientTransfer::is_active`].
    pub(crate) fn active_changed(&self) -> EventListener {
        self.active_changed.listen()
    }

    /// Adds a connection that has become idle.
    pub(crate) fn push(&self, client: TransferredClient) {
        self.waiting.borrow_mut().push_back(client);
        self.added.notify(1);
    }

    /// Puts back the connection that could not be sent, ahead of the others.
    pub(crate) fn put_back(&self, client: TransferredClient) {
        self.waiting.borrow_mut().push_front(client);
    }

    /// The connection that has waited longest.
    pub(crate) fn pop(&self) -> Option<TransferredClient> {
        self.waiting.borrow_mut().pop_front()
    }

    /// Whether no connection waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Resolves once a connection has been added.
    pub(crate) fn added(&self) -> EventListener {
        self.added.listen()
    }
}
