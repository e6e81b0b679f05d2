//! The maintenance settings, from the key `fleet.works` of the settings file.

use serde::{Deserialize, Serialize};

use crate::disruption_budget::Limits;

/// The maintenance settings. Durations are in microseconds, shares from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceConfig {
    /// The limits of the disruption budget.
    #[serde(flatten)]
    pub limits: Limits,
    /// How long a router may still act on a query after its lease has ended. This has to be at least the longest
    /// deadline of a query; the router checks that when it starts.
    #[serde(rename = "lingers")]
    pub in_flight_grace_us: u64,
    /// A machine that does not serve load within this time after its permit was given back stays out of service.
    #[serde(rename = "back_within")]
    pub return_timeout_us: u64,
    /// The stabilization time: how long no reason to pause must have existed before a machine is taken
    /// out or an automatic pause ends. An idle machine counts as serving after the same time.
    #[serde(rename = "calm")]
    pub stabilization_us: u64,
    /// Maintenance pauses if more than this share of queries is late, failed or rejected. It resumes when the share is
    /// at most half of this limit.
    #[serde(rename = "late_over")]
    pub max_late_share: f64,
}

impl Default for MaintenanceConfig {
    fn default() -> Self {
        MaintenanceConfig {
            limits: Limits::default(),
            in_flight_grace_us: 10_000_000,
            return_timeout_us: 600_000_000,
            stabilization_us: 5_000_000,
            max_late_share: 0.1,
        }
    }
}
