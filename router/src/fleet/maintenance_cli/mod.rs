//! The commands `ternpick maintenance ...`, with which operators request, inspect and return machines. They use a
//! router's control socket; `ternpick-maintenance` makes the decisions.

mod arguments;
mod client;
mod exec;
mod list;
mod next;
mod operations;
mod plan;

use std::process::ExitCode;

pub(crate) use arguments::MaintenanceCommand;

use crate::fleet::cli::{exit_code, CommandResult};

/// Runs a command `ternpick maintenance ...`. The error is one line for the operator.
pub(crate) fn maintenance(command: MaintenanceCommand) -> Result<ExitCode, String> {
    exit_code(run(command))
}

fn run(command: MaintenanceCommand) -> CommandResult {
    match command {
        MaintenanceCommand::Ask {
            options,
            selection,
            why,
            by,
        } => operations::ask(&options, &selection, &why, &by),
        MaintenanceCommand::Plan { socket, selection } => plan::run(&socket, &selection),
        MaintenanceCommand::List { socket } => list::list(&socket),
        MaintenanceCommand::Show { socket, request } => list::show(&socket, request),
        MaintenanceCommand::Next { options, request } => next::run(&options, request),
        MaintenanceCommand::Begin {
            options,
            permit,
            by,
        } => operations::begin(&options, permit, &by),
        MaintenanceCommand::Done {
            options,
            permit,
            by,
            failed,
        } => operations::done(&options, permit, &by, failed.as_deref()),
        MaintenanceCommand::Hold { options, by, why } => operations::pause(&options, &by, &why),
        MaintenanceCommand::Resume { options, by } => operations::resume(&options, &by),
        MaintenanceCommand::Change {
            options,
            request,
            within,
            priority,
            by,
        } => operations::change(&options, request, within, priority, &by),
        MaintenanceCommand::Cancel {
            options,
            request,
            by,
        } => operations::cancel(&options, request, &by),
        MaintenanceCommand::History { socket } => list::history(&socket),
        MaintenanceCommand::Exec {
            options,
            request,
            by,
            command,
        } => exec::run(&options, request, &by, &command),
    }
}
