//! Writes the actions of one instance into the reply.

use ternpick::actions::Actions;
use ternpick::types::{AttemptNo, Micros, NodeId, QueryId, ShardRequestId, TimerId};

use crate::protocol::action;
use crate::reply::Reply;

/// Writes each action of an instance as one record of the reply.
pub(crate) struct ReplyActions<'a> {
    pub(crate) instance: u32,
    pub(crate) reply: &'a mut Reply,
}

impl ReplyActions<'_> {
    fn start_record(&mut self, code: u8) -> &mut Reply {
        self.reply.start_record(code, self.instance)
    }
}

impl Actions for ReplyActions<'_> {
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, time_limit: Micros) {
        self.start_record(action::SEND_ATTEMPT)
            .put(&request.0.to_be_bytes())
            .node(node)
            .micros(time_limit);
    }

    fn answer(&mut self, query: QueryId, complete: bool) {
        self.start_record(action::ANSWER)
            .put(&query.0.to_be_bytes())
            .put(&[u8::from(complete)]);
    }

    fn reject(&mut self, query: QueryId, retry_after: Micros) {
        self.start_record(action::REJECT)
            .put(&query.0.to_be_bytes())
            .micros(retry_after);
    }

    fn fail(&mut self, query: QueryId) {
        self.start_record(action::FAIL).put(&query.0.to_be_bytes());
    }

    fn cancel_attempt(&mut self, request: ShardRequestId, attempt: AttemptNo) {
        self.start_record(action::CANCEL_ATTEMPT)
            .put(&request.0.to_be_bytes())
            .put(&[attempt.0]);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.start_record(action::CLOSE_IDLE_CONNECTIONS).node(node);
    }

    fn check_health(&mut self, node: NodeId) {
        self.start_record(action::CHECK_HEALTH).node(node);
    }

    fn watch_endpoints(&mut self) {
        self.start_record(action::WATCH_ENDPOINTS).put(&[1]);
    }

    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.start_record(action::SET_TIMER)
            .micros(delay)
            .put(&timer.0.to_be_bytes());
    }

    fn log(&mut self, line: &str) {
        self.start_record(action::LOG).text(line);
    }
}
