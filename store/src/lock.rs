//! Exclusive use of a directory by one process.

use std::fs;
use std::path::Path;

use crate::StoreError;

/// Exclusive use of a directory until this value is dropped or the process ends.
#[derive(Debug)]
pub struct DirectoryLock {
    /// The open directory. Closing it releases the lock.
    _directory: fs::File,
}

/// Locks a directory for this process; None if it is locked already. The directory is created if it is missing. Read
/// permission on the directory is sufficient.
///
/// # Errors
/// [`StoreError::Io`] if the directory cannot be created, opened or locked.
pub fn lock_directory(path: &Path) -> Result<Option<DirectoryLock>, StoreError> {
    if !path.exists() {
        fs::create_dir_all(path).map_err(StoreError::io("create", path))?;
    }
    let directory = fs::File::open(path).map_err(StoreError::io("open", path))?;
    match directory.try_lock() {
        Ok(()) => Ok(Some(DirectoryLock {
            _directory: directory,
        })),
        Err(fs::TryLockError::WouldBlock) => Ok(None),
        Err(fs::TryLockError::Error(error)) => Err(StoreError::io("lock", path)(error)),
    }
}
