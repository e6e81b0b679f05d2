//! What the leader of the fleet keeps while it leads: what each router last reported, which leases it granted, and which
//! step of a proposal comes next. All of it may be lost: a new leader learns it anew, and waits until the leases that
//! earlier leaders granted have expired.
//!
//! [`crate::FleetNode`] creates one when its replica becomes the leader, and drops it when it no longer is. The leader reads
//! the replicated [`PolicyState`] and proposes entries; it never changes the state itself.

mod barrier;
mod leases;
mod proposal;
mod status;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use ternpick::types::Micros;

pub use status::MemberStatus;

use crate::ids::{Incarnation, Index, Member, ReplicaId, Seq};
use crate::injected_bug::InjectedLeaderBug;
use crate::lease_config::LeaseConfig;
use crate::messages::{BarrierId, LeaseReply, LeaseRequest, ProposalVerdict};
use crate::state_machine::{Entry, PolicyState};
use leases::{Process, WaitingRequest};

/// How long an entry or a confirmation may be in flight before it is proposed or requested again.
const RETRY_AFTER: Micros = Micros(300_000);

/// What the driver is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum LeaderAction {
    /// Propose an entry.
    Propose(Entry),
    /// Confirm that this router still leads, then call [`Leader::leadership_confirmed`] with this number.
    ConfirmLeadership(u64),
    /// Send a reply to a router.
    Reply(Member, Box<LeaseReply>),
    /// Write a line to the log.
    Log(String),
}

/// The latest report of a router, from its lease request.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct MemberReport {
    incarnation: Incarnation,
    seq: Seq,
    received_at: Micros,
    verdict: Option<ProposalVerdict>,
    paused_for: Option<BarrierId>,
    is_only_process: bool,
    index: Index,
    members_at: Index,
    machines_out_at: Index,
    extension_report: Vec<u8>,
    /// Not where it cannot use the policy in force.
    wants_lease: bool,
}

/// The term in which this router leads, and who voted then.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Election {
    term: u64,
    voters: Vec<ReplicaId>,
}

/// A confirmation of the leadership that is in flight, and the requests that it is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeadershipConfirmation {
    number: u64,
    requested_at: Micros,
    requests: BTreeMap<Member, WaitingRequest>,
}

/// Entries that are proposed, of which none is applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ProposedEntries {
    /// The state for which they were proposed.
    state_index: Index,
    proposed_at: Micros,
}

/// A barrier whose beginning is proposed. From then on no lease is granted, until the state tells what has become of it: the
/// entry names members that certainly have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ProposedBarrier {
    barrier: BarrierId,
    proposed_at: Micros,
}

/// A barrier, as this leader sees it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedBarrier {
    barrier: BarrierId,
    /// When the leader first saw the barrier in the state.
    first_seen_at: Micros,
    /// How long after that each member's report came that it has stopped admitting.
    stopped_after: BTreeMap<Member, Micros>,
}

/// The end of a barrier that this leader has proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProposedBarrierEnd {
    barrier: BarrierId,
    /// The latest request of each member when the end was first proposed. That the end is committed confirms the leadership
    /// for them as a read does: a majority has answered this leader after they came.
    requests: BTreeMap<Member, WaitingRequest>,
}

/// The leader's volatile state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    config: LeaseConfig,
    /// Leases that earlier leaders granted were requested before this: when this router became the leader, or earlier, as
    /// its voters report.
    earlier_leases_requested_before: Micros,
    election: Election,
    /// When each voter last accepted a message of an earlier leader.
    earlier_leader_contacts: BTreeMap<ReplicaId, Micros>,
    /// How long after their end leases are remembered.
    pub lease_retention: Micros,
    /// One entry for each member.
    reports: BTreeMap<Member, MemberReport>,
    /// When the last request that got a lease was received, by process; emptied as leases expire.
    leases: BTreeMap<Process, Micros>,
    /// Requests to be answered once the leadership is confirmed; one for each member.
    waiting_requests: BTreeMap<Member, WaitingRequest>,
    /// One at a time covers all requests that wait.
    confirmation: Option<LeadershipConfirmation>,
    last_confirmation: u64,
    proposed: Option<ProposedEntries>,
    proposed_barrier: Option<ProposedBarrier>,
    /// Since when verdicts have been reported that are not proposed yet.
    verdicts_since: Option<Micros>,
    observed_barrier: Option<ObservedBarrier>,
    proposed_barrier_end: Option<ProposedBarrierEnd>,
    /// Members that did not stop admitting in time: they get no lease before the proposal is settled.
    late_members: BTreeSet<Member>,
    /// The state that was last pushed to all.
    pushed_index: Index,
    /// A fault that tests must catch.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedLeaderBug>,
}

impl Leader {
    /// This router leads, and has learnt so at `now`.
    pub fn new(config: LeaseConfig, now: Micros, state: &PolicyState) -> Leader {
        Leader {
            config,
            earlier_leases_requested_before: now,
            election: Election::default(),
            earlier_leader_contacts: BTreeMap::new(),
            lease_retention: Micros(0),
            reports: BTreeMap::new(),
            leases: BTreeMap::new(),
            waiting_requests: BTreeMap::new(),
            confirmation: None,
            last_confirmation: 0,
            proposed: None,
            proposed_barrier: None,
            verdicts_since: None,
            observed_barrier: None,
            proposed_barrier_end: None,
            late_members: BTreeSet::new(),
            pushed_index: state.changed_at,
            #[cfg(any(test, feature = "planted"))]
            injected_bug: None,
        }
    }

    /// It leads in this term by the votes of a majority of these voters.
    pub fn elected(&mut self, term: u64, voters: Vec<ReplicaId>) {
        self.election = Election { term, voters };
    }

    /// A lease request has come.
    pub fn handle_request(
        &mut self,
        now: Micros,
        state: &PolicyState,
        request: LeaseRequest,
    ) -> Vec<LeaderAction> {
        if !state.members.contains_key(&request.member) {
            let reply = LeaseReply {
                not_a_member: true,
                ..LeaseReply::default()
            };
            return vec![LeaderAction::Reply(request.member, Box::new(reply))];
        }
        if self.is_outdated(&request) {
            return Vec::new();
        }
        if let Some(contact) = request.last_leader_contact {
            self.record_earlier_leader_contact(now, contact);
        }
        self.waiting_requests.insert(
            request.member.clone(),
            WaitingRequest {
                incarnation: request.incarnation,
                seq: request.seq,
                received_at: now,
                wants_lease: request.unfit.is_none(),
            },
        );
        self.record_stopped(now, &request);
        self.reports.insert(
            request.member,
            MemberReport {
                incarnation: request.incarnation,
                seq: request.seq,
                received_at: now,
                verdict: request.verdict,
                paused_for: request.paused_for,
                is_only_process: request.is_only_process,
                index: request.index,
                members_at: request.members_at,
                machines_out_at: request.machines_out_at,
                extension_report: request.extension_report,
                wants_lease: request.unfit.is_none(),
            },
        );
        self.tick(now, state)
    }

    /// A request that came late, or twice, says less than what is known.
    fn is_outdated(&self, request: &LeaseRequest) -> bool {
        self.reports.get(&request.member).is_some_and(|known| {
            known.incarnation == request.incarnation && known.seq >= request.seq
        })
    }

    /// This router still led when the confirmation with this number was requested, and `state` is at least as new as that.
    pub fn leadership_confirmed(
        &mut self,
        now: Micros,
        state: &PolicyState,
        number: u64,
    ) -> Vec<LeaderAction> {
        let confirmed = self
            .confirmation
            .take_if(|confirmation| confirmation.number == number);
        let Some(confirmed) = confirmed else {
            return Vec::new();
        };
        let mut actions = self.answer_requests(now, state, confirmed.requests);
        actions.extend(self.tick(now, state));
        actions
    }

    /// Does what is due. To be called after each entry that was applied, and every few milliseconds.
    pub fn tick(&mut self, now: Micros, state: &PolicyState) -> Vec<LeaderAction> {
        let mut actions = Vec::new();
        self.proposed.take_if(|proposed| {
            proposed.state_index < state.index || now.since(proposed.proposed_at) > RETRY_AFTER
        });
        self.clear_settled_barrier(state);
        let requests = self.requests_at_barrier_end(state);
        self.observe_barrier(now, state, &mut actions);
        self.propose_next_step(now, state, &mut actions);
        self.push_view(now, state, &requests, &mut actions);
        self.confirm_leadership(now, state, &mut actions);
        actions
    }

    /// Sends a changed state to all routers that are reachable, so that none waits for its own next request. At the end of a
    /// barrier `requests` are granted with it.
    fn push_view(
        &mut self,
        now: Micros,
        state: &PolicyState,
        requests: &BTreeMap<Member, WaitingRequest>,
        actions: &mut Vec<LeaderAction>,
    ) {
        if self.pushed_index >= state.changed_at {
            return;
        }
        self.pushed_index = state.changed_at;
        let reachable: Vec<Member> = self
            .reports
            .keys()
            .filter(|member| self.is_reachable(now, member))
            .cloned()
            .collect();
        for member in reachable {
            let request = requests.get(&member);
            let grant = request.and_then(|request| self.grant(state, &member, request));
            let reply = self.reply_to(state, &member, grant);
            if reply.view.is_some() {
                actions.push(LeaderAction::Reply(member, Box::new(reply)));
            }
        }
    }

    /// Before a lease is granted this router confirms that it still leads.
    fn confirm_leadership(
        &mut self,
        now: Micros,
        state: &PolicyState,
        actions: &mut Vec<LeaderAction>,
    ) {
        self.confirmation
            .take_if(|confirmation| now.since(confirmation.requested_at) > RETRY_AFTER);
        if self.confirmation.is_some() || self.waiting_requests.is_empty() {
            return;
        }
        let requests = std::mem::take(&mut self.waiting_requests);
        if self.has_bug(InjectedLeaderBug::SkipsConfirmation) {
            actions.extend(self.answer_requests(now, state, requests));
            return;
        }
        self.last_confirmation += 1;
        self.confirmation = Some(LeadershipConfirmation {
            number: self.last_confirmation,
            requested_at: now,
            requests,
        });
        actions.push(LeaderAction::ConfirmLeadership(self.last_confirmation));
    }

    /// A router whose last request is recent, unless it did not stop for a barrier in time.
    fn is_reachable(&self, now: Micros, member: &Member) -> bool {
        let recent_for = self.config.recent_contact_window();
        let is_recent = self
            .reports
            .get(member)
            .is_some_and(|report| now.since(report.received_at) < recent_for);
        is_recent && !self.late_members.contains(member)
    }
}
