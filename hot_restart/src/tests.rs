//! Model checks: the properties of a hot restart hold in every interleaving of the two processes, and each injected bug
//! violates one.

mod model;
mod properties;
mod signals;
mod world;

use stateright::{Checker, Model};

use crate::injected_bug::{InjectedBug, RequestBug};
use model::HotRestart;
use world::InjectedBugs;

fn explore(injected: InjectedBugs, restarts: u8, signals: u8) -> impl Checker<HotRestart> {
    HotRestart {
        injected,
        restarts,
        signals,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join()
}

#[test_case::test_case(2, 0, 1_000; "two restarts")]
#[test_case::test_case(1, 2, 10_000; "two signals during one restart")]
fn every_interleaving_satisfies_the_properties(restarts: u8, signals: u8, least_states: usize) {
    let started = std::time::Instant::now();
    let checked = explore(InjectedBugs::default(), restarts, signals);
    println!(
        "{} states, {} of them unique, in {:?}",
        checked.state_count(),
        checked.unique_state_count(),
        started.elapsed()
    );
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > least_states,
        "{}",
        checked.unique_state_count()
    );
}

#[test_case::test_case(InjectedBug::StaysDrained, properties::SOME_PROCESS_ACCEPTS; "stays drained")]
#[test_case::test_case(InjectedBug::StopsAcceptingEarly, properties::SOME_PROCESS_ACCEPTS; "stops accepting early")]
#[test_case::test_case(InjectedBug::KeepsWholeLease, properties::LEASES_FIT_CAPACITY; "keeps the whole lease")]
#[test_case::test_case(InjectedBug::ServesBehindStop, properties::NOBODY_ACCEPTS_BEHIND_STOP; "serves behind a stop")]
fn an_injected_bug_violates_its_property(bug: InjectedBug, property: &'static str) {
    let injected = InjectedBugs {
        of_old_process: Some(bug),
        ..InjectedBugs::default()
    };
    let checked = explore(injected, 1, 1);
    assert!(
        checked.discovery(property).is_some(),
        "the property '{property}' holds with {bug:?}"
    );
}

#[test_case::test_case(RequestBug::KeepsStops, properties::STOP_REACHES_ALL; "keeps stops")]
#[test_case::test_case(RequestBug::KeepsReloads, properties::RELOAD_REACHES_ALL; "keeps reloads")]
fn a_request_that_is_not_passed_on_violates_its_property(bug: RequestBug, property: &'static str) {
    let injected = InjectedBugs {
        of_requests: Some(bug),
        ..InjectedBugs::default()
    };
    let checked = explore(injected, 1, 1);
    assert!(
        checked.discovery(property).is_some(),
        "the property '{property}' holds with {bug:?}"
    );
}
