//! This router's report to the coordinator: which machines are busy, unhealthy or serving load again, and how many
//! queries finish and fail.

use std::collections::{BTreeMap, VecDeque};

use ternpick::routing::RoutingEngine;
use ternpick::types::{Endpoint, EndpointState, Micros, Node};
use ternpick_maintenance::RouterReport;

use super::MaintenanceParticipant;
use crate::router::Decisions;
use crate::stages::completion::{Counts, EffectQueue};

/// The report's figures cover the time since the oldest of this many samples.
const MAX_SAMPLES: usize = 20;
/// The maximum number of unhealthy machines that a report names.
const MAX_UNHEALTHY_NAMES: usize = 64;
/// The minimum number of seconds over which a rate is computed.
const MIN_RATE_SECONDS: f64 = 0.1;

/// The router's counters at one point in time.
#[derive(Clone, Copy)]
struct Sample {
    sampled_at: Micros,
    /// Finished queries.
    finished: u64,
    /// Finished queries that were late, failed or rejected.
    failed: u64,
    /// Attempts that were sent to machines.
    attempts: u64,
}

impl Sample {
    fn new(sampled_at: Micros, counts: &Counts) -> Sample {
        Sample {
            sampled_at,
            finished: counts.satisfied + counts.rejected + counts.failed,
            failed: counts.late + counts.rejected + counts.failed,
            attempts: counts.attempts,
        }
    }
}

/// The counters at the last reports, oldest first; at most [`MAX_SAMPLES`].
#[derive(Default)]
pub(super) struct RecentCounts(VecDeque<Sample>);

/// The figures since the oldest sample.
struct RecentFigures {
    attempts_per_second: u32,
    finished: u32,
    failed: u32,
}

impl RecentCounts {
    fn add(&mut self, sample: Sample) -> RecentFigures {
        self.0.push_back(sample);
        if self.0.len() > MAX_SAMPLES {
            self.0.pop_front();
        }
        let oldest = self.0.front().copied().unwrap_or(sample);
        let seconds =
            (sample.sampled_at.since(oldest.sampled_at).0 as f64 / 1e6).max(MIN_RATE_SECONDS);
        RecentFigures {
            attempts_per_second: ((sample.attempts - oldest.attempts) as f64 / seconds) as u32,
            finished: (sample.finished - oldest.finished) as u32,
            failed: (sample.failed - oldest.failed) as u32,
        }
    }
}

/// This router's observations of machines, by name.
struct Machines<'a> {
    engine: &'a RoutingEngine,
    effects: &'a EffectQueue,
    /// Endpoints as discovery lists them.
    listed: &'a BTreeMap<String, Endpoint>,
    now: Micros,
}

impl Machines<'_> {
    fn node(&self, name: &str) -> Option<&Node> {
        let id = self.effects.nodes.id_of(name)?;
        self.engine.nodes.get(&id)
    }

    fn is_busy(&self, name: &str) -> bool {
        self.node(name)
            .is_some_and(|node| node.all_in_flight(self.now).next().is_some())
    }

    /// Uses the start by this router's own clock, because the start that discovery lists comes from another clock.
    fn is_warming_up(&self, node: &Node) -> bool {
        node.started.by_local_clock.0 != 0
            && self.now.since(node.started.by_local_clock) < self.engine.config.slow_start_duration
    }

    fn is_healthy(&self, name: &str) -> bool {
        let is_ready = self
            .listed
            .get(name)
            .is_some_and(|endpoint| endpoint.state == EndpointState::Ready);
        let is_suspected_or_warming_up = self
            .node(name)
            .is_some_and(|node| node.suspected_for.is_some() || self.is_warming_up(node));
        is_ready && !is_suspected_or_warming_up
    }

    /// Whether a machine has answered after the given time.
    fn has_answered_since(&self, name: &str, since: Micros) -> bool {
        self.node(name)
            .is_some_and(|node| node.latency_updated_at > since)
    }
}

impl MaintenanceParticipant {
    /// Makes the report of this router's current observations.
    pub(super) fn report(
        &self,
        decisions: &Decisions,
        listed: &BTreeMap<String, Endpoint>,
        now: Micros,
    ) -> RouterReport {
        let machines = Machines {
            engine: &decisions.engine,
            effects: &decisions.effects,
            listed,
            now,
        };
        let out = self.out.borrow();
        let busy = out.iter().filter(|name| machines.is_busy(name));
        let known = self.known.borrow();
        let unhealthy: Vec<&String> = known
            .keys()
            .filter(|name| !machines.is_healthy(name))
            .collect();
        let returning = self.returning_machines(&machines);
        let sample = Sample::new(now, &decisions.effects.counts);
        let figures = self.recent_counts.borrow_mut().add(sample);
        RouterReport {
            applied_index: self.applied_index.get(),
            busy: busy.cloned().collect(),
            unlisted_unhealthy: unhealthy.len().saturating_sub(MAX_UNHEALTHY_NAMES) as u32,
            unhealthy: unhealthy
                .into_iter()
                .take(MAX_UNHEALTHY_NAMES)
                .cloned()
                .collect(),
            serving: returning.serving,
            idle: returning.idle,
            requests_per_second: figures.attempts_per_second,
            answered: figures.finished,
            late: figures.failed,
        }
    }

    fn returning_machines(&self, machines: &Machines<'_>) -> ReturningMachines {
        let mut returning = ReturningMachines::default();
        for (name, since) in self.returning.borrow().iter() {
            if !machines.is_healthy(name) {
                continue;
            }
            if machines.has_answered_since(name, *since) {
                returning.serving.push(name.clone());
            } else if !machines.is_busy(name) {
                returning.idle.push(name.clone());
            }
        }
        returning
    }
}

/// Healthy machines that are returning to service.
#[derive(Default)]
struct ReturningMachines {
    /// Machines that have answered since they may be used again.
    serving: Vec<String>,
    /// Machines without an attempt in flight that have not answered yet.
    idle: Vec<String>,
}

/// Whether two reports differ in a field that the coordinator waits for. A change of figures alone does not count.
pub(super) fn differs(before: &RouterReport, after: &RouterReport) -> bool {
    before.applied_index != after.applied_index
        || before.busy != after.busy
        || before.unhealthy != after.unhealthy
        || before.serving != after.serving
}
