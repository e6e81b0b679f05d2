//! A router's report about machines under maintenance. The router sends it to the leader with each lease request.

use serde::{Deserialize, Serialize};
use ternpick_fleet_policy::Index;

/// One router's report. Each report is complete: a newer one replaces the older one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RouterReport {
    /// The log index up to which the router has applied the agreed list of machines that are out.
    #[serde(rename = "goes_by")]
    pub applied_index: Index,
    /// The machines of that list to which the router still has a shard request in flight.
    pub busy: Vec<String>,
    /// Machines that the router considers unhealthy: not listed as ready, just started, or failing. The router limits
    /// the length of this list.
    #[serde(rename = "unsound")]
    pub unhealthy: Vec<String>,
    /// The number of unhealthy machines that are not in the list `unhealthy`.
    #[serde(rename = "more")]
    pub unlisted_unhealthy: u32,
    /// Returning machines that have answered this router since they may be used again.
    #[serde(rename = "bear")]
    pub serving: Vec<String>,
    /// Returning machines that are healthy, have not answered this router yet, and have none of its shard requests in
    /// flight.
    pub idle: Vec<String>,
    /// Shard requests per second, over the period of the router's latest samples.
    #[serde(rename = "calls")]
    pub requests_per_second: u32,
    /// Queries that finished in that period.
    pub answered: u32,
    /// Of the finished queries, those that were late, failed or rejected.
    pub late: u32,
}

impl RouterReport {
    /// Encodes the report as postcard, for a lease request.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes the output of [`RouterReport::encode`]; `None` if the bytes are malformed.
    pub fn decode(bytes: &[u8]) -> Option<RouterReport> {
        postcard::from_bytes(bytes).ok()
    }
}
