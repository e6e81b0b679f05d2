//! Entries of the replicated log, and what they carry.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{Member, OperationId, ReplicaId, Round, Version};

/// One member's check of a proposal against its own platform settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The policy can be used there.
    Fits,
    /// It cannot be used there; the reason.
    Refused(String),
}

/// A policy and who proposed it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyDocument {
    /// Assigned when the proposal is applied; 0 before.
    pub number: Version,
    /// The policy in the form that [`crate::Record`] reads.
    pub text: String,
    /// Who proposed it.
    pub author: String,
    /// Why, in the author's words.
    pub reason: String,
}

/// An entry of the log. One that no longer fits the state when it is applied changes nothing. `postcard` encodes variants
/// and fields by position: their order and number are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// An operator proposes a policy.
    Propose {
        /// The command.
        op: OperationId,
        /// The version that its author looked at; if another one is in force, the command is refused.
        base: Option<Version>,
        /// The policy.
        document: PolicyDocument,
        /// A second person has to confirm it.
        confirm: bool,
    },
    /// Members' verdicts on a proposal, as the leader received them.
    Verdicts {
        /// The proposal.
        number: Version,
        /// By member.
        verdicts: Vec<(Member, Verdict)>,
    },
    /// A second person confirms a proposal.
    Confirm {
        /// The command.
        op: OperationId,
        /// The proposal.
        number: Version,
        /// Who confirms it.
        by: String,
    },
    /// Every router is to stop admitting: each member accepts the proposal, or its leases have certainly expired.
    BeginBarrier {
        /// The proposal.
        number: Version,
        /// Counts the barriers of this proposal.
        round: Round,
        /// Members whose leases have certainly expired.
        #[serde(rename = "without")]
        expired_members: BTreeSet<Member>,
    },
    /// The proposal comes into force: all members have stopped admitting, or their leases have certainly expired.
    InForce {
        /// The proposal.
        number: Version,
        /// The barrier that this ends.
        round: Round,
    },
    /// A member did not stop admitting in time: all resume under the version in force.
    Resume {
        /// The proposal.
        number: Version,
        /// The barrier that this ends.
        round: Round,
    },
    /// An operator withdraws a proposal.
    Withdraw {
        /// The command.
        op: OperationId,
        /// The proposal.
        number: Version,
        /// Who withdraws it.
        by: String,
        /// Why.
        reason: String,
    },
    /// A router becomes a member, or a member's address changes.
    AddMember {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
        /// Where other routers reach it.
        address: String,
        /// Its zone.
        zone: String,
    },
    /// A member without a replica leaves the fleet.
    RemoveMember {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
    },
    /// A member is assigned a new replica; an earlier one of its is void.
    AssignReplica {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
    },
    /// A member has no replica any more.
    RemoveReplica {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
    },
    /// A new replica has caught up and becomes a voter: from here on it never starts from an empty state again.
    PromoteLearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// An entry of the extension ([`crate::Extension`]).
    Extension {
        /// The command, where it is one.
        op: Option<OperationId>,
        /// Known to the extension alone.
        entry: Vec<u8>,
    },
}
