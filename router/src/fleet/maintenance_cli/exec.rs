//! `ternpick maintenance exec`: takes the next machine of a request, runs a command for it, and returns it according
//! to the command's exit status.

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::client::{inspect, is_open, not_open, submit_entry, Inspection, POLL_INTERVAL};
use super::next::find_permit;
use crate::fleet::cli::{
    field, finish, finish_without_line, CommandResult, ExitStatus, OperationOptions, Wait,
};
use crate::fleet::random_u64;
use crate::lifecycle::control::{ControlError, Socket};

/// The timeout of one attempt to return a machine.
const RETURN_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts to return a machine stop after this many times [`RETURN_TIMEOUT`].
const RETURN_ATTEMPTS: u32 = 20;

pub(super) fn run(
    options: &OperationOptions,
    request: u64,
    by: &str,
    command: &[String],
) -> CommandResult {
    let socket = &options.socket;
    let row = match wait_for_turn(options, request, by)? {
        Turn::Permitted(row) => row,
        Turn::NotOpen => return finish_without_line(socket, &not_open(request)),
        Turn::NotYet => {
            eprintln!(
                "ternpick: nothing was run: request {request} got no permit before the timeout"
            );
            return Ok(ExitStatus::NotYet);
        }
    };
    let machine = Machine {
        name: field(&row["machine"]),
        permit: row["permit"].as_u64().unwrap_or(0),
    };
    let permit = machine.permit;
    let answer = submit_entry(options, json!({"begin": {"permit": permit, "by": by}}))?;
    if answer["ok"] != true {
        // Nothing was run, so a repeated command finds the permit unchanged.
        return finish_without_line(socket, &answer);
    }
    let failure = run_command(command, &machine);
    let answer = return_machine(socket, &machine, by, failure.as_deref())?;
    if let Some(reason) = failure {
        let name = &machine.name;
        let answer = json!({"ok": false, "machine": name, "permit": permit,
            "line": format!("machine {name} stays out of service: {reason}")});
        return finish_without_line(socket, &answer);
    }
    finish(socket, &answer, || {
        format!("machine {} returned", machine.name)
    })
}

/// The machine that the command is run for.
struct Machine {
    name: String,
    permit: u64,
}

/// The result of waiting for a request's turn.
enum Turn {
    /// The row of a machine whose permit this operator can use.
    Permitted(Value),
    /// The request has no unfinished machine.
    NotOpen,
    /// The timeout expired first.
    NotYet,
}

fn wait_for_turn(options: &OperationOptions, request: u64, by: &str) -> Result<Turn, ControlError> {
    let began = Instant::now();
    loop {
        if let Inspection::View(view) = inspect(&options.socket)? {
            if let Some(row) = find_permit(&view, Some(request), Some(by)) {
                return Ok(Turn::Permitted(row));
            }
            if !is_open(&view, request) {
                return Ok(Turn::NotOpen);
            }
        }
        if began.elapsed() >= options.wait.timeout {
            return Ok(Turn::NotYet);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Runs the command. Returns the reason if it failed.
fn run_command(command: &[String], machine: &Machine) -> Option<String> {
    let program = &command[0];
    let status = Command::new(program)
        .args(&command[1..])
        .env("TERNPICK_MACHINE", &machine.name)
        .env("TERNPICK_PERMIT", machine.permit.to_string())
        .stdin(Stdio::inherit())
        .status();
    match status {
        Ok(status) if status.success() => None,
        Ok(status) => Some(format!("command {program} failed with {status}")),
        Err(error) => Some(format!("command {program} could not be started: {error}")),
    }
}

/// Returns the machine. Attempts use the same operation id and are repeated until the outcome is known.
fn return_machine(
    socket: &Socket,
    machine: &Machine,
    by: &str,
    failure: Option<&str>,
) -> Result<Value, ControlError> {
    let options = OperationOptions {
        socket: socket.clone(),
        wait: Wait {
            timeout: RETURN_TIMEOUT,
            op: Some(random_u64()),
        },
    };
    let entry = json!({"done": {"permit": machine.permit, "by": by, "failed": failure}});
    let began = Instant::now();
    loop {
        let answer = submit_entry(&options, entry.clone())?;
        if answer["unknown"] != true || began.elapsed() >= RETURN_TIMEOUT * RETURN_ATTEMPTS {
            return Ok(answer);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}
