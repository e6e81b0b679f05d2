//! The program is started on files that a released one wrote and left by kill -9, and has to hold what that one held. A
//! field or variant that is renamed or moved in a form that is kept shows here as a state that is refused, or read
//! otherwise. `router/tests/release/make.sh` tells how the files were made.

mod common;

use std::io::Write;
use std::process::Stdio;

use common::release::{said, Released};
use serde_json::{json, Value};

/// A router of the fleet that goes on from the released state, and leads.
fn leads() -> Released {
    let released = Released::serves("fleet.cue");
    released.until("it leads, and goes by what was agreed", |of| {
        let knows = of.says(&["policy", "show"])["ok"] == true;
        knows && of.says(&["policy", "history"]).is_array()
    });
    released
}

/// Some fields of each row.
fn fields(rows: &Value, names: &[&str]) -> Vec<Value> {
    let rows = rows.as_array().unwrap_or_else(|| panic!("no rows: {rows}"));
    rows.iter()
        .map(|row| names.iter().map(|name| row[*name].clone()).collect())
        .collect()
}

#[test]
fn the_policy_in_force_and_the_fate_of_each_proposal_are_read_back() {
    let released = leads();
    let (shown, history) = (
        released.says(&["policy", "show"]),
        released.says(&["policy", "history"]),
    );
    assert_eq!(shown, said("policy-show"));
    assert_eq!(history, said("policy-history"));
    let fates = fields(&history, &["number", "author", "fate", "by"]);
    let wanted = [
        json!([1, "ann", "in_force", null]),
        json!([2, "bob", "withdrawn", "bob"]),
        json!([3, "carol", "refused", "n0"]),
        json!([4, "dora", "open", null]),
    ];
    assert_eq!(
        (&shown["in_force"]["number"], fates),
        (&json!(1), wanted.to_vec())
    );
    let text = shown["in_force"]["text"].as_str().expect("a text");
    assert!(
        text.contains("indexes: history: {calls: 2, partly_at: 400ms}\ndrained: [\"s-5\"]"),
        "{text}"
    );
    // It is what the router goes by: a node is drained.
    released.until("s-5 is drained", |of| {
        of.says(&["fleet", "status"])["own"]["draining"] == 4
    });
}

#[test]
fn the_open_proposal_waits_for_its_second_person_and_comes_in_force_by_his_word() {
    let released = leads();
    let next = |of: &Released| of.says(&["fleet", "status"])["own"]["next"].clone();
    assert_eq!(next(&released), said("fleet-status")["own"]["next"]);
    assert_eq!(next(&released)["unconfirmed"], true);
    let by_its_author = released.says(&["policy", "confirm", "4", "--by", "dora"]);
    assert_eq!(by_its_author["ok"], false, "{by_its_author}");
    assert_eq!(
        released.says(&["policy", "confirm", "4", "--by", "ann"])["ok"],
        true
    );
    released.until("4 is in force", |of| {
        of.says(&["policy", "show"])["in_force"]["number"] == 4
    });
    let history = released.says(&["policy", "history"]);
    assert_eq!(history[3]["fate"], "in_force", "{history}");
}

#[test]
fn a_command_that_was_done_before_is_not_done_again() {
    let released = leads();
    std::fs::write(
        released.path("p.cue"),
        "author: \"ann\"\nreason: \"said again\"\n",
    )
    .expect("written");
    let propose = |op: &str| released.says(&["policy", "propose", "p.cue", "--op", op]);
    assert_eq!(propose("4001")["number"], 1);
    assert_eq!(propose("4003")["number"], 2);
    let taken = released.says(&[
        "works", "ask", "s-1", "--why", "again", "--by", "ann", "--op", "4014",
    ]);
    let request = fields(&said("works-list")["rows"], &["machine", "request"]);
    let row = request.iter().find(|row| row[0] == "s-2").expect("a row");
    assert_eq!(taken["number"], row[1]);
    assert_eq!(
        released.says(&["policy", "history"]),
        said("policy-history")
    );
}

#[test]
fn the_members_and_their_seats_are_read_back() {
    let released = leads();
    let names = ["member", "address", "zone", "seat", "learns"];
    let members = fields(&released.says(&["fleet", "members"]), &names);
    let mut sorted = members.clone();
    sorted.sort_by_key(|row| row[0].to_string());
    let wanted = [
        json!(["n0", "127.94.7.1:9402", "north", 1, false]),
        json!(["n2", "127.94.7.1:9404", "east", null, false]),
        json!(["n3", "127.94.7.1:9405", "west", 2, true]),
    ];
    assert_eq!(sorted, wanted);
    let seat = &released.says(&["fleet", "status"])["own"]["seat"];
    assert_eq!(
        (&seat["seat"], &seat["voters"], &seat["learners"]),
        (&json!(1), &json!([1]), &json!([2]))
    );
}

#[test]
fn the_works_are_read_back_and_go_on() {
    let released = leads();
    let names = [
        "request", "machine", "state", "permit", "since_ms", "begun", "failed", "why", "by",
    ];
    let (list, before) = (released.says(&["works", "list"]), said("works-list"));
    assert_eq!(
        fields(&list["rows"], &names),
        fields(&before["rows"], &names)
    );
    let states = fields(&list["rows"], &["machine", "state", "begun", "failed"]);
    let wanted = [
        json!(["s-0", "in work", "ann", null]),
        json!(["s-1", "given back unfit", "dora", "no disk"]),
        json!(["s-2", "permitted", null, null]),
        json!(["s-4", "waits", null, null]),
        json!(["s-5", "waits", null, null]),
        json!(["router:n2", "waits", null, null]),
    ];
    assert_eq!(states, wanted);
    assert_eq!(
        (&list["out"], &list["hold"]),
        (&before["out"], &before["hold"])
    );
    assert_eq!(
        list["hold"],
        json!({"by": "ann", "why": "a storm", "own": false})
    );
    // What has happened since stands behind what had happened before.
    let (past, old) = (
        list["past"].as_array().expect("past"),
        before["past"].as_array().expect("past"),
    );
    assert_eq!(past[..old.len()], old[..]);
    // The permits are those of the release.
    let permit = |machine: &str| {
        let rows = fields(&before["rows"], &["machine", "permit"]);
        rows.iter().find(|row| row[0] == machine).expect("a row")[1].to_string()
    };
    assert_eq!(
        released.says(&["works", "begin", &permit("s-0"), "--by", "bob"])["ok"],
        false,
        "ann has it"
    );
    assert_eq!(
        released.says(&["works", "begin", &permit("s-2"), "--by", "bob"])["ok"],
        true
    );
    assert_eq!(
        released.says(&["works", "done", &permit("s-2"), "--by", "bob"])["ok"],
        true
    );
    released.until("s-2 is back", |of| {
        !fields(&of.says(&["works", "list"])["rows"], &["machine"]).contains(&json!(["s-2"]))
    });
}

#[test]
fn the_keys_are_listed_as_the_release_listed_them() {
    let released = Released::copied();
    let listed = released
        .command(&["keys", "list", "--keys", "keys", "--json"])
        .output()
        .expect("it runs");
    let listed: Value = serde_json::from_slice(&listed.stdout).expect("JSON");
    assert_eq!(listed, said("keys-list"));
    let stages = fields(&listed["keys"], &["id", "algorithm", "stage"]);
    let wanted = [
        json!(["released-1", "EdDSA", "retired"]),
        json!(["released-2", "ES256", "retired"]),
        json!(["released-3", "EdDSA", "signing"]),
        json!(["released-4", "ES256", "published"]),
    ];
    assert_eq!(stages, wanted);
}

/// What `token inspect` says of a token by the released set of keys.
fn inspected(released: &Released, token: &str) -> Value {
    let mut command = released.command(&["token", "inspect", "--jwks", "keys/jwks.json", "--json"]);
    let mut child = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("it runs");
    child
        .stdin
        .take()
        .expect("a pipe")
        .write_all(token.as_bytes())
        .expect("written");
    let done = child.wait_with_output().expect("it ends");
    serde_json::from_slice(&done.stdout).expect("JSON")
}

#[test]
fn tokens_of_retired_keys_are_right_by_the_released_set() {
    let released = Released::copied();
    for key in ["released-1", "released-2"] {
        let token = std::fs::read_to_string(released.path(&format!("keys/token-of-{key}")))
            .expect("a token");
        let seen = inspected(&released, &token);
        assert_eq!(
            (&seen["verified"], &seen["header"]["kid"]),
            (&json!(true), &json!(key)),
            "{seen}"
        );
        let claims = ["sub", "tenant", "roles", "jti"].map(|name| seen["claims"][name].clone());
        let wanted = [
            json!("anna"),
            json!("north"),
            json!(["crew"]),
            json!(format!("of-{key}")),
        ];
        assert_eq!(claims, wanted);
        let spoilt = token
            .trim()
            .rsplit_once('.')
            .expect("a signature")
            .0
            .to_owned()
            + ".AAAA";
        assert_eq!(inspected(&released, &spoilt)["verified"], false);
    }
}

/// A lookup's status; nobody answers parts, so that one that is taken is nacked.
fn lookup(released: &Released, id: &str, token: Option<&str>) -> u16 {
    let config: Value =
        serde_json::from_slice(&std::fs::read(released.path("n0.json")).expect("read"))
            .expect("JSON");
    let mut stream = std::net::TcpStream::connect(config["listen"].as_str().expect("listen"))
        .expect("connected");
    stream
        .set_read_timeout(Some(common::BOUND))
        .expect("a time-out");
    let bearer = token.map_or(String::new(), |token| {
        format!("Authorization: Bearer {token}\r\n")
    });
    let text = common::guarded::with_headers("history", id, "find", &bearer);
    stream.write_all(text.as_bytes()).expect("written");
    common::answer(&mut stream).0
}

fn minted(released: &Released, subject: &str, id: &str) -> String {
    let words = [
        "token",
        "mint",
        "--keys",
        "keys",
        "--issuer",
        "https://sign-on.example",
    ];
    let mut command = released.command(&words);
    command.args([
        "--audience",
        "search",
        "--subject",
        subject,
        "--tenant",
        "north",
        "--role",
        "crew",
        "--id",
        id,
    ]);
    let done = command.output().expect("it runs");
    assert!(
        done.status.success(),
        "{}",
        String::from_utf8_lossy(&done.stderr)
    );
    String::from_utf8(done.stdout)
        .expect("text")
        .trim()
        .to_owned()
}

#[test]
fn a_token_made_with_the_released_keys_is_accepted_and_a_revoked_one_is_not() {
    let released = Released::serves("identity.cue");
    released.until("it knows keys and feed", |of| {
        of.says(&["status"])["identity"]["revocations"] == 5
    });
    assert_eq!(lookup(&released, "a1", None), 401);
    assert_eq!(
        lookup(&released, "a2", Some(&minted(&released, "anna", "good"))),
        503,
        "nobody answers parts"
    );
    assert_eq!(
        lookup(&released, "a3", Some(&minted(&released, "anna", "lost"))),
        401,
        "revoked by its id"
    );
    assert_eq!(
        lookup(&released, "a4", Some(&minted(&released, "bob", "other"))),
        503,
        "his was lifted"
    );
}

/// The files that a released router kept stand in for sources that are away.
#[test]
fn the_kept_keys_and_revocations_are_used_while_their_sources_are_away() {
    let mut released = Released::copied();
    std::fs::remove_file(released.path("keys/jwks.json")).expect("removed");
    std::fs::remove_file(released.path("keys/revoked.json")).expect("removed");
    released.start("identity.cue");
    let (identity, before) = (
        released.says(&["status"])["identity"].clone(),
        said("status-of-identity")["identity"].clone(),
    );
    assert_eq!(identity["keys"], before["keys"]);
    assert_eq!(
        identity["keys"].as_array().map(Vec::len),
        Some(4),
        "{identity}"
    );
    assert_eq!(
        (&identity["revocations"], &before["revocations"]),
        (&json!(5), &json!(5))
    );
}
