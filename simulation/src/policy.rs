//! Who decides: the module as it is, or one of the baselines to compare it with. Baselines live here only.
//! All are driven alike, through what a router sees, and act through `Actions`.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

/// What a router sees; each call as in [`RoutingEngine`].
#[allow(clippy::too_many_arguments)] // a decoded field goes straight into a call
pub trait Policy {
    fn query_received(
        &mut self,
        now: Micros,
        id: QueryId,
        index: IndexNo,
        customer: CustomerNo,
        expected: usize,
        left: Micros,
        repeat: bool,
        out: &mut dyn Actions,
    );
    fn shard_request_received(
        &mut self,
        now: Micros,
        id: ShardRequestId,
        lookup: QueryId,
        shard: ShardNo,
        weight: f64,
        hint: Option<Micros>,
        out: &mut dyn Actions,
    );
    fn attempt_finished(
        &mut self,
        now: Micros,
        part: ShardRequestId,
        call: AttemptNo,
        node: NodeId,
        lag: Micros,
        ending: AttemptOutcome,
        report: &[f64],
        out: &mut dyn Actions,
    );
    fn health_check_finished(
        &mut self,
        now: Micros,
        node: NodeId,
        report: &[f64],
        out: &mut dyn Actions,
    );
    fn client_left(&mut self, now: Micros, id: QueryId, out: &mut dyn Actions);
    fn endpoints_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        full: bool,
        out: &mut dyn Actions,
    );
    fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions);
    fn timer_fired(&mut self, now: Micros, timer: TimerId, out: &mut dyn Actions);
}

impl Policy for RoutingEngine {
    fn query_received(
        &mut self,
        now: Micros,
        id: QueryId,
        index: IndexNo,
        customer: CustomerNo,
        expected: usize,
        left: Micros,
        repeat: bool,
        out: &mut dyn Actions,
    ) {
        RoutingEngine::query_received(
            self,
            now,
            id,
            WireQueryNo(id.0),
            index,
            customer,
            expected,
            left,
            repeat,
            out,
        );
    }
    fn shard_request_received(
        &mut self,
        now: Micros,
        id: ShardRequestId,
        lookup: QueryId,
        shard: ShardNo,
        weight: f64,
        hint: Option<Micros>,
        out: &mut dyn Actions,
    ) {
        RoutingEngine::shard_request_received(
            self,
            now,
            id,
            WireQueryNo(lookup.0),
            shard,
            weight,
            hint,
            out,
        );
    }
    fn attempt_finished(
        &mut self,
        now: Micros,
        part: ShardRequestId,
        call: AttemptNo,
        node: NodeId,
        lag: Micros,
        ending: AttemptOutcome,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        RoutingEngine::attempt_finished(self, now, part, call, node, lag, ending, report, out);
    }
    fn health_check_finished(
        &mut self,
        now: Micros,
        node: NodeId,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        RoutingEngine::health_check_finished(self, now, node, report, out);
    }
    fn client_left(&mut self, now: Micros, id: QueryId, out: &mut dyn Actions) {
        RoutingEngine::client_left(self, now, id, out);
    }
    fn endpoints_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        full: bool,
        out: &mut dyn Actions,
    ) {
        RoutingEngine::endpoints_changed(self, now, list, full, out);
    }
    fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions) {
        RoutingEngine::endpoint_watch_failed(self, now, out);
    }
    fn timer_fired(&mut self, now: Micros, timer: TimerId, out: &mut dyn Actions) {
        RoutingEngine::timer_fired(self, now, timer, out);
    }
}

/// What only the oracle sees of a node: in what time a part given now would be done, what each further one adds, in
/// microseconds, and the index that fails there.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    pub done: f64,
    pub each: f64,
    pub fails: Option<u8>,
}

/// By node; none: a part cannot be done there, or the node would not bear it.
pub type Sight = Rc<RefCell<Vec<Option<Seen>>>>;

#[derive(Clone, Debug)]
pub enum Choice {
    Random,
    RoundRobin,
    LeastOutstanding,
    TwoChoices,
    /// The paper's: reported load, m = o/5, a discount for nodes already chosen.
    Paper,
    Oracle(Sight),
}

/// The paper's m over mean o.
const PAPER_M: f64 = 0.2;
/// The share of its time that a lookup of no gain may be foreseen to take by the oracle.
const ROOM: f64 = 0.4;
/// How long before a client's end a lookup is given up, and between two looks at the time.
const KEPT_BACK: Micros = Micros(10_000);
const ASK_AGAIN: Micros = Micros(750_000);

/// When a part at a node would be done, behind those that are planned there already.
fn foreseen(
    sight: &[Option<Seen>],
    id: NodeId,
    index: IndexNo,
    planned: &BTreeMap<NodeId, f64>,
) -> Option<f64> {
    let seen = sight.get(id.0 as usize).copied().flatten()?;
    let sound = seen.fails != Some(index.0);
    sound.then(|| seen.done + seen.each * planned.get(&id).copied().unwrap_or(0.0))
}

#[derive(Default)]
struct Known {
    listing: Endpoint,
    out: u32,
    report: Option<f64>,
}

struct Part {
    id: ShardRequestId,
    shard: ShardNo,
    weight: f64,
    calls: Vec<(NodeId, Option<AttemptOutcome>)>,
    in_hand: bool,
}

struct Held {
    index: IndexNo,
    soft: Micros,
    end: Micros,
    expected: usize,
    parts: Vec<Part>,
}

/// A plain router: chooses by one rule, tries again elsewhere after a failure where the index allows it, gives what is
/// in at the soft deadline where that is enough, and gives up just before the hard one.
pub struct Plain {
    choice: Choice,
    tariff: PlatformConfig,
    chance: Pcg64Mcg,
    nodes: BTreeMap<NodeId, Known>,
    cells: BTreeMap<ShardGroupNo, Vec<NodeId>>,
    lookups: BTreeMap<QueryId, Held>,
    parts: BTreeMap<ShardRequestId, (QueryId, usize)>,
    turn: u64,
    ask_at: Option<Micros>,
    beating: bool,
}

impl Plain {
    pub fn new(choice: Choice, tariff: PlatformConfig, chance: Pcg64Mcg) -> Plain {
        Plain {
            choice,
            tariff,
            chance,
            nodes: BTreeMap::new(),
            cells: BTreeMap::new(),
            lookups: BTreeMap::new(),
            parts: BTreeMap::new(),
            turn: 0,
            ask_at: Some(Micros(0)),
            beating: false,
        }
    }

    fn row(&self, of: &Held) -> &IndexConfig {
        &self.tariff.indexes[of.index.as_usize()]
    }

    /// Ready holders of a shard that have no call of the part out, untried ones if there are any.
    fn holders(&self, shard: ShardNo, calls: &[(NodeId, Option<AttemptOutcome>)]) -> Vec<NodeId> {
        let t = &self.tariff;
        let cells = (0..t.groups_per_shard.min(t.shard_group_count))
            .map(|j| ShardGroupNo((shard.0 % t.shard_group_count + j) % t.shard_group_count));
        let all = cells
            .filter_map(|cell| self.cells.get(&cell))
            .flatten()
            .copied();
        let ready = |id: &NodeId| {
            self.nodes
                .get(id)
                .is_some_and(|node| node.listing.state == EndpointState::Ready)
        };
        let free: Vec<NodeId> = all
            .filter(ready)
            .filter(|id| {
                calls
                    .iter()
                    .all(|(node, ending)| node != id || ending.is_some())
            })
            .collect();
        let untried: Vec<NodeId> = free
            .iter()
            .copied()
            .filter(|id| calls.iter().all(|(node, _)| node != id))
            .collect();
        if untried.is_empty() {
            free
        } else {
            untried
        }
    }

    fn choose(
        &mut self,
        of: &[NodeId],
        index: IndexNo,
        planned: &BTreeMap<NodeId, f64>,
    ) -> Option<NodeId> {
        let out = |id: &NodeId| self.nodes.get(id).map_or(0, |node| node.out);
        let pick = |chance: &mut Pcg64Mcg| of.get(chance.random_range(0..of.len().max(1))).copied();
        match &self.choice {
            Choice::Random => pick(&mut self.chance),
            Choice::RoundRobin => {
                self.turn += 1;
                of.get((self.turn % of.len().max(1) as u64) as usize)
                    .copied()
            }
            Choice::LeastOutstanding => of
                .iter()
                .copied()
                .min_by_key(|id| (out(id), id.0 ^ self.turn)),
            Choice::TwoChoices => {
                let (a, b) = (pick(&mut self.chance)?, pick(&mut self.chance)?);
                Some(if out(&a) <= out(&b) { a } else { b })
            }
            Choice::Paper => {
                let reports: Vec<f64> =
                    self.nodes.values().filter_map(|node| node.report).collect();
                let mean = reports.iter().sum::<f64>() / reports.len().max(1) as f64;
                let cost = |id: &NodeId| {
                    let o = self
                        .nodes
                        .get(id)
                        .and_then(|node| node.report)
                        .unwrap_or(mean);
                    let fixed = if planned.contains_key(id) { 0.0 } else { o };
                    fixed + PAPER_M * mean.max(0.01)
                };
                of.iter()
                    .copied()
                    .min_by(|a, b| cost(a).total_cmp(&cost(b)).then(a.0.cmp(&b.0)))
            }
            Choice::Oracle(sight) => {
                let sight = sight.borrow();
                let sound = of
                    .iter()
                    .filter_map(|id| Some((foreseen(&sight, *id, index, planned)?, *id)));
                sound.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id)
            }
        }
    }

    /// Whether the oracle sees a lookup done in time; nobody else does.
    fn foresees(&mut self, now: Micros, id: QueryId) -> bool {
        let (Choice::Oracle(sight), Some(of)) = (&self.choice, self.lookups.get(&id)) else {
            return true;
        };
        // What gains less gives way sooner, so that there is room for what gains more.
        let best = self
            .tariff
            .indexes
            .iter()
            .map(|row| row.priority_weight)
            .fold(0.0, f64::max);
        let allowed = ROOM + (1.0 - ROOM) * self.row(of).priority_weight / best.max(1e-9);
        let (sight, mut planned, index) = (Rc::clone(sight), BTreeMap::new(), of.index);
        let (left, shards) = (
            of.soft.since(now).0 as f64 * allowed,
            of.parts.iter().map(|part| (part.shard, part.weight)),
        );
        let (shards, least): (Vec<_>, f64) = (shards.collect(), self.row(of).min_weight);
        let mut in_time = 0.0;
        for (shard, weight) in shards {
            let holders = self.holders(shard, &[]);
            let Some(node) = self.choose(&holders, index, &planned) else {
                continue;
            };
            let done = foreseen(&sight.borrow(), node, index, &planned);
            in_time += if done.is_some_and(|done| done <= left) {
                weight
            } else {
                0.0
            };
            *planned.entry(node).or_default() += 1.0;
        }
        in_time + 1e-9 >= least
    }

    fn call(
        &mut self,
        now: Micros,
        id: QueryId,
        at: usize,
        planned: &mut BTreeMap<NodeId, f64>,
        out: &mut dyn Actions,
    ) {
        let Some(of) = self.lookups.get(&id) else {
            return;
        };
        let (part, limit) = (&of.parts[at], if now < of.soft { of.soft } else { of.end });
        let (part_id, index, holders) = (part.id, of.index, self.holders(part.shard, &part.calls));
        let Some(node) = self.choose(&holders, index, planned) else {
            return;
        };
        *planned.entry(node).or_default() += 1.0;
        if let Some(seen) = self.nodes.get_mut(&node) {
            seen.out += 1;
        }
        if let Some(of) = self.lookups.get_mut(&id) {
            of.parts[at].calls.push((node, None));
        }
        out.send_attempt(part_id, node, limit.since(now).max(Micros(1)));
    }

    fn may_repeat(&self, of: &Held, part: &Part) -> bool {
        let may_have_run = part.calls.iter().any(|(_, ending)| {
            !matches!(
                ending,
                Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
            )
        });
        let harmless = !may_have_run || self.row(of).retry_semantics == RetrySemantics::Idempotent;
        harmless
            && self
                .tariff
                .max_attempts
                .is_none_or(|most| part.calls.len() < most)
    }

    fn close(&mut self, id: QueryId, out: &mut dyn Actions) {
        let Some(of) = self.lookups.remove(&id) else {
            return;
        };
        for part in &of.parts {
            self.parts.remove(&part.id);
            for (at, (node, ending)) in part.calls.iter().enumerate() {
                if ending.is_none() {
                    if let Some(seen) = self.nodes.get_mut(node) {
                        seen.out = seen.out.saturating_sub(1);
                    }
                    out.cancel_attempt(part.id, AttemptNo(at as u8));
                }
            }
        }
    }

    /// Answers, gives up, or goes on.
    fn settle(&mut self, now: Micros, id: QueryId, out: &mut dyn Actions) {
        let Some(of) = self
            .lookups
            .get(&id)
            .filter(|of| of.parts.len() == of.expected)
        else {
            return;
        };
        let share: f64 = of
            .parts
            .iter()
            .filter(|part| part.in_hand)
            .map(|part| part.weight)
            .sum();
        let all = of.parts.iter().all(|part| part.in_hand);
        let waits = |part: &Part| part.calls.iter().any(|(_, ending)| ending.is_none());
        let more = of
            .parts
            .iter()
            .any(|part| !part.in_hand && (waits(part) || self.may_repeat(of, part)));
        let enough = share > 0.0 && share + 1e-9 >= self.row(of).min_weight;
        let over = now + KEPT_BACK.times(2.0) >= of.end;
        if all || enough && (!more || now + KEPT_BACK >= of.soft || over) {
            out.answer(id, all);
            return self.close(id, out);
        }
        if !more || over {
            let repeat = self.row(of).retry_semantics == RetrySemantics::Idempotent;
            let ran = of.parts.iter().flat_map(|part| &part.calls);
            let ran = ran.into_iter().any(|(_, ending)| {
                !matches!(
                    ending,
                    Some(AttemptOutcome::NeverRan | AttemptOutcome::Unsent)
                )
            });
            match repeat || !ran {
                true => out.reject(id, Micros(0)),
                false => out.fail(id),
            }
            return self.close(id, out);
        }
        let again: Vec<usize> = (0..of.parts.len())
            .filter(|at| {
                !of.parts[*at].in_hand
                    && !waits(&of.parts[*at])
                    && self.may_repeat(of, &of.parts[*at])
            })
            .collect();
        let mut planned = BTreeMap::new();
        for at in again {
            self.call(now, id, at, &mut planned, out);
        }
    }

    fn beat(&mut self, out: &mut dyn Actions) {
        if !std::mem::replace(&mut self.beating, true) {
            out.set_timer(KEPT_BACK, TimerId(0));
        }
    }
}

impl Policy for Plain {
    fn query_received(
        &mut self,
        now: Micros,
        id: QueryId,
        index: IndexNo,
        _: CustomerNo,
        expected: usize,
        left: Micros,
        _: bool,
        out: &mut dyn Actions,
    ) {
        let soft = now
            + self.tariff.indexes[index.as_usize()]
                .latency_objective
                .min(left);
        self.lookups.insert(
            id,
            Held {
                index,
                soft,
                end: now + left,
                expected,
                parts: Vec::new(),
            },
        );
        self.beat(out);
    }

    fn shard_request_received(
        &mut self,
        now: Micros,
        id: ShardRequestId,
        lookup: QueryId,
        shard: ShardNo,
        weight: f64,
        _: Option<Micros>,
        out: &mut dyn Actions,
    ) {
        let Some(of) = self.lookups.get_mut(&lookup) else {
            return;
        };
        self.parts.insert(id, (lookup, of.parts.len()));
        of.parts.push(Part {
            id,
            shard,
            weight,
            calls: Vec::new(),
            in_hand: false,
        });
        let complete = self
            .lookups
            .get(&lookup)
            .is_some_and(|of| of.parts.len() == of.expected);
        if complete && !self.foresees(now, lookup) {
            out.reject(lookup, Micros(0));
            return self.close(lookup, out);
        }
        self.settle(now, lookup, out);
    }

    fn attempt_finished(
        &mut self,
        now: Micros,
        part: ShardRequestId,
        call: AttemptNo,
        node: NodeId,
        _: Micros,
        ending: AttemptOutcome,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        if let Some(seen) = self.nodes.get_mut(&node) {
            seen.report = report.first().copied().or(seen.report);
        }
        let Some((id, at)) = self.parts.get(&part).copied() else {
            return;
        };
        let Some(of) = self.lookups.get_mut(&id) else {
            return;
        };
        let part = &mut of.parts[at];
        part.in_hand |= ending == AttemptOutcome::Satisfied;
        if let Some(call) = part
            .calls
            .get_mut(usize::from(call.0))
            .filter(|call| call.1.is_none())
        {
            call.1 = Some(ending);
            if let Some(seen) = self.nodes.get_mut(&node) {
                seen.out = seen.out.saturating_sub(1);
            }
        }
        self.settle(now, id, out);
    }

    fn health_check_finished(
        &mut self,
        _: Micros,
        node: NodeId,
        report: &[f64],
        _: &mut dyn Actions,
    ) {
        if let Some(seen) = self.nodes.get_mut(&node) {
            seen.report = report.first().copied().or(seen.report);
        }
    }

    fn client_left(&mut self, _: Micros, id: QueryId, out: &mut dyn Actions) {
        self.close(id, out);
    }

    fn endpoints_changed(
        &mut self,
        _: Micros,
        list: &[Endpoint],
        full: bool,
        out: &mut dyn Actions,
    ) {
        if full {
            self.nodes
                .values_mut()
                .for_each(|node| node.listing.state = EndpointState::Gone);
        }
        for listing in list {
            self.nodes.entry(listing.node).or_default().listing = *listing;
        }
        self.cells.clear();
        for (id, node) in &self.nodes {
            self.cells
                .entry(node.listing.shard_group)
                .or_default()
                .push(*id);
        }
        if self.ask_at.take().is_some() {
            out.watch_endpoints();
        }
        self.beat(out);
    }

    fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions) {
        self.ask_at = Some(now + ASK_AGAIN);
        self.beat(out);
    }

    fn timer_fired(&mut self, now: Micros, _: TimerId, out: &mut dyn Actions) {
        self.beating = false;
        if self.ask_at.is_some_and(|at| at <= now) {
            self.ask_at = None;
            out.watch_endpoints();
        }
        let due: Vec<QueryId> = self.lookups.keys().copied().collect();
        for id in due {
            self.settle(now, id, out);
        }
        if self.ask_at.is_some() || !self.lookups.is_empty() {
            self.beat(out);
        }
    }
}
