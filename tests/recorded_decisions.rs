//! Plays generated sequences of inputs and compares every decision with the fixtures in `tests/recorded/`.
//!
//! A difference means that the routing engine's decisions have changed since the fixtures were written. After a
//! change that is meant to alter decisions, `TERNPICK_RECORD=1 cargo test --test recorded_decisions` rewrites the
//! fixtures. That run fails as well, so that rewriting is never mistaken for passing.

use std::collections::BTreeSet;
use std::path::PathBuf;

mod recorded;

use recorded::player::{play, Recording};
use recorded::scenario;

/// The number of steps that each hash of a fixture covers.
const STEPS_PER_HASH: usize = 50;
/// The number of steps that a fixture has in full, from the first one.
const FULL_STEPS: usize = 200;

#[test]
fn decisions_match_the_recording_with_idempotent_queries_and_load_reports_in_answers() {
    compare("idempotent");
}

#[test]
fn decisions_match_the_recording_with_two_phase_queries_and_load_reports_in_health_checks() {
    compare("two_phases");
}

#[test]
fn decisions_match_the_recording_with_once_only_queries_and_no_load_reports() {
    compare("once_only");
}

#[test]
fn decisions_match_the_recording_with_many_routers_and_nodes_that_warm_up() {
    compare("many_routers");
}

#[test]
fn decisions_match_the_recording_with_an_overloaded_fleet() {
    compare("overload");
}

/// Each kind of action, decision reason, input and log line must occur in some scenario: a rule that none of them
/// exercises could change unnoticed.
#[test]
fn the_scenarios_exercise_every_rule() {
    let mut actions = BTreeSet::new();
    let mut log_templates = BTreeSet::new();
    let mut inputs = BTreeSet::new();
    for scenario in scenario::all() {
        let recording = play(&scenario);
        actions.extend(recording.action_kinds);
        log_templates.extend(recording.log_templates);
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
    // Start and end of: a failed endpoint watch, shedding, suspicion of a node, distrust of idle connections.
    assert_eq!(log_templates.len(), 8, "{log_templates:?}");
}

/// The comparison must be able to fail: other inputs lead to another fixture.
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
        std::fs::write(&path, played).expect("cannot write the fixture");
        panic!(
            "{} has been rewritten; run again without TERNPICK_RECORD to compare",
            path.display()
        );
    }
    let recorded = std::fs::read_to_string(&path).expect("cannot read the fixture");
    for (index, (played, recorded)) in played.lines().zip(recorded.lines()).enumerate() {
        assert_eq!(played, recorded, "{name}.txt, line {}", index + 1);
    }
    assert_eq!(played, recorded, "{name}.txt");
}

/// The text of a fixture: the first [`FULL_STEPS`] steps, a hash for each [`STEPS_PER_HASH`] steps, and the number of
/// steps.
fn fixture(recording: &Recording) -> String {
    let mut lines: Vec<String> = recording.steps.iter().take(FULL_STEPS).cloned().collect();
    for (chunk, steps) in recording.steps.chunks(STEPS_PER_HASH).enumerate() {
        let hash = recorded::hash(steps.join("\n").as_bytes());
        lines.push(format!(
            "steps from {}: {hash:016x}",
            chunk * STEPS_PER_HASH
        ));
    }
    lines.push(format!("{} steps", recording.steps.len()));
    lines.join("\n") + "\n"
}
