//! The times that leases rest on. [`crate::Leader`] and [`crate::LeaseHolder`] read them; the router's settings set them.

#[cfg(test)]
mod tests;

use serde::{Deserialize, Serialize};
use ternpick::types::Micros;

const MILLION: u64 = 1_000_000;
/// A larger drift is taken as this one: the bounds below divide by what it leaves of a million.
const MAX_DRIFT_PPM: u64 = 500_000;

/// Times in microseconds, each by one router's monotonic clock; no clock is ever compared with another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseConfig {
    /// How long a lease lasts at its holder, from the moment at which it was requested.
    #[serde(rename = "lease")]
    pub lease_us: u64,
    /// How often a router renews its lease.
    #[serde(rename = "renew")]
    pub renew_interval_us: u64,
    /// How much faster or slower than real time a clock may run, in parts per million. Beyond it nothing is guaranteed.
    pub drift_ppm: u64,
    /// How long queries wait at admission, at most, from when their router paused for a barrier; with
    /// [`LeaseConfig::UNLIMITED_ADMISSION_WAIT`] as long as their own deadlines allow, while a leader with a majority answers.
    #[serde(rename = "hold")]
    pub max_admission_wait_us: u64,
    /// How long a barrier waits for all to have stopped admitting before all resume.
    #[serde(rename = "patience")]
    pub barrier_timeout_us: u64,
    /// Where no lease can be had, admit queries under the last known policy and mark the answers. Gives up the rule that
    /// no router admits under a version that another has left.
    #[serde(rename = "serve_without")]
    pub serve_without_lease: bool,
    /// A proposal needs a second person's confirmation.
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
    /// Of [`LeaseConfig::max_admission_wait_us`]: no limit of its own.
    pub const UNLIMITED_ADMISSION_WAIT: u64 = u64::MAX;

    fn drift(&self) -> u64 {
        self.drift_ppm.min(MAX_DRIFT_PPM)
    }

    /// How long after a grant its lease has certainly expired, by the leader's clock: the holder's clock may run slow by
    /// the drift while the leader's runs fast by it.
    pub fn certainly_expired_after(&self) -> Micros {
        let drift = self.drift();
        Micros((self.lease_us * (MILLION + drift)).div_ceil(MILLION - drift) + 1)
    }

    /// The least that this clock has counted while another one, within the drift, counted `other` microseconds.
    pub fn min_elapsed_on_own_clock(&self, other_us: u64) -> Micros {
        let drift = self.drift();
        let counted =
            u128::from(other_us) * u128::from(MILLION - drift) / u128::from(MILLION + drift);
        Micros(counted as u64)
    }

    /// A router whose last request is more recent than this counts as reachable.
    pub fn recent_contact_window(&self) -> Micros {
        Micros((self.renew_interval_us * 2).min(self.lease_us))
    }
}
