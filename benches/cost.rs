//! What deciding costs, by nodes known and lookups in hand: `cargo bench -p ternpick`. Four parts a lookup, three holders a
//! shard, a report with every answer; the time is of all inputs of one lookup.

use std::collections::VecDeque;

use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

const PARTS: u64 = 4;
const HOLDERS: u32 = 3;

/// Calls that are out, in order.
#[derive(Default)]
struct Out(VecDeque<(ShardRequestId, NodeId)>);

impl Actions for Out {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, _: Micros) {
        self.0.push_back((part, node));
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
    brain: RoutingEngine,
    out: Out,
    now: Micros,
    next: u64,
    cells: u32,
}

impl Router {
    fn new(nodes: u64) -> Router {
        let cells = (nodes as u32 / HOLDERS).max(1);
        let soft = Micros(10_000_000);
        let index = IndexConfig {
            latency_objective: soft,
            priority_weight: 1.0,
            required_weight: 1.0,
            min_weight: 1.0,
            ..IndexConfig::default()
        };
        let tariff = PlatformConfig {
            indexes: vec![index],
            router_count: 1.0,
            shard_group_count: cells,
            groups_per_shard: 1,
            load_metrics: vec![LoadMetric::Queue],
            load_reporting: LoadReporting::InAnswers,
            hedging: true,
            cancellation: true,
            tick: Micros(1000),
            ..PlatformConfig::default()
        };
        let (mut brain, mut out, now) = (
            RoutingEngine::new(tariff, 1),
            Out::default(),
            Micros(1_000_000_000),
        );
        let listing = |id| Endpoint {
            node: NodeId(id),
            shard_group: ShardGroupNo(id as u32 % cells),
            ..Endpoint::default()
        };
        let list: Vec<Endpoint> = (0..nodes).map(listing).collect();
        brain.endpoints_changed(now, &list, true, &mut out);
        Router {
            brain,
            out,
            now,
            next: 0,
            cells,
        }
    }

    /// A lookup comes in.
    fn takes(&mut self) {
        self.now += Micros(50);
        self.next += 1;
        let (id, left) = (self.next, Micros(20_000_000));
        let query = WireQueryNo(id);
        self.brain.query_received(
            self.now,
            QueryId(id),
            query,
            IndexNo(0),
            CustomerNo(0),
            PARTS as usize,
            left,
            false,
            &mut self.out,
        );
        for at in 0..PARTS {
            // Shards in an order that visits all cells.
            let shard = ShardNo(((id * PARTS + at) * 7919 % u64::from(self.cells)) as u32);
            let part = ShardRequestId(id * PARTS + at);
            self.brain.shard_request_received(
                self.now,
                part,
                query,
                shard,
                1.0 / PARTS as f64,
                Some(Micros(900)),
                &mut self.out,
            );
        }
    }

    /// As many answers as a lookup has parts.
    fn hears(&mut self) {
        for _ in 0..PARTS {
            let Some((part, node)) = self.out.0.pop_front() else {
                return;
            };
            let (lag, report) = (Micros(900), [2.0]);
            self.brain.attempt_finished(
                self.now,
                part,
                AttemptNo(0),
                node,
                lag,
                AttemptOutcome::Satisfied,
                &report,
                &mut self.out,
            );
        }
    }
}

fn cost(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("lookup");
    group.sample_size(10);
    for (nodes, in_hand) in [(12, 4), (12, 256), (120, 64), (1_200, 4), (12_000, 4)] {
        let mut router = Router::new(nodes);
        (0..in_hand).for_each(|_| router.takes());
        let name = format!("{nodes} nodes, {in_hand} in hand");
        group.bench_function(BenchmarkId::from_parameter(name), |bencher| {
            bencher.iter(|| {
                router.takes();
                router.hears();
            });
        });
    }
    group.finish();
}

criterion_group!(benches, cost);
criterion_main!(benches);
