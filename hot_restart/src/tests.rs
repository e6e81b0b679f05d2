//! Model checks: the properties of a hot restart hold in every interleaving of the two processes, and each injected bug
//! violates one.

mod model;
mod properties;
mod world;

use stateright::{Checker, Model};

use crate::injected_bug::InjectedBug;
use model::HotRestart;

fn explore(injected_bug: Option<InjectedBug>, restarts: u8) -> impl Checker<HotRestart> {
    HotRestart {
        injected_bug,
        restarts,
    }
    .checker()
    .threads(4)
    .spawn_bfs()
    .join()
}

#[test]
fn every_interleaving_satisfies_the_properties() {
    let started = std::time::Instant::now();
    let checked = explore(None, 2);
    println!(
        "{} states, {} of them unique, in {:?}",
        checked.state_count(),
        checked.unique_state_count(),
        started.elapsed()
    );
    checked.assert_properties();
    assert!(
        checked.unique_state_count() > 1_000,
        "{}",
        checked.unique_state_count()
    );
}

#[test_case::test_case(InjectedBug::StaysDrained, properties::SOME_PROCESS_ACCEPTS; "stays drained")]
#[test_case::test_case(InjectedBug::StopsAcceptingEarly, properties::SOME_PROCESS_ACCEPTS; "stops accepting early")]
#[test_case::test_case(InjectedBug::KeepsWholeLease, properties::LEASES_FIT_CAPACITY; "keeps the whole lease")]
fn an_injected_bug_violates_its_property(bug: InjectedBug, property: &'static str) {
    let checked = explore(Some(bug), 1);
    assert!(
        checked.discovery(property).is_some(),
        "the property '{property}' holds with {bug:?}"
    );
}
