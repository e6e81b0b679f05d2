//! A replica: one voter, or a learner. A wrapper around raft-rs that takes time and randomness as input, and releases
//! messages and committed entries only once the state that they depend on is durable.
//!
//! This file holds the state and the entry points; the concerns are split into the modules below.

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

/// Inputs that are deferred while a state is being stored. Those beyond it are dropped, as a network may drop messages.
const MAX_DEFERRED_INPUTS: usize = 256;

/// An input to raft-rs.
enum Input {
    Tick,
    Message(Message),
    Propose(Vec<u8>),
    /// Carries the number that the caller gave its read.
    ReadIndex(u64),
    TransferLeadership(ReplicaId),
}

/// One voter or learner of a fleet. See the package's documentation for the order of calls.
pub struct Replica {
    raft: RawNode<LogStorage>,
    identity: ReplicaIdentity,
    config: RaftConfig,
    election_timeout: ElectionTimeout,
    participation: Participation,
    /// What the state contained at the start; peers compare it with what they have received from this replica.
    promise_at_start: Promise,
    peer_promises: PeerPromises,
    /// Ticks since the start.
    ticks: u64,
    /// What raft-rs has handed out and [`Replica::advance`] has not yet returned to it.
    pending_ready: Option<raft::Ready>,
    /// Inputs that arrived while `pending_ready` was being stored: raft-rs accepts none in between. At most
    /// [`MAX_DEFERRED_INPUTS`]; emptied by [`Replica::advance`].
    deferred_inputs: VecDeque<Input>,
    /// Messages of the promise check, sent by the next [`Replica::advance`].
    outbox: Vec<(ReplicaId, PeerMessage)>,
    /// The state has to be stored before the next [`Replica::advance`].
    state_changed: bool,
    /// The membership has changed since the last [`Replica::compact`].
    membership_changed: bool,
    /// The index of the last entry that [`Replica::advance`] has returned.
    applied_index: u64,
    /// The last term that is durable.
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

    /// The index and application state of the snapshot that the log starts from, to be applied before all entries. None for
    /// a replica that has joined and received none yet.
    pub fn initial_snapshot(&self) -> Option<(u64, Vec<u8>)> {
        let snapshot = &self.raft.store().snapshot;
        let index = snapshot.get_metadata().index;
        (index > 0).then(|| (index, snapshot.data.to_vec()))
    }

    /// Whether this replica is the leader of its term. Another one may have been elected in a later term.
    pub fn is_leader(&self) -> bool {
        self.participation == Participation::TakesPart && self.raft.raft.state == StateRole::Leader
    }

    /// Something other than a message of consensus has come from the process of this peer: it is there, and reaches this one.
    ///
    /// A leader that hears from no majority steps down. A peer that stores a state answers nothing until that is durable: a
    /// disk that is slow for longer than the shortest election timeout cost the leadership, and no other voter could do
    /// better. What the leader confirms, and commits, still needs the answers.
    pub fn note_peer_alive(&mut self, peer: ReplicaId) {
        if !self.is_leader() {
            return;
        }
        if let Some(progress) = self.raft.raft.mut_prs().get_mut(peer.0) {
            progress.recent_active = true;
        }
    }

    /// Whether this replica is the leader and has committed an entry of its own term, so that it knows of all entries
    /// that earlier leaders have committed (Raft, section 8).
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

    /// The present term; it may not be durable yet.
    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    /// The last durable term. No process of this replica accepts a message of a leader of an earlier term again.
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

    /// Appends an entry to the log. It is committed once [`Replica::advance`] returns it, and may be lost before.
    ///
    /// # Errors
    /// [`ConsensusError::NotLeader`] and [`ConsensusError::EntryTooLong`].
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

    /// Requests confirmation that this replica is still the leader (ReadIndex, Raft dissertation, section 6.4). The answer
    /// appears in [`Advanced::confirmed_reads`] under `number`; it may never come.
    pub fn read_index(&mut self, number: u64) {
        if self.is_leader() {
            self.apply_input(Input::ReadIndex(number));
        }
    }

    /// Hands leadership to another voter, if that one is reachable and caught up. Nothing happens unless this replica is
    /// the leader.
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
            Input::ReadIndex(number) => {
                raft.read_index(number.to_le_bytes().to_vec());
                Ok(())
            }
            Input::TransferLeadership(to) => {
                raft.transfer_leader(to.0);
                Ok(())
            }
        });
        self.redraw_election_timeout();
    }

    /// Calls raft-rs. A panic there disables this replica and leaves the process running: None.
    fn call_raft<T>(&mut self, call: impl FnOnce(&mut RawNode<LogStorage>) -> T) -> Option<T> {
        let raft = &mut self.raft;
        let result = catch_unwind(AssertUnwindSafe(|| call(raft)));
        if result.is_err() {
            self.disable(ReplicaFault::RaftPanicked);
        }
        result.ok()
    }

    /// Ends this replica's participation for good. What it has not sent yet is dropped.
    fn disable(&mut self, fault: ReplicaFault) {
        self.participation = Participation::Faulted(fault);
        self.outbox.clear();
    }

    fn redraw_election_timeout(&mut self) {
        self.election_timeout
            .redraw_on_change(&mut self.raft.raft, self.config.election_ticks);
    }
}
