//! The arguments of `ternpick maintenance`. Their doc comments are the help texts.

use std::time::Duration;

use clap::{Args, Subcommand};

use crate::fleet::cli::OperationOptions;
use crate::lifecycle::control::Socket;

/// The machines of a request, how long the work on them takes, and its time window.
#[derive(Args)]
pub(crate) struct MachineSelection {
    /// Machines by their names in discovery
    pub(super) machines: Vec<String>,
    /// All machines of a shard group
    #[arg(long)]
    pub(super) group: Vec<u64>,
    /// All machines of a zone
    #[arg(long)]
    pub(super) zone: Vec<String>,
    /// Only machines that have been up for this long, of those selected or of all
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(super) up_for: Option<Duration>,
    /// How long the work on one machine takes
    #[arg(long, default_value = "30m", value_parser = humantime::parse_duration)]
    pub(super) lasts: Duration,
    /// The work may begin after this time from now
    #[arg(long = "in", value_parser = humantime::parse_duration)]
    pub(super) after: Option<Duration>,
    /// The deadline of the work, as a time from now
    #[arg(long, value_parser = humantime::parse_duration)]
    pub(super) within: Option<Duration>,
    /// Requests of higher priority go first
    #[arg(long, default_value_t = 0)]
    pub(super) priority: u8,
    /// Takes all machines out of service at once, or none
    #[arg(long)]
    pub(super) together: bool,
}

/// Commands `ternpick maintenance ...`.
#[derive(Subcommand)]
pub(crate) enum MaintenanceCommand {
    /// Requests machines; reports at once if the request cannot be met, and which limits prevent it
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
    /// Shows the plan with these machines added: the order, the duration and the limits that bind
    Plan {
        #[command(flatten)]
        socket: Socket,
        #[command(flatten)]
        selection: MachineSelection,
    },
    /// Lists the machines in maintenance: state, duration and what each waits for
    List {
        #[command(flatten)]
        socket: Socket,
    },
    /// Shows the machines of one request
    Show {
        #[command(flatten)]
        socket: Socket,
        request: u64,
    },
    /// Waits until a permit is available, and prints it
    Next {
        #[command(flatten)]
        options: OperationOptions,
        /// Only permits of this request
        #[arg(long)]
        request: Option<u64>,
    },
    /// Takes a permit; the operator may work on the machine from then on
    Begin {
        #[command(flatten)]
        options: OperationOptions,
        permit: u64,
        #[arg(long)]
        by: String,
    },
    /// Returns a permit
    Done {
        #[command(flatten)]
        options: OperationOptions,
        permit: u64,
        #[arg(long)]
        by: String,
        /// The reason why the machine is unfit for service; it stays out
        #[arg(long)]
        failed: Option<String>,
    },
    /// Pauses maintenance: no more machines go out of service, and those that are out stay out
    Hold {
        #[command(flatten)]
        options: OperationOptions,
        #[arg(long)]
        by: String,
        #[arg(long)]
        why: String,
    },
    /// Ends a pause, including one that the fleet itself began
    Resume {
        #[command(flatten)]
        options: OperationOptions,
        #[arg(long)]
        by: String,
    },
    /// Changes the deadline and the priority of an open request
    Change {
        #[command(flatten)]
        options: OperationOptions,
        request: u64,
        /// The deadline, as a time from now; without it the request has no deadline
        #[arg(long, value_parser = humantime::parse_duration)]
        within: Option<Duration>,
        #[arg(long, default_value_t = 0)]
        priority: u8,
        #[arg(long)]
        by: String,
    },
    /// Cancels the machines of a request that have no permit yet
    Cancel {
        #[command(flatten)]
        options: OperationOptions,
        request: u64,
        #[arg(long)]
        by: String,
    },
    /// Shows the history of maintenance
    History {
        #[command(flatten)]
        socket: Socket,
    },
    /// Waits for the turn of a request's next machine, runs a command for it (TERNPICK_MACHINE, TERNPICK_PERMIT), and
    /// returns the machine according to the command's exit status. If repeated after it was killed, it resumes with
    /// the same machine
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
