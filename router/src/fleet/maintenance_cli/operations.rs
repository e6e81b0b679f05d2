//! The commands that add one entry to the log: `ask`, `begin`, `done`, `hold`, `resume`, `change` and `cancel`.

use std::time::Duration;

use serde_json::json;

use super::arguments::MachineSelection;
use super::client::{machine_request, submit_entry, wall_clock_in_ms};
use crate::fleet::cli::{finish, submit, CommandResult, OperationOptions};

pub(super) fn ask(
    options: &OperationOptions,
    selection: &MachineSelection,
    why: &str,
    by: &str,
) -> CommandResult {
    let answer = submit(options, machine_request(selection, why, by))?;
    finish(&options.socket, &answer, || {
        format!("maintenance request {} accepted", answer["number"])
    })
}

pub(super) fn begin(options: &OperationOptions, permit: u64, by: &str) -> CommandResult {
    let answer = submit_entry(options, json!({"begin": {"permit": permit, "by": by}}))?;
    finish(&options.socket, &answer, || {
        format!("permit {permit} taken by {by}")
    })
}

pub(super) fn done(
    options: &OperationOptions,
    permit: u64,
    by: &str,
    failed: Option<&str>,
) -> CommandResult {
    let entry = json!({"done": {"permit": permit, "by": by, "failed": failed}});
    let answer = submit_entry(options, entry)?;
    finish(&options.socket, &answer, || {
        format!("permit {permit} returned")
    })
}

/// `hold`: pauses maintenance, so that no more machines go out of service.
pub(super) fn pause(options: &OperationOptions, by: &str, why: &str) -> CommandResult {
    let answer = submit_entry(options, json!({"hold": {"by": by, "why": why}}))?;
    finish(&options.socket, &answer, || {
        "maintenance paused: no more machines go out of service".into()
    })
}

pub(super) fn resume(options: &OperationOptions, by: &str) -> CommandResult {
    let answer = submit_entry(options, json!({"resume": {"by": by}}))?;
    finish(&options.socket, &answer, || "maintenance resumed".into())
}

pub(super) fn change(
    options: &OperationOptions,
    request: u64,
    within: Option<Duration>,
    priority: u8,
    by: &str,
) -> CommandResult {
    let by_when = within.map(wall_clock_in_ms);
    let change = json!({"request": request, "by_when": by_when, "priority": priority, "by": by});
    let answer = submit_entry(options, json!({"change": change}))?;
    finish(&options.socket, &answer, || {
        format!("maintenance request {request} changed")
    })
}

pub(super) fn cancel(options: &OperationOptions, request: u64, by: &str) -> CommandResult {
    let answer = submit_entry(options, json!({"cancel": {"request": request, "by": by}}))?;
    finish(&options.socket, &answer, || {
        format!(
            "{} machines of maintenance request {request} cancelled",
            answer["number"]
        )
    })
}
