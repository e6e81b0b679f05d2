//! The timing of leases and barriers. [`crate::Leader`] and [`crate::LeaseHolder`] read it; the router's settings
//! provide it.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};
use ternpick::types::Micros;

const MILLION: u64 = 1_000_000;
/// A larger drift is treated as this one: the bounds below divide by one million minus the drift.
const MAX_DRIFT_PPM: u64 = 500_000;

/// Timing in microseconds. Each duration is measured by one router's monotonic clock; readings of different clocks are
/// never compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseConfig {
    /// How long a lease lasts by its holder's clock, counted from when the holder sent the request.
    #[serde(rename = "lease")]
    pub lease_us: u64,
    /// The interval at which a router renews its lease.
    #[serde(rename = "renew")]
    pub renew_interval_us: u64,
    /// How much faster or slower than real time a clock may run, in parts per million. The safety rule does not hold
    /// beyond this drift.
    pub drift_ppm: u64,
    /// The longest time that queries wait at admission, counted from when their router paused for a barrier or its lease
    /// expired. With [`LeaseConfig::UNLIMITED_ADMISSION_WAIT`] they wait as long as their own deadlines allow, while a
    /// leader with a majority answers.
    #[serde(rename = "hold")]
    pub max_admission_wait_us: u64,
    /// How long the first barrier of a proposal waits for all members to stop admitting before they all resume; doubled
    /// with each further barrier.
    #[serde(rename = "patience")]
    pub barrier_timeout_us: u64,
    /// Without a lease, the router admits queries under the last known policy and marks the answers. The safety rule of
    /// [`crate`] then no longer holds.
    #[serde(rename = "serve_without")]
    pub serve_without_lease: bool,
    /// A second person has to confirm each proposal.
    #[serde(rename = "confirm")]
    pub confirmation_required: bool,
}

impl Default for LeaseConfig {
    fn default() -> Self {
        LeaseConfig {
            lease_us: 2_000_000,
            renew_interval_us: 500_000,
            drift_ppm: 10_000,
            max_admission_wait_us: 250_000,
            barrier_timeout_us: 150_000,
            serve_without_lease: false,
            confirmation_required: false,
        }
    }
}

impl LeaseConfig {
    /// A value of [`LeaseConfig::max_admission_wait_us`] that sets no limit.
    pub const UNLIMITED_ADMISSION_WAIT: u64 = u64::MAX;

    fn drift(&self) -> u64 {
        self.drift_ppm.min(MAX_DRIFT_PPM)
    }

    /// The time after which a lease has certainly expired, counted by the leader's clock from when it received the
    /// request: the holder's clock may run slow by the drift while the leader's runs fast by it.
    pub fn certainly_expired_after(&self) -> Micros {
        let drift = self.drift();
        Micros((self.lease_us * (MILLION + drift)).div_ceil(MILLION - drift) + 1)
    }

    /// The shortest time that this router's clock can have counted while another one within the drift counted `other_us`
    /// microseconds.
    pub fn min_elapsed_on_own_clock(&self, other_us: u64) -> Micros {
        let drift = self.drift();
        let counted =
            u128::from(other_us) * u128::from(MILLION - drift) / u128::from(MILLION + drift);
        Micros(counted as u64)
    }

    /// A router counts as reachable while its last request is more recent than this.
    pub fn recent_contact_window(&self) -> Micros {
        Micros((self.renew_interval_us * 2).min(self.lease_us))
    }
}
