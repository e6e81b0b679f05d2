//! A node as this router knows it: its endpoint, what is in flight to it, and what its answers have shown.
//! The figures are interpreted in [`crate::routing`].

use std::collections::{BTreeMap, VecDeque};

use crate::ids::{AttemptNo, IndexNo, NodeId, QueryId, ShardGroupNo, ShardRequestId, ZoneNo};
use crate::start_time::StartTime;
use crate::time::Micros;

/// A node's state in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes requests.
    #[default]
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// One row of the endpoint list.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    /// The node.
    pub node: NodeId,
    /// Where it runs.
    pub zone: ZoneNo,
    /// The group whose shards it holds.
    pub shard_group: ShardGroupNo,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// Its last start; zero: long ago.
    pub started_at: Micros,
}

/// An attempt that is in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightAttempt {
    /// Its query.
    pub query: QueryId,
    /// The place of its request among those of the query.
    pub request_index: usize,
    /// The index that it asks.
    pub index: IndexNo,
    /// When it was sent.
    pub sent_at: Micros,
    /// Its cost, in requests of the mean cost (z of the cost model).
    pub z: f64,
    /// The cost in flight from this router to the node when it was sent, its own included.
    pub depth_when_sent: f64,
}

/// What another process of this router has in flight to a node.
#[derive(Clone, Debug, Default)]
pub struct InFlightElsewhere {
    /// When that was reported: ages are known up to then.
    pub reported_at: Micros,
    /// The attempts. Emptied when the other process is done.
    pub attempts: Vec<InFlightAttempt>,
}

/// How a node serves one index, as this router has seen it.
#[derive(Clone, Copy, Debug, Default)]
pub struct IndexHealth {
    /// Smoothed share of attempts that failed.
    pub failure_rate: f64,
    /// Smoothed time that an attempt loses to failures, in microseconds.
    pub failure_cost: f64,
    /// When these last changed.
    pub updated_at: Micros,
    /// Its last answer.
    pub last_answer: Micros,
}

/// A request that was sent to a node not long ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecentSend {
    /// When.
    pub at: Micros,
    /// Its cost, in requests of the mean cost.
    pub cost: f64,
}

/// A node as this router knows it.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Its row of the endpoint list.
    pub endpoint: Endpoint,
    /// Its start as claimed, and by this router's clock.
    pub started: StartTime,
    /// When this router was notified of its last start.
    pub notified_at: Micros,
    /// Breaks ties between equal costs.
    pub tie_breaker: u32,
    /// Smoothed reported latency or queue length.
    pub reported_load: Option<f64>,
    /// The highest rate that it has reported, in requests a second.
    pub max_reported_rate: f64,
    /// Smoothed answer latency as this router has seen it, in microseconds.
    pub latency: Option<f64>,
    /// When that last changed.
    pub latency_updated_at: Micros,
    /// How it serves each index; filled when its first attempt ends.
    pub index_health: Vec<IndexHealth>,
    /// Smoothed answer latency for each request of this router's that was in flight, in microseconds.
    pub latency_per_request: Option<f64>,
    /// The index for which it is suspected to be an outlier.
    pub suspected_for: Option<IndexNo>,
    /// When it was last sent a health check.
    pub last_health_check: Option<Micros>,
    /// Attempts in flight; each is taken off when it ends.
    pub in_flight: BTreeMap<(ShardRequestId, AttemptNo), InFlightAttempt>,
    /// What another process of this router has in flight to it.
    pub in_flight_elsewhere: InFlightElsewhere,
    /// The attempt that went on an idle connection, while nothing is known of it.
    pub attempt_on_idle_connection: Option<(ShardRequestId, AttemptNo)>,
    /// What was sent within the time of a warm-up; emptied by age.
    pub recent_sends: VecDeque<RecentSend>,
}

impl Node {
    /// What is in flight to it, and up to when that is known.
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

    /// For how long nothing has passed between this router and the node; zero if nothing ever has.
    pub fn idle_time(&self, now: Micros) -> Micros {
        let last = self
            .recent_sends
            .back()
            .map(|send| send.at.max(self.latency_updated_at));
        last.filter(|_| self.in_flight.is_empty())
            .map_or(Micros(0), |last| now.since(last))
    }

    /// What this router has in flight to it, in requests of the mean cost.
    pub fn in_flight_cost(&self) -> f64 {
        self.all_in_flight(Micros(0))
            .map(|(attempt, _)| attempt.z)
            .sum()
    }

    /// How it serves an index.
    pub fn health(&self, index: IndexNo) -> IndexHealth {
        self.index_health
            .get(index.as_usize())
            .copied()
            .unwrap_or_default()
    }
}
