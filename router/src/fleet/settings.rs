//! Converts the settings `fleet` into the configuration of the fleet's state machines.

use std::collections::BTreeMap;

use ternpick_consensus::{FleetId, RaftConfig};
use ternpick_fleet_policy::{LeaseConfig, Member, MemberInfo, ReplicaId};

use crate::lifecycle::settings::FleetConfig;

#[cfg(test)]
mod tests;

/// Derives the fleet's id: the first eight bytes of the SHA-256 digest of its name.
pub(super) fn fleet_id(name: &str) -> FleetId {
    let digest = ring::digest::digest(&ring::digest::SHA256, name.as_bytes());
    let first_bytes = digest
        .as_ref()
        .first_chunk::<8>()
        .copied()
        .unwrap_or_default();
    FleetId(u64::from_le_bytes(first_bytes))
}

/// The configuration of leases.
pub(super) fn lease_config(settings: &FleetConfig) -> LeaseConfig {
    let serve_without_lease = settings.without_lease == "serve-and-mark";
    // Where a router may serve without a lease, queries wait only briefly for one and are then served without it.
    let default_wait_us = if serve_without_lease {
        LeaseConfig::default().max_admission_wait_us
    } else {
        LeaseConfig::UNLIMITED_ADMISSION_WAIT
    };
    LeaseConfig {
        lease_us: settings.lease_duration,
        renew_interval_us: settings.renew_interval,
        drift_ppm: settings.drift_ppm,
        max_admission_wait_us: settings.max_admission_wait.unwrap_or(default_wait_us),
        barrier_timeout_us: settings.barrier_timeout,
        serve_without_lease,
        confirmation_required: settings.confirmation_required,
    }
}

/// The configuration of consensus.
pub(super) fn raft_config(settings: &FleetConfig) -> RaftConfig {
    ternpick_fleet_policy::raft_config(settings.election_timeout)
}

/// The members at the fleet's bootstrap. Voters get replica ids from 1, in the order of their names.
pub(super) fn initial_members(settings: &FleetConfig) -> BTreeMap<Member, MemberInfo> {
    let mut members = BTreeMap::new();
    let mut last_replica = 0;
    for (name, member) in &settings.members {
        let replica = if member.is_voter {
            last_replica += 1;
            Some(ReplicaId(last_replica))
        } else {
            None
        };
        let info = MemberInfo {
            address: member.address.clone(),
            zone: member.zone.clone(),
            replica,
            is_learner: false,
        };
        members.insert(Member::from(name.as_str()), info);
    }
    members
}
