//! The output of commands, as text for people and as JSON (`--json`) for scripts.

use serde_json::{json, Value};

use super::{CommandResult, ExitStatus};
use crate::lifecycle::control::Socket;

/// Prints the outcome of a command and returns its exit status. `line` is the text for people if the command was done.
pub(crate) fn finish(
    socket: &Socket,
    answer: &Value,
    line: impl FnOnce() -> String,
) -> CommandResult {
    let status = ExitStatus::of_answer(answer);
    if socket.json {
        println!("{answer}");
    } else if status == ExitStatus::Done {
        println!("{}", line());
    } else {
        let line = answer["line"].as_str().unwrap_or("refused");
        eprintln!("ternpick: {line}");
    }
    Ok(status)
}

/// Calls [`finish`] for an answer that is not done, whose own line gives the reason.
pub(crate) fn finish_without_line(socket: &Socket, answer: &Value) -> CommandResult {
    finish(socket, answer, String::new)
}

/// Finishes a command that needs the leader if none could be reached: the outcome is unknown.
pub(crate) fn finish_without_leader(socket: &Socket) -> CommandResult {
    let answer = json!({"ok": false, "unknown": true, "line": "no fleet leader could be reached"});
    finish_without_line(socket, &answer)
}

/// Formats a value for people: strings without quotes, booleans as yes and no, null as `-`.
pub(crate) fn field(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        other => other.to_string(),
    }
}

/// Returns the rows of a table in an answer; there are none if `table` is not an array.
pub(crate) fn rows(table: &Value) -> impl Iterator<Item = &Value> {
    table.as_array().into_iter().flatten()
}
