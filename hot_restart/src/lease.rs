//! The division of one router's capacity between two processes that serve at the same time: the sum of their leases never
//! exceeds the capacity of one.

use serde::{Deserialize, Serialize};

/// How much of the router's capacity one process may use. Part of the wire format: postcard encodes the fields by position.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Queries and shard requests in flight.
    pub held: u32,
    /// Retries and hedged requests left in the retry budget.
    pub extra: u32,
    /// File descriptors.
    pub sockets: u32,
    /// Bytes of memory for what peers send.
    pub memory: u64,
}

/// The old process keeps at most one in so many of its free places for requests that may still come to it.
const KEPT_OF_FREE: u32 = 4;

/// How many places for queries and shard requests the old process keeps: for the `in_use` of its `capacity`, and for the
/// `may_come` that clients with half a request or none may bring before their connections go over, as far as a part of what
/// is free allows.
///
/// The rest is the new process's until the old one has left. When all that might come was kept, 25 connections left a new
/// process with a capacity of 100 nothing, and it rejected every query for as long as the old one drained.
pub fn places_kept(capacity: u32, in_use: u32, may_come: u32) -> u32 {
    let in_use = in_use.min(capacity);
    let free = capacity - in_use;
    in_use + may_come.min(free / KEPT_OF_FREE)
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
    /// Divides this lease: the old process accepts nothing new, so it retains what it has `in_use`, and a quarter of the
    /// retry budget. The rest is granted.
    pub fn split(self, in_use: Lease) -> LeaseSplit {
        let retained = Lease {
            held: in_use.held.min(self.held),
            extra: self.extra / 4,
            sockets: in_use.sockets.min(self.sockets),
            memory: in_use.memory.min(self.memory),
        };
        let granted = Lease {
            held: self.held - retained.held,
            extra: self.extra - retained.extra,
            sockets: self.sockets - retained.sockets,
            memory: self.memory - retained.memory,
        };
        LeaseSplit { retained, granted }
    }

    /// Both leases together, for the process that remains.
    pub fn combine(self, other: Lease) -> Lease {
        Lease {
            held: self.held.saturating_add(other.held),
            extra: self.extra.saturating_add(other.extra),
            sockets: self.sockets.saturating_add(other.sockets),
            memory: self.memory.saturating_add(other.memory),
        }
    }

    /// Whether no part of this lease exceeds that of `capacity`.
    pub fn fits_within(self, capacity: Lease) -> bool {
        self.held <= capacity.held
            && self.extra <= capacity.extra
            && self.sockets <= capacity.sockets
            && self.memory <= capacity.memory
    }
}
