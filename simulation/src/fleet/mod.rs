//! A rig of real processes: routers of the program on loopback with a fleet to agree in, stand-in nodes and discovery,
//! clients in an open loop and operators with the program's own commands. Between routers, and from them to nodes and
//! discovery, stand relays; processes are ended, stopped, restarted with other disks. A seed draws the schedule; what
//! clients, operators and nodes saw becomes a history, which a checker that knows the rules alone reads afterwards.

mod clients;
mod crew;
mod listings;
mod operator;
pub mod plan;
pub mod relay;
pub mod report;
mod routers;
pub mod timeline;
pub mod virt;
pub mod works_size;

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use ternpick_history::{check, Bounds, EventKind, Verdict, VisiblePolicy, Writer};

use crate::load::Failed;
use crate::standins::{Act, Fault, Node};
pub use crew::Worked;
use listings::Listings;
use operator::Operator;
pub use operator::Took;
pub use plan::{Change, FleetPlan, Kind, Order, Schedule, Step};
use relay::Weather;
use routers::{Disk, Routers};

const LOOK: Duration = Duration::from_millis(5);
/// How often routers are asked how they stand.
const ASK: Duration = Duration::from_millis(150);
/// When all is well again, all routers admit under one version within this.
const WORKED_WITHIN: Duration = Duration::from_secs(60);
const CREWS: usize = 3;
const WELL_WITHIN: Duration = Duration::from_secs(30);

/// What is written as it happens. A line that cannot be written spoils the history, and that is told.
pub struct History {
    writer: Writer<BufWriter<File>>,
    spoilt: AtomicBool,
}

impl History {
    pub fn create(path: &Path) -> std::io::Result<History> {
        let file = File::create(path)?;
        Ok(History {
            writer: Writer::new(BufWriter::new(file)),
            spoilt: AtomicBool::new(false),
        })
    }

    pub fn note(&self, what: EventKind) {
        if self.writer.note(what).is_err() {
            self.spoilt.store(true, Ordering::Relaxed);
        }
    }

    fn finish(self) -> std::io::Result<()> {
        if self.spoilt.load(Ordering::Relaxed) {
            return Err(std::io::Error::other("the history could not be written"));
        }
        self.writer.finish().map(drop)
    }
}

/// What a run came to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Outcome {
    pub name: String,
    pub seed: u64,
    pub verdict: Verdict,
    /// All routers admitted under one version in time, once nothing was broken any more; none: not in time.
    pub well_after_ms: Option<u64>,
    pub took: Vec<Took>,
    /// Where crews worked.
    #[serde(default)]
    pub worked: Option<Worked>,
    pub steps: usize,
    pub changes: usize,
    /// Requests between routers, and processor time of each router, microseconds a second.
    pub carried: u64,
    pub cpu: Vec<u64>,
    pub seconds: f64,
    /// From when a lookup was asked to its first part at a node; microseconds.
    pub first_part: report::Spread,
    /// Lookups that were refused though their router was neither ended, stopped nor cut off; by status.
    pub refused_whole: u64,
    /// Of the lookups that were asked, the share with an answer within the soft deadline.
    #[serde(default)]
    pub in_time: f64,
}

impl Outcome {
    pub fn is_good(&self) -> bool {
        let worked = self
            .worked
            .as_ref()
            .is_none_or(|worked| worked.all_back_ms.is_some());
        matches!(self.verdict, Verdict::Accepted(_)) && self.well_after_ms.is_some() && worked
    }
}

/// Plays a schedule against the program; the history is kept in `folder`.
///
/// The routers' files lie in memory where the system has such a folder, so that one disk's stalls are not all routers'
/// at once; with `on_disk` they lie on the disk.
pub fn play(
    schedule: &Schedule,
    program: &Path,
    folder: &Path,
    on_disk: bool,
) -> Result<Outcome, Failed> {
    let plan = &schedule.plan;
    std::fs::create_dir_all(folder)?;
    let text = serde_json::to_vec_pretty(schedule).map_err(std::io::Error::other)?;
    std::fs::write(folder.join("schedule.json"), text)?;
    let path = folder.join("history.jsonl");
    let history = Arc::new(History::create(&path)?);
    let calls = ["half", "whole", "once"]
        .map(|index| (index.to_owned(), if index == "once" { 1 } else { 4 }));
    let seen = VisiblePolicy {
        calls: calls.into(),
        drained: vec![],
    };
    let holders = plan.holders();
    // Two where there are more, and never none.
    let keeps = holders
        .iter()
        .map(Vec::len)
        .min()
        .map_or(0, |least| 2.min(least.saturating_sub(1)).max(1));
    history.note(EventKind::Begins {
        seen,
        holders,
        keeps,
    });
    let nodes =
        (0..plan.nodes).map(|_| Node::start_slow([Act::Serve; 2], Duration::from_millis(2)));
    let nodes = nodes.collect::<std::io::Result<Vec<Node>>>()?;
    let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
    let work = if on_disk {
        tempfile::tempdir()?
    } else {
        in_memory()?
    };
    let mut routers = Routers::start(
        plan,
        program,
        work.path(),
        &addresses,
        &history,
        schedule.seed,
    )?;
    if !plan.off {
        routers.admit()?;
    }
    let listings = Listings::of(&routers, plan.nodes, plan.sets);
    let (stop, began) = (AtomicBool::new(false), Instant::now());
    let (took, worked) = (Mutex::new(Vec::new()), Mutex::new(None));
    let played: Result<Option<u64>, Failed> = std::thread::scope(|scope| {
        let ends = Ends(&stop);
        let clients: Vec<_> = routers
            .all
            .iter()
            .map(|router| (router.name.clone(), router.address))
            .collect();
        let sockets: Vec<PathBuf> = routers
            .all
            .iter()
            .map(|router| router.socket.clone())
            .collect();
        for number in 0..plan.clients {
            let (clients, stop, history) = (clients.clone(), &stop, &*history);
            scope.spawn(move || clients::client(plan, number, &clients, began, stop, history));
        }
        for (at, node) in nodes.iter().enumerate() {
            let history = Arc::clone(&history);
            node.watch(Some(Arc::new(move |letter, text: &str| {
                parts_begin(at, letter, text, &history)
            })));
        }
        let operator = |folder: &Path| Operator {
            program: program.to_owned(),
            sockets: sockets.clone(),
            folder: folder.to_owned(),
            history: &history,
        };
        for (number, change) in schedule.changes.iter().enumerate() {
            let (operator, took, stop) = (operator(work.path()), &took, &stop);
            scope.spawn(move || {
                let due = began + Duration::from_millis(change.at);
                while let Some(wait) = due.checked_duration_since(Instant::now()) {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    std::thread::sleep(wait.min(Duration::from_millis(50)));
                }
                if let Some(of) = operator.change(number, change) {
                    took.lock().unwrap_or_else(PoisonError::into_inner).push(of);
                }
            });
        }
        let crew = || crew::Crew {
            program: program.to_owned(),
            sockets: sockets.clone(),
            history: &history,
            stop: &stop,
            nodes: &nodes,
            listings: &listings,
            work: Duration::from_micros(plan.work),
        };
        if plan.works && plan.order != Order::Routers {
            let (worked, nodes, stop, listings) = (&worked, &nodes, &stop, &listings);
            scope.spawn(move || {
                let done = crew::by_hand(plan, listings, nodes, stop);
                *worked.lock().unwrap_or_else(PoisonError::into_inner) = Some(done);
            });
        } else if plan.works {
            let (asks, worked) = (crew(), &worked);
            let crews: Vec<_> = (0..CREWS).map(|_| crew()).collect();
            scope.spawn(move || {
                let began = Instant::now();
                let Some(request) = asks.ask(plan) else {
                    return;
                };
                std::thread::scope(|scope| {
                    for (number, crew) in crews.iter().enumerate() {
                        scope.spawn(move || crew.work(plan, number, request, number == 1));
                    }
                    if plan.fates {
                        scope.spawn(|| asks.changes_mind());
                    }
                    let of = asks.watch(plan, request, began);
                    *worked.lock().unwrap_or_else(PoisonError::into_inner) = Some(of);
                });
            });
        }
        let mut player = Player {
            routers: &mut routers,
            nodes: &nodes,
            open: Vec::new(),
            operator: operator(work.path()),
        };
        let broke = player.play(schedule, began);
        let well = if plan.off { Ok(Some(0)) } else { player.heal() };
        // What the crews have in hand is finished with nothing broken.
        let late = Instant::now() + WORKED_WITHIN;
        let is_done = || {
            worked
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .is_some()
        };
        while plan.works && well.is_ok() && !is_done() && Instant::now() < late {
            std::thread::sleep(ASK);
            player.look(&mut Vec::new())?;
        }
        // A little more, with nothing broken.
        if broke.is_ok() && well.is_ok() {
            std::thread::sleep(Duration::from_millis(500));
        }
        drop(ends);
        broke.and(well)
    });
    for router in &routers.all {
        let log = router.folder.with_file_name("log");
        // For people, also where the run broke off; one that never spoke has none.
        let _ = std::fs::copy(log, folder.join(format!("{}.log", router.name)));
    }
    let well_after_ms = played?;
    let seconds = began.elapsed().as_secs_f64();
    let cpu = routers
        .all
        .iter_mut()
        .map(|router| (router.cpu() as f64 / seconds) as u64)
        .collect();
    let carried = routers.relay.carried();
    drop(routers);
    nodes.iter().for_each(|node| node.watch(None));
    let history = alone(history)?;
    history.finish()?;
    let verdict = check(BufReader::new(File::open(&path)?), Bounds::default());
    let (first_part, refused_whole) = report::first_parts(&path)?;
    let in_time = report::in_time(&path)?;
    let took = took.into_inner().unwrap_or_else(PoisonError::into_inner);
    let worked = worked.into_inner().unwrap_or_else(PoisonError::into_inner);
    let worked = plan.works.then(|| worked.unwrap_or_default());
    let (steps, changes) = (schedule.steps.len(), schedule.changes.len());
    let outcome = Outcome {
        name: plan.name.clone(),
        seed: schedule.seed,
        verdict,
        well_after_ms,
        took,
        worked,
        steps,
        changes,
        carried,
        cpu,
        seconds,
        first_part,
        refused_whole,
        in_time,
    };
    let text = serde_json::to_vec_pretty(&outcome).map_err(std::io::Error::other)?;
    std::fs::write(folder.join("outcome.json"), text)?;
    Ok(outcome)
}

/// The history, once nobody else writes to it: a node may be about to.
fn alone(mut history: Arc<History>) -> std::io::Result<History> {
    for _ in 0..200 {
        match Arc::try_unwrap(history) {
            Ok(history) => return Ok(history),
            Err(still) => history = still,
        }
        std::thread::sleep(LOOK);
    }
    Err(std::io::Error::other("the history is still written to"))
}

/// A folder in memory.
fn in_memory() -> std::io::Result<tempfile::TempDir> {
    let shared = Path::new("/dev/shm");
    if shared.is_dir() {
        tempfile::tempdir_in(shared)
    } else {
        tempfile::tempdir()
    }
}

/// Ends the clients also where something fails.
struct Ends<'a>(&'a AtomicBool);

impl Drop for Ends<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Writes down each part that a node begins, as it reads it.
fn parts_begin(at: usize, letter: char, text: &str, history: &History) {
    if letter != 'q' {
        return;
    }
    let mut left = text;
    while let Some((line, more)) = left.split_once('\n') {
        let words: Vec<&str> = line.split(' ').collect();
        let length = words.get(3).and_then(|word| word.parse::<usize>().ok());
        let (Some(length), Some((lookup, shard))) = (length, words[0].rsplit_once('.')) else {
            break;
        };
        let shard = shard.parse().unwrap_or_default();
        history.note(EventKind::PartStarted {
            node: format!("s{at}"),
            lookup: lookup.to_owned(),
            shard,
        });
        left = more.get(length..).unwrap_or_default();
    }
}

/// What is to end, and when.
struct Open {
    until: Instant,
    step: Step,
}

struct Player<'a> {
    routers: &'a mut Routers,
    nodes: &'a [Node],
    open: Vec<Open>,
    operator: Operator<'a>,
}

impl Player<'_> {
    fn play(&mut self, schedule: &Schedule, began: Instant) -> Result<(), Failed> {
        let mut left = schedule.steps.iter().peekable();
        let end = began + Duration::from_secs(schedule.plan.seconds);
        let mut asked = began;
        while Instant::now() < end {
            std::thread::sleep(LOOK);
            let now = Instant::now();
            while let Some(step) =
                left.next_if(|step| began + Duration::from_millis(step.at) <= now)
            {
                self.begins(step)?;
            }
            self.end_due(now)?;
            if now >= asked + ASK {
                asked = now;
                self.look(&mut Vec::new())?;
            }
        }
        Ok(())
    }

    fn others(&self, whom: usize) -> Vec<usize> {
        (0..self.routers.all.len())
            .filter(|at| *at != whom)
            .collect()
    }

    fn begins(&mut self, step: &Step) -> Result<(), Failed> {
        let count = self.routers.all.len();
        let mut step = step.clone();
        if let Some(kind) = of_leader(step.kind) {
            // Where nobody leads just now it befalls whom the schedule names.
            step.whom = self.routers.leader().unwrap_or(step.whom);
            step.kind = kind;
            if kind == Kind::Cut {
                let whom = step.whom;
                self.others(whom)
                    .into_iter()
                    .for_each(|other| self.routers.relay.cut(other, whom, true));
                step.kind = Kind::LeadDeaf;
            }
        }
        let (step, whom) = (&step, step.whom);
        let name = self.routers.all[whom].name.clone();
        self.routers.history.note(EventKind::Fault {
            kind: step.kind.to_string(),
            whom: name,
        });
        match step.kind {
            Kind::Kill | Kind::LastWrite | Kind::OlderState | Kind::LostState => {
                // What an older state is older than has to have been answered for.
                if step.kind == Kind::OlderState {
                    self.routers.copy_disk(whom);
                    std::thread::sleep(Duration::from_millis(300));
                }
                self.routers.kill(whom);
            }
            Kind::Power => (0..count).for_each(|at| self.routers.kill(at)),
            Kind::Restart => return self.routers.restart(whom),
            Kind::Upgrade if self.routers.all[whom].up && !self.routers.all[whom].stopped => {
                let mut child = self.routers.upgrade(whom)?;
                std::thread::spawn(move || child.wait());
                return Ok(());
            }
            Kind::Upgrade => return Ok(()),
            Kind::Remove => {
                self.operator.fleet(
                    self.others(whom)[0],
                    &["remove", &self.routers.all[whom].name],
                )?;
            }
            Kind::Stop | Kind::LongStop => self.routers.stop(whom, true),
            Kind::Cut => self.routers.relay.cut(step.other % count, whom, true),
            Kind::LeadDeaf | Kind::LeadKill | Kind::LeadStop | Kind::LeadDisk => {}
            Kind::Isolate => self.isolate(whom, true),
            Kind::Split => self.split(step, true),
            Kind::Delay | Kind::Reorder | Kind::Double | Kind::Drop => {
                self.routers.relay.set(weather(step.kind))
            }
            Kind::FullDisk => self.routers.full_disk(whom, true),
            Kind::NodeStall => self.nodes[step.other % self.nodes.len()].inject(Fault::Stall),
            Kind::NodeCut => self.routers.all[whom].pipes[step.other % self.nodes.len()].cut(true),
            Kind::DiscoveryDown => self.routers.all[whom]
                .discovery
                .set(|roster| roster.down = true),
            Kind::AllReady => {
                for router in &self.routers.all {
                    router.discovery.set(|roster| roster.version += 1);
                }
            }
            Kind::Quorum => (0..self.routers.voters - 1).for_each(|at| self.routers.kill(at)),
        }
        self.open.push(Open {
            until: Instant::now() + Duration::from_millis(step.lasts),
            step: step.clone(),
        });
        Ok(())
    }

    fn isolate(&mut self, whom: usize, cut: bool) {
        for other in self.others(whom) {
            self.routers.relay.cut(whom, other, cut);
            self.routers.relay.cut(other, whom, cut);
        }
    }

    fn split(&mut self, step: &Step, cut: bool) {
        let count = self.routers.all.len();
        let first = 1 + step.whom % (count - 1).max(1);
        for a in 0..first {
            for b in first..count {
                self.routers.relay.cut(a, b, cut);
                self.routers.relay.cut(b, a, cut);
            }
        }
    }

    fn end_due(&mut self, now: Instant) -> Result<(), Failed> {
        let (due, rest) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|open| open.until <= now);
        self.open = rest;
        for Open { step, .. } in due {
            self.ends(&step)?;
        }
        Ok(())
    }

    fn ends(&mut self, step: &Step) -> Result<(), Failed> {
        let (whom, count) = (step.whom, self.routers.all.len());
        match step.kind {
            Kind::Kill => self.routers.start_again(whom, Disk::AsItWas)?,
            // One seat at a time: with more lost than a minority no fleet goes on by itself.
            Kind::LastWrite | Kind::OlderState | Kind::LostState
                if self.routers.all.iter().any(|of| of.unseated) =>
            {
                self.routers.start_again(whom, Disk::AsItWas)?;
            }
            Kind::LastWrite => self.routers.start_again(whom, Disk::WithoutLast)?,
            Kind::OlderState => self.routers.start_again(whom, Disk::Older)?,
            Kind::LostState => self.routers.start_again(whom, Disk::Nothing)?,
            Kind::Power => {
                for at in 0..count {
                    self.routers.start_again(at, Disk::AsItWas)?;
                }
            }
            Kind::Stop | Kind::LongStop => self.routers.stop(whom, false),
            Kind::Cut => self.routers.relay.cut(step.other % count, whom, false),
            Kind::LeadDeaf => {
                self.others(whom)
                    .into_iter()
                    .for_each(|other| self.routers.relay.cut(other, whom, false));
            }
            Kind::LeadKill | Kind::LeadStop | Kind::LeadDisk => {}
            Kind::Isolate => self.isolate(whom, false),
            Kind::Split => self.split(step, false),
            Kind::Delay | Kind::Reorder | Kind::Double | Kind::Drop => {
                self.routers.relay.set(Weather::default())
            }
            Kind::FullDisk => {
                self.routers.full_disk(whom, false);
                // One that was just starting has ended for want of room.
                self.routers.start_again(whom, Disk::AsItWas)?;
            }
            Kind::NodeStall => self.nodes[step.other % self.nodes.len()].clear_fault(),
            Kind::NodeCut => self.routers.all[whom].pipes[step.other % self.nodes.len()].cut(false),
            Kind::DiscoveryDown => self.routers.all[whom]
                .discovery
                .set(|roster| roster.down = false),
            Kind::Remove => {
                let of = &self.routers.all[whom];
                let (address, zone) = (of.fleet_address.to_string(), format!("z{}", whom % 3));
                let words = [
                    "add",
                    &of.name,
                    "--address",
                    &address,
                    "--zone",
                    &zone,
                    "--vote",
                ];
                self.operator.fleet(self.others(whom)[0], &words)?;
            }
            Kind::Quorum => {
                for at in 0..self.routers.voters {
                    self.routers.start_again(at, Disk::AsItWas)?;
                }
            }
            Kind::Restart | Kind::Upgrade | Kind::AllReady => {}
        }
        Ok(())
    }

    /// Asks each router how it stands; one without its seat is given another.
    fn look(&mut self, stands: &mut Vec<Value>) -> Result<(), Failed> {
        if let Some(name) = self.routers.look() {
            return Err(Failed::NotServing(format!("{name} has ended by itself")));
        }
        let (mut unseated, mut seated) = (None, vec![false; self.routers.all.len()]);
        for (at, router) in self.routers.all.iter().enumerate() {
            if !router.up || router.stopped {
                stands.push(Value::Null);
                continue;
            }
            let status = router.status().unwrap_or_default();
            if status.is_object() {
                let (version, term) = (status["version"].as_u64(), status["seat"]["term"].as_u64());
                self.routers.history.note(EventKind::VersionReported {
                    router: router.name.clone(),
                    version,
                    term,
                });
            }
            let standing = status["seat"]["standing"].as_str().unwrap_or_default();
            let out =
                status.is_object() && status["seat"].is_null() || standing.starts_with("spoilt");
            let waits = router
                .replaced
                .is_some_and(|at| at.elapsed() < Duration::from_secs(3));
            if router.unseated && out && !waits && status["lease_left_ms"].is_u64() {
                unseated = Some((at, router.name.clone()));
            }
            let voters = status["seat"]["voters"].as_array().into_iter().flatten();
            let votes = standing == "takes part"
                && voters
                    .into_iter()
                    .any(|seat| *seat == status["seat"]["seat"]);
            seated[at] = votes;
            stands.push(status);
        }
        if let Some((at, name)) = unseated {
            self.routers.all[at].replaced = Some(Instant::now());
            // Where nobody leads just now it is said again.
            self.operator.fleet(at, &["replace", &name])?;
        }
        for (router, votes) in self.routers.all.iter_mut().zip(seated) {
            router.unseated &= !votes;
        }
        Ok(())
    }

    /// Mends everything; how long it then takes until all admit under one version.
    fn heal(&mut self) -> Result<Option<u64>, Failed> {
        for Open { step, .. } in std::mem::take(&mut self.open) {
            self.ends(&step)?;
        }
        self.routers.relay.mend();
        for at in 0..self.routers.all.len() {
            self.routers.stop(at, false);
            self.routers.start_again(at, Disk::AsItWas)?;
        }
        let began = Instant::now();
        while began.elapsed() < WELL_WITHIN {
            std::thread::sleep(ASK);
            let mut stands = Vec::new();
            self.look(&mut stands)?;
            let versions: Vec<Option<u64>> = stands
                .iter()
                .map(|of| {
                    of["version"]
                        .as_u64()
                        .filter(|_| of["lease_left_ms"].is_u64() && of["next"].is_null())
                })
                .collect();
            let votes = stands
                .iter()
                .filter(|of| of["seat"]["standing"] == "takes part")
                .count();
            if versions[0].is_some()
                && versions.iter().all(|of| *of == versions[0])
                && votes >= self.routers.voters
            {
                return Ok(Some(
                    u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX),
                ));
            }
        }
        Ok(None)
    }
}

/// What befalls whoever leads.
fn of_leader(kind: Kind) -> Option<Kind> {
    match kind {
        Kind::LeadKill => Some(Kind::Kill),
        Kind::LeadStop => Some(Kind::LongStop),
        Kind::LeadDisk => Some(Kind::FullDisk),
        Kind::LeadDeaf => Some(Kind::Cut),
        _ => None,
    }
}

fn weather(kind: Kind) -> Weather {
    let ms = Duration::from_millis;
    match kind {
        Kind::Delay => Weather {
            late: (ms(40), ms(60)),
            ..Weather::default()
        },
        Kind::Reorder => Weather {
            late: (ms(0), ms(120)),
            ..Weather::default()
        },
        Kind::Double => Weather {
            late: (ms(0), ms(20)),
            doubled: 0.5,
            lost: 0.0,
        },
        _ => Weather {
            lost: 0.25,
            ..Weather::default()
        },
    }
}

/// Cuts a schedule down to what still shows a bad outcome: halves of its steps first, then one after the other.
pub fn shrink(
    schedule: &Schedule,
    program: &Path,
    folder: &Path,
    most: usize,
    tell: &mut dyn FnMut(&str),
) -> Result<Schedule, Failed> {
    let mut best = schedule.clone();
    let mut played = 0;
    let mut size = best.steps.len().div_ceil(2).max(1);
    while played < most {
        let mut at = 0;
        let mut smaller = false;
        while at < best.steps.len() && played < most {
            let mut of = best.clone();
            let end = (at + size).min(of.steps.len());
            of.steps.drain(at..end);
            played += 1;
            let outcome = play(&of, program, &folder.join(format!("try{played}")), false)?;
            let bad = !outcome.is_good();
            tell(&format!(
                "{} steps: {}",
                of.steps.len(),
                if bad { "still bad" } else { "good" }
            ));
            if bad {
                (best, smaller) = (of, true);
            } else {
                at += size;
            }
        }
        if size == 1 && !smaller {
            break;
        }
        size = (size / 2).max(1);
    }
    Ok(best)
}
