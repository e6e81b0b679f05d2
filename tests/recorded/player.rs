//! Plays a scenario: each step passes one input to the engine, either generated from the scenario's seed or an answer
//! of the simulated fleet. Scenarios with a hot restart have two of them, the first of which fails.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::actions::Actions;
use ternpick::routing::RoutingEngine;
use ternpick::types::*;

use super::fleet::{Fault, Fleet};
use super::recorder::{Effect, Recorder};
use super::scenario::Scenario;
use super::workload::{QuerySpec, QueryState};
use super::Random;

const START_TIME: Micros = Micros(1_000_000_000_000);
/// Steps between two snapshots of the engine.
const SNAPSHOT_INTERVAL_STEPS: usize = 150;

/// What the engine was given and what it did while a scenario was played.
pub(crate) struct Recording {
    /// A line for each step: the input and the actions that it led to.
    pub(crate) steps: Vec<String>,
    pub(crate) action_kinds: BTreeSet<String>,
    pub(crate) input_kinds: BTreeSet<String>,
    pub(crate) log_templates: BTreeSet<String>,
}

/// One router process: its engine and the recorder of the engine's actions.
pub(super) struct Process {
    pub(super) engine: RoutingEngine,
    pub(super) recorder: Recorder,
    pub(super) watch_is_up: bool,
}

/// An attempt of a process.
pub(super) type AttemptKey = (usize, ShardRequestId, AttemptNo);

/// The end of an attempt, as the engine gets it.
#[derive(Clone, Copy, Debug)]
pub(super) struct FinishedAttempt {
    pub(super) process: usize,
    pub(super) request: ShardRequestId,
    pub(super) attempt: AttemptNo,
    pub(super) node: NodeId,
    pub(super) sent_at: Micros,
    pub(super) outcome: AttemptOutcome,
}

/// A scheduled event.
#[derive(Clone, Debug)]
pub(super) enum Event {
    NextQuery,
    ClientRetry(QuerySpec),
    SecondPhase(QueryId),
    ClientLeaves(QueryId),
    AttemptFinished(FinishedAttempt),
    HealthCheckFinished {
        process: usize,
        node: NodeId,
    },
    Timer {
        process: usize,
    },
    WatchResult {
        process: usize,
    },
    FleetChange,
    Repair(NodeId),
    Start(NodeId),
    Leave(NodeId),
    OperatorDrain {
        node: NodeId,
        state: EndpointState,
    },
    ToggleIdleDrops,
    /// The two processes of a hot restart share the capacity no longer; `active` takes new queries.
    CapacityShareEnds {
        active: usize,
    },
}

pub(super) struct Player {
    pub(super) scenario: Scenario,
    pub(super) random: Random,
    pub(super) fleet: Fleet,
    pub(super) processes: Vec<Process>,
    /// The number of the process that takes new queries.
    pub(super) active: usize,
    pub(super) now: Micros,
    pub(super) queries: BTreeMap<QueryId, QueryState>,
    /// The query of each request.
    pub(super) requests: BTreeMap<ShardRequestId, QueryId>,
    pub(super) next_id: u64,
    /// Scheduled events by their time and number.
    event_queue: BTreeMap<(Micros, u64), Event>,
    last_event_number: u64,
    /// Attempts in flight, with the key of their end in the event queue.
    in_flight: BTreeMap<AttemptKey, (Micros, u64)>,
    steps: Vec<String>,
    input_kinds: BTreeSet<String>,
}

/// Plays a scenario from its beginning to its last step.
pub(crate) fn play(scenario: &Scenario) -> Recording {
    let mut player = Player::new(scenario.clone());
    player.schedule_first_events();
    let (step_count, has_restarts) = (scenario.steps, scenario.hot_restart);
    let mut next_step = 0;
    while player.steps.len() < step_count {
        // Snapshots, hot restarts and the shutdown come after fixed numbers of steps, each once.
        let steps_played = player.steps.len();
        for step in next_step..steps_played {
            if step > 0 && step % SNAPSHOT_INTERVAL_STEPS == 0 {
                player.snapshot();
            }
            if has_restarts && (step == step_count / 3 || step == step_count / 2) {
                player.hot_restart(step == step_count / 2);
            }
            if step == step_count - 300 {
                player.shut_down();
            }
        }
        next_step = steps_played.max(next_step);
        if !player.play_next_event() {
            break;
        }
    }
    player.finish()
}

impl Player {
    fn new(scenario: Scenario) -> Player {
        let groups = scenario.config.shard_group_count;
        let mut fleet = Fleet::new(
            scenario.nodes,
            groups,
            scenario.zones,
            scenario.mean_service_us,
        );
        fleet.unsent_per_mille = scenario.unsent_per_mille;
        let mut player = Player {
            random: Random::new(scenario.seed),
            fleet,
            processes: Vec::new(),
            active: 0,
            now: START_TIME,
            queries: BTreeMap::new(),
            requests: BTreeMap::new(),
            next_id: 0,
            event_queue: BTreeMap::new(),
            last_event_number: 0,
            in_flight: BTreeMap::new(),
            steps: Vec::new(),
            input_kinds: BTreeSet::new(),
            scenario,
        };
        player.start_process();
        player
    }

    fn schedule_first_events(&mut self) {
        self.schedule(Micros(0), Event::Timer { process: 0 });
        if !self.scenario.config.discovery_is_polled {
            self.schedule(Micros(5_000), Event::WatchResult { process: 0 });
        }
        self.schedule(Micros(100_000), Event::NextQuery);
        self.schedule(Micros(900_000), Event::FleetChange);
        if self.scenario.drops_idle_connections {
            self.schedule(Micros(4_000_000), Event::ToggleIdleDrops);
        }
    }

    /// Starts a process and returns its number.
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

    /// Schedules an event and returns its key in the event queue.
    pub(super) fn schedule(&mut self, delay: Micros, event: Event) -> (Micros, u64) {
        self.last_event_number += 1;
        let key = (self.now + delay, self.last_event_number);
        self.event_queue.insert(key, event);
        key
    }

    /// Plays the next scheduled event; false if there is none.
    fn play_next_event(&mut self) -> bool {
        let Some(((time, _), event)) = self.event_queue.pop_first() else {
            return false;
        };
        self.now = time;
        match event {
            Event::NextQuery => self.next_query(),
            Event::ClientRetry(spec) => self.send_query(spec),
            Event::SecondPhase(query) => self.second_phase(query),
            Event::ClientLeaves(query) => self.client_leaves(query),
            Event::AttemptFinished(finished) => self.attempt_finished(finished),
            Event::HealthCheckFinished { process, node } => {
                self.health_check_finished(process, node)
            }
            Event::Timer { process } => self.timer(process),
            Event::WatchResult { process } => self.watch_result(process),
            Event::FleetChange => self.fleet_change(),
            Event::Repair(node) => self.fleet.node(node).fault = Fault::None,
            Event::Start(node) => self.node_starts(node),
            Event::Leave(node) => self.node_leaves(node),
            Event::OperatorDrain { node, state } => self.operator_drain(node, state),
            Event::ToggleIdleDrops => self.toggle_idle_drops(),
            Event::CapacityShareEnds { active } => self.capacity_share_ends(active),
        }
        true
    }

    /// Plays one step: passes an input to the engine of a process, and carries out the actions that it leads to.
    pub(super) fn input(
        &mut self,
        process: usize,
        kind: &str,
        details: &str,
        call: impl FnOnce(&mut RoutingEngine, Micros, &mut dyn Actions),
    ) {
        let state = &mut self.processes[process];
        state.recorder.step_line = format!(
            "{} p{process} {kind} {details}",
            self.now.since(START_TIME).0
        );
        call(&mut state.engine, self.now, &mut state.recorder);
        self.steps
            .push(std::mem::take(&mut state.recorder.step_line));
        let effects = std::mem::take(&mut state.recorder.effects);
        self.input_kinds.insert(kind.to_owned());
        for effect in effects {
            self.apply_effect(process, effect);
        }
    }

    /// Appends text to the line of the last step.
    pub(super) fn amend_step(&mut self, text: &str) {
        let line = self.steps.last_mut().expect("no step was played");
        line.push_str(text);
    }

    fn apply_effect(&mut self, process: usize, effect: Effect) {
        match effect {
            Effect::Sent {
                request,
                attempt,
                node,
                time_limit,
            } => self.attempt_sent((process, request, attempt), node, time_limit),
            Effect::Cancelled { request, attempt } => {
                self.attempt_cancelled((process, request, attempt));
            }
            Effect::Answered(query) => self.query_answered(query),
            Effect::EndedWithoutAnswer { query, retry_after } => {
                self.query_ended_without_answer(query, retry_after)
            }
            Effect::HealthCheck(node) => self.health_check_sent(process, node),
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

    fn attempt_sent(&mut self, key: AttemptKey, node: NodeId, time_limit: Micros) {
        let (process, request, attempt) = key;
        let query = &self.queries[&self.requests[&request]];
        let (index, is_query_of_death) = (query.spec.index, query.spec.is_query_of_death);
        let seed = self.scenario.seed;
        let mut random = Random::seeded_by(&[seed, request.0, attempt.0.into(), node.0]);
        let end = self.fleet.send(
            self.now,
            node,
            index,
            is_query_of_death,
            time_limit,
            &mut random,
        );
        let event = Event::AttemptFinished(FinishedAttempt {
            process,
            request,
            attempt,
            node,
            sent_at: self.now,
            outcome: end.outcome,
        });
        let event_key = self.schedule(end.delay, event);
        self.in_flight.insert(key, event_key);
    }

    fn attempt_cancelled(&mut self, key: AttemptKey) {
        let event_key = self.in_flight.get(&key).copied();
        let event = event_key.and_then(|event_key| self.event_queue.remove(&event_key));
        if let Some(Event::AttemptFinished(mut finished)) = event {
            finished.outcome = AttemptOutcome::Cancelled;
            let event_key = self.schedule(Micros(200), Event::AttemptFinished(finished));
            self.in_flight.insert(key, event_key);
        }
    }

    fn attempt_finished(&mut self, finished: FinishedAttempt) {
        let FinishedAttempt {
            process,
            request,
            attempt: number,
            node,
            sent_at,
            outcome,
        } = finished;
        self.in_flight.remove(&(process, request, number));
        self.fleet.node(node).load -= 1;
        if outcome == AttemptOutcome::Satisfied {
            self.request_answered(request);
        }
        let config = &self.scenario.config;
        let mut load_report = Vec::new();
        let reports_in_answers = config.load_reporting == LoadReporting::InAnswers;
        if reports_in_answers && outcome == AttemptOutcome::Satisfied {
            let mut random = Random::seeded_by(&[request.0, number.0.into()]);
            load_report = self.fleet.report(node, &config.load_metrics, &mut random);
        }
        let latency = self.now.since(sent_at);
        let details = format!(
            "{}.{} from {} after {}",
            request.0, number.0, node.0, latency.0
        );
        let kind = format!("return {outcome:?}");
        self.input(process, &kind, &details, |engine, now, out| {
            engine.attempt_finished(
                now,
                request,
                number,
                node,
                latency,
                outcome,
                &load_report,
                out,
            );
        });
    }

    fn finish(self) -> Recording {
        let mut action_kinds = BTreeSet::new();
        let mut log_templates = BTreeSet::new();
        for process in self.processes {
            action_kinds.extend(process.recorder.action_kinds);
            log_templates.extend(process.recorder.log_templates);
        }
        Recording {
            steps: self.steps,
            action_kinds,
            input_kinds: self.input_kinds,
            log_templates,
        }
    }
}
