//! Sends requests about maintenance over the control socket.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{json, Value};

use super::arguments::MachineSelection;
use crate::fleet::cli::{ask_fleet, rows, submit, OperationOptions, INSPECTION_WAIT_MS};
use crate::lifecycle::control::{ControlError, Socket};

/// The interval between requests of a command that waits.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// The result of asking the leader's coordinator for the state of maintenance.
pub(super) enum Inspection {
    /// The state of maintenance.
    View(Value),
    /// The router's answer if there is no view: the request was refused, or no leader could be reached.
    NoView(Value),
}

/// Asks the leader for the state of maintenance.
pub(super) fn inspect(socket: &Socket) -> Result<Inspection, ControlError> {
    let question = json!({"ask": "works", "what": "works", "wait_ms": INSPECTION_WAIT_MS});
    let answer = ask_fleet(socket, question)?;
    let view = &answer["look"];
    Ok(if view.is_object() {
        Inspection::View(view.clone())
    } else {
        Inspection::NoView(answer)
    })
}

/// Submits one entry for the log and returns its outcome.
pub(super) fn submit_entry(
    options: &OperationOptions,
    entry: Value,
) -> Result<Value, ControlError> {
    submit(options, json!({"ask": "works", "entry": entry}))
}

/// Makes a request for machines. The router resolves groups and zones to machines.
pub(super) fn machine_request(selection: &MachineSelection, why: &str, by: &str) -> Value {
    let request = json!({
        "machines": [],
        "why": why,
        "by": by,
        "lasts": as_micros(selection.lasts),
        "not_before": selection.after.map(wall_clock_in_ms),
        "by_when": selection.within.map(wall_clock_in_ms),
        "priority": selection.priority,
        "together": selection.together,
    });
    json!({
        "ask": "works",
        "request": request,
        "machines": selection.machines,
        "groups": selection.group,
        "zones": selection.zone,
        "up_for": selection.up_for.map(as_micros),
    })
}

/// Whether a request has unfinished machines.
pub(super) fn is_open(view: &Value, request: u64) -> bool {
    rows(&view["rows"]).any(|row| row["request"] == request)
}

/// The answer to a command about a request that is not open.
pub(super) fn not_open(request: u64) -> Value {
    json!({"ok": false, "line": format!("maintenance request {request} is not open")})
}

/// The wall clock in milliseconds since the Unix epoch, `delay` from now.
pub(super) fn wall_clock_in_ms(delay: Duration) -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.saturating_add(delay).as_millis()).unwrap_or(u64::MAX)
}

fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
