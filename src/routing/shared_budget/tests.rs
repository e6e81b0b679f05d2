//! Tests of `shared_budget`.

use test_case::test_case;

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

#[test_case(false, (2.0, 0.0, 0.0, 0); "a process that only finishes its queries")]
#[test_case(true, (2.0, 0.1, 0.2, 1); "a process that admits queries")]
fn serving_a_share_limits_the_retry_budget_and_serving_the_whole_restores_it(
    admits_queries: bool,
    kept: (f64, f64, f64, usize),
) {
    let mut engine = engine_with_started_nodes(Micros(1_000_000));
    engine.config.retry_budget_min = 8.0;
    engine.config.retry_budget_ratio = 0.1;
    engine.config.slow_start_initial_share = 0.2;
    engine.extra_attempts.push_back(Micros(990_000));
    let budget = |engine: &RoutingEngine| {
        let config = &engine.config;
        (
            config.retry_budget_min,
            config.retry_budget_ratio,
            config.slow_start_initial_share,
            engine.extra_attempts.len(),
        )
    };
    engine.serve_share(4.0, admits_queries);
    engine.serve_share(2.0, admits_queries);
    assert_eq!(budget(&engine), kept);
    engine.extra_attempts.push_back(Micros(1_000_000));
    engine.serve_whole();
    engine.serve_whole();
    assert_eq!(budget(&engine), (8.0, 0.1, 0.2, 2));
}
