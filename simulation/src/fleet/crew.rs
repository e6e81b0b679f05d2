//! Crews: they ask for all machines, take each as its permit comes, and give it back, by the program's own commands. What
//! they were told goes into the history.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use ternpick_history::EventKind;

use super::listings::Listings;
use super::plan::{FleetPlan, Order};
use super::History;
use crate::standins::{Fault, Node};

const WAIT: &str = "2s";
/// By hand, who drains a machine, or lets it back in, waits so long.
const FIXED: Duration = Duration::from_millis(700);
const PAUSE: Duration = Duration::from_millis(100);

/// How a machine comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProposalStatus {
    Well,
    /// Given back before it answers again.
    Late,
    /// Given back unfit, and mended.
    Broken,
    /// It has just started.
    Cold,
    /// At another address.
    Moved,
    /// Not until somebody looks after it.
    Never,
}

/// A machine that is late answers so long after it was given back.
const LATE: Duration = Duration::from_millis(1500);

fn fate(plan: &FleetPlan, machine: usize) -> ProposalStatus {
    let all = [
        ProposalStatus::Well,
        ProposalStatus::Late,
        ProposalStatus::Broken,
        ProposalStatus::Cold,
        ProposalStatus::Moved,
        ProposalStatus::Never,
    ];
    if plan.fates {
        all[machine % all.len()]
    } else {
        ProposalStatus::Well
    }
}

/// What the crews came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worked {
    pub machines: usize,
    pub back: usize,
    /// From the asking until the last was back, in milliseconds; none: not all were.
    pub all_back_ms: Option<u64>,
    /// The longest that nothing changed in the works while not all were back, in milliseconds.
    pub longest_still_ms: u64,
    /// The most that were kept out at a time, as they had not come back.
    #[serde(default)]
    pub kept_out: usize,
}

pub struct Crew<'a> {
    pub program: PathBuf,
    pub sockets: Vec<PathBuf>,
    pub history: &'a History,
    pub stop: &'a AtomicBool,
    pub nodes: &'a [Node],
    pub listings: &'a Listings,
    /// How long a machine is worked on.
    pub work: Duration,
}

/// Machines go out by hand, through discovery: all routers' are told, then a fixed time is waited.
pub fn by_hand(plan: &FleetPlan, listings: &Listings, nodes: &[Node], stop: &AtomicBool) -> Worked {
    let began = Instant::now();
    let all: Vec<usize> = (0..plan.nodes).collect();
    let rounds: Vec<&[usize]> = match plan.order {
        Order::OneByOne => all.chunks(1).collect(),
        Order::AtOnce => vec![&all[..]],
        Order::Routers | Order::Nobody => Vec::new(),
    };
    let mut worked = Worked {
        machines: plan.nodes,
        ..Worked::default()
    };
    for round in rounds {
        if stop.load(Ordering::Relaxed) {
            return worked;
        }
        listings.change(round, |of| of.ready = false);
        std::thread::sleep(FIXED);
        round.iter().for_each(|at| nodes[*at].inject(Fault::Stall));
        std::thread::sleep(Duration::from_micros(plan.work));
        round.iter().for_each(|at| nodes[*at].clear_fault());
        listings.change(round, |of| of.ready = true);
        std::thread::sleep(FIXED);
        worked.back += round.len();
    }
    worked.all_back_ms = u64::try_from(began.elapsed().as_millis()).ok();
    worked
}

impl Crew<'_> {
    fn run(&self, through: usize, words: &[&str]) -> (Value, i32) {
        let mut command = Command::new(&self.program);
        command
            .arg("works")
            .args(words)
            .args(["--json", "--socket"]);
        command
            .arg(&self.sockets[through % self.sockets.len()])
            .stdin(Stdio::null());
        let Ok(done) = command.output() else {
            return (Value::Null, -1);
        };
        (
            serde_json::from_slice(&done.stdout).unwrap_or_default(),
            done.status.code().unwrap_or(-1),
        )
    }

    /// Until something is heard of it that is not open; said through one router after the other.
    fn until_heard(&self, through: usize, words: &[&str]) -> Option<(Value, i32)> {
        for again in 0.. {
            let (said, status) = self.run(through + again, words);
            if matches!(status, 0 | 1) && said.is_object() {
                return Some((said, status));
            }
            if self.stop.load(Ordering::Relaxed) {
                return None;
            }
            std::thread::sleep(PAUSE);
        }
        None
    }

    /// Asks for all machines; the request's number.
    pub fn ask(&self, plan: &FleetPlan) -> Option<u64> {
        let machines: Vec<String> = (0..plan.nodes).map(|at| format!("s{at}")).collect();
        let mut words = vec![
            "ask",
            "--why",
            "disks",
            "--by",
            "ann",
            "--lasts",
            "1s",
            "--timeout",
            WAIT,
            "--op",
            "77",
        ];
        words.extend(machines.iter().map(String::as_str));
        let (said, _) = self.until_heard(0, &words)?;
        said["number"].as_u64()
    }

    /// An operator asks for some of the same machines, and changes his mind.
    pub fn changes_mind(&self) {
        let ask = [
            "ask",
            "s0",
            "s1",
            "--why",
            "a move",
            "--by",
            "bob",
            "--in",
            "1h",
            "--timeout",
            WAIT,
            "--op",
            "78",
        ];
        let Some((said, 0)) = self.until_heard(1, &ask) else {
            return;
        };
        std::thread::sleep(self.work);
        let request = said["number"].to_string();
        self.until_heard(
            2,
            &[
                "change",
                &request,
                "--priority",
                "9",
                "--by",
                "bob",
                "--timeout",
                WAIT,
                "--op",
                "79",
            ],
        );
        self.until_heard(
            0,
            &[
                "cancel",
                &request,
                "--by",
                "bob",
                "--timeout",
                WAIT,
                "--op",
                "80",
            ],
        );
    }

    /// One of the crews: takes one machine after the other. `vanishes`: it goes away with its first permit in hand, and
    /// comes back for it after a while.
    pub fn work(&self, plan: &FleetPlan, number: usize, request: u64, vanishes: bool) {
        let (name, request) = (format!("crew{number}"), request.to_string());
        let mut vanishes = vanishes;
        while !self.stop.load(Ordering::Relaxed) {
            let words = ["next", "--request", &request, "--timeout", WAIT];
            let (said, status) = self.run(number, &words);
            let machine = said["machine"]
                .as_str()
                .and_then(|name| name.strip_prefix('s')?.parse::<usize>().ok());
            let (Some(permit), Some(machine)) = (said["permit"].as_u64(), machine) else {
                if status == 3 && self.is_closed(number, &request) {
                    return;
                }
                std::thread::sleep(PAUSE);
                continue;
            };
            let (op, permit_word) = (
                (number as u64 + 1) * 1_000_000_000 + permit,
                permit.to_string(),
            );
            let op = op.to_string();
            let begin = [
                "begin",
                &permit_word,
                "--by",
                &name,
                "--timeout",
                WAIT,
                "--op",
                &op,
            ];
            let Some((_, 0)) = self.until_heard(number, &begin) else {
                continue;
            };
            let named = format!("s{machine}");
            self.history.note(EventKind::Permitted {
                machine: named.clone(),
                permit,
                by: name.clone(),
            });
            // While it is worked on it answers nothing.
            self.nodes[machine].inject(Fault::Stall);
            std::thread::sleep(if std::mem::take(&mut vanishes) {
                self.work * 5
            } else {
                self.work
            });
            let fate = fate(plan, machine);
            if fate == ProposalStatus::Broken {
                let op = format!("{op}1");
                let failed = [
                    "done",
                    &permit_word,
                    "--by",
                    &name,
                    "--failed",
                    "no disk",
                    "--timeout",
                    WAIT,
                    "--op",
                    &op,
                ];
                self.until_heard(number, &failed);
                std::thread::sleep(self.work);
            }
            match fate {
                ProposalStatus::Late | ProposalStatus::Never => {
                    self.listings.change(&[machine], |of| of.ready = false)
                }
                ProposalStatus::Cold => self.listings.change(&[machine], |of| of.starts()),
                ProposalStatus::Moved => self.listings.change(&[machine], |of| {
                    // Where there is no other address it stays where it was.
                    let _ = of.moves(self.nodes[machine].address);
                }),
                ProposalStatus::Well | ProposalStatus::Broken => {}
            }
            if !matches!(fate, ProposalStatus::Late | ProposalStatus::Never) {
                self.nodes[machine].clear_fault();
            }
            // From here on it may get work again.
            self.history.note(EventKind::Returned {
                machine: named,
                permit,
            });
            self.gives_back(number, permit, &name, &format!("{op}0"));
            if fate == ProposalStatus::Late {
                std::thread::sleep(LATE);
                self.mends(machine);
            }
        }
    }

    fn gives_back(&self, through: usize, permit: u64, by: &str, op: &str) {
        let permit = permit.to_string();
        self.until_heard(
            through,
            &["done", &permit, "--by", by, "--timeout", WAIT, "--op", op],
        );
    }

    fn mends(&self, machine: usize) {
        self.nodes[machine].clear_fault();
        self.listings.change(&[machine], |of| of.ready = true);
    }

    /// Looks after machines that were kept out: each is mended, and given back anew.
    fn looks_after(&self, through: usize, rows: &[&Value]) {
        for row in rows.iter().filter(|row| row["state"] == "kept out") {
            let machine = row["machine"]
                .as_str()
                .and_then(|name| name.strip_prefix('s')?.parse::<usize>().ok());
            if let (Some(machine), Some(permit)) = (machine, row["permit"].as_u64()) {
                self.mends(machine);
                let (op, since) = (permit + 500_000_000, row["since_ms"].as_u64().unwrap_or(0));
                self.gives_back(
                    through,
                    permit,
                    "ann",
                    &format!("{op}{}", since % 1_000_000),
                );
            }
        }
    }

    fn is_closed(&self, number: usize, request: &str) -> bool {
        let (said, status) = self.run(number, &["show", request]);
        status == 1
            && said["line"]
                .as_str()
                .is_some_and(|line| line.contains("not open"))
    }

    /// Follows the works until all machines are back.
    pub fn watch(&self, plan: &FleetPlan, request: u64, began: Instant) -> Worked {
        let mut worked = Worked {
            machines: plan.nodes,
            ..Worked::default()
        };
        let (mut last, mut since) = (Value::Null, Instant::now());
        for turn in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return worked;
            }
            let (seen, status) = self.run(turn, &["list"]);
            if status == 0 {
                let rows: Vec<&Value> = seen["rows"].as_array().into_iter().flatten().collect();
                self.looks_after(turn, &rows);
                let kept = rows.iter().filter(|row| row["state"] == "kept out").count();
                worked.kept_out = worked.kept_out.max(kept);
                let own = rows
                    .iter()
                    .filter(|row| row["request"].as_u64() == Some(request));
                let states: Vec<Value> = own
                    .map(|row| serde_json::json!([row["machine"], row["state"]]))
                    .collect();
                let known = states.iter().filter(|state| state[1] == "back").count();
                worked.back = if states.is_empty() {
                    plan.nodes
                } else {
                    known.max(worked.back)
                };
                let states = Value::Array(states);
                if states != last {
                    (last, since) = (states, Instant::now());
                }
                let still = u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX);
                worked.longest_still_ms = worked.longest_still_ms.max(still);
                if worked.back == plan.nodes {
                    worked.all_back_ms = u64::try_from(began.elapsed().as_millis()).ok();
                    return worked;
                }
            }
            std::thread::sleep(PAUSE);
        }
        worked
    }
}
