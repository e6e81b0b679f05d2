//! Tests of `snapshot`.

use test_case::test_case;

use super::*;
use crate::routing::test_support::*;
use crate::types::*;

#[test]
fn restores_a_snapshot_unchanged_under_another_clock() {
    let here = Micros(900_000_000);
    let there = Micros(2_000_000_000);
    let mut old = engine_with_started_nodes(here);
    let node = old.nodes.get_mut(&NodeId(2)).expect("node 2");
    node.latency = Some(4000.0);
    node.latency_per_request = Some(1000.0);
    node.latency_updated_at = Micros(here.0 - 7_000);
    node.recent_sends.push_back(RecentSend {
        sent_at: Micros(here.0 - 50_000),
        cost: 2.0,
    });
    node.index_health = vec![IndexHealth {
        failure_rate: 0.5,
        failure_cost: 10.0,
        updated_at: Micros(here.0 - 3),
        last_answer: Micros(here.0 - 9),
    }];
    let attempt = InFlightAttempt {
        sent_at: Micros(here.0 - 80),
        relative_cost: 1.5,
        depth_when_sent: 3.0,
        ..InFlightAttempt::default()
    };
    node.in_flight
        .insert((ShardRequestId(1), AttemptNo(0)), attempt);
    old.config.indexes = vec![Default::default()];
    old.extra_attempts.push_back(Micros(here.0 - 1000));
    old.queries_of_death.push_back(KnownQueryOfDeath {
        expires_at: here + Micros(5_000_000),
        fingerprint: QueryFingerprint {
            index: IndexNo(0),
            customer: CustomerNo(0),
            shards: vec![ShardNo(3)],
        },
    });
    let snapshot = old.snapshot(here);
    let mut new = engine_with_started_nodes(there);
    new.config.indexes = vec![Default::default()];
    assert_eq!(new.restore(there, &snapshot), 3);
    assert_eq!(new.snapshot(there), snapshot);
    assert_eq!(
        new.nodes[&NodeId(2)].recent_sends[0],
        RecentSend {
            sent_at: Micros(there.0 - 50_000),
            cost: 2.0
        }
    );
    assert_eq!(
        new.queries_of_death[0].expires_at,
        there + Micros(5_000_000)
    );
}

#[test_case(0, 2.0, 300_000.0; "the age at which it was reported")]
#[test_case(900_000, 2.0, 300_000.0; "the same age later")]
fn attempts_in_flight_elsewhere_count_until_that_process_has_finished(
    elapsed_us: u64,
    in_flight_cost: f64,
    expected_latency_us: f64,
) {
    let now = Micros(1_000_000_000);
    let mut new = engine_with_started_nodes(now);
    let in_flight = vec![(0, 300_000, 2.0, 1.0), (0, 1, f64::NAN, 1.0)];
    let nodes = vec![(
        2,
        NodeSnapshot {
            started: 2,
            in_flight,
            ..NodeSnapshot::default()
        },
    )];
    new.restore(
        now,
        &EngineSnapshot {
            nodes,
            ..EngineSnapshot::default()
        },
    );
    new.serve_share(1.0, true);
    new.now = now + Micros(elapsed_us);
    let seen = |new: &RoutingEngine| {
        let node = &new.nodes[&NodeId(2)];
        (
            node.in_flight_cost(),
            new.expected_latency(node, IndexNo(0)),
        )
    };
    assert_eq!(seen(&new), (in_flight_cost, expected_latency_us));
    new.serve_whole();
    assert_eq!(seen(&new), (0.0, 0.0));
}

/// Guards the first seconds under a configuration with other indexes: a node that failed one index must not be
/// suspected for another index with the same number, a node that is warming up must not get its allowance twice,
/// and no part of the retry budget may be spent twice.
#[test_case(true, (Some(4000.0), Some(90.0), 1, 1, 1, 1); "the same settings")]
#[test_case(false, (Some(4000.0), None, 0, 1, 1, 0); "other settings")]
fn restores_only_state_with_the_same_meaning_under_other_settings(
    same: bool,
    kept: (Option<f64>, Option<f64>, usize, usize, usize, usize),
) {
    let now = Micros(900_000_000);
    let mut old = engine_with_started_nodes(now);
    old.config.indexes = vec![Default::default()];
    let node = old.nodes.get_mut(&NodeId(2)).expect("node 2");
    node.latency = Some(4000.0);
    node.reported_load = Some(90.0);
    node.index_health = vec![IndexHealth {
        failure_rate: 1.0,
        failure_cost: 1e6,
        ..IndexHealth::default()
    }];
    node.recent_sends.push_back(RecentSend {
        sent_at: now,
        cost: 2.0,
    });
    old.extra_attempts.push_back(now);
    old.queries_of_death.push_back(KnownQueryOfDeath {
        expires_at: now + Micros(5_000_000),
        fingerprint: QueryFingerprint {
            index: IndexNo(0),
            customer: CustomerNo(0),
            shards: vec![ShardNo(3)],
        },
    });
    let mut new = engine_with_started_nodes(now);
    new.config.indexes = vec![Default::default()];
    new.config.groups_per_shard = if same { 0 } else { 3 };
    new.restore(now, &old.snapshot(now));
    let node = &new.nodes[&NodeId(2)];
    let counts = (
        node.index_health.len(),
        node.recent_sends.len(),
        new.extra_attempts.len(),
        new.queries_of_death.len(),
    );
    assert_eq!(
        (
            node.latency,
            node.reported_load,
            counts.0,
            counts.1,
            counts.2,
            counts.3
        ),
        kept
    );
}

#[test]
fn ignores_other_starts_unknown_nodes_and_invalid_figures() {
    let mut new = engine_with_started_nodes(Micros(1_000_000));
    let known = |started, latency| NodeSnapshot {
        started,
        latency: Some(latency),
        ..NodeSnapshot::default()
    };
    let nodes = vec![
        (1, known(9, 1.0)),
        (2, known(2, f64::NAN)),
        (3, known(3, 70.0)),
        (8, known(8, 1.0)),
    ];
    assert_eq!(
        new.restore(
            Micros(1_000_000),
            &EngineSnapshot {
                nodes,
                ..EngineSnapshot::default()
            }
        ),
        2
    );
    let latencies: Vec<Option<f64>> = new.nodes.values().map(|node| node.latency).collect();
    assert_eq!(latencies, [None, None, Some(70.0)]);
}
