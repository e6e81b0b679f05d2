//! `ternpick policy check`: checks whether a policy file fits one router's own settings.

use std::path::Path;

use serde_json::json;

use super::{ask_fleet, field, finish, CommandError, CommandResult};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket, file: &Path) -> CommandResult {
    let text = read_policy_file(file)?;
    let question = json!({"ask": "check", "name": file.display().to_string(), "text": text});
    let answer = ask_fleet(socket, question)?;
    finish(socket, &answer, || {
        let figures = answer["figures"].as_object().into_iter().flatten();
        let lines: Vec<String> = figures
            .map(|(path, value)| format!("{path} = {}", field(value)))
            .collect();
        format!(
            "the policy fits this router's settings\n{}",
            lines.join("\n")
        )
    })
}

/// Reads the text of a policy file.
pub(super) fn read_policy_file(file: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|source| CommandError::ReadFile {
        path: file.to_owned(),
        source,
    })
}
