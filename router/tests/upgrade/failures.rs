//! New processes that fail at each step, and the old one killed: one of them serves.

use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::thread;
use std::time::Duration;

use crate::common::faulty::preload;
use crate::common::guarded::within;
use crate::common::{self, Act};
use crate::support::{script, served, standin, Upgradable};
use ternpick_fault_injection::{Call, Plan, Role, Rule};
use test_case::test_case;

/// For how long the new process can have no sockets, from its start on.
const SHORTAGE_MS: u64 = 600;

#[test_case("die:1"; "before hello")]
#[test_case("die:2"; "after hello")]
#[test_case("die:3"; "with the listeners")]
#[test_case("die:4"; "with the state")]
#[test_case("die:5"; "at the commit")]
#[test_case("die:6"; "just after the commit")]
#[test_case("hang:1"; "hangs before hello")]
#[test_case("hang:2"; "hangs after hello")]
#[test_case("hang:3"; "hangs with the listeners")]
#[test_case("hang:4"; "hangs with the state")]
#[test_case("hang:5"; "hangs at the commit")]
#[test_case("hang:6"; "hangs just after the commit")]
#[test_case("garbage:1"; "not a ternpick")]
#[test_case("garbage:3"; "garbage midway")]
#[test_case("spoilt:2"; "a spoilt message")]
#[test_case("half:4"; "half a message")]
#[test_case("unexpected:3"; "a message out of turn")]
#[test_case("version:0"; "another version")]
fn a_new_process_that_fails_leaves_the_old_one_serving(how: &str) {
    let of = Upgradable::start(&[Act::Serve], "");
    let (mut kept, before) = (of.router.connect(), of.pid());
    assert_eq!(common::ask(&mut kept, "half", "c1").0, 200);
    let (done, text) = of.upgrade(&["--program", &standin(&of, how)]);
    assert!(!done && text.contains("ternpick: "), "{text}");
    served(of.router.address, "c2");
    assert_eq!(
        (of.pid(), of.status()["step"].as_str()),
        (before, Some("serves"))
    );
    let status = of.status();
    assert_eq!(
        (&status["accepts"], &status["descriptors_may"]),
        (&true.into(), &992.into())
    );
    // Nothing is left of it: the next one succeeds.
    let (done, text) = of.upgrade(&[]);
    assert!(done, "{text}");
    served(of.router.address, "c3");
}

#[test_case("exit 1"; "which leaves at once")]
#[test_case("exec sleep 60"; "which is something else")]
#[test_case("exec cat"; "which answers what it hears")]
#[test_case("ulimit -n 8; exec TERNPICK \"$@\""; "without descriptors")]
#[test_case("ulimit -v 6000; exec TERNPICK \"$@\""; "without memory")]
#[test_case("exec TERNPICK serve --config /nonexistent --settings \"$5\" --take-over 1"; "without a configuration")]
fn a_program_that_cannot_start_leaves_the_old_one_serving(text: &str) {
    let of = Upgradable::start(&[Act::Serve], "");
    let program = script(
        &of,
        &text.replace("TERNPICK", env!("CARGO_BIN_EXE_ternpick")),
    );
    let (done, said) = of.upgrade(&["--program", &program]);
    assert!(!done, "{said}");
    served(of.router.address, "d1");
    assert_eq!(of.status()["process"], of.router.child.id());
}

#[test]
fn a_program_that_is_not_there_is_told_at_once() {
    let of = Upgradable::start(&[Act::Serve], "");
    let (done, text) = of.upgrade(&["--program", "/nonexistent/ternpick"]);
    assert!(!done && text.contains("/nonexistent/ternpick"), "{text}");
    let config = of.router.config.to_str().expect("a path");
    assert!(of.upgrade(&["--dry-run", "--config", config]).0);
    std::fs::write(of.folder.path().join("bad"), "{}").expect("written");
    let bad = of.folder.path().join("bad");
    assert!(
        !of.upgrade(&["--dry-run", "--config", bad.to_str().expect("a path")])
            .0
    );
    served(of.router.address, "e1");
}

/// The old process is killed while the new one stands at some step: the new one serves in its place.
#[test_case(0; "as it starts")]
#[test_case(20; "a little later")]
#[test_case(60; "later")]
fn the_old_process_killed_leaves_the_new_one_serving(after_ms: u64) {
    let mut of = Upgradable::start(&[Act::Serve], "");
    let before = of.pid();
    let slow = script(
        &of,
        &format!(
            ": > \"${{0}}.began\"; sleep 0.03; exec {} \"$@\"",
            env!("CARGO_BIN_EXE_ternpick")
        ),
    );
    thread::scope(|scope| {
        let upgrade = scope.spawn(|| of.upgrade(&["--program", &slow]));
        within(
            || Path::new(&format!("{slow}.began")).exists(),
            "the new process begins",
        );
        thread::sleep(Duration::from_millis(after_ms));
        let _ = Command::new("kill")
            .args(["-9", &of.router.child.id().to_string()])
            .output();
        let _ = upgrade.join();
    });
    let _ = of.router.child.wait();
    within(
        || of.pid() != before && TcpStream::connect(of.router.address).is_ok(),
        "the new one serves",
    );
    served(of.router.address, "f1");
    let status = of.status();
    assert_eq!(
        (&status["step"], &status["descriptors_may"]),
        (&"serves".into(), &992.into())
    );
}

#[test_case("hang:1", "waits for hello"; "before hello")]
#[test_case("hang:2", "has its settings checked"; "after hello")]
#[test_case("hang:3", "passes the listeners"; "with the listeners")]
#[test_case("hang:4", "passes the state"; "with the state")]
#[test_case("hang:5", "commits"; "at the commit")]
fn a_second_upgrade_during_one_is_refused_and_a_stop_leaves_no_heir(how: &str, step: &str) {
    let mut of = Upgradable::start(
        &[Act::Serve],
        "control: {hello: 20s, step: 20s, ready: 20s}",
    );
    let hangs = standin(&of, how);
    thread::scope(|scope| {
        let first = scope.spawn(|| of.upgrade(&["--program", &hangs]));
        within(|| of.status()["step"] == step, "the step");
        let (done, text) = of.upgrade(&[]);
        assert!(!done && text.contains("an upgrade is under way"), "{text}");
        of.router.signal("-HUP");
        served(of.router.address, "g1");
        assert_eq!(of.status()["step"], step, "it goes on");
        of.router.signal("-TERM");
        assert!(!first.join().expect("it ends").0);
    });
    assert!(of.router.ended());
    assert!(
        TcpStream::connect(of.router.address).is_err(),
        "nobody serves"
    );
}

/// What happened, in a play of `drawn` (upgrade seed 7517): sockets failed (EMFILE) for a moment in which the new process opened its
/// control socket. It had committed, and ended with "control socket ...: Too many open files"; the connections that had gone over to
/// it were cut off, two with a request on them.
#[test]
fn a_new_process_that_can_open_no_control_socket_yet_serves_on() {
    let of = Upgradable::start(&[Act::Serve], "");
    let folder = tempfile::tempdir().expect("a folder");
    let rule = Rule::fails(Call::Socket, Role::Any, 1, &["EMFILE"]).between(0, SHORTAGE_MS);
    let faults = Plan {
        seed: 1,
        rules: vec![rule],
        ..Plan::default()
    };
    let ((variable, path), strikes) = faults.write(folder.path(), "faults").expect("a plan");
    let program = format!(
        "export {variable}={} LD_PRELOAD={}\nexec {} \"$@\"",
        path.display(),
        preload().display(),
        env!("CARGO_BIN_EXE_ternpick")
    );
    let program = script(&of, &program);
    let mut kept = of.router.connect();
    assert_eq!(common::ask(&mut kept, "whole", "s1").0, 200);
    let before = of.pid();
    let (done, text) = of.upgrade(&["--program", &program]);
    assert!(done, "{text}");
    // Its connections to nodes wait for a socket as well.
    assert_eq!(common::ask(&mut kept, "whole", "s2").0, 200);
    served(of.router.address, "s3");
    assert!(strikes.of(0) > 0);
    within(|| of.pid() != before, "the new process's id");
    let is_reachable = || of.command(&["status", "--json"]).status.success();
    within(is_reachable, "the control socket");
    of.settled();
}
