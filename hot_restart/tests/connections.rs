//! Which client connections the old process passes to the new one.

use ternpick::types::Micros;
use ternpick_hot_restart::should_migrate;

const BEGAN_AT: Micros = Micros(50_000_000);

#[test]
fn a_connection_with_no_request_sent_ahead_migrates() {
    assert!(should_migrate(BEGAN_AT, None));
}

#[test]
fn a_connection_with_a_request_sent_ahead_stays_for_three_seconds() {
    assert!(!should_migrate(BEGAN_AT, Some(Micros(0))));
    assert!(!should_migrate(BEGAN_AT, Some(BEGAN_AT)));
    assert!(!should_migrate(
        BEGAN_AT,
        Some(BEGAN_AT + Micros(2_999_999))
    ));
}

#[test]
fn a_connection_with_a_request_sent_ahead_migrates_after_three_seconds() {
    assert!(should_migrate(BEGAN_AT, Some(BEGAN_AT + Micros(3_000_000))));
}
