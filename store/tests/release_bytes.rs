//! A file that was kept by a released program is read by the next one, and after a way back by the release again: the first
//! line and what follows it stay as they are.

#[path = "../../tests/common/recorded.rs"]
mod recorded;

use recorded::Recorded;
use ternpick_store::{load, save, Journal, StoredFile};

#[test]
fn a_kept_file_and_a_journal_have_the_bytes_of_the_release() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = |name: &str| folder.path().join(name);
    save(
        &path("kept"),
        "keys",
        3,
        1_790_000_000_000_004,
        b"what is kept\n",
    )
    .expect("written");
    let mut journal = Journal::replacing(&path("journal"), "fleet-seat");
    journal
        .append(5, 1_790_000_000_000_006, b"first")
        .expect("kept");
    journal
        .append(7, 1_790_000_000_000_008, b"second")
        .expect("kept");
    let mut recorded = Recorded::parse(include_str!("release_bytes.txt"));
    for name in ["kept", "journal"] {
        recorded.bytes(name, &std::fs::read(path(name)).expect("read"));
    }
    recorded.finish();
}

#[test]
fn a_kept_file_and_a_journal_of_the_release_are_read_back() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("file");
    let recorded = Recorded::parse(include_str!("release_bytes.txt"));
    std::fs::write(&path, recorded.recorded_bytes("kept")).expect("written");
    let kept = StoredFile {
        version: 3,
        saved_at: 1_790_000_000_000_004,
        bytes: b"what is kept\n".to_vec(),
    };
    assert_eq!(load(&path, "keys").expect("whole"), kept);
    std::fs::write(&path, recorded.recorded_bytes("journal")).expect("written");
    let (_, last) = Journal::open(&path, "fleet-seat").expect("whole");
    let second = StoredFile {
        version: 7,
        saved_at: 1_790_000_000_000_008,
        bytes: b"second".to_vec(),
    };
    assert_eq!(last, Some(second));
}
