//! Files that are replaced as a whole.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;

use ternpick_store::{load, save, StoreError, StoredFile};

fn save_to_temporary_directory(content: &[u8]) -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("file");
    save(&path, "list", 7, 1000, content).expect("saved");
    (directory, path)
}

#[test]
fn a_file_truncated_at_any_length_is_rejected() {
    let (_directory, path) = save_to_temporary_directory(b"some\nlines");
    let bytes = fs::read(&path).expect("read");
    for length in 0..bytes.len() {
        fs::write(&path, &bytes[..length]).expect("truncated");
        assert!(load(&path, "list").is_err(), "truncated at {length}");
    }
    fs::write(&path, &bytes).expect("restored");
    assert_eq!(load(&path, "list").expect("intact").version, 7);
}

#[test]
fn only_the_owner_may_read_a_file_and_no_temporary_file_remains() {
    let (directory, path) = save_to_temporary_directory(b"x");
    save(&path, "list", 8, 2000, b"y").expect("saved again");
    let mode = fs::metadata(&path).expect("a file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    assert_eq!(
        fs::read_dir(directory.path()).expect("a directory").count(),
        1
    );
    assert_eq!(
        load(&path, "list").expect("intact"),
        StoredFile {
            version: 8,
            saved_at: 2000,
            bytes: b"y".to_vec()
        }
    );
}

#[test]
fn a_wrong_kind_an_unknown_format_and_a_missing_file_are_different_errors() {
    let (directory, path) = save_to_temporary_directory(b"x");
    assert!(matches!(
        load(&path, "keys"),
        Err(StoreError::WrongKind { .. })
    ));
    fs::write(&path, "{}\n").expect("written");
    assert!(matches!(
        load(&path, "list"),
        Err(StoreError::UnknownFormat { .. })
    ));
    let missing = directory.path().join("none");
    assert!(load(&missing, "list").is_err_and(|error| error.is_missing()));
}

#[test]
fn a_file_saved_later_than_now_has_age_zero() {
    let (_directory, path) = save_to_temporary_directory(b"x");
    let file = load(&path, "list").expect("intact");
    assert_eq!(file.age(1500), 500);
    assert_eq!(file.age(900), 0);
}
