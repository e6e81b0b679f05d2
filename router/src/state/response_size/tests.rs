//! Tests of which values fit into a response.

use super::*;
use test_case::test_case;

/// The room for values in a response of two shards.
fn room() -> usize {
    MAX_BODY_BYTES - query::empty_response_bytes([ShardNo(3), ShardNo(4)].into_iter())
}

#[test_case(0, 0, Ok(()); "all of the room")]
#[test_case(0, 1, Err(ValueTooLong::ByItself); "a byte more")]
#[test_case(7, 0, Err(ValueTooLong::WithOthers); "all of the room beside another value")]
#[test_case(7, 1, Err(ValueTooLong::ByItself); "a byte more beside another value")]
fn a_value_fits_up_to_the_bound_of_a_body(
    other_bytes: usize,
    excess: usize,
    expected: Result<(), ValueTooLong>,
) {
    let mut size = ResponseSize::new([ShardNo(3), ShardNo(4)].into_iter());
    size.add(&"o".repeat(other_bytes));
    assert_eq!(size.check(&"v".repeat(room() + excess)), expected);
}

#[test]
fn a_value_counts_with_its_escapes() {
    let mut size = ResponseSize::new([ShardNo(3), ShardNo(4)].into_iter());
    let escaped = "\u{1}".repeat(room() / 6);
    assert_eq!(size.check(&escaped), Ok(()));
    size.add(&escaped);
    assert_eq!(
        size.check("a value of more than what is left"),
        Err(ValueTooLong::WithOthers)
    );
}
