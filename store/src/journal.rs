//! Journals, for content that is saved often: appending a record costs about a hundredth of replacing the file.

use std::fs;
use std::io::{Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};

use crate::file::{read_file, replace_file};
use crate::record::{self, RecordError, StoredFile, MAGIC};
use crate::StoreError;

#[cfg(test)]
mod tests;

/// The maximum length of a journal, in bytes. An append beyond it replaces the file by the new record.
const MAX_JOURNAL_BYTES: u64 = 1 << 20;

/// A file of records, of which the last intact one holds the current content.
///
/// An incomplete record at the end was being written when the machine or process stopped. Its append has not
/// returned, so the record is ignored. A corrupt record before an intact one means that the file was damaged, so the
/// file is rejected.
///
/// ```
/// let directory = tempfile::tempdir().expect("a directory");
/// let path = directory.path().join("seat");
/// let (mut journal, stored) = ternpick_store::Journal::open(&path, "seat").expect("no file yet");
/// assert!(stored.is_none());
/// journal.append(1, 1_700_000_000_000_000, b"first").expect("appended");
/// journal.append(2, 1_700_000_000_000_001, b"second").expect("appended");
/// let (_, stored) = ternpick_store::Journal::open(&path, "seat").expect("intact");
/// assert_eq!(stored.map(|stored| stored.bytes), Some(b"second".to_vec()));
/// ```
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    kind: String,
    /// The file and the length of its intact records. None before the first append to a new journal and after a failed
    /// append; the next append then replaces the file.
    end: Option<JournalEnd>,
}

#[derive(Debug)]
struct JournalEnd {
    file: fs::File,
    /// Where the next record starts, in bytes.
    length: u64,
}

/// The decoded content of a journal.
struct JournalContent {
    last: Option<StoredFile>,
    /// The length of the intact records, in bytes.
    length: usize,
}

impl Journal {
    /// Opens the journal at `path` and returns it with its last record, which is None if the file does not exist.
    ///
    /// # Errors
    /// Any [`StoreError`]; the file is left unchanged then.
    pub fn open(path: &Path, kind: &str) -> Result<(Journal, Option<StoredFile>), StoreError> {
        let mut journal = Journal::replacing(path, kind);
        let bytes = match read_file(path) {
            Ok(bytes) => bytes,
            Err(error) if error.is_missing() => return Ok((journal, None)),
            Err(error) => return Err(error),
        };
        let content =
            decode_journal(&bytes, kind).map_err(|error| StoreError::record(error, path, kind))?;
        journal.end = open_at(path, content.length as u64);
        Ok((journal, content.last))
    }

    /// A journal whose first append replaces any file at `path`.
    pub fn replacing(path: &Path, kind: &str) -> Journal {
        Journal {
            path: path.to_owned(),
            kind: kind.to_owned(),
            end: None,
        }
    }

    /// Appends a record of `bytes` in `version`, saved at `now` (Unix time in microseconds). The record is durable on
    /// return.
    ///
    /// # Errors
    /// [`StoreError::Io`]. The next append then replaces the file.
    pub fn append(&mut self, version: u64, now: u64, bytes: &[u8]) -> Result<(), StoreError> {
        let record = record::encode(&self.kind, version, now, bytes);
        let record_length = record.len() as u64;
        let end = match self.end.take() {
            Some(end) if end.length + record_length <= MAX_JOURNAL_BYTES => end
                .append(&record)
                .map_err(StoreError::io("write", &self.path))?,
            _ => self.replace(&record)?,
        };
        self.end = Some(end);
        Ok(())
    }

    fn replace(&self, record: &[u8]) -> Result<JournalEnd, StoreError> {
        replace_file(&self.path, record)?;
        let file = fs::OpenOptions::new()
            .append(true)
            .open(&self.path)
            .map_err(StoreError::io("open", &self.path))?;
        Ok(JournalEnd {
            file,
            length: record.len() as u64,
        })
    }
}

impl JournalEnd {
    fn append(mut self, record: &[u8]) -> std::io::Result<JournalEnd> {
        // Without this, the rest of a longer incomplete record of an earlier process would follow the new record.
        self.file.set_len(self.length)?;
        self.file.write_all(record)?;
        self.file.sync_all()?;
        self.length += record.len() as u64;
        Ok(self)
    }
}

/// Opens the file for writing at offset `length`. An incomplete record after that offset remains until the first
/// append. None if the file cannot be opened for writing; the next append tries to replace it then.
fn open_at(path: &Path, length: u64) -> Option<JournalEnd> {
    let mut file = fs::OpenOptions::new().write(true).open(path).ok()?;
    file.seek(SeekFrom::Start(length)).ok()?;
    Some(JournalEnd { file, length })
}

fn decode_journal(bytes: &[u8], kind: &str) -> Result<JournalContent, RecordError> {
    let mut content = JournalContent {
        last: None,
        length: 0,
    };
    while content.length < bytes.len() {
        match record::decode_first(&bytes[content.length..], kind) {
            Ok(record) => {
                content.last = Some(record.file);
                content.length += record.length;
            }
            Err(error) => {
                let is_last = !contains_record(&bytes[content.length + 1..], kind);
                if content.last.is_none() || !is_last {
                    return Err(error);
                }
                break;
            }
        }
    }
    Ok(content)
}

/// Whether an intact record starts anywhere in `bytes`.
fn contains_record(bytes: &[u8], kind: &str) -> bool {
    (0..bytes.len())
        .filter(|start| bytes[*start..].starts_with(MAGIC.as_bytes()))
        .any(|start| record::decode_first(&bytes[start..], kind).is_ok())
}
