//! The coordinator against scripted reports, in virtual time. Entries are agreed on as soon as they are proposed.

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

const S: u64 = 1_000_000;

/// Six machines in two sets of three.
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
    let node = |at: u32| Node {
        name: format!("s{at}"),
        zone: 0,
        shard_sets: vec![at / 3],
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
        duration_us: 60 * S,
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

/// A coordinator whose router leads, with the log index and the time in microseconds.
struct Fleet {
    coordinator: Coordinator,
    at: u64,
    now: u64,
}

impl Fleet {
    fn with_request(machines: &[&str]) -> Fleet {
        let mut fleet = Fleet {
            coordinator: coordinator(),
            at: 0,
            now: 0,
        };
        fleet.commit(Entry::OpenRequest {
            request: request(machines),
        });
        fleet
    }

    fn commit(&mut self, entry: Entry) {
        self.at += 1;
        self.coordinator
            .apply(Index(self.at), &postcard::to_stdvec(&entry).expect("bytes"))
            .expect("it fits");
    }

    /// A second passes; what was proposed is committed.
    fn step(&mut self, contacts: &[MemberContact]) -> Vec<Entry> {
        self.now += S;
        let (entries, _) =
            self.coordinator
                .next_entries(Micros(self.now), &"n0".into(), 1, contacts);
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

    fn out(&self) -> Vec<String> {
        self.coordinator.state.machines_out()
    }
}

/// A report of a router that applies the list of this log index, and has nothing else to say.
fn report_at(applied_index: u64) -> RouterReport {
    RouterReport {
        applied_index: Index(applied_index),
        ..RouterReport::default()
    }
}
