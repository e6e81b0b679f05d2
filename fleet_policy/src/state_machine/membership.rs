//! The members of the fleet, and which of them have a replica.

use serde::{Deserialize, Serialize};

use super::outcome::CommandRefused;
use super::{Outcome, PolicyState, MAX_MEMBERS, MAX_SHORT_TEXT_BYTES};
use crate::ids::{Member, ReplicaId};

/// A router that belongs to the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The address at which other routers reach it.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its replica of the log, if it has one.
    pub replica: Option<ReplicaId>,
    /// Whether the replica is a learner: it has never voted and still has to catch up.
    pub is_learner: bool,
}

impl PolicyState {
    /// Members change only outside a barrier, so that the set of members that have to stop admitting stays the same
    /// during a barrier.
    fn members_may_change(&self) -> Result<(), CommandRefused> {
        if self.in_barrier() {
            return Err(CommandRefused::BarrierInProgress);
        }
        Ok(())
    }

    pub(super) fn add_member(
        &mut self,
        member: Member,
        address: String,
        zone: String,
    ) -> Result<Outcome, CommandRefused> {
        self.members_may_change()?;
        if self.members.len() >= MAX_MEMBERS
            || member.0.is_empty()
            || member.0.len() + address.len() + zone.len() > MAX_SHORT_TEXT_BYTES
        {
            return Err(CommandRefused::InvalidMember);
        }
        let known = self.members.get(&member);
        let info = MemberInfo {
            address,
            zone,
            replica: known.and_then(|known| known.replica),
            is_learner: known.is_some_and(|known| known.is_learner),
        };
        self.departed_members.remove(&member);
        self.members.insert(member, info);
        self.members_at = self.index;
        Ok(Outcome::Done)
    }

    pub(super) fn remove_member(&mut self, member: Member) -> Result<Outcome, CommandRefused> {
        self.members_may_change()?;
        let Some(info) = self.members.get(&member) else {
            return Err(CommandRefused::NotMember { member });
        };
        if info.replica.is_some() {
            return Err(CommandRefused::HasReplica { member });
        }
        self.members.remove(&member);
        if let Some(pending) = &mut self.proposal {
            pending.accepted_by.remove(&member);
        }
        self.departed_members.insert(member);
        self.members_at = self.index;
        Ok(Outcome::Done)
    }

    pub(super) fn assign_replica(&mut self, member: Member) -> Result<Outcome, CommandRefused> {
        let replica = ReplicaId(self.last_replica_id.0 + 1);
        let Some(info) = self.members.get_mut(&member) else {
            return Err(CommandRefused::NotMember { member });
        };
        info.replica = Some(replica);
        info.is_learner = true;
        self.last_replica_id = replica;
        self.members_at = self.index;
        Ok(Outcome::ReplicaAssigned(replica))
    }

    pub(super) fn promote_learner(&mut self, replica: ReplicaId) {
        let learner = self
            .members
            .values_mut()
            .find(|info| info.replica == Some(replica) && info.is_learner);
        if let Some(info) = learner {
            info.is_learner = false;
            self.members_at = self.index;
        }
    }

    pub(super) fn remove_replica(&mut self, member: Member) -> Result<Outcome, CommandRefused> {
        let voters = self.voters();
        let Some(info) = self.members.get_mut(&member) else {
            return Err(CommandRefused::NotMember { member });
        };
        if voters.len() == 1 && info.replica == voters.first().copied() {
            return Err(CommandRefused::LastVoter { member });
        }
        info.replica = None;
        info.is_learner = false;
        self.members_at = self.index;
        Ok(Outcome::Done)
    }

    /// The replicas that are to vote, in ascending order; the leader changes the consensus group's voters to these.
    pub fn voters(&self) -> Vec<ReplicaId> {
        self.replica_ids(|info| !info.is_learner)
    }

    /// The replicas that have to catch up before they vote, in ascending order.
    pub fn learners(&self) -> Vec<ReplicaId> {
        self.replica_ids(|info| info.is_learner)
    }

    fn replica_ids(&self, selected: impl Fn(&MemberInfo) -> bool) -> Vec<ReplicaId> {
        let mut ids: Vec<ReplicaId> = self
            .members
            .values()
            .filter(|info| selected(info))
            .filter_map(|info| info.replica)
            .collect();
        ids.sort_unstable();
        ids
    }
}
