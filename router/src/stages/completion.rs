//! Book: carries out what the module says of lookups and calls in the books, and closes them. A lookup's slot,
//! its parts and its reply are given back in [`EffectQueue::close`], a call's record in [`InFlightTable::finish`].

use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ternpick::actions::Actions;
use ternpick::types::{
    AttemptNo, AttemptOutcome, DecisionReason, Micros, NodeId, QueryId, ShardRequestId, TimerId,
};
use ternpick_platform_config::Bounds;
use ternpick_tenant_limits::Limits;

use crate::fleet::Mark;
use crate::stages::upstream_writer;
use crate::state::in_flight::{CallKey, CallOut, InFlightTable, Place};
use crate::state::nodes::{ConnectionId, Nodes};
use ternpick_wire::{frames, query};

/// How many lookups were taken and how they ended.
#[derive(Default)]
pub struct Counts {
    pub taken: u64,
    pub satisfied: u64,
    pub nacked: u64,
    pub aborted: u64,
    pub lapsed: u64,
    /// Satisfied, and after their soft deadline.
    pub late: u64,
    /// Beyond the most that may be held, before the module saw them.
    pub turned_away: u64,
    pub calls: u64,
    /// Messages of nodes that could not be used, and when that was last said.
    pub spoilt: u64,
    spoilt_said: Micros,
}

/// Lines on what peers do wrong come no closer than this; they say the count.
const SAY_AGAIN: Micros = Micros(1_000_000);

/// A call's end that the module has yet to be told.
pub struct Return {
    pub key: CallKey,
    pub call: CallOut,
    pub ending: AttemptOutcome,
}

#[derive(Default)]
pub struct EffectQueue {
    pub now: Micros,
    pub bounds: Rc<Bounds>,
    pub in_flight: InFlightTable,
    pub nodes: Nodes,
    pub counts: Counts,
    /// Calls wanted since the last turn, in order; emptied by the send stage.
    pub ordered_attempts: Vec<CallKey>,
    pub health_checks: Vec<NodeId>,
    /// Emptied by the next turn.
    pub finished_attempts: VecDeque<Return>,
    pub timers: BTreeSet<(Micros, TimerId)>,
    pub watch_wanted: bool,
    /// The most that this process may hold while two share a router's; none: as the settings say.
    pub shared_limit: Option<usize>,
    /// What tenants have in hand; none where they are not told apart.
    pub limits: Option<Limits>,
    /// The last lookup found no room.
    pub full: bool,
}

impl EffectQueue {
    /// Whether as many lookups and parts are in hand as may be; one is then turned away.
    pub fn is_full(&mut self) -> bool {
        let held = self.in_flight.held();
        let most = self
            .bounds
            .most_held
            .into_iter()
            .chain(self.shared_limit)
            .min();
        let full = most.is_some_and(|most| held >= most);
        self.counts.turned_away += u64::from(full);
        if std::mem::replace(&mut self.full, full) != full {
            let word = if full { "turning away" } else { "room again" };
            tracing::info!(
                "in hand: {word}, {held} lookups and parts, {} turned away so far",
                self.counts.turned_away
            );
        }
        full
    }

    /// A node has sent what cannot be used: its connection ends, and the call is named if the bytes name it.
    pub fn spoil(&mut self, id: ConnectionId, what: &str, named: Option<&str>) {
        let Some(connection) = self.nodes.connection_mut(id) else {
            return;
        };
        connection.spoil(named);
        let node = connection.node.0;
        self.counts.spoilt += 1;
        if self.now.since(self.counts.spoilt_said) >= SAY_AGAIN {
            self.counts.spoilt_said = self.now;
            tracing::warn!(
                "node {node:x}: its connection is ended, {what}; {} such so far",
                self.counts.spoilt
            );
        }
    }

    /// Ends a call: the one way in which it leaves the books. The module hears of it in the next turn.
    pub fn end_call(&mut self, key: CallKey, ending: AttemptOutcome) {
        let Some(call) = self.in_flight.finish(key) else {
            return;
        };
        match call.place {
            Place::Ordered => self.ordered_attempts.retain(|order| *order != key),
            Place::Waiting(id) => {
                if let Some(connection) = self.nodes.connection_mut(id) {
                    connection
                        .waiting
                        .iter_mut()
                        .for_each(|frame| frame.retain(|of| *of != key));
                    connection.waiting.retain(|frame| !frame.is_empty());
                }
            }
            Place::Queued(id, end) => self.nodes.unload(id, &call.id, end, self.now),
        }
        self.finished_attempts
            .push_back(Return { key, call, ending });
    }

    /// Gives a call up: at the node too, if it may have heard of it.
    pub fn give_up(&mut self, key: CallKey, ending: AttemptOutcome, cancels: bool) {
        let Some(call) = self.in_flight.call(key) else {
            return;
        };
        let written = upstream_writer::is_written(&self.nodes, call);
        if let (Place::Queued(id, _), true) = (call.place, cancels && written) {
            let frame = frames::give_up(&call.id);
            if let Some(connection) = self.nodes.connection_mut(id) {
                // A buffer too full for it: the node is not reading, and drops the part when its time is up.
                let _ = connection.push(&frame, self.now);
            }
        }
        self.end_call(key, ending);
    }

    /// The one place where a lookup is closed. Nothing of it is sent from here on.
    fn close(&mut self, id: QueryId, status: u16, headers: String, body: String) {
        let Some(held) = self.in_flight.close(id) else {
            return;
        };
        let took = self.now.since(held.taken.at);
        held.taken
            .span
            .in_scope(|| tracing::debug!("book: {status} after {} us", took.0));
        self.counts.late += u64::from(status == 200 && took > held.taken.soft);
        if let (Some(limits), Some(tenant)) = (&mut self.limits, held.taken.tenant) {
            limits.release(self.now, tenant, took, took > held.taken.soft);
        }
        for part in &held.parts {
            let out = self
                .in_flight
                .out_of(part.id)
                .filter(|(_, call)| !upstream_writer::is_written(&self.nodes, call));
            let unsent: Vec<CallKey> = out.map(|(key, _)| key).collect();
            unsent
                .into_iter()
                .for_each(|key| self.end_call(key, AttemptOutcome::Unsent));
        }
        let mark = held.taken.mark.map(Mark::headers).unwrap_or_default();
        held.reply.set(status, headers + &mark, body);
    }

    /// Its client has left: no answer is due.
    pub fn client_left(&mut self, id: QueryId) {
        self.counts.lapsed += 1;
        self.close(id, 503, String::new(), String::new());
    }
}

impl Actions for EffectQueue {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, limit: Micros) {
        if let Some(key) =
            self.in_flight
                .order(part, node, self.now, limit, self.bounds.dial_timeout)
        {
            self.counts.calls += 1;
            self.ordered_attempts.push(key);
        }
    }

    fn answer(&mut self, lookup: QueryId, whole: bool) {
        let Some(held) = self.in_flight.lookup(lookup) else {
            return;
        };
        let values = held
            .parts
            .iter()
            .filter_map(|part| Some((part.shard, part.value.as_deref()?)));
        let body = query::answer(whole, values);
        self.counts.satisfied += 1;
        self.close(lookup, 200, String::new(), body);
    }

    fn reject(&mut self, lookup: QueryId, come_back: Micros) {
        self.counts.nacked += 1;
        self.close(
            lookup,
            503,
            retry_after(come_back),
            "refused: asking again is harmless\n".into(),
        );
    }

    fn fail(&mut self, lookup: QueryId) {
        self.counts.aborted += 1;
        self.close(
            lookup,
            502,
            String::new(),
            "failed: it may have had its effect\n".into(),
        );
    }

    fn cancel_attempt(&mut self, part: ShardRequestId, call: AttemptNo) {
        self.give_up((part, call), AttemptOutcome::Cancelled, true);
    }

    fn close_idle_connections(&mut self, node: NodeId) {
        self.nodes.retire_idle(node);
    }

    fn check_health(&mut self, node: NodeId) {
        self.health_checks.push(node);
    }

    fn watch_endpoints(&mut self) {
        self.watch_wanted = true;
    }

    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.timers.insert((self.now + delay, timer));
    }

    fn record_reason(&mut self, lookup: QueryId, why: DecisionReason) {
        if let Some(held) = self.in_flight.lookup(lookup) {
            held.taken
                .span
                .in_scope(|| tracing::debug!("decided: {why:?}"));
        }
    }

    fn log(&mut self, line: &str) {
        tracing::info!("{line}");
    }
}

/// The header that names a time to come back, where one is advised.
pub fn retry_after(come_back: Micros) -> String {
    if come_back.0 == 0 {
        return String::new();
    }
    format!(
        "Retry-After: {}.{:03}\r\n",
        come_back.0 / 1_000_000,
        come_back.0 / 1000 % 1000
    )
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::state::clients::Reply;
    use crate::state::descriptors::{Descriptors, Peer};
    use crate::state::in_flight::Taken;
    use ternpick::types::{EndpointState, ShardNo};
    use test_case::test_case;

    const MS: u64 = 1000;

    /// A lookup of two parts with a call out for the first, on a connection where it has come as far as told:
    /// ordered, waiting, in the buffer, half written, written.
    fn office(far: u8) -> (EffectQueue, QueryId, CallKey, ConnectionId, Rc<Reply>) {
        let bounds = Bounds {
            dial_timeout: Some(Micros(250 * MS)),
            ..Bounds::default()
        };
        let mut office = EffectQueue {
            bounds: Rc::new(bounds),
            ..EffectQueue::default()
        };
        let (node, _) = office
            .nodes
            .list("n", ([127, 0, 0, 1], 9).into(), EndpointState::Ready);
        let permit = Descriptors::new(100)
            .take(Peer::Node)
            .expect("a descriptor");
        let id = office
            .nodes
            .connect(node, Micros(0), 1 << 10, permit)
            .expect("a connection");
        let (shards, reply) = ([ShardNo(0), ShardNo(1)], Rc::new(Reply::default()));
        let (lookup, parts) = office.in_flight.open(
            "r",
            "text",
            None,
            shards.into_iter(),
            Rc::clone(&reply),
            Taken::default(),
        );
        office.send_attempt(parts[0], node, Micros(900 * MS));
        let key = (parts[0], AttemptNo(0));
        if far > 0 {
            office.ordered_attempts.clear();
            office.in_flight.place(key, Place::Waiting(id));
        }
        let connection = office.nodes.connection_mut(id).expect("a connection");
        if far == 1 {
            connection.waiting.push_back(vec![key]);
        }
        if far > 1 {
            connection.carries.insert("r.0".into(), key);
            (connection.queued, connection.written) = (10, [0, 5, 10][usize::from(far) - 2]);
            office.in_flight.place(key, Place::Queued(id, 10));
        }
        (office, lookup, key, id, reply)
    }

    fn nothing_is_out(office: &EffectQueue, id: ConnectionId) -> bool {
        let connection = office.nodes.connection(id).expect("a connection");
        let carries = !connection.carries.is_empty() || !connection.waiting.is_empty();
        office.in_flight.next_due().is_none() && office.ordered_attempts.is_empty() && !carries
    }

    #[test_case(0; "ordered")]
    #[test_case(1; "waiting")]
    #[test_case(2; "in the buffer")]
    #[test_case(3; "half written")]
    #[test_case(4; "written")]
    fn a_call_that_ends_gives_all_back_once(far: u8) {
        let (mut office, _, key, id, _) = office(far);
        office.end_call(key, AttemptOutcome::Cancelled);
        office.end_call(key, AttemptOutcome::Broken);
        assert!(nothing_is_out(&office, id));
        let endings: Vec<AttemptOutcome> = office
            .finished_attempts
            .iter()
            .map(|back| back.ending)
            .collect();
        assert_eq!(endings, [AttemptOutcome::Cancelled]);
        // A frame that is not to be finished ends its connection.
        let connection = office.nodes.connection(id).expect("a connection");
        assert_eq!(connection.abandoned, matches!(far, 2 | 3));
    }

    #[test_case(0, true; "ordered")]
    #[test_case(1, true; "waiting")]
    #[test_case(3, true; "half written")]
    #[test_case(4, false; "written: it returns in its own time")]
    fn nothing_leaves_after_the_final_answer(far: u8, taken_off: bool) {
        let (mut office, lookup, _, id, reply) = office(far);
        office.reject(lookup, Micros(1500 * MS));
        let answer = reply.answer.borrow().clone().expect("an answer");
        assert_eq!(
            (answer.0, answer.1.as_str()),
            (503, "Retry-After: 1.500\r\n")
        );
        assert_eq!(office.in_flight.held(), 0);
        assert!(!office.in_flight.knows("r"));
        assert_eq!(nothing_is_out(&office, id), taken_off);
        // A second word on a lookup that is over changes nothing.
        office.fail(lookup);
        assert_eq!(
            reply.answer.borrow().as_ref().map(|answer| answer.0),
            Some(503)
        );
    }

    #[test_case(2, false; "not gone out")]
    #[test_case(4, true; "gone out")]
    fn a_part_given_up_is_named_to_a_node_that_knows_it(far: u8, named: bool) {
        let (mut office, _, key, id, _) = office(far);
        office.cancel_attempt(key.0, key.1);
        let connection = office.nodes.connection(id).expect("a connection");
        assert_eq!(
            connection.out.filled(),
            if named {
                frames::give_up("r.0")
            } else {
                Vec::new()
            }
        );
    }

    #[test]
    fn an_answer_holds_the_first_value_of_each_part_that_is_in() {
        let (mut office, lookup, key, _, reply) = office(4);
        let call = office.in_flight.finish(key).expect("a call");
        office.in_flight.keep(&call, "first");
        office.in_flight.keep(&call, "second");
        assert_eq!(
            office.in_flight.held(),
            2,
            "the lookup, and the part that is not in"
        );
        office.answer(lookup, false);
        let body = reply.answer.borrow_mut().take().expect("an answer").2;
        assert_eq!(
            body,
            r#"{"full":false,"pieces":[{"cell":"first","tablet":0}]}"#
        );
    }

    #[test]
    fn a_call_is_looked_at_after_a_dial_and_when_its_time_is_up() {
        let (mut office, _, key, _, _) = office(4);
        assert_eq!(office.in_flight.next_due(), Some(Micros(250 * MS)));
        office.in_flight.look_when_due(key);
        assert_eq!(office.in_flight.next_due(), Some(Micros(900 * MS)));
        assert_eq!(office.in_flight.overdue(Micros(900 * MS)), Some(key));
    }
}
