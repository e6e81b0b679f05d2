//! The settings: what each tenant may have, and all of them together.

use serde::Deserialize;

/// What one tenant may have.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct TenantConfig {
    /// Its share where the shared limit is reached, against the weights of the other tenants.
    pub weight: f64,
    /// Queries in flight at a time.
    #[serde(rename = "in_hand")]
    pub max_in_flight: usize,
    /// Queries a second, on average.
    pub per_second: f64,
    /// Queries that it may start at once after a pause.
    pub burst: f64,
    /// Retries by its clients, for each query that is none.
    #[serde(rename = "repeats")]
    pub retries_per_query: f64,
}

impl TenantConfig {
    /// For a tenant that the settings no longer name.
    pub(crate) const NO_QUERIES: TenantConfig = TenantConfig {
        weight: 0.0,
        max_in_flight: 0,
        per_second: 0.0,
        burst: 0.0,
        retries_per_query: 0.0,
    };
}

/// The shared limit: queries of all tenants together that may be in flight. It adapts between two bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct SharedLimitConfig {
    /// Where the limit starts.
    #[serde(rename = "begins")]
    pub initial: usize,
    /// Its lower bound.
    #[serde(rename = "least")]
    pub min: usize,
    /// Its upper bound.
    #[serde(rename = "most")]
    pub max: usize,
}
