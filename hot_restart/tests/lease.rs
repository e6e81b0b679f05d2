//! The division of the router's capacity between the old and the new process.

use proptest::prelude::*;
use ternpick_hot_restart::{retained_places, Lease};

type Fields = (u32, u32, u32, u64);

fn lease((in_flight, retries, descriptors, memory_bytes): Fields) -> Lease {
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
    fn all_places_in_use_and_at_most_a_quarter_of_the_free_ones_are_retained(capacity: u32, in_use: u32, may_arrive: u32) {
        let retained = retained_places(capacity, in_use, may_arrive);
        let free = capacity.saturating_sub(in_use);
        prop_assert!(retained >= in_use.min(capacity));
        prop_assert!(capacity - retained >= free - free / 4);
        prop_assert!(retained - in_use.min(capacity) <= may_arrive);
    }

    #[test]
    fn the_parts_of_a_split_lease_add_up_to_the_whole(capacity in any::<Fields>(), in_use in any::<Fields>()) {
        let capacity = lease(capacity);
        let split = capacity.split(lease(in_use));
        prop_assert_eq!(split.retained.combine(split.granted), capacity);
        prop_assert!(split.retained.fits_within(capacity));
        prop_assert!(split.granted.fits_within(capacity));
    }
}
