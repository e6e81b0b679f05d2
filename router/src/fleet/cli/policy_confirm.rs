//! `ternpick policy confirm` and `ternpick policy withdraw`: decisions on a proposal.

use serde_json::json;

use super::client::submit_command;
use super::{finish, CommandResult, OperationOptions};

pub(super) fn confirm(options: &OperationOptions, number: u64, by: &str) -> CommandResult {
    let command = json!({"confirm": {"number": number, "by": by}});
    let answer = submit_command(options, command)?;
    finish(&options.socket, &answer, || {
        format!("proposal {number} confirmed by {by}")
    })
}

pub(super) fn withdraw(
    options: &OperationOptions,
    number: u64,
    by: &str,
    reason: &str,
) -> CommandResult {
    let command = json!({"withdraw": {"number": number, "by": by, "reason": reason}});
    let answer = submit_command(options, command)?;
    finish(&options.socket, &answer, || {
        format!("proposal {number} withdrawn")
    })
}
