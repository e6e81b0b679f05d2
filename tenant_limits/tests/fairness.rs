//! Tenant limits over sequences of queries, in virtual time.

use std::collections::VecDeque;

use proptest::prelude::*;
use ternpick::types::{CustomerNo, Micros};
use ternpick_tenant_limits::{Limits, Rejection, SharedLimitConfig, TenantConfig};
use test_case::test_case;

const MS: u64 = 1000;
const S: u64 = 1_000_000;

fn tenant_config() -> TenantConfig {
    TenantConfig {
        weight: 1.0,
        max_in_flight: 1000,
        per_second: 1e6,
        burst: 1e6,
        retries_per_query: 0.2,
    }
}

fn fixed_limit(limit: usize) -> SharedLimitConfig {
    SharedLimitConfig {
        initial: limit,
        min: limit,
        max: limit,
    }
}

/// The shares of the queries that were admitted.
struct AdmittedShares {
    /// Of all tenants but the flooding one.
    others: f64,
    /// Of the worst of them.
    worst: f64,
    /// Of the flooding tenant.
    flooding: f64,
}

/// Simulates 2 s of queries that each take 10 ms. Tenant 0 sends `flood` queries before and `flood` after the others
/// in each millisecond; each other tenant sends one query every `interval_ms`.
fn simulate(tenants: u16, interval_ms: u64, flood: usize, limit: usize) -> AdmittedShares {
    let mut limits = Limits::new(
        vec![tenant_config(); usize::from(tenants)],
        fixed_limit(limit),
    );
    // When each query ends, in ms, and its tenant.
    let mut in_flight: VecDeque<(u64, CustomerNo)> = VecDeque::new();
    // Queries sent by the flooding tenant and by the others together; queries admitted by tenant.
    let (mut sent, mut admitted) = ([0u64; 2], vec![0u64; usize::from(tenants)]);
    for ms in 0..2000 {
        while in_flight.front().is_some_and(|(end, _)| *end <= ms) {
            let (_, tenant) = in_flight.pop_front().expect("a query in flight");
            limits.release(Micros(ms * MS), tenant, Micros(10 * MS), false);
        }
        let others =
            (1..tenants).filter(|tenant| (ms + u64::from(*tenant) * 7).is_multiple_of(interval_ms));
        let all = std::iter::repeat_n(0, flood)
            .chain(others)
            .chain(std::iter::repeat_n(0, flood));
        for tenant in all {
            sent[usize::from(tenant > 0)] += 1;
            if limits
                .admit(Micros(ms * MS), CustomerNo(tenant), false)
                .is_ok()
            {
                admitted[usize::from(tenant)] += 1;
                in_flight.push_back((ms + 10, CustomerNo(tenant)));
            }
        }
        assert!(
            limits.in_flight() <= 2 * limit,
            "{} queries in flight with a shared limit of {limit}",
            limits.in_flight()
        );
    }
    let others: u64 = admitted[1..].iter().sum();
    let worst = admitted[1..]
        .iter()
        .min()
        .map_or(0.0, |count| *count as f64 / (2000 / interval_ms) as f64);
    AdmittedShares {
        others: others as f64 / sent[1].max(1) as f64,
        worst,
        flooding: admitted[0] as f64 / sent[0].max(1) as f64,
    }
}

#[test]
fn a_thousand_tenants_keep_their_share_while_one_tenant_floods() {
    // The other tenants send 5 queries per millisecond together, and have 50 in flight. A fair share of the limit is
    // 0.1 in flight; the flooding tenant sends 100 queries per millisecond.
    let AdmittedShares {
        others,
        worst,
        flooding,
    } = simulate(1000, 200, 50, 100);
    assert!(
        others > 0.99 && worst >= 0.9,
        "admitted shares: others {others}, worst of them {worst}, flooding tenant {flooding}"
    );
}

#[test]
fn a_tenant_may_use_the_whole_limit_while_the_others_have_no_queries() {
    let mut limits = Limits::new(vec![tenant_config(); 10], fixed_limit(100));
    let admitted = (0..300)
        .filter(|_| limits.admit(Micros(0), CustomerNo(3), false).is_ok())
        .count();
    assert_eq!(admitted, 100);
    // The next tenant is still admitted, up to its share: half of the limit.
    let admitted = (0..300)
        .filter(|_| limits.admit(Micros(0), CustomerNo(4), false).is_ok())
        .count();
    assert_eq!(admitted, 50);
}

#[test_case(2.0, 66; "twice the weight of the other")]
#[test_case(1.0, 50; "the same weight")]
#[test_case(0.25, 20; "a quarter of the weight")]
fn a_share_is_proportional_to_the_weight(weight: f64, share: usize) {
    let mut limits = Limits::new(
        vec![
            tenant_config(),
            TenantConfig {
                weight,
                ..tenant_config()
            },
        ],
        fixed_limit(100),
    );
    while limits.admit(Micros(0), CustomerNo(0), false).is_ok() {}
    let admitted = (0..300)
        .filter(|_| limits.admit(Micros(0), CustomerNo(1), false).is_ok())
        .count();
    assert_eq!(admitted, share);
}

#[test]
fn a_tenant_over_its_rate_is_rejected_until_the_retry_after_has_passed() {
    let mut limits = Limits::new(
        vec![TenantConfig {
            per_second: 10.0,
            burst: 3.0,
            ..tenant_config()
        }],
        fixed_limit(100),
    );
    let now = Micros(5 * S);
    assert_eq!(
        (0..9)
            .filter(|_| limits.admit(now, CustomerNo(0), false).is_ok())
            .count(),
        3
    );
    let Err(Rejection::Rate { retry_after }) = limits.admit(now, CustomerNo(0), false) else {
        panic!("a query beyond the burst was not rejected for its rate")
    };
    assert_eq!(retry_after, Micros(100 * MS));
    assert!(limits
        .admit(Micros(now.0 + retry_after.0 - 1000), CustomerNo(0), false)
        .is_err());
    assert!(limits
        .admit(now + retry_after, CustomerNo(0), false)
        .is_ok());
}

#[test]
fn a_retry_storm_is_limited_by_the_tenants_own_retry_budget() {
    let mut limits = Limits::new(
        vec![
            TenantConfig {
                retries_per_query: 0.1,
                ..tenant_config()
            },
            tenant_config(),
        ],
        fixed_limit(1000),
    );
    let mut retries_admitted = 0;
    for _ in 0..1000 {
        let _ = limits.admit(Micros(0), CustomerNo(0), false);
        limits.release(Micros(0), CustomerNo(0), Micros(MS), false);
        // The client retries each query three times.
        for _ in 0..3 {
            if limits.admit(Micros(0), CustomerNo(0), true).is_ok() {
                retries_admitted += 1;
                limits.release(Micros(0), CustomerNo(0), Micros(MS), false);
            }
        }
    }
    assert!(
        (100..=103).contains(&retries_admitted),
        "{retries_admitted} of 3000 retries admitted"
    );
    assert!(
        limits.admit(Micros(0), CustomerNo(1), true).is_ok(),
        "another tenant's retry budget is used up"
    );
}

#[test]
fn the_shared_limit_shrinks_while_answers_are_late_and_grows_while_it_is_reached() {
    let mut limits = Limits::new(
        vec![tenant_config()],
        SharedLimitConfig {
            initial: 50,
            min: 5,
            max: 80,
        },
    );
    // Fills the limit, ends all queries, and returns the limit after that.
    let mut limit_after_round = |now: u64, late: bool| {
        let mut admitted = 0;
        while limits.admit(Micros(now), CustomerNo(0), false).is_ok() {
            admitted += 1;
        }
        (0..admitted).for_each(|_| limits.release(Micros(now), CustomerNo(0), Micros(MS), late));
        limits.limit()
    };
    let late: Vec<usize> = (0..40)
        .map(|second| limit_after_round(second * S, true))
        .collect();
    assert!(late[0] < 50 && late[39] == 5, "{late:?}");
    let in_time: Vec<usize> = (40..120)
        .map(|second| limit_after_round(second * S, false))
        .collect();
    assert!(in_time[79] == 80 && in_time.is_sorted(), "{in_time:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn every_admitted_query_is_released_in_any_order_of_steps(
        steps in proptest::collection::vec((0u16..6, any::<bool>(), 0u64..200, any::<bool>()), 1..300)
    ) {
        let tenants: Vec<TenantConfig> =
            (0..5).map(|number| TenantConfig { weight: 1.0 + f64::from(number), max_in_flight: 4 + number as usize, ..tenant_config() }).collect();
        let mut limits = Limits::new(tenants.clone(), SharedLimitConfig { initial: 10, min: 2, max: 30 });
        let (mut now, mut in_flight) = (Micros(0), Vec::new());
        for (tenant, is_admission, elapsed_ms, flag) in steps {
            now += Micros(elapsed_ms * MS);
            let tenant = CustomerNo(tenant);
            if is_admission {
                // The flag makes an admission a retry, and an end late.
                match limits.admit(now, tenant, flag) {
                    Ok(()) => in_flight.push((tenant, now)),
                    Err(rejection) => prop_assert!(rejection.retry_after().0 <= 60 * S),
                }
            } else if !in_flight.is_empty() {
                let (tenant, since) = in_flight.swap_remove(elapsed_ms as usize % in_flight.len());
                limits.release(now, tenant, now.since(since), flag);
            }
            prop_assert_eq!(limits.in_flight(), in_flight.len());
            for (number, config) in tenants.iter().enumerate() {
                let count = in_flight.iter().filter(|(tenant, _)| usize::from(tenant.0) == number).count();
                prop_assert!(count <= config.max_in_flight);
                prop_assert_eq!(limits.tenant_in_flight(CustomerNo(number as u16)), Some(count));
            }
        }
        for (tenant, since) in in_flight {
            limits.release(now, tenant, now.since(since), false);
        }
        prop_assert_eq!(limits.in_flight(), 0);
        prop_assert!(limits.admit(now + Micros(60 * S), CustomerNo(0), false).is_ok(), "a tenant without queries in flight is rejected after 60 s");
    }
}
