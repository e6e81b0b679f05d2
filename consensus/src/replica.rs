//! A replica: one voter, or a learner. A wrapper around raft-rs that takes time and randomness as input, and releases
//! messages and committed entries only once the state that they depend on is durable.
//!
//! This file contains the state and the entry points; the modules below contain the rest.

mod election_timeout;
mod inbound;
mod membership;
mod promise_check;
mod ready;
mod start;
mod status;

use std::collections::VecDeque;
use std::panic::{catch_unwind, AssertUnwindSafe};

use raft::eraftpb::Message;
use raft::{RawNode, StateRole};

use crate::log_storage::LogStorage;
use crate::message::PeerMessage;
use crate::peer_promises::PeerPromises;
use crate::persisted_state::ReplicaIdentity;
use crate::promise::Promise;
use crate::{ConsensusError, Participation, RaftConfig, ReplicaFault, ReplicaId};
use election_timeout::ElectionTimeout;

pub use ready::{Advanced, Ready};
pub use status::Status;

/// The maximum number of inputs that are deferred while a state is being stored. Further inputs are dropped, which
/// peers tolerate as they tolerate lost messages.
const MAX_DEFERRED_INPUTS: usize = 256;

/// An input to raft-rs.
enum Input {
    Tick,
    Message(Message),
    Propose(Vec<u8>),
    /// A request for a read confirmation, with the caller's id of the read.
    ReadIndex(u64),
    TransferLeadership(ReplicaId),
}

/// A voter or learner of a fleet. See the package's documentation for the order of calls.
pub struct Replica {
    raft: RawNode<LogStorage>,
    identity: ReplicaIdentity,
    config: RaftConfig,
    election_timeout: ElectionTimeout,
    participation: Participation,
    /// The promise that the state contained at the start. It has to cover all that peers have received from this
    /// replica.
    promise_at_start: Promise,
    peer_promises: PeerPromises,
    /// Ticks since the start.
    ticks: u64,
    /// The last `Ready` of raft-rs, until [`Replica::advance`] passes it back.
    pending_ready: Option<raft::Ready>,
    /// Inputs that arrived while `pending_ready` was being stored: raft-rs accepts no input between `ready` and
    /// `advance`. At most [`MAX_DEFERRED_INPUTS`]; [`Replica::advance`] applies and removes them.
    deferred_inputs: VecDeque<Input>,
    /// Messages of the promise check, which the next [`Replica::advance`] returns.
    outbox: Vec<(ReplicaId, PeerMessage)>,
    /// Whether the state has to be stored before the next [`Replica::advance`].
    state_changed: bool,
    /// Whether the membership has changed since the last [`Replica::compact`].
    membership_changed: bool,
    /// The index of the last entry that [`Replica::advance`] has returned.
    applied_index: u64,
    /// The latest durable term.
    persisted_term: u64,
}

impl Replica {
    /// The id of this replica.
    pub fn id(&self) -> ReplicaId {
        self.identity.id
    }

    /// Whether this replica takes part in elections and replication.
    pub fn participation(&self) -> &Participation {
        &self.participation
    }

    /// The index and application state of the snapshot that the log starts from, to be applied before all entries.
    /// None if this replica has joined and not yet received a snapshot.
    pub fn initial_snapshot(&self) -> Option<(u64, Vec<u8>)> {
        let snapshot = &self.raft.store().snapshot;
        let index = snapshot.get_metadata().index;
        (index > 0).then(|| (index, snapshot.data.to_vec()))
    }

    /// Whether this replica is the leader of its term. Another replica may have been elected in a later term.
    pub fn is_leader(&self) -> bool {
        self.participation == Participation::TakesPart && self.raft.raft.state == StateRole::Leader
    }

    /// Marks a peer as active because this process has received something other than a consensus message from it.
    ///
    /// A leader steps down if it has received nothing from a majority of the voters for an election timeout. A peer
    /// that is storing a state sends no replies until that state is durable. Without this call, followers' disks that
    /// are slow for longer than the shortest election timeout would cost the leader its leadership, although no other
    /// voter could do better. Read confirmations and commits still need the peers' replies.
    pub fn note_peer_alive(&mut self, peer: ReplicaId) {
        if !self.is_leader() {
            return;
        }
        if let Some(progress) = self.raft.raft.mut_prs().get_mut(peer.0) {
            progress.recent_active = true;
        }
    }

    /// Whether this replica is the leader and has committed an entry of its own term. Only then does it know all
    /// entries that earlier leaders have committed (Raft, section 8).
    pub fn is_confirmed_leader(&self) -> bool {
        self.is_leader() && self.raft.raft.commit_to_current_term()
    }

    /// The index of the last entry that [`Replica::advance`] has returned.
    pub fn applied_index(&self) -> u64 {
        self.applied_index
    }

    /// The leader of the present term, if known.
    pub fn leader(&self) -> Option<ReplicaId> {
        let leader = self.raft.raft.leader_id;
        (leader != raft::INVALID_ID).then_some(ReplicaId(leader))
    }

    /// The present term, which may not be durable yet.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The latest durable term. Even after a restart, this replica does not accept messages of leaders of earlier
    /// terms.
    pub fn persisted_term(&self) -> u64 {
        self.persisted_term
    }

    /// Advances the clock by one tick.
    pub fn tick(&mut self) {
        self.ticks += 1;
        match &self.participation {
            Participation::Faulted(_) => {}
            Participation::Proving(_) => self.send_promise_queries(),
            Participation::TakesPart => {
                self.apply_input(Input::Tick);
                self.broadcast_promises();
            }
        }
        self.redraw_election_timeout();
    }

    /// Appends an entry to the log. The entry is committed once [`Replica::advance`] returns it, and may be lost
    /// before.
    ///
    /// # Errors
    /// [`ConsensusError::NotLeader`] or [`ConsensusError::EntryTooLong`].
    pub fn propose(&mut self, data: Vec<u8>) -> Result<(), ConsensusError> {
        if !self.is_leader() {
            return Err(ConsensusError::NotLeader);
        }
        let length = data.len() as u64;
        let limit = self.config.max_entry_bytes;
        if length > limit {
            return Err(ConsensusError::EntryTooLong { length, limit });
        }
        self.apply_input(Input::Propose(data));
        Ok(())
    }

    /// Requests a confirmation that this replica is still the leader (ReadIndex, Raft dissertation, section 6.4).
    /// [`Advanced::confirmed_reads`] returns the confirmation with `read_id`; a request may stay unconfirmed.
    pub fn read_index(&mut self, read_id: u64) {
        if self.is_leader() {
            self.apply_input(Input::ReadIndex(read_id));
        }
    }

    /// Transfers leadership to another voter, if that voter is reachable and caught up. Does nothing unless this
    /// replica is the leader.
    pub fn transfer_leadership(&mut self, to: ReplicaId) {
        if self.is_leader() {
            self.apply_input(Input::TransferLeadership(to));
        }
    }

    /// Passes an input to raft-rs, or defers it while a state is being stored.
    fn apply_input(&mut self, input: Input) {
        if self.pending_ready.is_some() {
            if self.deferred_inputs.len() < MAX_DEFERRED_INPUTS {
                self.deferred_inputs.push_back(input);
            }
            return;
        }
        // An input that raft-rs rejects has no effect; the peer or caller repeats it.
        let _ = self.call_raft(|raft| match input {
            Input::Tick => {
                raft.tick();
                Ok(())
            }
            Input::Message(message) => raft.step(message),
            Input::Propose(data) => raft.propose(vec![], data),
            Input::ReadIndex(read_id) => {
                raft.read_index(read_id.to_le_bytes().to_vec());
                Ok(())
            }
            Input::TransferLeadership(to) => {
                raft.transfer_leader(to.0);
                Ok(())
            }
        });
        self.redraw_election_timeout();
    }

    /// Calls raft-rs. If raft-rs panics, disables this replica, leaves the process running and returns None.
    fn call_raft<T>(&mut self, call: impl FnOnce(&mut RawNode<LogStorage>) -> T) -> Option<T> {
        let raft = &mut self.raft;
        let result = catch_unwind(AssertUnwindSafe(|| call(raft)));
        if result.is_err() {
            self.disable(ReplicaFault::RaftPanicked);
        }
        result.ok()
    }

    /// Ends this replica's participation permanently, and drops the messages that it has not sent yet.
    fn disable(&mut self, fault: ReplicaFault) {
        self.participation = Participation::Faulted(fault);
        self.outbox.clear();
    }

    fn redraw_election_timeout(&mut self) {
        self.election_timeout
            .redraw_on_change(&mut self.raft.raft, self.config.election_ticks);
    }
}
