use super::*;
use test_case::test_case;

/// Guards against the list of an overdue call taking the place of a newer one, and against the lists of a discovery that
/// has begun anew being ignored.
#[test_case(Some(5), 5, 7, true; "older than what a later call brought")]
#[test_case(Some(5), 7, 7, false; "the same version as a later call brought")]
#[test_case(Some(5), 8, 7, false; "newer than what a later call brought")]
#[test_case(None, 6, 7, true; "an older complete list")]
#[test_case(Some(7), 3, 7, false; "discovery has begun anew")]
fn a_list_is_outdated_if_a_later_call_brought_a_newer_one(
    asked_after: Option<u64>,
    version: u64,
    known: u64,
    outdated: bool,
) {
    assert_eq!(is_outdated(asked_after, version, known), outdated);
}
