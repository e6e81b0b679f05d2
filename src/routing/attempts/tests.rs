//! Tests of `attempts`.

use crate::routing::test_support::*;
use crate::types::*;
use test_case::test_case;

#[test]
fn ignores_attempts_of_ended_queries_and_unknown_clients() {
    let mut engine = engine_with(platform(), 1);
    let mut recorder = Recorder::default();
    add_in_flight(&mut engine, 1, 1, ms(5));
    let now = engine.now;
    let request = ShardRequestId(1000);
    let node = NodeId(1);
    engine.attempt_finished(
        now,
        request,
        AttemptNo(0),
        node,
        ms(5),
        AttemptOutcome::Satisfied,
        &[80.0],
        &mut recorder,
    );
    engine.client_left(now, QueryId(9), &mut recorder);
    assert!(recorder.0.is_empty() && engine.nodes[&node].in_flight.is_empty());
}

#[test]
fn records_an_answer_with_the_request_of_its_attempt() {
    let mut engine = engine_with(platform(), 1);
    let mut recorder = Recorder::default();
    let query = query(&engine, &[0.5, 0.5], &[]);
    add_query(&mut engine, query);
    engine.run_rules(&mut recorder);
    engine.attempt_finished(
        engine.now,
        ShardRequestId(2),
        AttemptNo(0),
        NodeId(1),
        ms(5),
        AttemptOutcome::Satisfied,
        &[],
        &mut recorder,
    );
    let answered: Vec<bool> = engine.queries[&QueryId(1)]
        .requests
        .iter()
        .map(|request| request.answered)
        .collect();
    assert_eq!(answered, [false, true]);
}

#[test_case(RetrySemantics::Idempotent, Action::Send(ShardRequestId(1), NodeId(2)); "may run again")]
#[test_case(RetrySemantics::OnceOnly, Action::Fail; "never again")]
fn a_withdrawn_answer_is_a_failed_attempt(semantics: RetrySemantics, expected: Action) {
    let mut platform = platform();
    platform.indexes[0].retry_semantics = semantics;
    let mut engine = engine_with(platform, 2);
    let mut recorder = Recorder::default();
    let mut query = query(&engine, &[0.5, 0.5], &[ANSWERED]);
    // The second shard request is still out.
    query.requests[1].answered = false;
    query.requests[1].attempts[0].outcome = IN_FLIGHT;
    add_query(&mut engine, query);
    let now = engine.now;
    let (query, request) = (QueryId(1), ShardRequestId(1));
    engine.answer_withdrawn(now, query, request, AttemptNo(0), &mut recorder);
    assert!(recorder.0.contains(&expected), "{:?}", recorder.0);
    // A query that has ended is not affected.
    engine.queries.clear();
    recorder.0.clear();
    engine.answer_withdrawn(now, query, request, AttemptNo(0), &mut recorder);
    assert_eq!(recorder.0, []);
}
