//! The process: its stop, its commands, what it cannot use.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Instant;

use crate::common::*;

#[test]
fn what_was_taken_before_a_stop_is_answered_and_the_router_leaves() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let (mut client, mut idle) = (router.connect(), router.connect());
    client
        .write_all(request("whole", "r1").as_bytes())
        .expect("written");
    nodes[0].frame('q');
    router.signal("-TERM");
    let late = Instant::now() + BOUND;
    while health(&router) != 503 {
        assert!(Instant::now() < late, "the signal is heard in time");
    }
    router.signal("-HUP");
    // Connections still come, and idle ones are closed in the end.
    *nodes[0]
        .acts
        .lock()
        .expect("no test thread panicked with the lock held") = [Act::Serve; 2];
    let (status, head, _) = ask(&mut router.connect(), "whole", "r2");
    assert_eq!((status, head.contains("Connection: close")), (200, true));
    assert_eq!(idle.read(&mut [0]).expect("an end"), 0);
    assert!(TcpStream::connect(router.address).is_err());
    ["r1.0", "r1.1"].iter().for_each(|id| nodes[0].answer(id));
    assert!([200, 503].contains(&answer(&mut client).0));
    assert!(router.ended());
}

#[test]
fn what_cannot_be_used_ends_with_one_line() {
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
        let out = command
            .args(args)
            .env_remove("ROUTER_CONFIG")
            .output()
            .expect("it runs");
        (
            out.status.success(),
            String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
        )
    };
    assert_eq!(
        run(&["version"]),
        (true, format!("ternpick {}\n", env!("CARGO_PKG_VERSION")))
    );
    let (done, text) = run(&["serve", "--config", "/nonexistent/config.json"]);
    assert_eq!((done, text.lines().count()), (false, 1), "{text}");
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let config = router.config.to_str().expect("a path");
    assert!(run(&["check", "--config", config]).0);
    let (done, text) = run(&["serve", "--config", config]);
    assert!(
        !done && text.starts_with("ternpick: cannot listen on") && text.lines().count() == 1,
        "{text}"
    );
}
