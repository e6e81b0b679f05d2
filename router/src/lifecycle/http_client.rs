//! One HTTP call to a service of the installation (discovery, sources of keys, other routers), bounded in bytes and time.
//!
//! Knows nothing of what is asked. Retries and schedules are the caller's.

use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use ternpick::types::Micros;
use ternpick_wire::http::{HttpError as MalformedResponse, Reader};
use ternpick_wire::ring::Ring;

use crate::lifecycle::socket_io::write_all;
use crate::router::Router;
use crate::stages::upstream_writer;

/// Bytes of a response that are read before they are parsed.
const INPUT_BUFFER_BYTES: usize = 16 * 1024;

/// Why a call has brought no document.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// No connection within the dial timeout.
    #[error("the connection could not be made")]
    NotConnected,
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The response is not HTTP, or larger than allowed.
    #[error("{0:?}")]
    Malformed(MalformedResponse),
    /// The connection was closed in the middle of the response.
    #[error("the connection ended")]
    Truncated,
    /// A status other than 200; 0 where the response has none.
    #[error("status {0}")]
    Status(u16),
    /// No complete response in time.
    #[error("no answer in time")]
    TimedOut,
}

/// For callers whose errors are still text.
impl From<HttpError> for String {
    fn from(error: HttpError) -> Self {
        error.to_string()
    }
}

/// Writes a request and reads its response, whose body is no longer than `bound` bytes. Any status but 200 is an error.
pub(crate) async fn exchange(
    stream: &Async<TcpStream>,
    request: &[u8],
    max_bytes: usize,
) -> Result<Reader, HttpError> {
    write_all(stream, request).await?;
    let response = read_response(stream, max_bytes).await?;
    match response.status() {
        Some(200) => Ok(response),
        status => Err(HttpError::Status(status.unwrap_or_default())),
    }
}

async fn read_response(stream: &Async<TcpStream>, max_bytes: usize) -> Result<Reader, HttpError> {
    let mut input = Ring::new(INPUT_BUFFER_BYTES);
    let mut response = Reader::for_responses(max_bytes);
    while !response.read(&mut input).map_err(HttpError::Malformed)? {
        stream.readable().await?;
        match stream.get_ref().read(input.free()) {
            // A response without a length is complete now. One that a reset cut off comes here as an error.
            Ok(0) if response.end_of_input() => break,
            Ok(0) => return Err(HttpError::Truncated),
            Ok(count) => input.commit(count),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Ok(response)
}

/// Gets a document of at most `bound` bytes on a connection of its own, within `timeout`.
pub(crate) async fn get(
    router: &Router,
    address: SocketAddr,
    path: &str,
    max_bytes: usize,
    timeout: Micros,
) -> Result<Vec<u8>, HttpError> {
    let call = async {
        let stream = upstream_writer::dial(router, address)
            .await
            .map_err(|_| HttpError::NotConnected)?;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\nConnection: close\r\n\r\n"
        );
        let response = exchange(&stream, request.as_bytes(), max_bytes).await?;
        Ok(response.body().to_vec())
    };
    let deadline = router.clock.now() + timeout;
    router
        .with_deadline(Some(deadline), call)
        .await
        .unwrap_or(Err(HttpError::TimedOut))
}
