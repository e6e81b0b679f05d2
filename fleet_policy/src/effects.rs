//! What goes between [`crate::FleetNode`] and its driver: effects to carry out, operators' requests and their responses, and
//! the replica that is loaded at the start.

use ternpick_consensus::Replica;

use crate::command::Command;
use crate::ids::{Member, OperationId};
use crate::lease_holder::LeaseEffect;
use crate::messages::PeerMessage;
use crate::state_machine::Outcome;

/// What an operator of this router wants of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorRequest {
    /// A command, for the leader.
    Command(Command),
    /// A question, for the leader.
    Inspect(String),
}

/// The response to an [`OperatorRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorResponse {
    /// Of a command.
    Outcome(Outcome),
    /// Of a question, as JSON.
    Inspection(String),
}

/// What the driver is to do, in order.
#[derive(Debug)]
pub enum Effect {
    /// Send a message to another router.
    Send(Member, Box<PeerMessage>),
    /// Write this image in place of the one before, then call [`crate::FleetNode::persisted`]. One at a time.
    Persist(Vec<u8>),
    /// Of this router's lease and policy.
    Lease(LeaseEffect),
    /// A router asks an operator's question: answer with [`crate::FleetNode::inspection_answered`].
    Inspect(Member, OperationId, String),
    /// The response to a request of this router's operators.
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
    /// What happens often and mends itself.
    Debug,
}

/// What a router's folder held at its start.
pub enum LoadedReplica {
    /// A replica that can be used.
    Replica(Box<Replica>),
    /// Nothing.
    Missing,
    /// A state that cannot be used, and why; it is left as it is.
    Unusable(String),
}
