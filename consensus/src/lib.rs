//! Raft consensus among a few voters on the order of log entries, without I/O, clock, threads or randomness of its own.
//!
//! [`Replica`] is one voter, or a learner that becomes one. It does not know what its entries mean. A driver
//! (`fleet_policy`'s node, or a simulation) repeats these steps:
//!
//! 1. [`Replica::tick`] at a fixed interval, [`Replica::step`] for each message of a peer, and
//!    [`Replica::propose`] or [`Replica::read_index`] for its own requests;
//! 2. [`Replica::ready`], and durable storage of the state that it returns;
//! 3. [`Replica::advance`], whose messages and committed entries depend on that state being durable.
//!
//! The protocol is that of the raft-rs crate, with pre-vote and quorum checks; `docs/design/policy.md` names the
//! alternatives. This package adds:
//!
//! * one byte string for all state that must survive a restart (`persisted_state.rs`);
//! * a check at each start, with the peers, that this state is not an older copy (`replica/promise_check.rs`);
//! * errors where raft-rs would panic ([`ReplicaFault`]).

mod config;
mod error;
mod ids;
mod log_storage;
mod message;
mod participation;
mod peer_promises;
mod persisted_state;
mod promise;
mod replica;

pub use config::RaftConfig;
pub use error::{ConsensusError, PersistedStateError};
pub use ids::{FleetId, ReplicaId};
pub use participation::{Participation, ReplicaFault};
pub use promise::{LogPosition, OutdatedState};
pub use replica::{Advanced, Ready, Replica, Status};
