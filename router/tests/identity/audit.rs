//! The content of the log and of the audit log.

use std::process::Stdio;

use crate::common::guarded::*;
use crate::common::{self, Act};

#[test]
fn logs_no_part_of_a_token_and_audits_every_protected_change() {
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
    let count = |text: &str| lines.iter().filter(|line| line.contains(text)).count();
    assert_eq!(
        (
            lines.len(),
            count("index=\"half\""),
            count("allowed=true"),
            count("allowed=false")
        ),
        (4, 4, 2, 2),
        "{lines:#?}"
    );
    assert!(
        count("by key k1") == 2 && count("nobody proved") == 1 && count("request=\"q") == 4,
        "{lines:#?}"
    );
    assert!(
        log.contains("query{request_id=\"q"),
        "the span with the request id is missing: {log}"
    );
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, whose steps depend on each other"
)]
fn writes_audit_records_as_json_at_the_log_level_error() {
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
