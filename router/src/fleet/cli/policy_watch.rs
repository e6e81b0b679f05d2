//! `ternpick policy watch`: prints a line for each change that one router sees, until it is interrupted.

use serde_json::{json, Value};

use super::policy_propose::POLL_INTERVAL;
use super::{ask_fleet, field, CommandResult};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket) -> CommandResult {
    let mut last = Value::Null;
    loop {
        let answer = ask_fleet(socket, json!({"ask": "status"}))?;
        if answer["unknown"] == true {
            eprintln!("ternpick: {}", field(&answer["line"]));
            continue;
        }
        let fleet = &answer["fleet"];
        let state = json!([
            fleet["version"],
            fleet["next"],
            fleet["admission"],
            fleet["leader"]
        ]);
        if state != last {
            last = state;
            print_state(socket, fleet);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn print_state(socket: &Socket, fleet: &Value) {
    if socket.json {
        println!("{fleet}");
        return;
    }
    let next = match fleet["next"].as_object() {
        None => String::new(),
        Some(next) if next["takes_hold"] == true => {
            format!(", proposal {} is taking effect", next["number"])
        }
        Some(next) if next["unconfirmed"] == true => {
            format!(
                ", proposal {} needs confirmation by a second person",
                next["number"]
            )
        }
        Some(next) => format!(", proposal {} is being checked", next["number"]),
    };
    println!(
        "{}: policy version {}{next}; {}; leader {}",
        field(&fleet["member"]),
        field(&fleet["version"]),
        field(&fleet["admission"]),
        field(&fleet["leader"])
    );
}
