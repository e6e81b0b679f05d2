//! Tests of the engine as a whole.

use test_case::test_case;

use crate::routing::test_support::*;
use crate::types::*;

// On unusual input the process keeps running, and the query gets exactly one final answer before its client stops
// waiting.
#[test_case(1, 1, 0, 3000; "an ordinary query without time")]
#[test_case(1, 1, 1000, 0; "no nodes")]
#[test_case(1, u32::MAX, 1000, 3000; "a shard out of range, thousands of nodes")]
#[test_case(0, 1, 1000, 1; "no request expected")]
#[test_case(usize::MAX, 1, 1000, 1; "more requests expected than can come")]
fn unusual_queries_get_exactly_one_final_answer(
    expected: usize,
    shard: u32,
    time_allowed_ms: u64,
    nodes: u64,
) {
    let mut engine = engine_with(
        PlatformConfig {
            shard_group_count: 7,
            groups_per_shard: 9,
            ..platform()
        },
        nodes,
    );
    let mut recorder = Recorder::default();
    let now = engine.now;
    let id = QueryId(1);
    let query = WireQueryNo(1);
    let out = &mut recorder;
    engine.query_received(
        now,
        id,
        query,
        IndexNo(0),
        CustomerNo(9),
        expected,
        ms(time_allowed_ms),
        false,
        out,
    );
    engine.shard_request_received(
        now,
        ShardRequestId(1),
        query,
        ShardNo(shard),
        1.0,
        None,
        out,
    );
    engine.timer_fired(
        now + ms(time_allowed_ms.saturating_sub(15)),
        TimerId(0),
        out,
    );
    let ends = recorder
        .0
        .iter()
        .filter(|action| matches!(action, Action::Answer(_) | Action::Reject(_) | Action::Fail));
    assert_eq!((ends.count(), engine.queries.len()), (1, 0));
}
