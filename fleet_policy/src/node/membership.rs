//! Who votes: the leader brings the consensus group's voters to what the policy state says, one change at a time; a router
//! starts, stops or replaces its own replica as it is assigned.

use ternpick::types::Micros;
use ternpick_consensus::{Replica, ReplicaId};

use super::replication::encode;
use super::FleetNode;
use crate::effects::LogLevel;
use crate::leader_contact::LeaderContact;
use crate::state_machine::Entry;

/// How often the voters are compared with the policy state.
const CHECK_INTERVAL: Micros = Micros(100_000);

impl FleetNode {
    /// On the leader.
    pub(super) fn propose_membership(&mut self, now: Micros) {
        if now < self.next_membership_check {
            return;
        }
        self.next_membership_check = now + CHECK_INTERVAL;
        let Some((_, state)) = self.leader_state() else {
            return;
        };
        let voters = state.voters();
        let learners = state.learners();
        self.propose_voters(&voters, &learners);
        for learner in learners {
            self.promote_if_caught_up(learner);
        }
    }

    fn propose_voters(&mut self, voters: &[ReplicaId], learners: &[ReplicaId]) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        match replica.propose_membership(voters, learners) {
            Ok(true) => self.log(
                LogLevel::Info,
                format!("fleet: voters change to {voters:?}, learners to {learners:?}"),
            ),
            Ok(false) => {}
            Err(error) => self.log(
                LogLevel::Debug,
                format!("fleet: voters cannot change now, {error}"),
            ),
        }
    }

    fn promote_if_caught_up(&mut self, learner: ReplicaId) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        if !replica.learners().contains(&learner) || !replica.is_caught_up(learner) {
            return;
        }
        let entry = Entry::PromoteLearner { replica: learner };
        if replica.propose(encode(&entry)).is_ok() {
            self.log(
                LogLevel::Info,
                format!("fleet: replica {learner} has caught up, and is to vote"),
            );
        }
    }

    /// Starts, stops or replaces this router's replica where another one is assigned than it has. Only on the word of a
    /// router that certainly leads, which this member's valid lease shows.
    pub(super) fn adopt_assigned_replica(&mut self, now: Micros) {
        if self.is_persisting() || self.lease_holder.lease_left(now).is_none() {
            return;
        }
        let info = self.members.get(&self.me);
        let assigned = info.and_then(|info| info.replica);
        let is_learner = info.is_some_and(|info| info.is_learner);
        let own = self.replica_id();
        if assigned == own {
            return;
        }
        match (assigned, own) {
            (Some(assigned), _) if is_learner => self.start_learner(now, assigned),
            (Some(assigned), Some(own)) => self.stop_void_replica(own, assigned),
            (None, Some(_)) => self.stop_removed_replica(),
            (_, None) => {}
        }
    }

    /// A replica that was just assigned starts from an empty state, as it has promised nothing.
    fn start_learner(&mut self, now: Micros, assigned: ReplicaId) {
        self.seed = self
            .seed
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .wrapping_add(1);
        match Replica::join(self.fleet, assigned, self.raft_config, self.seed) {
            Ok(replica) => {
                self.replica = Some(replica);
                self.replica_error = None;
                self.state = None;
                self.leader_contact = LeaderContact::at_start(now);
                self.leadership = None;
                self.persistence.forget_failure();
                self.log(
                    LogLevel::Info,
                    format!(
                        "fleet: {} starts as the new replica {assigned}, a learner",
                        self.me
                    ),
                );
            }
            Err(error) => self.log(
                LogLevel::Error,
                format!("fleet: the new replica {assigned} cannot start, {error}"),
            ),
        }
    }

    /// Its replica is void, or another router's: it must not send anything in its name.
    fn stop_void_replica(&mut self, own: ReplicaId, assigned: ReplicaId) {
        let reason =
            format!("its state is of replica {own}, the fleet has assigned it replica {assigned}");
        self.log(
            LogLevel::Error,
            format!("fleet: {} takes part without its vote, {reason}", self.me),
        );
        self.replica = None;
        self.replica_error = Some(reason);
        self.leadership = None;
    }

    fn stop_removed_replica(&mut self) {
        self.log(
            LogLevel::Info,
            format!("fleet: {} has no vote any more", self.me),
        );
        self.replica = None;
        self.state = None;
        self.leadership = None;
    }
}
