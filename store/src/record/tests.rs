use proptest::prelude::*;

use super::{decode, encode, RecordError};

const CONTENT: &[u8] = b"some\nlines";

fn record() -> Vec<u8> {
    encode("list", 7, 1000, CONTENT)
}

#[test]
fn a_record_has_the_bytes_that_earlier_releases_wrote() {
    let expected = "ternpick-kept-1 list 7 1000 10 \
         05a97b85b3ec58a9b85b7db247d39c27ec4e1448b21dcfb05df7b955d322ed7e\nsome\nlines";
    assert_eq!(record(), expected.as_bytes());
}

#[test]
fn a_record_truncated_at_any_length_is_rejected() {
    let record = record();
    for length in 0..record.len() {
        assert!(
            decode(&record[..length], "list").is_err(),
            "truncated at {length}"
        );
    }
    assert_eq!(decode(&record, "list").map(|file| file.version), Ok(7));
}

#[test]
fn bytes_after_a_record_are_rejected() {
    let mut bytes = record();
    bytes.push(b'x');
    assert_eq!(decode(&bytes, "list"), Err(RecordError::Corrupt));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn a_record_with_a_changed_byte_is_rejected(
        position in 0usize..200, new_byte in any::<u8>(), content in proptest::collection::vec(any::<u8>(), 0..64)
    ) {
        let mut record = encode("list", 7, 1000, &content);
        let position = position % record.len();
        prop_assume!(record[position] != new_byte);
        record[position] = new_byte;
        prop_assert!(decode(&record, "list").is_err());
    }
}
