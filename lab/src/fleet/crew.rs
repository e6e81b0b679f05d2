//! Crews: they ask for all machines, take each as its permit comes, and give it back, by the program's own commands. What
//! they were told goes into the history.

use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use ternpick_history::What;

use super::plan::{FleetPlan, Order};
use super::History;
use crate::standins::{Discovery, Fault, Node};

const WAIT: &str = "2s";
/// By hand, who drains a machine, or lets it back in, waits so long.
const FIXED: Duration = Duration::from_millis(700);
const PAUSE: Duration = Duration::from_millis(100);

/// What the crews came to.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worked {
    pub machines: usize,
    pub back: usize,
    /// From the asking until the last was back, in milliseconds; none: not all were.
    pub all_back_ms: Option<u64>,
    /// The longest that nothing changed in the works while not all were back, in milliseconds.
    pub longest_still_ms: u64,
}

pub struct Crew<'a> {
    pub program: PathBuf,
    pub sockets: Vec<PathBuf>,
    pub history: &'a History,
    pub stop: &'a AtomicBool,
    pub nodes: &'a [Node],
    /// How long a machine is worked on.
    pub work: Duration,
}

/// Machines go out by hand, through discovery: all routers' are told, then a fixed time is waited.
pub fn by_hand(
    plan: &FleetPlan, discoveries: &[(Discovery, Vec<std::net::SocketAddr>)], nodes: &[Node],
    stop: &AtomicBool,
) -> Worked {
    let began = Instant::now();
    let all: Vec<usize> = (0..plan.nodes).collect();
    let rounds: Vec<&[usize]> = match plan.order {
        Order::OneByOne => all.chunks(1).collect(),
        Order::AtOnce => vec![&all[..]],
        Order::Routers | Order::Nobody => Vec::new(),
    };
    let tell = |out: &[usize]| {
        for (discovery, addresses) in discoveries {
            let entry = |(at, address): (usize, &std::net::SocketAddr)| {
                let status = if out.contains(&at) { "Terminating" } else { "Ready" };
                crate::standins::entry_of(&format!("s{at}"), *address, status, at % plan.sets)
            };
            let list: Vec<String> = addresses.iter().enumerate().map(entry).collect();
            discovery.set(|roster| {
                roster.version += 1;
                roster.changes = list.join(",");
            });
        }
    };
    let mut worked = Worked { machines: plan.nodes, ..Worked::default() };
    for round in rounds {
        if stop.load(Ordering::Relaxed) {
            return worked;
        }
        tell(round);
        std::thread::sleep(FIXED);
        round.iter().for_each(|at| nodes[*at].suffers(Fault::Stall));
        std::thread::sleep(Duration::from_micros(plan.work));
        round.iter().for_each(|at| nodes[*at].recovers());
        tell(&[]);
        std::thread::sleep(FIXED);
        worked.back += round.len();
    }
    worked.all_back_ms = u64::try_from(began.elapsed().as_millis()).ok();
    worked
}

impl Crew<'_> {
    fn run(&self, through: usize, words: &[&str]) -> (Value, i32) {
        let mut command = Command::new(&self.program);
        command.arg("works").args(words).args(["--json", "--socket"]);
        command.arg(&self.sockets[through % self.sockets.len()]).stdin(Stdio::null());
        let Ok(done) = command.output() else { return (Value::Null, -1) };
        (serde_json::from_slice(&done.stdout).unwrap_or_default(), done.status.code().unwrap_or(-1))
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
        let mut words =
            vec!["ask", "--why", "disks", "--by", "ann", "--lasts", "1s", "--timeout", WAIT, "--op", "77"];
        words.extend(machines.iter().map(String::as_str));
        let (said, _) = self.until_heard(0, &words)?;
        said["number"].as_u64()
    }

    /// One of the crews: takes one machine after the other. `vanishes`: it goes away with its first permit in hand, and
    /// comes back for it after a while.
    pub fn work(&self, name: &str, number: usize, request: u64, vanishes: bool) {
        let request = request.to_string();
        let mut vanishes = vanishes;
        while !self.stop.load(Ordering::Relaxed) {
            let words = ["next", "--request", &request, "--timeout", WAIT];
            let (said, status) = self.run(number, &words);
            let (Some(permit), Some(machine)) = (said["permit"].as_u64(), said["machine"].as_str()) else {
                if status == 3 && self.is_closed(number, &request) {
                    return;
                }
                std::thread::sleep(PAUSE);
                continue;
            };
            let (permit_word, machine) = (permit.to_string(), machine.to_owned());
            let op = (number as u64 + 1) * 1_000_000_000 + permit;
            let op = op.to_string();
            let begin = ["begin", &permit_word, "--by", name, "--timeout", WAIT, "--op", &op];
            let Some((_, 0)) = self.until_heard(number, &begin) else { continue };
            self.history.note(What::Permitted { machine: machine.clone(), permit, by: name.into() });
            // While it is worked on it answers nothing.
            let node = machine.strip_prefix('s').and_then(|at| self.nodes.get(at.parse::<usize>().ok()?));
            node.into_iter().for_each(|node| node.suffers(Fault::Stall));
            std::thread::sleep(if std::mem::take(&mut vanishes) { self.work * 5 } else { self.work });
            node.into_iter().for_each(Node::recovers);
            // From here on it may get work again.
            self.history.note(What::Returned { machine, permit });
            let op = format!("{op}0");
            let done = ["done", &permit_word, "--by", name, "--timeout", WAIT, "--op", &op];
            self.until_heard(number, &done);
        }
    }

    fn is_closed(&self, number: usize, request: &str) -> bool {
        let (said, status) = self.run(number, &["show", request]);
        status == 1 && said["line"].as_str().is_some_and(|line| line.contains("not open"))
    }

    /// Follows the works until all machines are back.
    pub fn watch(&self, plan: &FleetPlan, request: u64, began: Instant) -> Worked {
        let mut worked = Worked { machines: plan.nodes, ..Worked::default() };
        let (mut last, mut since) = (Value::Null, Instant::now());
        for turn in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return worked;
            }
            let (seen, status) = self.run(turn, &["list"]);
            if status == 0 {
                let rows: Vec<&Value> = seen["rows"].as_array().into_iter().flatten().collect();
                let own = rows.iter().filter(|row| row["request"].as_u64() == Some(request));
                let states: Vec<Value> =
                    own.map(|row| serde_json::json!([row["machine"], row["state"]])).collect();
                let known = states.iter().filter(|state| state[1] == "back").count();
                worked.back = if states.is_empty() { plan.nodes } else { known.max(worked.back) };
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
