//! The next version reads the files that a released program saved, and after a downgrade the release reads them
//! again. So the first line and the content keep their format.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use recorded::Recorded;
use ternpick_store::{load, save, Journal, StoredFile};

#[test]
fn a_saved_file_and_a_journal_have_the_bytes_of_the_release() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = |name: &str| directory.path().join(name);
    save(
        &path("kept"),
        "keys",
        3,
        1_790_000_000_000_004,
        b"what is kept\n",
    )
    .expect("saved");
    let mut journal = Journal::replacing(&path("journal"), "fleet-seat");
    journal
        .append(5, 1_790_000_000_000_006, b"first")
        .expect("appended");
    journal
        .append(7, 1_790_000_000_000_008, b"second")
        .expect("appended");
    let mut recorded = Recorded::parse(include_str!("release_bytes.txt"));
    for name in ["kept", "journal"] {
        recorded.bytes(name, &std::fs::read(path(name)).expect("read"));
    }
    recorded.finish();
}

#[test]
fn a_saved_file_and_a_journal_of_the_release_are_loaded() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("file");
    let recorded = Recorded::parse(include_str!("release_bytes.txt"));
    std::fs::write(&path, recorded.recorded_bytes("kept")).expect("written");
    let expected = StoredFile {
        version: 3,
        saved_at: 1_790_000_000_000_004,
        bytes: b"what is kept\n".to_vec(),
    };
    assert_eq!(load(&path, "keys").expect("intact"), expected);
    std::fs::write(&path, recorded.recorded_bytes("journal")).expect("written");
    let (_, last) = Journal::open(&path, "fleet-seat").expect("intact");
    let second = StoredFile {
        version: 7,
        saved_at: 1_790_000_000_000_008,
        bytes: b"second".to_vec(),
    };
    assert_eq!(last, Some(second));
}
