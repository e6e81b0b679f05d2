//! All state of a replica that must survive a restart, as one byte string that the driver stores atomically.

use protobuf::Message as _;
use raft::eraftpb::Entry;
use serde::{Deserialize, Serialize};

use crate::log_storage::LogStorage;
use crate::peer_promises::PeerPromises;
use crate::{FleetId, PersistedStateError, ReplicaId};

/// The format number of the encoding. A state of another format is rejected.
const FORMAT: u16 = 1;

/// The encoded form. postcard encodes by position: the order and types of the fields are the stored format. Values of
/// raft-rs types are in their protobuf encoding.
#[derive(Serialize, Deserialize)]
struct EncodedState {
    format: u16,
    fleet: FleetId,
    replica: ReplicaId,
    restart_count: u64,
    hard_state: Vec<u8>,
    snapshot: Vec<u8>,
    entries: Vec<Vec<u8>>,
    peer_promises: PeerPromises,
}

/// The replica that a state belongs to, and how often that replica was started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReplicaIdentity {
    pub(crate) fleet: FleetId,
    pub(crate) id: ReplicaId,
    pub(crate) restart_count: u64,
}

/// A decoded state.
pub(crate) struct PersistedState {
    pub(crate) identity: ReplicaIdentity,
    pub(crate) log_storage: LogStorage,
    pub(crate) peer_promises: PeerPromises,
}

/// Encodes the state. The result has to be durable before the replica sends anything that depends on it.
pub(crate) fn encode(
    identity: ReplicaIdentity,
    log_storage: &LogStorage,
    peer_promises: &PeerPromises,
) -> Vec<u8> {
    let state = EncodedState {
        format: FORMAT,
        fleet: identity.fleet,
        replica: identity.id,
        restart_count: identity.restart_count,
        hard_state: protobuf_bytes(&log_storage.hard_state),
        snapshot: protobuf_bytes(&log_storage.snapshot),
        entries: log_storage.entries.iter().map(protobuf_bytes).collect(),
        peer_promises: peer_promises.clone(),
    };
    postcard::to_stdvec(&state).expect("sequences of known length can always be encoded")
}

/// The protobuf encoding of a value of a raft-rs type.
pub(crate) fn protobuf_bytes<M: protobuf::Message>(message: &M) -> Vec<u8> {
    message
        .write_to_bytes()
        .expect("a message without required fields can always be encoded")
}

/// Decodes a state and checks that its parts are consistent with each other.
pub(crate) fn decode(bytes: &[u8]) -> Result<PersistedState, PersistedStateError> {
    let state: EncodedState = postcard::from_bytes(bytes).map_err(PersistedStateError::Decode)?;
    if state.format != FORMAT {
        return Err(PersistedStateError::Format {
            found: state.format,
            supported: FORMAT,
        });
    }
    let mut log_storage = LogStorage::default();
    log_storage
        .hard_state
        .merge_from_bytes(&state.hard_state)
        .map_err(PersistedStateError::HardState)?;
    log_storage
        .snapshot
        .merge_from_bytes(&state.snapshot)
        .map_err(PersistedStateError::Snapshot)?;
    for encoded in &state.entries {
        let entry = decode_entry(encoded, &log_storage)?;
        log_storage.entries.push(entry);
    }
    check_commit_index(&log_storage)?;
    log_storage.conf_state = log_storage.snapshot.get_metadata().get_conf_state().clone();
    Ok(PersistedState {
        identity: ReplicaIdentity {
            fleet: state.fleet,
            id: state.replica,
            restart_count: state.restart_count,
        },
        log_storage,
        peer_promises: state.peer_promises,
    })
}

/// Decodes the entry that follows those in `log_storage`.
fn decode_entry(bytes: &[u8], log_storage: &LogStorage) -> Result<Entry, PersistedStateError> {
    let expected = log_storage.last_index() + 1;
    let mut entry = Entry::default();
    entry
        .merge_from_bytes(bytes)
        .map_err(|source| PersistedStateError::Entry {
            index: expected,
            source,
        })?;
    if entry.index != expected {
        return Err(PersistedStateError::EntryIndex {
            expected,
            found: entry.index,
        });
    }
    check_term(entry.term, log_storage)?;
    Ok(entry)
}

fn check_commit_index(log_storage: &LogStorage) -> Result<(), PersistedStateError> {
    let snapshot = log_storage.snapshot.get_metadata();
    let commit = log_storage.hard_state.commit;
    let last = log_storage.last_index();
    if commit < snapshot.index || commit > last {
        return Err(PersistedStateError::CommitIndex {
            commit,
            snapshot: snapshot.index,
            last,
        });
    }
    check_term(snapshot.term, log_storage)
}

fn check_term(found: u64, log_storage: &LogStorage) -> Result<(), PersistedStateError> {
    let term = log_storage.hard_state.term;
    if found > term {
        return Err(PersistedStateError::FutureTerm { found, term });
    }
    Ok(())
}
