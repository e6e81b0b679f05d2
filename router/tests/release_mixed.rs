//! A fleet is upgraded router by router, so that for a while two releases vote together, lead each other and hand over to
//! each other. These tests need an older program, named by the variable TERNPICK_RELEASE: without it they do nothing, and
//! say so.

mod common;
// A part of it is used.
#[allow(dead_code)]
#[path = "common/fleets.rs"]
mod fleets;

use std::io::Write;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Instant;

use common::{free, BOUND};
use fleets::{change, judged_of, plan, program, step, turn};
use serde_json::Value;
use ternpick_simulation::fleet::{Kind, Schedule};
use test_case::test_case;

const VARIABLE: &str = "TERNPICK_RELEASE";

/// The older program; none, and a line that says so, where none is named.
fn release() -> Option<PathBuf> {
    let named = std::env::var_os(VARIABLE).map(PathBuf::from);
    match &named {
        Some(path) => assert!(
            path.is_file(),
            "{VARIABLE} names no program: {}",
            path.display()
        ),
        None => {
            // Past the harness, which keeps the words of tests that pass to itself.
            let words = format!("NOT RUN: {VARIABLE} names no older program\n");
            std::io::stderr()
                .write_all(words.as_bytes())
                .expect("written");
        }
    }
    named
}

/// Three voters on loopback, each started by a program of its own.
struct Trio {
    folder: tempfile::TempDir,
    routers: Vec<Child>,
}

impl Drop for Trio {
    fn drop(&mut self) {
        for router in &mut self.routers {
            let _ = router.kill();
            let _ = router.wait();
        }
    }
}

impl Trio {
    fn start(programs: [&Path; 3]) -> Trio {
        let folder = tempfile::tempdir().expect("a folder");
        let path = |name: &str| folder.path().join(name).display().to_string();
        let members: String = (0..3)
            .map(|at| format!("\t\tn{at}: {{address: \"{}\", vote: true}}\n", free()))
            .collect();
        let settings = format!(
            "control: {{socket: {:?}, upgrade: true}}\nfleet: {{\n\tname: \"mixed\"\n\tfolder: {:?}\n\tlease: 1s\n\t\
             renew: 250ms\n\tmembers: {{\n{members}\t}}\n\tworks: {{lingers: 4s, calm: 100ms}}\n}}\n",
            path("{name}"),
            path("state-{name}")
        );
        std::fs::write(path("fleet.cue"), settings).expect("written");
        let mut trio = Trio {
            folder,
            routers: Vec::new(),
        };
        for (at, program) in programs.into_iter().enumerate() {
            let config = format!(
                r#"{{"name":"n{at}","listen":"{}","discovery":"{}","seed":"7","settings":{},
                    "known":{{"index":1,"snapshot":true,"endpoints":[]}}}}"#,
                free(),
                free(),
                common::SETTINGS
            );
            std::fs::write(trio.path(&format!("n{at}.json")), config).expect("written");
            let run = |words: &[&str]| {
                let mut command = Command::new(program);
                command
                    .args(words)
                    .arg("--config")
                    .arg(trio.path(&format!("n{at}.json")));
                command
                    .arg("--settings")
                    .arg(trio.path("fleet.cue"))
                    .stdout(Stdio::null());
                command
            };
            assert!(run(&["fleet", "init"]).status().expect("it runs").success());
            let router = run(&["serve"])
                .env("RUST_LOG", "warn")
                .spawn()
                .expect("it starts");
            trio.routers.push(router);
        }
        trio
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// What a router says to a command of `program`, and the command's exit status.
    fn says(&self, program: &Path, at: usize, words: &[&str]) -> (Value, Option<i32>) {
        let mut command = Command::new(program);
        command
            .args(words)
            .arg("--json")
            .arg("--socket")
            .arg(self.path(&format!("n{at}")));
        let done = command.stderr(Stdio::null()).output().expect("it runs");
        (
            serde_json::from_slice(&done.stdout).unwrap_or_default(),
            done.status.code(),
        )
    }

    fn until(&self, what: &str, is: impl Fn(&Trio) -> bool) {
        let began = Instant::now();
        while !is(self) {
            assert!(began.elapsed() < 3 * BOUND, "in time: {what}");
            std::thread::sleep(std::time::Duration::from_millis(50));
        }
    }

    /// Has the lead passed to this router.
    fn is_led_by(&self, at: usize) {
        let name = format!("n{at}");
        self.until(&format!("{name} leads"), |trio| {
            let leads = (0..3).all(|other| {
                let (seen, _) = trio.says(&program(), other, &["fleet", "status"]);
                seen["own"]["leader"] == name.as_str() && seen["leader"].is_object()
            });
            if !leads {
                trio.says(
                    &program(),
                    1,
                    &["fleet", "transfer", &name, "--timeout", "1s"],
                );
            }
            leads
        });
    }

    /// A change that all three agree on, proposed by the command of `by` through router `through`.
    fn agrees(&self, by: &Path, through: usize, version: u64) {
        let text = format!(
            "author: \"ann\"\nreason: \"change {version}\"\nindexes: half: calls: {}\n",
            1 + version % 3
        );
        std::fs::write(self.path("p.cue"), &text).expect("written");
        let file = self.path("p.cue").display().to_string();
        let (said, status) = self.says(by, through, &["policy", "propose", "--wait", &file]);
        assert_eq!(
            (status, &said["number"]),
            (Some(0), &version.into()),
            "{said}"
        );
        for at in 0..3 {
            self.until("each has it", |trio| {
                let (shown, _) = trio.says(by, at, &["policy", "show"]);
                shown["in_force"]["number"] == version && shown["in_force"]["text"] == text.as_str()
            });
        }
    }
}

/// Which routers are the release's, and which one leads.
#[test_case([true, false, false], 0; "one of the release leads two new ones")]
#[test_case([true, false, false], 2; "a new one leads one of the release")]
#[test_case([true, true, false], 0; "one of the release leads a new one")]
#[test_case([true, true, false], 2; "a new one leads two of the release")]
fn a_mixed_fleet_agrees_on_changes_of_policy(released: [bool; 3], leader: usize) {
    let Some(release) = release() else { return };
    let new = program();
    let trio = Trio::start(released.map(|of| if of { release.as_path() } else { new.as_path() }));
    trio.is_led_by(leader);
    // Proposed through each router, by the command of either program.
    let mut version = 0;
    for through in 0..3 {
        for by in [&release, &new] {
            version += 1;
            trio.agrees(by, through, version);
        }
    }
    trio.is_led_by(leader);
    // Work is agreed on as well, and each tells the same.
    let ask = [
        "works",
        "ask",
        "router:n1",
        "--why",
        "kernel",
        "--by",
        "ann",
        "--in",
        "9h",
    ];
    let (said, status) = trio.says(&new, 0, &ask);
    assert_eq!(status, Some(0), "{said}");
    for at in 0..3 {
        for by in [&release, &new] {
            let (seen, _) = trio.says(by, at, &["works", "list"]);
            assert_eq!(seen["rows"][0]["machine"], "router:n1", "{seen}");
            assert_eq!(seen["rows"][0]["request"], said["number"], "{seen}");
        }
    }
}

fn script(path: PathBuf, text: &str) -> PathBuf {
    std::fs::write(&path, format!("#!/bin/sh\n{text}\n")).expect("written");
    std::fs::set_permissions(&path, PermissionsExt::from_mode(0o700)).expect("a program");
    path
}

/// A script in the place of the router's program: it starts the one, and each upgrade goes to the other. Starts of the
/// other are written down in the file `upgraded`.
fn one_then_other(folder: &Path, one: &Path, other: &Path) -> PathBuf {
    let (one, other, upgraded) = (one.display(), other.display(), folder.join("upgraded"));
    let text = format!("echo \"$*\" >> {}\nexec {other} \"$@\"", upgraded.display());
    let heir = script(folder.join("heir"), &text);
    let text = format!(
        "if [ \"$1\" = upgrade ]; then exec {other} \"$@\" --program {}; fi\nexec {one} \"$@\"",
        heir.display()
    );
    script(folder.join("program"), &text)
}

/// Three routers under traffic are upgraded from one program to the other, one after the other, with changes of policy
/// before, between and after; what clients, nodes and operators saw keeps every rule, and no lookup is lost or refused.
#[test_case(true; "from the release to the new one")]
#[test_case(false; "and back to the release")]
fn upgrades_under_traffic_lose_nothing(forward: bool) {
    let Some(release) = release() else { return };
    let _turn = turn();
    let (new, folder) = (program(), tempfile::tempdir().expect("a folder"));
    let (one, other) = if forward {
        (&release, &new)
    } else {
        (&new, &release)
    };
    let program = one_then_other(folder.path(), one, other);
    let steps = (0..3)
        .map(|at| step(1000 + at * 1500, 0, Kind::Upgrade, at as usize))
        .collect();
    let changes = (0..4)
        .map(|at| change(500 + at * 1500, at as usize % 3))
        .collect();
    let schedule = Schedule {
        plan: plan("seconds: 7"),
        seed: 1,
        steps,
        changes,
    };
    let (_, counts) = judged_of(&schedule, &program, &folder.path().join("fleet"));
    assert_eq!(
        (counts.lost, counts.refused, counts.open),
        (0, 0, 0),
        "{counts:?}"
    );
    assert!(counts.in_force >= 3 && counts.answered > 100, "{counts:?}");
    assert_eq!(counts.answered, counts.lookups, "{counts:?}");
    let starts = std::fs::read_to_string(folder.path().join("upgraded")).expect("starts");
    assert_eq!(
        starts
            .lines()
            .filter(|line| line.contains("--take-over"))
            .count(),
        3,
        "{starts}"
    );
    for at in 0..3 {
        let log = folder.path().join(format!("fleet/n{at}.log"));
        let log = std::fs::read_to_string(log).expect("a log");
        assert!(
            log.contains("upgrade: the new process serves"),
            "n{at} was not upgraded:\n{log}"
        );
    }
}
