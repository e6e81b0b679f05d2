//! The scenarios: configurations of the routing engine, each with its own workload and faults.

use ternpick::types::*;

use super::fleet::Fault;

#[derive(Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) seed: u64,
    pub(crate) steps: usize,
    pub(crate) config: PlatformConfig,
    pub(crate) nodes: u64,
    pub(crate) zones: u16,
    pub(crate) mean_service_us: u64,
    /// Mean time between queries.
    pub(crate) query_interval: Micros,
    /// Relative frequency of the queries of each index, by index number.
    pub(crate) index_weights: Vec<u64>,
    pub(crate) max_shard_requests: u64,
    pub(crate) has_cost_hints: bool,
    pub(crate) faults: Vec<Fault>,
    pub(crate) drops_idle_connections: bool,
    pub(crate) unsent_per_mille: u64,
    pub(crate) query_of_death_per_mille: u64,
    pub(crate) client_leaves_per_mille: u64,
    pub(crate) watch_fails_per_mille: u64,
    /// Whether another process takes over during the scenario.
    pub(crate) hot_restart: bool,
}

pub(crate) fn by_name(name: &str) -> Scenario {
    let named = all().into_iter().find(|scenario| scenario.name == name);
    named.unwrap_or_else(|| panic!("no scenario has the name {name}"))
}

pub(crate) fn all() -> Vec<Scenario> {
    vec![
        idempotent(),
        two_phases(),
        once_only(),
        many_routers(),
        overload(),
    ]
}

const fn ms(count: u64) -> Micros {
    Micros(count * 1000)
}

fn index(objective: Micros, weight: f64, semantics: RetrySemantics) -> IndexConfig {
    IndexConfig {
        latency_objective: objective,
        priority_weight: weight,
        retry_semantics: semantics,
        required_weight: 1.0,
        min_weight: 1.0,
        ..IndexConfig::default()
    }
}

fn platform(indexes: Vec<IndexConfig>) -> PlatformConfig {
    PlatformConfig {
        indexes,
        router_count: 1.0,
        shard_group_count: 4,
        groups_per_shard: 2,
        load_metrics: vec![LoadMetric::LatencyMs, LoadMetric::Rate],
        load_reporting: LoadReporting::InAnswers,
        discovery_is_polled: true,
        hedging: true,
        cancellation: true,
        tick: ms(1),
        connect_timeout: ms(100),
        slow_start_initial_share: 0.2,
        slow_start_duration: ms(8_000),
        overload_multiple: 2.0,
        overload_window: ms(1_000),
        ..PlatformConfig::default()
    }
}

/// Idempotent queries, load reports in answers, a retry budget, quotas, two zones, and a hot restart of the router.
fn idempotent() -> Scenario {
    let partial = IndexConfig {
        min_weight: 0.6,
        required_weight: 0.95,
        ..index(ms(400), 1.0, RetrySemantics::Idempotent)
    };
    let config = PlatformConfig {
        quotas: vec![40.0, 5.0, 2.0],
        over_quota_weight: 0.2,
        cross_zone_cost: 0.02,
        retry_budget_min: 6.0,
        retry_budget_ratio: 0.2,
        retry_budget_window: Some(ms(2_000)),
        max_retry_after: Some(ms(1_500)),
        max_attempts: Some(4),
        ..platform(vec![
            index(ms(600), 3.0, RetrySemantics::Idempotent),
            partial,
        ])
    };
    Scenario {
        name: "idempotent",
        seed: 11,
        steps: 6_000,
        config,
        nodes: 9,
        zones: 2,
        mean_service_us: 30_000,
        query_interval: ms(60),
        index_weights: vec![2, 3],
        max_shard_requests: 5,
        has_cost_hints: true,
        faults: vec![
            Fault::Hung,
            Fault::Slow(12),
            Fault::Down,
            Fault::Errors(400),
            Fault::ReportsIdle,
        ],
        drops_idle_connections: false,
        unsent_per_mille: 5,
        query_of_death_per_mille: 15,
        client_leaves_per_mille: 20,
        watch_fails_per_mille: 300,
        hot_restart: true,
    }
}

/// Two-phase and fingerprinted queries, load reports in health checks, and no retry budget.
fn two_phases() -> Scenario {
    let two_phase = IndexConfig {
        min_weight: 0.5,
        required_weight: 0.9,
        second_phase_size: 2,
        ..index(ms(700), 2.0, RetrySemantics::Idempotent)
    };
    let fingerprinted = IndexConfig {
        min_weight: 0.7,
        ..index(ms(500), 1.0, RetrySemantics::Fingerprinted(ms(900)))
    };
    let fingerprinted_two_phase = IndexConfig {
        min_weight: 0.4,
        required_weight: 0.4,
        second_phase_size: 3,
        ..index(ms(800), 1.5, RetrySemantics::Fingerprinted(ms(600)))
    };
    let config = PlatformConfig {
        load_metrics: vec![LoadMetric::Queue, LoadMetric::Unread],
        load_reporting: LoadReporting::InHealthChecks,
        health_checks: true,
        attempt_cost: ms(2),
        wasted_work_cost: Some(0.1),
        groups_per_shard: 3,
        ..platform(vec![two_phase, fingerprinted, fingerprinted_two_phase])
    };
    Scenario {
        name: "two_phases",
        seed: 22,
        config,
        nodes: 8,
        zones: 1,
        index_weights: vec![3, 2, 1],
        faults: vec![
            Fault::FailsIndex(1),
            Fault::Hung,
            Fault::Slow(8),
            Fault::Rejects,
        ],
        hot_restart: false,
        ..idempotent()
    }
}

/// Once-only queries among others, no load reports, the limits of a policy document, and silently dropped idle
/// connections.
fn once_only() -> Scenario {
    let limited = IndexConfig {
        partial_response_after: Some(ms(250)),
        max_attempts: Some(2),
        retry_budget: Some((2.0, 0.05)),
        min_weight: 0.5,
        ..index(ms(500), 1.0, RetrySemantics::Idempotent)
    };
    let no_hedging = IndexConfig {
        hedging_disabled: true,
        second_phase_size: 1,
        ..index(ms(600), 2.0, RetrySemantics::OnceOnly)
    };
    let config = PlatformConfig {
        load_metrics: vec![],
        load_reporting: LoadReporting::Off,
        discovery_is_polled: false,
        max_attempts: Some(3),
        retry_budget_min: 20.0,
        retry_budget_ratio: 0.5,
        retry_budget_window: Some(ms(3_000)),
        shard_group_count: 3,
        ..platform(vec![
            index(ms(300), 1.0, RetrySemantics::OnceOnly),
            limited,
            no_hedging,
            index(ms(400), 2.0, RetrySemantics::Idempotent),
        ])
    };
    Scenario {
        name: "once_only",
        seed: 33,
        config,
        nodes: 9,
        zones: 3,
        mean_service_us: 12_000,
        query_interval: ms(150),
        index_weights: vec![1, 2, 1, 6],
        max_shard_requests: 3,
        has_cost_hints: false,
        faults: vec![Fault::Down, Fault::Errors(700), Fault::Rejects],
        drops_idle_connections: true,
        unsent_per_mille: 30,
        ..idempotent()
    }
}

/// Many routers share nodes that restart often, and the router does a hot restart.
fn many_routers() -> Scenario {
    let config = PlatformConfig {
        router_count: 12.0,
        overload_multiple: 3.0,
        retry_budget_min: 4.0,
        retry_budget_ratio: 0.1,
        retry_budget_window: Some(ms(1_000)),
        ..platform(vec![
            index(ms(500), 1.0, RetrySemantics::Idempotent),
            index(ms(900), 1.0, RetrySemantics::OnceOnly),
        ])
    };
    Scenario {
        name: "many_routers",
        seed: 44,
        config,
        mean_service_us: 20_000,
        index_weights: vec![5, 1],
        faults: vec![Fault::Down, Fault::Slow(20)],
        query_of_death_per_mille: 40,
        ..idempotent()
    }
}

/// More queries than the nodes can serve, without hedging and without cancellation.
fn overload() -> Scenario {
    let config = PlatformConfig {
        quotas: vec![10.0, 10.0],
        over_quota_weight: 0.0,
        hedging: false,
        cancellation: false,
        max_retry_after: Some(ms(400)),
        ..platform(vec![
            index(ms(300), 1.0, RetrySemantics::Idempotent),
            index(ms(300), 6.0, RetrySemantics::Fingerprinted(ms(400))),
        ])
    };
    Scenario {
        name: "overload",
        seed: 55,
        config,
        nodes: 5,
        mean_service_us: 45_000,
        query_interval: ms(14),
        index_weights: vec![4, 1],
        max_shard_requests: 2,
        faults: vec![Fault::Slow(3), Fault::Hung],
        hot_restart: false,
        ..idempotent()
    }
}
