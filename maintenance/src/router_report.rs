//! What each router reports about machines under maintenance. It goes to the leader with each request for a lease.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Index;

/// One router's report. It is complete in itself: a newer one replaces an older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouterReport {
    /// The router applies the list of machines out that was agreed up to this log index.
    #[serde(rename = "goes_by")]
    pub applied_index: Index,
    /// Machines of that list at which it still has a shard request in flight.
    pub busy: Vec<String>,
    /// Machines that it considers unhealthy: not listed as ready, just started, or failing. Bounded by the reporter.
    #[serde(rename = "unsound")]
    pub unhealthy: Vec<String>,
    /// Unhealthy machines beyond those that `unhealthy` names.
    #[serde(rename = "more")]
    pub unlisted_unhealthy: u32,
    /// Returning machines whose answers show that they serve load.
    #[serde(rename = "bear")]
    pub serving: Vec<String>,
    /// Returning machines that are ready according to discovery, and to which this router has sent nothing.
    pub idle: Vec<String>,
    /// Shard requests a second, over the last few observations.
    #[serde(rename = "calls")]
    pub requests_per_second: u32,
    /// Queries answered in that time.
    pub answered: u32,
    /// Of those, the ones that were late, failed or rejected.
    pub late: u32,
}

impl RouterReport {
    /// The postcard form that goes with a request for a lease.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads what [`RouterReport::encode`] wrote; `None` for bytes of another form.
    pub fn decode(bytes: &[u8]) -> Option<RouterReport> {
        postcard::from_bytes(bytes).ok()
    }
}
