//! Messages between the routers of a fleet: lease requests and replies, consensus messages, forwarded commands.
//!
//! [`crate::FleetNode`] reads and writes them; the driver carries them. `postcard` encodes variants and fields by position:
//! their order and number are fixed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::ids::{Epoch, Incarnation, Index, Member, OperationId, ReplicaId, Round, Seq, Version};
use crate::state_machine::{MemberInfo, Outcome, PolicyDocument, PolicyState, Verdict};

/// A router requests a lease and reports its state. The request is the whole report: a later one replaces an earlier one,
/// and a duplicate changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The router.
    pub member: Member,
    /// Its process.
    pub incarnation: Incarnation,
    /// Counts the requests of this process.
    pub seq: Seq,
    /// Up to where it knows the policy state.
    pub index: Index,
    /// Up to where it knows the members.
    pub members_at: Index,
    /// Its verdict on the pending proposal.
    pub verdict: Option<ProposalVerdict>,
    /// It has stopped admitting for this barrier, and will not admit before it learns of the barrier's end.
    pub paused_for: Option<BarrierId>,
    /// No other process of this member can still have a lease.
    pub is_only_process: bool,
    /// It cannot use the policy in force, this version: it wants no lease.
    pub unfit: Option<Version>,
    /// Of a router with a voting replica.
    pub last_leader_contact: Option<LastLeaderContact>,
    /// Up to where it acts on the extension's state.
    pub machines_out_at: Index,
    /// Its report to the extension.
    pub extension_report: Vec<u8>,
}

/// A router's verdict on a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalVerdict {
    /// The proposal.
    pub number: Version,
    /// Whether it can be used there.
    pub verdict: Verdict,
}

/// One barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BarrierId {
    /// The proposal that is to take effect.
    pub number: Version,
    /// Counts the barriers of this proposal.
    pub round: Round,
}

/// A voter can no longer accept messages of a leader of a term before `term`, and last did so `ago` microseconds before
/// this was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LastLeaderContact {
    /// The voter.
    pub replica: ReplicaId,
    /// Its persisted term.
    pub term: u64,
    /// In microseconds by its own clock.
    #[serde(rename = "ago")]
    pub ago_us: u64,
}

/// A lease: this process may admit queries under this version, in this epoch, for the configured time since it sent its
/// request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process.
    pub incarnation: Incarnation,
    /// The request that this answers.
    pub seq: Seq,
    /// The epoch in which it is valid.
    pub epoch: Epoch,
    /// The version in force.
    pub version: Version,
}

/// The pending proposal, as routers need it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalView {
    /// The policy.
    pub document: PolicyDocument,
    /// A second person has yet to confirm it.
    pub unconfirmed: bool,
    /// The latest barrier.
    pub round: Round,
    /// The barrier is in progress: no router admits.
    pub barrier: bool,
}

/// The policy state, as far as a router without a replica needs it. Its size does not depend on how far behind the router
/// is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// Where something in it last changed.
    pub index: Index,
    /// Leases of an earlier epoch are void.
    pub epoch: Epoch,
    /// The policy in force.
    pub in_force: PolicyDocument,
    /// The pending proposal.
    pub proposal: Option<ProposalView>,
    /// Where the members last changed.
    pub members_at: Index,
    /// What a router has to know of the extension's state before it gets a lease.
    pub machines_out: Vec<u8>,
    /// Where that last changed.
    pub machines_out_at: Index,
}

impl View {
    /// The barrier that is in progress.
    pub fn barrier(&self) -> Option<BarrierId> {
        let next = self.proposal.as_ref().filter(|next| next.barrier)?;
        Some(BarrierId {
            number: next.document.number,
            round: next.round,
        })
    }

    /// The view of a policy state.
    pub fn of(state: &PolicyState) -> View {
        let proposal = state.proposal.as_ref().map(|next| ProposalView {
            document: next.document.clone(),
            unconfirmed: next.unconfirmed,
            round: next.round,
            barrier: next.barrier.is_some(),
        });
        View {
            index: state.changed_at,
            epoch: state.epoch,
            in_force: state.in_force.clone(),
            proposal,
            members_at: state.members_at,
            machines_out: state.machines_out.clone(),
            machines_out_at: state.machines_out_at,
        }
    }
}

/// What the leader sends to a router, in answer to a request or because the policy state has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReply {
    /// Left out where the router knows it.
    pub view: Option<View>,
    /// Left out where the router knows them.
    pub members: Option<BTreeMap<Member, MemberInfo>>,
    /// The lease, if it is granted.
    pub grant: Option<LeaseGrant>,
    /// The router does not belong to the fleet.
    pub not_a_member: bool,
}

/// A message between routers of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Between replicas.
    Raft {
        /// The sender.
        from: ReplicaId,
        /// The recipient.
        to: ReplicaId,
        /// The message, encoded by `ternpick-consensus`.
        message: Vec<u8>,
    },
    /// To the leader.
    LeaseRequest(LeaseRequest),
    /// From the leader.
    LeaseReply(LeaseReply),
    /// The sender does not lead; the leader, if it knows one.
    NotLeader(Option<Member>),
    /// An operator's command, to the leader; sent again until its outcome is received.
    Command {
        /// Identifies the command across retries.
        op: OperationId,
        /// The command.
        command: Command,
    },
    /// The outcome of a command.
    CommandOutcome {
        /// The command.
        op: OperationId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A fragment of a message that is longer than one transport request carries: the driver reassembles it,
    /// [`crate::FleetNode`] ignores it.
    Fragment {
        /// The message.
        number: u64,
        /// The position of this fragment, from 0.
        #[serde(rename = "at")]
        index: u16,
        /// How many fragments there are.
        #[serde(rename = "of")]
        count: u16,
        /// The content.
        bytes: Vec<u8>,
    },
    /// An operator's question, to the leader.
    Inspect {
        /// Identifies the question across retries.
        op: OperationId,
        /// The question.
        #[serde(rename = "what")]
        question: String,
    },
    /// The answer to a question.
    InspectionResult {
        /// The question.
        op: OperationId,
        /// The answer, as JSON.
        json: String,
    },
}
