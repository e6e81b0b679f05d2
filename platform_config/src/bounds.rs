//! The names and limits for the program that runs the routing engine.

use serde_json::Value;
use ternpick::types::Micros;

use crate::json::{count, list, micros, names, number, texts};

/// Names as they appear in messages, and the limits of queries and connections. `None` means that a limit is not set.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// The names of the indexes, by index number.
    pub index_names: Vec<String>,
    /// The names of the zones, by zone number.
    pub zone_names: Vec<String>,
    /// The names of the customers, by customer number: in the order of the quotas.
    pub customer_names: Vec<String>,
    /// The names of the values in a load report, in the order of the routing engine's load metrics.
    pub load_metric_names: Vec<String>,
    /// The number of shards of an index.
    pub shard_count: Option<u32>,
    /// Queries and shard requests, counted together, that may be in flight.
    pub max_in_flight: Option<usize>,
    /// Shard requests that one call to a node may bundle.
    pub max_shard_requests_per_call: usize,
    /// Attempts in flight on one connection to a node.
    pub max_attempts_per_connection: usize,
    /// Time limit for establishing a connection to a node.
    pub dial_timeout: Option<Micros>,
    /// Time after which a node closes an idle connection.
    pub idle_timeout: Option<Micros>,
    /// The longest deadline of all indexes: no client waits longer for an answer.
    pub longest_deadline: Option<Micros>,
    /// The longest time that a router may let pass without polling the endpoint list.
    pub max_poll_interval: Option<Micros>,
}

/// Reads the names and limits. The two limits that are counts per call and per connection are 1 if absent; every other
/// limit that is absent is not set.
pub fn bounds(settings: &Value) -> Bounds {
    let limits = &settings["ceilings"];
    let extra = &settings["extra"];
    Bounds {
        index_names: names(settings, "classes"),
        zone_names: texts(settings, "areas"),
        customer_names: names(settings, "projects"),
        load_metric_names: texts(&settings["report"], "columns"),
        shard_count: number(extra, "shards").map(|count| count as u32),
        max_in_flight: count(limits, "mostHeld"),
        max_shard_requests_per_call: count(extra, "bundleMax").unwrap_or(1),
        max_attempts_per_connection: count(limits, "streamsPerConn").unwrap_or(1),
        dial_timeout: micros(limits, "dialTimeout"),
        idle_timeout: micros(limits, "idleClose"),
        longest_deadline: list(settings, "classes")
            .iter()
            .filter_map(|row| micros(row, "deadline"))
            .max(),
        max_poll_interval: micros(&settings["rules"], "askWithin"),
    }
}
