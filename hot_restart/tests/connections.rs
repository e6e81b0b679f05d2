//! Which client connections go over to the new process.

use ternpick::types::Micros;
use ternpick_hot_restart::should_migrate;

const BEGAN_AT: Micros = Micros(50_000_000);

#[test]
fn a_connection_without_a_request_goes_over() {
    assert!(should_migrate(BEGAN_AT, None));
}

#[test]
fn what_was_sent_ahead_is_answered_where_it_was_read() {
    assert!(!should_migrate(BEGAN_AT, Some(Micros(0))));
    assert!(!should_migrate(BEGAN_AT, Some(BEGAN_AT)));
    assert!(!should_migrate(
        BEGAN_AT,
        Some(BEGAN_AT + Micros(2_999_999))
    ));
}

#[test]
fn a_client_that_sends_ahead_for_ever_does_not_keep_the_old_process() {
    assert!(should_migrate(BEGAN_AT, Some(BEGAN_AT + Micros(3_000_000))));
}
