//! Tests of `query_of_death`.

use test_case::test_case;

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

#[test]
fn the_table_of_queries_of_death_is_bounded() {
    let mut engine = engine_with(platform(), 3);
    for id in 0..2 * MAX_KNOWN_QUERIES as u64 {
        let mut query = query(&engine, &[1.0], &[Some(AttemptOutcome::Broken); 2]);
        query.id = QueryId(id);
        query.placed = true;
        query.requests[0].attempts[1].node = NodeId(2);
        add_query(&mut engine, query);
    }
    engine.run_rules(&mut Recorder::default());
    assert_eq!(
        (engine.queries.len(), engine.queries_of_death.len()),
        (0, MAX_KNOWN_QUERIES)
    );
}

// A query of death crashes every node that starts one of its shard requests.
#[test_case(&[1], false, false, false; "one node failed")]
#[test_case(&[1, 2], false, false, true; "two nodes failed")]
#[test_case(&[1], true, false, true; "a client retry, and one node failed")]
#[test_case(&[1, 2], false, true, false; "a node survived it")]
fn a_query_of_death_is_rejected(
    failed_nodes: &[u64],
    is_client_retry: bool,
    survived: bool,
    rejected: bool,
) {
    let mut engine = engine_with(platform(), 3);
    let mut query = query(&engine, &[0.5, 0.5], &[Some(AttemptOutcome::Broken)]);
    query
        .requests
        .iter_mut()
        .zip(failed_nodes)
        .for_each(|(request, node)| request.attempts[0].node = NodeId(*node));
    query.requests[1].answered = survived;
    add_query(
        &mut engine,
        Query {
            is_client_retry,
            ..query
        },
    );
    engine.run_rules(&mut Recorder::default());
    assert_eq!(engine.queries.is_empty(), rejected);
}

#[test_case(true, true; "its client retry")]
#[test_case(false, false; "the same query, not marked as a client retry")]
fn rejects_only_client_retries_of_a_known_query_of_death(is_client_retry: bool, rejected: bool) {
    let mut engine = engine_with(platform(), 3);
    let fresh = Query {
        is_client_retry,
        ..query(&engine, &[1.0], &[])
    };
    engine.queries_of_death.push_back(KnownQueryOfDeath {
        expires_at: fresh.deadline,
        fingerprint: fresh.fingerprint(),
    });
    add_query(&mut engine, fresh);
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    assert_eq!(recorder.0 == [Action::Reject(Micros(0))], rejected);
}

#[test_case(true, 1; "nodes are failing")]
#[test_case(false, 2; "no node has failed")]
fn sends_a_canary_request_first_while_nodes_are_failing(
    nodes_are_failing: bool,
    attempts_sent: usize,
) {
    let mut engine = engine_with(
        PlatformConfig {
            shard_group_count: 2,
            groups_per_shard: 1,
            ..platform()
        },
        2,
    );
    let mut recorder = Recorder::default();
    node(&mut engine, 2).endpoint.shard_group = ShardGroupNo(1);
    engine = refreshed(engine);
    engine.last_node_failure = nodes_are_failing.then_some(engine.now);
    let mut query = query(&engine, &[0.5, 0.5], &[]);
    query.requests[1].shard = ShardNo(1);
    add_query(&mut engine, query);
    engine.run_rules(&mut recorder);
    assert_eq!(recorder.0.len(), attempts_sent);
}
