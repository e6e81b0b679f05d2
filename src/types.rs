//! Ids, times and the plain state that the decision module keeps. No value that tunes a decision lives here.

use crate::slow_start::Started;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::{Add, AddAssign};

use nanorand::WyRand;

macro_rules! id {
    ($($(#[$doc:meta])* $name:ident($inner:ty)),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A time, or a span of time, in whole microseconds.
    Micros(u64),
    QueryId(u64),
    /// The number that a lookup's parts name their lookup by.
    WireQueryNo(u64),
    ShardRequestId(u64),
    /// A node's address and port, as one opaque number.
    NodeId(u64),
    ShardNo(u32),
    ShardGroupNo(u32),
    IndexNo(u8),
    CustomerNo(u16),
    ZoneNo(u16),
    /// The number of a part call among those of its part, from 0.
    AttemptNo(u8),
    TimerId(u64),
}

impl IndexNo {
    pub fn at(self) -> usize {
        self.0.into()
    }
}

impl Micros {
    /// The time from `earlier` to this one; zero if `earlier` lies ahead.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }

    /// How many times `other` goes into this time.
    pub fn over(self, other: Micros) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

/// What a repeat of a part does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySemantics {
    #[default]
    Idempotent,
    /// Dropped within the window that starts at the first part call that may have run.
    Fingerprinted(Micros),
    OnceOnly,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    LatencyMs,
    Queue,
    /// Parts served a second.
    Rate,
    Unread,
}

/// How nodes report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    InAnswers,
    OnProbe,
    #[default]
    Off,
}

/// How a part call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    Satisfied,
    /// Failed; it may have run.
    MayHaveRun,
    /// The connection broke while it was out; it may have run.
    Broken,
    /// Stopped at our own word; it may have run and says nothing about the node.
    Cancelled,
    /// Failed at the node and certainly never ran.
    NeverRan,
    /// Never left the router.
    Unsent,
}

/// Why the module calls again or ends a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionReason {
    /// A part without a call out is called again.
    Retry,
    /// A late part is called at a second node.
    Hedge,
    /// Predicted to be late: refused at admission.
    Shed,
    /// Its time is nearly up.
    Deadline,
    /// What may still come is too little.
    Exhausted,
    /// It brings nodes down.
    Deadly,
    /// Whole.
    Whole,
    /// Answered with what is in.
    Partial,
}

/// A node's standing in the roster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Gone,
}

/// One row of the roster.
#[derive(Clone, Copy, Debug, Default)]
pub struct Endpoint {
    pub node: NodeId,
    pub zone: ZoneNo,
    pub shard_group: ShardGroupNo,
    pub state: EndpointState,
    /// Its last start; zero: long ago.
    pub started_at: Micros,
}

/// A row of the table of what differs by index.
#[derive(Clone, Debug, Default)]
pub struct IndexConfig {
    pub latency_objective: Micros,
    pub priority_weight: f64,
    pub retry_semantics: RetrySemantics,
    pub required_weight: f64,
    pub min_weight: f64,
    pub second_phase_size: usize,
    /// Lookups of it have come to this router.
    pub has_queries: bool,
    /// What a policy of the fleet says beyond the rest, never more than that allows; a `None` says nothing.
    /// From a lookup's coming on: when to answer with what is in.
    pub partial_response_after: Option<Micros>,
    /// Calls for a part.
    pub max_attempts: Option<usize>,
    /// A late part has no second call beside the first.
    pub hedging_disabled: bool,
    /// Further calls within the budget's window: so many, and a share of what was taken.
    pub retry_budget: Option<(f64, f64)>,
}

/// The terms of service that a router reads at its start. A `None` is a limit that is not set.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    pub indexes: Vec<IndexConfig>,
    /// Lookups a second within each customer's share, over all routers.
    pub quotas: Vec<f64>,
    pub over_quota_weight: f64,
    pub router_count: f64,
    pub zone: ZoneNo,
    /// Price of a part that crosses zones, as a share of its gain.
    pub cross_zone_cost: f64,
    /// Price of lookups that all end late, and of work in vain, as shares of the gain; where they are told.
    pub wasted_work_cost: Option<f64>,
    pub shard_group_count: u32,
    pub groups_per_shard: u32,
    pub attempt_cost: Micros,
    pub load_metrics: Vec<LoadMetric>,
    pub load_reporting: LoadReporting,
    pub health_checks: bool,
    pub discovery_is_polled: bool,
    pub max_attempts: Option<usize>,
    pub hedging: bool,
    pub cancellation: bool,
    pub max_retry_after: Option<Micros>,
    pub tick: Micros,
    /// How long a call may wait for its connection.
    pub connect_timeout: Micros,
    pub slow_start_initial_share: f64,
    pub slow_start_duration: Micros,
    pub overload_multiple: f64,
    pub overload_window: Micros,
    pub retry_budget_min: f64,
    pub retry_budget_ratio: f64,
    pub retry_budget_window: Option<Micros>,
}

/// A part call that is still out.
#[derive(Clone, Copy, Debug, Default)]
pub struct InFlightAttempt {
    /// The lookup and the place of the part among its parts.
    pub query: QueryId,
    pub request_index: usize,
    pub index: IndexNo,
    pub sent_at: Micros,
    pub z: f64,
    /// This router's parts out at the node when it was sent, itself included.
    pub depth_when_sent: f64,
}

/// How a node serves one index, as this router has seen it.
#[derive(Clone, Copy, Debug, Default)]
pub struct IndexHealth {
    /// Smoothed share of calls that failed, and when that last changed.
    pub failure_rate: f64,
    /// Smoothed time that a call loses to failures, in microseconds.
    pub failure_cost: f64,
    pub updated_at: Micros,
    /// Its last answer.
    pub last_answer: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Node {
    pub endpoint: Endpoint,
    /// Its start as claimed, and by this router's clock.
    pub started: Started,
    /// When this router heard of its last start.
    pub notified_at: Micros,
    /// Breaks ties between equal costs.
    pub tie_breaker: u32,
    /// Smoothed reported latency or queue length.
    pub reported_load: Option<f64>,
    /// The highest rate that it has reported, in parts a second.
    pub max_reported_rate: f64,
    /// Smoothed answer latency as this router has seen it, in microseconds, and when that last changed.
    pub latency: Option<f64>,
    pub latency_updated_at: Micros,
    /// How it stands by index; filled at its first return.
    pub index_health: Vec<IndexHealth>,
    /// Smoothed answer latency for each part of this router's that was out, in microseconds.
    pub latency_per_request: Option<f64>,
    /// The index for which it is doubted.
    pub suspected_for: Option<IndexNo>,
    pub last_health_check: Option<Micros>,
    /// Part calls out; each is taken off when it returns.
    pub in_flight: BTreeMap<(ShardRequestId, AttemptNo), InFlightAttempt>,
    /// What another process of this router had out here, and when that was told; emptied when that one is
    /// done.
    pub in_flight_elsewhere: (Micros, Vec<InFlightAttempt>),
    /// The call that went on a rested connection, while nothing is known of it.
    pub attempt_on_idle_connection: Option<(ShardRequestId, AttemptNo)>,
    /// Parts sent of late; emptied by age.
    pub recent_sends: VecDeque<(Micros, f64)>,
}

impl Node {
    /// What is out here, and up to when that is known.
    pub fn all_in_flight(&self, now: Micros) -> impl Iterator<Item = (&InFlightAttempt, Micros)> {
        let abroad = self
            .in_flight_elsewhere
            .1
            .iter()
            .map(|owed| (owed, self.in_flight_elsewhere.0));
        self.in_flight
            .values()
            .map(move |owed| (owed, now))
            .chain(abroad)
    }

    /// For how long nothing has gone between this router and the node, if ever something has.
    pub fn idle_time(&self, now: Micros) -> Micros {
        let last = self
            .recent_sends
            .back()
            .map(|(at, _)| (*at).max(self.latency_updated_at));
        last.filter(|_| self.in_flight.is_empty())
            .map_or(Micros(0), |last| now.since(last))
    }

    /// Our parts out, in parts of the mean size.
    pub fn in_flight_cost(&self) -> f64 {
        self.all_in_flight(Micros(0)).map(|(owed, _)| owed.z).sum()
    }

    pub fn health(&self, index: IndexNo) -> IndexHealth {
        self.index_health
            .get(index.at())
            .copied()
            .unwrap_or_default()
    }
}

#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    pub node: NodeId,
    pub sent_at: Micros,
    /// `None` while it is out.
    pub outcome: Option<AttemptOutcome>,
}

#[derive(Clone, Debug, Default)]
pub struct ShardRequest {
    pub id: ShardRequestId,
    pub shard: ShardNo,
    pub weight: f64,
    pub cost_hint: Option<Micros>,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    /// Not called again before: the last call never left, for want of something here.
    pub retry_not_before: Micros,
}

#[derive(Clone, Debug, Default)]
pub struct Query {
    pub id: QueryId,
    pub wire_no: WireQueryNo,
    /// A client's repeat of an earlier lookup, as far as clients say so.
    pub is_client_retry: bool,
    pub index: IndexNo,
    /// Its index's row as it was when it was admitted: a change of policy finds it under the old one to its
    /// end.
    pub config: IndexConfig,
    /// When it is answered with what is in.
    pub partial_response_at: Micros,
    pub customer: CustomerNo,
    /// When its gain falls, and when its client leaves.
    pub soft_deadline: Micros,
    pub deadline: Micros,
    /// The time that its client gave it.
    pub time_allowed: Micros,
    /// Parts of the present step that are to come in all.
    pub expected_requests: usize,
    pub requests: Vec<ShardRequest>,
    pub placed: bool,
    pub in_second_phase: bool,
    pub first_phase_complete: bool,
}

impl Attempt {
    pub fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
        )
    }
}

impl ShardRequest {
    /// Calls that left, or may yet, and those that never did.
    pub fn attempt_counts(&self) -> (usize, usize) {
        let unsent = self
            .attempts
            .iter()
            .filter(|c| c.outcome == Some(AttemptOutcome::Unsent))
            .count();
        (self.attempts.len() - unsent, unsent)
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|c| c.outcome.is_none()).count()
    }
}

impl Query {
    /// All parts of its step have come.
    pub fn all_requests_received(&self) -> bool {
        self.requests.len() >= self.expected_requests && self.expected_requests > 0
    }

    pub fn answered_weight(&self) -> f64 {
        self.requests
            .iter()
            .filter(|p| p.answered)
            .map(|p| p.weight)
            .sum()
    }

    /// When each call that is out was made.
    pub fn in_flight_since(&self) -> impl Iterator<Item = Micros> + '_ {
        let calls = self.requests.iter().flat_map(|p| &p.attempts);
        calls.filter(|c| c.outcome.is_none()).map(|c| c.sent_at)
    }

    /// Nodes at which connections broke under it.
    pub fn nodes_with_broken_connections(&self) -> usize {
        let broken = |c: &&Attempt| c.outcome == Some(AttemptOutcome::Broken);
        let calls = self
            .requests
            .iter()
            .flat_map(|p| &p.attempts)
            .filter(broken);
        calls.map(|c| c.node).collect::<BTreeSet<_>>().len()
    }

    /// What it has in common with its repeats.
    pub fn fingerprint(&self) -> QueryFingerprint {
        (
            self.index,
            self.customer,
            self.requests.iter().map(|p| p.shard).collect(),
        )
    }

    /// No part of it, in either step, has been answered.
    pub fn is_unanswered(&self) -> bool {
        self.answered_weight() == 0.0 && !self.in_second_phase
    }

    /// No node has fallen under it, or one has outlived it.
    pub fn is_survivable(&self) -> bool {
        !self.is_unanswered() || self.nodes_with_broken_connections() == 0
    }
}

/// Index, customer and shards of a lookup.
pub type QueryFingerprint = (IndexNo, CustomerNo, Vec<ShardNo>);

/// The cost model's figures at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetStatistics {
    pub mean_o: f64,
    pub m: f64,
    /// The middle node's answer latency, in microseconds, and its pace.
    pub median_latency: Option<f64>,
    pub median_latency_per_request: f64,
    /// Parts a second that a warm node surely does.
    pub warm_rate: f64,
}

/// Where the parts of a lookup go, and which of their weight is predicted in time.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    pub assignments: Vec<(usize, NodeId)>,
    pub weight_in_time: f64,
    pub slowest_latency: f64,
}

/// What a rule has found to act on; a rule reads what it fills in.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuleMatch {
    pub query: QueryId,
    pub request_index: usize,
    pub node: NodeId,
    pub index: IndexNo,
}

/// A router's own source of chance.
pub struct RandomSource(pub WyRand);

impl RandomSource {
    pub fn new(seed: u64) -> Self {
        RandomSource(WyRand::new_seed(seed))
    }
}

impl Default for RandomSource {
    fn default() -> Self {
        RandomSource::new(0)
    }
}
