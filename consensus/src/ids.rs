//! The identifiers of replicas and fleets.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a replica within its fleet; ids start at 1. The id of a removed replica is never assigned again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaId(
    /// The node id in raft-rs. 0 stands for "no replica".
    pub u64,
);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies the fleet that a state belongs to, so that a router rejects the state of another fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FleetId(
    /// A hash of the fleet's name.
    pub u64,
);

impl fmt::Display for FleetId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
