//! The decisions of a query router, all of them.
//!
//! The router calls a method of [`RoutingEngine`] for each thing that it sees: a query and its shard
//! requests, the end of an attempt, a health check's answer, the endpoint list, a client that left, a timer.
//! Each input updates state and ends in [`RoutingEngine::run_rules`], which goes through [`RULES`] until none
//! applies. The engine acts through [`Actions`] alone: it has no I/O, no clock and no randomness but its
//! seeded source. `docs/design.md` gives the reasons.
//!
//! One file for each mechanism:
//!
//! | file | decides |
//! | --- | --- |
//! | `endpoints` | when the watch of the endpoint list is renewed; what draining and gone nodes get |
//! | `partial_response` | when a query is answered, complete or from what is in, and when it cannot be |
//! | `idle_connections` | whether connections that were idle are used |
//! | `admission` | whether a query is admitted or shed |
//! | `placement` | which node gets each request (EC-Store's cost model) |
//! | `query_of_death` | which queries bring nodes down; who gets a query first while nodes fail |
//! | `retry` | retries, hedged requests and their budget |
//! | `outlier_detection` | how late each node is expected to be, and which are suspected |
//! | `slow_start` | how much a node that has just started may be sent |
//! | `health_check` | when a node is asked for its load |
//! | `statistics` | the figures of the fleet that the others compare with |
//! | `inputs`, `attempts` | queries, requests and attempts as they come, are sent and end |
//! | `shared_budget`, `snapshot` | what two processes of one router share and hand over |

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::actions::Actions;
use crate::types::{
    IndexNo, Micros, Node, NodeId, PlatformConfig, Query, QueryId, RandomSource, ShardGroupNo,
    TimerId,
};

mod admission;
mod attempts;
mod endpoints;
mod health_check;
mod idle_connections;
mod inputs;
mod outlier_detection;
mod partial_response;
mod placement;
mod query_of_death;
mod retry;
mod shared_budget;
mod slow_start;
mod snapshot;
mod statistics;
#[cfg(test)]
mod test_support;
#[cfg(test)]
mod tests;

use admission::QuotaLeft;
use query_of_death::KnownQueryOfDeath;
use shared_budget::SavedBudget;
use statistics::FleetStatistics;

pub use snapshot::{EngineSnapshot, NodeSnapshot};

/// Weight of a new load report or answer against what was known: a few answers decide.
const FAST_SMOOTHING: f64 = 0.3;
/// The same for what hardly changes: the mean cost hint, the share of lost idle connections.
const SLOW_SMOOTHING: f64 = FAST_SMOOTHING * FAST_SMOOTHING;
/// The shortest time between two runs of the rules by time alone.
const TICK: Micros = Micros(10_000);

/// The decision module of one router process.
#[derive(Default)]
pub struct RoutingEngine {
    /// The settings in force. A change holds for queries that come after it.
    pub config: PlatformConfig,
    /// What is known of each node. Emptied by the endpoint list: a node that is gone and has nothing in
    /// flight is dropped.
    pub nodes: BTreeMap<NodeId, Node>,
    /// Queries in hand; emptied by their final answers.
    pub queries: BTreeMap<QueryId, Query>,
    rng: RandomSource,
    now: Micros,
    /// When its first endpoint list came.
    first_list_at: Option<Micros>,
    /// When the last endpoint list came.
    last_list_at: Option<Micros>,
    /// When the watch is asked for again, if it is not up.
    next_watch_at: Option<Micros>,
    watch_is_lost: bool,
    /// All queries end by then: the process shuts down.
    shutdown_answers_by: Option<Micros>,
    timer_is_set: bool,
    /// Nodes by shard group, made anew with each endpoint list.
    shard_groups: BTreeMap<ShardGroupNo, Vec<NodeId>>,
    /// Nodes whose suspicion may change, that may be due a health check, or whose idle connections were used.
    monitored: BTreeSet<NodeId>,
    statistics: FleetStatistics,
    /// What the statistics rest on has changed: they are computed anew before rules run.
    statistics_are_stale: bool,
    /// Smoothed cost hint of a request, in microseconds.
    mean_cost_hint: Option<f64>,
    /// What each customer may still send within its quota; one entry for each configured quota.
    quota_left: Vec<QuotaLeft>,
    /// The last shed query, while queries are shed.
    last_shed: Option<Micros>,
    /// Queries and requests admitted within the retry budget's window; emptied by age.
    admitted: VecDeque<Micros>,
    /// Retries and hedged requests sent within that window; emptied by age.
    extra_attempts: VecDeque<Micros>,
    /// The whole retry budget, while this process serves a share of it.
    saved_budget: Option<SavedBudget>,
    /// When a node last failed, as its connections or the endpoint list showed.
    last_node_failure: Option<Micros>,
    /// Queries of death, to know their repeats by. Bounded; emptied by later ones, once the clients have
    /// left.
    queries_of_death: VecDeque<KnownQueryOfDeath>,
    /// Smoothed share of attempts on idle connections that were lost.
    idle_loss_rate: f64,
    /// Since when idle connections are not used.
    idle_distrusted_since: Option<Micros>,
}

/// What a rule's condition has found to act on. A rule reads what its condition fills in.
#[derive(Clone, Copy, Debug, Default)]
struct RuleMatch {
    query: QueryId,
    request_index: usize,
    node: NodeId,
    index: IndexNo,
}

impl RuleMatch {
    fn of_query(query: QueryId) -> RuleMatch {
        RuleMatch {
            query,
            ..RuleMatch::default()
        }
    }

    fn of_node(node: NodeId) -> RuleMatch {
        RuleMatch {
            node,
            ..RuleMatch::default()
        }
    }
}

/// A condition, and what is done when it holds.
struct Rule {
    condition: fn(&RoutingEngine) -> Option<RuleMatch>,
    action: fn(&mut RoutingEngine, RuleMatch, &mut dyn Actions),
}

/// The rules in their order. After each that applies they are gone through from the top again.
static RULES: [Rule; 11] = [
    Rule {
        condition: RoutingEngine::watch_is_due,
        action: RoutingEngine::renew_watch,
    },
    Rule {
        condition: RoutingEngine::answer_is_due,
        action: RoutingEngine::send_answer,
    },
    Rule {
        condition: RoutingEngine::query_cannot_complete,
        action: RoutingEngine::end_without_answer,
    },
    Rule {
        condition: RoutingEngine::idle_connection_was_lost,
        action: RoutingEngine::count_lost_idle_connection,
    },
    Rule {
        condition: RoutingEngine::idle_distrust_is_over,
        action: RoutingEngine::trust_idle_connections,
    },
    Rule {
        condition: RoutingEngine::query_awaits_placement,
        action: RoutingEngine::place_or_shed,
    },
    Rule {
        condition: RoutingEngine::request_needs_retry,
        action: RoutingEngine::send_further_attempt,
    },
    Rule {
        condition: RoutingEngine::request_needs_hedge,
        action: RoutingEngine::send_further_attempt,
    },
    Rule {
        condition: RoutingEngine::shedding_is_over,
        action: RoutingEngine::end_shedding,
    },
    Rule {
        condition: RoutingEngine::suspicion_has_changed,
        action: RoutingEngine::change_suspicion,
    },
    Rule {
        condition: RoutingEngine::health_check_is_due,
        action: RoutingEngine::send_health_check,
    },
];

impl RoutingEngine {
    /// An engine that knows no node yet. The same seed and inputs give the same decisions.
    pub fn new(config: PlatformConfig, seed: u64) -> Self {
        RoutingEngine {
            rng: RandomSource::new(seed),
            statistics_are_stale: true,
            quota_left: vec![QuotaLeft::default(); config.quotas.len()],
            next_watch_at: config.discovery_is_polled.then_some(Micros(0)),
            config,
            ..RoutingEngine::default()
        }
    }

    /// A timer that was asked for through [`Actions::set_timer`] fired.
    pub fn timer_fired(&mut self, now: Micros, _timer: TimerId, out: &mut dyn Actions) {
        self.now = now;
        self.timer_is_set = false;
        self.stop_monitoring_idle_nodes();
        self.run_rules(out);
    }

    fn stop_monitoring_idle_nodes(&mut self) {
        let now = self.now;
        let memory = self.shortest_objective_us();
        let nodes = &self.nodes;
        let has_in_flight = |node: &Node| node.all_in_flight(now).next().is_some();
        let wanted = |node: &Node| {
            node.suspected_for.is_some()
                || has_in_flight(node)
                || now.since(node.latency_updated_at).0 as f64 <= memory
        };
        self.monitored
            .retain(|id| nodes.get(id).is_some_and(wanted));
    }

    /// Applies the rules until none does, then asks for a timer if time alone may make one apply.
    fn run_rules(&mut self, out: &mut dyn Actions) {
        let nothing_to_do = self.queries.is_empty() && self.monitored.is_empty();
        if self.statistics_are_stale && !nothing_to_do {
            self.refresh_statistics();
        }
        while let Some((rule, found)) = self.first_applicable_rule() {
            (rule.action)(self, found, out);
        }
        let nothing_to_do = self.queries.is_empty() && self.monitored.is_empty();
        let needs_timer = !nothing_to_do || self.next_watch_at.or(self.last_shed).is_some();
        if needs_timer && !self.timer_is_set {
            self.timer_is_set = true;
            out.set_timer(self.tick(), TimerId(0));
        }
    }

    fn first_applicable_rule(&self) -> Option<(&'static Rule, RuleMatch)> {
        RULES
            .iter()
            .find_map(|rule| Some((rule, (rule.condition)(self)?)))
    }

    fn refresh_statistics(&mut self) {
        self.statistics = self.compute_statistics();
        self.statistics_are_stale = false;
    }

    /// How often time alone makes the rules run.
    fn tick(&self) -> Micros {
        TICK.max(self.config.tick)
    }

    /// Whether a time comes too soon to wait for another tick or two.
    fn is_soon(&self, at: Micros) -> bool {
        self.now + self.tick().times(2.0) >= at
    }

    /// How long an opinion of a node lasts without an answer: the shortest latency objective, in
    /// microseconds.
    fn shortest_objective_us(&self) -> f64 {
        self.config
            .indexes
            .iter()
            .map(|row| row.latency_objective.0 as f64)
            .fold(f64::MAX, f64::min)
    }

    fn find_query(&self, wanted: impl Fn(&Query) -> bool) -> Option<RuleMatch> {
        self.queries
            .values()
            .find(|query| wanted(query))
            .map(|query| RuleMatch::of_query(query.id))
    }

    fn monitored_nodes(&self) -> impl Iterator<Item = &Node> {
        self.monitored.iter().filter_map(|id| self.nodes.get(id))
    }
}

/// Exponential smoothing: what was known moves towards a new figure by `weight` of the difference.
fn smooth(known: Option<f64>, new: f64, weight: f64) -> f64 {
    known.map_or(new, |known| known + (new - known) * weight)
}

/// Takes off entries from the front while they are old. The oldest stand first.
fn drop_old<T>(entries: &mut VecDeque<T>, is_old: impl Fn(&T) -> bool) {
    while entries.front().is_some_and(&is_old) {
        entries.pop_front();
    }
}
