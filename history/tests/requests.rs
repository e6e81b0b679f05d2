//! The checker of requests is shown what it must reject, and what it must not.

use ternpick_history::requests::{check, Break, Effect, Saw, Terms};
use test_case::test_case;

const MS: u64 = 1000;

fn sent(effect: Effect) -> (u64, Saw) {
    (
        0,
        Saw::Sent {
            id: "a".into(),
            router: "n0".into(),
            deadline: 900 * MS,
            effect,
        },
    )
}

fn answered(at: u64) -> (u64, Saw) {
    (
        at * MS,
        Saw::Answered {
            id: "a".into(),
            status: 200,
        },
    )
}

fn came(at: u64, told: u64) -> (u64, Saw) {
    (
        at * MS,
        Saw::Came {
            id: "a".into(),
            part: 0,
            node: "s0".into(),
            told: told * MS,
        },
    )
}

fn left(at: u64) -> (u64, Saw) {
    (at * MS, Saw::Left { id: "a".into() })
}

fn no_answer(at: u64) -> (u64, Saw) {
    (at * MS, Saw::NoAnswer { id: "a".into() })
}

fn drains(at: u64) -> (u64, Saw) {
    (at * MS, Saw::Drains { node: "s0".into() })
}

fn ends(told: u64, killed: u64) -> [(u64, Saw); 2] {
    [
        (
            told,
            Saw::ToldToEnd {
                router: "n0".into(),
            },
        ),
        (
            killed * MS,
            Saw::Killed {
                router: "n0".into(),
            },
        ),
    ]
}

#[test_case(&[answered(1400)]; "answered within the half second behind its time")]
#[test_case(&[came(10, 890), answered(20)]; "served")]
#[test_case(&[came(10, 1040), answered(20)]; "told within the slack")]
#[test_case(&[left(10), came(110, 700)]; "an attempt 0.1 s after its client left")]
#[test_case(&[came(1, 800), came(400, 400), answered(500)]; "called again")]
#[test_case(&[drains(0), came(6500, 0), answered(20)]; "at the end of the grace")]
#[test_case(&[left(10)]; "nobody waits")]
fn what_the_rules_allow_is_accepted(events: &[(u64, Saw)]) {
    let mut all = vec![sent(Effect::Any)];
    all.extend_from_slice(events);
    assert_eq!(check(&all, Terms::default()), []);
}

#[test_case(&[answered(1401)], "Lost"; "answered too late")]
#[test_case(&[no_answer(100)], "Lost"; "a connection that ended")]
#[test_case(&[], "Lost"; "never answered")]
#[test_case(&[came(10, 1041), answered(20)], "ToldTooMuch"; "told more than is left")]
#[test_case(&[left(10), came(111, 700)], "AfterLeaving"; "an attempt for nobody")]
#[test_case(&[drains(0), came(6501, 0), answered(20)], "Drain"; "behind the grace")]
#[test_case(&[answered(10), answered(11)], "AnsweredTwice"; "two answers")]
fn what_breaks_a_rule_is_named(events: &[(u64, Saw)], name: &str) {
    let mut all = vec![sent(Effect::Any)];
    all.extend_from_slice(events);
    let breaks = check(&all, Terms::default());
    assert!(
        breaks.len() == 1 && format!("{:?}", breaks[0]).starts_with(name),
        "{breaks:?}"
    );
}

#[test_case(Effect::Once, 2, true)]
#[test_case(Effect::Once, 1, false)]
#[test_case(Effect::Within(300 * MS), 2, true; "beyond its window")]
#[test_case(Effect::Within(500 * MS), 2, false; "within its window")]
fn a_part_runs_no_oftener_than_its_index_allows(effect: Effect, times: u64, broken: bool) {
    let mut all = vec![sent(effect), answered(800)];
    all.extend((0..times).map(|number| came(1 + number * 400, 100)));
    let is = check(&all, Terms::default())
        .iter()
        .any(|of| matches!(of, Break::Duplicate { .. }));
    assert_eq!(is, broken);
}

/// Killed 2.6 s after the signal: what came by 0.7 s may be unanswered, what came later may not.
#[test_case(0, true; "it came with the signal")]
#[test_case(701, false; "it came long after the signal")]
fn a_kill_excuses_what_came_early(after: u64, excused: bool) {
    let mut all = vec![(after * MS, sent(Effect::Any).1), no_answer(2601)];
    all.extend(ends(0, 2600));
    assert_eq!(check(&all, Terms::default()).is_empty(), excused);
}

/// A process that ends by itself excuses nothing.
#[test]
fn an_end_before_the_kill_excuses_nothing() {
    let mut all = vec![sent(Effect::Any), no_answer(2500)];
    all.extend(ends(0, 2600));
    assert_eq!(check(&all, Terms::default()).len(), 1);
}

/// The end of its connection, without a byte, while the request was on the way to it.
fn crossed(at: u64) -> (u64, Saw) {
    (at * MS, Saw::Crossed { id: "a".into() })
}

#[test]
fn a_request_that_crossed_the_end_of_its_connection_may_not_have_been_begun() {
    let crossing = [sent(Effect::Any), crossed(5)];
    assert!(check(&crossing, Terms::default()).is_empty());
    let begun = [sent(Effect::Any), came(3, 800), crossed(5)];
    let lost = Break::Lost {
        id: "a".into(),
        why: "begun, and its connection ended without an answer",
    };
    assert_eq!(check(&begun, Terms::default()), [lost]);
}
