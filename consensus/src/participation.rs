//! Whether a replica takes part in elections and replication.

use std::fmt;

use crate::{OutdatedState, ReplicaId};

/// Whether a replica takes part in elections and replication.
///
/// A replica starts in [`Participation::Proving`], where it neither votes nor acknowledges entries. It moves to
/// [`Participation::TakesPart`] once enough peers have confirmed that its state is not older than what they received
/// from it. From either it moves to [`Participation::Faulted`] for good when its state turns out to be unusable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Participation {
    /// Waits for peers to confirm its state; contains those that have.
    Proving(Vec<ReplicaId>),
    /// Votes and replicates.
    TakesPart,
    /// Its state cannot be used. It sends nothing more and has to be replaced.
    Faulted(ReplicaFault),
}

/// The form that [`crate::Status`] carries; simulation and operators' scripts match on its beginning.
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
    /// Its state was replaced by an earlier copy, from a backup for instance.
    #[error("it is an older copy: {0}")]
    Outdated(#[from] OutdatedState),
    /// raft-rs panicked on this state.
    #[error("raft-rs cannot continue from this state")]
    RaftPanicked,
}
