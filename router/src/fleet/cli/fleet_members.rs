//! `ternpick fleet members`: lists the members as the leader sees them.

use serde_json::Value;

use super::client::inspect_leader;
use super::{field, finish_without_leader, rows, CommandResult, ExitStatus};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket) -> CommandResult {
    let Some(view) = inspect_leader(socket, "members")? else {
        return finish_without_leader(socket);
    };
    if socket.json {
        println!("{}", view["rows"]);
    } else {
        print_members(&view);
    }
    Ok(ExitStatus::Done)
}

/// Prints the table of members. A star marks the replica of a learner.
pub(super) fn print_members(view: &Value) {
    println!(
        "{:<12} {:<22} {:<10} {:>7} {:>12} {:>9} {:>8} {:>8}",
        "member", "address", "zone", "replica", "heard ms ago", "index", "fits", "stopped"
    );
    for row in rows(&view["rows"]) {
        let learner_mark = if row["learns"] == true { "*" } else { "" };
        let replica = field(&row["seat"]) + learner_mark;
        println!(
            "{:<12} {:<22} {:<10} {replica:>7} {:>12} {:>9} {:>8} {:>8}",
            field(&row["member"]),
            field(&row["address"]),
            field(&row["zone"]),
            field(&row["heard_ms_ago"]),
            field(&row["knows_up_to"]),
            field(&row["fits"]),
            field(&row["stopped"])
        );
    }
}
