//! The identifiers of replicas and fleets.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a replica within its fleet, from 1. The identifier of a removed replica is never assigned again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReplicaId(
    /// The number that raft-rs uses as the node id; 0 is no replica.
    pub u64,
);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The fleet that a state belongs to, derived from the fleet's name, so that states of two fleets are never mixed.
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
