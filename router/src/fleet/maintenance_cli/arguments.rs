//! The arguments of `ternpick maintenance`. Their doc comments are the help texts.

use std::time::Duration;

use clap::{Args, Subcommand};

use crate::fleet::cli::OperationOptions;
use crate::lifecycle::control::Socket;

/// Which machines are asked for, for how long and until when.
#[derive(Args)]
pub(crate) struct MachineSelection {
    /// Machines by the names that discovery gives them
    pub(super) machines: Vec<String>,
    /// All machines of a group
    #[arg(long)]
    pub(super) group: Vec<u64>,
    /// All machines of a zone
    #[arg(long)]
    pub(super) zone: Vec<String>,
    /// Of these, or of all, only machines that have been up for so long
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(super) up_for: Option<Duration>,
    /// How long the work on one machine takes
    #[arg(long, default_value = "30m", value_parser = humantime::parse_duration)]
    pub(super) lasts: Duration,
    /// Not before so long from now
    #[arg(long = "in", value_parser = humantime::parse_duration)]
    pub(super) after: Option<Duration>,
    /// Done within so long from now
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(super) within: Option<Duration>,
    /// Higher goes first
    #[arg(long, default_value_t = 0)]
    pub(super) priority: u8,
    /// All at once, or none
    #[arg(long)]
    pub(super) together: bool,
}

/// Commands `ternpick maintenance ...`.
#[derive(Subcommand)]
pub(crate) enum MaintenanceCommand {
    /// Asks for machines; tells at once if that can't be met, and what would have to give
    Ask {
        #[command(flatten)]
        options: OperationOptions,
        #[command(flatten)]
        selection: MachineSelection,
        #[arg(long)]
        why: String,
        #[arg(long)]
        by: String,
    },
    /// Tells what would be done with these machines as well, in which order, how long it takes, and what binds
    Plan {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        selection: MachineSelection,
    },
    /// Lists the machines in work: states, since when, who waits for what
    List {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows one request
    Show {
        #[command(flatten)]
        socket: Socket,
        request: u64,
    },
    /// Waits until a permit is there to be taken, and tells it
    Next {
        #[command(flatten)]
        options: OperationOptions,
        /// Only of this request
        #[arg(long)]
        request: Option<u64>,
    },
    /// Takes a permit: from here on the machine is yours
    Begin {
        #[command(flatten)]
        options: OperationOptions,
        permit: u64,
        #[arg(long)]
        by: String,
    },
    /// Gives a permit back
    Done {
        #[command(flatten)]
        options: OperationOptions,
        permit: u64,
        #[arg(long)]
        by: String,
        /// The machine is not fit, and stays out
        #[arg(long)]
        failed: Option<String>,
    },
    /// Lets nothing more go out; what is out stays out
    Hold {
        #[command(flatten)]
        options: OperationOptions,
        #[arg(long)]
        by: String,
        #[arg(long)]
        why: String,
    },
    /// Ends a hold, the fleet's own too
    Resume {
        #[command(flatten)]
        options: OperationOptions,
        #[arg(long)]
        by: String,
    },
    /// Gives an open request another time by which it is wanted, and another priority
    Change {
        #[command(flatten)]
        options: OperationOptions,
        request: u64,
        /// Done within so long from now; without it there is no such time
        #[arg(long, value_parser = humantime::parse_duration)]
        within: Option<Duration>,
        #[arg(long, default_value_t = 0)]
        priority: u8,
        #[arg(long)]
        by: String,
    },
    /// Cancels what has no permit yet of a request
    Cancel {
        #[command(flatten)]
        options: OperationOptions,
        request: u64,
        #[arg(long)]
        by: String,
    },
    /// Tells what has happened
    History {
        #[command(flatten)]
        socket: Socket,
    },
    /// Takes the next machine of a request when its turn comes, runs a command (TERNPICK_MACHINE, TERNPICK_PERMIT), and gives
    /// it back by its exit status. Run again after it was killed, it goes on with the machine it had
    Exec {
        #[command(flatten)]
        options: OperationOptions,
        #[arg(long)]
        request: u64,
        #[arg(long)]
        by: String,
        #[arg(last = true, required = true)]
        command: Vec<String>,
    },
}
