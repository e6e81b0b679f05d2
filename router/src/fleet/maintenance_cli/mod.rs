//! The commands `ternpick maintenance ...`: what operators ask for, see and hand back. They speak to a router's control
//! socket; what is decided is in `ternpick-maintenance`.

mod arguments;
mod client;
mod exec;
mod list;
mod next;
mod operations;
mod plan;

use std::process::ExitCode;

pub(crate) use arguments::MaintenanceCommand as Works;

use crate::fleet::cli::{exit_code, CommandResult};

/// Runs a command `ternpick maintenance ...`; the error is one line for the operator.
pub(crate) fn works(command: Works) -> Result<ExitCode, String> {
    exit_code(run(command))
}

fn run(command: Works) -> CommandResult {
    match command {
        Works::Ask {
            options,
            which,
            why,
            by,
        } => operations::ask(&options, &which, &why, &by),
        Works::Plan { socket, which } => plan::run(&socket, &which),
        Works::List { socket } => list::list(&socket),
        Works::Show { socket, request } => list::show(&socket, request),
        Works::Next { options, request } => next::run(&options, request),
        Works::Begin {
            options,
            permit,
            by,
        } => operations::begin(&options, permit, &by),
        Works::Done {
            options,
            permit,
            by,
            failed,
        } => operations::done(&options, permit, &by, failed.as_deref()),
        Works::Hold { options, by, why } => operations::pause(&options, &by, &why),
        Works::Resume { options, by } => operations::resume(&options, &by),
        Works::Change {
            options,
            request,
            within,
            priority,
            by,
        } => operations::change(&options, request, within, priority, &by),
        Works::Cancel {
            options,
            request,
            by,
        } => operations::cancel(&options, request, &by),
        Works::History { socket } => list::history(&socket),
        Works::Exec {
            options,
            request,
            by,
            command,
        } => exec::run(&options, request, &by, &command),
    }
}
