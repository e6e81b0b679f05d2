//! The one way in which the decision module acts on the world. Every caller (the router's sockets, the
//! simulation, the adapter) implements [`Actions`]; nothing here decides.

use crate::ids::{AttemptNo, NodeId, QueryId, ShardRequestId, TimerId};
use crate::time::Micros;

/// Why the module sends another attempt, or ends a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionReason {
    /// A request with nothing in flight is sent again.
    Retry,
    /// A late request is sent to a second node.
    Hedge,
    /// Predicted to be late: rejected at admission.
    Shed,
    /// Its time is nearly up.
    Deadline,
    /// What may still come is too little.
    Exhausted,
    /// It brings nodes down.
    Deadly,
    /// Complete.
    Whole,
    /// Answered from what is in.
    Partial,
}

/// What the decision module asks of its caller. Effects are carried out in the order of the calls.
pub trait Actions {
    /// Sends a request to a node; the node need not begin it once `limit` has passed.
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, limit: Micros);
    /// Answers a query, or its first phase, from the requests that are answered.
    fn answer(&mut self, query: QueryId, complete: bool);
    /// Rejects a query: asking again is harmless, best after `retry_after` (zero: no advice).
    fn reject(&mut self, query: QueryId, retry_after: Micros);
    /// Fails a query, with no promise about its effect.
    fn fail(&mut self, query: QueryId);
    /// Stops waiting for an attempt.
    fn cancel_attempt(&mut self, request: ShardRequestId, attempt: AttemptNo);
    /// Closes the connections to a node that carry nothing.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Asks a node for its load report.
    fn check_health(&mut self, node: NodeId);
    /// Asks discovery for the endpoint list and its changes from now on.
    fn watch_endpoints(&mut self);
    /// Asks to be called after `delay`.
    fn set_timer(&mut self, delay: Micros, timer: TimerId);
    /// Says why a query's next attempt or its end comes, for who follows that query; nothing rests on it.
    fn record_reason(&mut self, _query: QueryId, _reason: DecisionReason) {}
    /// Writes one line for the people on call.
    fn log(&mut self, line: &str);
}
