//! `ternpick fleet status`: shows one router's own state, and each member as the leader sees it.

use serde_json::{json, Value};

use super::client::inspect_leader;
use super::fleet_members::print_members;
use super::policy_propose::describe_progress;
use super::{ask_fleet, field, finish_without_line, CommandResult, ExitStatus};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket) -> CommandResult {
    let answer = ask_fleet(socket, json!({"ask": "status"}))?;
    if answer["unknown"] == true {
        return finish_without_line(socket, &answer);
    }
    let view = inspect_leader(socket, "members")?;
    if socket.json {
        println!("{}", json!({"own": answer["fleet"], "leader": view}));
        return Ok(ExitStatus::Done);
    }
    print_own_state(&answer["fleet"]);
    let Some(view) = view else {
        println!("no fleet leader could be reached");
        return Ok(ExitStatus::Unknown);
    };
    print_leader_view(&view);
    Ok(ExitStatus::Done)
}

fn print_own_state(fleet: &Value) {
    println!(
        "fleet {}, router {}",
        field(&fleet["fleet"]),
        field(&fleet["member"])
    );
    println!(
        "policy version {} (epoch {}, log index {}); {}; lease left {} ms",
        field(&fleet["version"]),
        field(&fleet["epoch"]),
        field(&fleet["knows_up_to"]),
        field(&fleet["admission"]),
        field(&fleet["lease_left_ms"])
    );
    match fleet["seat"].as_object() {
        Some(replica) => println!(
            "replica {}: {}, term {}, last index {}, committed {}, applied {}",
            replica["seat"],
            field(&replica["standing"]),
            replica["term"],
            replica["last"],
            replica["agreed"],
            replica["played"]
        ),
        None => {
            let reason = fleet["seat_words"]
                .as_str()
                .map_or_else(String::new, |reason| format!(": {reason}"));
            println!("no replica{reason}");
        }
    }
}

fn print_leader_view(view: &Value) {
    println!(
        "leader {}, log index {}, policy version {} in force",
        field(&view["leader"]),
        view["index"],
        view["in_force"]["number"]
    );
    let next = &view["next"];
    if next.is_object() {
        println!(
            "proposal {} by {}: {}",
            next["number"],
            field(&next["author"]),
            describe_progress(view)
        );
    }
    print_members(view);
}
