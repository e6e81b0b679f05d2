//! Scripts read what the control socket and the command line say as JSON. The released program's answers on one state are
//! recorded (`router/tests/release/make.sh`); the program under test, on the same state, gives each with the same keys,
//! and with the same values but where they tell of the moment: there the type counts.

mod common;

use common::release::{said, Released};
use serde_json::{json, Map, Value};
use test_case::test_case;

/// Keys whose values tell of the moment, the machine or the process. Everything else is the state's.
const OF_THE_MOMENT: &[&str] = &[
    "process",
    "descriptors",
    "memory_held",
    "address",
    "parcels_out",
    "bytes_out",
    "parcels_in",
    "bytes_in",
    "lease_left_ms",
    "heard_ms_ago",
    "knows_up_to",
    "index",
    "for_ms",
    "overdue",
    "fence",
    "term",
    "last",
    "agreed",
    "played",
];

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "a record",
    }
}

/// The answer, with types in the places of what tells of the moment.
fn lasting(value: &Value) -> Value {
    match value {
        Value::Array(all) => all.iter().map(lasting).collect(),
        Value::Object(all) => {
            let of = |(key, value): (&String, &Value)| {
                let moment = OF_THE_MOMENT.contains(&key.as_str());
                (
                    key.clone(),
                    if moment {
                        json!({ "type": kind(value) })
                    } else {
                        lasting(value)
                    },
                )
            };
            Value::Object(all.iter().map(of).collect::<Map<_, _>>())
        }
        other => other.clone(),
    }
}

/// Without the lines of the past that a start adds behind those that were there already at the release.
fn without_the_start(name: &str, mut answer: Value, recorded: &Value) -> Value {
    let past = |of: &mut Value, recorded: &Value| {
        if let (Some(lines), Some(old)) = (of.as_array_mut(), recorded.as_array()) {
            lines.truncate(old.len());
        }
    };
    match name {
        "works-history" => past(&mut answer, recorded),
        "works-list" => past(&mut answer["past"], &recorded["past"]),
        _ => {}
    }
    answer
}

fn same_as_recorded(name: &str, answer: impl Fn() -> Value) {
    let recorded = lasting(&said(name));
    let began = std::time::Instant::now();
    loop {
        let answer = without_the_start(name, lasting(&answer()), &recorded);
        if answer == recorded {
            return;
        }
        if began.elapsed() > common::BOUND {
            assert_eq!(answer, recorded, "{name}");
        }
        std::thread::sleep(std::time::Duration::from_millis(50));
    }
}

#[test_case("status", &["status"]; "status")]
#[test_case("fleet-status", &["fleet", "status"]; "fleet-status")]
#[test_case("fleet-members", &["fleet", "members"]; "fleet-members")]
#[test_case("policy-show", &["policy", "show"]; "policy-show")]
#[test_case("policy-history", &["policy", "history"]; "policy-history")]
#[test_case("policy-check", &["policy", "check", "open.cue"]; "policy-check")]
#[test_case("policy-diff", &["policy", "diff", "open.cue"]; "policy-diff")]
#[test_case("works-list", &["works", "list"]; "works-list")]
#[test_case("works-history", &["works", "history"]; "works-history")]
#[test_case("works-plan", &["works", "plan", "s-3", "--lasts", "10m"]; "works-plan")]
fn an_answer_has_the_keys_and_values_of_the_release(name: &str, words: &[&str]) {
    let released = Released::serves("fleet.cue");
    same_as_recorded(name, || released.says(words));
}

#[test]
fn one_request_is_shown_with_the_keys_and_values_of_the_release() {
    let released = Released::serves("fleet.cue");
    let number = said("works-show")[0]["request"].to_string();
    same_as_recorded("works-show", || released.says(&["works", "show", &number]));
}

#[test]
fn a_guarded_routers_status_has_the_keys_and_values_of_the_release() {
    let released = Released::serves("identity.cue");
    same_as_recorded("status-of-identity", || released.says(&["status"]));
}
