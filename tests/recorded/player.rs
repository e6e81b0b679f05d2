//! Plays a scenario: inputs from a seeded source and from the made-up fleet's answers go to the engine, one
//! a step. A second process takes over in the middle where the scenario says so.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

use super::fleet::{Fault, Fleet};
use super::recorder::{Effect, Recorder};
use super::scenario::Scenario;
use super::workload::{ModelQuery, QuerySpec};
use super::Random;

const BEGIN: Micros = Micros(1_000_000_000_000);
/// Steps between two snapshots.
const SNAPSHOT_STEPS: usize = 150;

pub(crate) struct Recording {
    pub(crate) steps: Vec<String>,
    pub(crate) action_kinds: BTreeSet<String>,
    pub(crate) input_kinds: BTreeSet<String>,
    pub(crate) log_forms: BTreeSet<String>,
}

/// One router process: its engine and what that did.
pub(super) struct Process {
    pub(super) engine: RoutingEngine,
    pub(super) recorder: Recorder,
    pub(super) watch_is_up: bool,
}

pub(super) type AttemptKey = (usize, ShardRequestId, AttemptNo);

#[derive(Clone, Copy, Debug)]
pub(super) struct Return {
    pub(super) process: usize,
    pub(super) request: ShardRequestId,
    pub(super) attempt: AttemptNo,
    pub(super) node: NodeId,
    pub(super) sent_at: Micros,
    pub(super) outcome: AttemptOutcome,
}

#[derive(Clone, Debug)]
pub(super) enum Event {
    NextQuery,
    ClientRetry(QuerySpec),
    SecondPhase(QueryId),
    ClientLeaves(QueryId),
    Return(Return),
    Health { process: usize, node: NodeId },
    Timer { process: usize },
    WatchResult { process: usize },
    FleetChange,
    Repair(NodeId),
    Start(NodeId),
    Leave(NodeId),
    OperatorDrain { node: NodeId, state: EndpointState },
    ConnectionsChange,
    ShareEnds { resumed: usize },
}

pub(super) struct Player {
    pub(super) scenario: Scenario,
    pub(super) random: Random,
    pub(super) fleet: Fleet,
    pub(super) processes: Vec<Process>,
    /// The process that takes new queries.
    pub(super) active: usize,
    pub(super) now: Micros,
    pub(super) queries: BTreeMap<QueryId, ModelQuery>,
    /// The query of each request.
    pub(super) requests: BTreeMap<ShardRequestId, QueryId>,
    pub(super) next_id: u64,
    queue: BTreeMap<(Micros, u64), Event>,
    next_event: u64,
    in_flight: BTreeMap<AttemptKey, (Micros, u64)>,
    steps: Vec<String>,
    input_kinds: BTreeSet<String>,
}

/// Plays a scenario from its beginning to its last step.
pub(crate) fn play(scenario: &Scenario) -> Recording {
    let mut player = Player::new(scenario.clone());
    player.begin();
    let (steps, restarts) = (scenario.steps, scenario.hot_restart);
    let mut done = 0;
    while player.steps.len() < steps {
        // What the number of steps brings about, once each.
        let stage = player.steps.len();
        for at in done..stage {
            if at > 0 && at % SNAPSHOT_STEPS == 0 {
                player.snapshot();
            }
            if restarts && (at == steps / 3 || at == steps / 2) {
                player.hot_restart(at == steps / 2);
            }
            if at == steps - 300 {
                player.shut_down();
            }
        }
        done = stage.max(done);
        if !player.play_next() {
            break;
        }
    }
    player.finish()
}

impl Player {
    fn new(scenario: Scenario) -> Player {
        let groups = scenario.config.shard_group_count;
        let mut fleet = Fleet::new(scenario.nodes, groups, scenario.zones, scenario.service_us);
        fleet.unsent_per_mille = scenario.unsent_per_mille;
        let mut player = Player {
            random: Random::new(scenario.seed),
            fleet,
            processes: Vec::new(),
            active: 0,
            now: BEGIN,
            queries: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_id: 0,
            queue: BTreeMap::new(),
            next_event: 0,
            in_flight: BTreeMap::new(),
            steps: Vec::new(),
            input_kinds: BTreeSet::new(),
            scenario,
        };
        player.start_process();
        player
    }

    fn begin(&mut self) {
        self.schedule(Micros(0), Event::Timer { process: 0 });
        if !self.scenario.config.discovery_is_polled {
            self.schedule(Micros(5_000), Event::WatchResult { process: 0 });
        }
        self.schedule(Micros(100_000), Event::NextQuery);
        self.schedule(Micros(900_000), Event::FleetChange);
        if self.scenario.drops_idle {
            self.schedule(Micros(4_000_000), Event::ConnectionsChange);
        }
    }

    /// Adds a process; returns its number.
    pub(super) fn start_process(&mut self) -> usize {
        let number = self.processes.len();
        let config = self.scenario.config.clone();
        self.processes.push(Process {
            engine: RoutingEngine::new(config, self.scenario.seed + number as u64),
            recorder: Recorder::default(),
            watch_is_up: false,
        });
        number
    }

    pub(super) fn schedule(&mut self, delay: Micros, event: Event) -> (Micros, u64) {
        self.next_event += 1;
        let key = (self.now + delay, self.next_event);
        self.queue.insert(key, event);
        key
    }

    fn play_next(&mut self) -> bool {
        let Some(((at, _), event)) = self.queue.pop_first() else {
            return false;
        };
        self.now = at;
        match event {
            Event::NextQuery => self.next_query(),
            Event::ClientRetry(spec) => self.send_query(spec),
            Event::SecondPhase(query) => self.second_phase(query),
            Event::ClientLeaves(query) => self.client_leaves(query),
            Event::Return(attempt) => self.attempt_returns(attempt),
            Event::Health { process, node } => self.health_returns(process, node),
            Event::Timer { process } => self.timer(process),
            Event::WatchResult { process } => self.watch_result(process),
            Event::FleetChange => self.fleet_change(),
            Event::Repair(node) => self.fleet.node(node).fault = Fault::None,
            Event::Start(node) => self.node_starts(node),
            Event::Leave(node) => self.node_leaves(node),
            Event::OperatorDrain { node, state } => self.operator_drain(node, state),
            Event::ConnectionsChange => self.connections_change(),
            Event::ShareEnds { resumed } => self.share_ends(resumed),
        }
        true
    }

    /// One step: one input to one process, and all that it leads to.
    pub(super) fn input(
        &mut self,
        process: usize,
        kind: &str,
        details: &str,
        call: impl FnOnce(&mut RoutingEngine, Micros, &mut dyn Actions),
    ) {
        let of = &mut self.processes[process];
        of.recorder.line = format!("{} p{process} {kind} {details}", self.now.since(BEGIN).0);
        call(&mut of.engine, self.now, &mut of.recorder);
        self.steps.push(std::mem::take(&mut of.recorder.line));
        let effects = std::mem::take(&mut of.recorder.effects);
        self.input_kinds.insert(kind.to_owned());
        for effect in effects {
            self.follow(process, effect);
        }
    }

    /// Adds what was found out in a step to its line.
    pub(super) fn amend_step(&mut self, text: &str) {
        let line = self.steps.last_mut().expect("a step was played");
        line.push_str(text);
    }

    fn follow(&mut self, process: usize, effect: Effect) {
        match effect {
            Effect::Sent {
                request,
                attempt,
                node,
                limit,
            } => self.attempt_is_sent((process, request, attempt), node, limit),
            Effect::Cancelled { request, attempt } => {
                self.attempt_is_cancelled((process, request, attempt));
            }
            Effect::Answered(query) => self.query_is_answered(query),
            Effect::Refused { query, retry_after } => self.query_is_refused(query, retry_after),
            Effect::HealthCheck(node) => self.health_is_checked(process, node),
            Effect::Watch => {
                let delay = Micros(2_000 + self.random.below(40_000));
                self.schedule(delay, Event::WatchResult { process });
            }
            Effect::Timer(delay) => {
                self.schedule(delay, Event::Timer { process });
            }
        }
    }

    fn timer(&mut self, process: usize) {
        self.input(process, "timer", "", |engine, now, out| {
            engine.timer_fired(now, TimerId(0), out);
        });
    }

    fn attempt_is_sent(&mut self, key: AttemptKey, node: NodeId, limit: Micros) {
        let (process, request, attempt) = key;
        let query = &self.queries[&self.requests[&request]];
        let (index, deadly) = (query.spec.index, query.spec.deadly);
        let seed = self.scenario.seed;
        let mut random = Random::of(&[seed, request.0, attempt.0.into(), node.0]);
        let ending = self
            .fleet
            .send(self.now, node, index, deadly, limit, &mut random);
        let returns = Event::Return(Return {
            process,
            request,
            attempt,
            node,
            sent_at: self.now,
            outcome: ending.outcome,
        });
        let event = self.schedule(ending.delay, returns);
        self.in_flight.insert(key, event);
    }

    fn attempt_is_cancelled(&mut self, key: AttemptKey) {
        let pending = self.in_flight.get(&key).copied();
        if let Some(Event::Return(mut returns)) = pending.and_then(|at| self.queue.remove(&at)) {
            returns.outcome = AttemptOutcome::Cancelled;
            let event = self.schedule(Micros(200), Event::Return(returns));
            self.in_flight.insert(key, event);
        }
    }

    fn attempt_returns(&mut self, attempt: Return) {
        let Return {
            process,
            request,
            attempt: number,
            node,
            sent_at,
            outcome,
        } = attempt;
        self.in_flight.remove(&(process, request, number));
        self.fleet.node(node).load -= 1;
        if outcome == AttemptOutcome::Satisfied {
            self.request_is_answered(request);
        }
        let config = &self.scenario.config;
        let mut report = Vec::new();
        let reports = config.load_reporting == LoadReporting::InAnswers;
        if reports && outcome == AttemptOutcome::Satisfied {
            let mut random = Random::of(&[request.0, number.0.into()]);
            report = self.fleet.report(node, &config.load_metrics, &mut random);
        }
        let lag = self.now.since(sent_at);
        let details = format!("{}.{} from {} after {}", request.0, number.0, node.0, lag.0);
        let kind = format!("return {outcome:?}");
        self.input(process, &kind, &details, |engine, now, out| {
            engine.attempt_finished(now, request, number, node, lag, outcome, &report, out);
        });
    }

    fn finish(self) -> Recording {
        let mut action_kinds = BTreeSet::new();
        let mut log_forms = BTreeSet::new();
        for process in self.processes {
            action_kinds.extend(process.recorder.kinds);
            log_forms.extend(process.recorder.log_forms);
        }
        Recording {
            steps: self.steps,
            action_kinds,
            input_kinds: self.input_kinds,
            log_forms,
        }
    }
}
