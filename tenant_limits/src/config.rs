//! The settings: what each tenant may have, and all of them together.

use serde::Deserialize;

/// What one tenant may have.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Terms {
    /// Its share where the shared limit is reached, against the weights of the other tenants.
    pub weight: f64,
    /// Queries in flight at a time.
    pub in_hand: usize,
    /// Queries a second, on average.
    pub per_second: f64,
    /// Queries that it may start at once after a pause.
    pub burst: f64,
    /// Retries by its clients, for each query that is none.
    pub repeats: f64,
}

impl Terms {
    /// For a tenant that the settings no longer name.
    pub(crate) const NOTHING: Terms = Terms {
        weight: 0.0,
        in_hand: 0,
        per_second: 0.0,
        burst: 0.0,
        repeats: 0.0,
    };
}

/// The shared limit: queries of all tenants together that may be in flight. It adapts between two bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
pub struct Whole {
    /// Where the limit starts.
    pub begins: usize,
    /// Its lower bound.
    pub least: usize,
    /// Its upper bound.
    pub most: usize,
}
