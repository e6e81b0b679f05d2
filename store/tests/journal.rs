//! Reading a journal after a crash during an append and after its file was damaged.

use std::fs;

use ternpick_store::{Journal, StoreError};

#[test]
fn a_journal_truncated_at_any_length_returns_the_last_intact_record() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("journal");
    let (mut journal, _) = Journal::open(&path, "list").expect("no file yet");
    let mut record_ends = vec![0];
    for version in 1..=3u64 {
        journal
            .append(version, 9, format!("number {version}").as_bytes())
            .expect("appended");
        record_ends.push(fs::metadata(&path).expect("a file").len() as usize);
    }
    let bytes = fs::read(&path).expect("read");
    for length in 1..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("truncated");
        let expected = record_ends
            .iter()
            .rposition(|end| *end <= length)
            .unwrap_or(0) as u64;
        match Journal::open(&path, "list") {
            Ok((mut journal, stored)) => {
                assert_eq!(
                    stored.map(|stored| stored.version),
                    Some(expected),
                    "truncated at {length}"
                );
                journal.append(9, 9, b"next").expect("appended");
                let (_, stored) = Journal::open(&path, "list").expect("intact");
                assert_eq!(
                    stored.map(|stored| stored.version),
                    Some(9),
                    "truncated at {length}"
                );
            }
            Err(_) => assert_eq!(expected, 0, "truncated at {length}"),
        }
    }
}

#[test]
fn a_journal_with_a_corrupt_record_before_an_intact_one_is_rejected() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("journal");
    let (mut journal, _) = Journal::open(&path, "list").expect("no file yet");
    let content = vec![7; 300_000];
    for version in 1..=9u64 {
        journal.append(version, 9, &content).expect("appended");
    }
    let mut bytes = fs::read(&path).expect("read");
    bytes[200] ^= 1;
    fs::write(&path, &bytes).expect("damaged");
    assert!(matches!(
        Journal::open(&path, "list"),
        Err(StoreError::Corrupt { .. })
    ));
    assert!(matches!(
        Journal::open(&path, "keys"),
        Err(StoreError::Corrupt { .. } | StoreError::WrongKind { .. })
    ));
}
