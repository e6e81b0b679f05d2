//! The log and all that a seat has promised, as one image that is kept whole. raft-rs reads it through its `Storage`.

use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Result as RaftResult, Storage, StorageError};
use serde::{Deserialize, Serialize};

use crate::peer_promises::PeerPromises;
use crate::{FleetId, ReplicaId};

/// The form of the image; another is not read.
const FORM: u16 = 1;

/// What a seat has on disk.
#[derive(Clone, Debug, Default)]
pub struct LogStorage {
    pub hard: HardState,
    /// The state up to its index, with who votes there.
    pub snapshot: Snapshot,
    /// What came after it, in order.
    pub entries: Vec<Entry>,
    /// Who votes after all entries that were played.
    pub conf: ConfState,
}

/// The image's form: everything of the agreement's own types as bytes.
#[derive(Serialize, Deserialize)]
struct Image {
    form: u16,
    fleet: FleetId,
    replica: ReplicaId,
    /// How often this seat was started.
    boots: u64,
    hard: Vec<u8>,
    snapshot: Vec<u8>,
    entries: Vec<Vec<u8>>,
    peer_promises: PeerPromises,
}

/// An image as it was read.
pub struct PersistedState {
    pub fleet: FleetId,
    pub replica: ReplicaId,
    pub boots: u64,
    pub log_storage: LogStorage,
    pub peer_promises: PeerPromises,
}

impl LogStorage {
    pub fn first(&self) -> u64 {
        self.snapshot.get_metadata().index + 1
    }

    pub fn last(&self) -> u64 {
        self.snapshot.get_metadata().index + self.entries.len() as u64
    }

    /// The term of an entry that is here, or of the snapshot's last.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Some(meta.term);
        }
        let at = usize::try_from(index.checked_sub(meta.index + 1)?).ok()?;
        self.entries.get(at).map(|entry| entry.term)
    }

    /// Takes entries in; those from the first one's place on give way.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|entry| entry.index) else {
            return;
        };
        let keep = usize::try_from(from.saturating_sub(self.first())).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.entries.extend_from_slice(entries);
    }

    pub fn restore(&mut self, snapshot: Snapshot) {
        self.conf = snapshot.get_metadata().get_conf_state().clone();
        self.hard.commit = self.hard.commit.max(snapshot.get_metadata().index);
        self.hard.term = self.hard.term.max(snapshot.get_metadata().term);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Puts the state up to `index` in place of the entries up to there.
    pub fn compact(&mut self, index: u64, data: Vec<u8>) {
        let Some(term) = self
            .term_at(index)
            .filter(|_| index > self.snapshot.get_metadata().index)
        else {
            return;
        };
        let gone = usize::try_from(index - self.snapshot.get_metadata().index).unwrap_or(0);
        self.entries.drain(..gone);
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.conf.clone());
        snapshot.data = data.into();
        self.snapshot = snapshot;
    }

    /// The image, to be kept whole before anything that rests on it is said.
    pub fn image(
        &self,
        fleet: FleetId,
        replica: ReplicaId,
        boots: u64,
        peer_promises: &PeerPromises,
    ) -> Vec<u8> {
        let bytes = |of: &dyn protobuf::Message| of.write_to_bytes().unwrap_or_default();
        let image = Image {
            form: FORM,
            fleet,
            replica,
            boots,
            hard: bytes(&self.hard),
            snapshot: bytes(&self.snapshot),
            entries: self.entries.iter().map(|entry| bytes(entry)).collect(),
            peer_promises: peer_promises.clone(),
        };
        postcard::to_stdvec(&image).unwrap_or_default()
    }

    /// Reads an image; what it says of itself has to hold together.
    pub fn open(image: &[u8]) -> Result<PersistedState, String> {
        let wrong = |what: &str| format!("the state of the seat is spoilt: {what}");
        let image: Image = postcard::from_bytes(image).map_err(|_| wrong("it cannot be read"))?;
        if image.form != FORM {
            return Err(wrong(&format!(
                "its form is {}, this program reads {FORM}",
                image.form
            )));
        }
        let mut log_storage = LogStorage::default();
        log_storage
            .hard
            .merge_from_bytes(&image.hard)
            .map_err(|_| wrong("its vote cannot be read"))?;
        log_storage
            .snapshot
            .merge_from_bytes(&image.snapshot)
            .map_err(|_| wrong("its snapshot cannot be read"))?;
        for bytes in &image.entries {
            let mut entry = Entry::default();
            entry
                .merge_from_bytes(bytes)
                .map_err(|_| wrong("an entry cannot be read"))?;
            if entry.index != log_storage.last() + 1 || entry.term > log_storage.hard.term {
                return Err(wrong("its entries do not follow one another"));
            }
            log_storage.entries.push(entry);
        }
        let meta = log_storage.snapshot.get_metadata();
        if log_storage.hard.commit > log_storage.last()
            || log_storage.hard.commit < meta.index
            || meta.term > log_storage.hard.term
        {
            return Err(wrong("it ends before what it says is agreed"));
        }
        log_storage.conf = meta.get_conf_state().clone();
        let Image {
            fleet,
            replica,
            boots,
            peer_promises,
            ..
        } = image;
        Ok(PersistedState {
            fleet,
            replica,
            boots,
            log_storage,
            peer_promises,
        })
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> RaftResult<RaftState> {
        Ok(RaftState {
            hard_state: self.hard.clone(),
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
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let at = |index: u64| usize::try_from(index - self.first()).unwrap_or(usize::MAX);
        let mut some = self.entries[at(low)..at(high)].to_vec();
        raft::util::limit_size(&mut some, max_size.into());
        Ok(some)
    }

    fn term(&self, index: u64) -> RaftResult<u64> {
        if index + 1 < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.term_at(index)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> RaftResult<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> RaftResult<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _to: u64) -> RaftResult<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
