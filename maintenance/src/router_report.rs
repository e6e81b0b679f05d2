//! What a router says of the works, with each request for its lease.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Index;

/// A router's word. All that it says is its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouterReport {
    /// It goes by the machines' being out that was agreed up to this place.
    pub goes_by: Index,
    /// Of those, where it still has something out.
    pub busy: Vec<String>,
    /// Machines that do not bear load as it sees them: not listed as ready, just started, failing. At most so many are
    /// named; `more` counts the rest.
    pub unsound: Vec<String>,
    pub more: u32,
    /// Machines in work whose answers show that they bear load.
    pub bear: Vec<String>,
    /// Those that would bear load, as far as discovery knows, and to which nothing has gone.
    pub idle: Vec<String>,
    /// Of late: part calls a second; lookups that it answered, and those of them that were late, failed or refused.
    pub calls: u32,
    pub answered: u32,
    pub late: u32,
}

impl RouterReport {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    pub fn decode(bytes: &[u8]) -> Option<RouterReport> {
        postcard::from_bytes(bytes).ok()
    }
}
