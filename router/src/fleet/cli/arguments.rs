//! The arguments of `ternpick policy` and `ternpick fleet`. Their doc comments are the help texts.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};

use crate::lifecycle::control::Socket;

/// The timeout of a command and its operation id.
#[derive(Args)]
pub(crate) struct Wait {
    /// How long to wait for the outcome; after that it is unknown (exit status 3), not failed
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    pub(crate) timeout: Duration,
    /// The operation id; a command repeated with the same id takes effect once
    #[arg(long)]
    pub(crate) op: Option<u64>,
}

/// The options of commands that change something.
#[derive(Args)]
pub(crate) struct OperationOptions {
    #[command(flatten)]
    pub(crate) socket: Socket,
    #[command(flatten)]
    pub(crate) wait: Wait,
}

impl OperationOptions {
    /// Returns the same options for another operation, which gets an id of its own.
    pub(super) fn for_another_operation(&self) -> OperationOptions {
        OperationOptions {
            socket: self.socket.clone(),
            wait: Wait {
                timeout: self.wait.timeout,
                op: None,
            },
        }
    }
}

/// Commands `ternpick policy ...`.
#[derive(Subcommand)]
pub(crate) enum PolicyCommand {
    /// Shows the policy that is in force on this router
    Show {
        #[command(flatten)]
        socket: Socket,
    },
    /// Checks whether a policy is valid and stays within this router's own settings
    Check {
        #[command(flatten)]
        socket: Socket,
        file: PathBuf,
    },
    /// Shows the differences between a policy and the one in force
    Diff {
        #[command(flatten)]
        socket: Socket,
        file: PathBuf,
    },
    /// Proposes a policy to the fleet
    Propose {
        #[command(flatten)]
        options: OperationOptions,
        file: PathBuf,
        /// The version that the policy was made from; the proposal is refused if another version is in force
        #[arg(long)]
        base: Option<u64>,
        /// Waits until the proposal is in force, refused or withdrawn, and shows for which members it waits
        #[arg(long = "wait")]
        waits: bool,
    },
    /// Confirms a proposal as a second person, if the fleet requires it
    Confirm {
        #[command(flatten)]
        options: OperationOptions,
        number: u64,
        #[arg(long)]
        by: String,
    },
    /// Withdraws a proposal that is not in force yet
    Withdraw {
        #[command(flatten)]
        options: OperationOptions,
        number: u64,
        #[arg(long)]
        by: String,
        #[arg(long)]
        reason: String,
    },
    /// Lists the last proposals and their outcomes
    History {
        #[command(flatten)]
        socket: Socket,
    },
    /// Prints each change that this router sees, until it is interrupted
    Watch {
        #[command(flatten)]
        socket: Socket,
    },
}

/// Commands `ternpick fleet ...`.
#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// Creates this router's replica state at the bootstrap of a fleet; once, before its first start
    Init {
        /// The configuration file, which has the router's name
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        #[arg(long, env = "ROUTER_SETTINGS")]
        settings: PathBuf,
    },
    /// Shows this router's own state, and each member as the leader sees it
    Status {
        #[command(flatten)]
        socket: Socket,
    },
    /// Lists the members with their replicas
    Members {
        #[command(flatten)]
        socket: Socket,
    },
    /// Adds a router to the fleet
    Add {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
        /// The address at which the other members reach the router
        #[arg(long)]
        address: String,
        #[arg(long, default_value = "")]
        zone: String,
        /// Makes the router a voter, once it has caught up
        #[arg(long)]
        vote: bool,
    },
    /// Removes a router from the fleet; a voter gives up its vote first
    Remove {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
    },
    /// Gives a router a new replica in place of one whose state is lost or corrupt
    Replace {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
    },
    /// Transfers leadership to another voter
    Transfer {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
    },
}
