//! The maintenance commands of operators: requests, plans, pauses and refusals.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::small_fleet::{wait_until, SmallFleet};

fn lines(path: &Path) -> Vec<String> {
    std::fs::read_to_string(path)
        .unwrap_or_default()
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn exec_runs_its_command_on_each_machine_in_turn_and_resumes_after_it_was_killed() {
    let fleet = SmallFleet::start(1, 3);
    let (answer, status, stderr) =
        fleet.run_maintenance(&["ask", "s-0", "s-1", "--why", "disks", "--by", "ann"]);
    assert_eq!(status, Some(0), "{stderr}");
    let request = answer["number"].to_string();
    let ran_on = fleet.folder.path().join("ran_on");
    let script = |more: &str| format!("echo $TERNPICK_MACHINE >> {}; {more}", ran_on.display());
    let exec = |more: &str| {
        let script = script(more);
        fleet.maintenance_command(&[
            "exec",
            "--request",
            &request,
            "--by",
            "ann",
            "--",
            "sh",
            "-c",
            &script,
        ])
    };
    // The command is killed while it runs: ann keeps the machine, and the repeated command resumes with it.
    let mut killed = exec("exec sleep 5").spawn().expect("the command starts");
    let began = Instant::now();
    while lines(&ran_on).is_empty() {
        assert!(
            began.elapsed() < Duration::from_secs(10),
            "the command runs"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    killed.kill().expect("killed");
    killed.wait().expect("the command has ended");
    let first = lines(&ran_on)[0].clone();
    assert_eq!(fleet.state_of(&first).as_deref(), Some("in work"));
    assert!(exec("exit 0")
        .output()
        .expect("the command ends")
        .status
        .success());
    assert_eq!(lines(&ran_on), [first.clone(), first.clone()]);
    // A machine that is returned as unfit stays out of service.
    let failed = exec("exit 3").output().expect("the command ends");
    assert_eq!(
        failed.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&failed.stderr)
    );
    let second = lines(&ran_on)[2].clone();
    assert_ne!(first, second);
    assert_eq!(fleet.state_of(&second).as_deref(), Some("given back unfit"));
    assert!(
        exec("exit 0")
            .output()
            .is_ok_and(|done| done.status.code() == Some(4)),
        "the request gets no permit"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario whose steps depend on each other"
)]
fn operator_requests_plans_pauses_and_cancels_and_receives_reasons_of_refusals() {
    let fleet = SmallFleet::start(1, 3);
    let (_, status, stderr) =
        fleet.run_maintenance(&["ask", "s-9", "--why", "disks", "--by", "ann"]);
    assert_eq!(
        (status, stderr.is_empty()),
        (Some(1), true),
        "the refusal is JSON on standard output"
    );
    let (answer, ..) = fleet.run_maintenance(&[
        "ask",
        "s-0",
        "s-1",
        "--together",
        "--why",
        "disks",
        "--by",
        "ann",
    ]);
    assert!(
        answer["line"]
            .as_str()
            .is_some_and(|line| line.contains("can never go out")),
        "{answer}"
    );
    let (answer, ..) = fleet.run_maintenance(&[
        "ask", "--group", "0", "--lasts", "1h", "--within", "2h", "--why", "d", "--by", "ann",
    ]);
    assert!(
        answer["line"]
            .as_str()
            .is_some_and(|line| line.contains("needs 3 rounds")),
        "{answer}"
    );
    let request_of = |answer: &Value| answer["number"].to_string();
    assert_eq!(
        fleet
            .run_maintenance(&["change", "77", "--priority", "3", "--by", "ann"])
            .1,
        Some(1),
        "no such request"
    );
    assert_eq!(
        fleet
            .run_maintenance(&["hold", "--by", "ann", "--why", "a storm"])
            .1,
        Some(0)
    );
    let (plan, ..) = fleet.run_maintenance(&["plan", "--up-for", "1d"]);
    assert_eq!(
        plan["rounds"].as_array().map(Vec::len),
        Some(3),
        "a machine whose start is unknown counts as up long enough: {plan}"
    );
    let (answer, ..) =
        fleet.run_maintenance(&["ask", "--zone", "a", "--why", "disks", "--by", "ann"]);
    let request = request_of(&answer);
    assert_eq!(
        fleet
            .run_maintenance(&[
                "change",
                &request,
                "--priority",
                "3",
                "--within",
                "9h",
                "--by",
                "ann"
            ])
            .1,
        Some(0)
    );
    let (plan, ..) = fleet.run_maintenance(&["plan", "s-2"]);
    assert_eq!(plan["rounds"].as_array().map(Vec::len), Some(4), "{plan}");
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(
        fleet.state_of("s-0").as_deref(),
        Some("waits"),
        "maintenance is paused"
    );
    assert_eq!(
        fleet.run_maintenance(&["next", "--timeout", "300ms"]).1,
        Some(3),
        "no permit is available before the timeout"
    );
    assert_eq!(fleet.run_maintenance(&["resume", "--by", "ann"]).1, Some(0));
    let (answer, status, _) = fleet.run_maintenance(&["next", "--request", &request]);
    assert_eq!(status, Some(0), "{answer}");
    let (permit, machine) = (
        answer["permit"].to_string(),
        answer["machine"].as_str().expect("a machine").to_owned(),
    );
    assert_eq!(
        fleet.run_maintenance(&["begin", &permit, "--by", "ann"]).1,
        Some(0)
    );
    assert_eq!(
        fleet.run_maintenance(&["begin", &permit, "--by", "bob"]).1,
        Some(1),
        "ann has it"
    );
    let (answer, ..) = fleet.run_maintenance(&["cancel", &request, "--by", "ann"]);
    assert_eq!(
        answer["number"], 2,
        "the machine with a permit is not cancelled"
    );
    assert_eq!(fleet.state_of(&machine).as_deref(), Some("in work"));
    assert_eq!(
        fleet.run_maintenance(&["done", &permit, "--by", "ann"]).1,
        Some(0)
    );
    wait_until("the machine is back in service", || {
        fleet.state_of(&machine).is_none()
    });
    let (history, ..) = fleet.run_maintenance(&["history"]);
    assert!(history.to_string().contains("is closed"), "{history}");
}
