//! The snapshot that the old process of a hot restart hands to the new process.

use ternpick::types::{CustomerNo, Micros};
use ternpick_tenant_limits::{
    Limits, LimitsSnapshot, SharedLimitConfig, TenantConfig, TenantCounts,
};

fn limits() -> Limits {
    let config = TenantConfig {
        weight: 1.0,
        max_in_flight: 2,
        per_second: 1.0,
        burst: 10.0,
        retries_per_query: 0.5,
    };
    let shared = SharedLimitConfig {
        initial: 8,
        min: 2,
        max: 100,
    };
    Limits::new(vec![config], shared)
}

#[test]
fn a_snapshot_is_encoded_by_position_with_tenant_counts_as_pairs() {
    let snapshot = LimitsSnapshot {
        tenants: vec![TenantCounts {
            tokens: 1.5,
            retries: 2.5,
        }],
        limit: 7.0,
        in_flight: vec![3],
    };
    let pairs = (vec![(1.5, 2.5)], 7.0, vec![3_usize]);
    let bytes = postcard::to_stdvec(&snapshot).expect("bytes");
    assert_eq!(bytes, postcard::to_stdvec(&pairs).expect("bytes"));
    let read: LimitsSnapshot = postcard::from_bytes(&bytes).expect("counts");
    assert_eq!(read, snapshot);
}

#[test]
fn queries_of_the_old_process_count_until_it_has_drained() {
    let tenant = CustomerNo(0);
    let now = Micros(0);
    let mut old = limits();
    assert!(old.admit(now, tenant, false).is_ok());
    assert!(old.admit(now, tenant, false).is_ok());
    let mut new = limits();
    new.restore(now, &old.snapshot(now));
    assert!(new.admit(now, tenant, false).is_err());
    new.other_process_drained();
    assert!(new.admit(now, tenant, false).is_ok());
}
