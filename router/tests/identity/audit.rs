//! What the log and the audit tell, and what they never do.

use std::process::Stdio;

use crate::common::guarded::*;
use crate::common::{self, Act};

#[test]
fn no_secret_stands_in_a_log_and_every_act_on_a_tag_does() {
    let world = World::new();
    let guarded = Guarded::with(&world, None, None, "trace", 1024);
    let (crew, safety) = (world.token(&["crew"]), world.token(&["safety"]));
    let mut stream = guarded.router.connect();
    for token in [&crew, &safety] {
        let _ = ask(&mut stream, "half", "set tag 7", &bearer(token));
    }
    let forged = format!("{}x", &crew[..crew.len() - 1]);
    let _ = ask(&mut stream, "half", "set tag 7", &bearer(&forged));
    let _ = ask(
        &mut guarded.secure(&world.client(Some(("chief.example", 9)))).0,
        "half",
        "set tag 7",
        "",
    );
    guarded.log_has("chief of north");
    let log = guarded.log();
    for token in [&crew, &safety, &forged] {
        for part in token.split('.') {
            assert!(!log.contains(part), "a part of a token in {log}");
        }
    }
    let lines: Vec<&str> = log
        .lines()
        .filter(|line| line.contains("audit: "))
        .collect();
    let of = |word: &str| lines.iter().filter(|line| line.contains(word)).count();
    assert_eq!(
        (
            lines.len(),
            of("index=\"half\""),
            of("allowed=true"),
            of("allowed=false")
        ),
        (4, 4, 2, 2),
        "{lines:#?}"
    );
    assert!(
        of("by key k1") == 2 && of("nobody proved") == 1 && of("request=\"q") == 4,
        "{lines:#?}"
    );
    assert!(
        log.contains("query{request_id=\"q"),
        "spans follow a query: {log}"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, told in the order in which it happens"
)]
fn audit_goes_out_in_json_whatever_the_level() {
    let world = World::new();
    let (guarded, log) = {
        let settings = world.settings(None, None, None);
        let text = std::fs::read_to_string(&settings).expect("settings");
        world.write(
            "settings.cue",
            &format!("{text}log: {{form: \"json\", level: \"error\"}}\n"),
        );
        let node = common::Node::start([Act::Serve; 2]);
        let discovery = common::Discovery::default();
        let listed = common::entry("s0", node.address, "Ready");
        let log = world.path("log");
        let out = std::fs::File::create(&log).expect("a log");
        let router = common::Router::start_with(
            discovery.start(),
            &listed,
            256,
            32,
            common::SETTINGS,
            |command| {
                command
                    .arg("--settings")
                    .arg(&settings)
                    .env_remove("RUST_LOG")
                    .stderr(Stdio::from(out));
            },
        );
        (router, log)
    };
    let text = || std::fs::read_to_string(&log).expect("a log");
    within(
        || {
            ask(
                &mut guarded.connect(),
                "half",
                "set tag 7",
                &bearer(&world.token(&["safety"])),
            )
            .0 == 200
        },
        "keys",
    );
    let line = text()
        .lines()
        .find(|line| line.contains("\"allowed\":true"))
        .expect("a record")
        .to_owned();
    let record: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(
        (&record["acts"], &record["who"], &record["index"]),
        (
            &"set".into(),
            &"dispatcher-1 of north".into(),
            &"half".into()
        )
    );
    assert!(
        text()
            .lines()
            .all(|line| line.contains("\"target\":\"audit\"")),
        "{}",
        text()
    );
}
