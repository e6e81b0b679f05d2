//! Measures the cost of decisions by the number of nodes and of queries in flight: `cargo bench -p ternpick`. Each
//! query has four shard requests, each shard three nodes, and each answer a load report. The time covers all inputs
//! of one query.

use std::collections::VecDeque;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

const REQUESTS: u64 = 4;
const NODES_PER_SHARD: u32 = 3;

/// The attempts in flight, in the order in which they were sent.
#[derive(Default)]
struct InFlight(VecDeque<(ShardRequestId, NodeId)>);

impl Actions for InFlight {
    fn send_attempt(&mut self, request: ShardRequestId, node: NodeId, _: Micros) {
        self.0.push_back((request, node));
    }
    fn answer(&mut self, _: QueryId, _: bool) {}
    fn reject(&mut self, _: QueryId, _: Micros) {}
    fn fail(&mut self, _: QueryId) {}
    fn cancel_attempt(&mut self, _: ShardRequestId, _: AttemptNo) {}
    fn check_health(&mut self, _: NodeId) {}
    fn close_idle_connections(&mut self, _: NodeId) {}
    fn watch_endpoints(&mut self) {}
    fn set_timer(&mut self, _: Micros, _: TimerId) {}
    fn log(&mut self, _: &str) {}
}

struct Router {
    engine: RoutingEngine,
    in_flight: InFlight,
    now: Micros,
    last_query_number: u64,
    groups: u32,
}

impl Router {
    fn new(nodes: u64) -> Router {
        let groups = (nodes as u32 / NODES_PER_SHARD).max(1);
        let objective = Micros(10_000_000);
        let index = IndexConfig {
            latency_objective: objective,
            priority_weight: 1.0,
            required_weight: 1.0,
            min_weight: 1.0,
            ..IndexConfig::default()
        };
        let config = PlatformConfig {
            indexes: vec![index],
            router_count: 1.0,
            shard_group_count: groups,
            groups_per_shard: 1,
            load_metrics: vec![LoadMetric::Queue],
            load_reporting: LoadReporting::InAnswers,
            hedging: true,
            cancellation: true,
            tick: Micros(1000),
            ..PlatformConfig::default()
        };
        let mut engine = RoutingEngine::new(config, 1);
        let mut in_flight = InFlight::default();
        let now = Micros(1_000_000_000);
        let endpoint = |id| Endpoint {
            node: NodeId(id),
            shard_group: ShardGroupNo(id as u32 % groups),
            ..Endpoint::default()
        };
        let list: Vec<Endpoint> = (0..nodes).map(endpoint).collect();
        engine.endpoints_changed(now, &list, true, &mut in_flight);
        Router {
            engine,
            in_flight,
            now,
            last_query_number: 0,
            groups,
        }
    }

    /// Feeds one query and its shard requests to the engine.
    fn receive_query(&mut self) {
        self.now += Micros(50);
        self.last_query_number += 1;
        let id = self.last_query_number;
        let time_allowed = Micros(20_000_000);
        let query = WireQueryNo(id);
        self.engine.query_received(
            self.now,
            QueryId(id),
            query,
            IndexNo(0),
            CustomerNo(0),
            REQUESTS as usize,
            time_allowed,
            false,
            &mut self.in_flight,
        );
        for position in 0..REQUESTS {
            // The shards are chosen in an order that visits all shard groups.
            let shard =
                ShardNo(((id * REQUESTS + position) * 7919 % u64::from(self.groups)) as u32);
            let request = ShardRequestId(id * REQUESTS + position);
            self.engine.shard_request_received(
                self.now,
                request,
                query,
                shard,
                1.0 / REQUESTS as f64,
                Some(Micros(900)),
                &mut self.in_flight,
            );
        }
    }

    /// Answers as many attempts as a query has shard requests.
    fn answer_attempts(&mut self) {
        for _ in 0..REQUESTS {
            let Some((request, node)) = self.in_flight.0.pop_front() else {
                return;
            };
            let latency = Micros(900);
            let report = [2.0];
            self.engine.attempt_finished(
                self.now,
                request,
                AttemptNo(0),
                node,
                latency,
                AttemptOutcome::Satisfied,
                &report,
                &mut self.in_flight,
            );
        }
    }
}

fn cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("query");
    group.sample_size(10);
    for (nodes, in_flight_queries) in [(12, 4), (12, 256), (120, 64), (1_200, 4), (12_000, 4)] {
        let mut router = Router::new(nodes);
        (0..in_flight_queries).for_each(|_| router.receive_query());
        // The name identifies the benchmark in recorded results.
        let name = format!("{nodes} nodes, {in_flight_queries} in hand");
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            bencher.iter(|| {
                router.receive_query();
                router.answer_attempts();
            });
        });
    }
    group.finish();
}

criterion_group!(benches, cost);
criterion_main!(benches);
