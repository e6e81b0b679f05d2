//! Why a command has failed on the operator's side. What a router refuses is an answer, and no error.

use std::path::PathBuf;

use ternpick_fleet_policy::Member;

use super::ExitStatus;
use crate::lifecycle::control::ControlError;

/// How a command ends: with an exit status, or with a line on the standard error and status 1.
pub(crate) type CommandResult = Result<ExitStatus, CommandError>;

/// Why a command has failed on the operator's side.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The router could not be asked.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A policy file could not be read.
    #[error("cannot read {path}: {source}")]
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A policy is no valid policy.
    #[error("{0}")]
    Policy(String),
    /// An address has the wrong form.
    #[error("{address} is no address and port")]
    Address {
        address: String,
        source: std::net::AddrParseError,
    },
    /// The configuration or settings file could not be used.
    #[error("{0}")]
    Settings(String),
    /// The settings have no fleet.
    #[error("{settings}: no fleet in it")]
    NoFleet { settings: PathBuf },
    /// The settings' fleet does not have this router.
    #[error("{settings}: {member} is no member of fleet {fleet}")]
    NotAMember {
        settings: PathBuf,
        member: Member,
        fleet: String,
    },
    /// The fleet's folder could not be made.
    #[error("{folder}: {source}")]
    CreateFolder {
        folder: PathBuf,
        source: std::io::Error,
    },
    /// The fleet's folder could not be locked.
    #[error("{0}")]
    LockFolder(String),
    /// A process holds the lock of the fleet's folder.
    #[error("a router uses {folder} just now")]
    FolderInUse { folder: PathBuf },
    /// The replica's file is there already.
    #[error(
        "{file} is there already: a fleet is founded once. A router that has lost its state gets a new seat by \
         'ternpick fleet replace {member}'"
    )]
    AlreadyBootstrapped { file: PathBuf, member: Member },
    /// The first state could not be encoded.
    #[error("{0}")]
    Encode(#[from] postcard::Error),
    /// The first state could not be written.
    #[error(transparent)]
    Persist(#[from] crate::fleet::replica_file::PersistError),
}
