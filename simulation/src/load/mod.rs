//! The real program under load, on loopback: stand-in nodes and discovery, clients in an open loop whose times count from
//! when a lookup was due, faults on the sockets, routers that are killed, restarted and upgraded. Bounded in count and
//! time. Figures from here are of this machine and of loopback.

mod clients;
mod routers;

use std::collections::{BTreeMap, HashMap};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::Display;
use ternpick_settings::{ReadError, Schema};

use crate::standins::{entry, Act, Discovery, Fault, Node};
use clients::Seen;
use routers::Routers;

const SCHEMA: Schema = Schema::new(&[("load.cue", include_str!("load.cue"))], "#Load");
/// Steps of the time line are looked at so often.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum EventKind {
    Kill,
    Restart,
    Upgrade,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultAt {
    pub kind: Fault,
    pub at: u64,
    #[serde(rename = "for")]
    pub lasts: u64,
    pub nodes: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Event {
    pub kind: EventKind,
    pub at: u64,
    pub router: usize,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub name: String,
    pub rate: f64,
    pub clients: usize,
    pub seconds: u64,
    pub settle: u64,
    pub parts: usize,
    pub routers: usize,
    pub nodes: usize,
    pub takes: u64,
    pub sockets: usize,
    pub memory_mb: u64,
    pub faults: Vec<FaultAt>,
    pub events: Vec<Event>,
}

#[derive(Debug, thiserror::Error)]
pub enum Failed {
    #[error("{0}")]
    Refused(#[from] ReadError),
    #[error("{0}")]
    System(#[from] std::io::Error),
    #[error("an event names router {0}, there are {1}")]
    NoRouter(usize, usize),
    #[error("the router does not serve: {0}")]
    NotServing(String),
}

/// What a load came to. Times in milliseconds, from when a lookup was due.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub load: Load,
    pub lookups: u64,
    pub a_second: f64,
    /// By status: 200 and others; 0: taken, and no answer; 1: nobody listened, so nobody had taken it.
    pub answers: BTreeMap<u16, u64>,
    /// Sent once more, since a kept connection was closed under them.
    pub again: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub p999_ms: f64,
    pub most_ms: f64,
    /// Processor time of the routers, microseconds a lookup, and the share of one core that they had together.
    pub cpu_us: f64,
    pub cpu_share: f64,
    pub memory_mb: f64,
    pub descriptors: u64,
    pub parts_sent: u64,
    /// Calls of one part beyond the first.
    pub parts_again: u64,
    pub events: Vec<String>,
}

impl Load {
    pub fn read(path: &Path) -> Result<Load, Failed> {
        SCHEMA.read_file::<Load>(path)?.value.checked()
    }

    pub fn parse(name: &str, text: &str) -> Result<Load, Failed> {
        SCHEMA.read::<Load>(name, text)?.value.checked()
    }

    fn checked(self) -> Result<Load, Failed> {
        match self
            .events
            .iter()
            .find(|event| event.router >= self.routers)
        {
            Some(event) => Err(Failed::NoRouter(event.router, self.routers)),
            None => Ok(self),
        }
    }
}

/// One step of a load's time line.
enum Step<'a> {
    Begins(&'a FaultAt),
    Ends(&'a FaultAt),
    Event(&'a Event),
}

fn steps(load: &Load) -> Vec<(u64, Step<'_>)> {
    let mut steps: Vec<(u64, Step)> = load
        .events
        .iter()
        .map(|of| (of.at, Step::Event(of)))
        .collect();
    for fault in &load.faults {
        steps.push((fault.at, Step::Begins(fault)));
        steps.push((fault.at + fault.lasts, Step::Ends(fault)));
    }
    steps.sort_by_key(|(at, _)| *at);
    steps
}

/// Plays a load against the program at `program`, whose files lie in `folder` meanwhile.
pub fn play(load: &Load, program: &Path, folder: &Path) -> Result<Outcome, Failed> {
    let takes = Duration::from_micros(load.takes);
    let nodes = (0..load.nodes).map(|_| Node::start_slow([Act::Serve; 2], takes));
    let nodes = nodes.collect::<std::io::Result<Vec<Node>>>()?;
    let listed = nodes
        .iter()
        .enumerate()
        .map(|(at, node)| entry(&format!("s{at}"), node.address, "Ready"));
    let (discovery, listed) = (Discovery::default(), listed.collect::<Vec<_>>().join(","));
    discovery.set(|roster| (roster.version, roster.changes) = (1, listed.clone()));
    let mut routers = Routers::start(load, program, folder, &listed, discovery.start())?;
    let (stop, seen) = (AtomicBool::new(false), Seen::default());
    let mut events = Vec::new();
    let played: Result<f64, Failed> = std::thread::scope(|scope| {
        let _ends = Ends(&stop);
        let began = Instant::now();
        for client in 0..load.clients {
            let (seen, stop, addresses) = (&seen, &stop, routers.addresses());
            scope.spawn(move || clients::client(load, client, &addresses, began, stop, seen));
        }
        let settled = began + Duration::from_secs(load.settle);
        let mut left = steps(load).into_iter().peekable();
        let mut cpu_before = None;
        while began.elapsed() < Duration::from_secs(load.seconds) {
            std::thread::sleep(LOOK);
            routers.sample();
            if cpu_before.is_none() && Instant::now() >= settled {
                cpu_before = Some((routers.cpu(), Instant::now()));
            }
            let now = began.elapsed().as_micros() as u64;
            while let Some((_, step)) = left.next_if(|(at, _)| *at <= now) {
                match step {
                    Step::Begins(fault) => nodes
                        .iter()
                        .take(fault.nodes)
                        .for_each(|node| node.inject(fault.kind)),
                    Step::Ends(fault) => nodes.iter().take(fault.nodes).for_each(Node::clear_fault),
                    Step::Event(event) => {
                        let at = Instant::now();
                        let said = routers.play(event.kind, event.router)?;
                        events.push(format!(
                            "{} after {} ms: {said}",
                            event.kind,
                            at.elapsed().as_millis()
                        ));
                    }
                }
            }
        }
        let (before, at) = cpu_before.unwrap_or((0, began));
        let spent = routers.cpu().saturating_sub(before) as f64;
        let lasted = at.elapsed().as_secs_f64();
        Ok(spent / 1e6 / lasted)
    });
    let cpu_share = played?;
    let measured = (load.seconds - load.settle.min(load.seconds)).max(1) as f64;
    let (answers, times, again) = seen.into_inner();
    let lookups: u64 = answers.values().sum();
    let at = |q| times.value_at_quantile(q) as f64 / 1000.0;
    // A further call of a part goes to another node, as a rule.
    let mut calls: HashMap<String, u64> = HashMap::new();
    for (part, sends) in nodes.iter().flat_map(Node::sends) {
        *calls.entry(part).or_default() += sends;
    }
    let sent = calls.values().sum();
    Ok(Outcome {
        load: load.clone(),
        lookups,
        a_second: lookups as f64 / measured,
        answers,
        again,
        p50_ms: at(0.5),
        p99_ms: at(0.99),
        p999_ms: at(0.999),
        most_ms: at(1.0),
        cpu_us: cpu_share * 1e6 * measured / lookups.max(1) as f64,
        cpu_share,
        memory_mb: routers.most_memory() as f64 / 1024.0,
        descriptors: routers.most_descriptors(),
        parts_sent: sent,
        parts_again: sent - calls.len() as u64,
        events,
    })
}

/// Ends the clients also where something fails.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// The program beside this one.
pub fn beside() -> Option<PathBuf> {
    let path = std::env::current_exe().ok()?.with_file_name("ternpick");
    path.exists().then_some(path)
}
