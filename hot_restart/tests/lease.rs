//! The division of a lease.

use proptest::prelude::*;
use ternpick_hot_restart::{retained_places, Lease};

type Parts = (u32, u32, u32, u64);

fn lease((in_flight, retries, descriptors, memory_bytes): Parts) -> Lease {
    Lease {
        in_flight,
        retries,
        descriptors,
        memory_bytes,
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn what_is_in_use_is_kept_and_most_of_what_is_free_is_granted(capacity: u32, in_use: u32, may_come: u32) {
        let kept = retained_places(capacity, in_use, may_come);
        let free = capacity.saturating_sub(in_use);
        prop_assert!(kept >= in_use.min(capacity));
        prop_assert!(capacity - kept >= free - free / 4);
        prop_assert!(kept - in_use.min(capacity) <= may_come);
    }

    #[test]
    fn a_split_grants_nothing_twice_and_loses_nothing(capacity in any::<Parts>(), in_use in any::<Parts>()) {
        let capacity = lease(capacity);
        let split = capacity.split(lease(in_use));
        prop_assert_eq!(split.retained.combine(split.granted), capacity);
        prop_assert!(split.retained.fits_within(capacity));
        prop_assert!(split.granted.fits_within(capacity));
    }
}
