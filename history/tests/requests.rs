//! The checker of requests rejects histories that break a rule, and accepts those that don't.

use ternpick_history::requests::{check, Idempotency, Limits, Observation, Violation};
use test_case::test_case;

const MS: u64 = 1000;

fn sent(idempotency: Idempotency) -> (u64, Observation) {
    (
        0,
        Observation::Sent {
            id: "a".into(),
            router: "n0".into(),
            deadline: 900 * MS,
            idempotency,
        },
    )
}

fn answered(at: u64) -> (u64, Observation) {
    (
        at * MS,
        Observation::Answered {
            id: "a".into(),
            status: 200,
        },
    )
}

fn received(at: u64, node_deadline: u64) -> (u64, Observation) {
    (
        at * MS,
        Observation::ShardRequestReceived {
            id: "a".into(),
            part: 0,
            node: "s0".into(),
            node_deadline: node_deadline * MS,
        },
    )
}

fn disconnected(at: u64) -> (u64, Observation) {
    (at * MS, Observation::ClientDisconnected { id: "a".into() })
}

fn connection_lost(at: u64) -> (u64, Observation) {
    (at * MS, Observation::ConnectionLost { id: "a".into() })
}

fn draining(at: u64) -> (u64, Observation) {
    (at * MS, Observation::NodeDraining { node: "s0".into() })
}

fn signalled_and_killed(signalled: u64, killed: u64) -> [(u64, Observation); 2] {
    [
        (
            signalled,
            Observation::StopSignalled {
                router: "n0".into(),
            },
        ),
        (
            killed * MS,
            Observation::RouterKilled {
                router: "n0".into(),
            },
        ),
    ]
}

#[test_case(&[answered(1400)]; "answered within 0.5 s after the deadline")]
#[test_case(&[received(10, 890), answered(20)]; "served")]
#[test_case(&[received(10, 1040), answered(20)]; "a node deadline within the slack")]
#[test_case(&[disconnected(10), received(110, 700)]; "a shard request 0.1 s after the client disconnected")]
#[test_case(&[received(1, 800), received(400, 400), answered(500)]; "called again")]
#[test_case(&[draining(0), received(6500, 0), answered(20)]; "a draining node at the end of the grace period")]
#[test_case(&[disconnected(10)]; "no answer after the client disconnected")]
fn accepts_a_history_within_the_rules(events: &[(u64, Observation)]) {
    let mut all = vec![sent(Idempotency::Idempotent)];
    all.extend_from_slice(events);
    assert_eq!(check(&all, Limits::default()), []);
}

#[test_case(&[answered(1401)], "Lost"; "answered too late")]
#[test_case(&[connection_lost(100)], "Lost"; "a connection that ended")]
#[test_case(&[], "Lost"; "never answered")]
#[test_case(&[received(10, 1041), answered(20)], "DeadlineExtended"; "a node deadline beyond the remaining time")]
#[test_case(&[disconnected(10), received(111, 700)], "AfterDisconnect"; "a shard request after the client disconnected")]
#[test_case(&[draining(0), received(6501, 0), answered(20)], "DrainedNodeUsed"; "a draining node after the grace period")]
#[test_case(&[answered(10), answered(11)], "AnsweredTwice"; "two answers")]
fn reports_the_rule_that_a_history_breaks(events: &[(u64, Observation)], name: &str) {
    let mut all = vec![sent(Idempotency::Idempotent)];
    all.extend_from_slice(events);
    let violations = check(&all, Limits::default());
    assert!(
        violations.len() == 1 && format!("{:?}", violations[0]).starts_with(name),
        "{violations:?}"
    );
}

#[test_case(Idempotency::OnceOnly, 2, true)]
#[test_case(Idempotency::OnceOnly, 1, false)]
#[test_case(Idempotency::DeduplicatedWithin(300 * MS), 2, true; "beyond its window")]
#[test_case(Idempotency::DeduplicatedWithin(500 * MS), 2, false; "within its window")]
fn a_part_runs_no_more_often_than_its_index_allows(
    idempotency: Idempotency,
    times: u64,
    broken: bool,
) {
    let mut all = vec![sent(idempotency), answered(800)];
    all.extend((0..times).map(|number| received(1 + number * 400, 100)));
    let is = check(&all, Limits::default())
        .iter()
        .any(|of| matches!(of, Violation::Duplicate { .. }));
    assert_eq!(is, broken);
}

/// The router is killed 2.6 s after the stop signal. Requests sent within 0.7 s of the signal may be unanswered, later
/// ones may not.
#[test_case(0, true; "sent with the signal")]
#[test_case(701, false; "sent long after the signal")]
fn a_kill_excuses_only_requests_sent_before_or_soon_after_the_signal(after: u64, excused: bool) {
    let mut all = vec![
        (after * MS, sent(Idempotency::Idempotent).1),
        connection_lost(2601),
    ];
    all.extend(signalled_and_killed(0, 2600));
    assert_eq!(check(&all, Limits::default()).is_empty(), excused);
}

/// A process that ends by itself before the kill excuses no lost request.
#[test]
fn a_connection_lost_before_the_kill_is_not_excused() {
    let mut all = vec![sent(Idempotency::Idempotent), connection_lost(2500)];
    all.extend(signalled_and_killed(0, 2600));
    assert_eq!(check(&all, Limits::default()).len(), 1);
}

/// The idle connection was closed, without a byte of an answer, while the request was sent on it.
fn reused_connection_closed(at: u64) -> (u64, Observation) {
    (
        at * MS,
        Observation::ReusedConnectionClosed { id: "a".into() },
    )
}

#[test]
fn a_request_on_a_reused_connection_that_was_closed_must_not_have_started() {
    let not_started = [sent(Idempotency::Idempotent), reused_connection_closed(5)];
    assert!(check(&not_started, Limits::default()).is_empty());
    let started = [
        sent(Idempotency::Idempotent),
        received(3, 800),
        reused_connection_closed(5),
    ];
    let lost = Violation::Lost {
        id: "a".into(),
        reason: "a part was started, and the connection ended without an answer",
    };
    assert_eq!(check(&started, Limits::default()), [lost]);
}
