//! A router as the emulator has it: the policy inside, its books, its connections; and the network between it and nodes.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::{
    AttemptNo, AttemptOutcome, CustomerNo, Endpoint, EndpointState, IndexNo, Micros, NodeId,
    QueryId, ShardNo, ShardRequestId, TimerId, ZoneNo,
};

use super::asks::AskId;
use super::{Call, Event, Sim, Way};
use crate::check::{Final, Repeats};
use crate::node::{CallId, Job, Node, Report};
use crate::plan::{Index, Repeated, Who, World};
use crate::policy::{Choice, Plain, Policy, Seen, Sight};

/// What a client hears.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word {
    Answered {
        share: f64,
        whole: bool,
    },
    Nacked {
        come_back: u64,
    },
    Aborted,
    NoConnection,
    /// Its own: the wait before the next try is over.
    Again,
}

/// What a policy wants done, in order.
#[derive(Clone, Debug)]
enum Act {
    Call(ShardRequestId, NodeId, Micros),
    Answer(QueryId, bool),
    Nack(QueryId, Micros),
    Abort(QueryId),
    Cancel(ShardRequestId, AttemptNo),
    CloseIdle(NodeId),
    Probe(NodeId),
    Watch,
    Timer(Micros, TimerId),
}

#[derive(Default)]
struct Acts(Vec<Act>);

impl Actions for Acts {
    fn send_attempt(&mut self, part: ShardRequestId, node: NodeId, limit: Micros) {
        self.0.push(Act::Call(part, node, limit));
    }
    fn answer(&mut self, lookup: QueryId, whole: bool) {
        self.0.push(Act::Answer(lookup, whole));
    }
    fn reject(&mut self, lookup: QueryId, come_back: Micros) {
        self.0.push(Act::Nack(lookup, come_back));
    }
    fn fail(&mut self, lookup: QueryId) {
        self.0.push(Act::Abort(lookup));
    }
    fn cancel_attempt(&mut self, part: ShardRequestId, call: AttemptNo) {
        self.0.push(Act::Cancel(part, call));
    }
    fn close_idle_connections(&mut self, node: NodeId) {
        self.0.push(Act::CloseIdle(node));
    }
    fn check_health(&mut self, node: NodeId) {
        self.0.push(Act::Probe(node));
    }
    fn watch_endpoints(&mut self) {
        self.0.push(Act::Watch);
    }
    fn set_timer(&mut self, delay: Micros, timer: TimerId) {
        self.0.push(Act::Timer(delay, timer));
    }
    fn log(&mut self, _: &str) {}
}

struct HeldPart {
    id: ShardRequestId,
    weight: f64,
    in_hand: bool,
    job: Job,
    calls: u8,
}

struct Held {
    ask: AskId,
    step: u32,
    parts: Vec<HeldPart>,
}

pub struct Front {
    pub zone: u16,
    pub up: bool,
    pub epoch: u32,
    /// Microseconds that its clock is ahead.
    pub skew: u64,
    policy: Box<dyn Policy>,
    lookups: BTreeMap<QueryId, Held>,
    parts: BTreeMap<ShardRequestId, (QueryId, usize)>,
    /// By node: the start it leads to, and when it was used last.
    connections: BTreeMap<u32, (u32, u64)>,
    pub known: usize,
    watching: bool,
    next: u64,
}

fn policy(
    world: &World,
    who: Who,
    router: u32,
    epoch: u32,
    seed: u64,
    sight: &Sight,
) -> Box<dyn Policy> {
    let zone = ZoneNo((router % u32::from(world.network.zones)) as u16);
    let tariff = world.tariff(zone);
    let own =
        seed ^ (u64::from(router) << 32 | u64::from(epoch)).wrapping_mul(0xd134_2543_de82_ef95);
    let choice = match who {
        Who::Design => return Box::new(RoutingEngine::new(tariff, own)),
        Who::Random => Choice::Random,
        Who::RoundRobin => Choice::RoundRobin,
        Who::LeastOutstanding => Choice::LeastOutstanding,
        Who::TwoChoices => Choice::TwoChoices,
        Who::Paper => Choice::Paper,
        Who::Oracle => Choice::Oracle(Rc::clone(sight)),
    };
    Box::new(Plain::new(choice, tariff, Pcg64Mcg::seed_from_u64(own)))
}

impl Front {
    /// A process in its `epoch`, with a clock that is so far ahead.
    pub fn new(
        world: &World,
        who: Who,
        router: u32,
        epoch: u32,
        skew: u64,
        seed: u64,
        sight: &Sight,
    ) -> Front {
        Front {
            zone: (router % u32::from(world.network.zones)) as u16,
            up: false,
            epoch,
            skew,
            policy: policy(world, who, router, epoch, seed, sight),
            lookups: BTreeMap::new(),
            parts: BTreeMap::new(),
            connections: BTreeMap::new(),
            known: 0,
            watching: false,
            next: 0,
        }
    }

    #[cfg(test)]
    pub fn takes(&mut self, policy: Box<dyn Policy>) {
        self.policy = policy;
    }

    fn number(&mut self) -> u64 {
        self.next += 1;
        // Numbers of different starts differ.
        u64::from(self.epoch) << 40 | self.next
    }

    pub fn dies(&mut self) -> Vec<AskId> {
        (self.up, self.watching, self.epoch) = (false, false, self.epoch + 1);
        self.parts.clear();
        self.connections.clear();
        std::mem::take(&mut self.lookups)
            .into_values()
            .map(|held| held.ask)
            .collect()
    }

    pub fn closes_connections(&mut self, node: u32) {
        self.connections.remove(&node);
    }
}

fn repeats(of: &Index) -> Repeats {
    match of.repeat {
        Repeated::Idempotent => Repeats::Harmless,
        Repeated::Fingerprinted => Repeats::Within(of.window),
        Repeated::OnceOnly => Repeats::Never,
    }
}

fn node_id(node: u32) -> NodeId {
    NodeId(u64::from(node))
}

impl Sim<'_> {
    fn alive(&self, router: u32, epoch: u32) -> bool {
        let front = &self.fronts[router as usize];
        front.up && front.epoch == epoch
    }

    /// Has a router see something, and carries out what its policy wants.
    fn sees(&mut self, router: u32, see: impl FnOnce(&mut dyn Policy, Micros, &mut dyn Actions)) {
        self.look(router);
        let mut acts = Acts::default();
        let front = &mut self.fronts[router as usize];
        see(
            front.policy.as_mut(),
            Micros(self.now + front.skew),
            &mut acts,
        );
        let mut returns = Vec::new();
        for act in acts.0 {
            self.act(router, act, &mut returns);
        }
        for call in returns {
            self.tell(router, call, AttemptOutcome::Cancelled, &[]);
        }
    }

    /// What only the oracle sees.
    fn look(&mut self, router: u32) {
        if self.who != Who::Oracle {
            return;
        }
        let zone = self.fronts[router as usize].zone;
        let cut = |to: u16| {
            self.blocked.contains_key(&(zone, to)) || self.blocked.contains_key(&(to, zone))
        };
        let (of, now) = (&self.world.nodes, self.now);
        let mean = self
            .world
            .indexes
            .iter()
            .map(|index| index.work.mean as f64)
            .fold(0.0, f64::max);
        let mut sight = self.sight.borrow_mut();
        for (node, seen) in self.nodes.iter().zip(sight.iter_mut()) {
            let moves = node.up && !node.draining && node.stalled <= now;
            let sound = moves && node.loses == 0.0 && !cut(node.zone);
            let done =
                node.backlog(now) / of.cores as f64 + mean * node.slow / node.warmth(now, of);
            let each = mean * node.slow / node.warmth(now, of) / of.cores as f64;
            *seen = (sound && node.bears(now, mean as u64, of)).then_some(Seen {
                done,
                each,
                fails: node.fails.map(|(index, _)| index),
            });
        }
    }

    fn act(&mut self, router: u32, act: Act, returns: &mut Vec<CallId>) {
        match act {
            Act::Call(part, node, limit) => self.part_call(router, part, node.0 as u32, limit.0),
            Act::Answer(lookup, whole) => {
                let share = self.fronts[router as usize]
                    .lookups
                    .get(&lookup)
                    .map_or(0.0, |held| {
                        held.parts
                            .iter()
                            .filter(|part| part.in_hand)
                            .map(|part| part.weight)
                            .sum()
                    });
                self.close(
                    router,
                    lookup,
                    Final::Answered { whole },
                    Word::Answered { share, whole },
                );
            }
            Act::Nack(lookup, come_back) => {
                self.close(
                    router,
                    lookup,
                    Final::Nacked,
                    Word::Nacked {
                        come_back: come_back.0,
                    },
                );
            }
            Act::Abort(lookup) => self.close(router, lookup, Final::Aborted, Word::Aborted),
            Act::Cancel(part, number) => {
                if let Some(id) = self.out.get(&(router, part.0, number.0)).copied() {
                    self.cancel_at_node(id);
                    returns.push(id);
                }
            }
            Act::CloseIdle(node) => {
                let carries = |call: &Call| call.router == router && u64::from(call.node) == node.0;
                if !self.calls.values().any(carries) {
                    self.fronts[router as usize]
                        .connections
                        .remove(&(node.0 as u32));
                }
            }
            Act::Probe(node) => {
                let (epoch, node) = (self.fronts[router as usize].epoch, node.0 as u32);
                if let Some(delay) = self.between(router, node, Way::There) {
                    self.schedule(self.now + delay, Event::Probe(router, epoch, node));
                }
            }
            Act::Watch => self.watch(router),
            Act::Timer(delay, timer) => {
                let epoch = self.fronts[router as usize].epoch;
                self.schedule(
                    self.now + delay.0.max(1),
                    Event::Timer(router, epoch, timer),
                );
            }
        }
    }

    /// The one place where a lookup ends for its router.
    fn close(&mut self, router: u32, lookup: QueryId, how: Final, word: Word) {
        self.checker.ended(self.now, router, lookup.0, how);
        let front = &mut self.fronts[router as usize];
        let Some(held) = front.lookups.remove(&lookup) else {
            return;
        };
        for part in &held.parts {
            front.parts.remove(&part.id);
        }
        let delay = self.nearby();
        self.schedule(
            self.now + delay,
            Event::ClientHears(held.ask, held.step, word),
        );
    }

    pub(super) fn arrives(&mut self, id: AskId, step: u32) {
        let Some(ask) = self.trying(id, step) else {
            return;
        };
        let (router, marks) = (ask.router, self.world.clients.marks_retries);
        if !self.fronts[router as usize].up {
            return self.connection_breaks(id);
        }
        let ask = ask.clone();
        let front = &self.fronts[router as usize];
        if front.lookups.len() + front.parts.len() >= self.world.most_held {
            return self.schedule(
                self.now,
                Event::ClientHears(id, step, Word::Nacked { come_back: 0 }),
            );
        }
        let index = &self.world.indexes[usize::from(ask.index)];
        let front = &mut self.fronts[router as usize];
        let lookup = QueryId(front.number());
        let mark = |at: usize| {
            (index.repeat == Repeated::Fingerprinted)
                .then_some((id.0 << 16 | at as u64, index.window))
        };
        let end = ask.end();
        let mut parts = Vec::with_capacity(ask.parts.len());
        for (at, part) in ask.parts.iter().enumerate() {
            let part_id = ShardRequestId(front.number());
            let job = Job {
                call: CallId(0),
                index: ask.index,
                work: part.work,
                key: ask.key << 20 | u64::from(part.shard),
                due: 0,
                mark: mark(at),
                deadly: ask.deadly,
            };
            front.parts.insert(part_id, (lookup, at));
            parts.push(HeldPart {
                id: part_id,
                weight: part.weight,
                in_hand: false,
                job,
                calls: 0,
            });
        }
        let told: Vec<(ShardRequestId, u32, f64, u64)> = parts
            .iter()
            .zip(&ask.parts)
            .map(|(held, part)| (held.id, part.shard, part.weight, part.hint))
            .collect();
        front.lookups.insert(
            lookup,
            Held {
                ask: id,
                step,
                parts,
            },
        );
        self.set_lookup(id, lookup);
        let weights = told.iter().map(|(part, _, weight, _)| (part.0, *weight));
        self.checker
            .took(router, lookup.0, repeats(index), index.least, end, weights);
        let left = Micros(end.saturating_sub(self.now));
        let repeat = marks && ask.tries > 1;
        self.sees(router, |policy, now, out| {
            let (index, customer) = (IndexNo(ask.index), CustomerNo(ask.tenant));
            policy.query_received(now, lookup, index, customer, told.len(), left, repeat, out);
            for (part, shard, weight, hint) in told {
                policy.shard_request_received(
                    now,
                    part,
                    lookup,
                    ShardNo(shard),
                    weight,
                    Some(Micros(hint)),
                    out,
                );
            }
        });
    }

    pub(super) fn client_left(&mut self, router: u32, lookup: QueryId) {
        let front = &mut self.fronts[router as usize];
        let Some(held) = front.lookups.remove(&lookup) else {
            return;
        };
        for part in &held.parts {
            front.parts.remove(&part.id);
        }
        self.checker.left(self.now, router, lookup.0);
        self.sees(router, |policy, now, out| {
            policy.client_left(now, lookup, out)
        });
    }

    fn part_call(&mut self, router: u32, part: ShardRequestId, node: u32, limit: u64) {
        let now = self.now;
        let front = &mut self.fronts[router as usize];
        let Some((lookup, at)) = front.parts.get(&part).copied() else {
            return;
        };
        let Some(held) = front
            .lookups
            .get_mut(&lookup)
            .map(|held| &mut held.parts[at])
        else {
            return;
        };
        self.next_call += 1;
        let id = CallId(self.next_call);
        let (number, mut job) = (AttemptNo(held.calls), held.job);
        held.calls += 1;
        (job.call, job.due) = (id, now + limit);
        let Node { up, epoch, .. } = self.nodes[node as usize];
        let idle = self.world.nodes.idle_close;
        let kept = front
            .connections
            .get(&node)
            .is_some_and(|(of, used)| *of == epoch && now - used < idle);
        self.checker.sent(now, router, lookup.0, part.0, node);
        self.measure.part_call(now, number.0 > 0);
        let delay = self.between(router, node, Way::There);
        let dial = self.world.network.dial_within;
        let mut fails_after = None;
        let arrives = match (kept, delay) {
            (_, None) if kept => None,
            (_, None) => {
                fails_after = Some(dial);
                None
            }
            (true, Some(delay)) => Some(delay),
            // Nobody listens: refused after one turn, or no word at all from a machine that has vanished.
            (false, Some(delay)) if !up => {
                fails_after = Some(if self.vanished.contains(&node) {
                    dial
                } else {
                    2 * delay
                });
                None
            }
            (false, Some(delay)) => {
                self.measure.dialled(now);
                job.work += self.world.nodes.dial_work;
                Some(3 * delay)
            }
        };
        if arrives.is_some() {
            self.fronts[router as usize]
                .connections
                .insert(node, (epoch, now));
        }
        self.calls.insert(
            id,
            Call {
                router,
                lookup,
                part,
                at,
                number,
                node,
                sent: now,
                job,
            },
        );
        self.out.insert((router, part.0, number.0), id);
        match (arrives, fails_after) {
            (Some(delay), _) => self.schedule(now + delay, Event::Delivers(id)),
            (None, Some(after)) => self.schedule(
                now + after,
                Event::Returns(id, AttemptOutcome::NeverRan, Vec::new()),
            ),
            (None, None) => {}
        }
        self.schedule(now + limit, Event::CallDue(id));
    }

    pub(super) fn delivers(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (node, job, router) = (call.node, call.job, call.router);
        if !self.nodes[node as usize].up {
            // It died while this was on its way; the reset comes back, if anything does.
            let resets = !self.vanished.contains(&node);
            if let (true, Some(delay)) = (resets, self.between(router, node, Way::Back)) {
                self.schedule(
                    self.now + delay,
                    Event::Returns(id, AttemptOutcome::Broken, Vec::new()),
                );
            }
            return;
        }
        let mut effects = std::mem::take(&mut self.effects);
        self.nodes[node as usize].arrives(self.now, job, &self.world.nodes, &mut effects);
        self.carry_out(node, effects);
    }

    /// An answer of a node goes out.
    pub(super) fn node_answers(&mut self, node: u32, id: CallId, ending: AttemptOutcome) {
        let loses = self.nodes[node as usize].loses;
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let router = call.router;
        if loses > 0.0 && self.by_nodes.random::<f64>() < loses {
            return;
        }
        let report = match self.world.nodes.reports.as_str() {
            "answers" => self.says(node),
            _ => Vec::new(),
        };
        if let Some(delay) = self.between(router, node, Way::Back) {
            self.schedule(self.now + delay, Event::Returns(id, ending, report));
        }
    }

    /// What a node says of itself, in the columns of its world.
    fn says(&mut self, node: u32) -> Vec<f64> {
        let noise = self.by_nodes.random_range(-1.0..=1.0);
        let Report {
            latency,
            queue,
            rate,
        } = self.nodes[node as usize].report(self.now, noise, &self.world.nodes);
        let column = |name: &String| match name.as_str() {
            "latency" => latency,
            "queue" => queue,
            _ => rate,
        };
        self.world.nodes.columns.iter().map(column).collect()
    }

    pub(super) fn returns(&mut self, id: CallId, ending: AttemptOutcome, report: &[f64]) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (router, node) = (call.router, call.node);
        if let Some((_, used)) = self.fronts[router as usize].connections.get_mut(&node) {
            *used = self.now;
        }
        self.tell(router, id, ending, report);
    }

    /// The one place where a call ends for its router.
    fn tell(&mut self, router: u32, id: CallId, ending: AttemptOutcome, report: &[f64]) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        self.out.remove(&(router, call.part.0, call.number.0));
        let may = !matches!(ending, AttemptOutcome::NeverRan | AttemptOutcome::Unsent);
        let satisfied = ending == AttemptOutcome::Satisfied;
        self.checker.returned(
            router,
            call.lookup.0,
            call.part.0,
            usize::from(call.number.0),
            satisfied,
            may,
        );
        let front = &mut self.fronts[router as usize];
        let held = front
            .lookups
            .get_mut(&call.lookup)
            .and_then(|held| held.parts.get_mut(call.at));
        if let Some(part) = held.filter(|_| satisfied) {
            part.in_hand = true;
        }
        let lag = Micros(self.now - call.sent);
        self.sees(router, |policy, now, out| {
            policy.attempt_finished(
                now,
                call.part,
                call.number,
                node_id(call.node),
                lag,
                ending,
                report,
                out,
            );
        });
    }

    pub(super) fn call_due(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let router = call.router;
        self.cancel_at_node(id);
        self.tell(router, id, AttemptOutcome::MayHaveRun, &[]);
    }

    fn cancel_at_node(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else {
            return;
        };
        let (router, node) = (call.router, call.node);
        let epoch = self.nodes[node as usize].epoch;
        if self.world.nodes.cancel == "none" {
            return;
        }
        if let Some(delay) = self.between(router, node, Way::There) {
            self.schedule(self.now + delay, Event::Cancels(node, epoch, id));
        }
    }

    /// A node's process has ended: its connections break, unless its machine is gone too.
    pub(super) fn connections_break(&mut self, node: u32, resets: bool) {
        let mut broken: Vec<CallId> = self
            .calls
            .iter()
            .filter(|(_, call)| call.node == node)
            .map(|(id, _)| *id)
            .collect();
        broken.sort_unstable();
        for id in broken.into_iter().filter(|_| resets) {
            let Some(call) = self.calls.get(&id) else {
                continue;
            };
            let router = call.router;
            if let Some(delay) = self.between(router, node, Way::Back) {
                self.schedule(
                    self.now + delay,
                    Event::Returns(id, AttemptOutcome::Broken, Vec::new()),
                );
            }
        }
        self.fronts
            .iter_mut()
            .for_each(|front| front.closes_connections(node));
    }

    pub(super) fn timer(&mut self, router: u32, epoch: u32, timer: TimerId) {
        if self.alive(router, epoch) {
            self.sees(router, |policy, now, out| {
                policy.timer_fired(now, timer, out)
            });
        }
    }

    pub(super) fn probe_arrives(&mut self, router: u32, epoch: u32, node: u32) {
        let of = &self.nodes[node as usize];
        self.measure.probed(self.now);
        // A hung node answers probes as briskly as ever; they say nothing of its work.
        if !of.up {
            return;
        }
        let report = self.says(node);
        if let Some(delay) = self.between(router, node, Way::Back) {
            self.schedule(self.now + delay, Event::Probed(router, epoch, node, report));
        }
    }

    pub(super) fn probe_returns(&mut self, router: u32, epoch: u32, node: u32, report: &[f64]) {
        if self.alive(router, epoch) {
            self.sees(router, |policy, now, out| {
                policy.health_check_finished(now, node_id(node), report, out)
            });
        }
    }

    /// A router starts, with the list that it is given.
    pub(super) fn start_router(&mut self, router: u32) {
        let now = self.now;
        let front = &mut self.fronts[router as usize];
        (front.up, front.known) = (true, 0);
        let age = self.world.discovery.known_age;
        let list: Vec<Endpoint> = match age {
            0 if self.visible > 0 => self.list_at(self.visible),
            _ => self.first_list.clone(),
        };
        let known = if age == 0 { self.visible } else { 0 };
        self.fronts[router as usize].known = known;
        self.tell_list(now, router, &list, true);
    }

    /// The whole list as discovery knew it after so many changes.
    fn list_at(&self, version: usize) -> Vec<Endpoint> {
        let mut list: BTreeMap<NodeId, Endpoint> =
            self.first_list.iter().map(|of| (of.node, *of)).collect();
        for change in &self.changes[..version] {
            list.insert(change.node, *change);
        }
        list.into_values()
            .filter(|of| of.state != EndpointState::Gone)
            .collect()
    }

    fn tell_list(&mut self, now: u64, router: u32, list: &[Endpoint], full: bool) {
        for of in list {
            self.checker.told(
                now,
                router,
                of.node.0 as u32,
                of.state == EndpointState::Ready,
            );
        }
        self.sees(router, |policy, now, out| {
            policy.endpoints_changed(now, list, full, out)
        });
    }

    pub(super) fn told(&mut self, router: u32, epoch: u32, version: usize) {
        if !self.alive(router, epoch) {
            return;
        }
        let known = std::mem::replace(&mut self.fronts[router as usize].known, version);
        if known < version {
            let news = self.changes[known..version].to_vec();
            self.tell_list(self.now, router, &news, false);
        }
        self.fronts[router as usize].watching = false;
        self.watch(router);
    }

    /// A router asks discovery for what comes after what it knows.
    fn watch(&mut self, router: u32) {
        let front = &mut self.fronts[router as usize];
        let (epoch, known) = (front.epoch, front.known);
        if self.discovery_down {
            let later = self.now + 2 * self.world.network.within;
            return self.schedule(later, Event::WatchFails(router, epoch));
        }
        front.watching = true;
        if known < self.visible {
            let at = self.now + 2 * self.world.network.within;
            self.schedule(at, Event::Told(router, epoch, self.visible));
        }
    }

    pub(super) fn watch_fails(&mut self, router: u32, epoch: u32) {
        if self.alive(router, epoch) {
            self.fronts[router as usize].watching = false;
            self.sees(router, |policy, now, out| {
                policy.endpoint_watch_failed(now, out)
            });
        }
    }

    pub(super) fn becomes_visible(&mut self, version: usize) {
        self.visible = self.visible.max(version);
        if self.discovery_down {
            return;
        }
        for router in 0..self.fronts.len() as u32 {
            let front = &self.fronts[router as usize];
            if front.up && front.watching {
                let epoch = front.epoch;
                let delay = self.nearby();
                self.schedule(self.now + delay, Event::Told(router, epoch, self.visible));
            }
        }
    }

    /// All watches break.
    pub(super) fn discovery_breaks(&mut self) {
        self.discovery_down = true;
        for router in 0..self.fronts.len() as u32 {
            let front = &self.fronts[router as usize];
            if front.up && front.watching {
                let (epoch, delay) = (front.epoch, self.world.network.within);
                self.schedule(self.now + delay, Event::WatchFails(router, epoch));
            }
        }
    }

    /// A router's process dies: its clients' connections break, its calls are nobody's.
    pub(super) fn router_dies(&mut self, router: u32) {
        self.checker.router_died(router);
        self.calls.retain(|_, call| call.router != router);
        self.out.retain(|(of, _, _), _| *of != router);
        for ask in self.fronts[router as usize].dies() {
            self.connection_breaks(ask);
        }
    }

    /// A new process in a dead one's place.
    pub(super) fn renew_router(&mut self, router: u32) {
        let Front { epoch, skew, .. } = self.fronts[router as usize];
        self.fronts[router as usize] = Front::new(
            self.world,
            self.who,
            router,
            epoch,
            skew,
            self.seed,
            &self.sight,
        );
    }
}
