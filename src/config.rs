//! The settings made by operators: the platform configuration and the settings of each index. Tuning constants
//! of a decision are defined next to the code that uses them, not here.

use crate::ids::ZoneNo;
use crate::time::Micros;

/// The effect of sending a shard request more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RetrySemantics {
    /// A repeat has no effect beyond that of the first execution.
    #[default]
    Idempotent,
    /// Nodes drop a repeat within this window, which starts at the first attempt that may have run.
    Fingerprinted(Micros),
    /// A repeat takes effect again, so none may be sent once an attempt may have run.
    OnceOnly,
}

/// The metric in one position of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadMetric {
    /// The node's latency, in milliseconds.
    LatencyMs,
    /// The length of the node's queue, in requests.
    Queue,
    /// The number of requests that the node serves per second.
    Rate,
    /// A metric that the router does not use.
    Unread,
}

/// The messages in which nodes report their load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadReporting {
    /// Each answer carries a load report.
    InAnswers,
    /// Only answers to health checks carry a load report.
    InHealthChecks,
    /// Nodes do not report their load.
    #[default]
    Off,
}

/// The settings of one index.
#[derive(Clone, Debug, Default)]
pub struct IndexConfig {
    /// The latency objective. An answer that takes longer has lost most of its value (the soft deadline).
    pub latency_objective: Micros,
    /// The value of answering one query, relative to those of other indexes.
    pub priority_weight: f64,
    /// The effect of sending a shard request more than once.
    pub retry_semantics: RetrySemantics,
    /// The weight of answered shard requests from which a response is complete.
    pub required_weight: f64,
    /// The least weight of answered shard requests for a partial response.
    pub min_weight: f64,
    /// The number of shard requests in the second phase; 0 if there is no second phase.
    pub second_phase_size: usize,
    /// Whether this router has received queries of the index.
    pub has_queries: bool,
    /// The time from a query's arrival after which it gets a partial response. This and the following fields
    /// are set by a policy of the fleet, which can only tighten the other settings; `None` adds no limit.
    pub partial_response_after: Option<Micros>,
    /// The maximum number of attempts for one shard request.
    pub max_attempts: Option<usize>,
    /// Whether late shard requests get no hedged request.
    pub hedging_disabled: bool,
    /// The retry budget: the number of retries and hedged requests within its window that is always allowed, and
    /// the additional number for each admitted query or shard request.
    pub retry_budget: Option<(f64, f64)>,
}

/// The platform configuration, read when the router starts. A limit that is `None` is not set.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    /// The settings of each index.
    pub indexes: Vec<IndexConfig>,
    /// The quota of each customer, in queries per second over all routers.
    pub quotas: Vec<f64>,
    /// The factor applied to the priority weight of a query that exceeds its customer's quota.
    pub over_quota_weight: f64,
    /// The number of routers that share the load.
    pub router_count: f64,
    /// This router's zone.
    pub zone: ZoneNo,
    /// The cost of a request that crosses zones, as a share of the value of its query.
    pub cross_zone_cost: f64,
    /// The cost of late queries plus the cost of wasted work, as a share of the value of a query.
    pub wasted_work_cost: Option<f64>,
    /// The number of shard groups into which the nodes are divided.
    pub shard_group_count: u32,
    /// The number of consecutive shard groups that hold one shard.
    pub groups_per_shard: u32,
    /// The fixed work that one attempt costs a node, regardless of its content.
    pub attempt_cost: Micros,
    /// The metrics of a load report, in their order.
    pub load_metrics: Vec<LoadMetric>,
    /// The messages that carry load reports.
    pub load_reporting: LoadReporting,
    /// Whether nodes answer health checks.
    pub health_checks: bool,
    /// Whether the router polls discovery; otherwise an agent pushes endpoint lists.
    pub discovery_is_polled: bool,
    /// The maximum number of attempts for one shard request.
    pub max_attempts: Option<usize>,
    /// Whether late shard requests may be hedged.
    pub hedging: bool,
    /// Whether nodes support the cancellation of attempts.
    pub cancellation: bool,
    /// The longest Retry-After that clients respect.
    pub max_retry_after: Option<Micros>,
    /// The interval at which the caller advances time.
    pub tick: Micros,
    /// The longest time that an attempt may wait for its connection.
    pub connect_timeout: Micros,
    /// The share of its capacity that a node is guaranteed to have when it starts.
    pub slow_start_initial_share: f64,
    /// The time for which a node is warming up after its start.
    pub slow_start_duration: Micros,
    /// A node that is warming up fails when it is sent more than this multiple of its capacity within
    /// [`overload_window`](Self::overload_window).
    pub overload_multiple: f64,
    /// The window over which the work sent to a node that is warming up is limited.
    pub overload_window: Micros,
    /// The number of retries and hedged requests within the window that is allowed regardless of the load.
    pub retry_budget_min: f64,
    /// The additional number of retries and hedged requests for each query and shard request admitted within the
    /// window.
    pub retry_budget_ratio: f64,
    /// The window of the retry budget; `None` if there is no budget.
    pub retry_budget_window: Option<Micros>,
}
