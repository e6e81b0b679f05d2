//! Where discovery is, and how far the endpoint list is known.
//!
//! Written by the reload of the configuration, by the watch of the endpoint list and by a snapshot that is applied. The
//! decision module asks for the watch through the effect queue.

use std::cell::Cell;
use std::net::SocketAddr;

use event_listener::{Event, EventListener};

/// The address of discovery, and the version of the endpoint list that this process goes by.
pub(crate) struct DiscoveryState {
    address: Cell<SocketAddr>,
    moved: Event,
    watch_requested: Event,
    list_version: Cell<u64>,
}

impl DiscoveryState {
    /// Discovery at `address`, with the endpoint list known up to `list_version`.
    pub(crate) fn new(address: SocketAddr, list_version: u64) -> Self {
        DiscoveryState {
            address: Cell::new(address),
            moved: Event::new(),
            watch_requested: Event::new(),
            list_version: Cell::new(list_version),
        }
    }

    /// Where discovery is.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Moves discovery to `address`, wakes the watch if that is another one, and returns the address before.
    pub(crate) fn move_to(&self, address: SocketAddr) -> SocketAddr {
        let before = self.address.replace(address);
        if before != address {
            self.moved.notify(1);
        }
        before
    }

    /// Resolves once discovery has moved.
    pub(crate) fn moved(&self) -> EventListener {
        self.moved.listen()
    }

    /// The decision module wants the endpoint list watched.
    pub(crate) fn request_watch(&self) {
        self.watch_requested.notify(1);
    }

    /// Resolves once a watch is wanted.
    pub(crate) fn watch_requested(&self) -> EventListener {
        self.watch_requested.listen()
    }

    /// The version of the endpoint list that is known.
    pub(crate) fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// Notes the version of the endpoint list that has been applied.
    pub(crate) fn set_list_version(&self, version: u64) {
        self.list_version.set(version);
    }
}
