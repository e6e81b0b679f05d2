//! Tests of `idle_connections`.

use test_case::test_case;

use crate::routing::test_support::*;
use crate::types::*;

// Idle connections may be dropped silently. Attempts on them are lost, and later attempts must use new connections.
#[test_case(0.14, true, 100, 0, true; "another lost attempt after many")]
#[test_case(0.14, false, 100, 0, false; "the connection was not idle")]
#[test_case(0.14, true, 1000, 0, false; "a node that is always this slow")]
#[test_case(0.0, true, 100, 0, false; "the first lost attempt")]
#[test_case(0.14, true, 100, 60_000, false; "a lost attempt long ago")]
fn stops_using_idle_connections_after_too_many_lost_attempts(
    loss_rate: f64,
    is_idle: bool,
    latency_ms: u64,
    elapsed_ms: u64,
    closed: bool,
) {
    let mut engine = engine_with(platform(), 3);
    let mut recorder = Recorder::default();
    add_in_flight(&mut engine, 2, 1, ms(500));
    let slow = node(&mut engine, 2);
    slow.latency = Some(latency_ms as f64 * 1000.0);
    slow.attempt_on_idle_connection = slow.in_flight.keys().next().copied().filter(|_| is_idle);
    node(&mut engine, 1).recent_sends.push_back(RecentSend {
        sent_at: ms(1000),
        cost: 1.0,
    });
    engine.idle_loss_rate = loss_rate;
    engine.run_rules(&mut recorder);
    node(&mut engine, 2).in_flight.clear();
    engine.now += ms(elapsed_ms);
    node(&mut engine, 1).latency_updated_at = ms(1000);
    let query = Query {
        requests: vec![ShardRequest {
            id: ShardRequestId(1),
            weight: 1.0,
            ..ShardRequest::default()
        }],
        ..query(&engine, &[1.0], &[])
    };
    add_query(&mut engine, query);
    engine.run_rules(&mut recorder);
    engine.send_attempt(QueryId(1), 0, NodeId(1), &mut recorder);
    let close = recorder
        .0
        .iter()
        .position(|action| *action == Action::CloseIdle(NodeId(1)));
    assert_eq!(close.is_some(), closed);
    assert_eq!(
        node(&mut engine, 1).attempt_on_idle_connection.is_some(),
        !closed,
        "an attempt on a new connection is not on an idle one"
    );
}
