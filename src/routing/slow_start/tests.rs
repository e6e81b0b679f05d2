//! Tests of `slow_start`.

use nanorand::Rng;
use test_case::test_case;

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

// A core serves ten requests of 100 ms per second. A quarter of twice that, minus a tenth, is 4.5.

#[test_case(1, 4, true; "within the allowance")]
#[test_case(1, 5, false; "beyond the allowance")]
#[test_case(2, 3, false; "beyond one router's share of the allowance")]
fn limits_a_cold_node_to_its_allowance(routers: u32, requests: u32, allowed: bool) {
    let mut engine = engine_with(
        PlatformConfig {
            router_count: routers.into(),
            ..platform()
        },
        1,
    );
    let now = engine.now;
    node(&mut engine, 1).started.by_local_clock = now;
    node(&mut engine, 1).recent_sends = (1..requests)
        .map(|_| RecentSend {
            sent_at: now,
            cost: 1.0,
        })
        .collect();
    assert_eq!(
        engine.slow_start_allows(&engine.nodes[&NodeId(1)], 1.0),
        allowed
    );
}

#[test]
fn a_warm_node_is_not_limited() {
    let mut engine = engine_with(platform(), 1);
    let now = engine.now;
    node(&mut engine, 1).started.by_local_clock = Micros(now.0 - ms(10_000).0 + 1);
    engine.now += ms(1);
    node(&mut engine, 1).recent_sends = (1..100)
        .map(|_| RecentSend {
            sent_at: now,
            cost: 1.0,
        })
        .collect();
    assert!(engine.slow_start_allows(&engine.nodes[&NodeId(1)], 1.0));
}

#[test]
fn a_reported_rate_raises_the_allowance() {
    let mut engine = engine_with(platform(), 2);
    let now = engine.now;
    node(&mut engine, 1).started.by_local_clock = now;
    node(&mut engine, 2).max_reported_rate = 20.0;
    let engine = refreshed(engine);
    assert!(engine.slow_start_allows(&engine.nodes[&NodeId(1)], 8.0));
}

#[test_case(0, false; "another router's turn")]
#[test_case(2, true; "its turn")]
fn many_routers_take_turns_in_sending_to_a_cold_node(seconds: u64, allowed: bool) {
    let mut engine = engine_with(
        PlatformConfig {
            router_count: 10.0,
            ..platform()
        },
        1,
    );
    node(&mut engine, 1).started.by_local_clock = engine.now;
    node(&mut engine, 1).tie_breaker = u32::MAX / 2;
    node(&mut engine, 1).notified_at = engine.now;
    engine.now += ms(seconds * 1000);
    assert_eq!(
        engine.slow_start_allows(&engine.nodes[&NodeId(1)], 1.0),
        allowed
    );
}

/// Guards against many routers together overloading one node that has just started. Each router sends as much as
/// it is allowed to. The routers are all notified of the start at the same time, possibly late, or have themselves
/// been restarted and do not know what they sent. The load is checked in every window of the platform's rule.
#[test_case(20, 1.5, false; "twenty, notified late")]
#[test_case(30, 1.5, false; "thirty, notified late")]
#[test_case(300, 1.5, false; "three hundred, notified late")]
#[test_case(300, 0.0, false; "three hundred, notified at once")]
#[test_case(3, 0.0, true; "three, restarted in the meantime")]
#[test_case(20, 1.5, true; "twenty, restarted in the meantime")]
#[test_case(300, 1.5, true; "three hundred, restarted in the meantime")]
fn all_routers_together_do_not_overload_a_cold_node(
    routers: usize,
    notified_after_s: f64,
    restart: bool,
) {
    let mut total = 0;
    for seed in 0..40 {
        let mut fleet = RouterFleet::new(routers, seed);
        let began = fleet.engines[0].now;
        let notified_at = began + ms((notified_after_s * 1000.0) as u64);
        let mut sent: Vec<u64> = Vec::new();
        for step in 0..400u64 {
            let now = notified_at + ms(step * 10);
            for router in 0..routers {
                if restart && step == 30 + router as u64 * 60 / routers as u64 {
                    fleet.restart(router);
                }
                fleet.notify_of_start(router, began, now);
                sent.extend(fleet.send_all_that_is_allowed(router, now));
            }
        }
        assert_no_window_is_overloaded(seed, &fleet.engines[0], began, &sent);
        total += sent.len();
    }
    assert!(
        total > 40 * 4 * 4,
        "the allowance is hardly used: {total} requests in 40 runs of four seconds"
    );
}

/// A number of routers that share one node.
struct RouterFleet {
    random: RandomSource,
    engines: Vec<RoutingEngine>,
}

impl RouterFleet {
    fn new(routers: usize, seed: u64) -> RouterFleet {
        let mut fleet = RouterFleet {
            random: RandomSource::new(seed),
            engines: Vec::new(),
        };
        for _ in 0..routers {
            let engine = fleet.new_engine(routers);
            fleet.engines.push(engine);
        }
        fleet
    }

    fn new_engine(&mut self, routers: usize) -> RoutingEngine {
        let config = PlatformConfig {
            router_count: routers as f64,
            ..platform()
        };
        let mut engine = refreshed(engine_with(config, 1));
        node(&mut engine, 1).tie_breaker = self.random.0.generate();
        engine
    }

    fn restart(&mut self, router: usize) {
        let mut engine = self.new_engine(self.engines.len());
        engine.first_list_at = None;
        engine.last_list_at = None;
        self.engines[router] = engine;
    }

    /// Notifies a router of the node's start, unless it is known already.
    fn notify_of_start(&mut self, router: usize, started_at: Micros, now: Micros) {
        let engine = &mut self.engines[router];
        if node(engine, 1).endpoint.started_at == started_at {
            return;
        }
        let endpoint = Endpoint {
            node: NodeId(1),
            started_at,
            ..Endpoint::default()
        };
        let statistics = engine.statistics;
        engine.endpoints_changed(now, &[endpoint], true, &mut Recorder::default());
        // The statistics stand for the answers of other, warm nodes.
        engine.statistics = statistics;
    }

    /// Sends as many requests as the router is allowed to send now, and returns their times.
    fn send_all_that_is_allowed(&mut self, router: usize, now: Micros) -> Vec<u64> {
        let engine = &mut self.engines[router];
        engine.now = now;
        let mut sent = Vec::new();
        while engine.slow_start_allows(&engine.nodes[&NodeId(1)], 1.0) {
            let send = RecentSend {
                sent_at: now,
                cost: 1.0,
            };
            node(engine, 1).recent_sends.push_back(send);
            sent.push(now.0);
        }
        sent
    }
}

fn assert_no_window_is_overloaded(seed: u64, engine: &RoutingEngine, began: Micros, sent: &[u64]) {
    let window = engine.config.overload_window.0;
    for (position, first) in sent.iter().enumerate() {
        let count = sent[position..]
            .iter()
            .take_while(|other| **other < first + window)
            .count() as f64;
        // What the node is guaranteed to tolerate when the window begins: its initial share plus the warm-up so far.
        let age = (first - began.0) as f64 / platform().slow_start_duration.0 as f64;
        let warm_share =
            platform().slow_start_initial_share + (1.0 - platform().slow_start_initial_share) * age;
        let tolerated = platform().overload_multiple * warm_share * window as f64 / 1e6
            * engine.statistics.warm_rate;
        let limit = tolerated + 2.0 * tolerated.sqrt() + 2.0;
        assert!(
            count <= limit,
            "seed {seed}: {count} requests in the window at {age:.2} of the warm-up, expected at most {limit:.1}"
        );
    }
}
