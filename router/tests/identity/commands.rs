//! The commands for keys, tokens, revocations and rights.

use std::io::Write;
use std::process::{Command, Stdio};

use crate::common::free;
use crate::common::guarded::*;

/// Runs the program; returns whether it succeeded, and its standard output followed by its standard error.
fn run(args: &[&str], input: &str) -> (bool, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ternpick"));
    let mut child = command
        .args(args)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("it runs");
    child
        .stdin
        .take()
        .expect("an input")
        .write_all(input.as_bytes())
        .expect("written");
    let out = child.wait_with_output().expect("it ends");
    (
        out.status.success(),
        String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned(),
    )
}

#[test]
#[allow(
    clippy::too_many_lines,
    reason = "one scenario, whose steps depend on each other"
)]
fn commands_create_keys_tokens_and_revocations_and_check_settings_and_rights() {
    let folder = tempfile::tempdir().expect("a folder");
    let keys = folder.path().join("keys");
    let keys = keys.to_str().expect("a path");
    let json = |args: &[&str]| -> serde_json::Value {
        let (done, text) = run(args, "");
        assert!(done, "{text}");
        serde_json::from_str(&text).expect("JSON")
    };
    assert_eq!(
        json(&["keys", "new", "--keys", keys, "--id", "a", "--json"])["keys"][0]["stage"],
        "signing"
    );
    let (done, text) = run(&["keys", "retire", "--keys", keys, "a"], "");
    assert!(!done && text.contains("make another first"), "{text}");
    let listed = json(&[
        "keys", "rotate", "--keys", keys, "--id", "b", "--kind", "es256", "--lead", "1h", "--json",
    ]);
    assert_eq!(
        (&listed["keys"][0]["stage"], &listed["keys"][1]["stage"]),
        (&"signing".into(), &"published".into())
    );
    let mode = std::os::unix::fs::PermissionsExt::mode(
        &std::fs::metadata(folder.path().join("keys/private.keys"))
            .expect("there")
            .permissions(),
    );
    assert_eq!(mode & 0o777, 0o600);
    let mint = [
        "token",
        "mint",
        "--keys",
        keys,
        "--issuer",
        "sign-on",
        "--audience",
        "search",
        "--subject",
        "d",
        "--tenant",
        "north",
        "--role",
        "crew",
        "--id",
        "t1",
    ];
    let (done, token) = run(&mint, "");
    assert!(done && token.trim().split('.').count() == 3, "{token}");
    let jwks = folder.path().join("keys/jwks.json");
    let (done, text) = run(
        &["token", "inspect", "--jwks", jwks.to_str().expect("a path")],
        &token,
    );
    assert!(
        done && text.contains("signature right") && text.contains("\"sign-on\""),
        "{text}"
    );
    let feed = folder.path().join("feed.json");
    let feed = feed.to_str().expect("a path");
    assert_eq!(
        json(&["revoke", "--feed", feed, "--token", "t1", "--json"])["number"],
        1
    );
    assert_eq!(
        json(&["revoke", "--feed", feed, "--token", "t1", "--lift", "--json"])["lifted"],
        true
    );
    // A router may need an entry for the permitted skew behind its end.
    json(&[
        "revoke",
        "--feed",
        feed,
        "--token",
        "t2",
        "--matters",
        "0s",
        "--json",
    ]);
    json(&["revoke", "--feed", feed, "--token", "t3", "--json"]);
    let kept = std::fs::read_to_string(feed).expect("a feed");
    assert!(kept.contains("\"t2\"") && kept.contains("\"t3\""), "{kept}");
    assert!(
        !run(&["revoke", "--feed", feed], "").0
            && !run(
                &["revoke", "--feed", feed, "--token", "a", "--key", "b"],
                ""
            )
            .0
    );
    let world = World::new();
    let settings = world.settings(None, None, Some(free()));
    let settings = settings.to_str().expect("a path");
    let (done, text) = run(&["check", "--settings", settings], "");
    assert!(
        done && text.contains("identity.skew = 2s  (")
            && text.contains("identity.longest = 1h  (default)"),
        "{text}"
    );
    let explain = [
        "rights",
        "explain",
        "d",
        "--settings",
        settings,
        "--tenant",
        "north",
        "--role",
        "crew",
    ];
    let (done, text) = run(&explain, "");
    assert!(
        done && text.contains("half                 set    denied: no role grants set here"),
        "{text}"
    );
    std::fs::write(settings, "identity: {issuer: 3}\nlgo: {}\n").expect("written");
    let (done, text) = run(&["check", "--settings", settings], "");
    assert!(
        !done
            && text.contains("expected a string in quotes, found 3")
            && text.contains("did you mean 'log'?"),
        "{text}"
    );
}
