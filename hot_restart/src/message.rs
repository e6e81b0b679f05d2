//! The messages between the two processes and their frames: the length and the CRC-32 of the body, four bytes each,
//! least significant first; then the body, a [`Message`] in postcard.

use serde::{Deserialize, Serialize};

use crate::lease::Lease;

/// The version of the protocol. Processes with different versions abandon the restart, and the old one continues to
/// serve.
pub const VERSION: u16 = 1;
/// The longest body of a frame, in bytes. A longer snapshot is sent in pieces.
pub const MAX_BODY_BYTES: usize = 128 * 1024;

const LENGTH_BYTES: usize = 4;
const CHECKSUM_BYTES: usize = 4;
const HEADER_BYTES: usize = LENGTH_BYTES + CHECKSUM_BYTES;

/// A message between the two processes. postcard encodes variants and fields by position: their order is the wire
/// format, which the previous release must be able to read too.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// New to old: the new process has started.
    Hello {
        /// The sender's [`VERSION`].
        version: u16,
        /// The sender's program name, version and process id, for the log.
        program: String,
    },
    /// Old to new: asks whether the new process runs on the same settings.
    Offer {
        /// The sender's [`VERSION`].
        version: u16,
        /// The digest of the sender's settings.
        settings: u64,
    },
    /// New to old: the new process can use its settings and has compared them with the offer.
    Checked {
        /// Whether its settings have the digest that was offered.
        same: bool,
    },
    /// Old to new: the listeners, whose descriptors are attached to this message.
    Descriptors {
        /// The number of descriptors.
        count: u8,
    },
    /// New to old: the new process has received the descriptors.
    Got,
    /// Old to new: a piece of the snapshot.
    State {
        /// The number of pieces that follow.
        left: u32,
        /// The bytes of this piece.
        piece: Vec<u8>,
    },
    /// New to old: the snapshot is loaded, and the new process is ready to serve.
    Ready,
    /// Old to new: the new process is to accept clients.
    Commit {
        /// The part of the capacity that the new process may use.
        lease: Lease,
    },
    /// New to old: the new process accepts clients.
    Took,
    /// Old to new: a client connection, whose descriptor is attached to this message.
    Client {
        /// Bytes that the old process has read from the client and not handled.
        unread: Vec<u8>,
    },
    /// Old to new: asks whether the new process responds.
    Ping,
    /// New to old: the answer to a ping.
    Pong,
    /// Old to new: the old process has drained and exits.
    Done {
        /// The lease that the old process returns.
        lease: Lease,
    },
    /// Old to new: the old process abandons the restart and continues to serve; the new one is to exit.
    Abandon {
        /// The reason, for the log.
        why: String,
    },
}

impl Message {
    /// A description of the kind of message, for the log.
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
            Message::Took => "the confirmation of a commit",
            Message::Client { .. } => "a client connection",
            Message::Ping => "a ping",
            Message::Pong => "a pong",
            Message::Done { .. } => "the end of draining",
            Message::Abandon { .. } => "the end of an upgrade",
        }
    }
}

/// Why bytes cannot be decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The length in the header exceeds [`MAX_BODY_BYTES`].
    #[error("frame body of {length} bytes exceeds the limit of {MAX_BODY_BYTES} bytes")]
    TooLong {
        /// The length in the header, in bytes.
        length: usize,
    },
    /// The body does not have the checksum in the header.
    #[error("frame body does not match the checksum in its header")]
    Checksum,
    /// The body is not a message of this version.
    #[error("frame body is not a message of protocol version {VERSION}")]
    Unknown,
}

/// The first message in the decoded bytes and the length of its frame, or None if the frame is incomplete.
pub type Decoded = Option<(Message, usize)>;

/// Encodes a message as a frame.
pub fn encode(message: &Message) -> Vec<u8> {
    let body =
        postcard::to_stdvec(message).expect("sequences of known length can always be encoded");
    // The receiver rejects a body longer than MAX_BODY_BYTES, so a length that does not fit the header may be
    // saturated.
    let length = u32::try_from(body.len()).unwrap_or(u32::MAX);
    let checksum = crc32fast::hash(&body);
    [
        &length.to_le_bytes()[..],
        &checksum.to_le_bytes()[..],
        &body,
    ]
    .concat()
}

/// Decodes the frame that `bytes` starts with.
///
/// # Errors
/// Any [`DecodeError`]. The link cannot be used after an error.
pub fn decode(bytes: &[u8]) -> Result<Decoded, DecodeError> {
    let Some(length) = read_u32(bytes, 0) else {
        return Ok(None);
    };
    let length = length as usize;
    if length > MAX_BODY_BYTES {
        return Err(DecodeError::TooLong { length });
    }
    let Some(checksum) = read_u32(bytes, LENGTH_BYTES) else {
        return Ok(None);
    };
    let frame_length = HEADER_BYTES + length;
    let Some(body) = bytes.get(HEADER_BYTES..frame_length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != checksum {
        return Err(DecodeError::Checksum);
    }
    match postcard::take_from_bytes(body) {
        Ok((message, [])) => Ok(Some((message, frame_length))),
        _ => Err(DecodeError::Unknown),
    }
}

fn read_u32(bytes: &[u8], offset: usize) -> Option<u32> {
    let encoded = bytes.get(offset..offset + 4)?;
    encoded.try_into().ok().map(u32::from_le_bytes)
}
