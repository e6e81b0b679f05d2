//! The check at each start that this replica's state is not an older copy, and the exchange of promises for that check.
//!
//! A replica whose state was rolled back, for instance from a backup, could vote twice in a term or lose entries that
//! it has acknowledged. Therefore a starting replica queries its peers for the promise that they have received from
//! it. It takes part once a majority of the voters, itself included, has replied with promises that its state covers.
//! The leader broadcasts all promises that it knows to all voters, so that the check does not depend on replies from
//! the very peers that received a promise.

use super::Replica;
use crate::message::PeerMessage;
use crate::promise::Promise;
use crate::{OutdatedState, Participation, ReplicaFault, ReplicaId};

impl Replica {
    /// Queries the voters that have not confirmed this replica's state yet, once per heartbeat interval.
    pub(super) fn send_promise_queries(&mut self) {
        let Participation::Proving(confirmed_by) = &self.participation else {
            return;
        };
        if self.ticks % self.config.heartbeat_ticks as u64 != 1 {
            return;
        }
        for voter in self.voters() {
            if voter != self.id() && !confirmed_by.contains(&voter) {
                let query = PeerMessage::PromiseQuery(self.promise_at_start);
                self.outbox.push((voter, query));
            }
        }
    }

    /// Replies to a peer that has started with the promise that is known of it.
    pub(super) fn handle_promise_query(&mut self, from: ReplicaId, promise: Promise) {
        self.peer_promises.join(from, promise);
        let known = self.peer_promises.get(from);
        self.outbox.push((from, PeerMessage::PromiseReply(known)));
    }

    /// Handles a peer's reply: compares the promise that the peer has received from this replica with the state.
    pub(super) fn handle_promise_reply(&mut self, from: ReplicaId, promise: Promise) {
        let Participation::Proving(confirmed_by) = &mut self.participation else {
            return;
        };
        if let Err(outdated) = promise.check_covered_by(&self.promise_at_start) {
            self.disable(ReplicaFault::Outdated(outdated));
            return;
        }
        if !confirmed_by.contains(&from) {
            confirmed_by.push(from);
        }
        self.take_part_if_proven();
    }

    /// Records the promises that the leader has broadcast.
    pub(super) fn handle_promise_broadcast(&mut self, promises: Vec<(ReplicaId, Promise)>) {
        for (replica, promise) in promises {
            if replica != self.id() {
                self.peer_promises.join(replica, promise);
            }
        }
    }

    /// Starts to take part if a majority of the voters, this replica included, has confirmed the state.
    pub(super) fn take_part_if_proven(&mut self) {
        let Participation::Proving(confirmed_by) = &self.participation else {
            return;
        };
        let voters = self.voters();
        let confirming_voters = confirmed_by
            .iter()
            .filter(|replica| voters.contains(replica))
            .count();
        // A replica that is not a voter has made no promise that counts.
        let is_voter = voters.contains(&self.id());
        if !is_voter || confirming_voters + 1 > voters.len() / 2 {
            self.participation = Participation::TakesPart;
        }
    }

    /// If this replica is the leader, sends all known promises to all other voters, once per broadcast interval.
    pub(super) fn broadcast_promises(&mut self) {
        let interval = self.config.promise_broadcast_ticks as u64;
        if !self.is_leader() || !self.ticks.is_multiple_of(interval) {
            return;
        }
        let own_id = self.id();
        let voters = self.voters();
        let members = [voters.clone(), self.learners()].concat();
        self.peer_promises.retain(&members);
        self.peer_promises.join(own_id, self.raft.store().promise());
        let promises = self.peer_promises.all();
        let peers = voters.into_iter().filter(|replica| *replica != own_id);
        self.outbox
            .extend(peers.map(|peer| (peer, PeerMessage::PromiseBroadcast(promises.clone()))));
    }

    /// Checks the commit index of a heartbeat. A leader sends a commit index only up to the last entry that this
    /// replica has acknowledged. A commit index beyond the end of the log shows that the log has lost acknowledged
    /// entries.
    pub(super) fn check_heartbeat_commit(&self, commit: u64) -> Result<(), OutdatedState> {
        let last = self.raft.raft.raft_log.last_index();
        if commit > last {
            return Err(OutdatedState::Commit { commit, last });
        }
        Ok(())
    }
}
