//! What commands print, for people and (`--json`) for scripts.

use serde_json::{json, Value};

use super::{CommandResult, ExitStatus};
use crate::lifecycle::control::Socket;

/// Prints how a command has ended, and returns its exit status. `line` is what people read if it is done.
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

/// [`finish`] for an answer that is not done: its own line says why.
pub(crate) fn finish_without_line(socket: &Socket, answer: &Value) -> CommandResult {
    finish(socket, answer, String::new)
}

/// Ends a command that needs the leader, where none is reached: the outcome is unknown.
pub(crate) fn finish_without_leader(socket: &Socket) -> CommandResult {
    let answer = json!({"ok": false, "unknown": true, "line": "nobody that leads is reached"});
    finish_without_line(socket, &answer)
}

/// A value as people read it: a string without quotes, yes and no, and `-` where there is none.
pub(crate) fn field(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Bool(true) => "yes".into(),
        Value::Bool(false) => "no".into(),
        other => other.to_string(),
    }
}

/// The rows of a table in an answer; none where there is no such table.
pub(crate) fn rows(table: &Value) -> impl Iterator<Item = &Value> {
    table.as_array().into_iter().flatten()
}
