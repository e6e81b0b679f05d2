//! The states of a replica between its start and its part in elections and replication.

use std::fmt;

use crate::{OutdatedState, ReplicaId};

/// Whether a replica takes part in elections and replication.
///
/// A replica starts in [`Participation::Proving`], where it neither votes nor acknowledges entries. It moves to
/// [`Participation::TakesPart`] once enough peers have confirmed that its state is not older than what they received
/// from it. From either variant it moves permanently to [`Participation::Faulted`] when its state proves to be
/// unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Participation {
    /// The replica waits for peers to confirm its state. Contains the peers that have confirmed it.
    Proving(Vec<ReplicaId>),
    /// The replica votes and replicates.
    TakesPart,
    /// The replica's state cannot be used. The replica sends nothing more and has to be replaced.
    Faulted(ReplicaFault),
}

/// The text in [`crate::Status`]. The simulation and operators' scripts match on its beginning.
impl fmt::Display for Participation {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Participation::Proving(confirmed_by) => write!(
                f,
                "asking what it has promised, {} have answered",
                confirmed_by.len()
            ),
            Participation::TakesPart => f.write_str("takes part"),
            Participation::Faulted(fault) => write!(f, "spoilt: {fault}"),
        }
    }
}

/// Why a replica can no longer take part.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ReplicaFault {
    /// The replica's state is an earlier copy, for instance from a backup.
    #[error("it is an older copy: {0}")]
    Outdated(#[from] OutdatedState),
    /// raft-rs panicked.
    #[error("raft-rs cannot continue from this state")]
    RaftPanicked,
}
