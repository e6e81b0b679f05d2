//! Tests of splitting long messages and putting them together.

use super::*;
use crate::fleet::peer_batch::MAX_BATCH_BYTES;
use test_case::test_case;

fn long(bytes: usize) -> PeerMessage {
    PeerMessage::Raft {
        from: ternpick_fleet_policy::ReplicaId(1),
        to: ternpick_fleet_policy::ReplicaId(2),
        message: vec![7; bytes],
    }
}

/// In which order the fragments of a message come, by number; whether it is complete then.
#[test_case(&[0, 1, 2], true; "in order")]
#[test_case(&[2, 0, 0, 1], true; "in any order, one twice")]
#[test_case(&[0, 2], false; "one is lost")]
fn a_long_message_is_complete_once_all_its_fragments_have_come(order: &[usize], is_complete: bool) {
    let message = long(130_000);
    let mut buffer = FragmentBuffer::default();
    let from = Member::from("n1");
    let sent = split(&message, 4).expect("it may be sent");
    assert_eq!(sent.len(), 3);
    let fits = |of: &PeerMessage| {
        postcard::to_stdvec(of).is_ok_and(|bytes| bytes.len() <= MAX_BATCH_BYTES)
    };
    assert!(sent.iter().all(fits));
    let received: Vec<PeerMessage> = order
        .iter()
        .filter_map(|at| buffer.add(&from, sent[*at].clone()))
        .collect();
    assert_eq!(received, if is_complete { vec![message] } else { vec![] });
    assert_eq!(
        buffer.0.is_empty(),
        is_complete,
        "a complete message leaves nothing behind"
    );
}

#[test]
fn a_newer_message_takes_the_place_of_one_that_never_became_complete() {
    let mut buffer = FragmentBuffer::default();
    let from = Member::from("n1");
    let old = split(&long(100_000), 1);
    let new = split(&long(70_000), 2);
    assert_eq!(buffer.add(&from, old.expect("sent")[0].clone()), None);
    let received: Vec<PeerMessage> = new
        .expect("sent")
        .into_iter()
        .filter_map(|of| buffer.add(&from, of))
        .collect();
    assert_eq!(received, [long(70_000)]);
}

#[test]
fn a_message_beyond_the_bounds_is_neither_sent_nor_kept() {
    assert_eq!(split(&long(3 << 20), 1), None);
    let mut buffer = FragmentBuffer::default();
    let from = Member::from("n1");
    let out_of_bounds = PeerMessage::Fragment {
        number: 1,
        index: 9,
        count: u16::MAX,
        bytes: vec![0; 10],
    };
    assert_eq!(
        (buffer.add(&from, out_of_bounds), buffer.0.len()),
        (None, 0)
    );
}
