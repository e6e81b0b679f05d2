//! Agreement among few voters on the order of entries, without I/O, clock or chance of its own: [`Replica`] is one voter's
//! part. It knows no meaning of what it orders. A driver ticks it, hands it what others say, keeps what [`Replica::work`]
//! gives it, and only then carries out what [`Replica::kept`] says: nothing is answered for that is not kept.
//!
//! The core is raft-rs, with pre-vote and quorum checks; `docs/design/policy.md` tells what else was weighed. What is
//! added here: one image for everything that must last; the refusal of a state that is spoilt, another fleet's, or older
//! than what was answered for; and words where the core would end the program.

mod log_storage;
mod peer_promises;
mod replica;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use replica::{Advanced, Participation, Ready, Replica, Status};

/// The number of a seat. One that is taken away is never given again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Which fleet a state belongs to: by its name, so that two fleets never mix.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FleetId(pub u64);

impl fmt::Display for FleetId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Bounds and spans, in ticks of the driver's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RaftConfig {
    /// Without a word of the leader for so many ticks, and up to as many more by chance, a seat stands for election.
    pub election_ticks: usize,
    pub heartbeat_ticks: usize,
    /// How often the leader tells everybody what everybody has promised.
    pub promise_broadcast_ticks: usize,
    /// Entries kept before the state goes in their place.
    pub max_log_entries: u64,
    /// The longest entry, and about the longest message, in bytes.
    pub max_entry_bytes: u64,
    pub max_message_bytes: u64,
}

impl Default for RaftConfig {
    fn default() -> Self {
        RaftConfig {
            election_ticks: 25,
            heartbeat_ticks: 5,
            promise_broadcast_ticks: 50,
            max_log_entries: 256,
            max_entry_bytes: 12 * 1024,
            max_message_bytes: 16 * 1024,
        }
    }
}

/// Why a state or an entry is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConsensusError {
    #[error("{0}")]
    Corrupt(String),
    #[error("the state is of fleet {found}, this one is {wanted}")]
    OtherFleet { found: FleetId, wanted: FleetId },
    #[error("the state is an older copy: {0}")]
    Outdated(String),
    #[error("this router does not lead")]
    LeadsNot,
    #[error("an entry of {length} bytes is longer than {most}")]
    TooLong { length: u64, most: u64 },
    #[error("not now: {0}")]
    NotNow(String),
}
