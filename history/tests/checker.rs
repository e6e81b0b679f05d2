//! The checker is shown what it must reject, by hand and by mutation, and agrees with a general tester on what is a
//! register at all.

use std::collections::BTreeMap;

use proptest::prelude::*;
use stateright::semantics::{ConsistencyTester, LinearizabilityTester, SequentialSpec};
use ternpick_history::{
    check, Bounds, Event, EventKind, ProposalOutcome, Rule, Verdict, VisiblePolicy,
};
use test_case::test_case;

fn text(events: &[EventKind]) -> String {
    let line = |(at, kind): (usize, &EventKind)| {
        let event = Event {
            at: at as u64 * 1_000_000,
            kind: kind.clone(),
        };
        serde_json::to_string(&event).expect("a line") + "\n"
    };
    events.iter().enumerate().map(line).collect()
}

fn verdict(events: &[EventKind]) -> Verdict {
    check(text(events).as_bytes(), Bounds::default())
}

fn begins() -> EventKind {
    EventKind::Begins {
        seen: VisiblePolicy {
            calls: BTreeMap::from([("half".into(), 3)]),
            drained: vec![],
        },
        holders: vec![["s0", "s1", "s2"].map(str::to_owned).to_vec()],
        keeps: 2,
    }
}

fn asked(lookup: &str) -> EventKind {
    EventKind::Asked {
        lookup: lookup.into(),
        router: "n0".into(),
        index: "half".into(),
    }
}

fn answer(lookup: &str, version: Option<u64>, parts: u64, whole: bool) -> EventKind {
    let (lookup, status) = (lookup.into(), if version.is_some() { 200 } else { 503 });
    EventKind::Answered {
        lookup,
        status,
        version,
        unguarded: false,
        parts,
        of: 4,
        whole,
        least: 0.5,
    }
}

fn answered(lookup: &str, version: u64) -> EventKind {
    answer(lookup, Some(version), 4, true)
}

fn proposed(op: &str) -> EventKind {
    EventKind::Proposed {
        op: op.into(),
        seen: VisiblePolicy::default(),
    }
}

fn settled(op: &str, outcome: ProposalOutcome) -> EventKind {
    EventKind::Settled {
        op: op.into(),
        outcome,
    }
}

fn drains(op: &str, node: &str, calls: u64) -> EventKind {
    let seen = VisiblePolicy {
        calls: BTreeMap::from([("half".into(), calls)]),
        drained: vec![node.into()],
    };
    EventKind::Proposed {
        op: op.into(),
        seen,
    }
}

fn part(node: &str, lookup: &str) -> EventKind {
    EventKind::PartStarted {
        node: node.into(),
        lookup: lookup.into(),
        shard: 0,
    }
}

fn says(version: u64) -> EventKind {
    EventKind::VersionReported {
        router: "n1".into(),
        version: Some(version),
        term: Some(1),
    }
}

fn gone(lookup: &str, refused: bool) -> EventKind {
    EventKind::Unanswered {
        lookup: lookup.into(),
        refused,
    }
}

fn ended() -> EventKind {
    EventKind::Ended {
        router: "n0".into(),
    }
}

fn started() -> EventKind {
    EventKind::Started {
        router: "n0".into(),
    }
}

fn permitted(machine: &str, permit: u64) -> EventKind {
    EventKind::Permitted {
        machine: machine.into(),
        permit,
        by: "ann".into(),
    }
}

fn returned(machine: &str, permit: u64) -> EventKind {
    EventKind::Returned {
        machine: machine.into(),
        permit,
    }
}

use ProposalOutcome::{InForce, Refused, Unknown, Withdrawn};

#[test_case(vec![proposed("p"), asked("a"), answered("a", 1), asked("b"), answered("b", 0)], Rule::NoEarlierVersion; "decided under a version that another lookup had left behind")]
#[test_case(vec![proposed("p"), settled("p", InForce(1)), asked("b"), answered("b", 0)], Rule::NoEarlierVersion; "decided under an earlier one than the operator was told")]
#[test_case(vec![asked("a"), answered("a", 1)], Rule::OnlyProposed; "a version that nobody proposed")]
#[test_case(vec![proposed("p"), settled("p", Refused(Some(1))), asked("a"), answered("a", 1)], Rule::RejectedNeverSeen; "refused, and seen later")]
#[test_case(vec![proposed("p"), asked("a"), answered("a", 1), settled("p", Withdrawn(1))], Rule::RejectedNeverSeen; "seen, and withdrawn later")]
#[test_case(vec![proposed("p"), settled("p", Withdrawn(1)), says(1)], Rule::RejectedNeverSeen; "withdrawn, and a router says it")]
#[test_case(vec![asked("a"), answered("a", 0), answered("a", 0)], Rule::OneAnswer; "two answers")]
#[test_case(vec![asked("a")], Rule::OneAnswer; "no answer and no end")]
#[test_case(vec![asked("a"), gone("a", false)], Rule::OneAnswer; "lost by a router that lives")]
#[test_case(vec![ended(), started(), asked("a"), gone("a", false)], Rule::OneAnswer; "lost by a router that was ended before")]
#[test_case(vec![proposed("p"), says(1), says(0)], Rule::ReportsNeverDecrease; "a router goes back")]
#[test_case(vec![asked("a"), part("s", "a"), part("s", "a"), part("s", "a"), part("s", "a"), answered("a", 0)], Rule::CallLimit; "more calls than the platform allows")]
#[test_case(vec![drains("p", "s", 1), settled("p", InForce(1)), asked("a"), part("t", "a"), part("t", "a"), answered("a", 1)], Rule::CallLimit; "more calls than the policy allows")]
#[test_case(vec![drains("p", "s", 2), settled("p", InForce(1)), asked("a"), part("s", "a"), answered("a", 1)], Rule::DrainedNodesIdle; "work at a drained node")]
#[test_case(vec![asked("a"), answer("a", Some(0), 1, false)], Rule::TruthfulCompleteness; "less than the least share")]
#[test_case(vec![asked("a"), answer("a", Some(0), 3, true)], Rule::TruthfulCompleteness; "called whole and is not")]
#[test_case(vec![permitted("s0", 4), asked("a"), part("s0", "a"), answered("a", 0)], Rule::NoWorkUnderPermit; "a part begun under a permit")]
#[test_case(vec![asked("a"), permitted("s0", 4), part("s0", "a"), answered("a", 0)], Rule::NoWorkUnderPermit; "of a lookup that was in hand as the permit came")]
#[test_case(vec![permitted("s0", 4), permitted("s1", 5)], Rule::EnoughHolders; "two of three holders under permits")]
#[test_case(vec![permitted("s0", 4), returned("s0", 4), permitted("s1", 4)], Rule::OnePermit; "a permit that there was before")]
#[test_case(vec![permitted("s0", 4), permitted("s0", 5)], Rule::OnePermit; "two permits for a machine")]
#[test_case(vec![returned("s0", 4)], Rule::WellFormed; "given back and never had")]
#[test_case(vec![permitted("s0", 4), returned("s0", 5)], Rule::WellFormed; "another than was had is given back")]
fn a_bad_history_is_rejected_by_the_rule_that_it_breaks(events: Vec<EventKind>, rule: Rule) {
    let all: Vec<EventKind> = [vec![begins()], events].concat();
    match verdict(&all) {
        Verdict::Rejected(broken) => assert_eq!(broken.rule, rule, "{}", broken.message),
        other => panic!("{other:?}"),
    }
}

#[test_case(vec![asked("a"), proposed("p"), asked("b"), answered("b", 1), answered("a", 0)]; "a lookup in hand over a change")]
#[test_case(vec![proposed("p"), settled("p", Unknown(None)), asked("a"), answered("a", 0), asked("b"), answered("b", 1)]; "an open one that came in force after all")]
#[test_case(vec![proposed("p"), settled("p", Unknown(Some(1))), asked("a"), answered("a", 0)]; "an open one that did not")]
#[test_case(vec![asked("a"), ended(), gone("a", false)]; "lost with its router")]
#[test_case(vec![asked("a"), gone("a", true)]; "one that nobody had taken")]
#[test_case(vec![drains("p", "s", 1), settled("p", InForce(1)), proposed("q"), asked("a"), part("s", "a"), answered("a", 2), settled("q", InForce(2))]; "a drain that may have been lifted")]
#[test_case(vec![drains("p", "s", 1), asked("a"), settled("p", InForce(1)), part("s", "a"), answered("a", 0)]; "asked before the drain")]
#[test_case(vec![asked("a"), answer("a", None, 0, false), says(0)]; "one that was turned away")]
#[test_case(vec![asked("a"), part("s0", "a"), permitted("s0", 4), answered("a", 0), returned("s0", 4), asked("b"), part("s0", "b"), answered("b", 0)]; "work before a permit and after it")]
#[test_case(vec![permitted("s0", 4), permitted("t0", 5), returned("s0", 4), permitted("s1", 6)]; "one of a set after the other, and another set beside it")]
fn a_good_history_is_accepted(events: Vec<EventKind>) {
    let all: Vec<EventKind> = [vec![begins()], events].concat();
    assert!(
        matches!(verdict(&all), Verdict::Accepted(_)),
        "{:?}",
        verdict(&all)
    );
}

#[test_case("{\"at\":5,\"what\":\"begins\",\"seen\":{}}\n{\"at\":6,\"wh"; "cut in a line")]
#[test_case("not a history\n"; "no history")]
fn what_cannot_be_read_is_neither_good_nor_bad(text: &str) {
    assert!(matches!(
        check(text.as_bytes(), Bounds::default()),
        Verdict::Inconclusive(_)
    ));
}

#[test]
fn a_history_beyond_the_bounds_is_no_verdict() {
    let all: Vec<EventKind> = std::iter::once(begins())
        .chain((0..9).map(|n| asked(&n.to_string())))
        .collect();
    let verdict = check(
        text(&all).as_bytes(),
        Bounds {
            lookups: 8,
            ..Bounds::default()
        },
    );
    assert!(matches!(verdict, Verdict::Inconclusive(_)), "{verdict:?}");
}

/// The register as a general tester knows it: a write names the version that it has made.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Versions(u64);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Operation {
    Write,
    Read,
}

impl SequentialSpec for Versions {
    type Op = Operation;
    type Ret = u64;

    fn invoke(&mut self, operation: &Operation) -> u64 {
        self.0 += u64::from(*operation == Operation::Write);
        self.0
    }
}

/// A few operations that overlap as they like, each with what it came to: (begin, end, write, version).
fn operations() -> impl Strategy<Value = Vec<(u64, u64, bool, u64)>> {
    let one = (0u64..40, 1u64..12, any::<bool>(), 0u64..4);
    proptest::collection::vec(one, 1..8).prop_map(|all| {
        let mut writes = 0;
        let of = |(begin, length, write, version): (u64, u64, bool, u64)| {
            // Writes name their versions in some order; whether that fits their times is the question.
            let write = write && writes < 3;
            writes += u64::from(write);
            (
                begin * 2,
                begin * 2 + length * 2 + 1,
                write,
                if write { writes } else { version },
            )
        };
        all.into_iter().map(of).collect()
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn the_checker_rejects_what_no_register_can_have_done(all in operations()) {
        let mut points: Vec<(u64, bool, usize)> = Vec::new();
        for (at, (begin, end, ..)) in all.iter().enumerate() {
            points.extend([(*begin, true, at), (*end, false, at)]);
        }
        points.sort_by_key(|(time, begins, at)| (*time, !*begins, *at));
        let mut tester = LinearizabilityTester::new(Versions(0));
        let mut events = vec![begins()];
        for (_, is_begin, at) in points {
            let (_, _, write, version) = all[at];
            let name = at.to_string();
            match (is_begin, write) {
                (true, true) => {
                    tester.on_invoke(at, Operation::Write).expect("a thread of its own");
                    events.push(proposed(&name));
                }
                (true, false) => {
                    tester.on_invoke(at, Operation::Read).expect("a thread of its own");
                    events.push(asked(&name));
                }
                (false, true) => {
                    tester.on_return(at, version).expect("it was begun");
                    events.push(settled(&name, InForce(version)));
                }
                (false, false) => {
                    tester.on_return(at, version).expect("it was begun");
                    events.push(answered(&name, version));
                }
            }
        }
        let accepted = matches!(verdict(&events), Verdict::Accepted(_));
        // Writes whose own numbers contradict their times are not the checker's matter: it never rejects a register.
        if tester.is_consistent() {
            prop_assert!(accepted, "{:?}", verdict(&events));
        }
        let reads_only = all.iter().all(|(_, _, write, _)| !write);
        let in_order = {
            let mut writes: Vec<_> = all.iter().filter(|(_, _, write, _)| *write).collect();
            writes.sort_by_key(|(.., version)| *version);
            writes.windows(2).all(|pair| pair[0].1 < pair[1].0)
        };
        // Where writes follow one another it is exact.
        if reads_only || in_order {
            prop_assert_eq!(tester.is_consistent(), accepted, "{:?}", verdict(&events));
        }
    }
}

/// A day that a register really lived through: lookups and changes one after the other, and overlapping by pairs.
fn good_day(changes: u64, lookups: u64) -> Vec<EventKind> {
    let mut all = vec![begins()];
    for change in 1..=changes {
        let old = format!("over{change}");
        all.push(asked(&old));
        all.push(proposed(&change.to_string()));
        for lookup in 0..lookups {
            let name = format!("{change}.{lookup}");
            all.extend([asked(&name), part("s", &name), answered(&name, change - 1)]);
        }
        all.push(settled(&change.to_string(), InForce(change)));
        all.push(answered(&old, change - 1));
        let name = format!("after{change}");
        all.extend([
            asked(&name),
            part("s", &name),
            answered(&name, change),
            says(change),
        ]);
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_good_day_with_one_thing_changed_is_rejected(changes in 1u64..5, lookups in 0u64..4, pick in any::<prop::sample::Index>(), kind in 0u8..5) {
        let good = good_day(changes, lookups);
        prop_assert!(matches!(verdict(&good), Verdict::Accepted(_)));
        let mut bad = good.clone();
        let of = |wanted: fn(&EventKind) -> bool| -> Vec<usize> {
            good.iter().enumerate().filter(|(_, what)| wanted(what)).map(|(at, _)| at).collect()
        };
        let answers = of(|what| matches!(what, EventKind::Answered { .. }));
        let at = answers[pick.index(answers.len())];
        match kind {
            0 => { bad.remove(at); }
            1 => { let again = bad[at].clone(); bad.insert(at + 1, again); }
            2 => if let EventKind::Answered { version, .. } = &mut bad[at] { *version = version.map(|of| of + changes + 1); },
            3 => if let EventKind::Answered { parts, .. } = &mut bad[at] { *parts = 1; },
            _ => {
                // An answer after the last change is put under the version before it.
                let last = *answers.last().expect("one after the last change");
                if let EventKind::Answered { version, .. } = &mut bad[last] { *version = version.map(|of| of - 1); }
            }
        }
        prop_assert!(matches!(verdict(&bad), Verdict::Rejected(_)), "kind {kind} at {at}");
    }
}
