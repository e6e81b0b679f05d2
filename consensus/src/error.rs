//! Errors of this package.

use crate::{FleetId, OutdatedState};

/// Why a replica cannot be opened, or a request to it is rejected.
#[derive(Debug, thiserror::Error)]
pub enum ConsensusError {
    /// The persisted state cannot be read, or contradicts itself.
    #[error("the replica's persisted state is corrupt: {0}")]
    Corrupt(#[from] PersistedStateError),
    /// The persisted state belongs to another fleet.
    #[error("the state is of fleet {found}, this one is {wanted}")]
    OtherFleet {
        /// The fleet that the state names.
        found: FleetId,
        /// The fleet of this router.
        wanted: FleetId,
    },
    /// The persisted state is older than what it says that peers have received from this replica.
    #[error("the state is an older copy: {0}")]
    Outdated(#[from] OutdatedState),
    /// Only the leader appends entries.
    #[error("this router is not the leader")]
    NotLeader,
    /// The entry is longer than [`crate::RaftConfig::max_entry_bytes`].
    #[error("an entry of {length} bytes exceeds the limit of {limit}")]
    EntryTooLong {
        /// The length of the rejected entry, in bytes.
        length: u64,
        /// The configured limit, in bytes.
        limit: u64,
    },
    /// raft-rs rejected a change of voters or learners; it may be proposed again later.
    #[error("the membership change is rejected: {0}")]
    MembershipChangeRejected(#[source] raft::Error),
}

/// What is wrong with a persisted state.
#[derive(Debug, thiserror::Error)]
pub enum PersistedStateError {
    /// The byte string as a whole cannot be decoded.
    #[error("it cannot be decoded: {0}")]
    Decode(#[source] postcard::Error),
    /// Another version of the program wrote it.
    #[error("its format is {found}, this program reads {supported}")]
    Format {
        /// The format number that it carries.
        found: u16,
        /// The format number that this program reads and writes.
        supported: u16,
    },
    /// Term, vote and commit index cannot be decoded.
    #[error("its hard state cannot be decoded: {0}")]
    HardState(#[source] protobuf::ProtobufError),
    /// The snapshot cannot be decoded.
    #[error("its snapshot cannot be decoded: {0}")]
    Snapshot(#[source] protobuf::ProtobufError),
    /// A log entry cannot be decoded.
    #[error("its entry {index} cannot be decoded: {source}")]
    Entry {
        /// The index at which the entry stands.
        index: u64,
        /// The decoder's error.
        source: protobuf::ProtobufError,
    },
    /// An entry does not have the index after its predecessor's.
    #[error("its entry {expected} carries the index {found}")]
    EntryIndex {
        /// The index at which the entry stands.
        expected: u64,
        /// The index that it carries.
        found: u64,
    },
    /// An entry or the snapshot is of a later term than the replica has reached.
    #[error("it contains term {found}, later than its own term {term}")]
    FutureTerm {
        /// The term of the entry or snapshot.
        found: u64,
        /// The term of the hard state.
        term: u64,
    },
    /// The commit index lies outside of snapshot and log.
    #[error("its commit index {commit} is not between snapshot {snapshot} and last entry {last}")]
    CommitIndex {
        /// The commit index.
        commit: u64,
        /// The index of the snapshot.
        snapshot: u64,
        /// The index of the last entry.
        last: u64,
    },
    /// It names no replica.
    #[error("0 is not the id of a replica")]
    ReplicaIdZero,
    /// raft-rs cannot start from it.
    #[error("raft-rs cannot start from it: {0}")]
    Raft(#[source] raft::Error),
}
