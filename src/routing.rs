//! The decisions of a query router, all of them.
//! Invoked through the methods of [`RoutingEngine`], one for each thing a router sees: a lookup and its parts, a part
//! call's return, a probe's, the roster, a client that left, a timer. Each ends in `settle`, which goes
//! through `RULES` until none fires. The module acts through [`Actions`], defined in `src/interface.rs`;
//! `docs/design.md` gives the reasons.
//!
//! The design (EC-Store's cost model) places every part. Beside it stand six mechanisms:
//! 1. doubt: what a node's own answers show outweighs a report that says better;
//! 2. again: another try after a failure, a copy of a late part, none for a lookup that brings nodes down; a
//!    new connection in place of one that has rested, while such are dropped unseen;
//! 3. admission: a lookup is taken only if predicted in time, beyond a share only with time to spare;
//! 4. cut: a lookup ends as soon as waiting gains nothing, with what is in or with nothing;
//! 5. warm-up: a node that has just started gets this router's share of what it can bear;
//! 6. roster: a watch kept up, and what it says of draining and gone nodes obeyed at once.

#![allow(clippy::too_many_arguments)] // a decoded field goes straight into a call

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use nanorand::Rng;

use crate::actions::Actions;
use crate::slow_start;
use crate::types::*;

mod snapshot;
#[cfg(test)]
mod tests;

pub use snapshot::{EngineSnapshot, NodeSnapshot};

/// m over mean o: nodes do a few parts at a time, so one more costs nearly as much as the call.
const PART_RATIO: f64 = 0.8;
/// Weight of a new report or answer against what was known: a few answers make an opinion.
const FRESH: f64 = 0.3;
/// The same for what hardly changes: the mean hint.
const STEADY: f64 = FRESH * FRESH;
/// A node is doubted when it answers so many times later than the middle node.
const DOUBT: f64 = 2.5;
/// An answer within this share of the shortest soft deadline holds no lookup back, whatever the middle.
const BRIEF: f64 = 0.25;
/// Failures are remembered for so many of the shortest soft deadline: routers may hear that rarely.
const LASTING: f64 = 8.0;
/// A part is late after this many times the middle latency.
const LATE: f64 = 4.0;
/// Rest of connections is distrusted for so many of the shortest soft deadline.
const KEPT: f64 = 16.0;
/// Share of calls on rested connections that stay silent where such are dropped: more than a slow node's.
const SILENT: f64 = 0.15;
/// Of the part calls out, the share that may be copies of others.
const COPIES: f64 = 0.1;
/// Middle latencies that a second step is given: few parts, yet each has to come.
const SECOND: f64 = 2.0;
/// The share of its time that a lookup of little gain may be predicted to take: more where lateness and work
/// in vain are cheap.
const SPARE_TIME: f64 = 0.6;
const DEAR: f64 = 2.5;
/// A customer's unused share is kept for so many seconds.
const QUOTA_SECONDS: f64 = 2.0;
/// Of the warm-up allowance; the rest covers parts heavier than the mean.
const WARM_UP_SAFETY: f64 = 0.9;
/// Beyond what is borne, so many of its root and so many parts are put down to chance, by the platform.
const BY_CHANCE: f64 = 2.0;
/// A sum of chances stays this many deviations above its mean or lower, over thousands of windows.
const SWINGS: f64 = 4.0;
/// A part this many times the mean counts as one.
const LARGE: f64 = 1.5;
/// Parts out at a node before their number shows in its answers: it has cores.
const FREE_DEPTH: f64 = 2.0;
/// Mean o that the whole gain of a lookup is worth, when a part's crossing of zones is priced.
const CROSSING: f64 = 20.0;
/// Predictions are means: a part may be so much later.
const MARGIN: f64 = 1.25;
/// A lookup is as late as the latest of its calls: so many times the mean, and so many more with each
/// logarithm of their number. Parts that share a call come together.
const LATEST: (f64, f64) = (0.5, 0.9);
/// Weights as they come are rounded: sums of them may fall so much short of a forecast's whole.
const SHORT: f64 = 0.00005;
/// A sum of fractions falls so much short of what it is, at most: eight tenths are 0.7999999999999999.
const EXACT: f64 = 1e-9;
/// Deadly lookups that are known at a time: more at once are no single lookups' doing.
const MOST_FATAL: usize = 128;
const PROBE_EVERY: Micros = Micros(1_000_000);
/// Asking the roster again after a failure: this and as much again by chance.
const ASK_AGAIN: Micros = Micros(500_000);
/// Where lists are pushed, the share of that pause.
const AGENT: f64 = 0.1;
/// A call that never left, for want of something here, is made again after this, so many times for a part.
const UNSENT_PAUSE: Micros = Micros(20_000);
const MOST_UNSENT: usize = 16;
/// How often time alone makes the rules run, and the margin kept before a client's end.
const BEAT: Micros = Micros(10_000);

#[derive(Default)]
pub struct RoutingEngine {
    pub config: PlatformConfig,
    chance: RandomSource,
    now: Micros,
    born: Option<Micros>, // Its first list.
    /// When the roster was last told.
    heard: Option<Micros>,
    /// All lookups end by then: the process stops.
    answers_by: Option<Micros>,
    beating: bool,
    /// Emptied by the roster: a node that is gone and owes nothing is dropped.
    pub nodes: BTreeMap<NodeId, Node>,
    /// Nodes by cell, made anew by the roster, and those whose doubt may change.
    cells: BTreeMap<ShardGroupNo, Vec<NodeId>>,
    watched: BTreeSet<NodeId>,
    /// The fleet's figures, taken anew before rules run if what they rest on has changed.
    survey: FleetStatistics,
    stale: bool,
    /// Lookups in hand; emptied by their final answers.
    pub queries: BTreeMap<QueryId, Query>,
    /// Smoothed hint of a part, in microseconds.
    mean_hint: Option<f64>,
    /// What each customer may still send within its share; one entry a customer of the tariff.
    quota_left: Vec<(f64, Micros)>,
    /// Requests taken and further part calls made within the budget's window; emptied by age.
    taken: VecDeque<Micros>,
    extras: VecDeque<Micros>,
    /// The whole budget, while this module serves a part: spare, ratio, cold share, further calls made.
    whole: Option<(f64, f64, f64, VecDeque<Micros>)>,
    ask_at: Option<Micros>,
    roster_lost: bool,
    /// When a node last fell, as its connections or the roster told.
    alarm_at: Option<Micros>,
    /// Deadly lookups, to know repeats by; bounded, emptied at a later give-up once their clients have left.
    fatal: VecDeque<(Micros, QueryFingerprint)>,
    /// The last nack at admission, while such nacks come.
    shed_at: Option<Micros>,
    /// Smoothed share of calls on rested connections that stayed silent, and since when such are not used.
    silent: f64,
    distrusted: Option<Micros>,
}

type Rule = (
    fn(&RoutingEngine) -> Option<RuleMatch>,
    fn(&mut RoutingEngine, RuleMatch, &mut dyn Actions),
);

/// Gone through in this order, from the top again after each that fires.
const RULES: [Rule; 11] = [
    (RoutingEngine::roster_is_due, RoutingEngine::ask_roster),
    (RoutingEngine::answer_is_due, RoutingEngine::answer),
    (RoutingEngine::hopeless, RoutingEngine::give_up),
    (RoutingEngine::rested_is_silent, RoutingEngine::count_silent),
    (RoutingEngine::rest_is_trusted, RoutingEngine::trust_rest),
    (RoutingEngine::unplaced, RoutingEngine::place_or_nack),
    (RoutingEngine::needs_another_try, RoutingEngine::call_again),
    (RoutingEngine::needs_a_copy, RoutingEngine::call_again),
    (RoutingEngine::shedding_is_over, RoutingEngine::end_shedding),
    (
        RoutingEngine::doubt_has_changed,
        RoutingEngine::change_doubt,
    ),
    (RoutingEngine::probe_is_due, RoutingEngine::probe),
];

impl RoutingEngine {
    pub fn new(tariff: PlatformConfig, seed: u64) -> Self {
        let quota_left = vec![(0.0, Micros(0)); tariff.quotas.len()];
        let ask_at = tariff.discovery_is_polled.then_some(Micros(0));
        RoutingEngine {
            chance: RandomSource::new(seed),
            stale: true,
            quota_left,
            ask_at,
            config: tariff,
            ..RoutingEngine::default()
        }
    }

    /// Two processes serve one router's share: of its further calls `spare` are this one's. One that only
    /// finishes what it has taken earns no more, and leaves nodes that warm up to the other.
    pub fn serve_share(&mut self, spare: f64, goes_on: bool) {
        self.take_back();
        let of = &mut self.config;
        let (whole, mut made) = (
            (
                of.retry_budget_min,
                of.retry_budget_ratio,
                of.slow_start_initial_share,
            ),
            VecDeque::new(),
        );
        of.retry_budget_min = spare;
        if !goes_on {
            (of.retry_budget_ratio, of.slow_start_initial_share) = (0.0, 0.0);
            made = std::mem::take(&mut self.extras);
        }
        self.whole = Some((whole.0, whole.1, whole.2, made));
        self.stale = true;
    }

    /// The whole share is this one's again, and nothing is out at nodes but its own.
    pub fn serve_whole(&mut self) {
        self.nodes
            .values_mut()
            .for_each(|n| n.in_flight_elsewhere.1.clear());
        self.take_back();
    }

    /// Takes back the whole budget, with all that was made of it.
    fn take_back(&mut self) {
        let Some((spare, ratio, cold, mut made)) = self.whole.take() else {
            return;
        };
        (
            self.config.retry_budget_min,
            self.config.retry_budget_ratio,
            self.config.slow_start_initial_share,
        ) = (spare, ratio, cold);
        made.append(&mut self.extras);
        (self.extras, self.stale) = (made, true);
    }

    /// Counts a request for the budget, where one is set.
    fn take(&mut self) {
        let Some(window) = self.config.retry_budget_window else {
            return;
        };
        self.taken.push_back(self.now);
        let now = self.now;
        for times in [&mut self.taken, &mut self.extras] {
            drop_front(times, |at| now.since(*at) > window);
        }
    }

    pub fn query_received(
        &mut self,
        now: Micros,
        id: QueryId,
        query: WireQueryNo,
        index: IndexNo,
        customer: CustomerNo,
        expected: usize,
        left: Micros,
        repeat: bool,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.take();
        let row = &mut self.config.indexes[index.at()];
        row.has_queries = true;
        // In a stop nobody is given longer than the process may live.
        let left = self.answers_by.map_or(left, |by| left.min(by.since(now)));
        let (soft, end, row) = (
            now + row.latency_objective.min(left),
            now + left,
            row.clone(),
        );
        let partly = row
            .partial_response_after
            .map_or(soft, |at| soft.min(now + at));
        let of = Query {
            id,
            wire_no: query,
            is_client_retry: repeat,
            index,
            config: row,
            customer,
            expected_requests: expected,
            ..Query::default()
        };
        self.queries.insert(
            id,
            Query {
                soft_deadline: soft,
                partial_response_at: partly,
                deadline: end,
                time_allowed: left,
                ..of
            },
        );
        self.settle(out);
    }

    pub fn shard_request_received(
        &mut self,
        now: Micros,
        id: ShardRequestId,
        query: WireQueryNo,
        shard: ShardNo,
        weight: f64,
        hint: Option<Micros>,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.take();
        self.stale |= self.mean_hint.is_none() && hint.is_some();
        self.mean_hint = hint
            .map(|hint| blend(self.mean_hint, hint.0 as f64, STEADY))
            .or(self.mean_hint);
        // Parts come for the newest, and may still for a lookup that has ended in the same batch.
        if let Some(lookup) = self
            .queries
            .values_mut()
            .rev()
            .find(|lk| lk.wire_no == query)
        {
            lookup.requests.push(ShardRequest {
                id,
                shard,
                weight,
                cost_hint: hint,
                ..ShardRequest::default()
            });
        }
        self.settle(out);
    }

    pub fn attempt_finished(
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
        self.now = now;
        let owed = self
            .nodes
            .get_mut(&node)
            .and_then(|n| Some((n.in_flight.remove(&(part, call))?, n)));
        if let Some((owed, n)) = owed {
            let rested = n
                .attempt_on_idle_connection
                .take_if(|of| *of == (part, call))
                .is_some();
            if ending == AttemptOutcome::Satisfied {
                let heard = rested.then(|| blend(Some(self.silent), 0.0, STEADY));
                self.silent = heard.unwrap_or(self.silent);
                n.latency_per_request = Some(blend(
                    n.latency_per_request,
                    lag.0 as f64 / (owed.depth_when_sent + FREE_DEPTH),
                    FRESH,
                ));
            }
            self.learn(node, owed.index, lag, ending);
            // Returns still come for lookups, and for first steps, that are over.
            let parts = self.queries.get_mut(&owed.query).map(|lk| &mut lk.requests);
            if let Some(p) = parts
                .and_then(|parts| parts.get_mut(owed.request_index))
                .filter(|p| p.id == part)
            {
                p.answered |= ending == AttemptOutcome::Satisfied;
                if ending == AttemptOutcome::Unsent {
                    p.retry_not_before = now + UNSENT_PAUSE;
                }
                if let Some(call) = p.attempts.get_mut(usize::from(call.0)) {
                    call.outcome = Some(ending);
                }
            }
        }
        self.read_report(node, report);
        self.settle(out);
    }

    /// A probe that fails says nothing that a part call would not: it gives up sooner and is turned away
    /// sooner. One that comes back brings the report and no trust: a hung node answers probes briskly.
    pub fn health_check_finished(
        &mut self,
        now: Micros,
        node: NodeId,
        report: &[f64],
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.read_report(node, report);
        self.settle(out);
    }

    /// The process stops: whatever is in hand, or is taken from here on, ends by then. Trouble at nodes
    /// frees nothing that was taken from its final answer.
    pub fn shutdown_started(&mut self, now: Micros, answers_by: Micros, out: &mut dyn Actions) {
        self.now = now;
        self.answers_by = Some(answers_by);
        for lookup in self.queries.values_mut() {
            lookup.deadline = lookup.deadline.min(answers_by);
            lookup.soft_deadline = lookup.soft_deadline.min(answers_by);
            lookup.partial_response_at = lookup.partial_response_at.min(answers_by);
        }
        self.settle(out);
    }

    pub fn client_left(&mut self, now: Micros, id: QueryId, out: &mut dyn Actions) {
        self.now = now;
        self.close(id, out);
        self.settle(out);
    }

    pub fn endpoints_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        full: bool,
        out: &mut dyn Actions,
    ) {
        self.now = now;
        self.born = self.born.or(Some(now));
        let heard = self.heard.replace(now);
        let newest = list
            .iter()
            .map(|listing| listing.started_at)
            .max()
            .unwrap_or_default();
        if full {
            self.nodes
                .values_mut()
                .for_each(|n| n.endpoint.state = EndpointState::Gone);
        }
        for listing in list {
            let (lot, known) = (
                self.chance.0.generate(),
                self.nodes.contains_key(&listing.node),
            );
            let node = self.nodes.entry(listing.node).or_insert_with(|| Node {
                tie_breaker: lot,
                ..Node::default()
            });
            // Gone without a drain, or back before it was missed: it fell. A new process is not known.
            let not_before = slow_start::not_before(heard, now, listing.started_at, newest);
            let anew = node.started.observe(listing.started_at, now, not_before);
            let fell = known && node.endpoint.state == EndpointState::Ready;
            self.alarm_at = (fell && (anew || listing.state == EndpointState::Gone))
                .then_some(now)
                .or(self.alarm_at);
            if anew || !known {
                // What it was sent since its start counts, though this router hears of the start only now.
                let (mut sends, owed) = (
                    std::mem::take(&mut node.recent_sends),
                    std::mem::take(&mut node.in_flight),
                );
                drop_front(&mut sends, |(at, _)| *at < node.started.at);
                *node = Node {
                    tie_breaker: node.tie_breaker,
                    notified_at: now,
                    started: node.started,
                    in_flight: owed,
                    recent_sends: sends,
                    ..Node::default()
                };
            }
            node.endpoint = *listing;
        }
        self.nodes
            .retain(|_, n| n.endpoint.state != EndpointState::Gone || !n.in_flight.is_empty());
        self.index_nodes();
        if std::mem::take(&mut self.roster_lost) {
            out.log(&format!("roster: back, {} nodes known", self.nodes.len()));
        }
        self.settle(out);
    }

    /// Operators drain nodes, or no longer: of theirs and discovery's word the stricter is listed.
    pub fn operator_drains_changed(
        &mut self,
        now: Micros,
        list: &[Endpoint],
        out: &mut dyn Actions,
    ) {
        self.now = now;
        for listing in list {
            self.nodes
                .entry(listing.node)
                .and_modify(|n| n.endpoint.state = listing.state);
        }
        self.stale = true;
        self.settle(out);
    }

    /// What the figures of beliefs rest on.
    fn terms(&self) -> String {
        let (rows, of) = (
            self.config
                .indexes
                .iter()
                .map(|row| (row.latency_objective, row.retry_semantics)),
            &self.config,
        );
        format!(
            "{:?}",
            (
                rows.collect::<Vec<_>>(),
                &of.load_metrics,
                of.quotas.len(),
                of.shard_group_count,
                of.groups_per_shard
            )
        )
    }

    /// What of another's beliefs means the same here. Under other indexes, customers, gauges or shards what
    /// was learnt by them starts afresh; how nodes answer, what they were sent, and what was spent go on.
    fn carried(&self, of: &EngineSnapshot) -> EngineSnapshot {
        let mut of = of.clone();
        if of.terms.as_ref().is_none_or(|terms| *terms == self.terms()) {
            return of;
        }
        for (_, node) in &mut of.nodes {
            (node.report, node.best_rate, node.doubted) = (None, 0.0, None);
            node.standings.clear();
        }
        let EngineSnapshot {
            nodes,
            taken,
            extras,
            alarm,
            ..
        } = of;
        EngineSnapshot {
            nodes,
            taken,
            extras,
            alarm,
            ..EngineSnapshot::default()
        }
    }

    fn index_nodes(&mut self) {
        self.cells.clear();
        for (id, node) in &self.nodes {
            self.cells
                .entry(node.endpoint.shard_group)
                .or_default()
                .push(*id);
        }
        self.stale = true;
    }

    /// The watch broke or could not be had. Without one the router soon counts as told of what it has not
    /// heard, so it asks again; at a time by chance, so that not all routers ask at once.
    pub fn endpoint_watch_failed(&mut self, now: Micros, out: &mut dyn Actions) {
        self.now = now;
        // An agent that pushes lists is asked by nobody else, and what it has counts as told.
        let pause = if self.config.discovery_is_polled {
            ASK_AGAIN
        } else {
            ASK_AGAIN.times(AGENT)
        };
        self.ask_at = Some(now + pause + Micros(self.chance.0.generate_range(0..pause.0)));
        if !std::mem::replace(&mut self.roster_lost, true) {
            out.log(&format!(
                "roster: lost, {} nodes known, asking again",
                self.nodes.len()
            ));
        }
        self.settle(out);
    }

    pub fn timer_fired(&mut self, now: Micros, _timer: TimerId, out: &mut dyn Actions) {
        self.now = now;
        self.beating = false;
        let (memory, nodes) = (self.memory(), &self.nodes);
        let owes = |n: &Node| n.all_in_flight(now).next().is_some();
        let wanted = |n: &Node| {
            n.suspected_for.is_some()
                || owes(n)
                || now.since(n.latency_updated_at).0 as f64 <= memory
        };
        self.watched.retain(|id| nodes.get(id).is_some_and(wanted));
        self.settle(out);
    }

    /// Whether a time comes too soon to wait for another beat or two.
    fn soon(&self, at: Micros) -> bool {
        self.now + BEAT.max(self.config.tick).times(2.0) >= at
    }

    fn settle(&mut self, out: &mut dyn Actions) {
        if self.stale && !(self.queries.is_empty() && self.watched.is_empty()) {
            (self.survey, self.stale) = (self.take_survey(), false);
        }
        while let Some((then, case)) = RULES
            .iter()
            .find_map(|(when, then)| Some((then, when(self)?)))
        {
            then(self, case, out);
        }
        let idle = self.queries.is_empty() && self.watched.is_empty();
        let waits = !idle || self.ask_at.or(self.shed_at).is_some();
        if waits && !std::mem::replace(&mut self.beating, true) {
            out.set_timer(BEAT.max(self.config.tick), TimerId(0));
        }
    }

    fn watched_nodes(&self) -> impl Iterator<Item = &Node> {
        self.watched.iter().filter_map(|id| self.nodes.get(id))
    }

    fn roster_is_due(&self) -> Option<RuleMatch> {
        self.ask_at
            .filter(|&at| at <= self.now)
            .map(|_| RuleMatch::default())
    }

    fn ask_roster(&mut self, _: RuleMatch, out: &mut dyn Actions) {
        self.ask_at = None;
        out.watch_endpoints();
    }

    fn probe_is_due(&self) -> Option<RuleMatch> {
        if self.config.load_reporting != LoadReporting::OnProbe || !self.config.health_checks {
            return None;
        }
        let recent = |at: Micros| self.now.since(at) < PROBE_EVERY;
        let used = |n: &Node| {
            !n.in_flight.is_empty() || n.recent_sends.back().is_some_and(|(at, _)| recent(*at))
        };
        let due = |n: &&Node| used(n) && n.last_health_check.is_none_or(|at| !recent(at));
        self.watched_nodes().find(due).map(|n| RuleMatch {
            node: n.endpoint.node,
            ..RuleMatch::default()
        })
    }

    fn probe(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        self.nodes
            .entry(case.node)
            .and_modify(|n| n.last_health_check = Some(self.now));
        out.check_health(case.node);
    }

    fn find(&self, wanted: impl Fn(&Query) -> bool) -> Option<RuleMatch> {
        self.queries
            .values()
            .find(|lk| wanted(lk))
            .map(|lk| RuleMatch {
                query: lk.id,
                ..RuleMatch::default()
            })
    }

    /// The weight that makes the present step whole, and the least that may be answered.
    fn bars(&self, lookup: &Query) -> (f64, f64) {
        let row = &lookup.config;
        let least = row.min_weight.min(row.required_weight);
        match lookup.in_second_phase {
            true => (
                1.0,
                if row.min_weight < row.required_weight {
                    least
                } else {
                    1.0
                },
            ),
            false => (row.required_weight, least),
        }
    }

    fn whole(&self, lookup: &Query) -> bool {
        let all_in = lookup.requests.iter().all(|p| p.answered);
        let enough = if lookup.in_second_phase {
            all_in
        } else {
            all_in || lookup.answered_weight() >= self.bars(lookup).0
        };
        lookup.all_requests_received() && enough
    }

    /// When a step is answered with what is in: its gain is about to fall. A first step leaves the second
    /// its time.
    fn cut_at(&self, lookup: &Query) -> Micros {
        let second = !lookup.in_second_phase && lookup.config.second_phase_size > 0;
        let needed = self
            .survey
            .median_latency
            .filter(|_| second)
            .map_or(Micros(0), |m| Micros((m * SECOND) as u64));
        Micros(
            lookup.partial_response_at.0
                - needed.0.min(lookup.partial_response_at.since(self.now).0),
        )
    }

    /// An answer is due when it is whole; one in part when its gain is about to fall, or no more can come.
    fn answer_is_due(&self) -> Option<RuleMatch> {
        self.find(|lk| {
            // To the letter, but for sums: weights that are off are no leave to answer from too little.
            let enough = lk.all_requests_received()
                && lk.answered_weight() + EXACT >= self.bars(lk).1
                && lk.answered_weight() > 0.0;
            let last = || lk.requests.iter().all(|p| p.answered || self.spent(lk, p));
            self.whole(lk) || enough && (self.soon(self.cut_at(lk)) || last())
        })
    }

    fn answer(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        let id = case.query;
        let whole = self
            .queries
            .get(&id)
            .is_some_and(|lk| self.whole(lk) && (!lk.in_second_phase || lk.first_phase_complete));
        out.record_reason(
            id,
            if whole {
                DecisionReason::Whole
            } else {
                DecisionReason::Partial
            },
        );
        out.answer(id, whole);
        let Some(lookup) = self.queries.get_mut(&id) else {
            return;
        };
        let second_step = lookup.config.second_phase_size;
        if lookup.in_second_phase || second_step == 0 {
            return self.close(id, out);
        }
        // The first answer brings a second step, on parts of its own.
        let parts = std::mem::take(&mut lookup.requests);
        lookup.expected_requests = second_step.min(parts.iter().filter(|p| p.answered).count());
        (
            lookup.in_second_phase,
            lookup.first_phase_complete,
            lookup.placed,
        ) = (true, whole, false);
        self.drop_parts(&parts, out);
    }

    /// No call is out, and none may follow.
    fn spent(&self, lookup: &Query, part: &ShardRequest) -> bool {
        !part.answered && part.attempts_in_flight() == 0 && !self.may_call(lookup, part)
    }

    /// Given up as soon as what is in and may still come is too little, and just before the client's end.
    fn hopeless(&self) -> Option<RuleMatch> {
        self.find(|lk| {
            let spent = || {
                lk.requests
                    .iter()
                    .filter(|p| self.spent(lk, p))
                    .map(|p| p.weight)
                    .sum::<f64>()
            };
            let short = |spent: f64| spent > 0.0 && 1.0 - spent + EXACT < self.bars(lk).1;
            self.soon(lk.deadline)
                || lk.all_requests_received() && (self.deadly(lk) || short(spent()))
        })
    }

    fn give_up(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        let deadly = self.queries.get(&case.query).filter(|lk| self.deadly(lk));
        let (now, fatal) = (self.now, deadly.map(|lk| (lk.deadline, lk.fingerprint())));
        let come_back = fatal.as_ref().map_or(Micros(0), |_| Micros(u64::MAX));
        drop_front(&mut self.fatal, |(end, _)| *end < now);
        self.fatal.extend(fatal);
        // Where all nodes fall, every lookup looks deadly, and each is looked up for each.
        while self.fatal.len() > MOST_FATAL {
            self.fatal.pop_front();
        }
        let over = self
            .queries
            .get(&case.query)
            .is_some_and(|lk| self.soon(lk.deadline));
        let why = if over {
            DecisionReason::Deadline
        } else {
            DecisionReason::Exhausted
        };
        out.record_reason(
            case.query,
            if come_back.0 > 0 {
                DecisionReason::Deadly
            } else {
                why
            },
        );
        self.refuse(case.query, come_back, out);
    }

    /// Some lookups bring down each node that begins a part of them: connections break at one node after the
    /// other and nothing is ever answered; a node's own fall other lookups outlive by other parts. One that
    /// broke its scout's, or a repeat of such, needs no second proof. Hurts one that falling nodes meet.
    fn deadly(&self, lookup: &Query) -> bool {
        let print = lookup.is_client_retry.then(|| lookup.fingerprint());
        let known = || {
            self.fatal
                .iter()
                .any(|(_, known)| Some(known) == print.as_ref())
        };
        let fell = || {
            lookup.nodes_with_broken_connections()
                > usize::from(lookup.placed && !lookup.is_client_retry)
        };
        lookup.is_unanswered() && fell()
            || lookup.is_client_retry && lookup.all_requests_received() && known()
    }

    /// While nodes fall, and for a client's repeat, one node is tried before the others see the lookup.
    fn wary(&self, lookup: &Query) -> bool {
        let alarmed = self
            .alarm_at
            .is_some_and(|at| self.now.since(at) < self.config.slow_start_duration);
        (alarmed || lookup.is_client_retry) && lookup.is_unanswered()
    }

    /// A scout is out, and less than a quarter of the time is gone.
    fn scouting(&self, lookup: &Query) -> bool {
        let first = lookup.in_flight_since().min();
        first.is_some_and(|at| self.now.since(at).times(3.0) < lookup.soft_deadline.since(self.now))
            && self.wary(lookup)
    }

    /// A nack where a repeat is harmless, else an abort.
    fn refuse(&mut self, id: QueryId, come_back: Micros, out: &mut dyn Actions) {
        let Some(lookup) = self.queries.get(&id) else {
            return;
        };
        let harmless = lookup.config.retry_semantics == RetrySemantics::Idempotent
            || !lookup.in_second_phase
                && lookup
                    .requests
                    .iter()
                    .all(|p| !p.attempts.iter().any(Attempt::may_have_run));
        if harmless {
            out.reject(
                id,
                self.config
                    .max_retry_after
                    .map_or(Micros(0), |longest| come_back.min(longest)),
            );
        } else {
            out.fail(id);
        }
        self.close(id, out);
    }

    fn close(&mut self, id: QueryId, out: &mut dyn Actions) {
        let Some(lookup) = self.queries.remove(&id) else {
            return;
        };
        self.drop_parts(&lookup.requests, out);
    }

    fn drop_parts(&mut self, parts: &[ShardRequest], out: &mut dyn Actions) {
        for part in parts {
            let still_out = part
                .attempts
                .iter()
                .enumerate()
                .filter(|(_, call)| call.outcome.is_none());
            for (at, _) in still_out.filter(|_| self.config.cancellation) {
                out.cancel_attempt(part.id, AttemptNo(at as u8));
            }
        }
    }

    fn unplaced(&self) -> Option<RuleMatch> {
        self.find(|lk| !lk.placed && lk.all_requests_received() && !self.scouting(lk))
    }

    fn place_or_nack(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        let id = case.query;
        let Some(lookup) = self.queries.get(&id) else {
            return;
        };
        let (customer, second, least) =
            (lookup.customer, lookup.in_second_phase, self.bars(lookup).1);
        let first = !second && lookup.requests.iter().all(|p| p.attempts.is_empty());
        let within_share = !first || self.draw_quota(customer);
        let Some(lookup) = self.queries.get(&id) else {
            return;
        };
        let left =
            lookup.soft_deadline.since(self.now).0 as f64 * self.time_allowed(lookup, within_share);
        let plan = self.plan(lookup, left);
        if first && plan.weight_in_time + SHORT < least {
            if self.shed_at.replace(self.now).is_none() {
                let (slowest, left, placed) = (
                    plan.slowest_latency / 1e3,
                    left / 1e3,
                    plan.assignments.len(),
                );
                out.log(&format!(
                    "shedding: {placed} parts in {slowest:.0} ms, allowed {left:.0}"
                ));
            }
            out.record_reason(id, DecisionReason::Shed);
            let excess = Micros((plan.slowest_latency - left).max(BEAT.0 as f64) as u64);
            return self.refuse(id, excess, out);
        }
        let scout = plan
            .assignments
            .first()
            .filter(|_| self.wary(lookup) && lookup.in_flight_since().next().is_none());
        let scout = scout.map(|(_, node)| *node);
        self.queries
            .entry(id)
            .and_modify(|lk| lk.placed = scout.is_none());
        for (at, node) in plan
            .assignments
            .into_iter()
            .filter(|(_, node)| scout.is_none_or(|s| s == *node))
        {
            self.call(id, at, node, out);
        }
    }

    fn shedding_is_over(&self) -> Option<RuleMatch> {
        self.shed_at
            .filter(|at| self.now.since(*at).0 as f64 > self.memory())
            .map(|_| RuleMatch::default())
    }

    fn end_shedding(&mut self, _: RuleMatch, out: &mut dyn Actions) {
        self.shed_at = None;
        out.log(&format!(
            "shedding: over, {} lookups in hand",
            self.queries.len()
        ));
    }

    /// The share of its time that a lookup may be predicted to take: all of it where the gain is the best
    /// there is, less for others, so that they give way first when nodes are busy. Not by parts: where one
    /// index needs all shards and another needs one, the middle one would have no room on a quiet day.
    fn time_allowed(&self, lookup: &Query, within_share: bool) -> f64 {
        let seen = self.config.indexes.iter().filter(|row| row.has_queries);
        let best = seen.map(|row| row.priority_weight).fold(0.0, f64::max);
        let share = if within_share {
            1.0
        } else {
            self.config.over_quota_weight
        };
        let rank = if best > 0.0 {
            share * lookup.config.priority_weight / best
        } else {
            1.0
        };
        let rank = if lookup.time_allowed < lookup.config.latency_objective {
            1.0
        } else {
            rank
        };
        let spare = self
            .config
            .wasted_work_cost
            .map_or(SPARE_TIME, |vain| SPARE_TIME.max(1.0 - DEAR * vain));
        spare + (1.0 - spare) * rank
    }

    /// Takes one lookup from the customer's share; false if it has used that up.
    fn draw_quota(&mut self, customer: CustomerNo) -> bool {
        let at = usize::from(customer.0);
        let (Some(quota), Some((left, drawn))) =
            (self.config.quotas.get(at), self.quota_left.get_mut(at))
        else {
            return true;
        };
        let rate = quota / self.config.router_count;
        let most = (rate * QUOTA_SECONDS).max(1.0);
        *left = (*left + rate * self.now.since(*drawn).0 as f64 / 1e6).min(most);
        *drawn = self.now;
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        within
    }

    fn take_survey(&self) -> FleetStatistics {
        // One walk: at thousands of nodes it is what deciding costs.
        let reported = self.config.load_metrics.contains(&LoadMetric::LatencyMs);
        let [mut read, mut paces, mut latencies, mut works, mut rates] = [const { Vec::new() }; 5];
        for n in self
            .nodes
            .values()
            .filter(|n| n.endpoint.state == EndpointState::Ready)
        {
            read.extend(self.reading(n));
            paces.extend(n.latency_per_request);
            latencies.extend(n.latency);
            works.extend(if reported {
                n.reported_load.map(|ms| ms * 1e3)
            } else {
                n.latency
            });
            rates.extend(Some(n.max_reported_rate).filter(|rate| *rate > 0.0));
        }
        let mean_o = if read.is_empty() {
            self.memory()
        } else {
            read.iter().sum::<f64>() / read.len() as f64
        };
        // What a warm node surely does: one core's work, or what the middle reported; a few are always odd.
        let work = self
            .mean_hint
            .or_else(|| median(works))
            .unwrap_or(self.memory());
        let rate = median(rates).unwrap_or(0.0).max(1e6 / work);
        let (pace, middle) = (median(paces).unwrap_or(0.0), median(latencies));
        FleetStatistics {
            mean_o,
            m: mean_o * PART_RATIO,
            median_latency: middle,
            median_latency_per_request: pace,
            warm_rate: rate,
        }
    }

    /// A node's o as reported, or from its answers where it is not.
    fn reading(&self, node: &Node) -> Option<f64> {
        let t = &self.config;
        let silent = t.load_reporting == LoadReporting::Off
            || t.load_reporting == LoadReporting::OnProbe && !t.health_checks;
        if silent
            || t.load_metrics
                .iter()
                .all(|g| matches!(g, LoadMetric::Rate | LoadMetric::Unread))
        {
            return node.latency;
        }
        if t.load_metrics.contains(&LoadMetric::LatencyMs) {
            return node
                .reported_load
                .or(node.latency.map(|micros| micros / 1e3));
        }
        // A queue of none is no free ride: a call costs a node work of its own, told in mean parts.
        node.reported_load.map(|queue| {
            queue
                + self
                    .mean_hint
                    .map_or(1.0, |hint| t.attempt_cost.0 as f64 / hint)
        })
    }

    /// The answer latency to expect for an index: as smoothed, later by how often the node failed that index,
    /// both fading, and no less than the age of what it owes. Age counts from its last answer: a lost answer
    /// is not a hung node.
    fn belief(&self, node: &Node, index: IndexNo) -> f64 {
        let (middle, lasting) = (
            self.survey.median_latency.unwrap_or(0.0),
            self.memory() * LASTING,
        );
        let known = node.latency.unwrap_or(middle);
        let latency = middle + (known - middle) * self.fade(node.latency_updated_at, self.memory());
        let age = node
            .all_in_flight(self.now)
            .map(|out| self.overdue(node, out, index))
            .fold(0.0, f64::max);
        (latency + self.feared(node, index, lasting)).max(age)
    }

    fn fade(&self, since: Micros, lasting: f64) -> f64 {
        (-(self.now.since(since).0 as f64) / lasting).exp()
    }

    /// How much later its failures make a node.
    fn feared(&self, node: &Node, index: IndexNo, lasting: f64) -> f64 {
        node.health(index).failure_cost * self.fade(node.health(index).updated_at, lasting)
    }

    fn overdue(
        &self,
        node: &Node,
        (owed, until): (&InFlightAttempt, Micros),
        index: IndexNo,
    ) -> f64 {
        until
            .since(owed.sent_at.max(node.health(index).last_answer))
            .0 as f64
    }

    /// The answer latency of a part that would be the last of so many more: the node's pace goes on, and it
    /// answers no sooner than what it owes is old.
    fn predicted(&self, node: &Node, index: IndexNo, more: f64) -> f64 {
        let depth = node.in_flight_cost() + more;
        let owing = |out: (&InFlightAttempt, Micros)| {
            self.overdue(node, out, index) / (out.0.depth_when_sent + FREE_DEPTH)
        };
        // A node not heard from yet is no better than the middle, and one that warms up is slower.
        let known = node
            .latency_per_request
            .unwrap_or(self.survey.median_latency_per_request / self.warmth(node, self.now));
        // Fear is short here, or a router that saw all fail would nack for good.
        let feared = self.feared(node, index, self.memory());
        node.all_in_flight(self.now)
            .map(owing)
            .fold(known, f64::max)
            * (depth + FREE_DEPTH)
            + feared
    }

    /// How long an opinion of a node lasts unrefreshed: the shortest soft deadline.
    fn memory(&self) -> f64 {
        self.config
            .indexes
            .iter()
            .map(|row| row.latency_objective.0 as f64)
            .fold(f64::MAX, f64::min)
    }

    /// The design's o of a node, our own parts out included.
    fn o(&self, node: &Node, index: IndexNo) -> f64 {
        let survey = &self.survey;
        let mut o = self.reading(node).unwrap_or(survey.mean_o);
        o = self
            .doubt(node, index)
            .map_or(o, |late| o.max(survey.mean_o * late));
        if node.endpoint.zone != self.config.zone {
            o += survey.mean_o * self.config.cross_zone_cost * CROSSING;
        }
        o + survey.m * node.in_flight_cost()
    }

    fn z(&self, part: &ShardRequest) -> f64 {
        match (part.cost_hint, self.mean_hint) {
            (Some(hint), Some(mean)) if mean > 0.0 => hint.0 as f64 / mean,
            _ => 1.0,
        }
    }

    /// All nodes that hold a shard, from its cells in a row.
    fn held_by(&self, shard: ShardNo) -> impl Iterator<Item = &Node> {
        let (cells, reach) = (
            self.config.shard_group_count,
            self.config
                .groups_per_shard
                .min(self.config.shard_group_count),
        );
        let cell = move |j| ShardGroupNo((shard.0 % cells + j) % cells);
        let ids = (0..reach)
            .filter_map(move |j| self.cells.get(&cell(j)))
            .flatten();
        ids.filter_map(|id| self.nodes.get(id))
    }

    /// The nodes that a part may go to: holders that are ready and have room, untried ones first.
    fn holders(&self, part: &ShardRequest, planned: &BTreeMap<NodeId, f64>) -> Vec<&Node> {
        let z = self.z(part);
        let fit = |n: &&Node| {
            let more = planned.get(&n.endpoint.node).copied().unwrap_or(0.0);
            let free = part
                .attempts
                .iter()
                .all(|c| c.outcome.is_some() || c.node != n.endpoint.node);
            n.endpoint.state == EndpointState::Ready && free && self.has_room(n, more + z.max(1.0))
        };
        let fit: Vec<&Node> = self.held_by(part.shard).filter(fit).collect();
        let untried = |n: &&Node| part.attempts.iter().all(|c| c.node != n.endpoint.node);
        prefer(fit, untried)
    }

    fn plan(&self, lookup: &Query, left: f64) -> Placement {
        let mut planned: BTreeMap<NodeId, f64> = BTreeMap::new();
        let (mut plan, mut sum) = (Placement::default(), 0.0);
        // Visited in order of choice: parts with few holders first, the heavier first among equals.
        let choice = |(at, part): (usize, &ShardRequest)| {
            (self.held_by(part.shard).count(), self.z(part), at)
        };
        let open = |(_, part): &(usize, &ShardRequest)| {
            part.attempts_in_flight() == 0 && self.may_call(lookup, part)
        };
        let mut order: Vec<_> = lookup
            .requests
            .iter()
            .enumerate()
            .filter(open)
            .map(choice)
            .collect();
        order.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)).then(a.2.cmp(&b.2)));
        for (_, z, at) in order {
            let part = &lookup.requests[at];
            let added = |n: &Node| {
                let fixed = if planned.contains_key(&n.endpoint.node) {
                    0.0
                } else {
                    self.o(n, lookup.index)
                };
                fixed + self.survey.m * z
            };
            let latency = |n: &Node| {
                let more = planned.get(&n.endpoint.node).copied().unwrap_or(0.0) + z;
                self.predicted(n, lookup.index, more) * MARGIN
            };
            // A discount stacks parts behind the chosen: late holders give way to those in time.
            let holders = prefer(self.holders(part, &planned), |n| latency(n) <= left);
            let Some(node) = self.cheapest(&holders, added) else {
                continue;
            };
            let latency = latency(node);
            *planned.entry(node.endpoint.node).or_default() += z;
            plan.weight_in_time += if latency <= left { part.weight } else { 0.0 };
            plan.slowest_latency = plan.slowest_latency.max(latency);
            plan.assignments.push((at, node.endpoint.node));
            sum += latency / MARGIN;
        }
        let calls = planned.len().max(1) as f64;
        let latest = sum / plan.assignments.len().max(1) as f64
            * (LATEST.0 + LATEST.1 * calls.ln()).max(1.0);
        // Not where some may be missing; and a client that gives less than the aim is no sign of load.
        let holds =
            self.bars(lookup).1 >= 1.0 && lookup.time_allowed >= lookup.config.latency_objective;
        if holds && latest > left {
            (plan.slowest_latency, plan.weight_in_time) = (plan.slowest_latency.max(latest), 0.0);
        }
        plan
    }

    fn cheapest<'a>(&self, nodes: &[&'a Node], cost: impl Fn(&Node) -> f64) -> Option<&'a Node> {
        let away = |n: &Node| (n.endpoint.zone != self.config.zone, n.tie_breaker);
        nodes
            .iter()
            .copied()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)).then(away(a).cmp(&away(b))))
    }

    fn call(&mut self, id: QueryId, at: usize, to: NodeId, out: &mut dyn Actions) {
        // A plan may hold further calls of many parts: each may use up the budget that the next was planned
        // on.
        let lookup = self
            .queries
            .get(&id)
            .filter(|lk| self.may_call(lk, &lk.requests[at]));
        let Some(lookup) = lookup else { return };
        let part = &lookup.requests[at];
        let (part_id, z, number) = (part.id, self.z(part), AttemptNo(part.attempts.len() as u8));
        let index = lookup.index;
        let due = if self.soon(lookup.soft_deadline) {
            lookup.deadline
        } else {
            lookup.soft_deadline
        };
        let limit = due.since(self.now).max(Micros(1));
        let longest = self.memory();
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        let (depth, mut rested) = (
            node.in_flight_cost() + z,
            node.idle_time(self.now).0 as f64 > longest,
        );
        if rested && self.distrusted.is_some() {
            out.close_idle_connections(to);
            rested = false;
        }
        node.attempt_on_idle_connection = rested
            .then_some((part_id, number))
            .or(node.attempt_on_idle_connection);
        node.in_flight.insert(
            (part_id, number),
            InFlightAttempt {
                query: id,
                request_index: at,
                index,
                sent_at: self.now,
                z,
                depth_when_sent: depth,
            },
        );
        let (now, kept) = (self.now, self.config.slow_start_duration);
        drop_front(&mut node.recent_sends, |(at, _)| now.since(*at) > kept);
        node.recent_sends.push_back((self.now, z.max(1.0)));
        self.watched.insert(to);
        if number.0 > 0 && self.config.retry_budget_window.is_some() {
            self.extras.push_back(self.now);
        }
        if let Some(lookup) = self.queries.get_mut(&id) {
            lookup.requests[at].attempts.push(Attempt {
                node: to,
                sent_at: self.now,
                outcome: None,
            });
        }
        out.send_attempt(part_id, to, limit);
    }

    /// Whether the rules let a part have a call, first or further, now.
    fn may_call(&self, lookup: &Query, part: &ShardRequest) -> bool {
        let calls = &part.attempts;
        let (dial, first_run) = (
            self.config.connect_timeout,
            calls.iter().find(|c| c.may_have_run()).map(|c| c.sent_at),
        );
        let harmless = match lookup.config.retry_semantics {
            RetrySemantics::Idempotent => true,
            // A dial and two beats are kept back: the window is the nodes', the call has yet to reach one.
            RetrySemantics::Fingerprinted(window) => {
                first_run.is_none_or(|s| !self.soon(s + window.since(dial)))
            }
            RetrySemantics::OnceOnly => first_run.is_none(),
        };
        let most = lookup
            .config
            .max_attempts
            .or(self.config.max_attempts)
            .unwrap_or(255)
            .min(255);
        // What never left counts for no try: three were gone within a millisecond of a shortage here.
        let (made, unsent) = part.attempt_counts();
        let tries_left = made < most && unsent < MOST_UNSENT && calls.len() < 255;
        let copies = self.config.hedging && !lookup.config.hedging_disabled;
        let alone = copies || part.attempts_in_flight() == 0;
        let budget = calls.is_empty() || self.within_budget(lookup);
        !part.answered && harmless && tries_left && alone && budget && !self.soon(lookup.deadline)
    }

    fn within_budget(&self, lookup: &Query) -> bool {
        let Some(window) = self.config.retry_budget_window else {
            return true;
        };
        // At the very edge of the window a call made may still count, a request taken may not.
        let made = self
            .extras
            .iter()
            .filter(|at| self.now.since(**at) <= window)
            .count() as f64;
        let taken = self
            .taken
            .iter()
            .filter(|at| self.now.since(**at) < window)
            .count() as f64;
        let fits = |(spare, ratio): (f64, f64)| made + 1.0 <= spare + ratio * taken;
        fits((self.config.retry_budget_min, self.config.retry_budget_ratio))
            && lookup.config.retry_budget.is_none_or(fits)
    }

    /// Connections that rest may be dropped on the way, and neither end is told: what is sent on one is lost.
    /// Seen as calls that are late, at many nodes, after nothing had gone there for a soft deadline.
    fn rested_is_silent(&self) -> Option<RuleMatch> {
        let middle = self.survey.median_latency?;
        let late = |n: &Node| Micros(n.latency.unwrap_or(middle).max(middle) as u64).times(LATE);
        let sent = |n: &Node| {
            Some(
                n.in_flight
                    .get(n.attempt_on_idle_connection.as_ref()?)?
                    .sent_at,
            )
        };
        let lost = |n: &&Node| sent(n).is_some_and(|sent| self.now.since(sent) > late(n));
        self.watched_nodes().find(lost).map(|n| RuleMatch {
            node: n.endpoint.node,
            ..RuleMatch::default()
        })
    }

    fn count_silent(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        let Some(node) = self.nodes.get_mut(&case.node) else {
            return;
        };
        node.attempt_on_idle_connection = None;
        self.silent = blend(Some(self.silent), 1.0, STEADY);
        if self.silent > SILENT && self.distrusted.is_none() {
            self.distrusted = Some(self.now);
            let share = self.silent * 100.0;
            out.log(&format!(
                "connections: new ones after a rest, {share:.0}% of the rested silent"
            ));
        }
    }

    fn rest_is_trusted(&self) -> Option<RuleMatch> {
        let over = |at: &Micros| self.now.since(*at).0 as f64 > self.memory() * KEPT;
        self.distrusted.filter(over).map(|_| RuleMatch::default())
    }

    fn trust_rest(&mut self, _: RuleMatch, out: &mut dyn Actions) {
        (self.distrusted, self.silent) = (None, SILENT / 2.0);
        out.log("connections: used again after a rest");
    }

    /// A part without a call out gets one, elsewhere if it can.
    fn needs_another_try(&self) -> Option<RuleMatch> {
        self.find_call(|lk, part| {
            let waits = part.attempts_in_flight() == 0 && part.retry_not_before <= self.now;
            waits && (lk.is_survivable() || lk.in_flight_since().next().is_none())
        })
    }

    /// A late part holds back its lookup: it gets a copy while that may still be in time. Copies are a small
    /// share of what is out: when everything is late, more would only add to it.
    fn needs_a_copy(&self) -> Option<RuleMatch> {
        let middle = Micros(self.survey.median_latency? as u64);
        // One at a time where no budget bounds them: more cost an overloaded fleet a fifth of its gain.
        let share = self.config.retry_budget_window.map_or(0.0, |_| COPIES);
        let out = self
            .queries
            .values()
            .flat_map(|lk| &lk.requests)
            .map(ShardRequest::attempts_in_flight);
        let (copies, out) = out.fold((0, 0), |(c, o), n| (c + n.saturating_sub(1), o + n));
        if copies as f64 >= (out as f64 * share).max(1.0) {
            return None;
        }
        let late =
            |c: &Attempt| c.outcome.is_none() && self.now.since(c.sent_at) > middle.times(LATE);
        self.find_call(|lk, part| {
            part.attempts.iter().any(late)
                && self.now + middle < lk.soft_deadline
                && lk.is_survivable()
        })
    }

    fn find_call(&self, wanted: impl Fn(&Query, &ShardRequest) -> bool) -> Option<RuleMatch> {
        self.queries.values().filter(|lk| lk.placed).find_map(|lk| {
            lk.requests.iter().enumerate().find_map(|(at, part)| {
                if part.answered || !wanted(lk, part) || !self.may_call(lk, part) {
                    return None;
                }
                let holders = self.holders(part, &BTreeMap::new());
                let node = self.cheapest(&holders, |n| self.o(n, lk.index))?;
                Some(RuleMatch {
                    query: lk.id,
                    request_index: at,
                    node: node.endpoint.node,
                    ..RuleMatch::default()
                })
            })
        })
    }

    fn call_again(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        let part = self
            .queries
            .get(&case.query)
            .and_then(|lk| lk.requests.get(case.request_index));
        let hedges = part.is_some_and(|part| part.attempts_in_flight() > 0);
        out.record_reason(
            case.query,
            if hedges {
                DecisionReason::Hedge
            } else {
                DecisionReason::Retry
            },
        );
        self.call(case.query, case.request_index, case.node, out);
    }

    fn read_report(&mut self, id: NodeId, report: &[f64]) {
        let gauges = &self.config.load_metrics;
        // A figure that is none, or below nothing, says nothing.
        let sane = |figure: &f64| figure.is_finite() && *figure >= 0.0;
        let at = |wanted: LoadMetric| gauges.iter().position(|g| *g == wanted);
        let read = |wanted: LoadMetric| report.get(at(wanted)?).copied().filter(sane);
        let (o, rate) = (
            read(LoadMetric::LatencyMs).or(read(LoadMetric::Queue)),
            read(LoadMetric::Rate),
        );
        // Work that takes no time is no report at all, and what came before it is not to be believed either.
        let untrue = read(LoadMetric::LatencyMs) == Some(0.0);
        if let Some(node) = self.nodes.get_mut(&id) {
            node.reported_load = o
                .map(|o| blend(node.reported_load, o, FRESH))
                .or(node.reported_load)
                .filter(|_| !untrue);
            node.max_reported_rate = node.max_reported_rate.max(rate.unwrap_or(0.0));
            self.stale = true;
        }
    }

    /// Refusals, lost connections, errors are one symptom, as bad as an answer as late as the shortest aim.
    /// What shows the process down counts for every index, an error only for its own, and where it may be
    /// repeated for the time it took and another try's: a node that fails briskly does a part of its work.
    fn learn(&mut self, id: NodeId, index: IndexNo, lag: Micros, ending: AttemptOutcome) {
        self.alarm_at = Some(self.now)
            .filter(|_| ending == AttemptOutcome::Broken)
            .or(self.alarm_at);
        let (longest, middle) = (
            self.memory(),
            self.survey.median_latency.unwrap_or(f64::MAX),
        );
        let once = self.config.indexes[index.at()].retry_semantics == RetrySemantics::OnceOnly;
        let Some(node) = self.nodes.get_mut(&id) else {
            return;
        };
        let (fear, toll) = match ending {
            AttemptOutcome::Satisfied => (0.0, 0.0),
            AttemptOutcome::Cancelled | AttemptOutcome::Unsent => return,
            AttemptOutcome::MayHaveRun if !once => (1.0, longest.min(lag.0 as f64 + middle)),
            _ => (1.0, longest),
        };
        if ending == AttemptOutcome::Satisfied {
            (node.latency, node.latency_updated_at) =
                (Some(blend(node.latency, lag.0 as f64, FRESH)), self.now);
        }
        node.index_health
            .resize(self.config.indexes.len(), IndexHealth::default());
        for (at, standing) in node.index_health.iter_mut().enumerate() {
            if at == index.at()
                || matches!(ending, AttemptOutcome::NeverRan | AttemptOutcome::Broken)
            {
                standing.failure_rate = blend(Some(standing.failure_rate), fear, FRESH);
                standing.failure_cost = blend(Some(standing.failure_cost), toll, FRESH);
                standing.updated_at = self.now;
                standing.last_answer = if fear > 0.0 {
                    standing.last_answer
                } else {
                    self.now
                };
            }
        }
        self.watched.insert(id);
        self.stale = true;
    }

    /// How many times later than the middle a node is for an index, where that counts.
    fn doubt(&self, node: &Node, index: IndexNo) -> Option<f64> {
        let (middle, belief) = (
            self.survey.median_latency?.max(1.0),
            self.belief(node, index),
        );
        (belief > (DOUBT * middle).max(self.memory() * BRIEF)).then_some(belief / middle)
    }

    fn doubt_has_changed(&self) -> Option<RuleMatch> {
        let indexes = || (0..self.config.indexes.len() as u8).map(IndexNo);
        let doubted = |n: &Node| indexes().find(|index| self.doubt(n, *index).is_some());
        let mut now = self.watched_nodes().map(|n| (n, doubted(n)));
        let (n, index) = now.find(|(n, index)| index.is_some() != n.suspected_for.is_some())?;
        Some(RuleMatch {
            index: index.or(n.suspected_for)?,
            node: n.endpoint.node,
            ..RuleMatch::default()
        })
    }

    fn change_doubt(&mut self, case: RuleMatch, out: &mut dyn Actions) {
        let Some(node) = self.nodes.get(&case.node) else {
            return;
        };
        let (id, index, word) = (
            case.node.0,
            case.index,
            node.suspected_for.map_or("doubted", |_| "trusted"),
        );
        let (late, middle) = (
            self.belief(node, index) / 1e3,
            self.survey.median_latency.unwrap_or(0.0) / 1e3,
        );
        let failing = node.health(index).failure_rate * 100.0;
        out.log(&format!(
            "node {id:x}: {word}, {late:.0} ms against {middle:.0}, failing {failing:.0}%"
        ));
        self.nodes
            .entry(case.node)
            .and_modify(|n| n.suspected_for = n.suspected_for.is_none().then_some(index));
    }

    /// The share of its capacity that a node surely had when the window up to a time began.
    fn warmth(&self, node: &Node, at: Micros) -> f64 {
        let (t, age) = (&self.config, at.since(node.started.at));
        if node.started.at.0 == 0 || age >= t.slow_start_duration {
            return 1.0;
        }
        t.slow_start_initial_share
            + (1.0 - t.slow_start_initial_share)
                * age.since(t.overload_window).over(t.slow_start_duration)
    }

    /// Whether a node can bear so much more. One that has just started bears a multiple of what it can do at
    /// that age, in any window; this router keeps to its share of that. Where the share is under one part, it
    /// may send one in so many windows, the first by lot from when it was told: many routers that each sent
    /// one at once would push the node over. Who has just started itself does not know what it sent before.
    fn has_room(&self, node: &Node, more: f64) -> bool {
        let window = self.config.overload_window;
        if self.warmth(node, self.now) >= 1.0 || window.0 == 0 {
            return true;
        }
        let share = self.share(node, self.now);
        if share < 1.0 {
            let first = (
                node.notified_at,
                f64::from(node.tie_breaker) / f64::from(u32::MAX),
            );
            let (from, part) = node
                .recent_sends
                .back()
                .copied()
                .filter(|of| of.0 >= node.notified_at)
                .unwrap_or(first);
            let earned = (self.share(node, from) + share) / 2.0 * self.now.since(from).over(window);
            return more <= LARGE && earned > part;
        }
        let sent: f64 = node
            .recent_sends
            .iter()
            .filter(|of| self.now.since(of.0) <= window)
            .map(|of| of.1)
            .sum();
        let fresh = |born| born > node.started.at && self.now.since(born) <= window;
        !self.born.is_some_and(fresh) && sent + more <= share.max(LARGE)
    }

    /// This router's share of what a node bears in a window. With less than a part each, routers send by
    /// chance, and the sum swings by the root of its size: so much less is sent.
    fn share(&self, node: &Node, at: Micros) -> f64 {
        let (t, sure) = (&self.config, self.warmth(node, at) * WARM_UP_SAFETY);
        let bears =
            t.overload_multiple * sure * t.overload_window.0 as f64 / 1e6 * self.survey.warm_rate;
        let swing = SWINGS / 2.0 * (1.0 - bears / t.router_count).max(0.0).sqrt();
        let most = bears + BY_CHANCE * (bears.sqrt() + 1.0);
        ((swing * swing + most).sqrt() - swing).powi(2).min(bears) / t.router_count
    }
}

fn median(mut of: Vec<f64>) -> Option<f64> {
    let middle = of.len() / 2;
    (!of.is_empty()).then(|| *of.select_nth_unstable_by(middle, f64::total_cmp).1)
}

/// Those wanted, if there are any, else all.
fn prefer<T: Copy>(of: Vec<T>, wanted: impl Fn(&T) -> bool) -> Vec<T> {
    let kept: Vec<T> = of.iter().copied().filter(wanted).collect();
    [kept, of]
        .into_iter()
        .find(|some| !some.is_empty())
        .unwrap_or_default()
}

/// Empties a table by age, the oldest first.
fn drop_front<T>(of: &mut VecDeque<T>, old: impl Fn(&T) -> bool) {
    while of.front().is_some_and(&old) {
        of.pop_front();
    }
}

fn blend(known: Option<f64>, new: f64, weight: f64) -> f64 {
    known.map_or(new, |known| known + (new - known) * weight)
}
