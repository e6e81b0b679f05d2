//! Test fixtures for the unit tests, and a recorder of the engine's actions.

use crate::actions::Actions;
use crate::types::*;

use super::RoutingEngine;

pub(super) const IN_FLIGHT: Option<AttemptOutcome> = None;
pub(super) const ANSWERED: Option<AttemptOutcome> = Some(AttemptOutcome::Satisfied);
pub(super) const MAY_HAVE_RUN: Option<AttemptOutcome> = Some(AttemptOutcome::MayHaveRun);
pub(super) const NEVER_RAN: Option<AttemptOutcome> = Some(AttemptOutcome::NeverRan);

#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Action {
    Send(ShardRequestId, NodeId),
    Answer(bool),
    Reject(Micros),
    Fail,
    Cancel(ShardRequestId, AttemptNo),
    CloseIdle(NodeId),
    HealthCheck(NodeId),
    Watch,
    Log,
}

#[derive(Default)]
pub(super) struct Recorder(pub(super) Vec<Action>);

impl Actions for Recorder {
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, _limit: Micros) {
        self.0.push(Action::Send(request, node));
    }
    fn answer(&mut self, _query: QueryId, complete: bool) {
        self.0.push(Action::Answer(complete));
    }
    fn reject(&mut self, _query: QueryId, retry_after: Micros) {
        self.0.push(Action::Reject(retry_after));
    }
    fn fail(&mut self, _query: QueryId) {
        self.0.push(Action::Fail);
    }
    fn cancel_attempt(&mut self, request: ShardRequestId, attempt: AttemptNo) {
        self.0.push(Action::Cancel(request, attempt));
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.0.push(Action::CloseIdle(node));
    }
    fn check_health(&mut self, node: NodeId) {
        self.0.push(Action::HealthCheck(node));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Action::Watch);
    }
    fn set_timer(&mut self, _delay: Micros, _timer: TimerId) {}
    fn log(&mut self, _line: &str) {
        self.0.push(Action::Log);
    }
}

pub(super) fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

/// A platform with one shard group and one index: latency objective 1 s, complete answers only, load reports with
/// latency.
pub(super) fn platform() -> PlatformConfig {
    let index = IndexConfig {
        latency_objective: ms(1000),
        priority_weight: 1.0,
        required_weight: 1.0,
        min_weight: 1.0,
        ..IndexConfig::default()
    };
    PlatformConfig {
        indexes: vec![index],
        router_count: 1.0,
        shard_group_count: 1,
        groups_per_shard: 1,
        load_metrics: vec![LoadMetric::LatencyMs],
        load_reporting: LoadReporting::InAnswers,
        hedging: true,
        cancellation: true,
        slow_start_initial_share: 0.25,
        slow_start_duration: ms(10_000),
        overload_multiple: 2.0,
        overload_window: ms(1000),
        ..PlatformConfig::default()
    }
}

/// An engine at time 10 s, with nodes 1 to `nodes` that all report 100 ms and answer in 100 ms.
pub(super) fn engine_with(config: PlatformConfig, nodes: u64) -> RoutingEngine {
    let mut engine = RoutingEngine::new(config, 1);
    engine.now = ms(10_000);
    for id in 1..=nodes {
        let node = Node {
            endpoint: Endpoint {
                node: NodeId(id),
                ..Endpoint::default()
            },
            reported_load: Some(100.0),
            latency: Some(100_000.0),
            latency_updated_at: engine.now,
            ..Node::default()
        };
        engine.nodes.insert(NodeId(id), node);
    }
    refreshed(engine)
}

/// An engine at time `now` with nodes 1 to 3, of which it knows only the start times, and a quota of five queries.
pub(super) fn engine_with_started_nodes(now: Micros) -> RoutingEngine {
    let config = PlatformConfig {
        quotas: vec![5.0],
        ..PlatformConfig::default()
    };
    let mut engine = RoutingEngine::new(config, 1);
    engine.now = now;
    for id in 1..4 {
        let endpoint = Endpoint {
            node: NodeId(id),
            started_at: Micros(id),
            ..Endpoint::default()
        };
        let node = Node {
            endpoint,
            ..Node::default()
        };
        engine.nodes.insert(NodeId(id), node);
    }
    engine
}

/// The engine with its shard groups and statistics recomputed.
pub(super) fn refreshed(mut engine: RoutingEngine) -> RoutingEngine {
    engine.rebuild_shard_groups();
    engine.refresh_statistics();
    engine
}

pub(super) fn node(engine: &mut RoutingEngine, id: u64) -> &mut Node {
    engine
        .nodes
        .get_mut(&NodeId(id))
        .expect("a node of the engine")
}

/// The nodes chosen for a query of `requests` shard requests.
pub(super) fn placed_nodes(engine: RoutingEngine, requests: usize) -> Vec<u64> {
    let engine = refreshed(engine);
    let query = query(&engine, &vec![1.0 / requests as f64; requests], &[]);
    engine
        .plan(&query, 1e6)
        .assignments
        .iter()
        .map(|assignment| assignment.node.0)
        .collect()
}

/// Query 1 with one shard request for each of `weights`, numbered from 1. Each request has had attempts with the
/// given outcomes, all sent just now to node 1.
pub(super) fn query(
    engine: &RoutingEngine,
    weights: &[f64],
    outcomes: &[Option<AttemptOutcome>],
) -> Query {
    let attempt = |outcome: &Option<AttemptOutcome>| Attempt {
        node: NodeId(1),
        sent_at: engine.now,
        outcome: *outcome,
    };
    let request = |(at, weight): (usize, &f64)| ShardRequest {
        id: ShardRequestId(at as u64 + 1),
        weight: *weight,
        answered: outcomes.contains(&Some(AttemptOutcome::Satisfied)),
        attempts: outcomes.iter().map(attempt).collect(),
        ..ShardRequest::default()
    };
    Query {
        id: QueryId(1),
        config: engine.config.indexes[0].clone(),
        partial_response_at: engine.now + ms(1000),
        soft_deadline: engine.now + ms(1000),
        deadline: engine.now + ms(3000),
        time_allowed: ms(3000),
        expected_requests: weights.len(),
        requests: weights.iter().enumerate().map(request).collect(),
        placed: !outcomes.is_empty(),
        ..Query::default()
    }
}

pub(super) fn add_query(engine: &mut RoutingEngine, query: Query) {
    engine.queries.insert(query.id, query);
}

/// Adds `requests` attempts that have been in flight to a node for `age`.
pub(super) fn add_in_flight(engine: &mut RoutingEngine, id: u64, requests: u64, age: Micros) {
    engine.monitored.insert(NodeId(id));
    let sent_at = Micros(engine.now.0 - age.0);
    for number in 0..requests {
        let attempt = InFlightAttempt {
            sent_at,
            relative_cost: 1.0,
            depth_when_sent: 1.0,
            ..InFlightAttempt::default()
        };
        let key = (ShardRequestId(1000 + number), AttemptNo(0));
        node(engine, id).in_flight.insert(key, attempt);
    }
}
