//! A small fleet without traffic, and what it is asked.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::fleets::program;

/// A small fleet without traffic, for what operators see. It speaks through its first router.
pub(crate) struct Small {
    pub(crate) folder: tempfile::TempDir,
    pub(crate) routers: Vec<Child>,
}

impl Drop for Small {
    fn drop(&mut self) {
        (0..self.routers.len()).for_each(|at| self.ends(at));
    }
}

/// An address of this process's own, so that it stays free while its router is down.
fn free() -> std::net::SocketAddr {
    static NUMBER: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(1);
    let (pid, number) = (
        std::process::id(),
        NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
    );
    let own = [
        127,
        1 + (pid % 250) as u8,
        252 + (pid / 250 % 3) as u8,
        number,
    ];
    let listener =
        std::net::TcpListener::bind(std::net::SocketAddr::from((own, 0))).expect("a port");
    listener.local_addr().expect("an address")
}

const BOUND: Duration = Duration::from_secs(20);

pub(crate) fn until(what: &str, is: impl Fn() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < BOUND, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

impl Small {
    pub(crate) fn start(routers: usize, nodes: usize) -> Small {
        let folder = tempfile::tempdir().expect("a folder");
        let at = |name: String| folder.path().join(name);
        let node =
            |at: usize| ternpick_simulation::standins::entry(&format!("s-{at}"), free(), "Ready");
        let nodes = (0..nodes).map(node).collect::<Vec<_>>().join(",");
        let member = |at: usize| format!("\t\tn{at}: {{address: \"{}\", vote: true}}\n", free());
        let settings = format!(
            "control: socket: {:?}\nfleet: {{\n\tname: \"small\"\n\tfolder: {:?}\n\tlease: 400ms\n\trenew: 100ms\n\tmembers: \
             {{\n{}\t}}\n\tworks: {{lingers: 1s, calm: 100ms, zone_share: 0, most_out: 1}}\n}}\n",
            at("{name}".into()),
            at("state-{name}".into()),
            (0..routers).map(member).collect::<String>()
        );
        std::fs::write(at("fleet.cue".into()), settings).expect("written");
        let mut fleet = Small {
            folder,
            routers: Vec::new(),
        };
        for number in 0..routers {
            let config = format!(
                r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"7","known":{{"index":1,"snapshot":true,
                    "endpoints":[{nodes}]}},"settings":{{"areas":["a"],"zone":0,"balancers":1,"tick":5000,
                    "discovery":"on_request","classes":[{{"name":"i","semantics":"idempotent","onTime":500000,
                    "deadline":900000}}],"ceilings":{{"mostHeld":100,"streamsPerConn":8}},
                    "extra":{{"shards":4,"positions":1,"reach":1,"bundleMax":8}},
                    "report":{{"via":"inline","columns":["depth"]}},"rules":{{"askWithin":60000000}}}}}}"#,
                free(),
                free()
            );
            std::fs::write(fleet.path(&format!("n{number}.json")), config).expect("written");
            assert!(fleet
                .run(&["fleet", "init"], number)
                .output()
                .expect("it runs")
                .status
                .success());
            let router = fleet.run(&["serve"], number).spawn().expect("it starts");
            fleet.routers.push(router);
        }
        until("it serves", || !fleet.works(&["list"]).0.is_null());
        fleet
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn run(&self, words: &[&str], number: usize) -> Command {
        let mut command = Command::new(program());
        command
            .args(words)
            .arg("--config")
            .arg(self.path(&format!("n{number}.json")));
        command
            .arg("--settings")
            .arg(self.path("fleet.cue"))
            .stderr(Stdio::null());
        command
    }

    pub(crate) fn ends(&mut self, at: usize) {
        let _ = self.routers[at].kill();
        let _ = self.routers[at].wait();
    }

    pub(crate) fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(program());
        command
            .arg("works")
            .arg(words[0])
            .arg("--socket")
            .arg(self.path("n0"))
            .args(&words[1..]);
        command
    }

    pub(crate) fn works(&self, words: &[&str]) -> (Value, Option<i32>, String) {
        let mut command = self.command(words);
        // What is run by 'exec' stands last.
        let done: Output = match words[0] {
            "exec" => command.output(),
            _ => command.arg("--json").output(),
        }
        .expect("it ends");
        let said = serde_json::from_slice(&done.stdout).unwrap_or_default();
        (
            said,
            done.status.code(),
            String::from_utf8_lossy(&done.stderr).into_owned(),
        )
    }

    pub(crate) fn state_of(&self, machine: &str) -> Option<String> {
        let (seen, ..) = self.works(&["list"]);
        let rows = seen["rows"].as_array()?;
        let row = rows.iter().find(|row| row["machine"] == machine)?;
        row["state"].as_str().map(str::to_owned)
    }
}
