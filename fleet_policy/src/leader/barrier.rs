//! A barrier as the leader follows it: which one is in progress, who has stopped admitting for it, and whose requests its end
//! grants.

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

/// Members that a log line on a barrier names at most.
const MAX_NAMED_MEMBERS: usize = 8;

/// The latest barrier of a proposal.
pub(super) fn barrier_of(next: &PendingProposal) -> BarrierId {
    BarrierId {
        number: next.document.number,
        round: next.round,
    }
}

fn barrier_in_progress(state: &PolicyState) -> Option<BarrierId> {
    let next = state.proposal.as_ref()?;
    next.barrier.is_some().then(|| barrier_of(next))
}

/// Whether a barrier that is over ended by [`Entry::InForce`] or [`Entry::Resume`], rather than by a withdrawal, which may
/// have been proposed before requests that came.
fn ended_as_proposed(state: &PolicyState, barrier: BarrierId) -> bool {
    let resumed = |next: &PendingProposal| barrier_of(next) == barrier;
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
    /// For the log: how long it lasted, and after how long each member had stopped, the latest first.
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
        format!("policy: round {round} of proposal {number} is over after {lasted} ms, stopped after: {members}")
    }
}

impl Leader {
    /// Notes when the barrier that is in progress was first seen, and logs how long one lasted that is over.
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

    /// Notes the first report of a member that it has stopped admitting for the barrier in progress.
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

    /// Requests to be granted now, because the barrier is over whose end this leader has proposed.
    ///
    /// Without it each router asked anew at the end of a barrier, and waited until the leadership was confirmed for that:
    /// two further round trips in which nobody admitted.
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

    /// Notes that the end of a barrier is proposed. Of an end that is proposed again the first time counts: whichever is
    /// committed, a majority answers after it.
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

    /// The state tells what has become of the barrier whose beginning was proposed.
    pub(super) fn clear_settled_barrier(&mut self, state: &PolicyState) {
        let is_open = |proposed: &ProposedBarrier| {
            let BarrierId { number, round } = proposed.barrier;
            let next = state.proposal.as_ref();
            next.is_some_and(|next| next.document.number == number && next.round < round)
        };
        self.proposed_barrier.take_if(|proposed| !is_open(proposed));
    }

    /// During a hot restart two processes of a member may have leases: a report counts for the member only once the other
    /// process's lease has certainly expired.
    pub(super) fn report_covers_all_processes(&self, now: Micros, member: &Member) -> bool {
        self.reports.get(member).is_none_or(|report| {
            report.is_only_process || self.leases_expired(now, member, Some(report.incarnation))
        })
    }

    /// Whether this member certainly admits nothing more during this barrier.
    pub(super) fn has_paused(&self, now: Micros, member: &Member, next: &PendingProposal) -> bool {
        let barrier = Some(barrier_of(next));
        match self.reports.get(member) {
            Some(report) if report.paused_for == barrier => {
                self.report_covers_all_processes(now, member)
            }
            _ => self.leases_expired(now, member, None),
        }
    }

    pub(super) fn not_paused(
        &self,
        now: Micros,
        state: &PolicyState,
        next: &PendingProposal,
        expired_members: &BTreeSet<Member>,
    ) -> BTreeSet<Member> {
        if self.has_bug(InjectedLeaderBug::SkipsLeaseWait) {
            return BTreeSet::new();
        }
        state
            .members
            .keys()
            .filter(|member| !expired_members.contains(*member))
            .filter(|member| !self.has_paused(now, member, next))
            .cloned()
            .collect()
    }
}
