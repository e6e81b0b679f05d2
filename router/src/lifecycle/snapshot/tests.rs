use super::*;
use ternpick::routing::NodeSnapshot;
use test_case::test_case;

fn snapshot(nodes: u64) -> Snapshot {
    let entries: Vec<Value> = (0..nodes)
        .map(|node| {
            json!({"name": format!("s-{node:08x}"), "address": format!("10.{}.{}.7:9101", node / 250, node % 250),
                "zone": "north", "group": node % 97, "status": "Ready", "since_ms": 1_790_000_000_000u64 + node})
        })
        .collect();
    let endpoint_list = json!({"index": 7, "snapshot": true, "endpoints": entries}).to_string();
    let node = NodeSnapshot {
        started: 1_790_000_000_000_000,
        reported_load: Some(3.25),
        max_reported_rate: 41.5,
        latency: Some(90_210.0),
        latency_age: 12_000,
        index_health: vec![(0.5, 10_000.0, 70_000, 12_000); 3],
        latency_per_request: Some(31_000.0),
        suspected_for: None,
        recent_sends: Vec::new(),
        in_flight: vec![(1, 40_000, 1.0, 2.0)],
    };
    let engine = EngineSnapshot {
        nodes: (0..nodes).map(|id| (id, node.clone())).collect(),
        ..EngineSnapshot::default()
    };
    let node_names = (0..nodes).map(|id| (id, format!("s-{id:08x}"))).collect();
    Snapshot {
        format_version: FORMAT_VERSION,
        endpoint_list,
        node_names,
        engine,
        limits: None,
        keys: None,
        revocations: None,
    }
}

#[test_case(12; "twelve")]
#[test_case(1_200; "twelve hundred")]
#[test_case(12_000; "twelve thousand")]
fn a_snapshot_takes_less_than_400_bytes_per_node_and_is_parsed(nodes: u64) {
    let bytes = snapshot(nodes).bytes();
    let began = std::time::Instant::now();
    let parsed = Snapshot::parse(&bytes).expect("a valid snapshot");
    println!(
        "{nodes} nodes: {} bytes, parsed in {:?}",
        bytes.len(),
        began.elapsed()
    );
    assert_eq!(parsed.engine.nodes.len() as u64, nodes);
    assert!(bytes.len() as u64 / nodes < 400, "{} bytes", bytes.len());
}

#[test]
fn rejects_a_snapshot_that_is_truncated_or_of_another_format_version() {
    let whole = snapshot(3);
    let bytes = whole.bytes();
    for length in 0..bytes.len() {
        assert!(
            Snapshot::parse(&bytes[..length]).is_err(),
            "truncated to {length} bytes"
        );
    }
    assert!(Snapshot::parse(
        &Snapshot {
            format_version: FORMAT_VERSION + 1,
            ..whole
        }
        .bytes()
    )
    .is_err());
}

#[test_case(Some("soft 5 of a, b"), "soft 5", true; "the same names")]
#[test_case(Some("soft 5 of b, a"), "settings of another router", false; "in another order")]
#[test_case(Some("soft 5"), "settings of another router", false; "without names of indexes and tenants")]
#[test_case(None, "settings of another router", false; "no settings")]
fn engine_settings_are_own_only_with_the_same_names_in_the_same_order(
    settings: Option<&str>,
    expected: &str,
    is_own: bool,
) {
    let parsed = parse_settings(settings, " of a, b");
    assert_eq!(parsed.settings, expected);
    assert_eq!(parsed.is_own, is_own);
}
