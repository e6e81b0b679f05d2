//! Raft consensus among a few voters on the order of log entries, without I/O, clock, threads or randomness of its own.
//!
//! [`Replica`] is a voter, or a learner that can become one. It does not interpret its entries. A driver
//! (`FleetNode` of the package `fleet_policy`, or a simulation) repeats these steps:
//!
//! 1. [`Replica::tick`] at a fixed interval, [`Replica::step`] for each message of a peer, and
//!    [`Replica::propose`] or [`Replica::read_index`] for its own requests;
//! 2. [`Replica::ready`], then store the returned state durably;
//! 3. [`Replica::advance`], then send the returned messages and apply the returned committed entries, which depend on
//!    that state being durable.
//!
//! The protocol is Raft as the raft-rs crate implements it, with pre-vote and check-quorum; `docs/design/policy.md`
//! lists the alternatives. This package adds:
//!
//! * an encoding of all state that must survive a restart, as one byte string (`persisted_state.rs`);
//! * a check with the peers, at each start, that this state is not an older copy (`replica/promise_check.rs`);
//! * an error ([`ReplicaFault`]) where raft-rs panics.

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
