//! The outputs of a replica to its driver: a state to store and, once that is durable, messages and committed entries.
//! Also compaction of the log.

use protobuf::Message as _;
use raft::eraftpb::{ConfChangeV2, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{LightReady, ReadState, SnapshotStatus};

use super::Replica;
use crate::message::PeerMessage;
use crate::persisted_state::{self, protobuf_bytes};
use crate::{Participation, ReplicaId};

/// The output of [`Replica::ready`]: a state to store before [`Replica::advance`].
pub struct Ready {
    /// The whole state, which replaces the one stored before; or None if the state has not changed.
    pub persisted_state: Option<Vec<u8>>,
}

/// The output of [`Replica::advance`], which depends on the stored state.
#[derive(Debug, Default)]
pub struct Advanced {
    /// Messages to send, as receiver and bytes for its [`Replica::step`]. They may be lost, duplicated and reordered.
    pub messages: Vec<(ReplicaId, Vec<u8>)>,
    /// A snapshot from the leader, as index and application state. It replaces the application's state before
    /// `entries` are applied.
    pub restored: Option<(u64, Vec<u8>)>,
    /// Committed entries to apply in order, as index and data.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// Confirmed reads ([`Replica::read_index`]), as read id and index: this replica was the leader when the read was
    /// requested, and once the entry at this index is applied, the read sees all entries that were committed then.
    pub confirmed_reads: Vec<(u64, u64)>,
}

impl Advanced {
    fn push_message(&mut self, to: ReplicaId, message: &PeerMessage) {
        self.messages.push((to, message.encode()));
    }

    fn push_confirmed_read(&mut self, read: &ReadState) {
        if let Ok(read_id) = <[u8; 8]>::try_from(read.request_ctx.as_slice()) {
            self.confirmed_reads
                .push((u64::from_le_bytes(read_id), read.index));
        }
    }
}

impl Replica {
    /// Returns the next state to store, or None if there is nothing to do. After a state that raft-rs produced,
    /// returns None until [`Replica::advance`] is called.
    pub fn ready(&mut self) -> Option<Ready> {
        if self.pending_ready.is_some() {
            return None;
        }
        if self.participation == Participation::TakesPart && self.raft.has_ready() {
            let ready = self.call_raft(|raft| raft.ready())?;
            self.write_to_log(&ready);
            self.pending_ready = Some(ready);
        } else if self.outbox.is_empty() && !self.state_changed {
            return None;
        }
        let state_changed = std::mem::take(&mut self.state_changed);
        let persisted_state = state_changed.then(|| {
            persisted_state::encode(self.identity, self.raft.store(), &self.peer_promises)
        });
        Some(Ready { persisted_state })
    }

    /// Writes the data that raft-rs requires to be durable to the log in memory. A commit index alone need not be
    /// durable: after a restart the replica receives it again from the leader.
    fn write_to_log(&mut self, ready: &raft::Ready) {
        let log_storage = self.raft.mut_store();
        if *ready.snapshot() != Snapshot::default() {
            log_storage.restore(ready.snapshot().clone());
            self.state_changed = true;
        }
        if !ready.entries().is_empty() {
            log_storage.append(ready.entries());
            self.state_changed = true;
        }
        if let Some(hard_state) = ready.hs() {
            let stored = &log_storage.hard_state;
            if hard_state.term != stored.term || hard_state.vote != stored.vote {
                self.state_changed = true;
            }
            log_storage.hard_state = hard_state.clone();
        }
    }

    /// Must be called once the state of the last [`Replica::ready`] is durable. Returns the output that depends on it.
    pub fn advance(&mut self) -> Advanced {
        let mut advanced = Advanced::default();
        self.persisted_term = self.raft.store().hard_state.term;
        for (to, message) in std::mem::take(&mut self.outbox) {
            advanced.push_message(to, &message);
        }
        let Some(mut ready) = self.pending_ready.take() else {
            return advanced;
        };
        self.push_restored_snapshot(ready.snapshot(), &mut advanced);
        let mut messages = ready.take_messages();
        messages.extend(ready.take_persisted_messages());
        let mut entries = ready.take_committed_entries();
        for read in ready.take_read_states() {
            advanced.push_confirmed_read(&read);
        }
        if let Some(mut light_ready) = self.call_raft(|raft| raft.advance(ready)) {
            messages.extend(light_ready.take_messages());
            entries.extend(light_ready.take_committed_entries());
            self.write_commit_index(&light_ready);
        }
        for entry in entries {
            self.apply_entry(entry, &mut advanced);
        }
        self.call_raft(|raft| raft.advance_apply());
        for message in messages {
            self.send_raft_message(&message, &mut advanced);
        }
        self.redraw_election_timeout();
        for input in std::mem::take(&mut self.deferred_inputs) {
            self.apply_input(input);
        }
        advanced
    }

    fn push_restored_snapshot(&mut self, snapshot: &Snapshot, advanced: &mut Advanced) {
        if *snapshot == Snapshot::default() {
            return;
        }
        let index = snapshot.get_metadata().index;
        advanced.restored = Some((index, snapshot.data.to_vec()));
        self.applied_index = index;
    }

    fn write_commit_index(&mut self, light_ready: &LightReady) {
        if let Some(commit) = light_ready.commit_index() {
            self.raft.mut_store().hard_state.commit = commit;
        }
    }

    fn apply_entry(&mut self, entry: Entry, advanced: &mut Advanced) {
        self.applied_index = entry.index;
        match entry.get_entry_type() {
            // A new leader's first entry is empty; its only purpose is to commit the entries before it.
            EntryType::EntryNormal if entry.data.is_empty() => {}
            EntryType::EntryNormal => advanced.entries.push((entry.index, entry.data.to_vec())),
            // Membership changes are proposed as `ConfChangeV2` only.
            EntryType::EntryConfChange => {}
            EntryType::EntryConfChangeV2 => self.apply_membership_change(&entry),
        }
    }

    fn apply_membership_change(&mut self, entry: &Entry) {
        let mut change = ConfChangeV2::default();
        if change.merge_from_bytes(&entry.data).is_err() {
            return;
        }
        let applied = self.call_raft(|raft| raft.apply_conf_change(&change));
        if let Some(Ok(conf_state)) = applied {
            self.raft.mut_store().conf_state = conf_state;
            self.membership_changed = true;
        }
    }

    fn send_raft_message(&mut self, message: &Message, advanced: &mut Advanced) {
        let to = ReplicaId(message.to);
        if message.get_msg_type() == MessageType::MsgSnapshot {
            // raft-rs pauses replication to the follower until the caller reports that the snapshot has arrived. The
            // message may be lost without a notice, so success is reported at once; raft-rs sees from the follower's
            // replies which entries are missing.
            self.call_raft(|raft| raft.report_snapshot(to.0, SnapshotStatus::Finish));
        }
        advanced.push_message(to, &PeerMessage::Raft(protobuf_bytes(message)));
    }

    /// Whether [`Replica::compact`] should be called: the log has reached its maximum length, or the membership has
    /// changed. After a change the snapshot has to contain the new membership, because a new replica cannot start from
    /// a snapshot whose membership does not include it.
    pub fn needs_compaction(&self) -> bool {
        if self.membership_changed {
            return true;
        }
        let first_index = self.raft.store().first_index();
        self.applied_index.saturating_sub(first_index) >= self.config.max_log_entries
    }

    /// Replaces all applied entries by a snapshot of the application's state after them.
    pub fn compact(&mut self, state: Vec<u8>) {
        self.membership_changed = false;
        self.raft.mut_store().compact(self.applied_index, state);
        self.state_changed = true;
    }
}
