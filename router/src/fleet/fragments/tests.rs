//! Tests of splitting and reassembling long messages.

use super::*;
use crate::fleet::peer_batch::MAX_BATCH_BYTES;
use test_case::test_case;

fn long_message(bytes: usize) -> PeerMessage {
    PeerMessage::Raft {
        from: ternpick_fleet_policy::ReplicaId(1),
        to: ternpick_fleet_policy::ReplicaId(2),
        message: vec![7; bytes],
    }
}

/// `order`: the indexes of the received fragments. `is_complete`: whether the message is complete after them.
#[test_case(&[0, 1, 2], true; "in order")]
#[test_case(&[2, 0, 0, 1], true; "in any order, one twice")]
#[test_case(&[0, 2], false; "one is lost")]
fn long_message_is_complete_once_all_fragments_have_arrived(order: &[usize], is_complete: bool) {
    let message = long_message(130_000);
    let mut buffer = FragmentBuffer::default();
    let from = Member::from("n1");
    let sent = split(&message, 4).expect("the message is within the fragment limit");
    assert_eq!(sent.len(), 3);
    let fits = |fragment: &PeerMessage| {
        postcard::to_stdvec(fragment).is_ok_and(|bytes| bytes.len() <= MAX_BATCH_BYTES)
    };
    assert!(sent.iter().all(fits));
    let received: Vec<PeerMessage> = order
        .iter()
        .filter_map(|index| buffer.add(&from, sent[*index].clone()))
        .collect();
    assert_eq!(received, if is_complete { vec![message] } else { vec![] });
    assert_eq!(
        buffer.0.is_empty(),
        is_complete,
        "the buffer is empty after a complete message"
    );
}

#[test]
fn newer_message_replaces_an_incomplete_message() {
    let mut buffer = FragmentBuffer::default();
    let from = Member::from("n1");
    let old = split(&long_message(100_000), 1);
    let new = split(&long_message(70_000), 2);
    assert_eq!(
        buffer.add(
            &from,
            old.expect("the message is within the fragment limit")[0].clone()
        ),
        None
    );
    let received: Vec<PeerMessage> = new
        .expect("the message is within the fragment limit")
        .into_iter()
        .filter_map(|fragment| buffer.add(&from, fragment))
        .collect();
    assert_eq!(received, [long_message(70_000)]);
}

#[test]
fn message_beyond_the_fragment_limits_is_neither_split_nor_buffered() {
    assert_eq!(split(&long_message(3 << 20), 1), None);
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
