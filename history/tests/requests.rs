//! The checker of requests is shown what it must reject, and what it must not.

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

#[test_case(&[answered(1400)]; "answered within the half second behind its time")]
#[test_case(&[received(10, 890), answered(20)]; "served")]
#[test_case(&[received(10, 1040), answered(20)]; "told within the slack")]
#[test_case(&[disconnected(10), received(110, 700)]; "an attempt 0.1 s after its client left")]
#[test_case(&[received(1, 800), received(400, 400), answered(500)]; "called again")]
#[test_case(&[draining(0), received(6500, 0), answered(20)]; "at the end of the grace")]
#[test_case(&[disconnected(10)]; "nobody waits")]
fn what_the_rules_allow_is_accepted(events: &[(u64, Observation)]) {
    let mut all = vec![sent(Idempotency::Idempotent)];
    all.extend_from_slice(events);
    assert_eq!(check(&all, Limits::default()), []);
}

#[test_case(&[answered(1401)], "Lost"; "answered too late")]
#[test_case(&[connection_lost(100)], "Lost"; "a connection that ended")]
#[test_case(&[], "Lost"; "never answered")]
#[test_case(&[received(10, 1041), answered(20)], "DeadlineExtended"; "told more than is left")]
#[test_case(&[disconnected(10), received(111, 700)], "AfterDisconnect"; "an attempt for nobody")]
#[test_case(&[draining(0), received(6501, 0), answered(20)], "DrainedNodeUsed"; "behind the grace")]
#[test_case(&[answered(10), answered(11)], "AnsweredTwice"; "two answers")]
fn what_violations_a_rule_is_named(events: &[(u64, Observation)], name: &str) {
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
fn a_part_runs_no_oftener_than_its_index_allows(
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

/// Killed 2.6 s after the signal: what came by 0.7 s may be unanswered, what came later may not.
#[test_case(0, true; "it came with the signal")]
#[test_case(701, false; "it came long after the signal")]
fn a_kill_excuses_what_came_early(after: u64, excused: bool) {
    let mut all = vec![
        (after * MS, sent(Idempotency::Idempotent).1),
        connection_lost(2601),
    ];
    all.extend(signalled_and_killed(0, 2600));
    assert_eq!(check(&all, Limits::default()).is_empty(), excused);
}

/// A process that ends by itself excuses nothing.
#[test]
fn an_end_before_the_kill_excuses_nothing() {
    let mut all = vec![sent(Idempotency::Idempotent), connection_lost(2500)];
    all.extend(signalled_and_killed(0, 2600));
    assert_eq!(check(&all, Limits::default()).len(), 1);
}

/// The end of its connection, without a byte, while the request was on the way to it.
fn reused_connection_closed(at: u64) -> (u64, Observation) {
    (
        at * MS,
        Observation::ReusedConnectionClosed { id: "a".into() },
    )
}

#[test]
fn a_request_that_crossed_the_end_of_its_connection_may_not_have_been_begun() {
    let crossing = [sent(Idempotency::Idempotent), reused_connection_closed(5)];
    assert!(check(&crossing, Limits::default()).is_empty());
    let begun = [
        sent(Idempotency::Idempotent),
        received(3, 800),
        reused_connection_closed(5),
    ];
    let lost = Violation::Lost {
        id: "a".into(),
        reason: "begun, and its connection ended without an answer",
    };
    assert_eq!(check(&begun, Limits::default()), [lost]);
}
