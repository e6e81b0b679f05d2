//! Errors of commands on the operator's side. A refusal by a router is an answer and not an error.

use std::path::PathBuf;

use ternpick_fleet_policy::Member;

use super::ExitStatus;
use crate::lifecycle::control::ControlError;

/// The result of a command: an exit status, or an error that is printed as one line on standard error with exit status
/// 1.
pub(crate) type CommandResult = Result<ExitStatus, CommandError>;

/// The reason why a command failed on the operator's side.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// The request to the router failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A policy file could not be read.
    #[error("policy file {path} cannot be read: {source}")]
    ReadFile {
        path: PathBuf,
        source: std::io::Error,
    },
    /// A policy is not valid.
    #[error("{0}")]
    Policy(String),
    /// An address has the wrong form.
    #[error(
        "member address '{address}' cannot be parsed, expected an IP address and port: {source}"
    )]
    Address {
        address: String,
        source: std::net::AddrParseError,
    },
    /// The configuration or settings file could not be used.
    #[error("{0}")]
    Settings(String),
    /// The settings have no fleet.
    #[error("settings file {settings} has no 'fleet'")]
    NoFleet { settings: PathBuf },
    /// This router is not a member of the fleet in the settings.
    #[error("settings file {settings}: router {member} is not a member of fleet {fleet}")]
    NotAMember {
        settings: PathBuf,
        member: Member,
        fleet: String,
    },
    /// The fleet's folder could not be created.
    #[error("fleet folder {folder} cannot be created: {source}")]
    CreateFolder {
        folder: PathBuf,
        source: std::io::Error,
    },
    /// The fleet's folder could not be locked.
    #[error("{0}")]
    LockFolder(String),
    /// Another process holds the lock of the fleet's folder.
    #[error("fleet folder {folder} is in use by another process")]
    FolderInUse { folder: PathBuf },
    /// The replica's file exists already.
    #[error(
        "replica file {file} exists already: a fleet is initialized once. A router that has lost its state gets a new \
         replica by 'ternpick fleet replace {member}'"
    )]
    AlreadyBootstrapped { file: PathBuf, member: Member },
    /// The initial state could not be encoded.
    #[error("initial replica state cannot be encoded: {0}")]
    Encode(#[from] postcard::Error),
    /// The initial state could not be written.
    #[error(transparent)]
    Persist(#[from] crate::fleet::replica_file::PersistError),
}
