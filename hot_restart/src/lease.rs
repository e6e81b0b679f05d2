//! The division of one router's capacity between two processes that serve at the same time: the sum of their leases
//! never exceeds the capacity of one.

use serde::{Deserialize, Serialize};

/// How much of the router's capacity one process may use. Part of the wire format: postcard encodes the fields by
/// position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Queries and shard requests in flight.
    #[serde(rename = "held")]
    pub in_flight: u32,
    /// Retries and hedged requests that are left in the retry budget.
    #[serde(rename = "extra")]
    pub retries: u32,
    /// File descriptors.
    #[serde(rename = "sockets")]
    pub descriptors: u32,
    /// Bytes of memory for data that clients and nodes send.
    #[serde(rename = "memory")]
    pub memory_bytes: u64,
}

/// The old process retains at most one of this many free places for requests that it may still receive.
const FREE_PLACES_PER_RETAINED: u32 = 4;

/// How many of the places for queries and shard requests the old process retains: those `in_use` of its `capacity`,
/// and those that `may_arrive` from clients with an incomplete request or none before their connections migrate. The
/// latter are limited to a quarter of the free places.
///
/// The new process may use the rest until the old one exits. Without that limit 25 connections left nothing to a new
/// process with a capacity of 100, and it rejected every query while the old one drained.
pub fn retained_places(capacity: u32, in_use: u32, may_arrive: u32) -> u32 {
    let in_use = in_use.min(capacity);
    let free = capacity - in_use;
    in_use + may_arrive.min(free / FREE_PLACES_PER_RETAINED)
}

/// A lease divided between the old and the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseSplit {
    /// What the old process keeps.
    pub retained: Lease,
    /// What the new process receives.
    pub granted: Lease,
}

impl Lease {
    /// Divides this lease. The old process accepts no new clients, so it retains what it has `in_use` and a quarter
    /// of the retry budget. The new process is granted the rest.
    pub fn split(self, in_use: Lease) -> LeaseSplit {
        let retained = Lease {
            in_flight: in_use.in_flight.min(self.in_flight),
            retries: self.retries / 4,
            descriptors: in_use.descriptors.min(self.descriptors),
            memory_bytes: in_use.memory_bytes.min(self.memory_bytes),
        };
        let granted = Lease {
            in_flight: self.in_flight - retained.in_flight,
            retries: self.retries - retained.retries,
            descriptors: self.descriptors - retained.descriptors,
            memory_bytes: self.memory_bytes - retained.memory_bytes,
        };
        LeaseSplit { retained, granted }
    }

    /// The sum of both leases, for the process that remains.
    pub fn combine(self, other: Lease) -> Lease {
        Lease {
            in_flight: self.in_flight.saturating_add(other.in_flight),
            retries: self.retries.saturating_add(other.retries),
            descriptors: self.descriptors.saturating_add(other.descriptors),
            memory_bytes: self.memory_bytes.saturating_add(other.memory_bytes),
        }
    }

    /// Whether no field of this lease exceeds that of `capacity`.
    pub fn fits_within(self, capacity: Lease) -> bool {
        self.in_flight <= capacity.in_flight
            && self.retries <= capacity.retries
            && self.descriptors <= capacity.descriptors
            && self.memory_bytes <= capacity.memory_bytes
    }
}
