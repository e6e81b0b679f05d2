//! Tests of `outlier_detection`.

use test_case::test_case;

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

#[test]
fn suspects_a_hung_node_by_the_age_of_its_attempts_in_flight() {
    let mut engine = engine_with(platform(), 2);
    node(&mut engine, 1).reported_load = Some(10.0);
    add_in_flight(&mut engine, 1, 1, ms(800));
    engine.run_rules(&mut Recorder::default());
    assert!(engine.nodes[&NodeId(1)].suspected_for.is_some());
    assert_eq!(placed_nodes(engine, 1), [2]);
}

#[test_case(300, false; "late, but not relative to the latency objective")]
#[test_case(400, true; "late")]
fn a_node_is_an_outlier_only_if_late_relative_to_the_latency_objective(
    latency_ms: u64,
    suspected: bool,
) {
    let mut engine = engine_with(PlatformConfig::default(), 0);
    engine.statistics.median_latency = Some(100_000.0);
    engine.config.indexes = vec![IndexConfig {
        latency_objective: ms(1400),
        ..IndexConfig::default()
    }];
    let late = Node {
        latency: Some(latency_ms as f64 * 1e3),
        latency_updated_at: engine.now,
        ..Node::default()
    };
    assert_eq!(engine.outlier_ratio(&late, IndexNo(0)).is_some(), suspected);
}

// Distinguishes a node that fails one index and serves the others from a node that is down.
#[test_case(AttemptOutcome::NeverRan, true; "no connection")]
#[test_case(AttemptOutcome::Broken, true; "connection broke")]
#[test_case(AttemptOutcome::MayHaveRun, false; "error")]
fn process_failures_count_for_all_indexes_and_errors_for_one(
    outcome: AttemptOutcome,
    others_too: bool,
) {
    let mut engine = engine_with(platform(), 1);
    engine.config.indexes.push(engine.config.indexes[0].clone());
    engine.record_outcome(NodeId(1), IndexNo(1), ms(2), outcome);
    let failure_rates = [0, 1].map(|at| engine.nodes[&NodeId(1)].health(IndexNo(at)).failure_rate);
    assert_eq!(
        failure_rates,
        [
            if others_too { FAST_SMOOTHING } else { 0.0 },
            FAST_SMOOTHING
        ]
    );
}

// Compares immediate errors with errors and time-outs that take as long as the soft deadline, and with requests that
// must not run twice.
#[test_case(AttemptOutcome::MayHaveRun, 2, RetrySemantics::Idempotent, false; "an immediate error")]
#[test_case(AttemptOutcome::MayHaveRun, 1000, RetrySemantics::Idempotent, true; "a time-out")]
#[test_case(AttemptOutcome::MayHaveRun, 2, RetrySemantics::OnceOnly, true; "an error that cannot be repeated")]
#[test_case(AttemptOutcome::NeverRan, 2, RetrySemantics::Idempotent, true; "rejected at once")]
fn a_node_that_fails_fast_is_suspected_only_if_its_failures_are_costly(
    outcome: AttemptOutcome,
    latency_ms: u64,
    semantics: RetrySemantics,
    suspected: bool,
) {
    let mut engine = engine_with(platform(), 2);
    engine.config.indexes[0].retry_semantics = semantics;
    engine.statistics.median_latency = Some(100_000.0);
    (0..9).for_each(|_| engine.record_outcome(NodeId(1), IndexNo(0), ms(latency_ms), outcome));
    assert_eq!(
        engine
            .outlier_ratio(&engine.nodes[&NodeId(1)], IndexNo(0))
            .is_some(),
        suspected
    );
}

#[test]
fn a_lost_answer_does_not_mark_a_node_as_hung() {
    let mut engine = engine_with(platform(), 1);
    add_in_flight(&mut engine, 1, 1, ms(900));
    engine.record_outcome(NodeId(1), IndexNo(0), ms(100), AttemptOutcome::Satisfied);
    assert!(engine.expected_latency(&engine.nodes[&NodeId(1)], IndexNo(0)) < 110_000.0);
}

#[test]
fn expected_latency_decays_to_the_median_without_answers() {
    let mut engine = engine_with(platform(), 1);
    node(&mut engine, 1).latency = Some(900_000.0);
    engine.now += ms(5000);
    assert!(engine.expected_latency(&engine.nodes[&NodeId(1)], IndexNo(0)) < 110_000.0);
}

#[test]
fn predicted_latency_is_at_least_the_age_of_attempts_in_flight() {
    let mut engine = engine_with(platform(), 1);
    add_in_flight(&mut engine, 1, 1, ms(900));
    assert!(engine.predicted_latency(&engine.nodes[&NodeId(1)], IndexNo(0), 1.0) >= 900_000.0);
}

#[test]
fn a_node_in_slow_start_is_predicted_slower_than_the_median() {
    let mut engine = engine_with(platform(), 2);
    let now = engine.now;
    node(&mut engine, 1).started.by_local_clock = now;
    node(&mut engine, 2).latency_per_request = Some(50_000.0);
    let engine = refreshed(engine);
    let predicted = engine.predicted_latency(&engine.nodes[&NodeId(1)], IndexNo(0), 1.0);
    assert_eq!(predicted, 50_000.0 / 0.25 * (1.0 + FREE_DEPTH));
}

#[test]
fn the_end_of_a_suspicion_reports_the_suspected_index() {
    let mut engine = engine_with(platform(), 1);
    engine.config.indexes.push(engine.config.indexes[0].clone());
    node(&mut engine, 1).suspected_for = Some(IndexNo(1));
    engine.monitored.insert(NodeId(1));
    assert_eq!(
        engine.suspicion_has_changed().map(|case| case.index),
        Some(IndexNo(1))
    );
}
