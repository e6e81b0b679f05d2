//! The program under a plan of faults, its log kept.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;

use ternpick_fault_injection::{Plan, Strikes};

use super::{entry, Act, Discovery, Node, Router};

/// The library that carries plans out; `cargo test --workspace` builds it.
pub(crate) fn preload() -> PathBuf {
    let program = Path::new(env!("CARGO_BIN_EXE_ternpick"));
    let library = program
        .parent()
        .expect("a folder")
        .join("examples/libpreload.so");
    assert!(
        library.exists(),
        "cargo build -p ternpick-fault-injection --examples builds {}",
        library.display()
    );
    library
}

pub(crate) struct Faulty {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    pub(crate) discovery: Discovery,
    pub(crate) strikes: Strikes,
    pub(crate) folder: tempfile::TempDir,
    rules: usize,
}

impl Faulty {
    pub(crate) fn start(settings: &str, nodes: &[Act], plan: &Plan) -> Faulty {
        let nodes: Vec<Node> = nodes.iter().map(|act| Node::start([*act; 2])).collect();
        let listed = nodes
            .iter()
            .enumerate()
            .map(|(at, node)| entry(&format!("s{at}"), node.address, "Ready"));
        let (discovery, listed) = (Discovery::default(), listed.collect::<Vec<_>>().join(","));
        let address = discovery.start();
        Faulty::with(settings, nodes, discovery, address, &listed, plan)
    }

    pub(crate) fn with(
        settings: &str,
        nodes: Vec<Node>,
        discovery: Discovery,
        address: SocketAddr,
        listed: &str,
        plan: &Plan,
    ) -> Faulty {
        let folder = tempfile::tempdir().expect("a folder");
        let plan = Plan {
            discovery_port: address.port(),
            ..plan.clone()
        };
        let ((variable, path), strikes) = plan.write(folder.path(), "faults").expect("a plan");
        let log = std::fs::File::create(folder.path().join("log")).expect("a log");
        let router = Router::start_with(address, listed, 1024, 4, settings, |command| {
            command
                .env(variable, &path)
                .env("LD_PRELOAD", preload())
                .env("RUST_LOG", "info");
            command.stderr(Stdio::from(log));
        });
        Faulty {
            router,
            nodes,
            discovery,
            strikes,
            folder,
            rules: plan.rules.len(),
        }
    }

    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(self.folder.path().join("log")).expect("a log")
    }

    /// A fault that never struck has shown nothing.
    pub(crate) fn all_struck(&self) {
        let counts: Vec<u64> = (0..self.rules).map(|rule| self.strikes.of(rule)).collect();
        assert!(
            counts.iter().all(|count| *count > 0),
            "a fault never struck: {counts:?}"
        );
    }
}
