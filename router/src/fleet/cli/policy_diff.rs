//! `ternpick policy diff`: shows the differences between a policy file and the policy in force.

use std::path::Path;

use serde_json::{json, Value};
use ternpick_fleet_policy::Record;

use super::policy_check::read_policy_file;
use super::{ask_fleet, finish_without_line, CommandError, CommandResult, ExitStatus};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket, file: &Path) -> CommandResult {
    let new = read_record(&file.display().to_string(), &read_policy_file(file)?)?;
    let answer = ask_fleet(socket, json!({"ask": "show"}))?;
    if answer["ok"] != true {
        return finish_without_line(socket, &answer);
    }
    let in_force = &answer["in_force"];
    let old = read_record("in force", in_force["text"].as_str().unwrap_or_default())?;
    let differences = new.differences(&old);
    if socket.json {
        let line = json!({"base": in_force["number"], "differs": differences});
        println!("{line}");
    } else {
        print_table(&in_force["number"], &differences);
    }
    Ok(ExitStatus::Done)
}

/// Reads a policy. Errors refer to it by `name`.
pub(super) fn read_record(name: &str, text: &str) -> Result<Record, CommandError> {
    Record::read(name, text).map_err(|error| CommandError::Policy(error.to_string()))
}

fn print_table(version: &Value, differences: &[(String, String, String)]) {
    if differences.is_empty() {
        println!("the policy file does not differ from version {version}");
        return;
    }
    let version = format!("version {version}");
    println!("{:<40} {version:>16} {:>16}", "", "this file");
    for (path, old, new) in differences {
        println!("{path:<40} {old:>16} {new:>16}");
    }
}
