//! When a hot restart may start.

use ternpick::types::Micros;
use ternpick_hot_restart::{Lease, OldProcess, StepTimeouts};
use test_case::test_case;

const CAPACITY: Lease = Lease {
    in_flight: 8,
    retries: 8,
    descriptors: 8,
    memory_bytes: 8,
};

#[test_case(CAPACITY, true; "the whole capacity")]
#[test_case(Lease { in_flight: 6, ..CAPACITY }, false; "a part of it, while the predecessor drains")]
fn a_restart_starts_only_with_the_whole_capacity(current_lease: Lease, starts: bool) {
    let mut old = OldProcess::new(StepTimeouts::default(), CAPACITY, 1);
    assert_eq!(old.start(Micros(0), current_lease).is_ok(), starts);
    assert_eq!(old.is_serving(), !starts);
}
