//! What operators ask for and see: commands on machines, plans, holds, refusals.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::small::{until, Small};

fn lines(path: &Path) -> Vec<String> {
    std::fs::read_to_string(path)
        .unwrap_or_default()
        .lines()
        .map(str::to_owned)
        .collect()
}

#[test]
fn exec_runs_a_command_on_each_machine_in_its_turn_and_goes_on_after_it_was_killed() {
    let one = Small::start(1, 3);
    let (said, status, words) = one.works(&["ask", "s-0", "s-1", "--why", "disks", "--by", "ann"]);
    assert_eq!(status, Some(0), "{words}");
    let request = said["number"].to_string();
    let told = one.folder.path().join("told");
    let script = |more: &str| format!("echo $TERNPICK_MACHINE >> {}; {more}", told.display());
    let exec = |more: &str| {
        let script = script(more);
        one.command(&[
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
    // Killed in the middle: the machine stays ann's, and she goes on with it.
    let mut killed = exec("exec sleep 5").spawn().expect("it starts");
    let began = Instant::now();
    while lines(&told).is_empty() {
        assert!(began.elapsed() < Duration::from_secs(10), "it runs");
        std::thread::sleep(Duration::from_millis(20));
    }
    killed.kill().expect("killed");
    killed.wait().expect("it has ended");
    let first = lines(&told)[0].clone();
    assert_eq!(one.state_of(&first).as_deref(), Some("in work"));
    assert!(exec("exit 0").output().expect("it ends").status.success());
    assert_eq!(lines(&told), [first.clone(), first.clone()]);
    // Given back unfit, it stays out.
    let failed = exec("exit 3").output().expect("it ends");
    assert_eq!(
        failed.status.code(),
        Some(1),
        "{}",
        String::from_utf8_lossy(&failed.stderr)
    );
    let second = lines(&told)[2].clone();
    assert_ne!(first, second);
    assert_eq!(one.state_of(&second).as_deref(), Some("given back unfit"));
    assert!(
        exec("exit 0")
            .output()
            .is_ok_and(|done| done.status.code() == Some(4)),
        "its turn does not come"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn an_operator_asks_looks_holds_cancels_and_is_told_why_not() {
    let one = Small::start(1, 3);
    let (_, status, words) = one.works(&["ask", "s-9", "--why", "disks", "--by", "ann"]);
    assert_eq!(
        (status, words.is_empty()),
        (Some(1), true),
        "its answer is JSON"
    );
    let (said, ..) = one.works(&[
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
        said["line"]
            .as_str()
            .is_some_and(|line| line.contains("can never go out")),
        "{said}"
    );
    let (said, ..) = one.works(&[
        "ask", "--group", "0", "--lasts", "1h", "--within", "2h", "--why", "d", "--by", "ann",
    ]);
    assert!(
        said["line"]
            .as_str()
            .is_some_and(|line| line.contains("needs 3 rounds")),
        "{said}"
    );
    let request_of = |said: &Value| said["number"].to_string();
    assert_eq!(
        one.works(&["change", "77", "--priority", "3", "--by", "ann"])
            .1,
        Some(1),
        "no such request"
    );
    assert_eq!(
        one.works(&["hold", "--by", "ann", "--why", "a storm"]).1,
        Some(0)
    );
    let (plan, ..) = one.works(&["plan", "--up-for", "1d"]);
    assert_eq!(
        plan["rounds"].as_array().map(Vec::len),
        Some(3),
        "whose start is not known started long ago: {plan}"
    );
    let (said, ..) = one.works(&["ask", "--zone", "a", "--why", "disks", "--by", "ann"]);
    let request = request_of(&said);
    assert_eq!(
        one.works(&[
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
    let (plan, ..) = one.works(&["plan", "s-2"]);
    assert_eq!(plan["rounds"].as_array().map(Vec::len), Some(4), "{plan}");
    std::thread::sleep(Duration::from_millis(600));
    assert_eq!(one.state_of("s-0").as_deref(), Some("waits"), "it is held");
    assert_eq!(
        one.works(&["next", "--timeout", "300ms"]).1,
        Some(3),
        "nobody can tell when"
    );
    assert_eq!(one.works(&["resume", "--by", "ann"]).1, Some(0));
    let (said, status, _) = one.works(&["next", "--request", &request]);
    assert_eq!(status, Some(0), "{said}");
    let (permit, machine) = (
        said["permit"].to_string(),
        said["machine"].as_str().expect("one").to_owned(),
    );
    assert_eq!(one.works(&["begin", &permit, "--by", "ann"]).1, Some(0));
    assert_eq!(
        one.works(&["begin", &permit, "--by", "bob"]).1,
        Some(1),
        "ann has it"
    );
    let (said, ..) = one.works(&["cancel", &request, "--by", "ann"]);
    assert_eq!(said["number"], 2, "what she has in hand stays out");
    assert_eq!(one.state_of(&machine).as_deref(), Some("in work"));
    assert_eq!(one.works(&["done", &permit, "--by", "ann"]).1, Some(0));
    until("it is back", || one.state_of(&machine).is_none());
    let (past, ..) = one.works(&["history"]);
    assert!(past.to_string().contains("is closed"), "{past}");
}
