//! The address of discovery, and the version of the endpoint list that this process has applied.
//!
//! A configuration reload, the watch of the endpoint list and an applied snapshot write this state. The routing
//! engine requests the watch through the effect queue.

use std::cell::Cell;
use std::net::SocketAddr;

use event_listener::{Event, EventListener};

/// The address of discovery, and the version of the endpoint list that this process uses.
pub(crate) struct DiscoveryState {
    address: Cell<SocketAddr>,
    address_changed: Event,
    watch_requested: Event,
    list_version: Cell<u64>,
}

impl DiscoveryState {
    /// Creates the state for discovery at `address`, with `list_version` of the endpoint list already applied.
    pub(crate) fn new(address: SocketAddr, list_version: u64) -> Self {
        DiscoveryState {
            address: Cell::new(address),
            address_changed: Event::new(),
            watch_requested: Event::new(),
            list_version: Cell::new(list_version),
        }
    }

    /// The address of discovery.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
    }

    /// Sets the address of discovery, wakes the watch if it differs from the previous one, and returns the previous
    /// one.
    pub(crate) fn move_to(&self, address: SocketAddr) -> SocketAddr {
        let previous = self.address.replace(address);
        if previous != address {
            self.address_changed.notify(1);
        }
        previous
    }

    /// Resolves once the address of discovery has changed.
    pub(crate) fn moved(&self) -> EventListener {
        self.address_changed.listen()
    }

    /// Requests a watch of the endpoint list, on behalf of the routing engine.
    pub(crate) fn request_watch(&self) {
        self.watch_requested.notify(1);
    }

    /// Resolves once a watch has been requested.
    pub(crate) fn watch_requested(&self) -> EventListener {
        self.watch_requested.listen()
    }

    /// The version of the endpoint list that has been applied.
    pub(crate) fn list_version(&self) -> u64 {
        self.list_version.get()
    }

    /// Records the version of the endpoint list that has been applied.
    pub(crate) fn set_list_version(&self, version: u64) {
        self.list_version.set(version);
    }
}
