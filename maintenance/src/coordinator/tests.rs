//! Tests of the coordinator with scripted reports, in virtual time. Each entry is committed as soon as it is proposed.

mod commands;
mod model;
mod pause;
mod permits;
mod return_to_service;
mod routers;
mod take_out;

use super::contacts::unhealthy_machines;
use super::*;
use crate::disruption_budget::{Limits, Node};
use crate::ids::PermitNo;
use crate::router_report::RouterReport;

const SECOND_US: u64 = 1_000_000;

/// A coordinator with six machines in two shard sets of three.
fn coordinator() -> Coordinator {
    let config = MaintenanceConfig {
        limits: Limits {
            min_zone_share: 0.0,
            max_out_share: 1.0,
            ..Limits::default()
        },
        ..MaintenanceConfig::default()
    };
    let mut coordinator = Coordinator::new(config);
    let node = |number: u32| Node {
        name: format!("s{number}"),
        zone: 0,
        shard_sets: vec![number / 3],
        healthy: true,
        out_of_service: false,
    };
    coordinator.observe_cluster(
        ClusterView {
            nodes: (0..6).map(node).collect(),
            load: 0.0,
        },
        1000,
    );
    coordinator
}

fn request(machines: &[&str]) -> Request {
    let machines = machines.iter().map(|name| (*name).to_owned()).collect();
    Request {
        machines,
        requested_by: "ann".into(),
        duration_us: 60 * SECOND_US,
        ..Request::default()
    }
}

impl Coordinator {
    fn permit_of(&self, machine: &str) -> Option<PermitNo> {
        let found =
            self.state.operations.iter().find(|(key, operation)| {
                key.machine == machine && operation.phase.permit().is_some()
            });
        found.and_then(|(_, operation)| operation.phase.permit())
    }
}

fn contact(member: &str, report: &RouterReport) -> MemberContact {
    MemberContact {
        member: member.into(),
        report: Some(report.encode()),
        is_recent: true,
        only_one_process: true,
        all_leases_expired: false,
    }
}

/// A coordinator whose router is the leader, with the last log index and the virtual time.
struct Fleet {
    coordinator: Coordinator,
    log_index: u64,
    now_us: u64,
}

impl Fleet {
    fn with_request(machines: &[&str]) -> Fleet {
        let mut fleet = Fleet {
            coordinator: coordinator(),
            log_index: 0,
            now_us: 0,
        };
        fleet.commit(Entry::OpenRequest {
            request: request(machines),
        });
        fleet
    }

    fn commit(&mut self, entry: Entry) {
        self.log_index += 1;
        self.coordinator
            .apply(
                Index(self.log_index),
                &postcard::to_stdvec(&entry).expect("the entry is encoded"),
            )
            .expect("the entry is applied");
    }

    /// Advances the time by one second and commits all entries that the coordinator proposes.
    fn step(&mut self, contacts: &[MemberContact]) -> Vec<Entry> {
        self.now_us += SECOND_US;
        let (entries, _) =
            self.coordinator
                .next_entries(Micros(self.now_us), &"n0".into(), 1, contacts);
        let entries: Vec<Entry> = entries
            .iter()
            .map(|bytes| postcard::from_bytes(bytes).expect("an entry"))
            .collect();
        entries.iter().for_each(|entry| self.commit(entry.clone()));
        entries
    }

    fn run(&mut self, seconds: u64, contacts: &[MemberContact]) -> Vec<Entry> {
        (0..seconds).flat_map(|_| self.step(contacts)).collect()
    }

    fn machines_out(&self) -> Vec<String> {
        self.coordinator.state.machines_out()
    }
}

/// A report of a router that has applied the list of this log index, with all other values empty.
fn report_at(applied_index: u64) -> RouterReport {
    RouterReport {
        applied_index: Index(applied_index),
        ..RouterReport::default()
    }
}
