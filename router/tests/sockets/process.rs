//! The process: its shutdown, its commands, and its errors for invalid configurations.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::time::Instant;

use crate::common::*;

#[test]
fn answers_queries_admitted_before_a_stop_and_then_exits() {
    let (mut router, nodes, _discovery) = Router::with(&[Act::Silent]);
    let (mut client, mut idle) = (router.connect(), router.connect());
    client
        .write_all(request("whole", "r1").as_bytes())
        .expect("written");
    nodes[0].frame('q');
    router.signal("-TERM");
    let late = Instant::now() + BOUND;
    while health(&router) != 503 {
        assert!(
            Instant::now() < late,
            "the router did not handle the signal within {BOUND:?}"
        );
    }
    router.signal("-HUP");
    // The router still accepts connections, and finally closes idle ones.
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
fn a_command_that_fails_prints_one_line() {
    let run = |args: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
        let output = command
            .args(args)
            .env_remove("ROUTER_CONFIG")
            .output()
            .expect("it runs");
        (
            output.status.success(),
            String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned(),
        )
    };
    assert_eq!(
        run(&["version"]),
        (true, format!("ternpick {}\n", env!("CARGO_PKG_VERSION")))
    );
    let (succeeded, text) = run(&["serve", "--config", "/nonexistent/config.json"]);
    assert_eq!((succeeded, text.lines().count()), (false, 1), "{text}");
    let (router, _nodes, _discovery) = Router::with(&[Act::Serve]);
    let config = router.config.to_str().expect("a path");
    assert!(run(&["check", "--config", config]).0);
    let (succeeded, text) = run(&["serve", "--config", config]);
    assert!(
        !succeeded && text.starts_with("ternpick: cannot listen on") && text.lines().count() == 1,
        "{text}"
    );
}
