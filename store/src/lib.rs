//! Durable files of a router: its keys, its key and revocation lists, and its replica's state.
//!
//! Each file starts with a line that names its kind, version, time and checksum (`record.rs`). [`save`] and [`load`]
//! replace and read a file as a whole; [`Journal`] appends to one that changes often. Reading verifies the checksum, so
//! that a file that was truncated, modified or exchanged for another is rejected with a [`StoreError`] that names the
//! path. [`lock_directory`] prevents two processes from using the same directory.
//!
//! All functions block; callers on an executor must call them on a separate thread.
//!
//! ```
//! let directory = tempfile::tempdir().expect("a directory");
//! let path = directory.path().join("keys.kept");
//! ternpick_store::save(&path, "keys", 3, 1_700_000_000_000_000, b"content").expect("saved");
//! let stored = ternpick_store::load(&path, "keys").expect("intact");
//! assert_eq!((stored.version, stored.bytes.as_slice()), (3, &b"content"[..]));
//! ```

mod error;
mod file;
mod journal;
mod lock;
mod record;

pub use error::StoreError;
pub use file::{load, replace_file, save, MAX_FILE_BYTES};
pub use journal::Journal;
pub use lock::{lock_directory, DirectoryLock};
pub use record::StoredFile;
