//! The replica's file in the fleet's folder. It holds the state of this router's replica, including the promises it
//! has made to the other replicas, and is read at the start.

use std::path::{Path, PathBuf};

use ternpick_consensus::{FleetId, RaftConfig, Replica};
use ternpick_fleet_policy::LoadedReplica;
use ternpick_store::Journal;

/// The name of the replica's file. It must not change, because folders of earlier versions contain it.
const FILE_NAME: &str = "seat";
/// The content kind in the file's header. It must not change, because files of earlier versions contain it.
const CONTENT_KIND: &str = "fleet-seat";

/// The error of a failed write of the replica's state.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub(crate) struct PersistError(#[from] ternpick_store::StoreError);

/// The path of the replica's file in the given folder.
pub(super) fn path(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// The replica and its file as loaded at the start.
pub(super) struct LoadedFile {
    pub(super) replica: LoadedReplica,
    /// The file, open for writing; `None` if it is unusable.
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

/// Reads the replica's state, and opens its file for writing if it is usable.
pub(super) fn load(
    folder: &Path,
    fleet: FleetId,
    raft_config: RaftConfig,
    seed: u64,
) -> LoadedFile {
    let (journal, stored) = match Journal::open(&path(folder), CONTENT_KIND) {
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

/// Writes a state of the replica; it is durable when this returns. After a failed write `journal` is `None`: a new
/// journal is then started, which replaces the whole file.
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
        .get_or_insert_with(|| Journal::replacing(&path(folder), CONTENT_KIND))
        .append(version, written_at, image)?;
    Ok(())
}
