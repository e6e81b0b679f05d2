//! What the program around the decision module keeps to.

use serde_json::Value;
use ternpick::types::Micros;

use crate::json::{count, list, micros, names, number, texts};

/// Names as peers use them, and the limits of queries and connections. A `None` is a limit that is not set.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    /// By index number.
    pub index_names: Vec<String>,
    /// By zone number.
    pub zone_names: Vec<String>,
    /// By customer number, in the order of the quotas.
    pub customer_names: Vec<String>,
    /// The figures of a load report, in the order of the decision module's load metrics.
    pub load_metric_names: Vec<String>,
    /// How many shards an index has.
    pub shard_count: Option<u32>,
    /// Queries, and shard requests, held at a time.
    pub max_in_flight: Option<usize>,
    /// Shard requests that one call may bundle.
    pub max_shard_requests_per_call: usize,
    /// Calls in flight on one connection.
    pub max_attempts_per_connection: usize,
    /// How long establishing a connection may take.
    pub dial_timeout: Option<Micros>,
    /// After how long an idle connection is closed.
    pub idle_timeout: Option<Micros>,
    /// The longest that any client waits for an answer.
    pub longest_deadline: Option<Micros>,
    /// How long a router may go without polling the endpoint list.
    pub max_poll_interval: Option<Micros>,
}

/// Reads the bounds. Whatever the settings do not say is not limited.
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
