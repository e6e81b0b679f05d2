//! The old and the new process of a hot restart may be of different releases, so each message keeps the frame that
//! released programs write and read.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use recorded::Recorded;
use ternpick_hot_restart::{decode, encode, Lease, Message};

fn decode_whole(frame: &[u8]) -> Option<Message> {
    match decode(frame) {
        Ok(Some((message, length))) if length == frame.len() => Some(message),
        _ => None,
    }
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "a list with one value for each recorded message"
)]
fn every_message_has_the_frame_of_the_release() {
    let lease = Lease {
        in_flight: 301,
        retries: 302,
        descriptors: 303,
        memory_bytes: 70_000_000_004,
    };
    let returned_lease = Lease {
        in_flight: 311,
        retries: 312,
        descriptors: 313,
        memory_bytes: 70_000_000_014,
    };
    let messages = [
        (
            "hello",
            Message::Hello {
                version: 1,
                program: "ternpick 0.2.0".into(),
            },
        ),
        (
            "offer",
            Message::Offer {
                version: 2,
                settings: 0x0102_0304_0506_0708,
            },
        ),
        ("checked-same", Message::Checked { same: true }),
        ("checked-other", Message::Checked { same: false }),
        ("descriptors", Message::Descriptors { count: 3 }),
        ("got", Message::Got),
        (
            "state",
            Message::State {
                left: 1_000,
                piece: vec![1, 2, 3],
            },
        ),
        ("ready", Message::Ready),
        ("commit", Message::Commit { lease }),
        ("took", Message::Took),
        (
            "client",
            Message::Client {
                unread: b"POST /half".to_vec(),
            },
        ),
        ("ping", Message::Ping),
        ("pong", Message::Pong),
        (
            "done",
            Message::Done {
                lease: returned_lease,
            },
        ),
        (
            "abandon",
            Message::Abandon {
                why: "it is late".into(),
            },
        ),
    ];
    let mut recorded = Recorded::parse(include_str!("release_bytes.txt"));
    for (name, message) in &messages {
        recorded.value(name, message, encode, decode_whole);
    }
    recorded.finish();
}
