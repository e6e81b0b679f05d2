//! Accounts for file descriptors. A [`DescriptorPermit`] allows its owner to hold one descriptor and is returned when
//! dropped.
//!
//! The listener, the upstream writer and the fleet's transport take a permit before they open a connection. A hot
//! restart changes the total while two processes share a router's descriptors.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::{Event, EventListener};

/// Descriptors that are reserved for the process itself: the standard streams, the poller and its timer, the signal
/// pipe, the listener, discovery, and a few spare ones.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;

/// The kind of peer that a descriptor is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peer {
    /// A client that sends queries.
    Client,
    /// A data node; also another router of the fleet, or discovery.
    Node,
}

/// The number of descriptors held, by kind of peer. Clients may hold three quarters of the total and nodes half of
/// it, so that neither kind can shut the other out.
pub(crate) struct Descriptors {
    total: Cell<usize>,
    clients: Cell<usize>,
    nodes: Cell<usize>,
    highest: Cell<usize>,
    /// Whether a client waits for a permit.
    client_waits: Cell<bool>,
    /// Notified when a permit is returned or the total changes.
    freed: Event,
}

/// Permission to hold one descriptor.
pub(crate) struct DescriptorPermit {
    descriptors: Rc<Descriptors>,
    peer: Peer,
}

/// A client that waits for a permit.
pub(crate) struct WaitingClient<'a>(&'a Cell<bool>);

impl Drop for WaitingClient<'_> {
    fn drop(&mut self) {
        self.0.set(false);
    }
}

impl Descriptors {
    /// Creates the accounting of a process that may hold `limit` descriptors, including the reserved ones.
    pub(crate) fn new(limit: usize) -> Rc<Self> {
        let total = limit.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        Rc::new(Descriptors {
            total: Cell::new(total),
            clients: Cell::new(0),
            nodes: Cell::new(0),
            highest: Cell::new(0),
            client_waits: Cell::new(false),
            freed: Event::new(),
        })
    }

    fn held_by(&self, peer: Peer) -> &Cell<usize> {
        match peer {
            Peer::Client => &self.clients,
            Peer::Node => &self.nodes,
        }
    }

    fn limit_of(&self, peer: Peer) -> usize {
        match peer {
            Peer::Client => self.total.get() * 3 / 4,
            Peer::Node => self.total.get() / 2,
        }
    }

    /// Takes a permit for one more descriptor. Returns `None` if this kind of peer, or all peers together, have
    /// reached their limit.
    pub(crate) fn take(self: &Rc<Self>, peer: Peer) -> Option<DescriptorPermit> {
        let held_by_kind = self.held_by(peer);
        let held = self.held();
        if held_by_kind.get() >= self.limit_of(peer) || held >= self.total.get() {
            return None;
        }
        held_by_kind.set(held_by_kind.get() + 1);
        self.highest.set(self.highest.get().max(held + 1));
        Some(DescriptorPermit {
            descriptors: Rc::clone(self),
            peer,
        })
    }

    /// The number of descriptors that all peers together may hold.
    pub(crate) fn total(&self) -> usize {
        self.total.get()
    }

    /// Sets the total. It changes while two processes share a router's descriptors during a hot restart.
    pub(crate) fn set_total(&self, total: usize) {
        self.total.set(total.max(2));
        self.freed.notify(usize::MAX);
    }

    /// The number of descriptors that peers hold now.
    pub(crate) fn held(&self) -> usize {
        self.clients.get() + self.nodes.get()
    }

    /// The most descriptors that peers have held at the same time.
    pub(crate) fn highest(&self) -> usize {
        self.highest.get()
    }

    /// The number of idle client connections that may stay open. Clients may hold a third of all descriptors for
    /// their requests; an eighth leaves most of that third to clients that send requests.
    pub(crate) fn idle_client_limit(&self) -> usize {
        self.total.get() / 8
    }

    /// The number of descriptors that clients hold now.
    pub(crate) fn clients(&self) -> usize {
        self.clients.get()
    }

    /// Records that a client waits for a permit, until the returned value is dropped.
    pub(crate) fn note_waiting_client(&self) -> WaitingClient<'_> {
        self.client_waits.set(true);
        WaitingClient(&self.client_waits)
    }

    /// Whether a client waits for a permit, so that connections that end should return theirs at once.
    pub(crate) fn client_waits(&self) -> bool {
        self.client_waits.get()
    }

    /// Resolves once a permit has been returned or the total has changed.
    pub(crate) fn freed(&self) -> EventListener {
        self.freed.listen()
    }
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let held = self.descriptors.held_by(self.peer);
        held.set(held.get().saturating_sub(1));
        self.descriptors.freed.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
