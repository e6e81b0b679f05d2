//! Whole days: the same from the same seed, changed by each trouble as it says, and plans that tell their mistakes.

use ternpick_simulation::compare::compare;
use ternpick_simulation::experiment;
use ternpick_simulation::hunt::{hunt, look, shrink, Find};
use ternpick_simulation::plan::{Kind, Plan, Who, World};
use ternpick_simulation::report;
use ternpick_simulation::sim::{Day, Sim};
use test_case::test_case;

const INDEXES: &str = r#"indexes: [
    {name: "history", weight: 3, parts: [1, 4], work: mean: 20ms},
    {name: "sweep", parts: [4, 8], work: mean: 25ms, gain: 4, least: 0.7, soft: 1500ms},
    {name: "tag", parts: [1, 2], work: mean: 15ms, repeat: "fingerprinted"},
    {name: "once", parts: [1, 1], work: mean: 15ms, repeat: "once-only"}]"#;

fn plan(more: &str, troubles: &str) -> Plan {
    let text = format!(
        "name: \"t\"\nseeds: 3\nworlds: [{{name: \"w\", seconds: 16, settle: 3, clients: {{rate: 160, retries: 1}}, \
         {INDEXES}, {more}, troubles: [{troubles}]}}]"
    );
    Plan::parse("t.cue", &text).unwrap_or_else(|bad| panic!("{bad}"))
}

fn world(more: &str, troubles: &str) -> World {
    plan(more, troubles).worlds.remove(0)
}

fn day(troubles: &str) -> Day {
    Sim::play(&world("routers: 4", troubles), Who::Design, 7, 1.0)
}

#[test]
fn the_same_seed_is_the_same_day_on_any_thread_and_another_seed_is_not() {
    let world = world(
        "routers: 3",
        "{kind: \"crash\", at: 5s, share: 0.2}, {kind: \"router-crash\", at: 6s, for: 2s}",
    );
    for policy in [Who::Design, Who::TwoChoices, Who::Oracle] {
        let here = Sim::play(&world, policy, 3, 1.0);
        let there =
            std::thread::scope(|scope| scope.spawn(|| Sim::play(&world, policy, 3, 1.0)).join())
                .expect("played");
        assert_eq!(here, there);
        assert_ne!(here.trace, Sim::play(&world, policy, 4, 1.0).trace);
    }
}

#[test]
fn no_policy_changes_what_is_asked_and_when() {
    let more = "routers: 3, nodes: {pause: 200ms, pause_every: 3s}";
    let world = world(
        more,
        "{kind: \"crash\", at: 5s, share: 0.3}, {kind: \"retry-storm\", at: 5s, for: 4s}",
    );
    let days = [Who::Design, Who::Random, Who::Oracle].map(|who| Sim::play(&world, who, 3, 1.0));
    assert!(days
        .iter()
        .all(|day| day.asked == days[0].asked && day.figures.lookups == days[0].figures.lookups));
    assert!(
        days[0].figures.tries_a_lookup != days[1].figures.tries_a_lookup,
        "they fare differently"
    );
}

#[test]
fn a_calm_day_is_served_whole_and_breaks_nothing() {
    let day = day("");
    assert!(
        day.service > 0.995 && day.breach_count == 0,
        "{:?}",
        (day.service, day.breaches)
    );
    assert!(
        day.figures.lookups > 1500 && day.figures.lost == 0,
        "{:?}",
        day.figures
    );
}

/// What a trouble changes against the same day without it.
#[test_case("{kind: \"crash\", at: 5s, for: 4s, share: 0.5}", |day, calm| day.service < calm.service - 0.02; "crash")]
#[test_case("{kind: \"vanish\", at: 5s, for: 4s, share: 0.5}", |day, calm| day.service < calm.service - 0.02; "vanish")]
#[test_case("{kind: \"hang\", at: 5s, for: 4s, share: 0.5}", |day, calm| day.figures.p99_ms > 2.0 * calm.figures.p99_ms; "hang")]
#[test_case("{kind: \"slow\", at: 5s, for: 4s, share: 0.5, times: 8}", |day, calm| day.figures.p99_ms > 1.5 * calm.figures.p99_ms; "slow")]
#[test_case("{kind: \"fail-index\", at: 5s, for: 4s, share: 0.5}", |day, calm| day.figures.further_calls > calm.figures.further_calls + 0.005; "fail index")]
#[test_case("{kind: \"lose-answers\", at: 5s, for: 4s, share: 0.5}", |day, calm| day.figures.further_calls > calm.figures.further_calls + 0.005; "lose answers")]
#[test_case("{kind: \"half-dead\", at: 5s, for: 4s, share: 0.3}", |day, calm| day.figures.p99_ms > 1.5 * calm.figures.p99_ms; "half dead")]
#[test_case("{kind: \"partition\", at: 5s, for: 4s}", |day, calm| day.figures.p99_ms > 1.5 * calm.figures.p99_ms; "partition")]
#[test_case("{kind: \"zone-loss\", at: 5s, for: 4s}", |day, calm| day.figures.p99_ms > 2.0 * calm.figures.p99_ms; "zone loss")]
#[test_case("{kind: \"release\", at: 5s, for: 6s, share: 0.5}", |day, calm| day.service < calm.service - 0.02; "release")]
#[test_case("{kind: \"drain\", at: 5s, share: 0.5}", |day, calm| day.figures.imbalance > calm.figures.imbalance; "drain")]
#[test_case("{kind: \"deadly\", at: 5s, for: 4s, share: 0.03}", |day, calm| day.service < calm.service - 0.01; "deadly")]
#[test_case("{kind: \"burst\", at: 5s, for: 4s, times: 4}", |day, calm| day.figures.lookups > calm.figures.lookups * 5 / 4; "burst")]
#[test_case("{kind: \"retry-storm\", at: 5s, for: 9s, times: 6}, {kind: \"crash\", at: 5s, for: 6s, share: 0.6}", |day, calm| day.figures.tries_a_lookup > calm.figures.tries_a_lookup + 0.1; "retry storm")]
#[test_case("{kind: \"cold-restart\", at: 5s, share: 0.5}", |day, calm| day.service < calm.service - 0.02; "cold restart")]
#[test_case("{kind: \"router-crash\", at: 5s, for: 4s, share: 0.5}", |day, calm| day.figures.tries_a_lookup > calm.figures.tries_a_lookup + 0.02; "router crash")]
#[test_case("{kind: \"discovery-down\", at: 5s, for: 8s}, {kind: \"drain\", at: 6s, share: 0.3}", |day, _| day.trace != day_of("{kind: \"drain\", at: 6s, share: 0.3}"); "discovery down")]
#[test_case("{kind: \"discovery-flaps\", at: 5s, for: 8s}, {kind: \"drain\", at: 6s, share: 0.3}", |day, _| day.trace != day_of("{kind: \"drain\", at: 6s, share: 0.3}"); "discovery flaps")]
#[test_case("{kind: \"discovery-stale\", at: 5s, for: 8s, times: 5}, {kind: \"drain\", at: 6s, share: 0.3}", |day, _| day.trace != day_of("{kind: \"drain\", at: 6s, share: 0.3}"); "discovery stale")]
#[test_case("{kind: \"frozen-reports\", at: 5s, for: 8s, share: 1}", |day, calm| day.trace != calm.trace; "frozen reports")]
#[test_case("{kind: \"untrue-reports\", at: 5s, for: 8s, share: 0.3, times: 9}", |day, calm| day.trace != calm.trace; "untrue reports")]
#[test_case("{kind: \"clock-skew\", at: 5s, share: 1, times: 30}, {kind: \"cold-restart\", at: 6s, share: 0.3}", |day, _| day.trace != day_of("{kind: \"cold-restart\", at: 6s, share: 0.3}"); "clock skew")]
fn a_trouble_does_what_it_says(trouble: &str, shows: impl Fn(&Day, &Day) -> bool) {
    let (calm, troubled) = (day(""), day(trouble));
    assert!(
        shows(&troubled, &calm),
        "{:?}\n{:?}",
        troubled.figures,
        calm.figures
    );
}

fn day_of(troubles: &str) -> String {
    day(troubles).trace
}

#[test_case("retries: 3", "" ; "an unknown field")]
#[test_case("routers: 0", ""; "too few")]
#[test_case("routers: 2", "{kind: \"flood\", at: 1s}"; "an unknown trouble")]
#[test_case("routers: 2", "{kind: \"hang\", at: \"soon\"}"; "no time")]
fn a_plan_with_a_mistake_is_refused_where_it_stands(more: &str, troubles: &str) {
    let text = format!(
        "name: \"t\"\nworlds: [{{name: \"w\", clients: rate: 100, {INDEXES},\n  {more},\n  troubles: [{troubles}]}}]"
    );
    let said = Plan::parse("t.cue", &text)
        .expect_err("refused")
        .to_string();
    let at = if troubles.is_empty() {
        "t.cue:7:"
    } else {
        "t.cue:8:"
    };
    assert!(said.contains(at), "{said}");
}

#[test_case("{kind: \"hang\", at: 1s, index: 9}", "index"; "an index that is not there")]
#[test_case("{kind: \"partition\", at: 1s, zones: [0, 7]}", "zones"; "a zone that is not there")]
fn a_plan_that_makes_no_sense_is_refused_in_words(troubles: &str, word: &str) {
    let text = format!(
        "name: \"t\"\nworlds: [{{name: \"w\", clients: rate: 100, {INDEXES}, troubles: [{troubles}]}}]"
    );
    let said = Plan::parse("t.cue", &text)
        .expect_err("refused")
        .to_string();
    assert!(said.contains("world 'w'") && said.contains(word), "{said}");
}

#[test]
fn a_run_that_was_cut_off_goes_on_and_ends_the_same() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut plan = plan(
        "routers: 2",
        "{kind: \"hang\", at: 5s, for: 4s, share: 0.2}",
    );
    plan.policies = vec![Who::Design, Who::Random];
    let (days, played) = experiment::run(&plan, Some(folder.path())).expect("played");
    assert_eq!((days.len(), played), (6, 6));
    // Two of its files are gone, and one was cut short.
    let mut files: Vec<_> = std::fs::read_dir(folder.path().join("days"))
        .expect("a folder")
        .flatten()
        .collect();
    files.sort_by_key(|file| file.path());
    std::fs::remove_file(files[0].path()).expect("removed");
    std::fs::remove_file(files[3].path()).expect("removed");
    let text = std::fs::read(files[5].path()).expect("read");
    std::fs::write(files[5].path(), &text[..text.len() / 2]).expect("written");
    let (again, played) = experiment::run(&plan, Some(folder.path())).expect("played");
    assert_eq!((&again, played), (&days, 3));
    let names = report::write(&plan, &again, folder.path(), true).expect("written");
    let page = std::fs::read_to_string(folder.path().join("report.html")).expect("a page");
    assert!(names.len() == 9 && page.matches("<svg").count() == 3 && !page.contains("http-equiv"));
    let png = std::fs::read(folder.path().join("w-latency.png")).expect("a picture");
    assert!(png.starts_with(b"\x89PNG"));
    // Half the nodes' worth of hanging is told apart from nothing by the same seeds.
    let of = |policy: Who| again.iter().filter(move |day| day.policy == policy);
    let rows = compare(of(Who::Random), of(Who::Design));
    assert_eq!(rows[0].verdict.to_string(), "better", "{:?}", rows[0]);
    let rows = compare(of(Who::Design), of(Who::Design));
    assert!(rows
        .iter()
        .all(|row| row.verdict.to_string() == "no difference seen"));
}

#[test]
fn a_hunt_finds_the_same_again_and_what_is_shrunk_still_shows_it() {
    let mut plan = plan("routers: 2", "");
    plan.worlds[0].seconds = 10;
    let from = [experiment::runs(&plan)[0].clone()];
    let finds = hunt(&from, 2, 5, &[], &[Kind::Deadly], |_| ());
    assert_eq!(
        finds[0].trace,
        hunt(&from, 2, 5, &[], &[Kind::Deadly], |_| ())[0].trace
    );
    assert!(finds.iter().all(|find| find
        .run
        .world
        .troubles
        .iter()
        .all(|of| of.kind != Kind::Deadly)));
    assert!(finds[0].loss >= look(&from[0], &[]).loss);
    let small = shrink(&finds[0], 60, |_| ());
    assert!(
        small.rule == finds[0].rule && (small.rule.is_some() || small.loss >= finds[0].loss * 0.8)
    );
    assert!(small.run.world.troubles.len() <= finds[0].run.world.troubles.len());
    assert_eq!(look(&small.run, &[]).trace, small.trace);
}

#[test]
fn a_find_of_another_build_is_kept_as_this_one_plays_it() {
    let mut plan = plan("routers: 1", "");
    plan.worlds[0].seconds = 6;
    let mut of_old = look(&experiment::runs(&plan)[0], &[]);
    let now = of_old.trace.clone();
    of_old.trace = "another".into();
    assert_eq!(shrink(&of_old, 1, |_| ()).trace.as_str(), now);
}

// A field that finds gained made the one kept before it unreadable.
#[test]
fn kept_finds_can_be_read() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("finds");
    let kept = std::fs::read_dir(folder)
        .expect("finds")
        .map(|entry| entry.expect("a file").path());
    let read = kept.map(|path| {
        let text = std::fs::read(&path).expect("a text");
        serde_json::from_slice::<Find>(&text)
            .unwrap_or_else(|bad| panic!("{}: {bad}", path.display()))
    });
    let names: Vec<String> = read.map(|find| find.run.world.name).collect();
    assert!(names.len() >= 3, "{names:?}");
}

#[test]
fn load_by_node_and_cost_by_size_are_drawn() {
    let (one, mut other) = (
        plan("routers: 2", ""),
        plan("routers: 2, nodes: cells: 12", "").worlds.remove(0),
    );
    let mut plan = one;
    other.name = "larger".into();
    plan.worlds.push(other);
    plan.worlds.iter_mut().for_each(|world| world.seconds = 6);
    let days: Vec<Day> = experiment::runs(&plan)
        .iter()
        .map(|run| Sim::play(&run.world, run.policy, run.seed, run.load))
        .collect();
    for day in &days {
        let ranks = &day.figures.by_rank;
        assert!(ranks.len() == 21 && ranks.is_sorted(), "{ranks:?}");
        assert!(
            ranks[0] <= day.figures.busy && day.figures.busy <= ranks[20],
            "{ranks:?}"
        );
        assert!((ranks[20] / day.figures.busy - day.figures.imbalance).abs() < 1e-9);
    }
    let charts = report::charts(&plan, &days).expect("charts");
    assert!(charts["w-nodes.svg"].contains("load by node"));
    assert!(charts["size-cost.svg"].contains("against fleet size"));
    plan.worlds.pop();
    assert!(
        !report::charts(&plan, &days)
            .expect("charts")
            .contains_key("size-cost.svg"),
        "one size is no line"
    );
}
