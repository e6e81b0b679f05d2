//! Plays recorded sequences of inputs and compares every decision with the fixtures in `tests/recorded/`.
//!
//! A difference means that the router decides otherwise than when the fixtures were written. A change that is
//! meant to alter decisions writes them anew with `TERNPICK_RECORD=1 cargo test --test recorded_decisions`;
//! that run fails too, so that writing is never taken for passing.

use std::collections::BTreeSet;
use std::path::PathBuf;

mod recorded;

use recorded::player::{play, Recording};
use recorded::scenario;

/// Steps whose lines one hash of a fixture covers.
const STEPS_PER_HASH: usize = 50;
/// Steps that a fixture holds in full.
const FULL_STEPS: usize = 200;

#[test]
fn decisions_are_the_recorded_ones_where_queries_are_idempotent_and_load_comes_in_answers() {
    compare("idempotent");
}

#[test]
fn decisions_are_the_recorded_ones_where_health_checks_bring_load_and_queries_have_two_phases() {
    compare("two_phases");
}

#[test]
fn decisions_are_the_recorded_ones_where_queries_run_once_only_and_nodes_report_no_load() {
    compare("once_only");
}

#[test]
fn decisions_are_the_recorded_ones_where_many_routers_share_nodes_that_warm_up() {
    compare("many_routers");
}

#[test]
fn decisions_are_the_recorded_ones_where_the_fleet_is_overloaded() {
    compare("overload");
}

/// Each action, reason, log line and change of suspicion occurs, so that no rule goes unexercised.
#[test]
fn the_recorded_inputs_exercise_every_rule() {
    let mut actions = BTreeSet::new();
    let mut log_forms = BTreeSet::new();
    let mut inputs = BTreeSet::new();
    for scenario in scenario::all() {
        let recording = play(&scenario);
        actions.extend(recording.action_kinds);
        log_forms.extend(recording.log_forms);
        inputs.extend(recording.input_kinds);
    }
    let expected_actions = [
        "answer complete",
        "answer partial",
        "cancel",
        "close-idle",
        "fail",
        "health-check",
        "log",
        "reason Deadline",
        "reason Deadly",
        "reason Exhausted",
        "reason Hedge",
        "reason Partial",
        "reason Retry",
        "reason Shed",
        "reason Whole",
        "reject",
        "send first",
        "send hedge",
        "send retry",
        "timer",
        "watch",
    ];
    let expected_inputs = [
        "client-left",
        "drain-by-operator",
        "endpoints full",
        "endpoints update",
        "health",
        "query",
        "request",
        "restore",
        "return Broken",
        "return Cancelled",
        "return MayHaveRun",
        "return NeverRan",
        "return Satisfied",
        "return Unsent",
        "serve-share",
        "serve-whole",
        "shutdown",
        "snapshot",
        "timer",
        "watch-failed",
    ];
    assert_eq!(actions.into_iter().collect::<Vec<_>>(), expected_actions);
    assert_eq!(inputs.into_iter().collect::<Vec<_>>(), expected_inputs);
    // Begin and end of: a lost watch, shedding, suspicion of a node, distrust of idle connections.
    assert_eq!(log_forms.len(), 8, "{log_forms:?}");
}

/// A comparison that could not fail would be none.
#[test]
fn another_seed_gives_another_recording() {
    let mut scenario = scenario::by_name("idempotent");
    let recorded = fixture(&play(&scenario));
    scenario.seed += 1;
    assert_ne!(fixture(&play(&scenario)), recorded);
}

fn compare(name: &str) {
    let recording = play(&scenario::by_name(name));
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(format!("tests/recorded/{name}.txt"));
    let played = fixture(&recording);
    if std::env::var_os("TERNPICK_RECORD").is_some() {
        std::fs::write(&path, played).expect("the fixture can be written");
        panic!("{} is written anew; run again to compare", path.display());
    }
    let recorded = std::fs::read_to_string(&path).expect("the fixture can be read");
    for (at, (played, recorded)) in played.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(played, recorded, "{name}, line {} of the fixture", at + 1);
    }
    assert_eq!(played, recorded);
}

/// The first steps in full, then the hash of each [`STEPS_PER_HASH`] steps, then their number.
fn fixture(recording: &Recording) -> String {
    let mut lines: Vec<String> = recording.steps.iter().take(FULL_STEPS).cloned().collect();
    for (at, steps) in recording.steps.chunks(STEPS_PER_HASH).enumerate() {
        let hash = recorded::hash(steps.join("\n").as_bytes());
        lines.push(format!("steps from {}: {hash:016x}", at * STEPS_PER_HASH));
    }
    lines.push(format!("{} steps", recording.steps.len()));
    lines.join("\n") + "\n"
}
