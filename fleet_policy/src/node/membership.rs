//! Changes of the voters: the leader changes the consensus group's voters to those of the policy state, one change at a
//! time; a router starts, stops or replaces its own replica as the policy state assigns it.

use ternpick::types::Micros;
use ternpick_consensus::{Replica, ReplicaId};

use super::replication::encode;
use super::FleetNode;
use crate::effects::LogLevel;
use crate::leader_contact::LeaderContact;
use crate::state_machine::Entry;

/// The interval at which the leader compares the voters with the policy state.
const CHECK_INTERVAL: Micros = Micros(100_000);

impl FleetNode {
    /// On the leader: proposes changes of the voters and learners that the policy state requires.
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
                format!("fleet: the voters cannot be changed now: {error}"),
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
                format!(
                    "fleet: replica {learner} has caught up, its promotion to a voter is proposed"
                ),
            );
        }
    }

    /// Starts, stops or replaces this router's replica if a different one is assigned than it runs. Requires a valid
    /// lease of this member, which shows that the assignment comes from a router that certainly leads.
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

    /// Starts a newly assigned replica. It may start from an empty state because it has made no promises.
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
                format!("fleet: the new replica {assigned} cannot start: {error}"),
            ),
        }
    }

    /// Stops a replica that is void or belongs to another router: this router must not send anything on its behalf.
    fn stop_void_replica(&mut self, own: ReplicaId, assigned: ReplicaId) {
        let reason =
            format!("its stored state belongs to replica {own}, the fleet has assigned it replica {assigned}");
        self.log(
            LogLevel::Error,
            format!("fleet: {} takes part without a vote: {reason}", self.me),
        );
        self.replica = None;
        self.replica_error = Some(reason);
        self.leadership = None;
    }

    fn stop_removed_replica(&mut self) {
        self.log(
            LogLevel::Info,
            format!("fleet: {} no longer has a replica", self.me),
        );
        self.replica = None;
        self.state = None;
        self.leadership = None;
    }
}
