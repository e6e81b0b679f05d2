//! State for the tests, and a tape of what the module did.

use super::*;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Did {
    Attempt(ShardRequestId, NodeId),
    Answer(bool),
    Nack(Micros),
    Abort,
    Cancel(ShardRequestId, AttemptNo),
    CloseIdle(NodeId),
    Probe(NodeId),
    Watch,
    Log,
}

#[derive(Default)]
pub struct Tape(pub Vec<Did>);

impl Actions for Tape {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, _limit: Micros) {
        self.0.push(Did::Attempt(part, node));
    }
    fn answer(&mut self, _lookup: QueryId, whole: bool) {
        self.0.push(Did::Answer(whole));
    }
    fn reject(&mut self, _lookup: QueryId, come_back: Micros) {
        self.0.push(Did::Nack(come_back));
    }
    fn fail(&mut self, _lookup: QueryId) {
        self.0.push(Did::Abort);
    }
    fn cancel_attempt(&mut self, part: ShardRequestId, call: AttemptNo) {
        self.0.push(Did::Cancel(part, call));
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.0.push(Did::CloseIdle(node));
    }
    fn check_health(&mut self, node: NodeId) {
        self.0.push(Did::Probe(node));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Did::Watch);
    }
    fn set_timer(&mut self, _delay: Micros, _timer: TimerId) {}
    fn log(&mut self, _line: &str) {
        self.0.push(Did::Log);
    }
}

pub fn ms(n: u64) -> Micros {
    Micros(n * 1000)
}

/// One cell, one index: soft deadline 1 s, whole answers only, reports of latency.
pub fn tariff() -> PlatformConfig {
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

/// A router at 10 s, with nodes 1 to `nodes` that all report 100 ms and answer in 100 ms.
pub fn router(tariff: PlatformConfig, nodes: u64) -> RoutingEngine {
    let mut brain = RoutingEngine::new(tariff, 1);
    brain.now = ms(10_000);
    for id in 1..=nodes {
        let listing = Endpoint {
            node: NodeId(id),
            ..Endpoint::default()
        };
        let known = (Some(100.0), Some(100_000.0));
        let node = Node {
            endpoint: listing,
            reported_load: known.0,
            latency: known.1,
            latency_updated_at: brain.now,
            ..Node::default()
        };
        brain.nodes.insert(NodeId(id), node);
    }
    fresh(brain)
}

/// The router with its figures taken anew.
pub fn fresh(mut brain: RoutingEngine) -> RoutingEngine {
    brain.index_nodes();
    (brain.survey, brain.stale) = (brain.take_survey(), false);
    brain
}

/// Lookup 1 with parts 1 to n of the weights given; each has had the calls given, all to node 1 a moment ago.
pub fn lookup(brain: &RoutingEngine, weights: &[f64], calls: &[Option<AttemptOutcome>]) -> Query {
    let call = |ending: &Option<AttemptOutcome>| Attempt {
        node: NodeId(1),
        sent_at: brain.now,
        outcome: *ending,
    };
    let part = |(at, weight): (usize, &f64)| ShardRequest {
        id: ShardRequestId(at as u64 + 1),
        weight: *weight,
        answered: calls.contains(&Some(AttemptOutcome::Satisfied)),
        attempts: calls.iter().map(call).collect(),
        ..ShardRequest::default()
    };
    Query {
        id: QueryId(1),
        config: brain.config.indexes[0].clone(),
        partial_response_at: brain.now + ms(1000),
        soft_deadline: brain.now + ms(1000),
        deadline: brain.now + ms(3000),
        time_allowed: ms(3000),
        expected_requests: weights.len(),
        requests: weights.iter().enumerate().map(part).collect(),
        placed: !calls.is_empty(),
        ..Query::default()
    }
}

pub fn hold(brain: &mut RoutingEngine, lookup: Query) {
    brain.queries.insert(lookup.id, lookup);
}

/// Parts out at a node for so long.
pub fn owe(brain: &mut RoutingEngine, node: u64, parts: u64, age: Micros) {
    brain.watched.insert(NodeId(node));
    let sent = Micros(brain.now.0 - age.0);
    let owed = (0..parts).map(|n| {
        (
            (ShardRequestId(1000 + n), AttemptNo(0)),
            InFlightAttempt {
                sent_at: sent,
                z: 1.0,
                depth_when_sent: 1.0,
                ..InFlightAttempt::default()
            },
        )
    });
    brain
        .nodes
        .get_mut(&NodeId(node))
        .expect("a node of the router")
        .in_flight
        .extend(owed);
}
