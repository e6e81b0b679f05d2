//! A small fleet without traffic, for tests of operators' commands.

use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::fleets::program;

/// A small fleet without traffic. Maintenance commands go to its first router.
pub(crate) struct SmallFleet {
    pub(crate) folder: tempfile::TempDir,
    pub(crate) routers: Vec<Child>,
}

impl Drop for SmallFleet {
    fn drop(&mut self) {
        (0..self.routers.len()).for_each(|at| self.kill_router(at));
    }
}

/// Returns a free loopback address that only this process uses, so that it stays free while its router is down.
fn free_address() -> std::net::SocketAddr {
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

const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

pub(crate) fn wait_until(condition: &str, is_met: impl Fn() -> bool) {
    let began = Instant::now();
    while !is_met() {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out: {condition}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

impl SmallFleet {
    pub(crate) fn start(routers: usize, nodes: usize) -> SmallFleet {
        let folder = tempfile::tempdir().expect("a folder");
        let at = |name: String| folder.path().join(name);
        let node = |router: usize| {
            ternpick_simulation::standins::entry(&format!("s-{router}"), free_address(), "Ready")
        };
        let nodes = (0..nodes).map(node).collect::<Vec<_>>().join(",");
        let member = |router: usize| {
            format!(
                "\t\tn{router}: {{address: \"{}\", vote: true}}\n",
                free_address()
            )
        };
        let settings = format!(
            "control: socket: {:?}\nfleet: {{\n\tname: \"small\"\n\tfolder: {:?}\n\tlease: 400ms\n\trenew: 100ms\n\tmembers: \
             {{\n{}\t}}\n\tworks: {{lingers: 1s, calm: 100ms, zone_share: 0, most_out: 1}}\n}}\n",
            at("{name}".into()),
            at("state-{name}".into()),
            (0..routers).map(member).collect::<String>()
        );
        std::fs::write(at("fleet.cue".into()), settings).expect("written");
        let mut fleet = SmallFleet {
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
                free_address(),
                free_address()
            );
            std::fs::write(fleet.path(&format!("n{number}.json")), config).expect("written");
            assert!(fleet
                .router_command(&["fleet", "init"], number)
                .output()
                .expect("the command runs")
                .status
                .success());
            let router = fleet.start_router(number);
            fleet.routers.push(router);
        }
        wait_until("the router serves", || {
            !fleet.run_maintenance(&["list"]).0.is_null()
        });
        fleet
    }

    pub(crate) fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    pub(crate) fn router_command(&self, arguments: &[&str], number: usize) -> Command {
        let mut command = Command::new(program());
        command
            .args(arguments)
            .arg("--config")
            .arg(self.path(&format!("n{number}.json")));
        command
            .arg("--settings")
            .arg(self.path("fleet.cue"))
            .stderr(Stdio::null());
        command
    }

    pub(crate) fn start_router(&self, number: usize) -> Child {
        self.router_command(&["serve"], number)
            .spawn()
            .expect("the router starts")
    }

    pub(crate) fn kill_router(&mut self, router: usize) {
        let _ = self.routers[router].kill();
        let _ = self.routers[router].wait();
    }

    pub(crate) fn maintenance_command(&self, arguments: &[&str]) -> Command {
        let mut command = Command::new(program());
        command
            .arg("works")
            .arg(arguments[0])
            .arg("--socket")
            .arg(self.path("n0"))
            .args(&arguments[1..]);
        command
    }

    pub(crate) fn run_maintenance(&self, arguments: &[&str]) -> (Value, Option<i32>, String) {
        let mut command = self.maintenance_command(arguments);
        // The arguments of 'exec' end with the command to run, so '--json' cannot be appended.
        let done: Output = match arguments[0] {
            "exec" => command.output(),
            _ => command.arg("--json").output(),
        }
        .expect("the command ends");
        let answer = serde_json::from_slice(&done.stdout).unwrap_or_default();
        (
            answer,
            done.status.code(),
            String::from_utf8_lossy(&done.stderr).into_owned(),
        )
    }

    pub(crate) fn state_of(&self, machine: &str) -> Option<String> {
        let (seen, ..) = self.run_maintenance(&["list"]);
        let rows = seen["rows"].as_array()?;
        let row = rows.iter().find(|row| row["machine"] == machine)?;
        row["state"].as_str().map(str::to_owned)
    }
}
