//! A router that is upgraded, its nodes and its files, and programs that stand in for the new process.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::common::guarded::within;
use crate::common::{self, entry, request, Act, Discovery, Node, Router, BOUND, WHOLE};

pub(crate) const MS: Duration = Duration::from_millis(1);

/// A router with a control socket, its nodes, and the folder of its files. Whoever serves is ended with it.
pub(crate) struct Upgradable {
    pub(crate) router: Router,
    pub(crate) nodes: Vec<Node>,
    pub(crate) _discovery: Discovery,
    pub(crate) folder: tempfile::TempDir,
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
        Upgradable::start_on(acts, more, common::SETTINGS, |_, entry| entry)
    }

    /// On `settings` of the platform's; `listed` may change what discovery says of each node.
    pub(crate) fn start_on(
        acts: &[Act],
        more: &str,
        settings: &str,
        listing: impl Fn(usize, String) -> String,
    ) -> Upgradable {
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(
            folder.path().join("settings.cue"),
            control(folder.path(), more),
        )
        .expect("written");
        let nodes: Vec<Node> = acts.iter().map(|act| Node::start([*act; 2])).collect();
        let listed: Vec<String> = nodes
            .iter()
            .enumerate()
            .map(|(at, node)| listing(at, entry(&format!("s{at}"), node.address, "Ready")))
            .collect();
        let (discovery, listed) = (Discovery::default(), listed.join(","));
        discovery.set(|roster| roster.changes = listed.clone());
        let router =
            Router::start_with(discovery.start(), &listed, 1024, 32, settings, |command| {
                command
                    .arg("--settings")
                    .arg(folder.path().join("settings.cue"));
                if std::env::var("UPGRADE_LOG").is_ok() {
                    command.env("RUST_LOG", "info");
                }
            });
        let of = Upgradable {
            router,
            nodes,
            _discovery: discovery,
            folder,
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
        std::fs::write(
            &self.router.config,
            config.replace(common::SETTINGS, settings),
        )
        .expect("written");
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

/// A script that is started in the new process's place.
pub(crate) fn script(of: &Upgradable, text: &str) -> String {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let path = of
        .folder
        .path()
        .join(format!("program{}", NUMBER.fetch_add(1, Ordering::Relaxed)));
    std::fs::write(&path, format!("#!/bin/sh\n{text}\n")).expect("written");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o700)).expect("a program");
    path.display().to_string()
}

pub(crate) fn standin(of: &Upgradable, how: &str) -> String {
    let program = Path::new(env!("CARGO_BIN_EXE_ternpick"));
    let standin: PathBuf = program
        .parent()
        .expect("a folder")
        .join("examples/upgrade_standin");
    assert!(standin.exists(), "cargo test builds examples");
    script(
        of,
        &format!("STANDIN={how} exec {} \"$@\"", standin.display()),
    )
}

pub(crate) fn served(router: SocketAddr, id: &str) {
    let mut stream = TcpStream::connect(router).expect("a connection");
    stream.set_read_timeout(Some(BOUND)).expect("a time-out");
    stream
        .write_all(request("half", id).as_bytes())
        .expect("written");
    let (status, _, body) = common::answer(&mut stream);
    assert_eq!((status, body.as_str()), (200, WHOLE));
}

/// What a node that has just started bears in a second at this age, of parts of 100 ms: 1.5 times its own pace.
pub(crate) const COLD: &str =
    r#""rules":{"coldFrom":0.3,"warmWithin":60000000,"fallMultiple":1.5,"fall":1000000,"#;

/// Ends the load also where a check fails.
pub(crate) struct Ends<'a>(pub(crate) &'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
