//! Decoding of incomplete, corrupt and unknown frames, and the encoded bytes of each message.

use proptest::prelude::*;
use ternpick_hot_restart::{decode, encode, DecodeError, Lease, Message, MAX_BODY_BYTES, VERSION};
use test_case::test_case;

const LEASE: Lease = Lease {
    in_flight: 1,
    retries: 2,
    descriptors: 3,
    memory_bytes: 400,
};

#[test_case(Message::Hello { version: 1, program: "x".into() }; "hello")]
#[test_case(Message::State { left: 3, piece: vec![1; 70_000] }; "a piece")]
#[test_case(Message::Done { lease: Lease { in_flight: 1, retries: 2, descriptors: 3, memory_bytes: 4 } }; "done")]
fn a_frame_truncated_at_any_length_is_incomplete_and_a_whole_one_is_decoded(message: Message) {
    let frame = encode(&message);
    for length in (0..frame.len()).step_by(1 + frame.len() / 500) {
        assert_eq!(decode(&frame[..length]), Ok(None), "truncated at {length}");
    }
    let with_following_bytes = [&frame[..], b"rest"].concat();
    assert_eq!(
        decode(&with_following_bytes),
        Ok(Some((message, frame.len())))
    );
}

#[test_case(Message::Hello { version: 1, program: "x".into() }, &[4, 0, 0, 0, 100, 125, 67, 103, 0, 1, 1, 120]; "hello")]
#[test_case(Message::Offer { version: 1, settings: 300 }, &[4, 0, 0, 0, 135, 64, 134, 116, 1, 1, 172, 2]; "offer")]
#[test_case(Message::Checked { same: true }, &[2, 0, 0, 0, 235, 64, 232, 4, 2, 1]; "checked")]
#[test_case(Message::Descriptors { count: 2 }, &[2, 0, 0, 0, 16, 32, 250, 132, 3, 2]; "descriptors")]
#[test_case(Message::Got, &[1, 0, 0, 0, 148, 43, 111, 213, 4]; "got")]
#[test_case(Message::State { left: 3, piece: vec![7, 8] }, &[5, 0, 0, 0, 24, 29, 105, 94, 5, 3, 2, 7, 8]; "state")]
#[test_case(Message::Ready, &[1, 0, 0, 0, 184, 74, 97, 59, 6]; "ready")]
#[test_case(Message::Commit { lease: LEASE }, &[6, 0, 0, 0, 217, 21, 160, 209, 7, 1, 2, 3, 144, 3]; "commit")]
#[test_case(Message::Took, &[1, 0, 0, 0, 191, 103, 217, 220, 8]; "took")]
#[test_case(Message::Client { unread: vec![9] }, &[3, 0, 0, 0, 120, 107, 87, 144, 9, 1, 9]; "client")]
#[test_case(Message::Ping, &[1, 0, 0, 0, 147, 6, 215, 50, 10]; "ping")]
#[test_case(Message::Pong, &[1, 0, 0, 0, 5, 54, 208, 69, 11]; "pong")]
#[test_case(Message::Done { lease: LEASE }, &[6, 0, 0, 0, 26, 229, 103, 187, 12, 1, 2, 3, 144, 3]; "done")]
#[test_case(Message::Abandon { why: "y".into() }, &[3, 0, 0, 0, 152, 178, 91, 199, 13, 1, 121]; "abandon")]
fn a_message_has_the_bytes_that_earlier_releases_wrote(message: Message, frame: &[u8]) {
    assert_eq!(encode(&message), frame);
}

#[test]
fn a_frame_with_too_long_a_body_is_rejected_as_soon_as_its_length_is_read() {
    let length = u32::try_from(MAX_BODY_BYTES + 1).expect("fits");
    assert_eq!(
        decode(&length.to_le_bytes()),
        Err(DecodeError::TooLong {
            length: MAX_BODY_BYTES + 1
        })
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_frame_with_a_changed_byte_is_not_decoded(position in 0usize..64, new_byte in any::<u8>()) {
        let message = Message::Hello { version: VERSION, program: "ternpick 0.2.0".into() };
        let mut frame = encode(&message);
        let position = position % frame.len();
        prop_assume!(frame[position] != new_byte);
        frame[position] = new_byte;
        prop_assert!(!matches!(decode(&frame), Ok(Some(_))));
    }

    #[test]
    fn random_bytes_do_not_make_the_decoder_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&bytes);
    }
}
