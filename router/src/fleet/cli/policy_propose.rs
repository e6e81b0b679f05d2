//! `ternpick policy propose`: proposes a policy, and with `--wait` follows it until it is in force, refused or
//! withdrawn.

use std::io::IsTerminal;
use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::client::{inspect_leader, submit_command};
use super::policy_check::read_policy_file;
use super::policy_diff::read_record;
use super::{field, finish, finish_without_line, rows, CommandResult, OperationOptions};
use crate::lifecycle::control::Socket;

/// The interval between requests of a command that waits.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// A member is shown as silent once the leader has received nothing from it for longer than this.
const SILENT_AFTER_MS: u64 = 1000;

pub(super) fn run(
    options: &OperationOptions,
    file: &Path,
    base: Option<u64>,
    waits: bool,
) -> CommandResult {
    let text = read_policy_file(file)?;
    let record = read_record(&file.display().to_string(), &text)?;
    let began = Instant::now();
    let command = json!({"propose": {"base": base, "text": text, "author": record.author, "reason": record.reason}});
    let answer = submit_command(options, command)?;
    let number = answer["number"].clone();
    if answer["ok"] != true || !waits {
        return finish(&options.socket, &answer, || {
            format!("proposal {number} submitted")
        });
    }
    let proposal = Proposal {
        socket: &options.socket,
        number,
        op: answer["op"].clone(),
        began,
    };
    proposal.wait_until_decided(options.wait.timeout)
}

/// A proposal whose outcome a command waits for.
struct Proposal<'a> {
    socket: &'a Socket,
    number: Value,
    op: Value,
    began: Instant,
}

impl Proposal<'_> {
    fn wait_until_decided(&self, timeout: Duration) -> CommandResult {
        let shows_progress = std::io::stderr().is_terminal() && !self.socket.json;
        let mut shown = String::new();
        while self.began.elapsed() < timeout {
            if let Some(view) = inspect_leader(self.socket, "members")? {
                if let Some(result) = self.finish_if_decided(&view) {
                    return result;
                }
                let progress = describe_progress(&view);
                if shows_progress && progress != shown {
                    eprintln!("{:>6} ms  {progress}", self.began.elapsed().as_millis());
                    shown = progress;
                }
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let number = &self.number;
        let line = format!(
            "proposal {number} is still open: not in force, refused or withdrawn after {timeout:?}; {shown}"
        );
        let answer =
            json!({"ok": false, "unknown": true, "number": number, "line": line, "op": self.op});
        finish_without_line(self.socket, &answer)
    }

    /// Finishes the command if the history lists the proposal as in force, refused or withdrawn.
    fn finish_if_decided(&self, view: &Value) -> Option<CommandResult> {
        let took_ms = self.began.elapsed().as_millis();
        let entry = rows(&view["history"]).find(|entry| entry["number"] == self.number)?;
        let fate = entry["fate"].as_str()?;
        match fate {
            "in_force" => Some(self.finish_in_force(took_ms)),
            "refused" | "withdrawn" => Some(self.finish_rejected(fate, entry)),
            _ => None,
        }
    }

    fn finish_in_force(&self, took_ms: u128) -> CommandResult {
        let number = &self.number;
        let answer = json!({"ok": true, "number": number, "fate": "in_force", "took_ms": took_ms, "op": self.op});
        finish(self.socket, &answer, || {
            format!("policy version {number} is in force after {took_ms} ms")
        })
    }

    fn finish_rejected(&self, fate: &str, entry: &Value) -> CommandResult {
        let number = &self.number;
        let line = format!(
            "proposal {number} was {fate} by {}: {}",
            field(&entry["by"]),
            field(&entry["why"])
        );
        let answer = json!({"ok": false, "number": number, "fate": fate, "by": entry["by"], "why": entry["why"],
            "line": line, "op": self.op});
        finish_without_line(self.socket, &answer)
    }
}

/// Describes which members have not confirmed yet, which are silent, and when the proposal is in force without them.
pub(super) fn describe_progress(view: &Value) -> String {
    if view["next"]["unconfirmed"] == true {
        return "the proposal needs confirmation by a second person: ternpick policy confirm"
            .into();
    }
    let silent = names(rows(&view["rows"]).filter(|row| is_silent(row)));
    let missing = names(rows(&view["rows"]).filter(|row| row["fits"] == false && !is_silent(row)));
    let mut text = format!(
        "{} of {} members have confirmed",
        field(&view["next"]["fit"]),
        field(&view["members"])
    );
    if !missing.is_empty() {
        text += &format!("; not confirmed: {missing}");
    }
    if !silent.is_empty() {
        let latest_ms = field(&view["latest_ms"]);
        text +=
            &format!("; silent: {silent}, in force without them in {latest_ms} ms at the latest");
    }
    text
}

fn is_silent(row: &Value) -> bool {
    row["heard_ms_ago"]
        .as_u64()
        .is_none_or(|ago| ago > SILENT_AFTER_MS)
}

fn names<'a>(rows: impl Iterator<Item = &'a Value>) -> String {
    let names: Vec<String> = rows.map(|row| field(&row["member"])).collect();
    names.join(", ")
}
