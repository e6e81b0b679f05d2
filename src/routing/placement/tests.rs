//! Tests of `placement`.

use test_case::test_case;

use super::Assignment;
use crate::routing::test_support::*;
use crate::types::*;

#[test]
fn a_chosen_node_attracts_the_other_requests() {
    let mut engine = engine_with(
        PlatformConfig {
            shard_group_count: 3,
            groups_per_shard: 2,
            ..platform()
        },
        2,
    );
    node(&mut engine, 2).endpoint.shard_group = ShardGroupNo(1);
    node(&mut engine, 2).reported_load = Some(90.0);
    let mut both = query(&engine, &[0.5, 0.5], &[]);
    // Only node 1 holds this one; the other request is held by both.
    both.requests[1].shard = ShardNo(2);
    assert_eq!(
        refreshed(engine).plan(&both, 1e6).assignments,
        [1, 0].map(|request_index| Assignment {
            request_index,
            node: NodeId(1)
        })
    );
}

#[test]
fn prefers_a_node_predicted_in_time_to_a_cheaper_one_predicted_late() {
    let mut engine = engine_with(platform(), 2);
    node(&mut engine, 1).reported_load = Some(50.0);
    node(&mut engine, 1).latency_per_request = Some(900_000.0);
    node(&mut engine, 2).latency_per_request = Some(50_000.0);
    assert_eq!(placed_nodes(engine, 1), [2]);
}

#[test]
fn own_requests_in_flight_add_to_the_node_cost() {
    let mut engine = engine_with(platform(), 2);
    node(&mut engine, 2).reported_load = Some(90.0);
    add_in_flight(&mut engine, 2, 1, ms(1));
    assert_eq!(placed_nodes(engine, 1), [1]);
}

#[test]
fn a_node_without_report_or_answers_costs_the_mean() {
    let mut engine = engine_with(platform(), 3);
    node(&mut engine, 1).reported_load = Some(300.0);
    node(&mut engine, 3).reported_load = None;
    node(&mut engine, 3).latency = None;
    let engine = refreshed(engine);
    assert_eq!(
        engine.node_cost(&engine.nodes[&NodeId(3)], IndexNo(0)),
        200.0
    );
}

#[test]
fn distinguishes_busy_from_idle_nodes_when_all_queues_are_empty() {
    let mut engine = engine_with(
        PlatformConfig {
            load_metrics: vec![LoadMetric::Queue],
            ..platform()
        },
        2,
    );
    engine
        .nodes
        .values_mut()
        .for_each(|n| n.reported_load = Some(0.0));
    add_in_flight(&mut engine, 1, 1, ms(1));
    assert_eq!(placed_nodes(engine, 1), [2]);
}

#[test]
fn cross_zone_cost_can_outweigh_a_lower_load() {
    let mut engine = engine_with(
        PlatformConfig {
            cross_zone_cost: 0.04,
            ..platform()
        },
        2,
    );
    node(&mut engine, 1).endpoint.zone = ZoneNo(1);
    node(&mut engine, 2).reported_load = Some(110.0);
    assert_eq!(placed_nodes(engine, 1), [2]);
}

#[test_case(3, 2, 5, true; "first group")]
#[test_case(3, 0, 5, true; "next group, with wrap around")]
#[test_case(3, 1, 5, false; "another group")]
fn a_shard_is_held_by_consecutive_groups(groups: u32, group: u32, shard: u32, is_held: bool) {
    let mut engine = engine_with(
        PlatformConfig {
            shard_group_count: groups,
            groups_per_shard: 2,
            ..platform()
        },
        1,
    );
    node(&mut engine, 1).endpoint.shard_group = ShardGroupNo(group);
    assert_eq!(
        refreshed(engine).nodes_holding(ShardNo(shard)).count() == 1,
        is_held
    );
}

#[test_case(4, 1000, false; "few requests")]
#[test_case(40, 1000, true; "many requests")]
#[test_case(40, 900, false; "many requests, and a client that allows less than the objective")]
fn a_query_is_predicted_as_late_as_its_slowest_call(
    requests: usize,
    time_allowed_ms: u64,
    rejected: bool,
) {
    let mut engine = engine_with(
        PlatformConfig {
            shard_group_count: 64,
            groups_per_shard: 1,
            ..platform()
        },
        40,
    );
    let mut recorder = Recorder::default();
    for (group, node) in engine.nodes.values_mut().enumerate() {
        (node.endpoint.shard_group, node.latency_per_request) =
            (ShardGroupNo(group as u32), Some(130_000.0));
    }
    engine = refreshed(engine);
    let mut query = Query {
        time_allowed: ms(time_allowed_ms),
        ..query(&engine, &vec![1.0 / requests as f64; requests], &[])
    };
    query
        .requests
        .iter_mut()
        .enumerate()
        .for_each(|(at, request)| request.shard = ShardNo(at as u32));
    add_query(&mut engine, query);
    engine.run_rules(&mut recorder);
    assert_eq!(
        recorder
            .0
            .iter()
            .any(|action| matches!(action, Action::Reject(_))),
        rejected
    );
}
