//! Catching up of voters with the state of maintenance.

use std::process::Command;

use serde_json::Value;

use crate::fleets::program;
use crate::small_fleet::{wait_until, SmallFleet};

/// Guards against a voter that cannot catch up: the maintenance state of many machines is longer than one message
/// batch, and a voter that has lost its disk must still receive all of it.
#[test]
fn voter_that_lost_its_disk_catches_up_with_thousands_of_machines() {
    let mut fleet = SmallFleet::start(3, 60);
    let machines: Vec<String> = (0..60).map(|at| format!("s-{at}")).collect();
    let ask_arguments = [
        "ask",
        "--in",
        "9h",
        "--why",
        "a long list of disks that are to be exchanged",
        "--by",
        "ann",
    ];
    let ask: Vec<&str> = ask_arguments
        .into_iter()
        .chain(machines.iter().map(String::as_str))
        .collect();
    for _ in 0..50 {
        wait_until("the request is accepted", || {
            fleet.run_maintenance(&ask).1 == Some(0)
        });
    }
    // Writes enough entries that the log is replaced by a snapshot, and the voter cannot catch up from the log.
    for _ in 0..260 {
        fleet.run_maintenance(&["hold", "--by", "ann", "--why", "a storm"]);
    }
    fleet.kill_router(2);
    std::fs::remove_dir_all(fleet.path("state-n2")).expect("the state folder is removed");
    let router = fleet.start_router(2);
    fleet.routers[2] = router;
    let fleet_command = |arguments: &[&str]| {
        let mut command = Command::new(program());
        command
            .arg("fleet")
            .args(arguments)
            .arg("--json")
            .arg("--socket")
            .arg(fleet.path("n0"));
        let done = command.output().expect("the command ends");
        (
            serde_json::from_slice::<Value>(&done.stdout).unwrap_or_default(),
            done.status.code(),
        )
    };
    wait_until("n2 has a new replica", || {
        fleet_command(&["replace", "n2"]).1 == Some(0)
    });
    wait_until("n2 has caught up and is a voter", || {
        let (rows, _) = fleet_command(&["members"]);
        let mut rows = rows.as_array().cloned().unwrap_or_default().into_iter();
        rows.any(|row| row["member"] == "n2" && row["seat"] == 4 && row["learns"] == false)
    });
    // As the leader it coordinates maintenance, and lists all machines.
    wait_until("n2 is the leader and lists all machines", || {
        fleet_command(&["transfer", "n2"]);
        let (status, _) = fleet_command(&["status"]);
        let rows = fleet.run_maintenance(&["list"]).0["rows"]
            .as_array()
            .map(Vec::len);
        status["leader"]["leader"] == "n2" && rows == Some(3000)
    });
}
