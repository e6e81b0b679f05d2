//! The status of a replica that operators see.

use serde::{Deserialize, Serialize};

use super::Replica;
use crate::ReplicaId;

/// The status of a replica. It is part of the JSON that the control socket returns, whose keys are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The id of the replica.
    #[serde(rename = "seat")]
    pub replica_id: ReplicaId,
    /// The present term.
    pub term: u64,
    /// Whether the replica is the leader.
    #[serde(rename = "leads")]
    pub is_leader: bool,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// The index of the last entry of the replica's log.
    #[serde(rename = "last")]
    pub last_index: u64,
    /// The index of the last entry that the replica knows to be committed.
    #[serde(rename = "agreed")]
    pub committed_index: u64,
    /// The index of the last entry that was applied.
    #[serde(rename = "played")]
    pub applied_index: u64,
    /// The voters, as [`Replica::voters`] returns them.
    pub voters: Vec<ReplicaId>,
    /// The learners, as [`Replica::learners`] returns them.
    pub learners: Vec<ReplicaId>,
    /// The text form of [`crate::Participation`].
    #[serde(rename = "standing")]
    pub participation: String,
}

impl Replica {
    /// The present status, for operators.
    pub fn status(&self) -> Status {
        Status {
            replica_id: self.id(),
            term: self.term(),
            is_leader: self.is_leader(),
            leader: self.leader(),
            last_index: self.raft.store().last_index(),
            committed_index: self.raft.raft.raft_log.committed,
            applied_index: self.applied_index,
            voters: self.voters(),
            learners: self.learners(),
            participation: self.participation.to_string(),
        }
    }
}
