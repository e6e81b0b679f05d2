//! Tests of how the effect queue changes queries and attempts in flight.

use ternpick::types::{EndpointState, ShardNo};
use test_case::test_case;

use super::*;
use crate::state::clients::PendingResponse;
use crate::state::descriptors::{Descriptors, Peer};
use crate::state::in_flight::AdmissionRecord;

const MS: u64 = 1000;

/// How far an attempt has come towards its node.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Ordered,
    WaitingForConnection,
    InBuffer,
    HalfWritten,
    Written,
}

/// A query of two shard requests, with an attempt in flight for the first.
struct Fixture {
    effects: EffectQueue,
    query: QueryId,
    attempt: AttemptKey,
    connection: ConnectionId,
    reply: Rc<PendingResponse>,
}

impl Fixture {
    /// Creates a query whose first attempt has reached `progress`.
    fn new(progress: Progress) -> Self {
        let bounds = Bounds {
            dial_timeout: Some(Micros(250 * MS)),
            ..Bounds::default()
        };
        let mut effects = EffectQueue {
            bounds: Rc::new(bounds),
            ..EffectQueue::default()
        };
        let (node, _) =
            effects
                .nodes
                .apply_entry("n", ([127, 0, 0, 1], 9).into(), EndpointState::Ready);
        let permit = Descriptors::new(100)
            .take(Peer::Node)
            .expect("a descriptor");
        let connection = effects
            .nodes
            .connect(node, Micros(0), 1 << 10, permit)
            .expect("a connection");
        let reply = Rc::new(PendingResponse::default());
        let (query, shard_requests) = effects.in_flight.open(
            "r",
            "text",
            None,
            [ShardNo(0), ShardNo(1)].into_iter(),
            Rc::clone(&reply),
            AdmissionRecord::default(),
        );
        effects.send_attempt(shard_requests[0], node, Micros(900 * MS));
        let mut fixture = Fixture {
            effects,
            query,
            attempt: (shard_requests[0], AttemptNo(0)),
            connection,
            reply,
        };
        fixture.advance(progress);
        fixture
    }

    fn advance(&mut self, progress: Progress) {
        if progress == Progress::Ordered {
            return;
        }
        self.effects.ordered_attempts.clear();
        let waiting = AttemptProgress::Waiting(self.connection);
        self.effects.in_flight.set_progress(self.attempt, waiting);
        let attempt = self.attempt;
        let connection = self
            .effects
            .nodes
            .connection_mut(self.connection)
            .expect("a connection");
        let written = match progress {
            Progress::Ordered | Progress::WaitingForConnection => {
                connection.waiting.push_back(vec![attempt]);
                return;
            }
            Progress::InBuffer => 0,
            Progress::HalfWritten => 5,
            Progress::Written => 10,
        };
        connection.attempts.add("r.0".into(), attempt);
        connection.queued_bytes = 10;
        connection.written_bytes = written;
        let queued = AttemptProgress::Queued(self.connection, 10);
        self.effects.in_flight.set_progress(attempt, queued);
    }

    fn connection(&self) -> &crate::state::nodes::Connection {
        self.effects
            .nodes
            .connection(self.connection)
            .expect("a connection")
    }

    fn nothing_is_in_flight(&self) -> bool {
        let connection = self.connection();
        let carries = connection.attempts.in_flight_count() > 0 || !connection.waiting.is_empty();
        self.effects.in_flight.next_check().is_none()
            && self.effects.ordered_attempts.is_empty()
            && !carries
    }
}

#[test_case(Progress::Ordered; "ordered")]
#[test_case(Progress::WaitingForConnection; "waiting")]
#[test_case(Progress::InBuffer; "in the buffer")]
#[test_case(Progress::HalfWritten; "half written")]
#[test_case(Progress::Written; "written")]
fn an_attempt_that_ends_releases_everything_once(progress: Progress) {
    let mut fixture = Fixture::new(progress);
    let attempt = fixture.attempt;
    fixture
        .effects
        .end_attempt(attempt, AttemptOutcome::Cancelled);
    fixture.effects.end_attempt(attempt, AttemptOutcome::Broken);
    assert!(fixture.nothing_is_in_flight());
    let outcomes: Vec<AttemptOutcome> = fixture
        .effects
        .finished_attempts
        .iter()
        .map(|finished| finished.outcome)
        .collect();
    assert_eq!(outcomes, [AttemptOutcome::Cancelled]);
    // A frame of an ended attempt must not be written further, so its connection is abandoned.
    assert_eq!(
        fixture.connection().abandoned,
        matches!(progress, Progress::InBuffer | Progress::HalfWritten)
    );
}

#[test_case(Progress::Ordered, true; "ordered")]
#[test_case(Progress::WaitingForConnection, true; "waiting")]
#[test_case(Progress::HalfWritten, true; "half written")]
#[test_case(Progress::Written, false; "written: it stays in flight until it ends")]
fn a_rejection_ends_the_attempts_that_are_not_written(progress: Progress, is_ended: bool) {
    let mut fixture = Fixture::new(progress);
    fixture.effects.reject(fixture.query, Micros(1500 * MS));
    let answer = fixture.reply.answer.borrow().clone().expect("an answer");
    assert_eq!(
        (answer.0, answer.1.as_str()),
        (503, "Retry-After: 1.500\r\n")
    );
    assert_eq!(fixture.effects.in_flight.load(), 0);
    assert!(!fixture.effects.in_flight.has_request("r"));
    assert_eq!(fixture.nothing_is_in_flight(), is_ended);
    // A second decision on a closed query changes nothing.
    fixture.effects.fail(fixture.query);
    assert_eq!(
        fixture
            .reply
            .answer
            .borrow()
            .as_ref()
            .map(|answer| answer.0),
        Some(503)
    );
}

#[test_case(Progress::InBuffer, false; "not written")]
#[test_case(Progress::Written, true; "written")]
fn sends_a_cancel_frame_only_for_a_written_attempt(progress: Progress, is_written: bool) {
    let mut fixture = Fixture::new(progress);
    let (shard_request, number) = fixture.attempt;
    fixture.effects.cancel_attempt(shard_request, number);
    assert_eq!(
        fixture.connection().output.filled(),
        if is_written {
            frames::encode_cancel("r.0")
        } else {
            Vec::new()
        }
    );
}

#[test]
fn an_answer_holds_the_first_value_of_each_answered_shard_request() {
    let mut fixture = Fixture::new(Progress::Written);
    let attempt = fixture
        .effects
        .in_flight
        .finish(fixture.attempt)
        .expect("an attempt");
    let (_, number) = fixture.attempt;
    let in_flight = &mut fixture.effects.in_flight;
    in_flight.store_value(number, &attempt, "first");
    in_flight.store_value(number, &attempt, "second");
    assert_eq!(
        fixture.effects.in_flight.load(),
        2,
        "the query and the unanswered shard request"
    );
    fixture.effects.answer(fixture.query, false);
    let body = fixture
        .reply
        .answer
        .borrow_mut()
        .take()
        .expect("an answer")
        .2;
    assert_eq!(
        body,
        r#"{"full":false,"pieces":[{"cell":"first","tablet":0}]}"#
    );
}

#[test]
fn a_withdrawn_value_is_not_part_of_the_answer() {
    let mut fixture = Fixture::new(Progress::Written);
    let key = fixture.attempt;
    let attempt = fixture.effects.in_flight.finish(key).expect("an attempt");
    let in_flight = &mut fixture.effects.in_flight;
    in_flight.store_value(key.1, &attempt, "wrong");
    let other = (key.0, AttemptNo(key.1 .0 + 1));
    assert_eq!(
        in_flight.withdraw_value(other),
        None,
        "another attempt's value"
    );
    assert_eq!(in_flight.withdraw_value(key), Some(fixture.query));
    assert_eq!(in_flight.withdraw_value(key), None, "withdrawn already");
    assert_eq!(in_flight.load(), 3, "the query and its two shard requests");
    in_flight.store_value(other.1, &attempt, "right");
    fixture.effects.answer(fixture.query, false);
    assert_eq!(
        fixture.effects.in_flight.withdraw_value(other),
        None,
        "answered"
    );
    let answer = fixture.reply.answer.borrow_mut().take().expect("an answer");
    assert_eq!(
        answer.2,
        r#"{"full":false,"pieces":[{"cell":"right","tablet":0}]}"#
    );
}

#[test]
fn an_attempt_is_checked_after_the_dial_timeout_and_at_its_deadline() {
    let mut fixture = Fixture::new(Progress::Written);
    let in_flight = &mut fixture.effects.in_flight;
    assert_eq!(in_flight.next_check(), Some(Micros(250 * MS)));
    in_flight.check_when_due(fixture.attempt);
    assert_eq!(in_flight.next_check(), Some(Micros(900 * MS)));
    assert_eq!(in_flight.due_check(Micros(900 * MS)), Some(fixture.attempt));
}
