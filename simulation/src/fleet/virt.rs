//! Fleets in virtual time: the same councils as in the real program, with clocks that run fast and slow, a network that is
//! late, silent routers and cuts. For what no machine holds: hundreds of routers, and every moment of a change.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use ternpick::types::Micros;
use ternpick_consensus::Replica;
use ternpick_fleet_policy::{
    raft_config, Admission, Command, Effect, FleetId, FleetNode, Incarnation, LeaseConfig,
    LeaseEffect, LeaseHolder, LoadedReplica, Member, MemberInfo, OperationId, OperatorRequest,
    OperatorResponse, PeerMessage, PolicyState, ReplicaId, Verdict, Version,
};

const FLEET: FleetId = FleetId(1);
/// An election begins after so long without a word; microseconds.
const ELECTION: u64 = 500_000;

/// What a fleet in virtual time is like.
#[derive(Clone, Copy, Debug)]
pub struct World {
    pub routers: usize,
    pub voters: usize,
    pub terms: LeaseConfig,
    /// A message takes this at least, and at most; microseconds.
    pub late: (u64, u64),
    /// Keeping something takes so long; microseconds.
    pub disk: u64,
    /// Clocks run fast or slow by up to this, in millionths: each router by its own share of it.
    pub drift_ppm: u64,
}

impl Default for World {
    fn default() -> Self {
        World {
            routers: 7,
            voters: 5,
            terms: LeaseConfig::default(),
            late: (200, 1500),
            disk: 1000,
            drift_ppm: 0,
        }
    }
}

enum What {
    Turn,
    Comes(usize, Box<PeerMessage>),
    Kept,
}

/// When, a number to tell equal times apart, whom.
type Key = (u64, u64, usize);

struct Router {
    council: FleetNode,
    /// Its clock: millionths that it runs fast by, and what it showed at the beginning.
    fast_ppm: i64,
    began: u64,
    disk: Vec<u8>,
    silent: bool,
    side: usize,
    next_turn: u64,
    heard: Vec<(OperationId, OperatorResponse)>,
    policies: Vec<Version>,
}

/// What went out and came in at one router.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Traffic {
    pub out: u64,
    pub come: u64,
    pub bytes_out: u64,
}

pub struct Fleet {
    pub now: u64,
    world: World,
    routers: Vec<Router>,
    events: BinaryHeap<Reverse<Key>>,
    whats: BTreeMap<Key, What>,
    numbers: u64,
    chance: Pcg64Mcg,
    names: BTreeMap<Member, usize>,
    pub traffic: Vec<Traffic>,
    /// The highest version that anybody has admitted under, and a breach of the rule in words.
    highest: Version,
    pub broken: Option<String>,
    /// Moments at which a router that hears the others was looked at, and those at which it admitted nothing.
    pub looked: u64,
    pub refused: u64,
}

impl Fleet {
    pub fn new(world: World, seed: u64) -> Fleet {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let member = |at: usize| Member(format!("n{at:04}"));
        let members: BTreeMap<Member, MemberInfo> = (0..world.routers)
            .map(|at| {
                let seat = (at < world.voters).then_some(ReplicaId(at as u64 + 1));
                (
                    member(at),
                    MemberInfo {
                        address: String::new(),
                        zone: String::new(),
                        replica: seat,
                        is_learner: false,
                    },
                )
            })
            .collect();
        let voters: Vec<ReplicaId> = (1..=world.voters as u64).map(ReplicaId).collect();
        let state =
            postcard::to_stdvec(&PolicyState::bootstrap(members.clone())).unwrap_or_default();
        let mut routers = Vec::new();
        for at in 0..world.routers {
            let began = chance.random_range(1_000_000..1_000_000_000);
            let drift = world.drift_ppm as i64;
            // The extremes first: what is tried is the worst there is.
            let fast_ppm = match at {
                0 => drift,
                1 => -drift,
                _ => chance.random_range(-drift..=drift),
            };
            let disk = match at < world.voters {
                true => Replica::bootstrap(FLEET, ReplicaId(at as u64 + 1), &voters, state.clone()),
                false => Vec::new(),
            };
            let keeper = LeaseHolder::new(
                world.terms,
                member(at),
                Incarnation(chance.random()),
                false,
                Micros(began),
            );
            let seeds = chance.random();
            let council = FleetNode::new(
                FLEET,
                world.terms,
                raft_config(ELECTION),
                keeper,
                members.clone(),
                seeds,
                Micros(began),
            );
            routers.push(Router {
                council,
                fast_ppm,
                began,
                disk,
                silent: false,
                side: 0,
                next_turn: 0,
                heard: Vec::new(),
                policies: Vec::new(),
            });
        }
        let names = (0..world.routers).map(|at| (member(at), at)).collect();
        let mut fleet = Fleet {
            now: 0,
            world,
            traffic: vec![Traffic::default(); world.routers],
            routers,
            events: BinaryHeap::new(),
            whats: BTreeMap::new(),
            numbers: 0,
            chance,
            names,
            highest: Version(0),
            broken: None,
            looked: 0,
            refused: 0,
        };
        for at in 0..fleet.routers.len() {
            fleet.begins(at);
        }
        fleet
    }

    fn begins(&mut self, at: usize) {
        let (seed, now) = (self.chance.random(), self.clock(at));
        let router = &mut self.routers[at];
        let found = match router.disk.is_empty() {
            true => LoadedReplica::Missing,
            false => match Replica::open(&router.disk, FLEET, raft_config(ELECTION), seed) {
                Ok(seat) => LoadedReplica::Replica(Box::new(seat)),
                Err(refused) => LoadedReplica::Unusable(refused.to_string()),
            },
        };
        router.council.start(now, found);
        self.at(self.now, at, What::Turn);
    }

    fn at(&mut self, when: u64, whom: usize, what: What) {
        self.numbers += 1;
        let key = (when, self.numbers, whom);
        self.events.push(Reverse(key));
        self.whats.insert(key, what);
    }

    /// What a router's own clock shows.
    fn clock(&self, at: usize) -> Micros {
        let router = &self.routers[at];
        let counted = self.now as i128 * (1_000_000 + i128::from(router.fast_ppm)) / 1_000_000;
        Micros(router.began + counted as u64)
    }

    /// When a router's clock will show a time.
    fn when(&self, at: usize, shows: Micros) -> u64 {
        let router = &self.routers[at];
        let counted = i128::from(shows.0.saturating_sub(router.began));
        (counted * 1_000_000 / (1_000_000 + i128::from(router.fast_ppm)) + 1) as u64
    }

    /// A router neither hears nor says anything from now on; it lives, and its clock goes on.
    pub fn silence(&mut self, at: usize, silent: bool) {
        self.routers[at].silent = silent;
        if !silent {
            self.at(self.now, at, What::Turn);
        }
    }

    /// Puts routers on sides that do not hear each other.
    pub fn split(&mut self, side: impl Fn(usize) -> usize) {
        for (at, router) in self.routers.iter_mut().enumerate() {
            router.side = side(at);
        }
    }

    pub fn leader(&self) -> Option<usize> {
        self.routers
            .iter()
            .position(|router| router.council.is_leader() && !router.silent)
    }

    pub fn version(&self, at: usize) -> Option<Version> {
        self.routers[at].council.lease_holder.version()
    }

    pub fn admission(&self, at: usize) -> Admission {
        self.routers[at]
            .council
            .lease_holder
            .admission(self.clock(at))
    }

    /// A message comes that was sent long ago.
    pub fn comes_late(&mut self, from: usize, to: usize, message: PeerMessage) {
        self.at(self.now, to, What::Comes(from, Box::new(message)));
    }

    /// An operator of a router proposes something.
    pub fn propose(&mut self, at: usize, op: u64) {
        let command = Command::Propose {
            base: None,
            text: String::new(),
            author: "ann".into(),
            reason: format!("try {op}"),
        };
        self.routers[at]
            .council
            .submit(OperationId(op), OperatorRequest::Command(command));
        self.at(self.now, at, What::Turn);
    }

    /// The number of a proposal, once its operator has heard it.
    pub fn number(&self, at: usize, op: u64) -> Option<Version> {
        self.routers[at]
            .heard
            .iter()
            .find_map(|(of, heard)| match heard {
                OperatorResponse::Outcome(ternpick_fleet_policy::Outcome::Proposed(number))
                    if *of == OperationId(op) =>
                {
                    Some(*number)
                }
                _ => None,
            })
    }

    fn hears(&self, from: usize, to: usize) -> bool {
        let (a, b) = (&self.routers[from], &self.routers[to]);
        !a.silent && !b.silent && a.side == b.side
    }

    /// Plays on until a time.
    pub fn until(&mut self, end: u64) {
        while let Some(Reverse(key)) = self
            .events
            .peek()
            .copied()
            .filter(|Reverse(key)| key.0 <= end)
        {
            self.events.pop();
            let Some(what) = self.whats.remove(&key) else {
                continue;
            };
            self.now = self.now.max(key.0);
            self.play(key.2, what);
        }
        self.now = self.now.max(end);
    }

    fn play(&mut self, at: usize, what: What) {
        let now = self.clock(at);
        match what {
            What::Turn if self.routers[at].next_turn > self.now => return,
            What::Turn => {}
            What::Comes(from, said) => {
                if !self.hears(from, at) {
                    return;
                }
                self.traffic[at].come += 1;
                let from = Member(format!("n{from:04}"));
                self.routers[at].council.step(now, &from, *said);
            }
            What::Kept => self.routers[at].council.persisted(now, Ok(())),
        }
        if self.routers[at].silent {
            // It stands still: nothing is done, and time goes on.
            return;
        }
        for _ in 0..16 {
            let acts = self.routers[at].council.tick(now);
            if acts.is_empty() {
                break;
            }
            for act in acts {
                self.carry_out(at, act);
            }
        }
        self.look(at);
        let due = self.routers[at].council.next_deadline(now);
        let when = self.when(at, due).max(self.now + 1);
        self.routers[at].next_turn = when;
        self.at(when, at, What::Turn);
    }

    fn carry_out(&mut self, at: usize, act: Effect) {
        match act {
            Effect::Send(to, said) => {
                let Some(to) = self.names.get(&to).copied() else {
                    return;
                };
                self.traffic[at].out += 1;
                self.traffic[at].bytes_out +=
                    postcard::to_stdvec(&said).map_or(0, |bytes| bytes.len() as u64);
                let late = self
                    .chance
                    .random_range(self.world.late.0..=self.world.late.1);
                self.at(self.now + late, to, What::Comes(at, said));
            }
            Effect::Persist(image) => {
                self.routers[at].disk = image;
                self.at(self.now + self.world.disk, at, What::Kept);
            }
            Effect::Lease(LeaseEffect::CheckPolicy(paper)) => self.routers[at]
                .council
                .policy_checked(paper.number, Verdict::Fits),
            Effect::Lease(LeaseEffect::ApplyPolicy(paper)) => {
                self.routers[at].policies.push(paper.number)
            }
            Effect::OperatorResponse(op, heard) => self.routers[at].heard.push((op, heard)),
            _ => {}
        }
    }

    /// The rule, at this moment: nobody admits under a version that another has left.
    fn look(&mut self, at: usize) {
        if let Admission::Leased(version) = self.admission(at) {
            self.judge(at, version);
        }
    }

    fn judge(&mut self, at: usize, version: Version) {
        if version < self.highest && self.broken.is_none() {
            self.broken = Some(format!(
                "router {at} admits under {version} at {} us, another has admitted under {}",
                self.now, self.highest
            ));
        }
        self.highest = self.highest.max(version);
    }

    /// Looks at all routers at this moment, silent ones too: they live, and may admit.
    pub fn look_at_all(&mut self) {
        let mut under = Vec::new();
        for at in 0..self.routers.len() {
            let admission = self.admission(at);
            if !self.routers[at].silent {
                self.looked += 1;
                self.refused += u64::from(matches!(admission, Admission::Rejected { .. }));
            }
            if let Admission::Leased(version) = admission {
                under.push((at, version));
            }
        }
        // All that admit at one moment are judged by the highest of them.
        let highest = under
            .iter()
            .map(|(_, version)| *version)
            .max()
            .unwrap_or_default()
            .max(self.highest);
        self.highest = highest;
        for (at, version) in under {
            self.judge(at, version);
        }
    }

    /// Plays on, looking at all every so often, until a version is in force at all routers that are there, or until a
    /// time; when it was comes back.
    pub fn until_in_force(&mut self, version: Version, every: u64, end: u64) -> Option<u64> {
        while self.now < end {
            let there = (0..self.routers.len()).filter(|at| !self.routers[*at].silent);
            let mut there = there
                .filter(|at| self.routers[*at].side == 0)
                .collect::<BTreeSet<_>>();
            there.retain(|at| self.admission(*at) != Admission::Leased(version));
            if there.is_empty() {
                return Some(self.now);
            }
            self.until(self.now + every);
            self.look_at_all();
        }
        None
    }

    /// Plays on for a span, looking at all every so often.
    pub fn pass(&mut self, span: u64, every: u64) {
        let end = self.now + span;
        while self.now < end {
            self.until((self.now + every).min(end));
            self.look_at_all();
        }
    }

    pub fn forget_traffic(&mut self) {
        self.traffic
            .iter_mut()
            .for_each(|of| *of = Traffic::default());
    }
}

/// How a change goes at one size.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Size {
    pub routers: usize,
    pub voters: usize,
    pub silent: usize,
    /// Milliseconds to in force at all that are there, by change: with all there, and with a tenth silent.
    pub all_there_ms: Vec<f64>,
    pub tenth_silent_ms: Vec<f64>,
    pub zone_cut_ms: Vec<f64>,
    /// Messages and bytes a second that the leader sends at rest, and messages of one change.
    pub leader_rest_out: f64,
    pub leader_rest_bytes: f64,
    pub leader_change_out: f64,
    pub router_rest_out: f64,
    pub refused_there: u64,
    pub broken: Option<String>,
}

/// Plays changes at one size: all there, then a tenth silent, then a zone of a third cut off.
pub fn size(world: World, changes: usize, seed: u64) -> Size {
    let mut fleet = Fleet::new(world, seed);
    let (ms, s) = (1000, 1_000_000);
    fleet.until(5 * s);
    let mut of = Size {
        routers: world.routers,
        voters: world.voters,
        ..Size::default()
    };
    fleet.forget_traffic();
    fleet.pass(10 * s, 100 * ms);
    let refused_before = fleet.refused;
    if let Some(leader) = fleet.leader() {
        of.leader_rest_out = fleet.traffic[leader].out as f64 / 10.0;
        of.leader_rest_bytes = fleet.traffic[leader].bytes_out as f64 / 10.0;
        let others = fleet
            .traffic
            .iter()
            .enumerate()
            .filter(|(at, _)| *at >= world.voters && *at != leader);
        let (count, out) = others.fold((0, 0), |(count, out), (_, of)| (count + 1, out + of.out));
        of.router_rest_out = out as f64 / 10.0 / f64::from(count.max(1));
    }
    let mut op = 0;
    let mut change = |fleet: &mut Fleet, count: usize, counts: &mut f64| {
        let mut took = Vec::new();
        for _ in 0..count {
            op += 1;
            let Some(leader) = fleet.leader() else {
                continue;
            };
            let before = fleet.traffic[leader].out;
            let began = fleet.now;
            fleet.propose(leader, op);
            let mut number = None;
            while number.is_none() && fleet.now < began + 20 * s {
                fleet.until(fleet.now + ms);
                number = fleet.number(leader, op);
            }
            if let Some(number) = number {
                if let Some(at) = fleet.until_in_force(number, ms, began + 20 * s) {
                    took.push((at - began) as f64 / 1e3);
                    *counts = (fleet.traffic[leader].out - before) as f64;
                }
            }
            fleet.pass(s, 100 * ms);
        }
        took
    };
    of.all_there_ms = change(&mut fleet, changes, &mut of.leader_change_out);
    of.refused_there = fleet.refused - refused_before;
    of.silent = world.routers / 10;
    // Not the one that leads, and no more than a minority of those that vote.
    let leader = fleet.leader().unwrap_or(0);
    let last = world.routers;
    let silent: Vec<usize> = (last - of.silent..last)
        .filter(|at| *at != leader)
        .collect();
    silent.iter().for_each(|at| fleet.silence(*at, true));
    of.tenth_silent_ms = change(&mut fleet, changes.min(3), &mut 0.0);
    silent.iter().for_each(|at| fleet.silence(*at, false));
    fleet.pass(3 * s, 100 * ms);
    let third = world.routers - world.routers / 3;
    fleet.split(|at| usize::from(at >= third));
    of.zone_cut_ms = change(&mut fleet, changes.min(3), &mut 0.0);
    fleet.split(|_| 0);
    fleet.pass(5 * s, 100 * ms);
    of.broken = fleet.broken.clone();
    of
}
