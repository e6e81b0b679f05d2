//! The one count of file descriptors. A [`DescriptorPermit`] stands for one and is given back when it is dropped.
//!
//! The listener, the upstream writer and the fleet's transport take a permit before each connection. A hot restart moves the
//! total while two processes share a router's descriptors.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::{Event, EventListener};

/// Descriptors that the process holds beside those of its peers: the standard streams, the poller and its timer, the pipe of
/// the signals, the listener, discovery, and some to spare.
pub(crate) const RESERVED_DESCRIPTORS: usize = 32;

/// The kind of peer that a descriptor is held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Peer {
    /// Sends queries.
    Client,
    /// Answers shard requests; also other routers of the fleet, and discovery.
    Node,
}

/// Descriptors held, by kind of peer. Clients may hold three quarters of the total and nodes half, so neither can shut the
/// other out.
pub(crate) struct Descriptors {
    total: Cell<usize>,
    clients: Cell<usize>,
    nodes: Cell<usize>,
    highest: Cell<usize>,
    /// Notified when one is given back.
    freed: Event,
}

/// The right to hold one descriptor.
pub(crate) struct DescriptorPermit {
    descriptors: Rc<Descriptors>,
    peer: Peer,
}

impl Descriptors {
    /// The descriptors of a process that may hold `limit`, its own included.
    pub(crate) fn new(limit: usize) -> Rc<Self> {
        let total = limit.saturating_sub(RESERVED_DESCRIPTORS).max(2);
        Rc::new(Descriptors {
            total: Cell::new(total),
            clients: Cell::new(0),
            nodes: Cell::new(0),
            highest: Cell::new(0),
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

    /// A permit for one more descriptor, or nothing if this kind of peer, or all together, hold what they may.
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

    /// The descriptors that all peers together may hold.
    pub(crate) fn total(&self) -> usize {
        self.total.get()
    }

    /// Replaces the total: two processes share a router's descriptors while one of them leaves.
    pub(crate) fn set_total(&self, total: usize) {
        self.total.set(total.max(2));
        self.freed.notify(usize::MAX);
    }

    /// What peers hold now.
    pub(crate) fn held(&self) -> usize {
        self.clients.get() + self.nodes.get()
    }

    /// The most that peers held at a time.
    pub(crate) fn highest(&self) -> usize {
        self.highest.get()
    }

    /// Idle connections of clients that are kept open: clients may hold a third of all descriptors for their requests, so this
    /// leaves most of that to those that send some.
    pub(crate) fn idle_client_limit(&self) -> usize {
        self.total.get() / 8
    }

    /// What clients hold now.
    pub(crate) fn clients(&self) -> usize {
        self.clients.get()
    }

    /// Resolves once a descriptor has been given back or the total has changed.
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
