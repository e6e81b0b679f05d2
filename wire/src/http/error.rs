//! The errors of the HTTP parser, with the text and status that a client gets for them.

use thiserror::Error;

/// Why a message is rejected. The router ends the connection after such an error. The `Display` text is the body of
/// the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The message is not HTTP, for the given reason.
    #[error("{0}")]
    Malformed(&'static str),
    /// The body, or the chunks of a body together, exceed the limit for bodies.
    #[error("the body is too large")]
    BodyTooLarge,
    /// A chunk's size line is longer than [`MAX_CHUNK_LINE_BYTES`](super::MAX_CHUNK_LINE_BYTES), or the framing of
    /// chunks is out of proportion to the body.
    #[error("the framing of the chunks is too large")]
    FramingTooLarge,
    /// The head is longer than [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES), or has more than
    /// [`MAX_HEADERS`](super::MAX_HEADERS) headers; or the trailer is longer than
    /// [`MAX_TRAILER_BYTES`](super::MAX_TRAILER_BYTES).
    #[error("the head is too large")]
    HeadTooLarge,
    /// The transfer coding is not `chunked`.
    #[error("only chunked transfer is known")]
    UnknownCoding,
    /// The HTTP version is neither 1.0 nor 1.1.
    #[error("only HTTP/1.0 and 1.1 are known")]
    UnknownVersion,
    /// The request took longer to arrive than a client waits for a response. The parser's caller detects this.
    #[error("the request came too slowly")]
    TooSlow,
    /// The incomplete request was dropped to free resources for others. The parser's caller detects this.
    #[error("no room for a request that is not whole")]
    NoRoom,
}

impl HttpError {
    /// The status of the response to a request that fails with this error (RFC 9110, section 15).
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::TooSlow => 408,
            HttpError::BodyTooLarge | HttpError::FramingTooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::UnknownCoding => 501,
            HttpError::NoRoom => 503,
            HttpError::UnknownVersion => 505,
        }
    }
}
