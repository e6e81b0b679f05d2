//! Sends and handles lease requests and replies, and finds the leader to which requests go.

use ternpick::types::Micros;

use super::FleetNode;
use crate::effects::Effect;
use crate::ids::Member;
use crate::lease_holder::LeaseEffect;
use crate::messages::{LastLeaderContact, LeaseReply, LeaseRequest, PeerMessage};

impl FleetNode {
    pub(super) fn handle_lease_request(
        &mut self,
        now: Micros,
        from: &Member,
        request: LeaseRequest,
    ) {
        match (&mut self.leadership, &self.state) {
            (Some(leadership), Some(state)) => {
                let actions = leadership.leader.handle_request(now, state, request);
                self.execute(actions);
            }
            _ => self.redirect(from),
        }
    }

    /// Answers that this router does not lead, and names the leader if it is neither this router nor the sender.
    pub(super) fn redirect(&mut self, from: &Member) {
        let leader = self
            .known_leader
            .clone()
            .filter(|member| *member != self.me && member != from);
        self.send(from, PeerMessage::NotLeader(leader));
    }

    pub(super) fn handle_lease_reply(&mut self, now: Micros, from: &Member, reply: LeaseReply) {
        if *from != self.me {
            self.known_leader = Some(from.clone());
        }
        for effect in self.lease_holder.handle_reply(now, reply) {
            match effect {
                LeaseEffect::Members(members) => self.members = members,
                effect => self.effects.push(Effect::Lease(effect)),
            }
        }
    }

    pub(super) fn handle_not_leader(&mut self, from: &Member, leader: Option<Member>) {
        let is_new = leader.is_some() && leader != self.known_leader;
        self.known_leader = leader.filter(|member| member != from && *member != self.me);
        if is_new {
            self.lease_holder.request_at_once();
        }
    }

    /// Drops an expired lease, and sends the next request if it is due.
    pub(super) fn renew_lease(&mut self, now: Micros) {
        if let Some(effect) = self.lease_holder.expire_lease(now) {
            self.effects.push(Effect::Lease(effect));
        }
        if self.lease_holder.is_awaiting_reply(now) && self.leadership.is_none() {
            self.known_leader = None;
        }
        let Some(mut request) = self.lease_holder.next_request(now) else {
            return;
        };
        request.last_leader_contact = self.last_leader_contact(now);
        if let Some(to) = self.leader_or_next_voter() {
            self.send(&to, PeerMessage::LeaseRequest(request));
        }
    }

    fn last_leader_contact(&self, now: Micros) -> Option<LastLeaderContact> {
        let replica = self.replica.as_ref()?;
        let term = replica.persisted_term();
        Some(LastLeaderContact {
            replica: replica.id(),
            term,
            ago_us: now.since(self.leader_contact.last_before(term)).0,
        })
    }

    /// Returns the leader if it is known; otherwise, in turn, the members that have a replica.
    pub(super) fn leader_or_next_voter(&mut self) -> Option<Member> {
        let known = self
            .known_leader
            .clone()
            .filter(|member| self.members.contains_key(member));
        if known.is_some() {
            return known;
        }
        let voters: Vec<&Member> = self
            .members
            .iter()
            .filter(|(_, info)| info.replica.is_some())
            .map(|(member, _)| member)
            .collect();
        self.next_voter += 1;
        voters
            .get(self.next_voter % voters.len().max(1))
            .map(|member| (*member).clone())
    }
}
