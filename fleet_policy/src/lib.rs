//! The policy of a fleet of routers and the protocol that changes it, without I/O. A change comes into force at all
//! routers or at none, and no router admits queries under a version that another router has already replaced.
//!
//! [`FleetNode`] is one router's part in the fleet and the only entry point for a driver: the package `router` in the
//! real program, the simulation in virtual time. It contains
//!
//! - [`PolicyState`], the replicated state machine, which is derived from the log alone;
//! - [`LeaseHolder`], this router's lease and its view of the policy: it alone decides whether a query may be admitted
//!   ([`LeaseHolder::admission`]);
//! - [`Leader`], which exists only while this router leads: it grants leases and decides the next step of a proposal;
//! - [`Extension`], a second state machine on the same log (maintenance).
//!
//! A [`Record`] is a policy's text, parsed and checked against what a platform allows.
//!
//! The safety rule: a query is decided under the policy that is in force when the query is admitted; once one router has
//! admitted a query under a version, no router ever again admits one under an earlier version. `docs/design/policy.md`
//! explains why the rule holds.

mod command;
mod effective_config;
mod effects;
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

#[cfg(any(test, feature = "planted"))]
pub mod injected_bug;
#[cfg(not(any(test, feature = "planted")))]
#[expect(unreachable_pub, reason = "public where a bug can be injected")]
mod injected_bug;

#[cfg(test)]
mod tests;

pub use command::Command;
pub use effective_config::{apply_policy, platform_limits};
pub use effects::{Effect, LoadedReplica, LogLevel, OperatorRequest, OperatorResponse};
pub use extension::{Extension, MemberContact, NoExtension};
pub use ids::{Epoch, Incarnation, Index, Member, OperationId, ReplicaId, Round, Seq, Version};
pub use leader::{Leader, LeaderAction, MemberStatus};
pub use lease_config::LeaseConfig;
pub use lease_holder::{Admission, LeaseEffect, LeaseHolder, RejectReason};
pub use messages::{
    BarrierId, LastLeaderContact, LeaseGrant, LeaseReply, LeaseRequest, PeerMessage,
    ProposalVerdict, ProposalView, View,
};
pub use node::{raft_config, FleetNode, TICK};
pub use record::{
    CustomerPolicyConfig, IndexLimits, IndexPolicyConfig, PlatformLimits, Record,
    RetryBudgetConfig, DEFINITIONS,
};
pub use state_machine::{
    Entry, HistoryEntry, MemberInfo, Outcome, PendingProposal, PolicyDocument, PolicyState,
    ProposalStatus, Verdict, MAX_MEMBERS, MAX_POLICY_TEXT_BYTES, MAX_SHORT_TEXT_BYTES,
};
pub use ternpick_consensus::FleetId;
