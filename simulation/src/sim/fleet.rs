//! Nodes and troubles: who is hit, what happens to him, and how he comes back.

use rand::Rng;
use ternpick::types::{
    AttemptOutcome, Endpoint, EndpointState, Micros, NodeId, ShardGroupNo, ZoneNo,
};

use super::{exponential, Event, Sim, SECOND, ZERO};
use crate::node::{CallId, Effect, Node};
use crate::plan::Kind;

/// A machine that has gone is missed by discovery only after a while.
const MISSED_AFTER: u64 = 3 * SECOND;
/// Between the notice of a planned end and the end.
const DRAINS_FOR: u64 = 2 * SECOND;
/// Discovery that flaps is away and back by turns of this length.
const FLAPS: u64 = 2 * SECOND;

pub fn listing(at: u32, node: &Node, phase: EndpointState) -> Endpoint {
    Endpoint {
        node: NodeId(u64::from(at)),
        zone: ZoneNo(node.zone),
        shard_group: ShardGroupNo(node.cell),
        state: phase,
        started_at: Micros(node.started),
    }
}

impl Sim<'_> {
    pub(super) fn carry_out(&mut self, node: u32, mut effects: Vec<Effect>) {
        for effect in effects.drain(..) {
            let epoch = self.nodes[node as usize].epoch;
            match effect {
                Effect::Begins(call, ends) => self.schedule(ends, Event::Ends(node, epoch, call)),
                Effect::Answers(call, true) => {
                    self.node_answers(node, call, AttemptOutcome::Satisfied)
                }
                Effect::Answers(call, false) => {
                    self.node_answers(node, call, AttemptOutcome::MayHaveRun)
                }
                Effect::Refuses(call) => self.node_answers(node, call, AttemptOutcome::NeverRan),
                // The first one answers.
                Effect::Repeats(_) => {}
                Effect::Falls(call) => {
                    // What a deadly lookup does is not the routers' doing.
                    if !self.calls.get(&call).is_some_and(|of| of.job.deadly) {
                        self.checker.fell(self.now, node);
                    }
                    self.node_dies(node, false, self.world.nodes.restarts_in);
                }
            }
        }
        self.effects = effects;
    }

    pub(super) fn part_ends(&mut self, node: u32, epoch: u32, call: CallId) {
        let of = &self.nodes[node as usize];
        if of.epoch != epoch {
            return;
        }
        let fails = of
            .fails
            .zip(of.index_of(call))
            .is_some_and(|((index, share), own)| {
                index == own && self.by_nodes.random::<f64>() < share
            });
        let mut effects = std::mem::take(&mut self.effects);
        self.nodes[node as usize].elapsed(self.now, call, fails, &self.world.nodes, &mut effects);
        self.carry_out(node, effects);
    }

    /// Discovery learns of a node after its lag, and what is behind it in turn.
    fn tell_discovery(&mut self, node: u32, phase: EndpointState, after: u64) {
        let of = listing(node, &self.nodes[node as usize], phase);
        self.changes.push(of);
        let lag = (self.world.discovery.lag as f64 * self.stale) as u64;
        let at = (self.now + lag + after).max(self.last_visible);
        self.last_visible = at;
        self.schedule(at, Event::Visible(self.changes.len()));
    }

    /// A node's process ends. `back_in` zero: for good.
    pub(super) fn node_dies(&mut self, node: u32, vanishes: bool, back_in: u64) {
        if !self.nodes[node as usize].up {
            return;
        }
        self.nodes[node as usize].ends();
        if vanishes {
            self.vanished.insert(node);
        }
        self.connections_break(node, !vanishes);
        let after = if vanishes { MISSED_AFTER } else { 0 };
        self.tell_discovery(node, EndpointState::Gone, after);
        if back_in > 0 {
            self.schedule(self.now + back_in, Event::Starts(node));
        }
    }

    pub(super) fn node_starts(&mut self, node: u32) {
        if self.nodes[node as usize].up {
            return;
        }
        self.vanished.remove(&node);
        self.nodes[node as usize].starts(self.now);
        self.tell_discovery(node, EndpointState::Ready, 0);
    }

    pub(super) fn pauses(&mut self, node: u32) {
        let until = self.now + self.world.nodes.pause;
        self.next_pause(node, until);
        self.stalls(node, until);
    }

    pub(super) fn next_pause(&mut self, node: u32, after: u64) {
        let next = after + exponential(&mut self.by_pauses, self.world.nodes.pause_every as f64);
        if next < self.ends {
            self.schedule(next, Event::Pauses(node));
        }
    }

    fn stalls(&mut self, node: u32, until: u64) {
        let of = &mut self.nodes[node as usize];
        of.stalled = of.stalled.max(until);
        let (epoch, at) = (of.epoch, of.stalled + 1);
        self.schedule(at, Event::GoesOn(node, epoch));
    }

    fn some_nodes(&mut self, share: f64, which: impl Fn(&Node) -> bool) -> Vec<u32> {
        let all: Vec<u32> = (0..)
            .zip(&self.nodes)
            .filter(|(_, node)| which(node))
            .map(|(at, _)| at)
            .collect();
        self.some(share, all)
    }

    fn some(&mut self, share: f64, of: Vec<u32>) -> Vec<u32> {
        let count = ((of.len() as f64 * share).round() as usize)
            .clamp(1, of.len().max(1))
            .min(of.len());
        let picked = rand::seq::index::sample(&mut self.by_troubles, of.len(), count);
        let mut picked: Vec<u32> = picked.into_iter().map(|at| of[at]).collect();
        picked.sort_unstable();
        picked
    }

    pub(super) fn trouble_begins(&mut self, number: usize) {
        let of = self.world.troubles[number].clone();
        let restarts = self.world.nodes.restarts_in;
        let mut hit = Vec::new();
        match of.kind {
            Kind::Crash | Kind::Vanish => {
                hit = self.some_nodes(of.share, |node| node.up);
                let back = if of.lasts > 0 { of.lasts } else { restarts };
                hit.iter()
                    .for_each(|node| self.node_dies(*node, of.kind == Kind::Vanish, back));
            }
            Kind::ZoneLoss => {
                hit = self.some_nodes(1.0, |node| node.zone == of.zones[0]);
                hit.iter()
                    .for_each(|node| self.node_dies(*node, true, of.lasts.max(restarts)));
            }
            Kind::ColdRestart => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.node_dies(*node, false, restarts));
            }
            Kind::Hang => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.stalls(*node, self.now + of.lasts));
            }
            Kind::Slow => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.nodes[*node as usize].slow = of.times);
            }
            Kind::FailIndex => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.nodes[*node as usize].fails = Some((of.index, 0.9)));
            }
            Kind::LoseAnswers => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.nodes[*node as usize].loses = 0.5);
            }
            Kind::HalfDead => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.nodes[*node as usize].half_dead = 0.5);
            }
            Kind::FrozenReports => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.nodes[*node as usize].frozen = true);
            }
            Kind::UntrueReports => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.iter()
                    .for_each(|node| self.nodes[*node as usize].untrue = of.times);
            }
            Kind::Drain => {
                hit = self.some_nodes(of.share, |node| node.up);
                hit.clone()
                    .into_iter()
                    .for_each(|node| self.drains(node, number));
            }
            Kind::Release => {
                hit = self.some_nodes(of.share, |node| node.up);
                let apart = of.lasts / hit.len().max(1) as u64;
                for (at, _) in hit.iter().enumerate() {
                    self.schedule(self.now + apart * at as u64, Event::Releases(number, at));
                }
            }
            Kind::Partition => {
                for (from, to) in ways(&of.zones, of.both) {
                    *self.blocked.entry((from, to)).or_default() += 1;
                }
            }
            Kind::Deadly => {
                self.deadly.insert(number, (of.index, of.share));
            }
            Kind::Burst => self.bursts *= of.times,
            Kind::RetryStorm => self.more_retries *= of.times,
            Kind::DiscoveryDown => self.discovery_breaks(),
            Kind::DiscoveryStale => self.stale *= of.times,
            Kind::DiscoveryFlaps => {
                self.discovery_breaks();
                self.schedule(self.now + FLAPS, Event::Releases(number, 0));
            }
            Kind::RouterCrash => {
                hit = self.some(of.share, (0..self.fronts.len() as u32).collect());
                let back = if of.lasts > 0 { of.lasts } else { restarts };
                for router in hit.clone() {
                    self.router_dies(router);
                    self.renew_router(router);
                    self.schedule(self.now + back, Event::RouterBack(router));
                }
            }
            Kind::ClockSkew => {
                hit = self.some(of.share, (0..self.fronts.len() as u32).collect());
                hit.iter()
                    .for_each(|at| self.fronts[*at as usize].skew = (of.times * 1e6) as u64);
            }
        }
        self.hit.insert(number, hit);
    }

    fn drains(&mut self, node: u32, number: usize) {
        self.nodes[node as usize].draining = true;
        self.tell_discovery(node, EndpointState::Draining, 0);
        // Its planned end.
        let at = self.now + DRAINS_FOR + self.world.discovery.lag;
        self.schedule(at, Event::Releases(number, usize::MAX - node as usize));
    }

    /// One step of what goes on for a while: a rolling release, an end after a drain, discovery that flaps.
    pub(super) fn releases(&mut self, number: usize, at: usize) {
        let of = &self.world.troubles[number];
        let (end, kind) = (ZERO + of.end(), of.kind);
        if kind == Kind::DiscoveryFlaps {
            if self.now >= end {
                return;
            }
            match self.discovery_down {
                true => self.discovery_returns(),
                false => self.discovery_breaks(),
            }
            return self.schedule(self.now + FLAPS, Event::Releases(number, 0));
        }
        if at > u32::MAX as usize {
            return self.node_dies(
                (usize::MAX - at) as u32,
                false,
                self.world.nodes.restarts_in,
            );
        }
        if let Some(node) = self.hit.get(&number).and_then(|hit| hit.get(at)).copied() {
            self.drains(node, number);
        }
    }

    fn discovery_returns(&mut self) {
        self.discovery_down = false;
    }

    pub(super) fn trouble_is_over(&mut self, number: usize) {
        let of = self.world.troubles[number].clone();
        let hit = self.hit.get(&number).cloned().unwrap_or_default();
        for node in hit {
            let at = node as usize;
            match of.kind {
                Kind::Slow => self.nodes[at].slow = 1.0,
                Kind::FailIndex => self.nodes[at].fails = None,
                Kind::LoseAnswers => self.nodes[at].loses = 0.0,
                Kind::HalfDead => self.nodes[at].half_dead = 0.0,
                Kind::FrozenReports => self.nodes[at].frozen = false,
                Kind::UntrueReports => self.nodes[at].untrue = 1.0,
                _ => {}
            }
        }
        match of.kind {
            Kind::Partition => {
                for way in ways(&of.zones, of.both) {
                    if let Some(count) = self.blocked.get_mut(&way) {
                        *count -= 1;
                        if *count == 0 {
                            self.blocked.remove(&way);
                        }
                    }
                }
            }
            Kind::Deadly => {
                self.deadly.remove(&number);
            }
            Kind::Burst => self.bursts /= of.times,
            Kind::RetryStorm => self.more_retries /= of.times,
            Kind::DiscoveryDown | Kind::DiscoveryFlaps => self.discovery_returns(),
            Kind::DiscoveryStale => self.stale /= of.times,
            _ => {}
        }
    }
}

fn ways(zones: &[u16], both: bool) -> Vec<(u16, u16)> {
    let (from, to) = (zones[0], zones[1]);
    if both {
        vec![(from, to), (to, from)]
    } else {
        vec![(from, to)]
    }
}
