//! Exclusive locks of directories.

use ternpick_store::lock_directory;

#[test]
fn a_directory_is_locked_by_one_holder_at_a_time() {
    let parent = tempfile::tempdir().expect("a directory");
    let path = parent.path().join("new");
    let lock = lock_directory(&path).expect("created").expect("free");
    assert!(lock_directory(&path).expect("present").is_none());
    drop(lock);
    assert!(lock_directory(&path).expect("present").is_some());
}
