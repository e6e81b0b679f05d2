//! Voters and learners, and membership changes by joint consensus (Raft, section 6).

use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};

use super::Replica;
use crate::{ConsensusError, ReplicaId};

/// The number of committed entries that a learner may lack and still count as caught up.
const CAUGHT_UP_LAG: u64 = 4;

impl Replica {
    /// The replicas whose votes count now, in ascending order. During a change, these are the voters before and after
    /// it.
    pub fn voters(&self) -> Vec<ReplicaId> {
        let membership = &self.raft.store().conf_state;
        let mut voters = sorted_ids(membership.get_voters(), membership.get_voters_outgoing());
        voters.dedup();
        voters
    }

    /// The replicas that receive entries and do not vote, in ascending order. During a change, these include the
    /// voters that become learners.
    pub fn learners(&self) -> Vec<ReplicaId> {
        let membership = &self.raft.store().conf_state;
        sorted_ids(membership.get_learners(), membership.get_learners_next())
    }

    /// The voters, or None while a membership change is in progress.
    pub fn committed_voters(&self) -> Option<Vec<ReplicaId>> {
        (!self.is_changing_membership()).then(|| self.voters())
    }

    fn is_changing_membership(&self) -> bool {
        !self
            .raft
            .store()
            .conf_state
            .get_voters_outgoing()
            .is_empty()
    }

    /// Proposes a change to these voters and learners. Returns false, without a proposal, if the membership is already
    /// the requested one, `voters` is empty, this replica is not the leader, another change is in progress, or a state
    /// is being stored.
    ///
    /// # Errors
    /// [`ConsensusError::MembershipChangeRejected`] if raft-rs rejects the proposal.
    pub fn propose_membership(
        &mut self,
        voters: &[ReplicaId],
        learners: &[ReplicaId],
    ) -> Result<bool, ConsensusError> {
        if !self.is_leader()
            || self.pending_ready.is_some()
            || self.is_changing_membership()
            || voters.is_empty()
        {
            return Ok(false);
        }
        let changes = self.changes_to(voters, learners);
        if changes.is_empty() {
            return Ok(false);
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(changes.into());
        self.raft
            .propose_conf_change(vec![], change)
            .map_err(ConsensusError::MembershipChangeRejected)?;
        Ok(true)
    }

    /// The single changes that lead from the present membership to these voters and learners.
    fn changes_to(&self, voters: &[ReplicaId], learners: &[ReplicaId]) -> Vec<ConfChangeSingle> {
        let present_voters = self.voters();
        let present_learners = self.learners();
        let new_voters = voters.iter().filter(|id| !present_voters.contains(id));
        let new_learners = learners.iter().filter(|id| !present_learners.contains(id));
        let removed = present_voters
            .iter()
            .chain(&present_learners)
            .filter(|id| !voters.contains(id) && !learners.contains(id));
        new_voters
            .map(|id| single_change(ConfChangeType::AddNode, *id))
            .chain(new_learners.map(|id| single_change(ConfChangeType::AddLearnerNode, *id)))
            .chain(removed.map(|id| single_change(ConfChangeType::RemoveNode, *id)))
            .collect()
    }

    /// Whether a learner lacks at most a few committed entries (`CAUGHT_UP_LAG`), as far as this leader knows.
    pub fn is_caught_up(&self, replica: ReplicaId) -> bool {
        let raft = &self.raft.raft;
        raft.prs()
            .get(replica.0)
            .is_some_and(|progress| progress.matched + CAUGHT_UP_LAG >= raft.raft_log.committed)
    }
}

fn single_change(kind: ConfChangeType, replica: ReplicaId) -> ConfChangeSingle {
    let mut change = ConfChangeSingle::default();
    change.set_change_type(kind);
    change.node_id = replica.0;
    change
}

fn sorted_ids(first: &[u64], second: &[u64]) -> Vec<ReplicaId> {
    let mut ids: Vec<ReplicaId> = first.iter().chain(second).copied().map(ReplicaId).collect();
    ids.sort_unstable();
    ids
}
