//! The Raft log in memory. raft-rs reads it through its `Storage` trait; `persisted_state.rs` encodes it.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result as RaftResult, Storage, StorageError};

use crate::promise::{LogPosition, Promise};

/// The snapshot, the log after it, and the hard state of one replica.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogStorage {
    /// Term, vote and commit index.
    pub(crate) hard_state: HardState,
    /// The application's state after all entries up to the snapshot's index, with the membership at that index.
    pub(crate) snapshot: Snapshot,
    /// The entries after the snapshot, in order. [`LogStorage::compact`] removes those that are applied.
    pub(crate) entries: Vec<Entry>,
    /// The membership after all applied entries.
    pub(crate) conf_state: ConfState,
}

impl LogStorage {
    fn snapshot_index(&self) -> u64 {
        self.snapshot.get_metadata().index
    }

    /// The index of the first entry after the snapshot. The entry need not exist yet.
    pub(crate) fn first_index(&self) -> u64 {
        self.snapshot_index() + 1
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.snapshot_index() + self.entries.len() as u64
    }

    /// The term of the entry at `index`, if it is in the log or is the last one that the snapshot covers.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Some(metadata.term);
        }
        let offset = usize::try_from(index.checked_sub(metadata.index + 1)?).ok()?;
        self.entries.get(offset).map(|entry| entry.term)
    }

    /// An upper bound of the promises that the replica with this state has sent to its peers.
    pub(crate) fn promise(&self) -> Promise {
        let index = self.last_index();
        Promise {
            term: self.hard_state.term,
            vote: self.hard_state.vote,
            last: LogPosition {
                term: self.term_at(index).unwrap_or_default(),
                index,
            },
        }
    }

    /// Appends entries. Existing entries at or after the index of the first new one are removed.
    pub(crate) fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        let kept_count = first.index.saturating_sub(self.first_index());
        self.entries
            .truncate(usize::try_from(kept_count).unwrap_or(usize::MAX));
        self.entries.extend_from_slice(entries);
    }

    /// Replaces the whole log by `snapshot`, which comes from the leader or is the first one of a new fleet.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        let metadata = snapshot.get_metadata();
        self.conf_state = metadata.get_conf_state().clone();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Replaces the entries up to `index` by a snapshot with the application's state at that index. Does
    /// nothing if the index is not after the present snapshot, or not in the log.
    pub(crate) fn compact(&mut self, index: u64, data: Vec<u8>) {
        if index <= self.snapshot_index() {
            return;
        }
        let Some(term) = self.term_at(index) else {
            return;
        };
        let removed = usize::try_from(index - self.snapshot_index()).unwrap_or(0);
        self.entries.drain(..removed);
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(self.conf_state.clone());
        snapshot.data = data.into();
        self.snapshot = snapshot;
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> RaftResult<RaftState> {
        Ok(RaftState {
            hard_state: self.hard_state.clone(),
            conf_state: self.snapshot.get_metadata().get_conf_state().clone(),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> RaftResult<Vec<Entry>> {
        if low < self.first_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let offset = |index: u64| usize::try_from(index - self.first_index()).unwrap_or(usize::MAX);
        let mut entries = self.entries[offset(low)..offset(high)].to_vec();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> RaftResult<u64> {
        if index + 1 < self.first_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.term_at(index)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> RaftResult<u64> {
        Ok(self.first_index())
    }

    fn last_index(&self) -> RaftResult<u64> {
        Ok(self.last_index())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> RaftResult<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
