//! A router that is upgraded, its nodes and its files.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Output, Stdio};

use super::guarded::within;
use super::{entry, Act, Discovery, Node, Router, SETTINGS};

/// A router with a control socket, its nodes, and the folder of its files. Whoever serves is ended with it.
pub(crate) struct Upgradable {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    pub(crate) _discovery: Discovery,
    pub(crate) folder: tempfile::TempDir,
}

/// What stands round a router that is to be upgraded.
pub(crate) struct Place {
    pub(crate) folder: tempfile::TempDir,
    pub(crate) nodes: Vec<Node>,
    pub(crate) discovery: Discovery,
    /// Where discovery listens.
    pub(crate) address: SocketAddr,
}

fn control(folder: &Path, more: &str) -> String {
    let path = |name: &str| folder.join(name).display().to_string();
    let times = if more.contains("hello") {
        ""
    } else {
        ", hello: 1s, step: 300ms, ready: 1s"
    };
    format!(
        "control: {{socket: {:?}, upgrade: true, pid_file: {:?}, silence: 400ms{times}}}\n{more}\n",
        path("control"),
        path("pid")
    )
}

impl Upgradable {
    pub(crate) fn start(acts: &[Act], more: &str) -> Upgradable {
        Upgradable::start_on(acts, more, SETTINGS, |_, entry| entry)
    }

    /// On `settings` of the platform's; `listed` may change what discovery says of each node.
    pub(crate) fn start_on(
        acts: &[Act],
        more: &str,
        settings: &str,
        listing: impl Fn(usize, String) -> String,
    ) -> Upgradable {
        let nodes: Vec<Node> = acts.iter().map(|act| Node::start([*act; 2])).collect();
        let listed: Vec<String> = nodes
            .iter()
            .enumerate()
            .map(|(at, node)| listing(at, entry(&format!("s{at}"), node.address, "Ready")))
            .collect();
        let (discovery, listed) = (Discovery::default(), listed.join(","));
        discovery.set(|roster| roster.changes = listed.clone());
        let address = discovery.start();
        let place = Place {
            folder: tempfile::tempdir().expect("a folder"),
            nodes,
            discovery,
            address,
        };
        Upgradable::with(place, &listed, more, settings, |command| {
            if std::env::var("UPGRADE_LOG").is_ok() {
                command.env("RUST_LOG", "info");
            }
        })
    }

    /// In a place that is prepared already; `environment` may change the command that starts it.
    pub(crate) fn with(
        place: Place,
        listed: &str,
        more: &str,
        settings: &str,
        environment: impl FnOnce(&mut Command),
    ) -> Upgradable {
        let path = place.folder.path().join("settings.cue");
        std::fs::write(&path, control(place.folder.path(), more)).expect("written");
        let router = Router::start_with(place.address, listed, 1024, 32, settings, |command| {
            command.arg("--settings").arg(path);
            environment(command);
        });
        let of = Upgradable {
            router,
            nodes: place.nodes,
            _discovery: place.discovery,
            folder: place.folder,
        };
        within(
            || of.folder.path().join("control").exists(),
            "the control socket",
        );
        of
    }

    pub(crate) fn command(&self, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
        command
            .args(&args[..1])
            .arg("--socket")
            .arg(self.folder.path().join("control"))
            .args(&args[1..]);
        command.output().expect("it runs")
    }

    /// Starts the command that upgrades.
    pub(crate) fn start_upgrade(&self) -> Child {
        Command::new(env!("CARGO_BIN_EXE_ternpick"))
            .arg("upgrade")
            .arg("--socket")
            .arg(self.folder.path().join("control"))
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("it runs")
    }

    pub(crate) fn upgrade(&self, args: &[&str]) -> (bool, String) {
        let out = self.command(&[&["upgrade"][..], args].concat());
        (
            out.status.success(),
            String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
        )
    }

    /// Its configuration has other settings from the next start on.
    pub(crate) fn moves_to(&self, settings: &str) {
        let config = std::fs::read_to_string(&self.router.config).expect("a configuration");
        std::fs::write(&self.router.config, config.replace(SETTINGS, settings)).expect("written");
    }

    pub(crate) fn status(&self) -> serde_json::Value {
        let out = self.command(&["status", "--json"]);
        serde_json::from_slice(&out.stdout)
            .unwrap_or_else(|_| panic!("{}", String::from_utf8_lossy(&out.stderr)))
    }

    pub(crate) fn pid(&self) -> u32 {
        let text = std::fs::read_to_string(self.folder.path().join("pid")).expect("a pid file");
        text.trim().parse().expect("a number")
    }

    /// Waits until only the process that serves is left.
    pub(crate) fn settled(&self) {
        within(
            || {
                let of = self.status();
                of["step"] == "serves" && of["process"] == self.pid()
            },
            "one that serves",
        );
    }
}

impl Drop for Upgradable {
    fn drop(&mut self) {
        // The processes that were started in the router's place, by the numbers that they wrote down.
        if let Ok(text) = std::fs::read_to_string(self.folder.path().join("pid")) {
            let _ = Command::new("kill").args(["-9", text.trim()]).output();
        }
    }
}
