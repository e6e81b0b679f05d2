//! The routing engine, which makes all decisions of a query router.
//!
//! The router calls a method of [`RoutingEngine`] for each event: a query and its shard requests, the end of an
//! attempt, the answer to a health check, an endpoint list, a client that disconnects, a timer. Each method
//! updates state and then calls [`RoutingEngine::run_rules`], which applies [`RULES`] until none applies. The
//! engine acts only through [`Actions`]: it does no I/O, reads no clock, and its only randomness is a seeded
//! source. `docs/design.md` gives the reasons.
//!
//! Each mechanism has its own file:
//!
//! | file | decides |
//! | --- | --- |
//! | `endpoints` | when the watch of the endpoint list is renewed; how draining and gone nodes are treated |
//! | `partial_response` | when a query gets a complete or partial response, and when it gets none |
//! | `idle_connections` | whether connections that have been idle are used |
//! | `admission` | whether a query is admitted or shed |
//! | `placement` | which node gets each shard request (EC-Store's cost model) |
//! | `query_of_death` | which queries crash nodes; which node gets a canary request while nodes fail |
//! | `retry` | retries, hedged requests and the retry budget |
//! | `outlier_detection` | the expected latency of each node, and which nodes are suspected |
//! | `slow_start` | how much a node that has just started may be sent |
//! | `health_check` | when a node is asked for its load report |
//! | `statistics` | fleet-wide figures that single nodes are compared with |
//! | `inputs`, `attempts` | how queries, shard requests and attempts begin and end |
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

/// The smoothing weight of a new load report or answer: a few answers determine the result.
const FAST_SMOOTHING: f64 = 0.3;
/// The smoothing weight for figures that change slowly: the mean cost hint and the loss rate of idle connections.
const SLOW_SMOOTHING: f64 = FAST_SMOOTHING * FAST_SMOOTHING;
/// The minimum time between two runs of the rules that are triggered only by the timer.
const TICK: Micros = Micros(10_000);

/// The decision module of one router process.
#[derive(Default)]
pub struct RoutingEngine {
    /// The current settings. A change applies to queries received after it.
    pub config: PlatformConfig,
    /// The state of each node. When an endpoint list arrives, nodes that are gone and have nothing in flight are
    /// removed.
    pub nodes: BTreeMap<NodeId, Node>,
    /// The queries in flight; each is removed when it ends.
    pub queries: BTreeMap<QueryId, Query>,
    rng: RandomSource,
    now: Micros,
    /// When the first endpoint list arrived.
    first_list_at: Option<Micros>,
    /// When the last endpoint list arrived.
    last_list_at: Option<Micros>,
    /// When the watch of the endpoint list is renewed, if it is not active.
    next_watch_at: Option<Micros>,
    watch_is_lost: bool,
    /// The time by which all queries end, once the process is shutting down.
    shutdown_answers_by: Option<Micros>,
    timer_is_set: bool,
    /// Whether inputs are recorded without a decision, see [`RoutingEngine::defer_decisions`].
    decisions_deferred: bool,
    /// The nodes of each shard group, rebuilt with each endpoint list.
    shard_groups: BTreeMap<ShardGroupNo, Vec<NodeId>>,
    /// The nodes whose suspicion may change, that may need a health check, or whose idle connections were used.
    monitored: BTreeSet<NodeId>,
    statistics: FleetStatistics,
    /// Whether the inputs of the statistics have changed, so that they are recomputed before the rules run.
    statistics_are_stale: bool,
    /// The smoothed cost hint of a shard request, in microseconds.
    mean_cost_hint: Option<f64>,
    /// The remaining quota of each customer; one entry for each configured quota.
    quota_left: Vec<QuotaLeft>,
    /// When the last query was shed, while load shedding is active.
    last_shed: Option<Micros>,
    /// The times at which queries and shard requests were admitted within the retry budget's window; old entries are
    /// removed.
    admitted: VecDeque<Micros>,
    /// The times at which retries and hedged requests were sent within that window; old entries are removed.
    extra_attempts: VecDeque<Micros>,
    /// The settings of the whole retry budget, while this process uses a share of it.
    saved_budget: Option<SavedBudget>,
    /// When a node last failed, according to its connections or the endpoint list.
    last_node_failure: Option<Micros>,
    /// The known queries of death, by which their client retries are recognized. The number is bounded. Expired
    /// entries are removed when another query ends without an answer.
    queries_of_death: VecDeque<KnownQueryOfDeath>,
    /// The smoothed share of attempts on idle connections that were lost.
    idle_loss_rate: f64,
    /// The time since which idle connections are not used.
    idle_distrusted_since: Option<Micros>,
}

/// The subject that a rule's condition has found. The rule's action reads the fields that its condition sets.
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

/// A condition and the action that is taken when it holds.
struct Rule {
    condition: fn(&RoutingEngine) -> Option<RuleMatch>,
    action: fn(&mut RoutingEngine, RuleMatch, &mut dyn Actions),
}

/// The rules in order of precedence. After each rule that applies, evaluation starts again with the first.
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
    /// Creates an engine without any nodes. The same seed and inputs give the same decisions.
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

    /// Handles a timer that was set through [`Actions::set_timer`].
    pub fn timer_fired(&mut self, now: Micros, _timer: TimerId, out: &mut dyn Actions) {
        self.now = now;
        self.timer_is_set = false;
        self.stop_monitoring_idle_nodes();
        self.run_rules(out);
    }

    /// From now on inputs are only recorded, until [`RoutingEngine::resume_decisions`].
    ///
    /// A router that was held up finds answers that arrived meanwhile, one after another. If it decided after the first
    /// of them, the nodes of all others would seem late: it would suspect them, retry what is answered, and time out
    /// queries that are complete.
    pub fn defer_decisions(&mut self) {
        self.decisions_deferred = true;
    }

    /// Whether inputs are only recorded.
    pub fn defers_decisions(&self) -> bool {
        self.decisions_deferred
    }

    /// Decides on all inputs recorded since [`RoutingEngine::defer_decisions`].
    pub fn resume_decisions(&mut self, now: Micros, out: &mut dyn Actions) {
        self.now = now;
        self.decisions_deferred = false;
        self.run_rules(out);
    }

    fn stop_monitoring_idle_nodes(&mut self) {
        let now = self.now;
        let retention_us = self.shortest_objective_us();
        let nodes = &self.nodes;
        let has_in_flight = |node: &Node| node.all_in_flight(now).next().is_some();
        let must_monitor = |node: &Node| {
            node.suspected_for.is_some()
                || has_in_flight(node)
                || now.since(node.latency_updated_at).0 as f64 <= retention_us
        };
        self.monitored
            .retain(|id| nodes.get(id).is_some_and(must_monitor));
    }

    /// Applies the rules until none applies, then sets a timer if the passage of time alone can make one apply.
    fn run_rules(&mut self, out: &mut dyn Actions) {
        if self.decisions_deferred {
            return;
        }
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

    /// The interval at which the timer makes the rules run.
    fn tick(&self) -> Micros {
        TICK.max(self.config.tick)
    }

    /// Whether a time is at most two ticks away, too soon to wait for another tick.
    fn is_soon(&self, at: Micros) -> bool {
        self.now + self.tick().times(2.0) >= at
    }

    /// Returns the shortest latency objective, in microseconds. What is known about a node is retained for about
    /// this long without an answer.
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

/// Exponential smoothing: moves the known value towards a new one by `weight` of the difference.
fn smooth(known: Option<f64>, new: f64, weight: f64) -> f64 {
    known.map_or(new, |known| known + (new - known) * weight)
}

/// Removes old entries from the front of a queue in which the oldest come first.
fn drop_old<T>(entries: &mut VecDeque<T>, is_old: impl Fn(&T) -> bool) {
    while entries.front().is_some_and(&is_old) {
        entries.pop_front();
    }
}
