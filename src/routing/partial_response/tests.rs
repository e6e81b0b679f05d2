//! Tests of `partial_response`.

use test_case::test_case;

use crate::routing::test_support::*;
use crate::types::*;

#[test]
fn ends_a_query_before_its_client_stops_waiting() {
    let mut engine = engine_with(platform(), 2);
    let query = query(&engine, &[1.0], &[IN_FLIGHT]);
    engine.now = Micros(query.deadline.0 - ms(15).0);
    add_query(&mut engine, query);
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    assert_eq!(
        recorder.0,
        [
            Action::Reject(Micros(0)),
            Action::Cancel(ShardRequestId(1), AttemptNo(0))
        ]
    );
    assert!(engine.queries.is_empty());
}

#[test_case(RetrySemantics::Idempotent, MAY_HAVE_RUN, false, Action::Reject(Micros(0)); "idempotent")]
#[test_case(RetrySemantics::OnceOnly, NEVER_RAN, false, Action::Reject(Micros(0)); "once only, never ran")]
#[test_case(RetrySemantics::OnceOnly, MAY_HAVE_RUN, false, Action::Fail; "once only, may have run")]
#[test_case(RetrySemantics::OnceOnly, NEVER_RAN, true, Action::Fail; "once only, its first phase ran")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), IN_FLIGHT, false, Action::Fail; "fingerprinted, still in flight")]
fn rejects_a_query_only_if_a_client_retry_is_harmless(
    semantics: RetrySemantics,
    outcome: Option<AttemptOutcome>,
    in_second_phase: bool,
    action: Action,
) {
    let mut engine = engine_with(
        PlatformConfig {
            cancellation: false,
            ..platform()
        },
        1,
    );
    engine.config.indexes[0].retry_semantics = semantics;
    let query = query(&engine, &[1.0], &[outcome]);
    add_query(
        &mut engine,
        Query {
            in_second_phase,
            ..query
        },
    );
    let mut recorder = Recorder::default();
    engine.reject_or_fail(QueryId(1), ms(50), &mut recorder);
    assert_eq!(recorder.0, [action]);
}

#[test]
fn limits_retry_after_to_what_clients_respect() {
    let mut engine = engine_with(
        PlatformConfig {
            max_retry_after: Some(ms(300)),
            ..platform()
        },
        1,
    );
    let query = query(&engine, &[1.0], &[]);
    add_query(&mut engine, query);
    let mut recorder = Recorder::default();
    engine.reject_or_fail(QueryId(1), ms(800), &mut recorder);
    assert_eq!(recorder.0, [Action::Reject(ms(300))]);
}

#[test_case(1.0, 1.0, &[0.6, 0.4], Some(true); "all answered")]
#[test_case(0.9, 0.5, &[0.9], Some(true); "enough for a complete response")]
#[test_case(1.0, 0.6, &[0.7], Some(false); "enough for a partial response")]
#[test_case(1.0, 0.8, &[0.7], None; "not enough for a response")]
fn response_at_the_soft_deadline_follows_the_answered_weight(
    required: f64,
    minimum: f64,
    weights: &[f64],
    complete: Option<bool>,
) {
    let mut engine = engine_with(
        PlatformConfig {
            hedging: false,
            ..platform()
        },
        1,
    );
    engine.config.indexes[0].required_weight = required;
    engine.config.indexes[0].min_weight = minimum;
    let rest = 1.0 - weights.iter().sum::<f64>();
    let mut missing = query(&engine, &[rest], &[IN_FLIGHT]);
    let mut query = query(&engine, weights, &[ANSWERED]);
    if rest > 0.001 {
        let out = missing.requests.remove(0);
        query.requests.push(ShardRequest {
            id: ShardRequestId(99),
            ..out
        });
        query.expected_requests += 1;
    }
    engine.now = query.soft_deadline;
    add_query(&mut engine, query);
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    assert_eq!(recorder.0.first().copied(), complete.map(Action::Answer));
}

#[test_case(true, true)]
#[test_case(false, false)]
fn a_second_phase_is_complete_only_after_a_complete_first(first_complete: bool, complete: bool) {
    let mut engine = engine_with(platform(), 1);
    let query = query(&engine, &[1.0], &[ANSWERED]);
    add_query(
        &mut engine,
        Query {
            in_second_phase: true,
            first_phase_complete: first_complete,
            ..query
        },
    );
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    assert_eq!(recorder.0, [Action::Answer(complete)]);
}

/// If the first phase is answered just before the latency objective, the second phase has no time left and most
/// answers are late.
#[test_case(770, false; "there is still time")]
#[test_case(810, true; "the second phase needs the remaining time")]
fn answers_the_first_phase_early_enough_for_the_second(elapsed_ms: u64, answered: bool) {
    let mut engine = engine_with(platform(), 3);
    engine.config.indexes[0].second_phase_size = 2;
    engine.config.indexes[0].min_weight = 0.5;
    let mut half = query(&engine, &[0.5, 0.5], &[IN_FLIGHT]);
    half.requests[0].answered = true;
    add_query(&mut engine, half);
    engine.now += ms(elapsed_ms);
    assert_eq!(engine.answer_is_due().is_some(), answered);
}

#[test]
fn the_second_phase_expects_no_more_requests_than_were_answered() {
    let mut engine = engine_with(platform(), 1);
    engine.config.indexes[0].second_phase_size = 3;
    let query = query(&engine, &[0.5, 0.5], &[ANSWERED]);
    add_query(&mut engine, query);
    engine.run_rules(&mut Recorder::default());
    assert_eq!(
        (
            engine.queries[&QueryId(1)].expected_requests,
            engine.queries[&QueryId(1)].in_second_phase
        ),
        (2, true)
    );
}

// The minimum weight is compared exactly. The simulation found answers from 0.69996 where 0.7 was required.
#[test_case(&[0.69996, 0.30004], false, 0.7; "slightly less than the minimum")]
#[test_case(&[0.7, 0.3], true, 0.7; "exactly the minimum")]
#[test_case(&[0.1; 10], true, 0.8; "eight tenths, whose sum is rounded down")]
fn no_answer_is_given_from_less_than_the_minimum_weight(
    weights: &[f64],
    answers: bool,
    minimum: f64,
) {
    let mut engine = engine_with(platform(), 1);
    engine.config.indexes[0].min_weight = minimum;
    let mut query = query(&engine, weights, &[ANSWERED]);
    query.soft_deadline = engine.now;
    query.partial_response_at = engine.now;
    for request in query
        .requests
        .iter_mut()
        .skip((minimum * weights.len() as f64) as usize)
    {
        request.answered = false;
        request.attempts[0].outcome = None;
    }
    add_query(&mut engine, query);
    assert_eq!(
        (
            engine.answer_is_due().is_some(),
            engine.query_cannot_complete().is_some()
        ),
        (answers, false)
    );
}

#[test_case(None, 950, false; "no policy, at the soft deadline")]
#[test_case(Some(400), 350, false; "before the time of the policy")]
#[test_case(Some(400), 400, true; "at the time of the policy")]
#[test_case(Some(9000), 950, false; "never after the soft deadline")]
fn sends_a_partial_response_at_the_time_set_by_the_policy(
    policy_ms: Option<u64>,
    elapsed_ms: u64,
    is_due: bool,
) {
    let mut engine = engine_with(platform(), 2);
    engine.config.indexes[0].min_weight = 0.5;
    engine.config.indexes[0].partial_response_after = policy_ms.map(ms);
    engine.config.indexes[0].latency_objective = ms(1000);
    let now = engine.now;
    let mut recorder = Recorder::default();
    engine.query_received(
        now,
        QueryId(1),
        WireQueryNo(1),
        IndexNo(0),
        CustomerNo(0),
        2,
        ms(3000),
        false,
        &mut recorder,
    );
    // A change of policy does not affect a query that was received before it.
    engine.config.indexes[0].partial_response_after = Some(ms(1));
    let query = query(&engine, &[0.5, 0.5], &[IN_FLIGHT]);
    let query_in_flight = engine
        .queries
        .get_mut(&QueryId(1))
        .expect("query 1 is in flight");
    query_in_flight.requests = query.requests;
    query_in_flight.placed = true;
    query_in_flight.requests[0].answered = true;
    engine.now = now + ms(elapsed_ms);
    assert_eq!(engine.answer_is_due().is_some(), is_due);
}
