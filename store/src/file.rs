//! Files that are replaced as a whole.

use std::fs;
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use crate::record::{self, StoredFile};
use crate::StoreError;

/// The maximum length of a file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

/// Only the owner may read and write a file, because some files hold private keys.
const FILE_MODE: u32 = 0o600;

/// Saves `bytes` in the file at `path` as content of `kind` and `version`; `now` is Unix time in microseconds.
/// Readers see either the old or the new content, and the new content is durable on return.
///
/// # Errors
/// [`StoreError::Io`]. The old content remains then, unless the error occurred while the directory was synchronized.
pub fn save(
    path: &Path,
    kind: &str,
    version: u64,
    now: u64,
    bytes: &[u8],
) -> Result<(), StoreError> {
    replace_file(path, &record::encode(kind, version, now, bytes))
}

/// Loads the content of `kind` from the file at `path`.
///
/// # Errors
/// Any [`StoreError`]; [`StoreError::is_missing`] is true if the file does not exist.
pub fn load(path: &Path, kind: &str) -> Result<StoredFile, StoreError> {
    let bytes = read_file(path)?;
    record::decode(&bytes, kind).map_err(|error| StoreError::record(error, path, kind))
}

/// Replaces the file at `path` atomically by `bytes`, without adding a first line. Only the owner may read the file.
/// The new content is durable on return.
///
/// # Errors
/// [`StoreError::Io`], as for [`save`].
pub fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let directory = path
        .parent()
        .filter(|parent| !parent.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut temporary = tempfile::NamedTempFile::new_in(directory)
        .map_err(StoreError::io("create a temporary file next to", path))?;
    write_durably(temporary.as_file_mut(), bytes).map_err(StoreError::io("write", path))?;
    temporary
        .persist(path)
        .map_err(|error| StoreError::io("replace", path)(error.error))?;
    // The replacement is durable only once the directory has been synchronized too.
    fs::File::open(directory)
        .and_then(|directory| directory.sync_all())
        .map_err(StoreError::io("synchronize the directory of", path))
}

fn write_durably(file: &mut fs::File, bytes: &[u8]) -> std::io::Result<()> {
    file.set_permissions(fs::Permissions::from_mode(FILE_MODE))?;
    file.write_all(bytes)?;
    file.sync_all()
}

/// Reads a whole file of at most [`MAX_FILE_BYTES`].
pub(crate) fn read_file(path: &Path) -> Result<Vec<u8>, StoreError> {
    let file = fs::File::open(path).map_err(StoreError::io("read", path))?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(StoreError::io("read", path))?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(StoreError::TooLong {
            path: path.to_owned(),
        });
    }
    Ok(bytes)
}
