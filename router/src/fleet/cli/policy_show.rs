//! `ternpick policy show`: shows the policy in force on one router.

use serde_json::json;

use super::{ask_fleet, finish, CommandResult};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket) -> CommandResult {
    let answer = ask_fleet(socket, json!({"ask": "show"}))?;
    finish(socket, &answer, || {
        let in_force = &answer["in_force"];
        let title = format!(
            "policy version {}, epoch {}",
            in_force["number"], answer["epoch"]
        );
        match in_force["text"].as_str().filter(|text| !text.is_empty()) {
            Some(text) => format!("// {title}\n{}", text.trim_end()),
            None => format!("{title}: the platform's default settings"),
        }
    })
}
