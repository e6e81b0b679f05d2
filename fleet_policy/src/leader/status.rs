//! The leader's information about the members, for operators and for the extension; and when the leader must be called
//! next.

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use ternpick::types::Micros;

use super::Leader;
use crate::extension::MemberContact;
use crate::ids::{Index, Member};
use crate::state_machine::PolicyState;

/// The interval between calls of the leader while a proposal, a confirmation or a lease request is pending.
const BUSY_TICK: Micros = Micros(10_000);

/// The status of a member as known to the leader.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member.
    pub member: Member,
    /// The time since its last request, in microseconds; `None` if this leader has received none.
    #[serde(serialize_with = "as_number", deserialize_with = "from_number")]
    pub since_last_contact: Option<Micros>,
    /// The log position up to which the member knows the policy state.
    pub known_index: Option<Index>,
    /// Whether its leases have certainly expired.
    pub lease_over: bool,
    /// Whether it accepts the pending proposal; `None` if there is no proposal.
    pub fits: Option<bool>,
    /// Whether it has stopped admitting for the barrier; `None` if no barrier is in progress.
    pub stopped: Option<bool>,
}

fn as_number<S: Serializer>(time: &Option<Micros>, serializer: S) -> Result<S::Ok, S::Error> {
    time.map(|micros| micros.0).serialize(serializer)
}

fn from_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<Micros>, D::Error> {
    let number: Option<u64> = Deserialize::deserialize(deserializer)?;
    Ok(number.map(Micros))
}

impl Leader {
    /// The status of each member, for operators.
    pub fn member_status(&self, now: Micros, state: &PolicyState) -> Vec<MemberStatus> {
        state
            .members
            .keys()
            .map(|member| self.status_of(now, state, member))
            .collect()
    }

    fn status_of(&self, now: Micros, state: &PolicyState, member: &Member) -> MemberStatus {
        let report = self.reports.get(member);
        let pending = state.proposal.as_ref();
        let in_barrier = pending.filter(|pending| pending.barrier.is_some());
        MemberStatus {
            member: member.clone(),
            since_last_contact: report.map(|report| now.since(report.received_at)),
            known_index: report.map(|report| report.index),
            lease_over: self.leases_expired(now, member, None),
            fits: pending.map(|pending| pending.accepted_by.contains(member)),
            stopped: in_barrier.map(|pending| self.has_paused(now, member, pending)),
        }
    }

    /// The information that the extension needs about each member, including those in `departed` that are no longer
    /// members.
    pub fn member_contacts(
        &self,
        now: Micros,
        state: &PolicyState,
        departed: &[Member],
    ) -> Vec<MemberContact> {
        let departed = departed
            .iter()
            .filter(|member| !state.members.contains_key(*member));
        state
            .members
            .keys()
            .chain(departed)
            .map(|member| self.contact_of(now, state, member))
            .collect()
    }

    fn contact_of(&self, now: Micros, state: &PolicyState, member: &Member) -> MemberContact {
        let report = self
            .reports
            .get(member)
            .filter(|_| state.members.contains_key(member));
        let expired = |except| self.leases_expired_for(now, member, except, self.lease_retention);
        MemberContact {
            member: member.clone(),
            report: report.map(|report| report.extension_report.clone()),
            is_recent: report.is_some() && self.is_reachable(now, member),
            only_one_process: report
                .is_some_and(|report| report.is_only_process || expired(Some(report.incarnation))),
            // With this setting a router also admits queries without a lease, at any time.
            all_leases_expired: !self.config.serve_without_lease && expired(None),
        }
    }

    /// The time from now until the leases of all unreachable members have certainly expired, plus the timeout of a first
    /// barrier.
    pub fn remaining_lease_bound(&self, now: Micros, state: &PolicyState) -> Micros {
        let latest_end = state
            .members
            .keys()
            .filter(|member| !self.is_reachable(now, member))
            .filter(|member| !self.leases_expired(now, member, None))
            .map(|member| self.latest_lease_end(member))
            .max();
        latest_end.map_or(Micros(0), |end| end.since(now)) + Micros(self.config.barrier_timeout_us)
    }

    /// When the last lease that this member may have has certainly expired.
    fn latest_lease_end(&self, member: &Member) -> Micros {
        let requested_at = self
            .leases
            .iter()
            .filter(|(process, _)| process.member == *member)
            .map(|(_, requested_at)| *requested_at)
            .max()
            .unwrap_or_default()
            .max(self.earlier_leases_requested_before);
        requested_at + self.config.certainly_expired_after()
    }

    /// When the leader must be called next even if it receives nothing.
    pub fn next_deadline(&self, now: Micros, state: &PolicyState) -> Micros {
        let is_busy = state.proposal.is_some()
            || self.confirmation.is_some()
            || !self.waiting_requests.is_empty();
        if is_busy {
            now + BUSY_TICK
        } else {
            now + Micros(self.config.renew_interval_us / 2)
        }
    }
}
