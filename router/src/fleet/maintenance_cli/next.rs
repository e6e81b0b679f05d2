//! `ternpick maintenance next`: waits for an available permit.

use std::time::Instant;

use serde_json::{json, Value};

use super::client::{inspect, Inspection, POLL_INTERVAL};
use crate::fleet::cli::{
    field, finish, finish_without_line, rows, CommandResult, OperationOptions,
};

/// The state of a machine whose permit an operator has taken.
const IN_WORK: &str = "in work";

pub(super) fn run(options: &OperationOptions, request: Option<u64>) -> CommandResult {
    let socket = &options.socket;
    let began = Instant::now();
    loop {
        if let Inspection::View(view) = inspect(socket)? {
            if let Some(row) = find_permit(&view, request, None) {
                let answer = json!({"ok": true, "permit": row["permit"], "machine": row["machine"], "request": row["request"]});
                return finish(socket, &answer, || {
                    format!(
                        "permit {} for {}",
                        field(&row["permit"]),
                        field(&row["machine"])
                    )
                });
            }
        }
        if began.elapsed() >= options.wait.timeout {
            let line = format!(
                "no permit became available within {:?}",
                options.wait.timeout
            );
            let answer = json!({"ok": false, "unknown": true, "line": line});
            return finish_without_line(socket, &answer);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Finds a machine whose permit is not taken, or was taken by `by`. One that `by` has taken comes first.
pub(super) fn find_permit(view: &Value, request: Option<u64>, by: Option<&str>) -> Option<Value> {
    let is_usable = |row: &&Value| match row["state"].as_str() {
        Some("permitted") => true,
        Some(IN_WORK) => by.is_some() && row["begun"].as_str() == by,
        _ => false,
    };
    rows(&view["rows"])
        .filter(|row| request.is_none() || row["request"].as_u64() == request)
        .filter(is_usable)
        .max_by_key(|row| row["state"] == IN_WORK)
        .cloned()
}
