//! Messages between the routers of a fleet: lease requests and replies, consensus messages, forwarded commands and
//! questions.
//!
//! [`crate::FleetNode`] creates and handles them; the driver transports them. `postcard` encodes variants and fields by
//! position: their order and number are fixed.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::command::Command;
use crate::ids::{Epoch, Incarnation, Index, Member, OperationId, ReplicaId, Round, Seq, Version};
use crate::state_machine::{MemberInfo, Outcome, PolicyDocument, PolicyState, Verdict};

/// A router's request for a lease, with a report of its state. Each request contains the complete report: a later one
/// replaces an earlier one, and a duplicate changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// The router.
    pub member: Member,
    /// The process that sends the request.
    pub incarnation: Incarnation,
    /// The number of the request, counted by this process.
    pub seq: Seq,
    /// The log position up to which the router knows the policy state.
    pub index: Index,
    /// The log position up to which the router knows the members.
    pub members_at: Index,
    /// Its verdict on the pending proposal.
    pub verdict: Option<ProposalVerdict>,
    /// The barrier for which the router has stopped admitting; it does not admit again before it learns that the barrier
    /// has ended.
    pub paused_for: Option<BarrierId>,
    /// Whether no other process of this member can still have a lease.
    pub is_only_process: bool,
    /// The version in force if the router cannot apply it; the router then does not want a lease.
    pub unfit: Option<Version>,
    /// When the router's replica last accepted a message of an earlier leader; `None` if the router has no replica.
    pub last_leader_contact: Option<LastLeaderContact>,
    /// The log position up to which the router has applied the extension's state.
    pub machines_out_at: Index,
    /// The router's report to the extension.
    pub extension_report: Vec<u8>,
}

/// A router's verdict on a proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalVerdict {
    /// The proposal.
    pub number: Version,
    /// Whether the router can apply the proposal.
    pub verdict: Verdict,
}

/// Identifies a barrier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BarrierId {
    /// The proposal that is to come into force.
    pub number: Version,
    /// The number of the barrier within this proposal.
    pub round: Round,
}

/// A statement of a voter: it no longer accepts messages of leaders of terms before `term`, and last accepted one
/// `ago_us` before it sent this statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LastLeaderContact {
    /// The voter.
    pub replica: ReplicaId,
    /// The voter's persisted term.
    pub term: u64,
    /// The time since then in microseconds, by the voter's own clock.
    #[serde(rename = "ago")]
    pub ago_us: u64,
}

/// A granted lease: the process may admit queries under this version and in this epoch, for the configured time from
/// when it sent its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseGrant {
    /// The process that gets the lease.
    pub incarnation: Incarnation,
    /// The number of the request that this answers.
    pub seq: Seq,
    /// The epoch in which the lease is valid.
    pub epoch: Epoch,
    /// The version in force.
    pub version: Version,
}

/// The part of the pending proposal that every router needs.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ProposalView {
    /// The policy.
    pub document: PolicyDocument,
    /// Whether a second person still has to confirm it.
    pub unconfirmed: bool,
    /// The number of the latest barrier; 0 before the first.
    pub round: Round,
    /// Whether the barrier is in progress: no router admits queries.
    pub barrier: bool,
}

/// The part of the policy state that a router without a replica needs. Its size does not depend on how far behind the
/// router is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct View {
    /// The log position of the last change of the view.
    pub index: Index,
    /// Leases of an earlier epoch are void.
    pub epoch: Epoch,
    /// The policy in force.
    pub in_force: PolicyDocument,
    /// The pending proposal.
    pub proposal: Option<ProposalView>,
    /// The log position of the last change of the members.
    pub members_at: Index,
    /// The part of the extension's state that a router must know before it gets a lease.
    pub machines_out: Vec<u8>,
    /// The log position of the last change of `machines_out`.
    pub machines_out_at: Index,
}

impl View {
    /// The barrier that is in progress, if any.
    pub fn barrier(&self) -> Option<BarrierId> {
        let pending = self.proposal.as_ref().filter(|pending| pending.barrier)?;
        Some(BarrierId {
            number: pending.document.number,
            round: pending.round,
        })
    }

    /// Extracts the view from a policy state.
    pub fn of(state: &PolicyState) -> View {
        let proposal = state.proposal.as_ref().map(|pending| ProposalView {
            document: pending.document.clone(),
            unconfirmed: pending.unconfirmed,
            round: pending.round,
            barrier: pending.barrier.is_some(),
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

/// A message of the leader to a router: the answer to a request, or a notification that the policy state has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseReply {
    /// The current view; omitted if the router already knows it.
    pub view: Option<View>,
    /// The current members; omitted if the router already knows them.
    pub members: Option<BTreeMap<Member, MemberInfo>>,
    /// The lease, if one is granted.
    pub grant: Option<LeaseGrant>,
    /// Whether the router is not a member of the fleet.
    pub not_a_member: bool,
}

/// A message between routers of a fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A consensus message from one replica to another.
    Raft {
        /// The sender.
        from: ReplicaId,
        /// The recipient.
        to: ReplicaId,
        /// The message, encoded by `ternpick-consensus`.
        message: Vec<u8>,
    },
    /// A lease request to the leader.
    LeaseRequest(LeaseRequest),
    /// A lease reply of the leader.
    LeaseReply(LeaseReply),
    /// The sender does not lead. Contains the leader, if the sender knows one.
    NotLeader(Option<Member>),
    /// An operator's command to the leader; retried until its outcome is received.
    Command {
        /// Identifies the command across retries.
        op: OperationId,
        /// The command.
        command: Command,
    },
    /// The outcome of a command.
    CommandOutcome {
        /// Identifies the command.
        op: OperationId,
        /// Its outcome.
        outcome: Outcome,
    },
    /// A fragment of a message that does not fit into one transport request. The driver reassembles the message;
    /// [`crate::FleetNode`] ignores fragments.
    Fragment {
        /// Identifies the fragmented message.
        number: u64,
        /// The position of this fragment, from 0.
        #[serde(rename = "at")]
        index: u16,
        /// The number of fragments of the message.
        #[serde(rename = "of")]
        count: u16,
        /// The content of this fragment.
        bytes: Vec<u8>,
    },
    /// An operator's question to the leader.
    Inspect {
        /// Identifies the question across retries.
        op: OperationId,
        /// The question.
        #[serde(rename = "what")]
        question: String,
    },
    /// The answer to a question.
    InspectionResult {
        /// Identifies the question.
        op: OperationId,
        /// The answer, as JSON.
        json: String,
    },
}
