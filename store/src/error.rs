//! The errors of this package.

use std::path::{Path, PathBuf};

use crate::file::MAX_FILE_BYTES;
use crate::record::RecordError;

/// Why a file cannot be read, written or locked.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// A system call failed.
    #[error("cannot {action} {path}: {source}")]
    Io {
        /// What was attempted, as a verb.
        action: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error of the system call.
        source: std::io::Error,
    },
    /// The file does not start with a line of this package.
    #[error("{path} was not written by this program, or its first line is corrupt")]
    UnknownFormat {
        /// The file.
        path: PathBuf,
    },
    /// The file is intact and of another kind.
    #[error("{path} holds '{found}', not '{wanted}'")]
    WrongKind {
        /// The file.
        path: PathBuf,
        /// The kind that its first line names.
        found: String,
        /// The kind that the caller asked for.
        wanted: String,
    },
    /// The file was truncated or modified.
    #[error("{path} is corrupt: its length or checksum is not what its first line says")]
    Corrupt {
        /// The file.
        path: PathBuf,
    },
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("{path} is longer than {MAX_FILE_BYTES} bytes")]
    TooLong {
        /// The file.
        path: PathBuf,
    },
}

impl StoreError {
    /// Whether the file does not exist.
    pub fn is_missing(&self) -> bool {
        matches!(self, StoreError::Io { source, .. } if source.kind() == std::io::ErrorKind::NotFound)
    }

    /// For `map_err`: the failure of a system call that was to `action` the file at `path`.
    pub(crate) fn io<'a>(
        action: &'static str,
        path: &'a Path,
    ) -> impl Fn(std::io::Error) -> StoreError + 'a {
        move |source| StoreError::Io {
            action,
            path: path.to_owned(),
            source,
        }
    }

    /// The failure to read a record of kind `wanted` from the file at `path`.
    pub(crate) fn record(error: RecordError, path: &Path, wanted: &str) -> StoreError {
        let path = path.to_owned();
        match error {
            RecordError::NotARecord => StoreError::UnknownFormat { path },
            RecordError::WrongKind { found } => StoreError::WrongKind {
                path,
                found,
                wanted: wanted.to_owned(),
            },
            RecordError::Corrupt => StoreError::Corrupt { path },
        }
    }
}
