//! The interface through which the decision module acts. Every caller (the router's sockets, the simulation,
//! the adapter) implements [`Actions`]; this file makes no decisions.

use crate::ids::{AttemptNo, NodeId, QueryId, ShardRequestId, TimerId};
use crate::time::Micros;

/// The reason for which the decision module sends a further attempt or ends a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionReason {
    /// A shard request without an attempt in flight is sent again.
    Retry,
    /// A late shard request is also sent to a second node.
    Hedge,
    /// The query is predicted to be late and is rejected at admission.
    Shed,
    /// The query's deadline is about to pass.
    Deadline,
    /// The answers that can still arrive do not reach the minimum weight.
    Exhausted,
    /// The query is a query of death.
    Deadly,
    /// The query is answered completely.
    Whole,
    /// The query is answered partially, from the answers received so far.
    Partial,
}

/// The actions that the decision module requests from its caller. The caller carries them out in the order of
/// the calls.
pub trait Actions {
    /// Sends a shard request to a node. The node need not start it once `limit` has passed.
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, limit: Micros);
    /// Answers a query, or its first phase, from the shard requests that have been answered.
    fn answer(&mut self, query: QueryId, complete: bool);
    /// Rejects a query. The client can safely retry it, preferably after `retry_after` (zero: no advice).
    fn reject(&mut self, query: QueryId, retry_after: Micros);
    /// Fails a query, without a guarantee on whether it has taken effect.
    fn fail(&mut self, query: QueryId);
    /// Stops waiting for an attempt.
    fn cancel_attempt(&mut self, request: ShardRequestId, attempt: AttemptNo);
    /// Closes the idle connections to a node.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Sends a health check to a node, which asks for its load report.
    fn check_health(&mut self, node: NodeId);
    /// Starts to watch the endpoint list: asks discovery for the list and for its subsequent changes.
    fn watch_endpoints(&mut self);
    /// Sets a timer that fires after `delay`.
    fn set_timer(&mut self, delay: Micros, timer: TimerId);
    /// Reports the reason for a query's next attempt or for its end. It is for tracing alone and affects no
    /// behaviour.
    fn record_reason(&mut self, _query: QueryId, _reason: DecisionReason) {}
    /// Writes one line to the operators' log.
    fn log(&mut self, line: &str);
}
