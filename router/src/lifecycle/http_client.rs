//! A single HTTP call to a service of the installation (discovery, key sources, other routers), limited in size and
//! time.
//!
//! It is independent of the content of calls. The callers decide on retries and schedules.

use std::io::{self, ErrorKind, Read};
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use ternpick::types::Micros;
use ternpick_wire::http::{HttpError as MalformedResponse, Reader};
use ternpick_wire::ring::Ring;

use crate::lifecycle::socket_io::write_all;
use crate::router::Router;
use crate::stages::upstream_writer;

/// The size of the buffer from which a response is parsed.
const INPUT_BUFFER_BYTES: usize = 16 * 1024;

/// Why a call returned no document.
#[derive(Debug, thiserror::Error)]
pub(crate) enum HttpError {
    /// The connection failed or was not established within the dial timeout.
    #[error("the connection could not be established")]
    NotConnected,
    /// Reading or writing failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The response is not HTTP, or larger than allowed.
    #[error("{0:?}")]
    Malformed(MalformedResponse),
    /// The connection was closed in the middle of the response.
    #[error("the connection was closed before the response was complete")]
    Truncated,
    /// The response has a status other than 200; 0 if it has none.
    #[error("response status {0}, expected 200")]
    Status(u16),
    /// The response was not complete within the timeout.
    #[error("no complete response within the timeout")]
    TimedOut,
}

/// For callers whose errors are strings.
impl From<HttpError> for String {
    fn from(error: HttpError) -> Self {
        error.to_string()
    }
}

/// Writes a request and reads its response, whose body may have up to `max_bytes` bytes. Any status but 200 is an
/// error.
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
            // A response without a length ends with the connection. If a reset cuts it off, the read returns an error
            // instead.
            Ok(0) if response.end_of_input() => break,
            Ok(0) => return Err(HttpError::Truncated),
            Ok(count) => input.commit(count),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(e) => return Err(e.into()),
        }
    }
    Ok(response)
}

/// Gets a document of at most `max_bytes` bytes over a new connection, within `timeout`.
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
        .with_peer_deadline(Some(deadline), call)
        .await
        .unwrap_or(Err(HttpError::TimedOut))
}
