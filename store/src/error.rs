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
    /// The file does not start with a line of the form that this package writes.
    #[error("{path} was not written by this program, or its first line is corrupt")]
    UnknownFormat {
        /// The file.
        path: PathBuf,
    },
    /// The file is intact and holds a record of another kind.
    #[error("{path} holds a record of kind '{found}', expected '{expected}'")]
    WrongKind {
        /// The file.
        path: PathBuf,
        /// The kind that its first line names.
        found: String,
        /// The kind that the caller asked for.
        expected: String,
    },
    /// The file was truncated or modified.
    #[error("{path} is corrupt: its length or checksum does not match its first line")]
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

    /// For `map_err`: converts the failure of a system call that should `action` the file at `path`.
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

    /// Converts the failure to read a record of kind `expected` from the file at `path`.
    pub(crate) fn record(error: RecordError, path: &Path, expected: &str) -> StoreError {
        let path = path.to_owned();
        match error {
            RecordError::NotARecord => StoreError::UnknownFormat { path },
            RecordError::WrongKind { found } => StoreError::WrongKind {
                path,
                found,
                expected: expected.to_owned(),
            },
            RecordError::Corrupt => StoreError::Corrupt { path },
        }
    }
}
