//! The state that this router keeps for each node: its endpoint, the attempts in flight to it, and statistics of
//! its answers. [`crate::routing`] interprets the figures.

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{AttemptNo, IndexNo, NodeId, QueryId, ShardGroupNo, ShardRequestId, ZoneNo};
use crate::start_time::StartTime;
use crate::time::Micros;

/// The state of a node in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// The node accepts requests.
    #[default]
    Ready,
    /// The node finishes the requests that it has and accepts no new ones.
    Draining,
    /// The node is no longer listed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The node at this endpoint.
    pub node: NodeId,
    /// The zone in which the node runs.
    pub zone: ZoneNo,
    /// The shard group whose shards the node holds.
    pub shard_group: ShardGroupNo,
    /// Whether the node accepts requests.
    pub state: EndpointState,
    /// The node's last start; zero if it was long ago.
    pub started_at: Micros,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightAttempt {
    /// The query that the attempt belongs to.
    pub query: QueryId,
    /// The position of the shard request within the query.
    pub request_index: usize,
    /// The index that the query asks.
    pub index: IndexNo,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// The cost of the shard request relative to the mean cost of requests (z of the cost model).
    pub relative_cost: f64,
    /// The cost in flight from this router to the node when the attempt was sent, including the attempt itself.
    pub depth_when_sent: f64,
}

/// The attempts that another process of this router has in flight to a node.
#[derive(Clone, Debug, Default)]
pub struct InFlightElsewhere {
    /// When the attempts were reported. Their ages are known only up to this time.
    pub reported_at: Micros,
    /// The attempts; cleared when the other process has finished.
    pub attempts: Vec<InFlightAttempt>,
}

/// How well a node serves one index, as observed by this router.
#[derive(Clone, Copy, Debug, Default)]
pub struct IndexHealth {
    /// The smoothed share of attempts that failed.
    pub failure_rate: f64,
    /// The smoothed time that an attempt loses to failures, in microseconds.
    pub failure_cost: f64,
    /// When the failure rate and the failure cost were last updated.
    pub updated_at: Micros,
    /// When the node last answered an attempt for the index.
    pub last_answer: Micros,
}

/// An attempt recently sent to a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentSend {
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// The cost of the shard request relative to the mean cost, at least 1.
    pub cost: f64,
}

/// The state that this router keeps for one node.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// The node's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// The node's last start, as claimed by discovery and by this router's clock.
    pub started: StartTime,
    /// When this router was notified of the node's last start.
    pub notified_at: Micros,
    /// A random number that breaks ties between nodes of equal cost.
    pub tie_breaker: u32,
    /// The smoothed latency (in milliseconds) or queue length from load reports.
    pub reported_load: Option<f64>,
    /// The highest rate that the node has reported, in requests per second.
    pub max_reported_rate: f64,
    /// The smoothed answer latency observed by this router, in microseconds.
    pub latency: Option<f64>,
    /// When `latency` was last updated.
    pub latency_updated_at: Micros,
    /// How well the node serves each index; empty until its first attempt ends.
    pub index_health: Vec<IndexHealth>,
    /// The smoothed answer latency divided by the number of this router's requests in flight, in microseconds.
    pub latency_per_request: Option<f64>,
    /// The index for which the node is suspected to be an outlier.
    pub suspected_for: Option<IndexNo>,
    /// When the last health check was sent to the node.
    pub last_health_check: Option<Micros>,
    /// The attempts in flight; each is removed when it ends.
    pub in_flight: BTreeMap<(ShardRequestId, AttemptNo), InFlightAttempt>,
    /// The attempts that another process of this router has in flight to the node.
    pub in_flight_elsewhere: InFlightElsewhere,
    /// The attempt that was sent on an idle connection and whose outcome is still unknown.
    pub attempt_on_idle_connection: Option<(ShardRequestId, AttemptNo)>,
    /// The attempts sent within the duration of slow start; old entries are removed.
    pub recent_sends: VecDeque<RecentSend>,
}

impl Node {
    /// Returns all attempts in flight to the node, each with the time up to which its state is known.
    pub fn all_in_flight(&self, now: Micros) -> impl Iterator<Item = (&InFlightAttempt, Micros)> {
        let elsewhere = &self.in_flight_elsewhere;
        let of_others = elsewhere
            .attempts
            .iter()
            .map(|attempt| (attempt, elsewhere.reported_at));
        self.in_flight
            .values()
            .map(move |attempt| (attempt, now))
            .chain(of_others)
    }

    /// Returns how long nothing has been exchanged between this router and the node; zero if an attempt is in flight
    /// or if none was ever sent.
    pub fn idle_time(&self, now: Micros) -> Micros {
        let last = self
            .recent_sends
            .back()
            .map(|send| send.sent_at.max(self.latency_updated_at));
        last.filter(|_| self.in_flight.is_empty())
            .map_or(Micros(0), |last| now.since(last))
    }

    /// Returns the total cost that this router has in flight to the node, in requests of the mean cost.
    pub fn in_flight_cost(&self) -> f64 {
        self.all_in_flight(Micros(0))
            .map(|(attempt, _)| attempt.relative_cost)
            .sum()
    }

    /// Returns how well the node serves an index.
    pub fn health(&self, index: IndexNo) -> IndexHealth {
        self.index_health
            .get(index.as_usize())
            .copied()
            .unwrap_or_default()
    }
}
