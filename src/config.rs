//! What the operators set: the platform's configuration and the row of each index. Values that tune a
//! decision are constants beside that decision, not here.

use crate::ids::ZoneNo;
use crate::time::Micros;

/// What a repeated shard request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySemantics {
    /// Nothing more than the first.
    #[default]
    Idempotent,
    /// It is dropped within the window that starts at the first attempt that may have run.
    Fingerprinted(Micros),
    /// It takes effect a second time, so it must not be sent once an attempt may have run.
    OnceOnly,
}

/// A figure of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// Latency, in milliseconds.
    LatencyMs,
    /// Length of the queue, in requests.
    Queue,
    /// Requests served a second.
    Rate,
    /// A figure that is not used.
    Unread,
}

/// How nodes report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// With each answer.
    InAnswers,
    /// In answers to health checks alone.
    InHealthChecks,
    /// Not at all.
    #[default]
    Off,
}

/// A row of the table of what differs by index.
#[derive(Clone, Debug, Default)]
pub struct IndexConfig {
    /// An answer after this time has lost most of its gain (the soft deadline).
    pub latency_objective: Micros,
    /// The gain of one query.
    pub priority_weight: f64,
    /// What a repeat does.
    pub retry_semantics: RetrySemantics,
    /// The weight of answered requests from which an answer is complete.
    pub required_weight: f64,
    /// The least weight that may be answered from.
    pub min_weight: f64,
    /// Requests of the second phase; 0: there is none.
    pub second_phase_size: usize,
    /// Queries of it have come to this router.
    pub has_queries: bool,
    /// What a policy of the fleet says beyond the rest, never more than that allows; a `None` says nothing.
    /// The time from a query's arrival after which it is answered from what is in.
    pub partial_response_after: Option<Micros>,
    /// Attempts for one request.
    pub max_attempts: Option<usize>,
    /// A late request has no second attempt beside the first.
    pub hedging_disabled: bool,
    /// Retries and hedged requests within the budget's window: so many, and a share of what was admitted.
    pub retry_budget: Option<(f64, f64)>,
}

/// The platform's terms of service, read when the router starts. A `None` is a limit that is not set.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    /// What differs by index.
    pub indexes: Vec<IndexConfig>,
    /// Queries a second within each customer's quota, over all routers.
    pub quotas: Vec<f64>,
    /// The share of its gain that a query beyond its customer's quota keeps.
    pub over_quota_weight: f64,
    /// Routers that share the load.
    pub router_count: f64,
    /// This router's zone.
    pub zone: ZoneNo,
    /// Cost of a request that crosses zones, as a share of its gain.
    pub cross_zone_cost: f64,
    /// Cost of queries that all end late, and of wasted work, as shares of the gain; where they are set.
    pub wasted_work_cost: Option<f64>,
    /// Groups into which the nodes are divided.
    pub shard_group_count: u32,
    /// Consecutive groups that hold one shard.
    pub groups_per_shard: u32,
    /// What one attempt costs a node, whatever it asks for.
    pub attempt_cost: Micros,
    /// The figures of a load report, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// How load reports come.
    pub load_reporting: LoadReporting,
    /// Nodes answer health checks.
    pub health_checks: bool,
    /// Discovery is polled by the router; else lists are pushed by an agent.
    pub discovery_is_polled: bool,
    /// Attempts for one request.
    pub max_attempts: Option<usize>,
    /// A late request may have a second attempt beside the first.
    pub hedging: bool,
    /// Attempts can be cancelled.
    pub cancellation: bool,
    /// The longest Retry-After that clients heed.
    pub max_retry_after: Option<Micros>,
    /// How often the caller lets time pass.
    pub tick: Micros,
    /// How long an attempt may wait for its connection.
    pub connect_timeout: Micros,
    /// The share of its capacity that a node surely has as it starts.
    pub slow_start_initial_share: f64,
    /// How long a node warms up.
    pub slow_start_duration: Micros,
    /// A node falls when it is sent this many times what it can do, within the window.
    pub overload_multiple: f64,
    /// The window of that rule.
    pub overload_window: Micros,
    /// Retries and hedged requests within the window, whatever was admitted.
    pub retry_budget_min: f64,
    /// The same for each query and request admitted within the window.
    pub retry_budget_ratio: f64,
    /// The window of the retry budget; `None`: there is no budget.
    pub retry_budget_window: Option<Micros>,
}
