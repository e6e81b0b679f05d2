//! A day in virtual time: one heap of events, nodes, routers, clients and discovery round it. Everything that happens
//! follows from a world and a seed; the trace hash tells whether two days were the same.

mod asks;
mod fleet;
mod front;
#[cfg(test)]
mod planted;

use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use seahash::SeaHasher;
use ternpick::types::{
    AttemptNo, AttemptOutcome, Endpoint, EndpointState, QueryId, ShardRequestId, TimerId,
};

use crate::check::Checker;
use crate::measure::Measure;
use crate::node::{CallId, Effect, Node};
use crate::plan::{Who, World};
use crate::policy::Sight;

pub use asks::draw_work;
use asks::{Ask, AskId, Asks};
use front::Front;

/// Days begin here, so that times before the beginning exist, in microseconds.
pub const ZERO: u64 = 1_000_000_000_000;
pub const SECOND: u64 = 1_000_000;
/// A message in a zone is later than its least by so much of it on the mean.
const JITTER: f64 = 0.2;

/// Looked up by number only, so their order does not matter; the hash is the same on each run.
type Map<K, V> = HashMap<K, V, BuildHasherDefault<SeaHasher>>;

#[derive(Clone, Debug)]
enum Event {
    /// The next lookup of the open stream, or of one closed client.
    Due(Option<u32>),
    Arrives(AskId, u32),
    ClientLeaves(AskId, u32),
    ClientHears(AskId, u32, front::Word),
    Delivers(CallId),
    Ends(u32, u32, CallId),
    Returns(CallId, AttemptOutcome, Vec<f64>),
    CallDue(CallId),
    Cancels(u32, u32, CallId),
    Timer(u32, u32, TimerId),
    Probe(u32, u32, u32),
    Probed(u32, u32, u32, Vec<f64>),
    Visible(usize),
    Told(u32, u32, usize),
    WatchFails(u32, u32),
    Pauses(u32),
    GoesOn(u32, u32),
    Starts(u32),
    RouterBack(u32),
    Begins(usize),
    Over(usize),
    /// One more of a rolling release.
    Releases(usize, usize),
}

#[derive(Clone, Copy)]
enum Way {
    There,
    Back,
}

struct Scheduled {
    at: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Scheduled {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A part call that is out, as the network and its router know it.
struct Call {
    router: u32,
    lookup: QueryId,
    part: ShardRequestId,
    at: usize,
    number: AttemptNo,
    node: u32,
    sent: u64,
    job: crate::node::Job,
}

pub struct Sim<'a> {
    world: &'a World,
    now: u64,
    numbers: u64,
    heap: BinaryHeap<Scheduled>,
    trace: SeaHasher,
    events: u64,
    asks: Asks,
    nodes: Vec<Node>,
    fronts: Vec<Front>,
    calls: Map<CallId, Call>,
    next_call: u64,
    /// The same calls by router, part and number.
    out: Map<(u32, u64, u8), CallId>,
    /// Nodes whose machines are gone, not only their processes.
    vanished: BTreeSet<u32>,
    who: Who,
    seed: u64,
    last_visible: u64,
    /// What discovery knows, in order, and how much of it it tells by now.
    changes: Vec<Endpoint>,
    visible: usize,
    discovery_down: bool,
    stale: f64,
    first_list: Vec<Endpoint>,
    blocked: BTreeMap<(u16, u16), u32>,
    /// Shares of lookups that are deadly, by trouble.
    deadly: BTreeMap<usize, (u8, f64)>,
    bursts: f64,
    more_retries: f64,
    hit: BTreeMap<usize, Vec<u32>>,
    by_network: Pcg64Mcg,
    by_nodes: Pcg64Mcg,
    by_troubles: Pcg64Mcg,
    by_pauses: Pcg64Mcg,
    sight: Sight,
    checker: Checker,
    measure: Measure,
    effects: Vec<Effect>,
    ends: u64,
}

/// How a day went.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Day {
    pub world: String,
    pub policy: Who,
    pub seed: u64,
    pub load: f64,
    /// Of the gain that was there, the share that was had.
    pub service: f64,
    pub figures: crate::measure::Figures,
    pub breaches: Vec<crate::check::Breach>,
    pub breach_count: u64,
    pub events: u64,
    /// The digest of all that happened, and of what clients asked and when, which no policy changes.
    pub trace: String,
    pub asked: String,
    /// Service of each second.
    pub by_second: Vec<f64>,
    /// Seconds after the last trouble until service is back; none: it did not come back, or nothing happened.
    pub back_after: Option<f64>,
    pub troubled: bool,
}

impl<'a> Sim<'a> {
    fn new(world: &'a World, who: Who, seed: u64) -> Sim<'a> {
        let stream = |number: u64| {
            Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number)
        };
        let n = &world.nodes;
        let nodes: Vec<Node> = (0..world.node_count() as u32)
            .map(|at| Node::new((at % u32::from(world.network.zones)) as u16, at / n.a_cell))
            .collect();
        let first_list = (0..)
            .zip(&nodes)
            .map(|(at, node)| fleet::listing(at, node, EndpointState::Ready))
            .collect();
        let sight = Sight::new(vec![None; nodes.len()].into());
        let mut sim = Sim {
            world,
            now: ZERO,
            numbers: 0,
            heap: BinaryHeap::new(),
            trace: SeaHasher::new(),
            events: 0,
            asks: Asks::new(world, stream(1), stream(6)),
            nodes,
            fronts: Vec::new(),
            calls: Map::default(),
            next_call: 0,
            out: Map::default(),
            vanished: BTreeSet::new(),
            who,
            seed,
            last_visible: 0,
            changes: Vec::new(),
            visible: 0,
            discovery_down: false,
            stale: 1.0,
            first_list,
            blocked: BTreeMap::new(),
            deadly: BTreeMap::new(),
            bursts: 1.0,
            more_retries: 1.0,
            hit: BTreeMap::new(),
            by_network: stream(2),
            by_nodes: stream(3),
            by_troubles: stream(4),
            by_pauses: stream(5),
            sight,
            checker: Checker::new(world.most_calls, ZERO),
            measure: Measure::new(world),
            effects: Vec::new(),
            ends: ZERO + world.seconds * SECOND,
        };
        for at in 0..world.routers as u32 {
            let front = Front::new(world, who, at, 0, 0, seed, &sim.sight);
            sim.fronts.push(front);
        }
        sim
    }

    /// Plays a day.
    pub fn play(world: &World, who: Who, seed: u64, load: f64) -> Day {
        let world = world.at_load(load);
        let mut sim = Sim::new(&world, who, seed);
        sim.begin();
        sim.run();
        sim.finish(load)
    }

    fn begin(&mut self) {
        for router in 0..self.fronts.len() as u32 {
            self.start_router(router);
        }
        for trouble in 0..self.world.troubles.len() {
            let (at, lasts) = (
                self.world.troubles[trouble].at,
                self.world.troubles[trouble].lasts,
            );
            self.schedule(ZERO + at, Event::Begins(trouble));
            if lasts > 0 {
                self.schedule(ZERO + at + lasts, Event::Over(trouble));
            }
        }
        if self.world.nodes.pause > 0 {
            for node in 0..self.nodes.len() as u32 {
                self.next_pause(node, self.now);
            }
        }
        match self.world.clients.closed {
            0 => self.schedule(ZERO, Event::Due(None)),
            closed => {
                for client in 0..closed as u32 {
                    let at =
                        ZERO + exponential(&mut self.by_network, self.world.clients.thinks as f64);
                    self.schedule(at, Event::Due(Some(client)));
                }
            }
        }
    }

    fn run(&mut self) {
        // What was due in the day is waited for.
        let hard = self
            .world
            .indexes
            .iter()
            .map(|of| of.hard)
            .max()
            .unwrap_or(0);
        let tries = u64::from(self.asks.most_tries());
        let last = self.ends + (hard + self.world.clients.back_off * 8 + SECOND) * tries;
        while let Some(Scheduled { at, event, .. }) = self.heap.pop() {
            if at > last || at > self.ends && self.asks.is_empty() {
                break;
            }
            self.now = at;
            self.events += 1;
            self.trace.write_u64(at);
            self.play_event(event);
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.numbers += 1;
        self.heap.push(Scheduled {
            at: at.max(self.now),
            number: self.numbers,
            event,
        });
    }

    /// The time of a message from one zone to another, on a link that loses such a share; none: it does not come through.
    fn delay(&mut self, from: u16, to: u16, half_dead: f64) -> Option<u64> {
        let net = &self.world.network;
        let loss = net.loss.max(half_dead);
        let least = if from == to { net.within } else { net.across };
        if self.blocked.contains_key(&(from, to)) {
            return None;
        }
        let mut delay = least + exponential(&mut self.by_network, least as f64 * JITTER);
        while loss > 0.0 && self.by_network.random::<f64>() < loss {
            delay += self.world.network.again_after;
        }
        Some(delay)
    }

    /// The time of a message of no zone: between clients, routers and discovery.
    fn nearby(&mut self) -> u64 {
        let least = self.world.network.within;
        least + exponential(&mut self.by_network, least as f64 * JITTER)
    }

    /// The time of a message from a router to a node, or back.
    fn between(&mut self, router: u32, node: u32, way: Way) -> Option<u64> {
        let (zone, of) = (
            self.fronts[router as usize].zone,
            &self.nodes[node as usize],
        );
        let (from, to) = match way {
            Way::There => (zone, of.zone),
            Way::Back => (of.zone, zone),
        };
        let half_dead = of.half_dead;
        self.delay(from, to, half_dead)
    }

    fn note(&mut self, what: u64, id: u64) {
        self.trace.write_u64(what << 56 ^ id);
    }

    fn play_event(&mut self, event: Event) {
        match event {
            Event::Due(client) => self.due(client),
            Event::Arrives(ask, number) => {
                self.note(1, ask.0);
                self.arrives(ask, number);
            }
            Event::ClientLeaves(ask, number) => self.client_leaves(ask, number),
            Event::ClientHears(ask, number, word) => {
                self.note(2, ask.0);
                self.client_hears(ask, number, word);
            }
            Event::Delivers(call) => {
                self.note(3, call.0);
                self.delivers(call);
            }
            Event::Ends(node, epoch, call) => {
                self.note(4, u64::from(node));
                self.part_ends(node, epoch, call);
            }
            Event::Returns(call, ending, report) => {
                self.note(5, call.0);
                self.returns(call, ending, &report);
            }
            Event::CallDue(call) => self.call_due(call),
            Event::Cancels(node, epoch, call) => {
                if self.nodes[node as usize].epoch == epoch {
                    let mut effects = std::mem::take(&mut self.effects);
                    self.nodes[node as usize].cancels(
                        self.now,
                        call,
                        &self.world.nodes,
                        &mut effects,
                    );
                    self.carry_out(node, effects);
                }
            }
            Event::Timer(router, epoch, timer) => self.timer(router, epoch, timer),
            Event::Probe(router, epoch, node) => self.probe_arrives(router, epoch, node),
            Event::Probed(router, epoch, node, report) => {
                self.probe_returns(router, epoch, node, &report)
            }
            Event::Visible(version) => self.becomes_visible(version),
            Event::Told(router, epoch, version) => self.told(router, epoch, version),
            Event::WatchFails(router, epoch) => self.watch_fails(router, epoch),
            Event::Pauses(node) => self.pauses(node),
            Event::GoesOn(node, epoch) => {
                if self.nodes[node as usize].epoch == epoch {
                    let mut effects = std::mem::take(&mut self.effects);
                    self.nodes[node as usize].goes_on(self.now, &self.world.nodes, &mut effects);
                    self.carry_out(node, effects);
                }
            }
            Event::Starts(node) => self.node_starts(node),
            Event::RouterBack(router) => self.start_router(router),
            Event::Begins(trouble) => self.trouble_begins(trouble),
            Event::Over(trouble) => self.trouble_is_over(trouble),
            Event::Releases(trouble, at) => self.releases(trouble, at),
        }
    }

    fn finish(mut self, load: f64) -> Day {
        self.checker.day_ends(self.now);
        let ends = self.world.troubles.iter().map(|of| of.end()).max();
        let begins = self.world.troubles.iter().map(|of| of.at).min();
        let by_second = self.measure.by_second();
        let back_after = ends.zip(begins).and_then(|(ends, begins)| {
            crate::measure::back_after(
                &by_second,
                self.world.settle,
                begins / SECOND,
                ends / SECOND,
            )
        });
        let figures = self.measure.figures(&self.nodes, self.world);
        Day {
            world: self.world.name.clone(),
            policy: self.who,
            seed: self.seed,
            load,
            service: figures.service,
            figures,
            breaches: std::mem::take(&mut self.checker.breaches),
            breach_count: self.checker.count,
            events: self.events,
            trace: format!("{:016x}", self.trace.finish()),
            asked: format!("{:016x}", self.asks.digest()),
            by_second,
            back_after,
            troubled: !self.world.troubles.is_empty(),
        }
    }
}

/// A span drawn from an exponential distribution.
fn exponential(chance: &mut Pcg64Mcg, mean: f64) -> u64 {
    Exp::new(1.0 / mean).map_or(0, |of| of.sample(chance) as u64)
}

impl Ask {
    fn end(&self) -> u64 {
        self.asked + self.left
    }
}
