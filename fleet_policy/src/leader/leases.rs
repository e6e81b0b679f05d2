//! Which leases may still be valid, and which requests are granted. A member whose leases have certainly expired admits
//! no queries: a proposal can come into force without waiting for it.

use std::collections::BTreeMap;

use ternpick::types::Micros;

use super::{Leader, LeaderAction};
use crate::ids::{Incarnation, Index, Member, Seq};
use crate::injected_bug::InjectedLeaderBug;
use crate::messages::{LastLeaderContact, LeaseGrant, LeaseReply, View};
use crate::state_machine::PolicyState;

/// The maximum number of processes of one member that may have a lease at the same time; a further one gets none before
/// another one's lease has expired.
const MAX_PROCESSES_PER_MEMBER: usize = 8;

/// One process of a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct Process {
    pub(super) member: Member,
    pub(super) incarnation: Incarnation,
}

/// A lease request that is answered once the leadership is confirmed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct WaitingRequest {
    pub(super) incarnation: Incarnation,
    pub(super) seq: Seq,
    pub(super) received_at: Micros,
    /// `false` if the router cannot apply the policy in force.
    pub(super) wants_lease: bool,
}

impl Leader {
    /// Records when a voter last accepted a message of an earlier leader, and derives when the leases of earlier leaders
    /// were requested at the latest. An earlier leader cannot have granted a lease that was requested after a majority
    /// of the voters had last accepted its messages: one of those voters would have had to confirm its leadership.
    ///
    /// Without this bound, if two routers fell silent and one of them was the leader, a change waited for the election
    /// as well as for the leases.
    pub(super) fn record_earlier_leader_contact(
        &mut self,
        now: Micros,
        contact: LastLeaderContact,
    ) {
        if contact.term != self.election.term || !self.election.voters.contains(&contact.replica) {
            return;
        }
        let ago = self.config.min_elapsed_on_own_clock(contact.ago_us);
        let last = Micros(now.0.saturating_sub(ago.0));
        self.earlier_leader_contacts
            .entry(contact.replica)
            .and_modify(|known| *known = last.min(*known))
            .or_insert(last);
        let mut times: Vec<Micros> = self.earlier_leader_contacts.values().copied().collect();
        times.sort_unstable();
        let majority = if self.has_bug(InjectedLeaderBug::TrustsOneVoter) {
            0
        } else {
            self.election.voters.len() / 2
        };
        if let Some(time) = times.get(majority) {
            self.earlier_leases_requested_before = self.earlier_leases_requested_before.min(*time);
        }
    }

    /// Whether no lease of this member, granted by any leader, can still be valid, except for leases of the process
    /// `except`.
    pub(super) fn leases_expired(
        &self,
        now: Micros,
        member: &Member,
        except: Option<Incarnation>,
    ) -> bool {
        self.leases_expired_for(now, member, except, Micros(0))
    }

    /// Like [`Leader::leases_expired`], but additionally no lease may have been valid within the last `span`.
    pub(super) fn leases_expired_for(
        &self,
        now: Micros,
        member: &Member,
        except: Option<Incarnation>,
        span: Micros,
    ) -> bool {
        if self.has_bug(InjectedLeaderBug::SkipsLeaseWait) {
            return true;
        }
        let span = self.config.certainly_expired_after() + span;
        let own_expired = self
            .leases
            .iter()
            .filter(|(process, _)| process.member == *member)
            .filter(|(process, _)| Some(process.incarnation) != except)
            .all(|(_, requested_at)| now > *requested_at + span);
        let earlier_expired = now > self.earlier_leases_requested_before + span
            || self.has_bug(InjectedLeaderBug::IgnoresEarlierLeases);
        own_expired && earlier_expired
    }

    /// Answers the requests for which the leadership is confirmed.
    pub(super) fn answer_requests(
        &mut self,
        now: Micros,
        state: &PolicyState,
        requests: BTreeMap<Member, WaitingRequest>,
    ) -> Vec<LeaderAction> {
        let remembered_for = self.config.certainly_expired_after() + self.lease_retention;
        self.leases
            .retain(|_, requested_at| now <= *requested_at + remembered_for);
        let mut actions = Vec::new();
        for (member, request) in requests {
            let grant = self.grant(state, &member, &request);
            let reply = self.reply_to(state, &member, grant);
            actions.push(LeaderAction::Reply(member, Box::new(reply)));
        }
        actions
    }

    /// Grants a lease to the process that sent the request, if it may have one.
    pub(super) fn grant(
        &mut self,
        state: &PolicyState,
        member: &Member,
        request: &WaitingRequest,
    ) -> Option<LeaseGrant> {
        let process = Process {
            member: member.clone(),
            incarnation: request.incarnation,
        };
        if !request.wants_lease || !self.may_have_lease(state, &process) {
            return None;
        }
        self.leases.insert(process, request.received_at);
        Some(LeaseGrant {
            incarnation: request.incarnation,
            seq: request.seq,
            epoch: state.epoch,
            version: state.in_force.number,
        })
    }

    /// Whether a process may get a lease. No process gets one during a barrier, or while the beginning of one is
    /// proposed; while a proposal is checked, only processes of members that accept it do.
    fn may_have_lease(&self, state: &PolicyState, process: &Process) -> bool {
        let member = &process.member;
        let knows_extension = self
            .reports
            .get(member)
            .is_some_and(|report| report.machines_out_at >= state.machines_out_at);
        if !knows_extension || !state.members.contains_key(member) {
            return false;
        }
        if self.proposed_barrier.is_some() {
            return false;
        }
        if !self.leases.contains_key(process)
            && self.processes_of(member) >= MAX_PROCESSES_PER_MEMBER
        {
            return false;
        }
        state.proposal.as_ref().is_none_or(|pending| {
            pending.barrier.is_none()
                && pending.accepted_by.contains(member)
                && !self.late_members.contains(member)
        })
    }

    fn processes_of(&self, member: &Member) -> usize {
        self.leases
            .keys()
            .filter(|process| process.member == *member)
            .count()
    }

    /// Creates a reply; it omits the view and the members if the router already knows them.
    pub(super) fn reply_to(
        &self,
        state: &PolicyState,
        member: &Member,
        grant: Option<LeaseGrant>,
    ) -> LeaseReply {
        let report = self.reports.get(member);
        let known_index = report.map_or(Index(0), |report| report.index);
        let known_members_at = report.map_or(Index(0), |report| report.members_at);
        LeaseReply {
            view: (known_index < state.changed_at).then(|| View::of(state)),
            members: (known_members_at < state.members_at).then(|| state.members.clone()),
            grant,
            not_a_member: false,
        }
    }
}
