//! The leader's view of a barrier: which one is in progress, which members have stopped admitting for it, and which lease
//! requests its end grants.

use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::Micros;

use super::leases::WaitingRequest;
use super::{
    Leader, LeaderAction, MemberReport, ObservedBarrier, ProposedBarrier, ProposedBarrierEnd,
};
use crate::ids::Member;
use crate::injected_bug::InjectedLeaderBug;
use crate::messages::{BarrierId, LeaseRequest};
use crate::state_machine::{PendingProposal, PolicyState};

/// The maximum number of members that a log line about a barrier names.
const MAX_NAMED_MEMBERS: usize = 8;

/// Identifies the latest barrier of a proposal.
pub(super) fn barrier_of(pending: &PendingProposal) -> BarrierId {
    BarrierId {
        number: pending.document.number,
        round: pending.round,
    }
}

fn barrier_in_progress(state: &PolicyState) -> Option<BarrierId> {
    let pending = state.proposal.as_ref()?;
    pending.barrier.is_some().then(|| barrier_of(pending))
}

/// Whether a barrier that is over ended by `InForce` or `Resume` rather than by a withdrawal. A withdrawal may have been
/// proposed before the lease requests were received, so its commit does not confirm the leadership for them.
fn ended_as_proposed(state: &PolicyState, barrier: BarrierId) -> bool {
    let resumed = |pending: &PendingProposal| barrier_of(pending) == barrier;
    state.in_force.number == barrier.number || state.proposal.as_ref().is_some_and(resumed)
}

impl MemberReport {
    fn as_request(&self) -> WaitingRequest {
        WaitingRequest {
            incarnation: self.incarnation,
            seq: self.seq,
            received_at: self.received_at,
            wants_lease: self.wants_lease,
        }
    }
}

impl ObservedBarrier {
    /// Describes the barrier for the log: how long it lasted, and after which time each member had stopped, the latest
    /// first.
    fn description(&self, now: Micros) -> String {
        let BarrierId { number, round } = self.barrier;
        let lasted = now.since(self.first_seen_at).0 / 1000;
        let mut members: Vec<_> = self.stopped_after.iter().collect();
        members.sort_by_key(|(_, after)| std::cmp::Reverse(**after));
        let members: Vec<String> = members
            .iter()
            .take(MAX_NAMED_MEMBERS)
            .map(|(member, after)| format!("{member} {} ms", after.0 / 1000))
            .collect();
        let members = members.join(", ");
        format!("policy: barrier {round} of proposal {number} ended after {lasted} ms, members stopped after: {members}")
    }
}

impl Leader {
    /// Records when the barrier in progress was first seen, and logs how long a barrier lasted that has ended.
    pub(super) fn observe_barrier(
        &mut self,
        now: Micros,
        state: &PolicyState,
        actions: &mut Vec<LeaderAction>,
    ) {
        if state.proposal.is_none() {
            self.late_members.clear();
        }
        let current = barrier_in_progress(state);
        if self.observed_barrier.as_ref().map(|seen| seen.barrier) == current {
            return;
        }
        if let Some(ended) = self.observed_barrier.take() {
            actions.push(LeaderAction::Log(ended.description(now)));
        }
        self.observed_barrier = current.map(|barrier| ObservedBarrier {
            barrier,
            first_seen_at: now,
            stopped_after: BTreeMap::new(),
        });
    }

    /// Records the first report of a member that it has stopped admitting for the barrier in progress.
    pub(super) fn record_stopped(&mut self, now: Micros, request: &LeaseRequest) {
        let seen = self.observed_barrier.as_mut();
        let Some(seen) = seen.filter(|seen| request.paused_for == Some(seen.barrier)) else {
            return;
        };
        let after = now.since(seen.first_seen_at);
        seen.stopped_after
            .entry(request.member.clone())
            .or_insert(after);
    }

    /// Returns the lease requests to grant now because the barrier whose end this leader proposed is over.
    ///
    /// Otherwise each router would send a new request at the end of a barrier and wait until the leadership is confirmed
    /// for it: two further round trips during which no router admits queries.
    pub(super) fn requests_at_barrier_end(
        &mut self,
        state: &PolicyState,
    ) -> BTreeMap<Member, WaitingRequest> {
        let current = barrier_in_progress(state);
        let ended = self
            .proposed_barrier_end
            .take_if(|end| Some(end.barrier) != current)
            .filter(|end| ended_as_proposed(state, end.barrier));
        ended.map(|end| end.requests).unwrap_or_default()
    }

    /// Records that the end of a barrier is proposed, with the requests received so far. If the end is proposed again,
    /// the requests of the first proposal count: whichever of the entries is committed, a majority has answered after
    /// the first.
    pub(super) fn record_proposed_end(&mut self, barrier: BarrierId) {
        if self.proposed_barrier_end.as_ref().map(|end| end.barrier) == Some(barrier) {
            return;
        }
        let requests = self
            .reports
            .iter()
            .map(|(member, report)| (member.clone(), report.as_request()))
            .collect();
        self.proposed_barrier_end = Some(ProposedBarrierEnd { barrier, requests });
    }

    /// Drops the proposed barrier once the state shows that it began or can no longer begin.
    pub(super) fn clear_settled_barrier(&mut self, state: &PolicyState) {
        let is_open = |proposed: &ProposedBarrier| {
            let BarrierId { number, round } = proposed.barrier;
            let pending = state.proposal.as_ref();
            pending
                .is_some_and(|pending| pending.document.number == number && pending.round < round)
        };
        self.proposed_barrier.take_if(|proposed| !is_open(proposed));
    }

    /// Whether the latest report of a member holds for all its processes. During a hot restart two processes of a member
    /// may have leases: a report then counts for the member only once the other process's lease has certainly expired.
    pub(super) fn report_covers_all_processes(&self, now: Micros, member: &Member) -> bool {
        self.reports.get(member).is_none_or(|report| {
            report.is_only_process || self.leases_expired(now, member, Some(report.incarnation))
        })
    }

    /// Whether this member certainly admits no more queries during this barrier.
    pub(super) fn has_paused(
        &self,
        now: Micros,
        member: &Member,
        pending: &PendingProposal,
    ) -> bool {
        let barrier = Some(barrier_of(pending));
        match self.reports.get(member) {
            Some(report) if report.paused_for == barrier => {
                self.report_covers_all_processes(now, member)
            }
            _ => self.leases_expired(now, member, None),
        }
    }

    /// The members that may still admit queries during this barrier.
    pub(super) fn not_paused(
        &self,
        now: Micros,
        state: &PolicyState,
        pending: &PendingProposal,
        expired_members: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        if self.has_bug(InjectedLeaderBug::SkipsLeaseWait) {
            return BTreeSet::new();
        }
        state
            .members
            .keys()
            .filter(|member| !expired_members.contains(*member))
            .filter(|member| !self.has_paused(now, member, pending))
            .cloned()
            .collect()
    }
}
