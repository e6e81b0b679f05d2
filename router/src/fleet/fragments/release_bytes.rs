//! Routers of two releases exchange parcels: the envelope keeps the bytes that released programs write and read. What may
//! stand in it is guarded beside its types, in `policy/tests/release_bytes.rs`.

use ternpick_fleet_policy::{OperationId, ReplicaId};

use super::*;
use crate::recorded::Recorded;

#[test]
fn a_parcel_has_the_bytes_of_the_release() {
    let fleet = FleetId(0x0102_0304_0506_0708);
    let said = vec![
        PeerMessage::Inspect {
            op: OperationId(1_001),
            what: "members".into(),
        },
        PeerMessage::Raft {
            from: ReplicaId(1_002),
            to: ReplicaId(1_003),
            word: vec![4, 5],
        },
    ];
    let parcel = PeerBatch {
        fleet,
        from: "n1".into(),
        to: "n2".into(),
        said,
    };
    let mut recorded = Recorded::parse(include_str!("release_bytes.txt"));
    recorded.value("parcel", &parcel, PeerBatch::bytes, |bytes| {
        PeerBatch::parse(bytes, fleet, &"n2".into()).ok()
    });
    let long = PeerMessage::InspectionResult {
        op: OperationId(1_004),
        json: "x".repeat(20),
    };
    for piece in in_pieces(&long, 1_005).expect("it may be sent") {
        let alone = PeerBatch {
            said: vec![piece],
            ..parcel.clone()
        };
        recorded.bytes("piece", &alone.bytes());
    }
    recorded.bytes("path", PATH.as_bytes());
    recorded.bytes(
        "fleet-number",
        &crate::fleet::number_of("kestrel-plains").0.to_be_bytes(),
    );
    recorded.finish();
}
