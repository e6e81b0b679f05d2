//! The rules of tenant limits over sequences of queries, in virtual time.

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

/// Plays queries that each take 10 ms: tenants 1.. send one in `every` milliseconds, tenant 0 floods with `flood` at a
/// time. Returns the shares of queries that were admitted: of the others, of the worst of them, of the flooding one.
fn play(tenants: u16, every: u64, flood: usize, limit: usize) -> (f64, f64, f64) {
    let mut limits = Limits::new(
        vec![tenant_config(); usize::from(tenants)],
        fixed_limit(limit),
    );
    let mut out: VecDeque<(u64, CustomerNo)> = VecDeque::new();
    let (mut asked, mut got) = ([0u64; 2], vec![0u64; usize::from(tenants)]);
    for ms in 0..2000 {
        while out.front().is_some_and(|(end, _)| *end <= ms) {
            let (_, tenant) = out.pop_front().expect("one");
            limits.release(Micros(ms * MS), tenant, Micros(10 * MS), false);
        }
        let others =
            (1..tenants).filter(|tenant| (ms + u64::from(*tenant) * 7).is_multiple_of(every));
        let all = std::iter::repeat_n(0, flood)
            .chain(others)
            .chain(std::iter::repeat_n(0, flood));
        for tenant in all {
            asked[usize::from(tenant > 0)] += 1;
            if limits
                .admit(Micros(ms * MS), CustomerNo(tenant), false)
                .is_ok()
            {
                got[usize::from(tenant)] += 1;
                out.push_back((ms + 10, CustomerNo(tenant)));
            }
        }
        assert!(
            limits.in_flight() <= 2 * limit,
            "{} in flight",
            limits.in_flight()
        );
    }
    let others: u64 = got[1..].iter().sum();
    let least = got[1..]
        .iter()
        .min()
        .map_or(0.0, |least| *least as f64 / (2000 / every) as f64);
    (
        others as f64 / asked[1].max(1) as f64,
        least,
        got[0] as f64 / asked[0].max(1) as f64,
    )
}

#[test]
fn a_thousand_tenants_keep_their_share_beside_one_that_floods_a_hundredfold() {
    // The others have 5 a millisecond, 50 in flight; the flooding one tries 100 times its fair 0.05.
    let (others, least, flooding) = play(1000, 200, 50, 100);
    assert!(
        others > 0.99 && least >= 0.9,
        "others {others}, least {least}, flooding {flooding}"
    );
}

#[test]
fn what_others_leave_unused_is_used() {
    let mut limits = Limits::new(vec![tenant_config(); 10], fixed_limit(100));
    let taken = (0..300)
        .filter(|_| limits.admit(Micros(0), CustomerNo(3), false).is_ok())
        .count();
    assert_eq!(taken, 100);
    // And yet the next tenant is admitted, up to its half.
    let taken = (0..300)
        .filter(|_| limits.admit(Micros(0), CustomerNo(4), false).is_ok())
        .count();
    assert_eq!(taken, 50);
}

#[test_case(2.0, 66; "twice the weight")]
#[test_case(1.0, 50; "the same")]
#[test_case(0.25, 20; "a quarter")]
fn a_share_goes_by_weight(weight: f64, share: usize) {
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
    let taken = (0..300)
        .filter(|_| limits.admit(Micros(0), CustomerNo(1), false).is_ok())
        .count();
    assert_eq!(taken, share);
}

#[test]
fn a_rate_is_kept_with_its_burst_and_its_retry_after_is_right() {
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
        panic!("admitted")
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
fn a_retry_storm_ends_with_its_budget() {
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
    let mut got = 0;
    for _ in 0..1000 {
        let _ = limits.admit(Micros(0), CustomerNo(0), false);
        limits.release(Micros(0), CustomerNo(0), Micros(MS), false);
        // Each is repeated three times.
        for _ in 0..3 {
            if limits.admit(Micros(0), CustomerNo(0), true).is_ok() {
                got += 1;
                limits.release(Micros(0), CustomerNo(0), Micros(MS), false);
            }
        }
    }
    assert!((100..=103).contains(&got), "{got} retries of 3000");
    assert!(
        limits.admit(Micros(0), CustomerNo(1), true).is_ok(),
        "another tenant's are its own"
    );
}

#[test]
fn the_limit_shrinks_while_answers_are_late_and_grows_while_it_is_used_up() {
    let mut limits = Limits::new(
        vec![tenant_config()],
        SharedLimitConfig {
            initial: 50,
            min: 5,
            max: 80,
        },
    );
    let mut round = |now: u64, late: bool| {
        let mut taken = 0;
        while limits.admit(Micros(now), CustomerNo(0), false).is_ok() {
            taken += 1;
        }
        (0..taken).for_each(|_| limits.release(Micros(now), CustomerNo(0), Micros(MS), late));
        limits.limit()
    };
    let late: Vec<usize> = (0..40).map(|at| round(at * S, true)).collect();
    assert!(late[0] < 50 && late[39] == 5, "{late:?}");
    let good: Vec<usize> = (40..120).map(|at| round(at * S, false)).collect();
    assert!(good[79] == 80 && good.is_sorted(), "{good:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn all_that_is_admitted_is_released_whatever_the_order(
        steps in proptest::collection::vec((0u16..6, any::<bool>(), 0u64..200, any::<bool>()), 1..300)
    ) {
        let tenants: Vec<TenantConfig> =
            (0..5).map(|at| TenantConfig { weight: 1.0 + f64::from(at), max_in_flight: 4 + at as usize, ..tenant_config() }).collect();
        let mut limits = Limits::new(tenants.clone(), SharedLimitConfig { initial: 10, min: 2, max: 30 });
        let (mut now, mut held) = (Micros(0), Vec::new());
        for (tenant, takes, later, late) in steps {
            now += Micros(later * MS);
            let tenant = CustomerNo(tenant);
            if takes {
                match limits.admit(now, tenant, late) {
                    Ok(()) => held.push((tenant, now)),
                    Err(rejection) => prop_assert!(rejection.retry_after().0 <= 60 * S),
                }
            } else if !held.is_empty() {
                let (tenant, since) = held.swap_remove(later as usize % held.len());
                limits.release(now, tenant, now.since(since), late);
            }
            prop_assert_eq!(limits.in_flight(), held.len());
            for (at, of) in tenants.iter().enumerate() {
                let count = held.iter().filter(|(tenant, _)| usize::from(tenant.0) == at).count();
                prop_assert!(count <= of.max_in_flight);
                prop_assert_eq!(limits.tenant_in_flight(CustomerNo(at as u16)), Some(count));
            }
        }
        for (tenant, since) in held {
            limits.release(now, tenant, now.since(since), false);
        }
        prop_assert_eq!(limits.in_flight(), 0);
        prop_assert!(limits.admit(now + Micros(60 * S), CustomerNo(0), false).is_ok(), "nobody is shut out for good");
    }
}
