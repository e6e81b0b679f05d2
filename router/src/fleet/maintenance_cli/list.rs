//! `ternpick maintenance list`, `show` and `history`: show the machines in maintenance as the leader sees them.

use std::time::Duration;

use serde_json::{json, Value};

use super::client::{inspect, not_open, Inspection};
use crate::fleet::cli::{
    field, finish_without_leader, finish_without_line, rows, CommandResult, ExitStatus,
};
use crate::lifecycle::control::Socket;

pub(super) fn list(socket: &Socket) -> CommandResult {
    let view = match inspect(socket)? {
        Inspection::View(view) => view,
        Inspection::NoView(answer) if answer["unknown"] == true => {
            return finish_without_leader(socket);
        }
        Inspection::NoView(answer) => return finish_without_line(socket, &answer),
    };
    if socket.json {
        println!("{view}");
    } else {
        print_coordinator(&view);
        print_machines(rows(&view["rows"]));
    }
    Ok(ExitStatus::Done)
}

pub(super) fn show(socket: &Socket, request: u64) -> CommandResult {
    let view = match inspect(socket)? {
        Inspection::View(view) => view,
        Inspection::NoView(answer) => return finish_without_line(socket, &answer),
    };
    let machines: Vec<&Value> = rows(&view["rows"])
        .filter(|row| row["request"] == request)
        .collect();
    let Some(first) = machines.first() else {
        return finish_without_line(socket, &not_open(request));
    };
    if socket.json {
        println!("{}", json!(machines));
    } else {
        let by = field(&first["by"]);
        let why = field(&first["why"]);
        println!("request {request} by {by}: {why}");
        print_machines(machines.into_iter());
    }
    Ok(ExitStatus::Done)
}

pub(super) fn history(socket: &Socket) -> CommandResult {
    let view = match inspect(socket)? {
        Inspection::View(view) => view,
        Inspection::NoView(answer) => return finish_without_line(socket, &answer),
    };
    if socket.json {
        println!("{}", view["past"]);
        return Ok(ExitStatus::Done);
    }
    for event in rows(&view["past"]) {
        println!("{:>8}  {}", field(&event["at"]), field(&event["words"]));
    }
    Ok(ExitStatus::Done)
}

fn print_coordinator(view: &Value) {
    println!(
        "coordinator {}, fencing number {}",
        field(&view["carrier"]),
        field(&view["fence"])
    );
    let pause = &view["hold"];
    if pause.is_object() {
        println!(
            "paused by {}: {}",
            field(&pause["by"]),
            field(&pause["why"])
        );
    }
}

fn print_machines<'a>(machines: impl Iterator<Item = &'a Value>) {
    println!(
        "{:<8} {:<20} {:<17} {:>10} {:>8}  waits for",
        "request", "machine", "state", "duration", "permit"
    );
    for row in machines {
        let duration = if row["state"] == "waits" {
            "-".into()
        } else {
            format_ms(&row["for_ms"])
        };
        println!(
            "{:<8} {:<20} {:<17} {duration:>10} {:>8}  {}",
            field(&row["request"]),
            field(&row["machine"]),
            field(&row["state"]),
            field(&row["permit"]),
            waits_for(row)
        );
    }
}

/// Describes what a machine waits for: routers that still use it, a limit that binds, or the operator who works on it.
fn waits_for(row: &Value) -> String {
    let members = join_names(&row["waits_for"]);
    if !members.is_empty() {
        return format!("routers that still use it: {members}");
    }
    if let Some(binds) = row["binds"].as_str() {
        return binds.to_owned();
    }
    if let Some(failed) = row["failed"].as_str() {
        return format!("{}: {failed}", field(&row["begun"]));
    }
    let Some(begun) = row["begun"].as_str() else {
        return String::new();
    };
    if row["overdue"] == true {
        return format!("{begun}, overdue");
    }
    begun.to_owned()
}

/// Formats milliseconds as a duration, rounded down to seconds.
pub(super) fn format_ms(ms: &Value) -> String {
    let ms = ms.as_u64().unwrap_or(0);
    humantime::format_duration(Duration::from_secs(ms / 1000)).to_string()
}

/// Joins a list of names into one line.
pub(super) fn join_names(names: &Value) -> String {
    let names: Vec<String> = rows(names).map(field).collect();
    names.join(", ")
}
