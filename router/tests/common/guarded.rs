//! A guarded router and what stands round it: keys, tokens, a feed of revocations, certificates, a key service.

mod authority;
mod client;
mod service;
mod world;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::{entry, free, Act, Discovery, Node, Router, BOUND};

#[allow(unused_imports, reason = "each test program uses a part of them")]
pub(crate) use self::{
    client::{ask, bearer, receive, send, status_of, with_headers, Secure, Talks},
    service::{Moment, Serves, Service},
    world::{now, World},
};

/// The router that it guards, its one node that serves, and its log on the way.
pub(crate) struct Guarded {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    _discovery: Discovery,
    pub(crate) log: PathBuf,
    pub(crate) tls: SocketAddr,
}

impl Guarded {
    pub(crate) fn start(world: &World) -> Guarded {
        Guarded::with(world, None, None, "info", 1024)
    }

    pub(crate) fn with(
        world: &World,
        keys: Option<&str>,
        feed: Option<&str>,
        log: &str,
        sockets: usize,
    ) -> Guarded {
        Guarded::sized(world, keys, feed, log, sockets, 32)
    }

    pub(crate) fn sized(
        world: &World,
        keys: Option<&str>,
        feed: Option<&str>,
        level: &str,
        sockets: usize,
        memory_mb: u64,
    ) -> Guarded {
        let (nodes, discovery, tls) = (
            vec![Node::start([Act::Serve; 2])],
            Discovery::default(),
            free(),
        );
        let listed = entry("s0", nodes[0].address, "Ready");
        let (settings, log) = (world.settings(keys, feed, Some(tls)), world.path("log"));
        let out = std::fs::File::create(&log).expect("a log");
        let router = Router::start_with(
            discovery.start(),
            &listed,
            sockets,
            memory_mb,
            super::SETTINGS,
            |command| {
                command
                    .arg("--settings")
                    .arg(&settings)
                    .env("RUST_LOG", level)
                    .stderr(Stdio::from(out));
            },
        );
        let guarded = Guarded {
            router,
            nodes,
            _discovery: discovery,
            log,
            tls,
        };
        if keys.is_none() {
            guarded.log_has("identity: keys changed keys=1 new=");
        }
        guarded
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    pub(crate) fn log_has(&self, words: &str) {
        within(
            || self.log().contains(words),
            &format!("'{words}' in {}", self.log()),
        );
    }

    pub(crate) fn secure(&self, config: &Arc<rustls::ClientConfig>) -> Secure {
        Secure::over(self.tls, config).expect("a handshake")
    }
}

/// Waits until something is so.
pub(crate) fn within(so: impl Fn() -> bool, what: &str) {
    let late = Instant::now() + BOUND;
    while !so() {
        assert!(Instant::now() < late, "in time: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
