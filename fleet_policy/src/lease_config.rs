//! The spans of time that leases rest on.

use serde::{Deserialize, Serialize};
use ternpick::types::Micros;

/// All spans by monotonic clocks; no clock is ever compared with another's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseConfig {
    /// How long a lease lasts at the router that has it, from the moment at which it was asked for.
    pub lease: u64,
    /// How often a router asks for its lease anew.
    pub renew: u64,
    /// How far a clock may run fast or slow, in millionths of the time. Beyond it nothing is promised.
    pub drift_ppm: u64,
    /// How long lookups wait at admission while a change takes hold, before they are refused.
    pub hold: u64,
    /// How long a change that takes hold waits for all to have stopped, before all go on as before.
    pub patience: u64,
    /// Serve on under the last policy known, marked, where no lease is to be had: the rule is given up.
    pub serve_without: bool,
    /// A change needs a second person's word.
    pub confirm: bool,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            lease: 2_000_000,
            renew: 500_000,
            drift_ppm: 10_000,
            hold: 250_000,
            patience: 150_000,
            serve_without: false,
            confirm: false,
        }
    }
}

impl LeaseConfig {
    /// How long after a grant its lease has run out surely, by the granter's clock: its holder's may run slow by the
    /// drift while the granter's runs fast by it.
    pub fn certainly_expired_after(&self) -> Micros {
        let (million, drift) = (1_000_000, self.drift_ppm.min(500_000));
        Micros((self.lease * (million + drift)).div_ceil(million - drift) + 1)
    }

    /// The least that this clock has counted while another, within the drift, counted so much.
    pub fn by_slowest_clock(&self, other: u64) -> Micros {
        let (million, drift) = (1_000_000, self.drift_ppm.min(500_000));
        Micros(
            (u128::from(other) * u128::from(million - drift) / u128::from(million + drift)) as u64,
        )
    }

    /// A router that has been heard from so lately is there.
    pub fn contact_is_recent_for(&self) -> Micros {
        Micros((self.renew * 2).min(self.lease))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn a_lease_is_over_by_every_pair_of_clocks_within_the_drift(
            lease in 1000u64..100_000_000, drift in 0u64..200_000, slow in 0.0f64..=1.0, fast in 0.0f64..=1.0
        ) {
            let terms = LeaseConfig { lease, drift_ppm: drift, ..LeaseConfig::default() };
            let d = drift as f64 / 1e6;
            // The holder's clock counts `lease` while this much time really passes; the granter's counts more or less.
            let really = lease as f64 / (1.0 - d * slow);
            let counted = terms.certainly_expired_after().0 as f64 / (1.0 + d * fast);
            prop_assert!(counted >= really - 0.001, "{counted} < {really}");
        }
    }
}
