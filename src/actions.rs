//! The one way in which the decision module acts on the world. Every front (sockets, the bench's wire)
//! implements [`Actions`]; nothing here decides.

use crate::types::{AttemptNo, DecisionReason, Micros, NodeId, QueryId, ShardRequestId, TimerId};

pub trait Actions {
    /// Sends a part to a node; the node need not begin it once `limit` has passed.
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, limit: Micros);
    /// Answers a lookup from the parts that are in.
    fn answer(&mut self, lookup: QueryId, whole: bool);
    /// Turns a lookup away: asking again is harmless, best after `come_back` (zero: no advice).
    fn reject(&mut self, lookup: QueryId, come_back: Micros);
    /// Gives a lookup up, with no promise about its effect.
    fn fail(&mut self, lookup: QueryId);
    /// Stops waiting for a part call.
    fn cancel_attempt(&mut self, part: ShardRequestId, call: AttemptNo);
    /// Closes the connections to a node that carry nothing.
    fn close_idle_connections(&mut self, node: NodeId);
    /// Asks a node for its load report.
    fn check_health(&mut self, node: NodeId);
    /// Asks the roster for its changes from now on.
    fn watch_endpoints(&mut self);
    /// Asks to be woken after `delay`.
    fn set_timer(&mut self, delay: Micros, timer: TimerId);
    /// Says why a lookup's next call or its end comes, for who follows that lookup; nothing rests on it.
    fn record_reason(&mut self, _lookup: QueryId, _why: DecisionReason) {}
    /// Writes one line for the people on call.
    fn log(&mut self, line: &str);
}
