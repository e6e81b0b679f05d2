//! HTTP/1.1 (RFC 9112) with clients, discovery and other routers: an incremental parser for requests and responses,
//! whose bodies have a length or are chunked, and the encoding of responses.
//!
//! This module does no I/O: [`Reader`] takes bytes from a [`Ring`](crate::ring::Ring), [`encode_response`] returns
//! bytes.

mod error;
mod reader;
#[cfg(test)]
mod tests;

use std::fmt::Write;

pub use error::HttpError;
pub use reader::Reader;

/// The longest head (start line and headers together), in bytes.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The longest trailer of a chunked body, in bytes.
pub const MAX_TRAILER_BYTES: usize = 16 * 1024;
/// The longest size line of a chunk with its extensions, in bytes. It bounds the memory of an incomplete line.
pub const MAX_CHUNK_LINE_BYTES: usize = 16 * 1024;
/// The framing of chunks (size lines, and the line ends behind chunks) that is read for each byte of the body, in bytes.
/// A chunk of one byte takes up five, and more with an extension.
pub const CHUNK_FRAMING_PER_BODY_BYTE: usize = 64;
/// The framing of chunks that is read beyond [`CHUNK_FRAMING_PER_BODY_BYTE`], in bytes.
pub const CHUNK_FRAMING_BASE_BYTES: usize = 16 * 1024;
/// The most headers of a message. Short headers take up far more memory than their bytes.
pub const MAX_HEADERS: usize = 100;
/// The longest body that a client may send, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        505 => "HTTP Version Not Supported",
        _ => "Other",
    }
}

/// Encodes a response to a client. `headers` are complete lines including their CRLF. With `close`, the response
/// announces that the connection ends after it.
pub fn encode_response(status: u16, headers: &str, body: &str, close: bool) -> Vec<u8> {
    let content_type = if status == 200 {
        "application/json"
    } else {
        "text/plain; charset=utf-8"
    };
    let connection = if close { "Connection: close\r\n" } else { "" };
    let reason = reason(status);
    let length = body.len();
    let mut text = String::with_capacity(160 + headers.len() + length);
    // Writing to a String does not fail.
    let _ = write!(
        text,
        "HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n{headers}{connection}\r\n{body}"
    );
    text.into_bytes()
}
