//! A client's side: connections with TLS and without, what is sent and what comes back.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use rustls::pki_types::ServerName;

use crate::common::{answer, request, BOUND};

pub(crate) struct Secure(pub rustls::StreamOwned<rustls::ClientConnection, TcpStream>);

impl Secure {
    pub(crate) fn over(
        address: SocketAddr,
        config: &Arc<rustls::ClientConfig>,
    ) -> std::io::Result<Secure> {
        let name = ServerName::try_from("localhost").expect("a name");
        let tls = rustls::ClientConnection::new(Arc::clone(config), name)
            .map_err(std::io::Error::other)?;
        let socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(BOUND))?;
        let mut stream = rustls::StreamOwned::new(tls, socket);
        while stream.conn.is_handshaking() {
            stream.conn.complete_io(&mut stream.sock)?;
        }
        Ok(Secure(stream))
    }
}

/// Either kind of connection.
pub(crate) trait Talks: Read + Write {}
impl<T: Read + Write> Talks for T {}

pub(crate) fn with_headers(index: &str, id: &str, statement: &str, headers: &str) -> String {
    let body = request(index, id)
        .split("\r\n\r\n")
        .nth(1)
        .expect("a body")
        .replace("find", statement);
    format!(
        "POST /{index} HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Deadline-Ms: 2000\r\n\
         Idempotency-Key: key{id}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub(crate) fn bearer(token: &str) -> String {
    format!("Authorization: Bearer {token}\r\n")
}

pub(crate) fn send(stream: &mut dyn Talks, index: &str, statement: &str, headers: &str) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let id = format!("q{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    stream
        .write_all(with_headers(index, &id, statement, headers).as_bytes())
        .expect("written");
}

/// Asks; the status, head and body come back.
pub(crate) fn ask(
    stream: &mut dyn Talks,
    index: &str,
    statement: &str,
    headers: &str,
) -> (u16, String, String) {
    send(stream, index, statement, headers);
    receive(stream)
}

pub(crate) fn receive(stream: &mut dyn Talks) -> (u16, String, String) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("an answer");
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).expect("text");
    let length = head
        .split("Content-Length: ")
        .nth(1)
        .and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    let mut body = vec![0; length.expect("a length")];
    stream.read_exact(&mut body).expect("a body");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("a status");
    (status, head, String::from_utf8(body).expect("text"))
}

pub(crate) fn status_of(stream: &mut TcpStream) -> u16 {
    answer(stream).0
}
