//! `ternpick maintenance plan`: shows the rounds in which machines would go out of service, and the limits that
//! prevent others from going out.

use serde_json::Value;

use super::arguments::MachineSelection;
use super::client::machine_request;
use super::list::{format_ms, join_names};
use crate::fleet::cli::{
    ask_fleet, field, finish_without_line, rows, CommandResult, ExitStatus, INSPECTION_WAIT_MS,
};
use crate::lifecycle::control::Socket;

pub(super) fn run(socket: &Socket, selection: &MachineSelection) -> CommandResult {
    let mut question = machine_request(selection, "", "");
    question["what"] = "works-plan".into();
    question["wait_ms"] = INSPECTION_WAIT_MS.into();
    let answer = ask_fleet(socket, question)?;
    let plan = &answer["look"];
    if !plan.is_object() {
        return finish_without_line(socket, &answer);
    }
    if socket.json {
        println!("{plan}");
    } else {
        print_plan(plan);
    }
    Ok(ExitStatus::Done)
}

fn print_plan(plan: &Value) {
    let rounds: Vec<&Value> = rows(&plan["rounds"]).collect();
    println!(
        "{} rounds (lower bound {}), duration {}",
        rounds.len(),
        field(&plan["bound"]),
        format_ms(&plan["lasts_ms"])
    );
    for (index, round) in rounds.iter().enumerate() {
        println!(
            "{:>4}  {:<10} {}",
            index + 1,
            format_ms(&round["lasts_ms"]),
            join_names(&round["machines"])
        );
    }
    for impossible in rows(&plan["cannot"]) {
        println!(
            "never  {}: {}",
            join_names(&impossible["machines"]),
            field(&impossible["binds"])
        );
    }
}
