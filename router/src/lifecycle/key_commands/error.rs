//! Why a command for keys, tokens, revocations or permissions has failed.

use std::path::{Path, PathBuf};

use ternpick_identity::key_manager::KeyManagerError;
use ternpick_identity::{ConfigError, FeedError};
use ternpick_store::StoreError;

/// Why a command has failed. The operator gets the text.
#[derive(Debug, thiserror::Error)]
pub(super) enum KeyCommandError {
    /// A key cannot be made, ended or used.
    #[error(transparent)]
    KeyManager(#[from] KeyManagerError),
    /// The private keys or a published file cannot be read or written.
    #[error(transparent)]
    Store(#[from] StoreError),
    /// Something cannot be read from, or written as, JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A file or folder cannot be used.
    #[error("{path}: {source}")]
    File {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A file that should hold JSON does not.
    #[error("{path}: {source}")]
    FileContent {
        path: PathBuf,
        source: serde_json::Error,
    },
    /// The standard input cannot be read.
    #[error("{0}")]
    StandardInput(#[source] std::io::Error),
    /// The system has no random numbers.
    #[error("the system gave no random numbers")]
    NoRandom,
    /// A file is no revocation feed.
    #[error("{path}: no feed")]
    NotAFeed { path: PathBuf },
    /// A router would refuse the feed.
    #[error(transparent)]
    Feed(#[from] FeedError),
    /// It is not said what is revoked.
    #[error("say what is revoked: --token, --subject, --key or --certificate")]
    NothingToRevoke,
    /// The settings file cannot be used.
    #[error("{0}")]
    Settings(String),
    /// The settings have no identity.
    #[error("{settings}: no identity in it")]
    NoIdentity { settings: PathBuf },
    /// The settings of identity contradict each other.
    #[error(transparent)]
    Terms(#[from] ConfigError),
}

impl KeyCommandError {
    /// A function that adds a path to what the system says.
    pub(super) fn at(path: &Path) -> impl FnOnce(std::io::Error) -> KeyCommandError + '_ {
        |source| KeyCommandError::File {
            path: path.to_owned(),
            source,
        }
    }
}
