//! The volatile state of the fleet's leader: the latest report of each router, the leases that the leader granted, and
//! the next step of a proposal. All of it may be lost: a new leader collects the reports again, and waits until the
//! leases that earlier leaders granted have expired.
//!
//! [`crate::FleetNode`] creates a [`Leader`] when its replica becomes the leader, and drops it when the replica ceases
//! to be. The leader reads the replicated [`PolicyState`] and proposes entries; it never changes the state itself.

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

/// The time after which an entry that was not applied is proposed again, and a confirmation that was not received is
/// requested again.
const RETRY_AFTER: Micros = Micros(300_000);

/// An action for [`crate::FleetNode`]; actions are carried out in order.
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

/// The latest report of a router, taken from its lease request.
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
    /// `false` if the router cannot apply the policy in force.
    wants_lease: bool,
}

/// The term in which this router leads, and the voters of its election.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Election {
    term: u64,
    voters: Vec<ReplicaId>,
}

/// A requested confirmation of the leadership, and the lease requests to answer once it is received.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeadershipConfirmation {
    number: u64,
    requested_at: Micros,
    requests: BTreeMap<Member, WaitingRequest>,
}

/// Proposed entries, none of which is applied yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ProposedEntries {
    /// The index of the state for which they were proposed.
    state_index: Index,
    proposed_at: Micros,
}

/// A barrier whose beginning is proposed. The leader grants no lease until the state shows whether the barrier began: the
/// entry names members that certainly have no lease, and that must remain true.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ProposedBarrier {
    barrier: BarrierId,
    proposed_at: Micros,
}

/// A barrier in progress, as observed by this leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ObservedBarrier {
    barrier: BarrierId,
    /// When the leader first saw the barrier in the state.
    first_seen_at: Micros,
    /// The time from then until each member first reported that it has stopped admitting.
    stopped_after: BTreeMap<Member, Micros>,
}

/// The end of a barrier, as proposed by this leader.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ProposedBarrierEnd {
    barrier: BarrierId,
    /// The latest request of each member when the end was first proposed. The commit of the end confirms the leadership
    /// for these requests, as a read does: a majority has answered this leader after it received them.
    requests: BTreeMap<Member, WaitingRequest>,
}

/// The leader's volatile state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Leader {
    config: LeaseConfig,
    /// All leases that earlier leaders granted were requested before this time: the time at which this router became the
    /// leader, or an earlier one that follows from the voters' reports.
    earlier_leases_requested_before: Micros,
    election: Election,
    /// When each voter last accepted a message of an earlier leader.
    earlier_leader_contacts: BTreeMap<ReplicaId, Micros>,
    /// How long the leader remembers leases after their end.
    pub lease_retention: Micros,
    /// The latest report of each member.
    reports: BTreeMap<Member, MemberReport>,
    /// For each process, when the leader received the last request that got a lease. Entries are removed after the leases
    /// have expired.
    leases: BTreeMap<Process, Micros>,
    /// Requests to answer once the leadership is confirmed; at most one for each member.
    waiting_requests: BTreeMap<Member, WaitingRequest>,
    /// At most one at a time; it covers all requests that waited when it was requested.
    confirmation: Option<LeadershipConfirmation>,
    last_confirmation: u64,
    proposed: Option<ProposedEntries>,
    proposed_barrier: Option<ProposedBarrier>,
    /// Since when there are reported verdicts that are not proposed yet.
    verdicts_since: Option<Micros>,
    observed_barrier: Option<ObservedBarrier>,
    proposed_barrier_end: Option<ProposedBarrierEnd>,
    /// Members that did not stop admitting in time: they get no lease while a proposal is pending.
    late_members: BTreeSet<Member>,
    /// The index of the last change of the state that was pushed to the reachable routers.
    pushed_index: Index,
    /// A bug that tests inject and must find.
    #[cfg(any(test, feature = "planted"))]
    pub injected_bug: Option<InjectedLeaderBug>,
}

impl Leader {
    /// The leader of a router that learnt at `now` that it leads.
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

    /// Sets the term in which this router leads, and the voters, of which a majority elected it.
    pub fn set_election(&mut self, term: u64, voters: Vec<ReplicaId>) {
        self.election = Election { term, voters };
    }

    /// Handles a lease request.
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

    /// Whether a newer request, or the same one, of this process has been received already.
    fn is_outdated(&self, request: &LeaseRequest) -> bool {
        self.reports.get(&request.member).is_some_and(|known| {
            known.incarnation == request.incarnation && known.seq >= request.seq
        })
    }

    /// Handles the confirmation that this router still led when it requested the confirmation with this number. `state`
    /// must contain all entries that were committed by then.
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

    /// Takes the actions that are due. Must be called after each applied entry, and when [`Leader::next_deadline`] is
    /// reached.
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

    /// Sends a changed state to all reachable routers, so that they need not wait for the answer to their next request.
    /// At the end of a barrier, the replies also grant the lease requests in `requests`.
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

    /// Requests a confirmation that this router still leads, if lease requests wait for it and none is in flight.
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

    /// Whether the last request of the router is recent and the router did not stop too late for a barrier of this
    /// proposal.
    fn is_reachable(&self, now: Micros, member: &Member) -> bool {
        let recent_for = self.config.recent_contact_window();
        let is_recent = self
            .reports
            .get(member)
            .is_some_and(|report| now.since(report.received_at) < recent_for);
        is_recent && !self.late_members.contains(member)
    }
}
