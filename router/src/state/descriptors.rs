//! The one count of file descriptors. A [`Permit`] stands for one and is given back when it is dropped.

use std::cell::Cell;
use std::rc::Rc;

use event_listener::Event;

/// What the process holds beside its peers: the standard streams, the poller and its timer, the signals'
/// pipe, the listener, discovery, and some to spare.
pub const OWN: usize = 32;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Peer {
    Client,
    Node,
}

/// Clients may hold three quarters of what there is and nodes half, so neither can shut the other out.
pub struct Descriptors {
    total: Cell<usize>,
    clients: Cell<usize>,
    nodes: Cell<usize>,
    highest: Cell<usize>,
    /// Told when one is given back.
    freed: Event,
}

pub struct Permit {
    of: Rc<Descriptors>,
    peer: Peer,
}

impl Descriptors {
    pub fn new(limit: usize) -> Rc<Self> {
        let total = limit.saturating_sub(OWN).max(2);
        let total = Cell::new(total);
        let (clients, nodes, highest) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Rc::new(Descriptors {
            total,
            clients,
            nodes,
            highest,
            freed: Event::new(),
        })
    }

    /// How many a kind of peer holds, and how many it may.
    fn of(&self, peer: Peer) -> (&Cell<usize>, usize) {
        match peer {
            Peer::Client => (&self.clients, self.total.get() * 3 / 4),
            Peer::Node => (&self.nodes, self.total.get() / 2),
        }
    }

    pub fn take(self: &Rc<Self>, peer: Peer) -> Option<Permit> {
        let (used, most) = self.of(peer);
        let all = self.clients.get() + self.nodes.get();
        if used.get() >= most || all >= self.total.get() {
            return None;
        }
        used.set(used.get() + 1);
        self.highest.set(self.highest.get().max(all + 1));
        Some(Permit {
            of: Rc::clone(self),
            peer,
        })
    }

    /// All that peers may hold, and another number for it: two processes share a router's while one gives way.
    pub fn total(&self) -> usize {
        self.total.get()
    }

    pub fn set_total(&self, total: usize) {
        self.total.set(total.max(2));
        self.freed.notify(usize::MAX);
    }

    /// What peers hold now.
    pub fn held(&self) -> usize {
        self.clients.get() + self.nodes.get()
    }

    /// The most that peers held at a time.
    pub fn highest(&self) -> usize {
        self.highest.get()
    }

    /// Idle connections of clients that are kept: clients may hold a third of all descriptors for their requests,
    /// so this leaves most of that to those that ask.
    pub fn kept_idle(&self) -> usize {
        self.total.get() / 8
    }

    pub fn clients(&self) -> usize {
        self.clients.get()
    }

    pub fn freed(&self) -> event_listener::EventListener {
        self.freed.listen()
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let (used, _) = self.of.of(self.peer);
        used.set(used.get().saturating_sub(1));
        self.of.freed.notify(usize::MAX);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn neither_kind_of_peer_shuts_the_other_out() {
        let of = Descriptors::new(OWN + 16);
        let all = |peer| -> Vec<Permit> { std::iter::from_fn(|| of.take(peer)).collect() };
        let (clients, nodes) = (all(Peer::Client), all(Peer::Node));
        assert_eq!((clients.len(), nodes.len(), of.highest()), (12, 4, 16));
        drop(clients);
        assert_eq!(
            (of.clients(), all(Peer::Node).len(), all(Peer::Client).len()),
            (0, 4, 8)
        );
    }
}
