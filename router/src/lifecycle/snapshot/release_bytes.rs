//! An upgrade passes a snapshot from a released program to a newer one. The encoding must stay the same, including
//! every field of the node statistics and of the tenants' limits: a moved field would be decoded as another one.

use ternpick::routing::NodeSnapshot;

use super::*;
use crate::recorded::Recorded;

fn full() -> Snapshot {
    let node = NodeSnapshot {
        started: 1_790_000_000_000_001,
        reported_load: Some(2.5),
        max_reported_rate: 3.5,
        latency: Some(4.5),
        latency_age: 5,
        index_health: vec![(0.625, 7.5, 8, 9), (0.75, 8.5, 10, 11)],
        latency_per_request: Some(12.5),
        suspected_for: Some(13),
        recent_sends: vec![(14, 15.5), (16, 17.5)],
        in_flight: vec![(18, 19, 20.5, 21.5)],
    };
    let engine = EngineSnapshot {
        nodes: vec![(22, node), (23, NodeSnapshot::default())],
        mean_cost_hint: Some(24.5),
        quota_left: vec![(25.5, 26)],
        admitted: vec![27, 28],
        extra_attempts: vec![29, 30, 31],
        last_node_failure: Some(32),
        queries_of_death: vec![(33, 34, 35, vec![36, 37])],
        settings: Some("soft 5 of a, b".into()),
        last_shed: Some(38),
    };
    let limits = LimitsSnapshot {
        tenants: vec![(39.5, 40.5).into()],
        limit: 41.5,
        in_flight: vec![42, 43],
    };
    Snapshot {
        format_version: FORMAT_VERSION,
        endpoint_list: r#"{"index":44}"#.into(),
        node_names: vec![(22, "s-1".into()), (23, "s-2".into())],
        engine,
        limits: Some(limits),
        keys: Some((45, r#"{"keys":[]}"#.into())),
        revocations: Some((46, r#"{"to":0}"#.into())),
    }
}

#[test]
fn a_snapshot_encodes_to_the_bytes_recorded_from_the_release() {
    let mut recorded = Recorded::parse(include_str!("release_bytes.txt"));
    let bare = Snapshot {
        engine: EngineSnapshot::default(),
        limits: None,
        keys: None,
        revocations: None,
        ..full()
    };
    for (name, snapshot) in [("full", full()), ("bare", bare)] {
        recorded.value(name, &snapshot, Snapshot::bytes, |bytes| {
            Snapshot::parse(bytes).ok()
        });
    }
    recorded.finish();
}
