//! Events of the fleet and of the router: faults, node starts, drains, a lost endpoint watch, a hot restart.

use ternpick::types::*;

use super::fleet::Fault;
use super::player::{Event, Player};
use super::recorder::Recorder;

impl Player {
    /// Answers the engine's endpoint watch with the endpoint list or a failure.
    pub(super) fn watch_result(&mut self, process: usize) {
        if self.random.per_mille(self.scenario.watch_fails_per_mille) {
            return self.watch_fails(process);
        }
        self.processes[process].watch_is_up = true;
        let mut list = self.fleet.endpoints();
        list.retain(|endpoint| endpoint.state != EndpointState::Gone);
        let count = list.len().to_string();
        self.input(process, "endpoints full", &count, |engine, now, out| {
            engine.endpoints_changed(now, &list, true, out);
        });
    }

    fn watch_fails(&mut self, process: usize) {
        self.processes[process].watch_is_up = false;
        self.input(process, "watch-failed", "", |engine, now, out| {
            engine.endpoint_watch_failed(now, out);
        });
    }

    /// Sends an update of one endpoint to each process whose watch is up. Sometimes the watch fails instead.
    fn send_endpoint_update(&mut self, node: NodeId) {
        let endpoint = self.fleet.node(node).endpoint;
        for process in 0..self.processes.len() {
            if !self.processes[process].watch_is_up {
                continue;
            }
            if self
                .random
                .per_mille(self.scenario.watch_fails_per_mille / 3)
            {
                self.watch_fails(process);
                continue;
            }
            let details = format!("{} {:?}", node.0, endpoint.state);
            self.input(process, "endpoints update", &details, |engine, now, out| {
                engine.endpoints_changed(now, &[endpoint], false, out);
            });
        }
    }

    pub(super) fn fleet_change(&mut self) {
        let delay = Micros(500_000 + self.random.below(1_500_000));
        self.schedule(delay, Event::FleetChange);
        let node = NodeId(1 + self.random.below(self.scenario.nodes));
        let duration = Micros(800_000 + self.random.below(3_000_000));
        match self.random.below(10) {
            0..=4 => {
                let faults = &self.scenario.faults;
                let fault = faults[self.random.below(faults.len() as u64) as usize];
                self.fleet.node(node).fault = fault;
                self.schedule(duration, Event::Repair(node));
            }
            // A crash after which the node restarts at once.
            5 => self.node_starts(node),
            // A crash after which the node is gone for a while.
            6 => {
                self.node_leaves(node);
                self.schedule(duration, Event::Start(node));
            }
            7 => {
                self.fleet.node(node).endpoint.state = EndpointState::Draining;
                self.send_endpoint_update(node);
                self.schedule(Micros(600_000), Event::Leave(node));
                self.schedule(Micros(600_000) + duration, Event::Start(node));
            }
            _ => {
                let state = EndpointState::Draining;
                self.schedule(Micros(0), Event::OperatorDrain { node, state });
                let state = EndpointState::Ready;
                self.schedule(duration, Event::OperatorDrain { node, state });
            }
        }
    }

    pub(super) fn node_starts(&mut self, node: NodeId) {
        // The node's clock decides the start time that it reports: in half of the cases it is right, in the others it
        // is an hour behind or 3 s ahead.
        let reported_start = match self.random.below(4) {
            0 => self.now + Micros(3_000_000),
            1 => Micros(self.now.0 - 3_600_000_000),
            _ => Micros(self.now.0 - 20_000),
        };
        let state = self.fleet.node(node);
        state.fault = Fault::None;
        state.endpoint.state = EndpointState::Ready;
        state.endpoint.started_at = reported_start;
        self.send_endpoint_update(node);
    }

    pub(super) fn node_leaves(&mut self, node: NodeId) {
        let state = self.fleet.node(node);
        state.fault = Fault::Down;
        state.endpoint.state = EndpointState::Gone;
        self.send_endpoint_update(node);
    }

    pub(super) fn operator_drain(&mut self, node: NodeId, state: EndpointState) {
        let mut endpoint = self.fleet.node(node).endpoint;
        if endpoint.state != EndpointState::Ready {
            return;
        }
        endpoint.state = state;
        let details = format!("{} {state:?}", node.0);
        self.input(
            self.active,
            "drain-by-operator",
            &details,
            |engine, now, out| engine.operator_drains_changed(now, &[endpoint], out),
        );
    }

    /// Starts or stops the silent dropping of idle connections.
    pub(super) fn toggle_idle_drops(&mut self) {
        self.fleet.drops_idle_connections_after = match self.fleet.drops_idle_connections_after {
            None => Some(Micros(250_000)),
            Some(_) => None,
        };
        self.schedule(Micros(9_000_000), Event::ToggleIdleDrops);
    }

    pub(super) fn health_check_sent(&mut self, process: usize, node: NodeId) {
        let fault = self.fleet.node(node).fault;
        if fault != Fault::Down {
            let delay = Micros(1_000 + self.random.below(8_000));
            self.schedule(delay, Event::HealthCheckFinished { process, node });
        }
    }

    pub(super) fn health_check_finished(&mut self, process: usize, node: NodeId) {
        let mut random = super::Random::seeded_by(&[self.now.0, node.0]);
        let metrics = &self.scenario.config.load_metrics;
        let report = self.fleet.report(node, metrics, &mut random);
        let details = format!("{} {report:?}", node.0);
        self.input(process, "health", &details, |engine, now, out| {
            engine.health_check_finished(now, node, &report, out);
        });
    }

    /// Records the engine's snapshot, and the snapshot of an engine with other settings that has restored it.
    pub(super) fn snapshot(&mut self) {
        let mut other_config = self.scenario.config.clone();
        other_config.groups_per_shard += 1;
        let list = self.fleet.endpoints();
        let mut digest = 0;
        self.input(self.active, "snapshot", "", |engine, now, _| {
            let snapshot = engine.snapshot(now);
            let mut restored = ternpick::routing::RoutingEngine::new(other_config, 1);
            restored.endpoints_changed(now, &list, true, &mut Recorder::default());
            let restored_count = restored.restore(now, &snapshot);
            let texts = [describe(&snapshot), describe(&restored.snapshot(now))];
            digest = super::hash(format!("{restored_count} {}", texts.join("\n")).as_bytes());
        });
        self.amend_step(&format!("{digest:016x}"));
    }

    /// Starts a new process that takes new queries, while the old one finishes the queries that it has. Where
    /// `succeeds` is false, the old process takes new queries again when the shared time ends.
    pub(super) fn hot_restart(&mut self, succeeds: bool) {
        let old = self.active;
        let new = self.start_process();
        let snapshot = self.processes[old].engine.snapshot(self.now);
        self.watch_result(new);
        let mut restored_count = 0;
        self.input(new, "restore", "", |engine, now, _| {
            restored_count = engine.restore(now, &snapshot);
            engine.serve_share(3.0, true);
        });
        self.amend_step(&restored_count.to_string());
        self.input(old, "serve-share", "", |engine, _, _| {
            engine.serve_share(1.0, false);
        });
        self.active = new;
        let active = if succeeds { new } else { old };
        self.schedule(Micros(2_500_000), Event::CapacityShareEnds { active });
    }

    pub(super) fn capacity_share_ends(&mut self, active: usize) {
        self.active = active;
        self.input(active, "serve-whole", "", |engine, _, _| {
            engine.serve_whole();
        });
    }

    pub(super) fn shut_down(&mut self) {
        let answer_by = self.now + Micros(400_000);
        self.input(
            self.active,
            "shutdown",
            &answer_by.0.to_string(),
            |engine, now, out| engine.shutdown_started(now, answer_by, out),
        );
    }
}

/// The exact values of a snapshot without the names of its fields, so that a rename of a field changes no recording.
fn describe(snapshot: &ternpick::routing::EngineSnapshot) -> String {
    let mut lines = Vec::new();
    for (id, node) in &snapshot.nodes {
        lines.push(format!(
            "{:?}",
            (
                id,
                node.started,
                node.reported_load,
                node.max_reported_rate,
                node.latency,
                node.latency_age,
                &node.index_health,
                node.latency_per_request,
                node.suspected_for,
                &node.recent_sends,
                &node.in_flight
            )
        ));
    }
    lines.push(format!(
        "{:?}",
        (
            snapshot.mean_cost_hint,
            &snapshot.quota_left,
            &snapshot.admitted
        )
    ));
    lines.push(format!(
        "{:?}",
        (
            &snapshot.extra_attempts,
            snapshot.last_node_failure,
            &snapshot.queries_of_death
        )
    ));
    lines.push(format!("{:?}", (&snapshot.settings, snapshot.last_shed)));
    lines.join("\n")
}
