//! Tests of `health_check`.

use test_case::test_case;

use crate::routing::test_support::*;
use crate::types::*;

#[test]
fn nodes_in_use_are_checked_once_a_second_where_only_health_checks_report() {
    let mut engine = engine_with(
        PlatformConfig {
            load_reporting: LoadReporting::InHealthChecks,
            health_checks: true,
            ..platform()
        },
        2,
    );
    add_in_flight(&mut engine, 1, 1, ms(1));
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    engine.run_rules(&mut recorder);
    assert_eq!(recorder.0, [Action::HealthCheck(NodeId(1))]);
}

#[test_case(f64::NAN)]
#[test_case(-1.0)]
fn ignores_an_invalid_load_report(figure: f64) {
    let mut engine = engine_with(platform(), 1);
    engine.record_load_report(NodeId(1), &[figure]);
    assert_eq!(engine.nodes[&NodeId(1)].reported_load, Some(100.0));
}

/// A slow node that reports a latency of zero would attract requests through a cost of zero.
#[test]
fn a_reported_latency_of_zero_discards_the_load_report() {
    let mut engine = engine_with(platform(), 2);
    let mut recorder = Recorder::default();
    node(&mut engine, 1).latency = Some(250_000.0);
    engine.health_check_finished(engine.now, NodeId(1), &[0.0], &mut recorder);
    let engine = refreshed(engine);
    assert_eq!(engine.reported_cost(&engine.nodes[&NodeId(1)]), Some(250.0));
}

#[test]
fn a_failed_health_check_does_not_count_as_a_failed_attempt() {
    let mut engine = engine_with(platform(), 1);
    let now = engine.now;
    engine.health_check_finished(now, NodeId(1), &[], &mut Recorder::default());
    assert_eq!(
        engine.nodes[&NodeId(1)].health(IndexNo(0)).failure_rate,
        0.0
    );
}
