//! The settings of maintenance, as the key `fleet.works` of the settings file gives them.

use serde::{Deserialize, Serialize};

use crate::disruption_budget::Limits;

/// Spans are in microseconds, shares from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MaintenanceConfig {
    /// How many machines may be missing.
    #[serde(flatten)]
    pub limits: Limits,
    /// How long past the end of its lease a router may still act on a query: the longest deadline there is. In microseconds;
    /// the router compares it with its deadlines at its start.
    #[serde(rename = "lingers")]
    pub in_flight_grace_us: u64,
    /// A machine that has not shown that it serves load for so long after its permit was given back stays out of service.
    #[serde(rename = "back_within")]
    pub return_timeout_us: u64,
    /// Nothing more goes out before nothing has been wrong for so long.
    #[serde(rename = "calm")]
    pub stabilization_us: u64,
    /// Maintenance pauses while more than this share of queries is late, failed or rejected. It resumes below half of it.
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
