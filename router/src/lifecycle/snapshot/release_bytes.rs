//! An upgrade hands a snapshot from a released program to the next one: every field of it, of what a router believes of
//! its nodes and of what it has counted of its tenants keeps its place.

use ternpick::routing::NodeSnapshot;

use super::*;
use crate::recorded::Recorded;

fn full() -> Snapshot {
    let belief = NodeSnapshot {
        started: 1_790_000_000_000_001,
        report: Some(2.5),
        best_rate: 3.5,
        latency: Some(4.5),
        seen: 5,
        standings: vec![(0.625, 7.5, 8, 9), (0.75, 8.5, 10, 11)],
        pace: Some(12.5),
        doubted: Some(13),
        sends: vec![(14, 15.5), (16, 17.5)],
        out: vec![(18, 19, 20.5, 21.5)],
    };
    let beliefs = EngineSnapshot {
        nodes: vec![(22, belief), (23, NodeSnapshot::default())],
        mean_hint: Some(24.5),
        quota_left: vec![(25.5, 26)],
        taken: vec![27, 28],
        extras: vec![29, 30, 31],
        alarm: Some(32),
        fatal: vec![(33, 34, 35, vec![36, 37])],
        terms: Some("soft 5 of a, b".into()),
        shed: Some(38),
    };
    let limits = LimitsSnapshot {
        tenants: vec![(39.5, 40.5).into()],
        limit: 41.5,
        in_flight: vec![42, 43],
    };
    Snapshot {
        form: FORM,
        endpoint_list: r#"{"index":44}"#.into(),
        node_names: vec![(22, "s-1".into()), (23, "s-2".into())],
        engine: beliefs,
        limits: Some(limits),
        keys: Some((45, r#"{"keys":[]}"#.into())),
        revocations: Some((46, r#"{"to":0}"#.into())),
    }
}

#[test]
fn a_snapshot_has_the_bytes_of_the_release() {
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
