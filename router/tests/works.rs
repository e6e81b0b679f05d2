//! Work on machines with real processes: crews take every machine out and back while routers are ended, cut off and
//! stopped. Judged by histories: no part is begun under a permit, no permit comes twice, each set keeps its holders.

#[path = "common/fleets.rs"]
mod fleets;

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use fleets::{change, judged, plan, played, program, step, turn};
use serde_json::Value;
use ternpick_history::Counts;
use ternpick_simulation::fleet::{Change, FleetPlan, Kind, Outcome, Step};
use test_case::test_case;

const CREWS: &str = "nodes: 6\nsets: 2\nworks: true\nseconds: 6\nrate: 80";

fn worked(steps: Vec<Step>, changes: Vec<Change>, more: &str) -> (Outcome, Counts) {
    let (outcome, counts) = played(plan(&format!("{CREWS}\n{more}")), steps, changes);
    let worked = outcome.worked.clone().expect("crews worked");
    assert_eq!(worked.back, worked.machines, "{worked:?}");
    assert!(counts.permits >= worked.machines as u64, "{counts:?}");
    (outcome, counts)
}

#[test_case(1)]
#[test_case(2)]
fn whatever_breaks_every_machine_goes_out_and_back_by_the_rules(seed: u64) {
    let _turn = turn();
    let plan = FleetPlan::parse(
        "works-test.cue",
        include_str!("../../simulation/plans/works-test.cue"),
    )
    .expect("a plan");
    let folder = tempfile::tempdir().expect("a folder");
    let (outcome, counts) = judged(&plan.draw(seed), folder.path());
    let worked = outcome.worked.expect("crews worked");
    assert_eq!(
        (worked.back, worked.all_back_ms.is_some()),
        (9, true),
        "{worked:?}"
    );
    assert!(counts.permits == 9 && counts.parts > 500, "{counts:?}");
}

#[test]
fn with_nothing_broken_no_lookup_is_refused_for_the_work() {
    let (outcome, counts) = worked(vec![], vec![], "");
    assert_eq!(
        counts.statuses.keys().collect::<Vec<_>>(),
        [&200],
        "{counts:?}"
    );
    assert!(outcome
        .worked
        .is_some_and(|worked| worked.longest_still_ms < 3000));
}

/// The router that carries the work on is ended at each moment of a machine's going out and back.
#[test_case(0; "as it is asked for")]
#[test_case(350; "as the first go out")]
#[test_case(420; "as they are quiet")]
#[test_case(700; "as they are given back")]
#[test_case(800; "as they bear load again")]
fn whoever_carries_the_work_on_is_ended(after: u64) {
    let (outcome, _) = worked(vec![step(20 + after, 1500, Kind::LeadKill, 0)], vec![], "");
    let still = outcome.worked.map(|worked| worked.longest_still_ms);
    assert!(
        still.is_some_and(|ms| ms < 5000),
        "another goes on within five seconds: {still:?}"
    );
}

#[test]
fn one_that_stands_still_while_machines_go_out_sends_nothing_there_afterwards() {
    let steps = vec![
        step(300, 2500, Kind::LongStop, 1),
        step(3200, 1500, Kind::Isolate, 2),
    ];
    worked(steps, vec![], "seconds: 7");
}

#[test]
fn with_the_quorum_gone_permits_stand_and_none_is_given() {
    worked(vec![step(500, 2500, Kind::Quorum, 0)], vec![], "seconds: 7");
}

#[test]
fn a_change_of_policy_and_an_upgrade_in_the_middle() {
    let steps = vec![
        step(400, 0, Kind::Upgrade, 0),
        step(1600, 0, Kind::Upgrade, 1),
    ];
    let (_, counts) = worked(steps, vec![change(600, 1), change(1900, 2)], "");
    assert!(counts.in_force >= 1 && counts.lost == 0, "{counts:?}");
}

#[test]
fn discovery_lists_them_ready_while_they_are_out() {
    let steps = (0..12)
        .map(|at| step(300 + at * 200, 0, Kind::AllReady, 0))
        .collect();
    worked(steps, vec![], "");
}

/// One router reaches two machines no longer, while the others do: what it alone says of them holds nobody for good, and
/// what has gone there in vain keeps no permit away.
#[test]
fn a_cut_between_those_who_see_a_machine_and_those_who_do_not() {
    let cut = |at: u64, node: usize| Step {
        at,
        lasts: 3000,
        kind: Kind::NodeCut,
        whom: 1,
        other: node,
    };
    let (_, counts) = worked(vec![cut(300, 1), cut(1200, 4)], vec![], "");
    assert_eq!(counts.lost, 0, "{counts:?}");
}

/// A small fleet without traffic, for what operators see. It speaks through its first router.
struct Small {
    folder: tempfile::TempDir,
    routers: Vec<Child>,
}

impl Drop for Small {
    fn drop(&mut self) {
        (0..self.routers.len()).for_each(|at| self.ends(at));
    }
}

/// An address of this process's own, so that it stays free while its router is down.
fn free() -> std::net::SocketAddr {
    static NUMBER: std::sync::atomic::AtomicU8 = std::sync::atomic::AtomicU8::new(1);
    let (pid, number) = (
        std::process::id(),
        NUMBER.fetch_add(1, std::sync::atomic::Ordering::Relaxed),
    );
    let own = [
        127,
        1 + (pid % 250) as u8,
        252 + (pid / 250 % 3) as u8,
        number,
    ];
    let listener =
        std::net::TcpListener::bind(std::net::SocketAddr::from((own, 0))).expect("a port");
    listener.local_addr().expect("an address")
}

const BOUND: Duration = Duration::from_secs(20);

fn until(what: &str, is: impl Fn() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < BOUND, "{what}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

impl Small {
    fn start(routers: usize, nodes: usize) -> Small {
        let folder = tempfile::tempdir().expect("a folder");
        let at = |name: String| folder.path().join(name);
        let node =
            |at: usize| ternpick_simulation::standins::entry(&format!("s-{at}"), free(), "Ready");
        let nodes = (0..nodes).map(node).collect::<Vec<_>>().join(",");
        let member = |at: usize| format!("\t\tn{at}: {{address: \"{}\", vote: true}}\n", free());
        let settings = format!(
            "control: socket: {:?}\nfleet: {{\n\tname: \"small\"\n\tfolder: {:?}\n\tlease: 400ms\n\trenew: 100ms\n\tmembers: \
             {{\n{}\t}}\n\tworks: {{lingers: 1s, calm: 100ms, zone_share: 0, most_out: 1}}\n}}\n",
            at("{name}".into()),
            at("state-{name}".into()),
            (0..routers).map(member).collect::<String>()
        );
        std::fs::write(at("fleet.cue".into()), settings).expect("written");
        let mut fleet = Small {
            folder,
            routers: Vec::new(),
        };
        for number in 0..routers {
            let config = format!(
                r#"{{"name":"n{number}","listen":"{}","discovery":"{}","seed":"7","known":{{"index":1,"snapshot":true,
                    "endpoints":[{nodes}]}},"settings":{{"areas":["a"],"zone":0,"balancers":1,"tick":5000,
                    "discovery":"on_request","classes":[{{"name":"i","semantics":"idempotent","onTime":500000,
                    "deadline":900000}}],"ceilings":{{"mostHeld":100,"streamsPerConn":8}},
                    "extra":{{"shards":4,"positions":1,"reach":1,"bundleMax":8}},
                    "report":{{"via":"inline","columns":["depth"]}},"rules":{{"askWithin":60000000}}}}}}"#,
                free(),
                free()
            );
            std::fs::write(fleet.path(&format!("n{number}.json")), config).expect("written");
            assert!(fleet
                .run(&["fleet", "init"], number)
                .output()
                .expect("it runs")
                .status
                .success());
            let router = fleet.run(&["serve"], number).spawn().expect("it starts");
            fleet.routers.push(router);
        }
        until("it serves", || !fleet.works(&["list"]).0.is_null());
        fleet
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    fn run(&self, words: &[&str], number: usize) -> Command {
        let mut command = Command::new(program());
        command
            .args(words)
            .arg("--config")
            .arg(self.path(&format!("n{number}.json")));
        command
            .arg("--settings")
            .arg(self.path("fleet.cue"))
            .stderr(Stdio::null());
        command
    }

    fn ends(&mut self, at: usize) {
        let _ = self.routers[at].kill();
        let _ = self.routers[at].wait();
    }

    fn command(&self, words: &[&str]) -> Command {
        let mut command = Command::new(program());
        command
            .arg("works")
            .arg(words[0])
            .arg("--socket")
            .arg(self.path("n0"))
            .args(&words[1..]);
        command
    }

    fn works(&self, words: &[&str]) -> (Value, Option<i32>, String) {
        let mut command = self.command(words);
        // What is run by 'exec' stands last.
        let done: Output = match words[0] {
            "exec" => command.output(),
            _ => command.arg("--json").output(),
        }
        .expect("it ends");
        let said = serde_json::from_slice(&done.stdout).unwrap_or_default();
        (
            said,
            done.status.code(),
            String::from_utf8_lossy(&done.stderr).into_owned(),
        )
    }

    fn state_of(&self, machine: &str) -> Option<String> {
        let (seen, ..) = self.works(&["list"]);
        let rows = seen["rows"].as_array()?;
        let row = rows.iter().find(|row| row["machine"] == machine)?;
        row["state"].as_str().map(str::to_owned)
    }
}

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
