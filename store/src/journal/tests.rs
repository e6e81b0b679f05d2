use std::fs;

use super::{Journal, MAX_JOURNAL_BYTES};

#[test]
fn a_journal_never_grows_beyond_its_limit_and_returns_the_last_record() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("journal");
    let (mut journal, _) = Journal::open(&path, "list").expect("no file yet");
    let content = vec![7; 300_000];
    for version in 1..=9u64 {
        journal.append(version, 9, &content).expect("appended");
        assert!(fs::metadata(&path).expect("a file").len() <= MAX_JOURNAL_BYTES);
        let (_, stored) = Journal::open(&path, "list").expect("intact");
        assert_eq!(stored.map(|stored| stored.version), Some(version));
    }
}
