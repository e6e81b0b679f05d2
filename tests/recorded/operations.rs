//! What happens to the fleet and to the router: faults, starts, drains, a lost watch, a second process.

use ternpick::types::*;

use super::fleet::Fault;
use super::player::{Event, Player};
use super::recorder::Recorder;

impl Player {
    /// The list or its loss, as an answer to a watch.
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

    /// Tells each process whose watch is up of one endpoint; now and then the watch breaks instead.
    fn announce(&mut self, node: NodeId) {
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
        let lasts = Micros(800_000 + self.random.below(3_000_000));
        match self.random.below(10) {
            0..=4 => {
                let faults = &self.scenario.faults;
                let fault = faults[self.random.below(faults.len() as u64) as usize];
                self.fleet.node(node).fault = fault;
                self.schedule(lasts, Event::Repair(node));
            }
            // A crash: back at once, or missed for a while.
            5 => self.node_starts(node),
            6 => {
                self.node_leaves(node);
                self.schedule(lasts, Event::Start(node));
            }
            7 => {
                self.fleet.node(node).endpoint.state = EndpointState::Draining;
                self.announce(node);
                self.schedule(Micros(600_000), Event::Leave(node));
                self.schedule(Micros(600_000) + lasts, Event::Start(node));
            }
            _ => {
                let state = EndpointState::Draining;
                self.schedule(Micros(0), Event::OperatorDrain { node, state });
                let state = EndpointState::Ready;
                self.schedule(lasts, Event::OperatorDrain { node, state });
            }
        }
    }

    pub(super) fn node_starts(&mut self, node: NodeId) {
        // Claims of another clock: mostly right, at times ahead or behind.
        let claimed = match self.random.below(4) {
            0 => self.now + Micros(3_000_000),
            1 => Micros(self.now.0 - 3_600_000_000),
            _ => Micros(self.now.0 - 20_000),
        };
        let of = self.fleet.node(node);
        of.fault = Fault::None;
        of.endpoint.state = EndpointState::Ready;
        of.endpoint.started_at = claimed;
        self.announce(node);
    }

    pub(super) fn node_leaves(&mut self, node: NodeId) {
        let of = self.fleet.node(node);
        of.fault = Fault::Down;
        of.endpoint.state = EndpointState::Gone;
        self.announce(node);
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

    /// Idle connections begin to be dropped silently, or are no longer.
    pub(super) fn connections_change(&mut self) {
        self.fleet.drops_idle_after = match self.fleet.drops_idle_after {
            None => Some(Micros(250_000)),
            Some(_) => None,
        };
        self.schedule(Micros(9_000_000), Event::ConnectionsChange);
    }

    pub(super) fn health_is_checked(&mut self, process: usize, node: NodeId) {
        let fault = self.fleet.node(node).fault;
        if fault != Fault::Down {
            let delay = Micros(1_000 + self.random.below(8_000));
            self.schedule(delay, Event::Health { process, node });
        }
    }

    pub(super) fn health_returns(&mut self, process: usize, node: NodeId) {
        let mut random = super::Random::of(&[self.now.0, node.0]);
        let metrics = &self.scenario.config.load_metrics;
        let report = self.fleet.report(node, metrics, &mut random);
        let details = format!("{} {report:?}", node.0);
        self.input(process, "health", &details, |engine, now, out| {
            engine.health_check_finished(now, node, &report, out);
        });
    }

    /// Takes down all that the engine believes, and what of it holds under other settings.
    pub(super) fn snapshot(&mut self) {
        let mut other = self.scenario.config.clone();
        other.groups_per_shard += 1;
        let list = self.fleet.endpoints();
        let mut digest = 0;
        self.input(self.active, "snapshot", "", |engine, now, _| {
            let beliefs = engine.snapshot(now);
            let mut reader = ternpick::routing::RoutingEngine::new(other, 1);
            reader.endpoints_changed(now, &list, true, &mut Recorder::default());
            let taken = reader.restore(now, &beliefs);
            let texts = [describe(&beliefs), describe(&reader.snapshot(now))];
            digest = super::hash(format!("{taken} {}", texts.join("\n")).as_bytes());
        });
        self.amend_step(&format!("{digest:016x}"));
    }

    /// Another process takes over; the present one finishes what it has. The first time it fails, and the
    /// present one goes on.
    pub(super) fn hot_restart(&mut self, succeeds: bool) {
        let old = self.active;
        let new = self.start_process();
        let beliefs = self.processes[old].engine.snapshot(self.now);
        self.watch_result(new);
        let mut taken = 0;
        self.input(new, "restore", "", |engine, now, _| {
            taken = engine.restore(now, &beliefs);
            engine.serve_share(3.0, true);
        });
        self.amend_step(&taken.to_string());
        self.input(old, "serve-share", "", |engine, _, _| {
            engine.serve_share(1.0, false);
        });
        self.active = new;
        let resumed = if succeeds { new } else { old };
        self.schedule(Micros(2_500_000), Event::ShareEnds { resumed });
    }

    pub(super) fn share_ends(&mut self, resumed: usize) {
        self.active = resumed;
        self.input(resumed, "serve-whole", "", |engine, _, _| {
            engine.serve_whole();
        });
    }

    pub(super) fn shut_down(&mut self) {
        let answers_by = self.now + Micros(400_000);
        self.input(
            self.active,
            "shutdown",
            &answers_by.0.to_string(),
            |engine, now, out| engine.shutdown_started(now, answers_by, out),
        );
    }
}

/// A snapshot to the last bit, without the names of its fields.
fn describe(of: &ternpick::routing::EngineSnapshot) -> String {
    let mut lines = Vec::new();
    for (id, node) in &of.nodes {
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
        (of.mean_cost_hint, &of.quota_left, &of.admitted)
    ));
    lines.push(format!(
        "{:?}",
        (
            &of.extra_attempts,
            of.last_node_failure,
            &of.queries_of_death
        )
    ));
    lines.push(format!("{:?}", (&of.settings, of.last_shed)));
    lines.join("\n")
}
