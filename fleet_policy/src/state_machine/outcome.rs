//! The outcomes of commands, and the reasons for which a command is refused. The texts are part of the replicated state:
//! they must not change.

use serde::{Deserialize, Serialize};

use super::MAX_MEMBERS;
use crate::ids::{Member, OperationId, ReplicaId, Version};

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The proposal was accepted for checking and has this number.
    Proposed(Version),
    /// The member was assigned this replica.
    ReplicaAssigned(ReplicaId),
    /// A command of the extension succeeded and returned this number.
    Numbered(u64),
    /// The command succeeded.
    Done,
    /// The command was refused and changed nothing; the reason, for the operator.
    Refused(String),
}

/// A command and its outcome. `postcard` encodes it in the same way as the tuple that earlier releases stored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(super) struct CompletedCommand {
    pub(super) op: OperationId,
    pub(super) outcome: Outcome,
}

/// The reason for which a command is refused. Its text is stored in [`Outcome::Refused`] and shown to the operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum CommandRefused {
    #[error("proposal {number} by {author} is on its way")]
    OtherProposalPending { number: Version, author: String },
    #[error("it was made from version {base}, in force is {in_force}")]
    OutdatedBase { base: Version, in_force: Version },
    #[error("it is longer than any policy is")]
    DocumentTooLong,
    #[error("proposal {number} is not on its way")]
    ProposalNotPending { number: Version },
    #[error("{by} made it: somebody else has to confirm it")]
    ConfirmedByAuthor { by: String },
    #[error("proposal {number}: {}", .status.description())]
    CannotWithdraw { number: Version, status: NotPending },
    #[error("a change takes hold just now; ask again in a moment")]
    BarrierInProgress,
    #[error("a fleet has at most {MAX_MEMBERS} members, with names")]
    InvalidMember,
    #[error("{member} is no member")]
    NotMember { member: Member },
    #[error("{member} has a vote: take that first")]
    HasReplica { member: Member },
    #[error("{member} is the last that votes")]
    LastVoter { member: Member },
}

/// Why a proposal is not pending.
#[derive(Clone, Copy, Debug)]
pub(super) enum NotPending {
    InForce,
    Refused,
    Withdrawn,
    Unknown,
}

impl NotPending {
    fn description(self) -> &'static str {
        match self {
            NotPending::InForce => "it is in force: to go back, propose the earlier policy anew",
            NotPending::Refused => "it was refused",
            NotPending::Withdrawn => "it was withdrawn before",
            NotPending::Unknown => "there is no such proposal on its way",
        }
    }
}
