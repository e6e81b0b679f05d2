//! What the two sides say to each other, and its form on the link: length, checksum, then the message (postcard).

use serde::{Deserialize, Serialize};

use crate::lease::Lease;

/// The form of the messages. Sides of different versions fall back; nothing is guessed.
pub const VERSION: u16 = 1;
/// The longest frame, in bytes; a longer snapshot goes in pieces.
pub const FRAME_BOUND: usize = 128 * 1024;
/// Length and checksum, four bytes each, least significant first.
const HEAD: usize = 8;

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// The new one is there.
    Hello {
        version: u16,
        program: String,
    },
    /// The old one asks whether these settings (their digest) are what the new one was started with.
    Offer {
        version: u16,
        settings: u64,
    },
    /// The new one can use its configuration; `same`: as the old one.
    Checked {
        same: bool,
    },
    /// So many listeners' descriptors come with this.
    Descriptors {
        count: u8,
    },
    Got,
    /// A piece of the snapshot, and how many come after it.
    State {
        left: u32,
        piece: Vec<u8>,
    },
    /// The new one has read the snapshot in and could serve.
    Ready,
    /// The new one is to accept, on this lease.
    Commit {
        lease: Lease,
    },
    /// It accepts.
    Took,
    /// A client's connection, its descriptor with this, and what it has sent already.
    Client {
        unread: Vec<u8>,
    },
    Ping,
    Pong,
    /// The old one has nothing left: its lease returns.
    Done {
        lease: Lease,
    },
    /// The old one goes on alone.
    Abandon {
        why: String,
    },
}

impl Message {
    /// Its name, for people.
    pub fn name(&self) -> &'static str {
        match self {
            Message::Hello { .. } => "hello",
            Message::Offer { .. } => "an offer",
            Message::Checked { .. } => "checked settings",
            Message::Descriptors { .. } => "listeners",
            Message::Got => "a receipt",
            Message::State { .. } => "state",
            Message::Ready => "ready",
            Message::Commit { .. } => "a commit",
            Message::Took => "the word that it serves",
            Message::Client { .. } => "a client",
            Message::Ping => "a question",
            Message::Pong => "an answer",
            Message::Done { .. } => "the end",
            Message::Abandon { .. } => "the end of an upgrade",
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    #[error("a frame longer than any is")]
    TooLong,
    #[error("a frame whose checksum is wrong")]
    Checksum,
    #[error("a message that is not known")]
    Unknown,
}

/// A message and how many bytes it took, or none yet.
pub type Decoded = Option<(Message, usize)>;

pub fn encode(message: &Message) -> Vec<u8> {
    let body = postcard::to_stdvec(message).unwrap_or_default();
    let sum = crc32fast::hash(&body);
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    [&length.to_le_bytes()[..], &sum.to_le_bytes(), &body].concat()
}

pub fn decode(bytes: &[u8]) -> Result<Decoded, DecodeError> {
    let word = |at: usize| {
        bytes
            .get(at..at + 4)
            .and_then(|four| four.try_into().ok())
            .map(u32::from_le_bytes)
    };
    let (Some(length), sum) = (word(0), word(4)) else {
        return Ok(None);
    };
    let length = length as usize;
    if length > FRAME_BOUND {
        return Err(DecodeError::TooLong);
    }
    let (Some(sum), Some(body)) = (sum, bytes.get(HEAD..HEAD + length)) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != sum {
        return Err(DecodeError::Checksum);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(Some((message, HEAD + length))),
        _ => Err(DecodeError::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use test_case::test_case;

    #[test_case(Message::Hello { version: 1, program: "x".into() }; "hello")]
    #[test_case(Message::State { left: 3, piece: vec![1; 70_000] }; "a piece")]
    #[test_case(Message::Done { lease: Lease { held: 1, extra: 2, sockets: 3, memory: 4 } }; "done")]
    fn a_frame_cut_at_any_length_waits_and_a_whole_one_is_read(message: Message) {
        let frame = encode(&message);
        for length in (0..frame.len()).step_by(1 + frame.len() / 500) {
            assert_eq!(decode(&frame[..length]), Ok(None), "cut at {length}");
        }
        let more = [&frame[..], b"rest"].concat();
        assert_eq!(decode(&more), Ok(Some((message, frame.len()))));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn spoilt_bytes_are_no_message(at in 0usize..64, to in any::<u8>()) {
            let message = Message::Hello { version: VERSION, program: "ternpick 0.2.0".into() };
            let mut frame = encode(&message);
            let at = at % frame.len();
            prop_assume!(frame[at] != to);
            frame[at] = to;
            prop_assert!(!matches!(decode(&frame), Ok(Some(_))));
        }

        #[test]
        fn any_bytes_are_read_or_refused(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
            let _ = decode(&bytes);
        }
    }
}
