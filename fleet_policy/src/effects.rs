//! The types exchanged between [`crate::FleetNode`] and its driver: effects to carry out, operators' requests and their
//! responses, and the replica that is loaded at the start.

use ternpick_consensus::Replica;

use crate::command::Command;
use crate::ids::{Member, OperationId};
use crate::lease_holder::LeaseEffect;
use crate::messages::PeerMessage;
use crate::state_machine::Outcome;

/// A request of an operator of this router to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// A command for the leader.
    Command(Command),
    /// A question for the leader.
    Inspect(String),
}

/// The response to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// The outcome of a command.
    Outcome(Outcome),
    /// The answer to a question, as JSON.
    Inspection(String),
}

/// An action for the driver; actions are carried out in order.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another router.
    Send(Member, Box<PeerMessage>),
    /// Replace the stored image of the replica by this one, then call [`crate::FleetNode::persisted`]. At most one image
    /// is being written at a time.
    Persist(Vec<u8>),
    /// An effect of this router's lease and its view of the policy.
    Lease(LeaseEffect),
    /// Answer an operator's question that this router sent: call [`crate::FleetNode::inspection_answered`].
    Inspect(Member, OperationId, String),
    /// Deliver the response to a request of this router's operators.
    OperatorResponse(OperationId, OperatorResponse),
    /// Write a line to the log.
    Log(LogLevel, String),
}

/// The level of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// The router does not work as configured, and an operator has to act.
    Error,
    /// A change of state.
    Info,
    /// An event that is frequent and needs no action.
    Debug,
}

/// The stored replica that a router found in its folder when it started.
pub enum LoadedReplica {
    /// A replica that can be used.
    Replica(Box<Replica>),
    /// The folder contains no replica.
    Missing,
    /// The stored state cannot be used, for this reason; the file is left unchanged.
    Unusable(String),
}
