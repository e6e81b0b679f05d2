//! Stand-ins that start the built program on loopback and speak to it as clients, nodes and discovery do. They follow
//! the protocol; all waiting is for an event, with a bound.

// Each test program uses a part of them.
#![allow(dead_code)]

pub(crate) mod cold;
pub(crate) mod draw;
pub(crate) mod faulty;
pub(crate) mod guarded;
pub(crate) mod release;
pub(crate) mod scripted;
pub(crate) mod shard_requests;
pub(crate) mod spoilt;
pub(crate) mod upgradable;

pub(crate) use ternpick_simulation::standins::{entry, frame, read_head, Act, Discovery, Node};

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rustix::net::{self, AddressFamily, SocketFlags, SocketType};

pub(crate) const BOUND: Duration = Duration::from_secs(10);

/// An address where nobody listens: nobody else uses it, so that its port stays free.
///
/// The socket that finds the port never listens. One that did was seen to live on in another test's child, between its fork and its
/// exec: a client that waited for the router reached that one, and was reset.
pub(crate) fn free() -> SocketAddr {
    static NUMBER: AtomicUsize = AtomicUsize::new(1);
    let (pid, number) = (std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed));
    let own = [
        127,
        1 + (pid % 250) as u8,
        (pid / 250 % 250) as u8,
        number as u8,
    ];
    let (family, flags) = (AddressFamily::INET, SocketFlags::CLOEXEC);
    let socket = net::socket_with(family, SocketType::STREAM, flags, None).expect("a socket");
    net::sockopt::set_socket_reuseaddr(&socket, true).expect("a socket");
    net::bind(&socket, &SocketAddr::from((own, 0))).expect("a port");
    let address = net::getsockname(&socket).expect("a port");
    SocketAddr::try_from(address).expect("an address of IP")
}

/// Three indexes: whole answers only; half is enough; never to run twice.
pub(crate) const SETTINGS: &str = r#"{"areas":["a"],"balancers":1,"zone":0,"tick":1000,"discovery":"on_request",
    "classes":[{"name":"whole","semantics":"idempotent","onTime":600000,"deadline":3000000},
               {"name":"half","semantics":"deduplicated","window":5000000,"onTime":600000,"deadline":3000000},
               {"name":"once","semantics":"at_most_once","onTime":600000,"deadline":3000000}],
    "ceilings":{"attemptsCap":3,"cancel":true,"dialTimeout":250000,"idleClose":9000000,"mostHeld":100,
                "secondCopies":true,"streamsPerConn":8,"probing":false},
    "extra":{"bundleMax":8,"classNeed":[1,1,1],"minShare":[1,0.5,1],"secondStep":[0,0,0],"positions":1,
             "reach":1,"shards":2},
    "report":{"via":"inline","columns":["depth"]},"rules":{"askWithin":9000000}}"#;

pub(crate) struct Router {
    pub(crate) child: Child,
    pub(crate) address: SocketAddr,
    pub(crate) discovery: SocketAddr,
    pub(crate) config: std::path::PathBuf,
}

impl Router {
    pub(crate) fn start(discovery: SocketAddr, known: &str, sockets: usize) -> Router {
        Router::start_with(discovery, known, sockets, 1, SETTINGS, |_| ())
    }

    /// A router on `settings` of the platform's, whose command `more` may change.
    pub(crate) fn start_with(
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        memory_mb: u64,
        settings: &str,
        more: impl FnOnce(&mut Command),
    ) -> Router {
        Router::start_seeded(7, discovery, known, sockets, memory_mb, settings, more)
    }

    /// One of many, each with chance of its own.
    pub(crate) fn start_seeded(
        seed: usize,
        discovery: SocketAddr,
        known: &str,
        sockets: usize,
        memory_mb: u64,
        settings: &str,
        more: impl FnOnce(&mut Command),
    ) -> Router {
        static NUMBER: AtomicUsize = AtomicUsize::new(0);
        let (port, pid, number) = (
            free(),
            std::process::id(),
            NUMBER.fetch_add(1, Ordering::Relaxed),
        );
        let name = format!("ternpick-{pid}-{number}.json");
        let config = std::env::temp_dir().join(name);
        let text = format!(
            r#"{{"name":"n0","listen":"{port}","discovery":"{discovery}","seed":"{seed:x}","settings":{settings},
                "limits":{{"sockets":{sockets},"memory_mb":{memory_mb}}},"known":{{"index":1,"snapshot":true,"endpoints":[{known}]}}}}"#
        );
        std::fs::write(&config, text).expect("a configuration");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
        command
            .args(["serve", "--config"])
            .arg(&config)
            .env("RUST_LOG", "off");
        more(&mut command);
        let child = command.spawn().expect("the router starts");
        let mut router = Router {
            child,
            address: port,
            discovery,
            config,
        };
        let late = Instant::now() + BOUND;
        while TcpStream::connect(router.address).is_err() {
            let ended = router.child.try_wait().expect("a child");
            assert!(
                ended.is_none() && Instant::now() < late,
                "the router listens in time, {ended:?}"
            );
            thread::sleep(Duration::from_millis(2));
        }
        router
    }

    /// Starts the program again in the place of one that has ended.
    pub(crate) fn again(&mut self) {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
        command
            .args(["serve", "--config"])
            .arg(&self.config)
            .env("RUST_LOG", "off");
        self.child = command.spawn().expect("the router starts");
    }

    /// A router of one or two nodes that are listed, each with what it does.
    pub(crate) fn with(nodes: &[Act]) -> (Router, Vec<Node>, Discovery) {
        let nodes: Vec<Node> = nodes.iter().map(|act| Node::start([*act; 2])).collect();
        let listed = nodes
            .iter()
            .enumerate()
            .map(|(at, node)| entry(&format!("s{at}"), node.address, "Ready"));
        let (discovery, listed) = (Discovery::default(), listed.collect::<Vec<_>>().join(","));
        (
            Router::start(discovery.start(), &listed, 1024),
            nodes,
            discovery,
        )
    }

    pub(crate) fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).expect("a connection");
        stream.set_read_timeout(Some(BOUND)).expect("a time-out");
        stream
    }

    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill")
            .args([signal, &pid])
            .status()
            .expect("kill runs")
            .success());
    }

    /// Replaces the configuration, and has it read.
    pub(crate) fn reload(&self, change: impl FnOnce(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("a configuration");
        std::fs::write(&self.config, change(text)).expect("a configuration");
        self.signal("-HUP");
    }

    pub(crate) fn ended(&mut self) -> bool {
        let late = Instant::now() + BOUND;
        while Instant::now() < late {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.success();
            }
            thread::sleep(Duration::from_millis(5));
        }
        panic!("the router ends in time");
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

pub(crate) fn request(index: &str, id: &str) -> String {
    request_of(
        index,
        id,
        r#"{"tablet":0,"fraction":0.5},{"tablet":1,"fraction":0.5}"#,
    )
}

pub(crate) fn request_of(index: &str, id: &str, parts: &str) -> String {
    let body = format!(r#"{{"tablets":[{parts}],"statement":"find"}}"#);
    format!(
        "POST /{index} HTTP/1.1\r\nHost: x\r\nReq-Id: {id}\r\nReq-Kind: {index}\r\nReq-Deadline-Ms: 2000\r\n\
         Idempotency-Key: key{id}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// An answer's status, head and body.
pub(crate) fn answer(stream: &mut TcpStream) -> (u16, String, String) {
    let head = read_head(stream).expect("an answer");
    let of = |name: &str| {
        head.split(name)
            .nth(1)
            .and_then(|rest| rest.split("\r\n").next())
    };
    let length = of("Content-Length: ")
        .and_then(|n| n.parse().ok())
        .expect("a length");
    let mut body = vec![0; length];
    stream.read_exact(&mut body).expect("a body");
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|n| n.parse().ok())
        .expect("a status");
    (status, head, String::from_utf8(body).expect("text"))
}

/// Whether the other side has ended a connection, as a client sees it before it writes.
pub(crate) fn has_ended(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let ended = !matches!(stream.peek(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock);
    stream.set_nonblocking(false).expect("a socket");
    ended
}

/// Reads up to the last byte of an answer: its status; if the connection ends before, whether not one byte came.
pub(crate) fn status_of(stream: &mut TcpStream) -> Result<u16, bool> {
    response_of(stream).map(|(status, _)| status)
}

/// Reads up to the last byte of an answer: its status and body; if the connection ends before, whether not one byte came.
pub(crate) fn response_of(stream: &mut TcpStream) -> Result<(u16, String), bool> {
    let (mut bytes, mut some) = (Vec::new(), [0; 4096]);
    loop {
        match stream.read(&mut some) {
            Ok(count) if count > 0 => bytes.extend_from_slice(&some[..count]),
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            _ => return Err(bytes.is_empty()),
        }
        let text = String::from_utf8_lossy(&bytes);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let of = |name: &str| {
            head.split(name)
                .nth(1)
                .and_then(|rest| rest.split("\r\n").next())
        };
        let length: usize = of("Content-Length: ")
            .and_then(|n| n.parse().ok())
            .expect("a length");
        if body.len() >= length {
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|n| n.parse().ok())
                .expect("a status");
            return Ok((status, body.to_owned()));
        }
    }
}

pub(crate) fn ask(stream: &mut TcpStream, index: &str, id: &str) -> (u16, String, String) {
    stream
        .write_all(request(index, id).as_bytes())
        .expect("written");
    answer(stream)
}

pub(crate) fn health(router: &Router) -> u16 {
    let mut stream = router.connect();
    stream
        .write_all(b"GET /_health HTTP/1.1\r\nConnection: close\r\n\r\n")
        .expect("written");
    answer(&mut stream).0
}

pub(crate) const WHOLE: &str =
    r#"{"full":true,"pieces":[{"cell":"v0","tablet":0},{"cell":"v1","tablet":1}]}"#;
