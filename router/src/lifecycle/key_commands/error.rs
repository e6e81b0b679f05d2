//! The errors of the commands for keys, tokens, revocations and permissions.

use std::path::{Path, PathBuf};

use ternpick_identity::key_manager::KeyManagerError;
use ternpick_identity::{ConfigError, FeedError};
use ternpick_store::StoreError;

/// Why a command failed. The text is printed for the operator.
#[derive(Debug, thiserror::Error)]
pub(super) enum KeyCommandError {
    /// A key cannot be created, retired or used.
    #[error(transparent)]
    KeyManager(#[from] KeyManagerError),
    /// The private keys or a published file cannot be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// A value cannot be parsed from JSON or encoded as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file or folder cannot be used.
    #[error("{path}: {source}")]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file does not contain JSON.
    #[error("{path}: {source}")]
    FileContent {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// The standard input cannot be read.
    #[error("standard input: {0}")]
    StandardInput(#[source] std::io::Error),
    /// The system's random number generator failed.
    #[error("the system's random number generator failed")]
    NoRandom,
    /// A file is not a revocation feed.
    #[error("{path}: not a revocation feed: 'to' must be a number and 'entries' an array")]
    NotAFeed { path: PathBuf },
    /// Routers would reject the feed.
    #[error(transparent)]
    Feed(#[from] FeedError),
    /// The command names nothing to revoke.
    #[error("one of --token, --subject, --key and --certificate is required")]
    NothingToRevoke,
    /// The settings file cannot be used.
    #[error("{0}")]
    Settings(String),
    /// The settings have no identity.
    #[error("{settings}: the settings have no identity")]
    NoIdentity { settings: PathBuf },
    /// The identity settings contradict each other.
    #[error(transparent)]
    Terms(#[from] ConfigError),
}

impl KeyCommandError {
    /// Returns a function that adds a path to an I/O error.
    pub(super) fn at(path: &Path) -> impl FnOnce(std::io::Error) -> KeyCommandError + '_ {
        |source| KeyCommandError::File {
            path: path.to_owned(),
            source,
        }
    }
}
