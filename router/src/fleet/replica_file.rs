//! The fleet's folder: one file, replaced whole, with all that this router's seat has promised.

use std::path::{Path, PathBuf};

use ternpick_consensus::{FleetId, RaftConfig, Replica};
use ternpick_fleet_policy::LoadedReplica;
use ternpick_store::Journal;

/// The name of the file, and the kind of what is in it.
const FILE: &str = "seat";
const KIND: &str = "fleet-seat";

pub fn path(folder: &Path) -> PathBuf {
    folder.join(FILE)
}

pub fn find(
    folder: &Path,
    fleet: FleetId,
    terms: RaftConfig,
    seed: u64,
) -> (LoadedReplica, Option<Journal>) {
    let (journal, kept) = match Journal::open(&path(folder), KIND) {
        Ok((journal, Some(kept))) => (journal, kept),
        Ok((journal, None)) => return (LoadedReplica::Missing, Some(journal)),
        Err(fault) => return (LoadedReplica::Unusable(fault.to_string()), None),
    };
    match Replica::open(&kept.bytes, fleet, terms, seed) {
        Ok(seat) => (LoadedReplica::Replica(Box::new(seat)), Some(journal)),
        Err(refused) => (
            LoadedReplica::Unusable(format!("{}: {refused}", path(folder).display())),
            None,
        ),
    }
}

/// Keeps an image; it lasts once this returns. A journal that failed is begun anew, and what is there is replaced whole.
pub fn keep(
    folder: &Path,
    journal: &mut Option<Journal>,
    version: u64,
    image: &[u8],
) -> Result<(), String> {
    let since = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    let now = u64::try_from(since.as_micros()).unwrap_or(u64::MAX);
    let of = journal.get_or_insert_with(|| Journal::replacing(&path(folder), KIND));
    of.append(version, now, image)
        .map_err(|fault| fault.to_string())
}
