//! The commands `ternpick policy` and `ternpick fleet`, which use a router's control socket. Each command has a file
//! of its own. The commands `ternpick maintenance` share the options, the client and the output.
//!
//! [`ExitStatus`] lists the exit statuses.

mod arguments;
mod client;
mod error;
mod exit_status;
mod fleet_init;
mod fleet_members;
mod fleet_membership;
mod fleet_status;
mod output;
mod policy_check;
mod policy_confirm;
mod policy_diff;
mod policy_history;
mod policy_propose;
mod policy_show;
mod policy_watch;

use std::process::ExitCode;

pub(crate) use arguments::{FleetCommand, OperationOptions, PolicyCommand, Wait};
pub(crate) use client::{ask_fleet, submit, INSPECTION_WAIT_MS};
pub(crate) use error::{CommandError, CommandResult};
pub(crate) use exit_status::ExitStatus;
pub(crate) use output::{field, finish, finish_without_leader, finish_without_line, rows};

/// Runs a command `ternpick policy ...`. The error is one line for the operator.
pub(crate) fn policy(command: PolicyCommand) -> Result<ExitCode, String> {
    let result = match command {
        PolicyCommand::Show { socket } => policy_show::run(&socket),
        PolicyCommand::Check { socket, file } => policy_check::run(&socket, &file),
        PolicyCommand::Diff { socket, file } => policy_diff::run(&socket, &file),
        PolicyCommand::Propose {
            options,
            file,
            base,
            waits,
        } => policy_propose::run(&options, &file, base, waits),
        PolicyCommand::Confirm {
            options,
            number,
            by,
        } => policy_confirm::confirm(&options, number, &by),
        PolicyCommand::Withdraw {
            options,
            number,
            by,
            reason,
        } => policy_confirm::withdraw(&options, number, &by, &reason),
        PolicyCommand::History { socket } => policy_history::run(&socket),
        PolicyCommand::Watch { socket } => policy_watch::run(&socket),
    };
    exit_code(result)
}

/// Runs a command `ternpick fleet ...`. The error is one line for the operator.
pub(crate) fn fleet(command: FleetCommand) -> Result<ExitCode, String> {
    let result = match command {
        FleetCommand::Init { config, settings } => fleet_init::run(&config, &settings),
        FleetCommand::Status { socket } => fleet_status::run(&socket),
        FleetCommand::Members { socket } => fleet_members::run(&socket),
        FleetCommand::Add {
            options,
            name,
            address,
            zone,
            vote,
        } => {
            let member = fleet_membership::NewMember {
                name,
                address,
                zone,
                vote,
            };
            fleet_membership::add(&options, &member)
        }
        FleetCommand::Remove { options, name } => fleet_membership::remove(&options, &name),
        FleetCommand::Replace { options, name } => fleet_membership::replace(&options, &name),
        FleetCommand::Transfer { options, name } => fleet_membership::transfer(&options, &name),
    };
    exit_code(result)
}

/// Converts the result of a command into an exit code, or the one-line text of its error.
pub(crate) fn exit_code(result: CommandResult) -> Result<ExitCode, String> {
    result
        .map(ExitCode::from)
        .map_err(|error| error.to_string())
}
