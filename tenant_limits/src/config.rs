//! The settings of the limits: those of each tenant, and the limit that all tenants share.

use serde::Deserialize;

/// The limits of one tenant.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TenantConfig {
    /// The tenant's share of the shared limit while that is reached, relative to the weights of the other tenants.
    pub weight: f64,
    /// Limit of queries in flight.
    #[serde(rename = "in_hand")]
    pub max_in_flight: usize,
    /// Average limit of queries per second: the rate at which the token bucket fills.
    pub per_second: f64,
    /// Queries that the tenant may start at once after a pause: the size of the token bucket.
    pub burst: f64,
    /// What each query that is not a retry adds to the retry budget of the tenant's clients.
    #[serde(rename = "repeats")]
    pub retries_per_query: f64,
}

impl TenantConfig {
    /// For a tenant that is no longer in the settings: it may start no query.
    pub(crate) const NO_QUERIES: TenantConfig = TenantConfig {
        weight: 0.0,
        max_in_flight: 0,
        per_second: 0.0,
        burst: 0.0,
        retries_per_query: 0.0,
    };
}

/// The shared limit on the queries in flight of all tenants together. It adapts between two bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct SharedLimitConfig {
    /// The limit at the start of the process.
    #[serde(rename = "begins")]
    pub initial: usize,
    /// Lower bound of the limit.
    #[serde(rename = "least")]
    pub min: usize,
    /// Upper bound of the limit.
    #[serde(rename = "most")]
    pub max: usize,
}
