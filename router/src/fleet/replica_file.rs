//! The fleet's folder: one file, replaced whole, with the state of this router's replica and all that it has promised.

use std::path::{Path, PathBuf};

use ternpick_consensus::{FleetId, RaftConfig, Replica};
use ternpick_fleet_policy::LoadedReplica;
use ternpick_store::Journal;

/// The file's name. Folders of earlier versions have it.
const FILE: &str = "seat";
/// The kind of content that the file names itself by. Files of earlier versions have it.
const KIND: &str = "fleet-seat";

/// The replica's state could not be written.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub(crate) struct PersistError(#[from] ternpick_store::StoreError);

/// The replica's file in a folder.
pub(super) fn path(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

/// What the folder holds at the start.
pub(super) struct LoadedFile {
    pub(super) replica: LoadedReplica,
    /// The file, open for writing; none where it cannot be used.
    pub(super) journal: Option<Journal>,
}

impl LoadedFile {
    fn unusable(reason: String) -> LoadedFile {
        LoadedFile {
            replica: LoadedReplica::Unusable(reason),
            journal: None,
        }
    }
}

/// Reads the replica's state, and opens its file for writing where that can be used.
pub(super) fn load(
    folder: &Path,
    fleet: FleetId,
    raft_config: RaftConfig,
    seed: u64,
) -> LoadedFile {
    let (journal, stored) = match Journal::open(&path(folder), KIND) {
        Ok(opened) => opened,
        Err(error) => return LoadedFile::unusable(error.to_string()),
    };
    let Some(stored) = stored else {
        return LoadedFile {
            replica: LoadedReplica::Missing,
            journal: Some(journal),
        };
    };
    match Replica::open(&stored.bytes, fleet, raft_config, seed) {
        Ok(replica) => LoadedFile {
            replica: LoadedReplica::Replica(Box::new(replica)),
            journal: Some(journal),
        },
        Err(error) => LoadedFile::unusable(format!("{}: {error}", path(folder).display())),
    }
}

/// Writes a state of the replica, which is durable once this returns. After a failed write the journal is begun anew, and
/// the file is replaced whole.
pub(super) fn persist(
    folder: &Path,
    journal: &mut Option<Journal>,
    version: u64,
    image: &[u8],
) -> Result<(), PersistError> {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let written_at = u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX);
    journal
        .get_or_insert_with(|| Journal::replacing(&path(folder), KIND))
        .append(version, written_at, image)?;
    Ok(())
}
