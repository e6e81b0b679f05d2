//! Crews under faults, judged by histories.

use ternpick_history::Counts;
use ternpick_simulation::fleet::{Change, FleetPlan, Kind, Outcome, Step};
use test_case::test_case;

use crate::fleets::{change, judged, plan, played, step, turn};

const CREWS: &str = "nodes: 6\nsets: 2\nworks: true\nseconds: 6\nrate: 80";

fn worked(steps: Vec<Step>, changes: Vec<Change>, more: &str) -> (Outcome, Counts) {
    let (outcome, counts) = played(plan(&format!("{CREWS}\n{more}")), steps, changes);
    let worked = outcome.worked.clone().expect("crews worked");
    assert_eq!(worked.back, worked.machines, "{worked:?}");
    assert!(counts.permits >= worked.machines as u64, "{counts:?}");
    (outcome, counts)
}

#[test_case(1)]
#[test_case(2)]
fn whatever_breaks_every_machine_goes_out_and_back_by_the_rules(seed: u64) {
    let _turn = turn();
    let plan = FleetPlan::parse(
        "works-test.cue",
        include_str!("../../../simulation/plans/works-test.cue"),
    )
    .expect("a plan");
    let folder = tempfile::tempdir().expect("a folder");
    let (outcome, counts) = judged(&plan.draw(seed), folder.path());
    let worked = outcome.worked.expect("crews worked");
    assert_eq!(
        (worked.back, worked.all_back_ms.is_some()),
        (9, true),
        "{worked:?}"
    );
    assert!(counts.permits == 9 && counts.parts > 500, "{counts:?}");
}

#[test]
fn with_nothing_broken_no_lookup_is_refused_for_the_work() {
    let (outcome, counts) = worked(vec![], vec![], "");
    assert_eq!(
        counts.statuses.keys().collect::<Vec<_>>(),
        [&200],
        "{counts:?}"
    );
    assert!(outcome
        .worked
        .is_some_and(|worked| worked.longest_still_ms < 3000));
}

/// The router that carries the work on is ended at each moment of a machine's going out and back.
#[test_case(0; "as it is asked for")]
#[test_case(350; "as the first go out")]
#[test_case(420; "as they are quiet")]
#[test_case(700; "as they are given back")]
#[test_case(800; "as they bear load again")]
fn whoever_carries_the_work_on_is_ended(after: u64) {
    let (outcome, _) = worked(vec![step(20 + after, 1500, Kind::LeadKill, 0)], vec![], "");
    let still = outcome.worked.map(|worked| worked.longest_still_ms);
    assert!(
        still.is_some_and(|ms| ms < 5000),
        "another goes on within five seconds: {still:?}"
    );
}

#[test]
fn one_that_stands_still_while_machines_go_out_sends_nothing_there_afterwards() {
    let steps = vec![
        step(300, 2500, Kind::LongStop, 1),
        step(3200, 1500, Kind::Isolate, 2),
    ];
    worked(steps, vec![], "seconds: 7");
}

#[test]
fn with_the_quorum_gone_permits_stand_and_none_is_given() {
    worked(vec![step(500, 2500, Kind::Quorum, 0)], vec![], "seconds: 7");
}

#[test]
fn a_change_of_policy_and_an_upgrade_in_the_middle() {
    let steps = vec![
        step(400, 0, Kind::Upgrade, 0),
        step(1600, 0, Kind::Upgrade, 1),
    ];
    let (_, counts) = worked(steps, vec![change(600, 1), change(1900, 2)], "");
    assert!(counts.in_force >= 1 && counts.lost == 0, "{counts:?}");
}

#[test]
fn discovery_lists_them_ready_while_they_are_out() {
    let steps = (0..12)
        .map(|at| step(300 + at * 200, 0, Kind::AllReady, 0))
        .collect();
    worked(steps, vec![], "");
}

/// One router reaches two machines no longer, while the others do: what it alone says of them holds nobody for good, and
/// what has gone there in vain keeps no permit away.
#[test]
fn a_cut_between_those_who_see_a_machine_and_those_who_do_not() {
    let cut = |at: u64, node: usize| Step {
        at,
        lasts: 3000,
        kind: Kind::NodeCut,
        whom: 1,
        other: node,
    };
    let (_, counts) = worked(vec![cut(300, 1), cut(1200, 4)], vec![], "");
    assert_eq!(counts.lost, 0, "{counts:?}");
}
