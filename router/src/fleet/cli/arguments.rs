//! The arguments of `ternpick policy` and `ternpick fleet`. Their doc comments are the help texts.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};

use crate::lifecycle::control::Socket;

/// How long a command waits, and under which operation id it runs.
#[derive(Args)]
pub(crate) struct Wait {
    /// How long an outcome is waited for; past it the outcome is open (exit status 3), never "failed"
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    pub(crate) timeout: Duration,
    /// The number of this command; said again with the same one it is done once
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
    /// The same options for another operation, which gets an id of its own.
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
    /// Shows the policy that this router goes by
    Show {
        #[command(flatten)]
        socket: Socket,
    },
    /// Looks whether a policy can be read and stays within this router's own settings
    Check {
        #[command(flatten)]
        socket: Socket,
        file: PathBuf,
    },
    /// Tells what would change against the policy in force
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
        /// The version that it was made from; refused if another is in force by now
        #[arg(long)]
        base: Option<u64>,
        /// Waits until it is in force or nowhere, and says for whom it waits
        #[arg(long = "wait")]
        waits: bool,
    },
    /// Confirms a proposal as a second person, where the fleet asks for one
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
    /// Lists the last proposals and what became of them
    History {
        #[command(flatten)]
        socket: Socket,
    },
    /// Tells each change that this router sees, until it is interrupted
    Watch {
        #[command(flatten)]
        socket: Socket,
    },
}

/// Commands `ternpick fleet ...`.
#[derive(Subcommand)]
pub(crate) enum FleetCommand {
    /// Makes this router's state at the founding of a fleet; once, before its first start
    Init {
        /// The configuration file, for the router's name
        #[arg(long, env = "ROUTER_CONFIG")]
        config: PathBuf,
        #[arg(long, env = "ROUTER_SETTINGS")]
        settings: PathBuf,
    },
    /// Tells what this router holds, and what the one that leads sees of each member
    Status {
        #[command(flatten)]
        socket: Socket,
    },
    /// Lists the members with their seats
    Members {
        #[command(flatten)]
        socket: Socket,
    },
    /// Takes a router into the fleet
    Add {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
        /// Where the others reach it
        #[arg(long)]
        address: String,
        #[arg(long, default_value = "")]
        zone: String,
        /// Gives it a vote, once it has learnt what was agreed
        #[arg(long)]
        vote: bool,
    },
    /// Takes a router out of the fleet; its vote first, if it has one
    Remove {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
    },
    /// Gives a router a new seat in place of one whose state is lost or spoilt
    Replace {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
    },
    /// Passes the lead to another router that votes
    Transfer {
        #[command(flatten)]
        options: OperationOptions,
        name: String,
    },
}
