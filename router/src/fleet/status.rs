//! The fleet's state as this router knows it, for `ternpick status` and `ternpick fleet status`.

use serde_json::{json, Value};
use ternpick::routing::RoutingEngine;
use ternpick::types::{EndpointState, Micros};
use ternpick_fleet_policy::Admission;

use super::Fleet;

/// Counters of the batches exchanged with other routers, and of their bytes.
#[derive(Clone, Copy, Default)]
pub(super) struct Traffic {
    batches_sent: u64,
    bytes_sent: u64,
    batches_received: u64,
    bytes_received: u64,
}

impl Fleet {
    /// Counts a batch that another router has accepted.
    pub(super) fn count_sent(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.batches_sent += 1;
        traffic.bytes_sent += bytes as u64;
        self.traffic.set(traffic);
    }

    /// Counts a batch that this router has accepted.
    pub(super) fn count_received(&self, bytes: usize) {
        let mut traffic = self.traffic.get();
        traffic.batches_received += 1;
        traffic.bytes_received += bytes as u64;
        self.traffic.set(traffic);
    }

    /// Returns the fleet's state as JSON. Operators' scripts read the keys, so these must not change.
    pub(crate) fn status(&self, engine: &RoutingEngine, now: Micros) -> Value {
        let node = self.node.borrow();
        let lease_holder = &node.lease_holder;
        let view = lease_holder.view();
        let proposal = view.and_then(|view| view.proposal.as_ref()).map(|next| {
            json!({
                "number": next.document.number,
                "author": next.document.author,
                "takes_hold": next.barrier,
                "round": next.round,
                "unconfirmed": next.unconfirmed,
            })
        });
        let draining = engine
            .nodes
            .values()
            .filter(|node| node.endpoint.state == EndpointState::Draining)
            .count();
        let traffic = self.traffic.get();
        json!({
            "fleet": self.settings.name,
            "member": self.me,
            "version": lease_holder.version(),
            "author": view.map(|view| &view.in_force.author),
            "reason": view.map(|view| &view.in_force.reason),
            "epoch": view.map(|view| view.epoch),
            "knows_up_to": view.map(|view| view.index),
            "lease_left_ms": lease_holder.lease_left(now).map(|left| left.0 / 1000),
            "admission": describe_admission(lease_holder.admission(now)),
            "unfit": lease_holder.is_unfit(),
            "next": proposal,
            "leader": node.leader(),
            "leads": node.is_leader(),
            "seat": node.replica_status(),
            "seat_words": node.replica_error,
            "draining": draining,
            "parcels_out": traffic.batches_sent,
            "bytes_out": traffic.bytes_sent,
            "parcels_in": traffic.batches_received,
            "bytes_in": traffic.bytes_received,
        })
    }
}

fn describe_admission(admission: Admission) -> String {
    match admission {
        Admission::Leased(_) => "admits".to_owned(),
        Admission::Unguarded(_) => {
            "admits without a lease, and marks it: the rule is given up".to_owned()
        }
        Admission::Wait(_) => "waits while a change takes hold".to_owned(),
        Admission::Rejected { reason, .. } => format!("refuses: {}", reason.description()),
    }
}
