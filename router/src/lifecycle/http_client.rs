//! One call over HTTP to a service of the installation, bounded in bytes and time.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};

use async_io::Async;
use ternpick::types::Micros;

use crate::router::Router;
use crate::stages::upstream_writer;
use ternpick_wire::http::Reader;
use ternpick_wire::ring::Ring;

const IN_BOUND: usize = 16 * 1024;

/// Writes a request and reads its answer, whose body is no longer than `bound`.
pub async fn exchange(
    stream: &Async<TcpStream>,
    request: &[u8],
    bound: usize,
) -> Result<Reader, String> {
    let words = |e: std::io::Error| e.to_string();
    let mut rest = request;
    while !rest.is_empty() {
        let count = stream
            .write_with(|mut stream| stream.write(rest))
            .await
            .map_err(words)?;
        rest = &rest[count..];
    }
    let (mut input, mut answer) = (Ring::new(IN_BOUND), Reader::of_answers(bound));
    while !answer
        .read(&mut input)
        .map_err(|fault| format!("{fault:?}"))?
    {
        stream.readable().await.map_err(words)?;
        match stream.get_ref().read(input.free()) {
            // An answer without a length is whole now. One that a reset cut off comes here as an error.
            Ok(0) if answer.ended() => break,
            Ok(0) => return Err("the connection ended".into()),
            Ok(count) => input.filled_more(count),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(e) => return Err(words(e)),
        }
    }
    match answer.status() {
        Some(200) => Ok(answer),
        status => Err(format!("status {}", status.unwrap_or_default())),
    }
}

/// Gets a document on a connection of its own, within `patience`.
pub async fn get(
    router: &Router,
    address: SocketAddr,
    path: &str,
    bound: usize,
    patience: Micros,
) -> Result<Vec<u8>, String> {
    let call = async {
        let stream = upstream_writer::dial(router, address)
            .await
            .map_err(|_| "the connection could not be made")?;
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\nConnection: close\r\n\r\n"
        );
        exchange(&stream, request.as_bytes(), bound)
            .await
            .map(|answer| answer.body().to_vec())
    };
    let late = router.clock.now() + patience;
    router
        .with_deadline(Some(late), call)
        .await
        .unwrap_or_else(|| Err("no answer in time".into()))
}
