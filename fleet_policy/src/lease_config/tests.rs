use super::*;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_lease_has_expired_by_every_pair_of_clocks_within_the_drift(
        lease in 1000u64..100_000_000, drift in 0u64..200_000, slow in 0.0f64..=1.0, fast in 0.0f64..=1.0
    ) {
        let config = LeaseConfig { lease_us: lease, drift_ppm: drift, ..LeaseConfig::default() };
        let d = drift as f64 / 1e6;
        // The real time that passes while the holder's clock counts `lease`.
        let really = lease as f64 / (1.0 - d * slow);
        let counted = config.certainly_expired_after().0 as f64 / (1.0 + d * fast);
        prop_assert!(counted >= really - 0.001, "{counted} < {really}");
    }
}
