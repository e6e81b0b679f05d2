//! Tests of `endpoints`.

use test_case::test_case;

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

#[test_case(EndpointState::Draining)]
#[test_case(EndpointState::Gone)]
fn sends_no_requests_to_draining_and_gone_nodes(state: EndpointState) {
    let mut engine = engine_with(platform(), 2);
    node(&mut engine, 1).endpoint.state = state;
    assert_eq!(placed_nodes(engine, 2), [2, 2]);
}

#[test]
fn a_node_missing_from_a_full_list_is_gone() {
    let mut engine = engine_with(platform(), 2);
    add_in_flight(&mut engine, 1, 1, ms(1));
    let now = engine.now;
    engine.endpoints_changed(
        now,
        &[Endpoint {
            node: NodeId(2),
            ..Endpoint::default()
        }],
        true,
        &mut Recorder::default(),
    );
    assert_eq!(engine.nodes[&NodeId(1)].endpoint.state, EndpointState::Gone);
}

#[test]
fn renews_a_lost_watch() {
    let mut engine = engine_with(platform(), 0);
    let now = engine.now;
    let mut recorder = Recorder::default();
    engine.endpoint_watch_failed(now, &mut recorder);
    engine.timer_fired(
        now + WATCH_RETRY_DELAY + WATCH_RETRY_DELAY,
        TimerId(0),
        &mut recorder,
    );
    assert_eq!(recorder.0, [Action::Log, Action::Watch]);
}

// Every node is repeatedly replaced by a new one, with an attempt in flight.
#[test]
fn removes_all_state_of_replaced_nodes() {
    let mut engine = engine_with(platform(), 2);
    let mut recorder = Recorder::default();
    for id in 3..500 {
        let now = engine.now + ms(50);
        add_in_flight(&mut engine, id - 1, 1, ms(0));
        engine.endpoints_changed(
            now,
            &[Endpoint {
                node: NodeId(id),
                ..Endpoint::default()
            }],
            true,
            &mut recorder,
        );
        let latency = ms(50);
        engine.attempt_finished(
            now,
            ShardRequestId(1000),
            AttemptNo(0),
            NodeId(id - 1),
            latency,
            AttemptOutcome::Broken,
            &[],
            &mut recorder,
        );
    }
    let now = engine.now + ms(60_000);
    engine.endpoints_changed(
        now,
        &[Endpoint {
            node: NodeId(500),
            ..Endpoint::default()
        }],
        true,
        &mut recorder,
    );
    engine.timer_fired(now, TimerId(0), &mut recorder);
    assert_eq!(
        (
            engine.nodes.len(),
            engine.shard_groups.len(),
            engine.monitored.len()
        ),
        (1, 1, 0)
    );
}

#[test_case(EndpointState::Ready, EndpointState::Gone, 0, true; "gone without a drain")]
#[test_case(EndpointState::Draining, EndpointState::Gone, 0, false; "gone after a drain")]
#[test_case(EndpointState::Ready, EndpointState::Ready, 9, true; "restarted unnoticed")]
fn detects_node_failures_from_the_endpoint_list(
    previous: EndpointState,
    state: EndpointState,
    started_at: u64,
    nodes_are_failing: bool,
) {
    let mut engine = engine_with(platform(), 1);
    node(&mut engine, 1).endpoint.state = previous;
    engine.last_node_failure = None;
    let now = engine.now;
    let endpoint = Endpoint {
        node: NodeId(1),
        state,
        started_at: Micros(started_at),
        ..Endpoint::default()
    };
    engine.endpoints_changed(now, &[endpoint], false, &mut Recorder::default());
    assert_eq!(engine.last_node_failure.is_some(), nodes_are_failing);
}
