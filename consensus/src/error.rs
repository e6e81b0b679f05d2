//! Errors of this package.

use crate::{FleetId, OutdatedState};

/// Why a replica cannot be opened, or a request to it is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The persisted state cannot be read, or contradicts itself.
    #[error("the replica's persisted state is corrupt: {0}")]
    Corrupt(#[from] PersistedStateError),
    /// The persisted state belongs to another fleet.
    #[error("the replica's persisted state belongs to fleet {found}, expected fleet {expected}")]
    OtherFleet {
        /// The fleet that the state belongs to.
        found: FleetId,
        /// The fleet of this router.
        expected: FleetId,
    },
    /// The log in the persisted state is older than the promise of this replica that is stored with it.
    #[error("the replica's persisted state is an older copy: {0}")]
    Outdated(#[from] OutdatedState),
    /// This replica is not the leader; only the leader appends entries.
    #[error("this router is not the leader")]
    NotLeader,
    /// The entry is longer than [`crate::RaftConfig::max_entry_bytes`].
    #[error("an entry of {length} bytes exceeds the limit of {limit} bytes")]
    EntryTooLong {
        /// The length of the rejected entry, in bytes.
        length: u64,
        /// The configured limit, in bytes.
        limit: u64,
    },
    /// raft-rs rejected a change of voters or learners. The change may be proposed again later.
    #[error("the membership change is rejected: {0}")]
    MembershipChangeRejected(#[source] raft::Error),
}

/// Why a persisted state is corrupt.
#[derive(Debug, thiserror::Error)]
pub enum PersistedStateError {
    /// The byte string as a whole cannot be decoded.
    #[error("the state cannot be decoded: {0}")]
    Decode(#[source] postcard::Error),
    /// Another version of the program wrote the state.
    #[error("the state has format {found}, this program reads format {supported}")]
    Format {
        /// The format number in the state.
        found: u16,
        /// The format number that this program reads and writes.
        supported: u16,
    },
    /// The hard state (term, vote and commit index) cannot be decoded.
    #[error("the hard state cannot be decoded: {0}")]
    HardState(#[source] protobuf::ProtobufError),
    /// The snapshot cannot be decoded.
    #[error("the snapshot cannot be decoded: {0}")]
    Snapshot(#[source] protobuf::ProtobufError),
    /// A log entry cannot be decoded.
    #[error("log entry {index} cannot be decoded: {source}")]
    Entry {
        /// The index of the entry, from its place in the log.
        index: u64,
        /// The decoder's error.
        source: protobuf::ProtobufError,
    },
    /// The index of an entry does not follow that of its predecessor.
    #[error("log entry {expected} contains the index {found}")]
    EntryIndex {
        /// The index of the entry, from its place in the log.
        expected: u64,
        /// The index that the entry contains.
        found: u64,
    },
    /// An entry or the snapshot has a later term than the hard state.
    #[error("an entry or the snapshot has term {found}, later than term {term} of the hard state")]
    FutureTerm {
        /// The term of the entry or snapshot.
        found: u64,
        /// The term of the hard state.
        term: u64,
    },
    /// The commit index lies outside the range from the snapshot to the last entry.
    #[error("the commit index {commit} is not between the snapshot index {snapshot} and the last entry's index {last}")]
    CommitIndex {
        /// The commit index.
        commit: u64,
        /// The index of the snapshot.
        snapshot: u64,
        /// The index of the last entry.
        last: u64,
    },
    /// The replica id is 0, which raft-rs reserves for "no replica".
    #[error("the replica id is 0, expected at least 1")]
    ReplicaIdZero,
    /// raft-rs rejected the state or the configuration.
    #[error("raft-rs cannot start from the state: {0}")]
    Raft(#[source] raft::Error),
}
