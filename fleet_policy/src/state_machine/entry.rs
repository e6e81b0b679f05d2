//! Entries of the replicated log and their contents.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{Member, OperationId, ReplicaId, Round, Version};

/// The result of one member's check of a proposal against its own platform settings.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The member can apply the policy.
    Fits,
    /// The member cannot apply the policy, for this reason.
    Refused(String),
}

/// A policy with its author and reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PolicyDocument {
    /// The number of the proposal, assigned when the entry is applied; 0 before that.
    pub number: Version,
    /// The policy's text, as [`crate::Record`] parses it.
    pub text: String,
    /// The name of the operator who proposed it.
    pub author: String,
    /// The author's reason.
    pub reason: String,
}

/// An entry of the log. An entry that no longer fits the state when it is applied changes nothing. `postcard` encodes
/// variants and fields by position: their order and number are fixed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// An operator proposes a policy.
    Propose {
        /// The command.
        op: OperationId,
        /// The version that the proposal is based on; if another version is in force, the command is refused.
        base: Option<Version>,
        /// The policy.
        document: PolicyDocument,
        /// Whether a second person has to confirm the proposal.
        confirm: bool,
    },
    /// Verdicts of members on a proposal, as the leader received them.
    Verdicts {
        /// The proposal.
        number: Version,
        /// The verdicts by member.
        verdicts: Vec<(Member, Verdict)>,
    },
    /// A second person confirms a proposal.
    Confirm {
        /// The command.
        op: OperationId,
        /// The proposal.
        number: Version,
        /// The name of the operator who confirms it.
        by: String,
    },
    /// A barrier begins and every router has to stop admitting. Each member accepts the proposal, or its leases have
    /// certainly expired.
    BeginBarrier {
        /// The proposal.
        number: Version,
        /// The number of the barrier within this proposal.
        round: Round,
        /// Members whose leases have certainly expired; the barrier does not wait for them.
        #[serde(rename = "without")]
        expired_members: BTreeSet<Member>,
    },
    /// The proposal comes into force: each member has stopped admitting, or its leases have certainly expired.
    InForce {
        /// The proposal.
        number: Version,
        /// The number of the barrier that this entry ends.
        round: Round,
    },
    /// The barrier ends because a member did not stop admitting in time: all routers resume under the version in force.
    Resume {
        /// The proposal.
        number: Version,
        /// The number of the barrier that this entry ends.
        round: Round,
    },
    /// An operator withdraws a proposal.
    Withdraw {
        /// The command.
        op: OperationId,
        /// The proposal.
        number: Version,
        /// The name of the operator who withdraws it.
        by: String,
        /// The operator's reason.
        reason: String,
    },
    /// A router becomes a member, or a member's address changes.
    AddMember {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
        /// The address at which other routers reach it.
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
    /// A member is assigned a new replica; its earlier replica, if any, becomes void.
    AssignReplica {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
    },
    /// A member loses its replica.
    RemoveReplica {
        /// The command.
        op: OperationId,
        /// The router.
        member: Member,
    },
    /// A new replica has caught up and becomes a voter: from this entry on it must never start from an empty state again.
    PromoteLearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// An entry of the extension ([`crate::Extension`]).
    Extension {
        /// The command, if an operator's command led to the entry.
        op: Option<OperationId>,
        /// Interpreted by the extension alone.
        entry: Vec<u8>,
    },
}
