//! Tests of `statistics`.

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

/// When the first hint took effect only with the next answer or list, the slow-start share of a cold node jumped
/// at all routers at the same time.
#[test]
fn the_first_cost_hint_takes_effect_immediately() {
    let mut engine = RoutingEngine::new(platform(), 1);
    let now = ms(1);
    let mut recorder = Recorder::default();
    engine.endpoints_changed(
        now,
        &[Endpoint {
            node: NodeId(1),
            ..Endpoint::default()
        }],
        true,
        &mut recorder,
    );
    engine.query_received(
        now,
        QueryId(1),
        WireQueryNo(1),
        IndexNo(0),
        CustomerNo(0),
        1,
        ms(900),
        false,
        &mut recorder,
    );
    assert_eq!(
        engine.statistics.warm_rate, 1.0,
        "one request in the shortest soft deadline"
    );
    engine.shard_request_received(
        now,
        ShardRequestId(1),
        WireQueryNo(1),
        ShardNo(0),
        1.0,
        Some(ms(100)),
        &mut recorder,
    );
    assert_eq!(engine.statistics.warm_rate, 10.0);
}
