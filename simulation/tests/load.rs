//! The real program under a short load on loopback, with what is to go wrong going wrong.

use std::path::PathBuf;

use ternpick_simulation::load::{play, Load, Outcome};
use test_case::test_case;

/// The program that `cargo test --workspace` builds beside the tests.
fn program() -> PathBuf {
    let test = std::env::current_exe().expect("a path");
    let program = test.ancestors().nth(2).expect("a folder").join("ternpick");
    assert!(
        program.exists(),
        "{} is not there: build the workspace first",
        program.display()
    );
    program
}

fn played(more: &str) -> Outcome {
    let text = format!("name: \"t\"\nrate: 200\nclients: 8\nseconds: 4\nparts: 2\n{more}\n");
    let load = Load::parse("t.cue", &text).unwrap_or_else(|bad| panic!("{bad}"));
    let folder = tempfile::tempdir().expect("a folder");
    play(&load, &program(), folder.path()).unwrap_or_else(|bad| panic!("{bad}"))
}

#[test_case(""; "nothing")]
#[test_case("faults: [{kind: \"stall\", at: 2s, for: 500ms}]"; "a node that stalls")]
#[test_case("faults: [{kind: \"reset\", at: 2s, for: 200ms}, {kind: \"cut\", at: 3s, for: 300ms}]"; "connections reset and answers cut")]
#[test_case("faults: [{kind: \"spoilt\", at: 2s, for: 500ms}]"; "spoilt answers")]
#[test_case("faults: [{kind: \"slow-reader\", at: 2s, for: 500ms}]"; "a slow reader")]
#[test_case("events: [{kind: \"upgrade\", at: 2s}, {kind: \"upgrade\", at: 3s}]"; "two upgrades")]
fn every_lookup_is_answered(more: &str) {
    let of = played(more);
    let answered = of.answers.get(&200).copied().unwrap_or(0);
    assert_eq!(
        of.answers.keys().copied().collect::<Vec<u16>>(),
        [200],
        "{of:?}"
    );
    assert!(answered >= 500 && of.parts_sent >= answered * 2, "{of:?}");
}

/// Between two processes nobody listens, and who asks then is refused; beside that each client may lose what it has in
/// hand, and one try more.
#[test_case("kill"; "killed")]
#[test_case("restart"; "restarted")]
fn a_router_that_ends_loses_little_and_serves_again(kind: &str) {
    let of = played(&format!("events: [{{kind: \"{kind}\", at: 2s}}]"));
    let lost = of.answers.get(&0).copied().unwrap_or(0);
    assert!(lost <= 16 && of.answers[&200] > 400, "{of:?}");
    assert!(of.events[0].contains("serves again"), "{of:?}");
}

#[test_case("events: [{kind: \"kill\", at: 1s, router: 3}]", "router 3"; "a router that is not there")]
#[test_case("faults: [{kind: \"flood\", at: 1s}]", "t.cue:3"; "an unknown fault")]
#[test_case("seconds: 100000", "t.cue:3"; "without end")]
fn a_load_that_makes_no_sense_is_refused(more: &str, word: &str) {
    let said = Load::parse("t.cue", &format!("name: \"t\"\nrate: 1\n{more}\n"))
        .expect_err("refused")
        .to_string();
    assert!(said.contains(word), "{said}");
}
