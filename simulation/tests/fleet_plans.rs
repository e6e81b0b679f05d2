//! Plans and schedules of fleets: drawn from a seed, written down, read again; plans that make no sense are refused.

use ternpick_simulation::fleet::{FleetPlan, Kind, Schedule};
use test_case::test_case;

const PLAN: &str = "name: \"t\"\nseconds: 60\nfault_every: 200ms\n";

#[test]
fn a_schedule_is_the_same_from_the_same_seed_and_after_it_was_written_down() {
    let plan = FleetPlan::parse("t.cue", PLAN).expect("a plan");
    let (one, same, other) = (plan.draw(7), plan.draw(7), plan.draw(8));
    assert_eq!(one, same);
    assert_ne!(one.steps, other.steps);
    let text = serde_json::to_string(&one).expect("text");
    assert_eq!(
        serde_json::from_str::<Schedule>(&text).expect("read again"),
        one
    );
    // Seats are lost one at a time, with time to be given anew in between.
    let loses = |kind: Kind| matches!(kind, Kind::OlderState | Kind::LostState);
    let lost: Vec<u64> = one
        .steps
        .iter()
        .filter(|step| loses(step.kind))
        .map(|step| step.at)
        .collect();
    assert!(
        lost.len() > 2 && lost.windows(2).all(|pair| pair[0] + 4000 < pair[1]),
        "{lost:?}"
    );
}

#[test_case("routers: 40", "t.cue:4"; "too many routers")]
#[test_case("faults: [\"flood\"]", "t.cue:4"; "an unknown fault")]
#[test_case("seconds: 0", "t.cue"; "no time")]
#[test_case("leese: 2s", "t.cue:4"; "a misspelt name")]
fn a_plan_that_makes_no_sense_is_refused_with_its_line(more: &str, word: &str) {
    let said = FleetPlan::parse("t.cue", &format!("{PLAN}{more}\n"))
        .expect_err("refused")
        .to_string();
    assert!(said.contains(word), "{said}");
}
