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
    pub columns: Vec<String>,
    /// How many shards an index has.
    pub shards: Option<u32>,
    /// Queries, and shard requests, held at a time.
    pub most_held: Option<usize>,
    /// Shard requests that one call may bundle.
    pub parts_a_call: usize,
    /// Calls in flight on one connection.
    pub parts_a_connection: usize,
    /// How long establishing a connection may take.
    pub dial_timeout: Option<Micros>,
    /// After how long an idle connection is closed.
    pub idle_close: Option<Micros>,
    /// The longest that any client waits for an answer.
    pub longest_deadline: Option<Micros>,
    /// How long a router may go without polling the endpoint list.
    pub ask_within: Option<Micros>,
}

/// Reads the bounds. Whatever the settings do not say is not limited.
pub fn bounds(settings: &Value) -> Bounds {
    let limits = &settings["ceilings"];
    let extra = &settings["extra"];
    Bounds {
        index_names: names(settings, "classes"),
        zone_names: texts(settings, "areas"),
        customer_names: names(settings, "projects"),
        columns: texts(&settings["report"], "columns"),
        shards: number(extra, "shards").map(|shards| shards as u32),
        most_held: count(limits, "mostHeld"),
        parts_a_call: count(extra, "bundleMax").unwrap_or(1),
        parts_a_connection: count(limits, "streamsPerConn").unwrap_or(1),
        dial_timeout: micros(limits, "dialTimeout"),
        idle_close: micros(limits, "idleClose"),
        longest_deadline: list(settings, "classes")
            .iter()
            .filter_map(|row| micros(row, "deadline"))
            .max(),
        ask_within: micros(&settings["rules"], "askWithin"),
    }
}
