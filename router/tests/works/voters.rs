//! What voters learn of the work.

use std::process::Command;

use serde_json::Value;

use crate::fleets::program;
use crate::small::{until, Small};

/// What was agreed of many machines is longer than goes at a time; a voter that has lost its disk learns it all the same.
#[test]
fn a_voter_that_lost_its_disk_learns_thousands_of_machines() {
    let mut fleet = Small::start(3, 60);
    let machines: Vec<String> = (0..60).map(|at| format!("s-{at}")).collect();
    let ask = [
        "ask",
        "--in",
        "9h",
        "--why",
        "a long list of disks that are to be exchanged",
        "--by",
        "ann",
    ];
    let ask: Vec<&str> = ask
        .into_iter()
        .chain(machines.iter().map(String::as_str))
        .collect();
    for _ in 0..50 {
        until("it is asked", || fleet.works(&ask).1 == Some(0));
    }
    // Enough entries that the state has gone in their place, and no log is there to be learnt from.
    for _ in 0..260 {
        fleet.works(&["hold", "--by", "ann", "--why", "a storm"]);
    }
    fleet.ends(2);
    std::fs::remove_dir_all(fleet.path("state-n2")).expect("its disk");
    let router = fleet.run(&["serve"], 2).spawn().expect("it starts");
    fleet.routers[2] = router;
    let fleet_says = |words: &[&str]| {
        let mut command = Command::new(program());
        command
            .arg("fleet")
            .args(words)
            .arg("--json")
            .arg("--socket")
            .arg(fleet.path("n0"));
        let done = command.output().expect("it ends");
        (
            serde_json::from_slice::<Value>(&done.stdout).unwrap_or_default(),
            done.status.code(),
        )
    };
    until("it has another seat", || {
        fleet_says(&["replace", "n2"]).1 == Some(0)
    });
    until("it has learnt, and votes", || {
        let (rows, _) = fleet_says(&["members"]);
        let mut rows = rows.as_array().cloned().unwrap_or_default().into_iter();
        rows.any(|row| row["member"] == "n2" && row["seat"] == 4 && row["learns"] == false)
    });
    // It can carry the work on: it has all of it.
    until("it leads", || {
        fleet_says(&["transfer", "n2"]);
        let (seen, _) = fleet_says(&["status"]);
        let rows = fleet.works(&["list"]).0["rows"].as_array().map(Vec::len);
        seen["leader"]["leader"] == "n2" && rows == Some(3000)
    });
}
