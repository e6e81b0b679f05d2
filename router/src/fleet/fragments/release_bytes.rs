//! Checks the bytes of peer batches, which routers of different releases exchange. The messages inside are checked
//! next to their types, in `fleet_policy/tests/release_bytes.rs`.

use ternpick_consensus::FleetId;
use ternpick_fleet_policy::{OperationId, PeerMessage, ReplicaId};

use super::split;
use crate::fleet::peer_batch::{PeerBatch, PATH};
use crate::fleet::settings::fleet_id;
use crate::recorded::Recorded;

#[test]
fn peer_batch_keeps_the_bytes_of_released_programs() {
    let fleet = FleetId(0x0102_0304_0506_0708);
    let messages = vec![
        PeerMessage::Inspect {
            op: OperationId(1_001),
            question: "members".into(),
        },
        PeerMessage::Raft {
            from: ReplicaId(1_002),
            to: ReplicaId(1_003),
            message: vec![4, 5],
        },
    ];
    let batch = PeerBatch {
        fleet,
        from: "n1".into(),
        to: "n2".into(),
        messages,
    };
    let mut recorded = Recorded::parse(include_str!("release_bytes.txt"));
    recorded.value("parcel", &batch, PeerBatch::encode, |bytes| {
        PeerBatch::decode(bytes, fleet, &"n2".into()).ok()
    });
    let long = PeerMessage::InspectionResult {
        op: OperationId(1_004),
        json: "x".repeat(20),
    };
    for fragment in split(&long, 1_005).expect("the message is within the fragment limit") {
        let fragment_batch = PeerBatch {
            messages: vec![fragment],
            ..batch.clone()
        };
        recorded.bytes("piece", &fragment_batch.encode());
    }
    recorded.bytes("path", PATH.as_bytes());
    recorded.bytes("fleet-number", &fleet_id("kestrel-plains").0.to_be_bytes());
    recorded.finish();
}
