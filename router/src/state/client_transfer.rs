//! The queue of idle client connections that a hot restart transfers to the new process.
//!
//! While a transfer is active, idle client connections add themselves to the queue and the upgrade driver sends them
//! over the link between the processes. A connection that cannot be sent is put back. If the upgrade is abandoned,
//! this process adopts the queued connections again.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::TcpStream;

use event_listener::{Event, EventListener};
use ternpick::types::Micros;

/// An idle client connection, with the bytes that were received on it but not parsed as a request.
pub(crate) struct TransferredClient {
    /// The connection's socket.
    pub(crate) socket: TcpStream,
    /// The received bytes that have not been parsed.
    pub(crate) unread: Vec<u8>,
    /// When this process stopped reading from the connection.
    pub(crate) set_aside_at: Micros,
}

/// The connections that wait for their transfer to the new process. The upgrade driver empties the queue; the
/// descriptor limit for clients bounds it.
#[derive(Default)]
pub(crate) struct ClientTransfer {
    began_at: Cell<Option<Micros>>,
    active_changed: Event,
    waiting: RefCell<VecDeque<TransferredClient>>,
    added: Event,
}

impl ClientTransfer {
    /// Whether a transfer of idle connections is active.
    pub(crate) fn is_active(&self) -> bool {
        self.began_at.get().is_some()
    }

    /// When the active transfer began; `None` if no transfer is active.
    pub(crate) fn began_at(&self) -> Option<Micros> {
        self.began_at.get()
    }

    /// Begins a transfer at `now` and wakes all listeners of [`ClientTransfer::active_changed`].
    pub(crate) fn begin(&self, now: Micros) {
        self.began_at.set(Some(now));
        self.active_changed.notify(usize::MAX);
    }

    /// Ends the transfer and wakes all listeners of [`ClientTransfer::active_changed`].
    pub(crate) fn end(&self) {
        self.began_at.set(None);
        self.active_changed.notify(usize::MAX);
    }

    /// Resolves at the next change of [`ClientTransfer::is_active`].
    pub(crate) fn active_changed(&self) -> EventListener {
        self.active_changed.listen()
    }

    /// Appends an idle connection to the queue.
    pub(crate) fn push(&self, client: TransferredClient) {
        self.waiting.borrow_mut().push_back(client);
        self.added.notify(1);
    }

    /// Puts a connection that could not be sent back at the front of the queue.
    pub(crate) fn put_back(&self, client: TransferredClient) {
        self.waiting.borrow_mut().push_front(client);
    }

    /// Removes and returns the connection at the front of the queue.
    pub(crate) fn pop(&self) -> Option<TransferredClient> {
        self.waiting.borrow_mut().pop_front()
    }

    /// Whether the queue is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Resolves once [`ClientTransfer::push`] has added a connection.
    pub(crate) fn added(&self) -> EventListener {
        self.added.listen()
    }
}
