//! Tests of `retry`.

use test_case::test_case;

use crate::routing::test_support::*;
use crate::types::*;

#[test_case(RetrySemantics::OnceOnly, &[MAY_HAVE_RUN], 0, false; "once only, may have run")]
#[test_case(RetrySemantics::OnceOnly, &[IN_FLIGHT], 0, false; "once only, still in flight")]
#[test_case(RetrySemantics::OnceOnly, &[NEVER_RAN], 0, true; "once only, never ran")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), &[MAY_HAVE_RUN], 400, true; "fingerprinted, inside the window")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), &[MAY_HAVE_RUN], 490, false; "fingerprinted, too near its end")]
#[test_case(RetrySemantics::Fingerprinted(ms(500)), &[NEVER_RAN], 900, true; "fingerprinted, never ran")]
#[test_case(RetrySemantics::Idempotent, &[MAY_HAVE_RUN], 900, true; "idempotent")]
#[test_case(RetrySemantics::Idempotent, &[ANSWERED], 0, false; "answered")]
#[test_case(RetrySemantics::Idempotent, &[MAY_HAVE_RUN, MAY_HAVE_RUN, MAY_HAVE_RUN], 0, false; "no attempts left")]
#[test_case(RetrySemantics::Idempotent, &[MAY_HAVE_RUN], 2985, false; "no time left")]
fn further_attempts_depend_on_retry_semantics_limits_and_time(
    semantics: RetrySemantics,
    outcomes: &[Option<AttemptOutcome>],
    elapsed_ms: u64,
    allowed: bool,
) {
    let mut engine = engine_with(
        PlatformConfig {
            max_attempts: Some(3),
            ..platform()
        },
        2,
    );
    engine.config.indexes[0].retry_semantics = semantics;
    let query = query(&engine, &[1.0], outcomes);
    engine.now += ms(elapsed_ms);
    assert_eq!(engine.may_send(&query, &query.requests[0]), allowed);
}

// A retry that has to wait for a connect could reach its node after the end of the window.
#[test_case(100, 370, true; "time for a connect")]
#[test_case(100, 390, false; "the connect would end too near the window's end")]
#[test_case(600, 0, false; "no connect fits the window")]
fn a_fingerprinted_retry_leaves_time_to_connect(
    connect_timeout_ms: u64,
    elapsed_ms: u64,
    allowed: bool,
) {
    let mut engine = engine_with(
        PlatformConfig {
            connect_timeout: ms(connect_timeout_ms),
            ..platform()
        },
        2,
    );
    engine.config.indexes[0].retry_semantics = RetrySemantics::Fingerprinted(ms(500));
    let query = query(&engine, &[1.0], &[MAY_HAVE_RUN]);
    engine.now += ms(elapsed_ms);
    assert_eq!(engine.may_send(&query, &query.requests[0]), allowed);
}

#[test]
fn no_request_is_hedged_where_hedging_is_off() {
    let engine = engine_with(
        PlatformConfig {
            hedging: false,
            ..platform()
        },
        2,
    );
    let query = query(&engine, &[1.0], &[IN_FLIGHT]);
    assert!(!engine.may_send(&query, &query.requests[0]));
}

#[test_case(1.0, 0.0, 0, true; "within the minimum")]
#[test_case(1.0, 0.0, 1, false; "minimum used up")]
#[test_case(0.0, 0.5, 0, true; "within the ratio")]
#[test_case(0.0, 0.4, 0, false; "ratio too small")]
fn further_attempts_stay_within_the_retry_budget(min: f64, ratio: f64, sent: usize, allowed: bool) {
    let budget = PlatformConfig {
        retry_budget_min: min,
        retry_budget_ratio: ratio,
        retry_budget_window: Some(ms(1000)),
        ..platform()
    };
    let mut engine = engine_with(budget, 2);
    engine.admitted = vec![engine.now; 2].into();
    engine.extra_attempts = vec![engine.now; sent].into();
    assert_eq!(
        engine.is_within_retry_budget(&query(&engine, &[1.0], &[])),
        allowed
    );
}

/// After a failed canary request, the retries of several shard requests are planned together, each against the retry
/// budget as it is before any of them is sent.
#[test]
fn further_attempts_planned_together_stay_within_the_retry_budget() {
    let retry_budget_min = 2.0;
    let window = Some(ms(5000));
    let mut engine = engine_with(
        PlatformConfig {
            retry_budget_min,
            retry_budget_window: window,
            ..platform()
        },
        3,
    );
    let mut failed = query(&engine, &[0.2; 5], &[NEVER_RAN]);
    failed.placed = false;
    add_query(&mut engine, failed);
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    assert_eq!(
        recorder
            .0
            .iter()
            .filter(|action| matches!(action, Action::Send(..)))
            .count(),
        2
    );
}

#[test]
fn a_first_attempt_needs_no_retry_budget() {
    let engine = engine_with(
        PlatformConfig {
            retry_budget_window: Some(ms(1000)),
            ..platform()
        },
        2,
    );
    let fresh = query(&engine, &[1.0], &[]);
    let failed = query(&engine, &[1.0], &[MAY_HAVE_RUN]);
    assert!(
        engine.may_send(&fresh, &fresh.requests[0])
            && !engine.may_send(&failed, &failed.requests[0])
    );
}

#[test]
fn removes_old_entries_of_the_retry_budget() {
    let mut engine = engine_with(
        PlatformConfig {
            retry_budget_window: Some(ms(1000)),
            ..platform()
        },
        0,
    );
    engine.extra_attempts = vec![Micros(0); 5].into();
    engine.count_admitted();
    assert!(engine.extra_attempts.is_empty());
}

#[test]
fn retries_a_failed_attempt_on_another_node() {
    let mut engine = engine_with(platform(), 2);
    let query = query(&engine, &[1.0], &[MAY_HAVE_RUN]);
    add_query(&mut engine, query);
    let mut recorder = Recorder::default();
    engine.run_rules(&mut recorder);
    assert_eq!(recorder.0, [Action::Send(ShardRequestId(1), NodeId(2))]);
}

#[test_case(200, false; "not late")]
#[test_case(450, true; "late")]
fn a_late_request_is_hedged(age_ms: u64, hedged: bool) {
    let mut engine = engine_with(platform(), 3);
    let query = query(&engine, &[1.0], &[IN_FLIGHT]);
    engine.now += ms(age_ms);
    add_query(&mut engine, query);
    assert_eq!(engine.request_needs_hedge().is_some(), hedged);
}

#[test]
fn hedges_no_request_while_another_is_hedged_without_a_retry_budget() {
    let mut engine = engine_with(platform(), 3);
    let mut query = query(&engine, &[0.5, 0.5], &[IN_FLIGHT]);
    query.requests[0].attempts.push(Attempt {
        node: NodeId(2),
        sent_at: engine.now,
        outcome: IN_FLIGHT,
    });
    engine.now += ms(450);
    add_query(&mut engine, query);
    assert!(engine.request_needs_hedge().is_none());
}

/// A query with many shard requests has several late ones. Without a retry budget, they are hedged one at a time.
#[test_case(Some(ms(5000)), 3; "under a budget, a tenth of what is in flight")]
#[test_case(None, 1; "one at a time")]
fn limits_the_number_of_hedged_requests(window: Option<Micros>, hedged: usize) {
    let budget = PlatformConfig {
        retry_budget_min: 9.0,
        retry_budget_window: window,
        ..platform()
    };
    let mut engine = engine_with(budget, 3);
    let mut recorder = Recorder::default();
    let mut late = query(&engine, &[0.04; 25], &[IN_FLIGHT]);
    late.requests
        .iter_mut()
        .for_each(|request| request.attempts[0].sent_at = Micros(engine.now.0 - 450_000));
    add_query(&mut engine, late);
    engine.run_rules(&mut recorder);
    let sent: Vec<ShardRequestId> = recorder
        .0
        .iter()
        .filter_map(|action| match action {
            Action::Send(request, _) => Some(*request),
            _ => None,
        })
        .collect();
    assert_eq!(sent.len(), hedged);
}

// A policy of the fleet can be stricter than the platform, never looser, and applies to queries received under it.
#[test_case(IndexConfig { max_attempts: Some(1), ..IndexConfig::default() }, false; "no attempt beyond the first")]
#[test_case(IndexConfig { retry_budget: Some((0.0, 0.0)), ..IndexConfig::default() }, false; "no further attempts at all")]
#[test_case(IndexConfig { retry_budget: Some((1.0, 0.0)), ..IndexConfig::default() }, true; "within the minimum")]
#[test_case(IndexConfig::default(), true; "no limit")]
fn a_policy_limits_further_attempts(row: IndexConfig, allowed: bool) {
    let budget = PlatformConfig {
        retry_budget_min: 5.0,
        retry_budget_window: Some(ms(1000)),
        ..platform()
    };
    let engine = engine_with(budget, 2);
    let row = IndexConfig {
        latency_objective: ms(1000),
        required_weight: 1.0,
        min_weight: 1.0,
        ..row
    };
    let query = Query {
        config: row,
        ..query(&engine, &[1.0], &[NEVER_RAN])
    };
    assert_eq!(engine.may_send(&query, &query.requests[0]), allowed);
}

#[test_case(true, false; "no hedging")]
#[test_case(false, true; "hedging")]
fn a_policy_can_disable_hedging(hedging_disabled: bool, allowed: bool) {
    let engine = engine_with(platform(), 2);
    let mut query = query(&engine, &[1.0], &[IN_FLIGHT]);
    query.config.hedging_disabled = hedging_disabled;
    assert_eq!(engine.may_send(&query, &query.requests[0]), allowed);
}
