//! The fleet's policy and how it takes hold, without I/O. A change is in force at all routers or at none, and no router
//! decides under one that the others have left.
//!
//! [`PolicyState`] is what was agreed, replayed from the log alone. [`LeaseHolder`] is a router's own part: the policy it knows and
//! its lease; it alone says whether a lookup may be admitted ([`LeaseHolder::admission`]). [`Leader`] is kept by the router that
//! leads: it gives leases and takes a proposal from step to step. [`FleetNode`] is one router's whole part, with its seat
//! in the agreement: the one way in for a driver. A [`Record`] is a policy's text, read and checked.
//!
//! The rule: a lookup is decided under the policy in force when it was admitted; once one router has admitted under a
//! version, none ever again admits under an earlier one. `docs/design/policy.md` says why it holds.

mod effective_config;
mod extension;
mod ids;
mod leader;
mod leader_contact;
mod lease_config;
mod lease_holder;
mod messages;
mod node;
mod record;
mod state_machine;

#[cfg(test)]
mod model;

pub use effective_config::{platform, put_in_force};
pub use extension::{Extension, MemberContact, NoExtension};
pub use ids::{Epoch, Incarnation, Index, Member, OperationId, ReplicaId, Round, Seq, Version};
pub use leader::{Leader, LeaderAction, MemberStatus};
pub use lease_config::LeaseConfig;
pub use lease_holder::{Admission, LeaseEffect, LeaseHolder, RejectReason};
pub use messages::{
    Command, LastLeaderContact, LeaseGrant, LeaseReply, LeaseRequest, PeerMessage, ProposalView,
    View,
};
pub use node::{
    raft_config, Effect, FleetNode, LoadedReplica, LogLevel, OperatorRequest, OperatorResponse,
    TICK,
};
pub use record::{IndexTerms, Platform, PlatformIndex, Record, DEFINITIONS};
pub use state_machine::{
    Entry, HistoryEntry, MemberInfo, Outcome, PendingProposal, PolicyDocument, PolicyState,
    ProposalStatus, Verdict, LONGEST_TEXT, LONGEST_WORDS, MOST_MEMBERS,
};
pub use ternpick_consensus::FleetId;

/// Faults that tests plant and must find; never in a build that serves.
#[cfg(any(test, feature = "planted"))]
pub mod planted {
    pub use crate::leader::InjectedBug as InLeader;
    pub use crate::lease_holder::InjectedBug as InLeaseHolder;
}
