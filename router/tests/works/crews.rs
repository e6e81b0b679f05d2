//! Maintenance crews at work under fault injection, checked by histories.

use ternpick_history::Counts;
use ternpick_simulation::fleet::{Change, FleetPlan, Kind, Outcome, Step};
use test_case::test_case;

use crate::fleets::{change, judged, plan, played, step, turn};

const CREW_PLAN: &str = "nodes: 6\nsets: 2\nworks: true\nseconds: 6\nrate: 80";

fn run_crews(steps: Vec<Step>, changes: Vec<Change>, more: &str) -> (Outcome, Counts) {
    let (outcome, counts) = played(plan(&format!("{CREW_PLAN}\n{more}")), steps, changes);
    let worked = outcome.worked.clone().expect("the crews' results");
    assert_eq!(worked.back, worked.machines, "{worked:?}");
    assert!(counts.permits >= worked.machines as u64, "{counts:?}");
    (outcome, counts)
}

#[test_case(1)]
#[test_case(2)]
fn every_machine_goes_out_and_returns_by_the_rules_under_random_faults(seed: u64) {
    let _turn = turn();
    let plan = FleetPlan::parse(
        "works-test.cue",
        include_str!("../../../simulation/plans/works-test.cue"),
    )
    .expect("a plan");
    let folder = tempfile::tempdir().expect("a folder");
    let (outcome, counts) = judged(&plan.draw(seed), folder.path());
    let worked = outcome.worked.expect("the crews' results");
    assert_eq!(
        (worked.back, worked.all_back_ms.is_some()),
        (9, true),
        "{worked:?}"
    );
    assert!(counts.permits == 9 && counts.parts > 500, "{counts:?}");
}

#[test]
fn without_faults_maintenance_rejects_no_query() {
    let (outcome, counts) = run_crews(vec![], vec![], "");
    assert_eq!(
        counts.statuses.keys().collect::<Vec<_>>(),
        [&200],
        "{counts:?}"
    );
    assert!(outcome
        .worked
        .is_some_and(|worked| worked.longest_still_ms < 3000));
}

/// The coordinator is killed at different moments while machines go out of service and return.
#[test_case(0; "as the request is made")]
#[test_case(350; "as the first go out")]
#[test_case(420; "as the first are idle")]
#[test_case(700; "as the first are returned")]
#[test_case(800; "as the first serve load again")]
fn maintenance_continues_within_five_seconds_after_the_coordinator_is_killed(after: u64) {
    let (outcome, _) = run_crews(vec![step(20 + after, 1500, Kind::LeadKill, 0)], vec![], "");
    let still = outcome.worked.map(|worked| worked.longest_still_ms);
    assert!(
        still.is_some_and(|ms| ms < 5000),
        "another coordinator continues within five seconds: {still:?}"
    );
}

#[test]
fn router_suspended_while_machines_go_out_sends_them_no_attempt_afterwards() {
    let steps = vec![
        step(300, 2500, Kind::LongStop, 1),
        step(3200, 1500, Kind::Isolate, 2),
    ];
    run_crews(steps, vec![], "seconds: 7");
}

#[test]
fn without_a_quorum_permits_stay_valid_and_none_is_given() {
    run_crews(vec![step(500, 2500, Kind::Quorum, 0)], vec![], "seconds: 7");
}

#[test]
fn policy_changes_and_hot_restarts_during_maintenance_lose_no_query() {
    let steps = vec![
        step(400, 0, Kind::Upgrade, 0),
        step(1600, 0, Kind::Upgrade, 1),
    ];
    let (_, counts) = run_crews(steps, vec![change(600, 1), change(1900, 2)], "");
    assert!(counts.in_force >= 1 && counts.lost == 0, "{counts:?}");
}

#[test]
fn machines_out_of_service_stay_unused_although_discovery_lists_them_as_ready() {
    let steps = (0..12)
        .map(|at| step(300 + at * 200, 0, Kind::AllReady, 0))
        .collect();
    run_crews(steps, vec![], "");
}

/// One router can no longer reach two machines that the others still reach. Its report alone must not delay these
/// machines for good, and its failed attempts must not delay a permit.
#[test]
fn router_that_alone_cannot_reach_a_machine_does_not_block_its_maintenance() {
    let cut = |at: u64, node: usize| Step {
        at,
        lasts: 3000,
        kind: Kind::NodeCut,
        whom: 1,
        other: node,
    };
    let (_, counts) = run_crews(vec![cut(300, 1), cut(1200, 4)], vec![], "");
    assert_eq!(counts.lost, 0, "{counts:?}");
}
