//! Sends requests about the fleet over the control socket, for all commands.

use std::time::Duration;

use serde_json::{json, Value};

use super::OperationOptions;
use crate::fleet::random_u64;
use crate::lifecycle::control::{request_with_timeout, ControlError, Socket};

/// The time beyond `wait_ms` after which a router that has not answered counts as unresponsive.
const ANSWER_GRACE: Duration = Duration::from_secs(2);
/// How long the router waits for the leader's answer to a question, in milliseconds.
pub(crate) const INSPECTION_WAIT_MS: u64 = 3000;

/// Sends a request about the fleet to the router. If the router does not answer within `wait_ms` and [`ANSWER_GRACE`],
/// the outcome is unknown.
pub(crate) fn ask_fleet(socket: &Socket, question: Value) -> Result<Value, ControlError> {
    let mut question = question;
    question["do"] = "fleet".into();
    let wait_ms = question["wait_ms"].as_u64().unwrap_or(0);
    let timeout = Duration::from_millis(wait_ms).saturating_add(ANSWER_GRACE);
    request_with_timeout(&socket.socket, &question, Some(timeout), &mut |_| ())
}

/// Returns the leader's view of `topic`, or `None` if no leader could be reached.
pub(super) fn inspect_leader(socket: &Socket, topic: &str) -> Result<Option<Value>, ControlError> {
    let question = json!({"ask": "look", "what": topic, "wait_ms": INSPECTION_WAIT_MS});
    let answer = ask_fleet(socket, question)?;
    Ok(Some(answer["look"].clone()).filter(Value::is_object))
}

/// Sends a fleet command and returns its outcome.
pub(super) fn submit_command(
    options: &OperationOptions,
    command: Value,
) -> Result<Value, ControlError> {
    submit(options, json!({"ask": "do", "command": command}))
}

/// Sends a request under an operation id, and returns its outcome together with the id. If the outcome is unknown, the
/// line names the `--op` with which the command can be repeated.
pub(crate) fn submit(
    options: &OperationOptions,
    mut question: Value,
) -> Result<Value, ControlError> {
    let op = options.wait.op.unwrap_or_else(random_u64);
    let wait_ms = u64::try_from(options.wait.timeout.as_millis()).unwrap_or(u64::MAX);
    question["op"] = op.into();
    question["wait_ms"] = wait_ms.into();
    let mut answer = ask_fleet(&options.socket, question)?;
    if answer["unknown"] == true {
        let line = answer["line"].as_str().unwrap_or_default();
        answer["line"] = format!("{line} (--op {op})").into();
    }
    answer["op"] = op.into();
    Ok(answer)
}
