//! Why a message cannot be read on, and what a client is told.

use thiserror::Error;

/// Why a message cannot be read on; the connection ends with it. Displays as the text that a client is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// It is not HTTP, for the reason named.
    #[error("{0}")]
    Malformed(&'static str),
    /// The body, or its chunks together, are longer than their bound.
    #[error("the body is too large")]
    BodyTooLarge,
    /// The head is longer than [`MAX_HEAD_BYTES`](super::MAX_HEAD_BYTES), or has more than
    /// [`MAX_HEADERS`](super::MAX_HEADERS) headers.
    #[error("the head is too large")]
    HeadTooLarge,
    /// A transfer coding other than `chunked`.
    #[error("only chunked transfer is known")]
    UnknownCoding,
    /// An HTTP version other than 1.0 and 1.1.
    #[error("only HTTP/1.0 and 1.1 are known")]
    UnknownVersion,
    /// It takes longer to arrive than anybody waits for its answer. Found by the reader's caller.
    #[error("the request came too slowly")]
    TooSlow,
    /// It has made room for others while it was arriving. Found by the reader's caller.
    #[error("no room for a request that is not whole")]
    NoRoom,
}

impl HttpError {
    /// The status of the answer to a request that fails so (RFC 9110, section 15).
    pub fn status(self) -> u16 {
        match self {
            HttpError::Malformed(_) => 400,
            HttpError::TooSlow => 408,
            HttpError::BodyTooLarge => 413,
            HttpError::HeadTooLarge => 431,
            HttpError::UnknownCoding => 501,
            HttpError::NoRoom => 503,
            HttpError::UnknownVersion => 505,
        }
    }
}
