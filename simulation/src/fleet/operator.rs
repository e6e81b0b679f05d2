//! Operators: propose and withdraw through the program's own commands, and write down what they were told.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::Value;
use ternpick_history::{EventKind, ProposalOutcome, VisiblePolicy};

use super::plan::Change;
use super::History;

/// How long one command waits before its outcome is open; then the same command is said again, so many times.
const WAIT: &str = "3s";
const TRIES: usize = 12;

/// A change that was in force, and how long that took; microseconds.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct Took {
    pub micros: u64,
    /// Its command had to be said again.
    pub again: bool,
}

pub struct Operator<'a> {
    pub program: PathBuf,
    pub sockets: Vec<PathBuf>,
    pub folder: PathBuf,
    pub history: &'a History,
}

fn text(change: &Change) -> String {
    let drained = change
        .drained
        .map_or(String::new(), |node| format!("drained: [\"s{node}\"]\n"));
    format!(
        "author: \"ann\"\nreason: \"change at {}\"\nindexes: {{half: calls: {}, whole: calls: {}}}\n{drained}",
        change.at, change.calls, change.calls
    )
}

/// What nodes can see of it.
fn seen(change: &Change) -> VisiblePolicy {
    let calls = ["half", "whole"].map(|index| (index.to_owned(), change.calls));
    VisiblePolicy {
        calls: BTreeMap::from(calls),
        drained: change
            .drained
            .iter()
            .map(|node| format!("s{node}"))
            .collect(),
    }
}

impl Operator<'_> {
    /// Runs a command; its answer as JSON, and its exit status.
    fn run(&self, socket: &Path, words: &[&str]) -> (Value, i32) {
        let mut command = Command::new(&self.program);
        command
            .args(words)
            .arg("--json")
            .arg("--socket")
            .arg(socket)
            .stdin(Stdio::null());
        let Ok(done) = command.output() else {
            return (Value::Null, -1);
        };
        let said = serde_json::from_slice(&done.stdout).unwrap_or_default();
        (said, done.status.code().unwrap_or(-1))
    }

    /// Proposes a change and follows it to its end, or until it is open for good.
    pub fn change(&self, number: usize, change: &Change) -> Option<Took> {
        let file = self.folder.join(format!("change{number}.cue"));
        if std::fs::write(&file, text(change)).is_err() {
            return None;
        }
        let (name, op) = (format!("p{number}"), (number as u64 + 1).to_string());
        self.history.note(EventKind::Proposed {
            op: name.clone(),
            seen: seen(change),
        });
        let file = file.to_string_lossy().into_owned();
        let began = Instant::now();
        let mut known = None;
        for again in 0..TRIES {
            let socket = &self.sockets[(change.through + again) % self.sockets.len()];
            if let (Some(after), true) = (change.withdrawn, again == 0) {
                // It is proposed, left for a while, and withdrawn.
                let (said, _) = self.run(
                    socket,
                    &["policy", "propose", "--timeout", WAIT, "--op", &op, &file],
                );
                if let Some(of) = said["number"].as_u64() {
                    known = Some(of);
                    std::thread::sleep(Duration::from_millis(after));
                    let of = of.to_string();
                    let words = [
                        "policy",
                        "withdraw",
                        "--by",
                        "ann",
                        "--reason",
                        "changed my mind",
                        "--timeout",
                        WAIT,
                        &of,
                    ];
                    self.run(socket, &words);
                }
            }
            let words = [
                "policy",
                "propose",
                "--wait",
                "--timeout",
                WAIT,
                "--op",
                &op,
                &file,
            ];
            let (said, status) = self.run(socket, &words);
            known = said["number"].as_u64().or(known);
            let came = match (status, said["fate"].as_str(), known) {
                (0, Some("in_force"), Some(of)) => Some(ProposalOutcome::InForce(of)),
                (1, Some("withdrawn"), Some(of)) => Some(ProposalOutcome::Withdrawn(of)),
                (1, Some("refused"), Some(of)) => Some(ProposalOutcome::Refused(Some(of))),
                // The register has refused it, or this very router's check has: it never had a number.
                (1, None, None) if said.is_object() => Some(ProposalOutcome::Refused(None)),
                // Not reached, cut off in the middle, or open: said again, it is still the same command.
                _ => None,
            };
            if let Some(came) = came {
                let in_force = matches!(came, ProposalOutcome::InForce(_));
                self.history.note(EventKind::Settled {
                    op: name,
                    outcome: came,
                });
                let micros = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                return (in_force && change.withdrawn.is_none()).then_some(Took {
                    micros,
                    again: again > 0,
                });
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.history.note(EventKind::Settled {
            op: name,
            outcome: ProposalOutcome::Unknown(known),
        });
        None
    }

    /// Changes who belongs to the fleet, or gives a router that has lost its seat another one.
    pub fn fleet(&self, through: usize, words: &[&str]) -> std::io::Result<()> {
        let mut command = Command::new(&self.program);
        command
            .arg("fleet")
            .args(words)
            .args(["--timeout", WAIT, "--socket"])
            .arg(&self.sockets[through]);
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        std::thread::spawn(move || child.wait());
        Ok(())
    }
}
