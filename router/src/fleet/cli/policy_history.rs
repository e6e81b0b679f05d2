//! `ternpick policy history`: lists the last proposals and their outcomes.

use serde_json::Value;

use super::client::inspect_leader;
use super::{field, finish_without_leader, rows, CommandResult, ExitStatus};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket) -> CommandResult {
    let Some(view) = inspect_leader(socket, "policy")? else {
        return finish_without_leader(socket);
    };
    if socket.json {
        println!("{}", view["history"]);
        return Ok(ExitStatus::Done);
    }
    for proposal in rows(&view["history"]) {
        print_proposal(proposal, &view["in_force"]["number"]);
    }
    Ok(ExitStatus::Done)
}

fn print_proposal(proposal: &Value, number_in_force: &Value) {
    let number = field(&proposal["number"]);
    let fate = field(&proposal["fate"]);
    let author = field(&proposal["author"]);
    let reason = field(&proposal["reason"]);
    let now = if proposal["number"] == *number_in_force {
        " (now)"
    } else {
        ""
    };
    let why = proposal["why"].as_str().map_or_else(String::new, |why| {
        format!(" by {}: {why}", field(&proposal["by"]))
    });
    println!("{number:>6}  {fate:<10}{now} {author}: {reason}{why}");
}
