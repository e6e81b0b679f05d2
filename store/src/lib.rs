//! Durable files: replaced whole or not at all, checked when they are read, with what they are, their version and
//! when they were saved. A file that was cut, changed or mixed up with another is refused by name of what is wrong.
//!
//! ```
//! let folder = tempfile::tempdir().expect("a folder");
//! let path = folder.path().join("keys.kept");
//! ternpick_store::save(&path, "keys", 3, 1_700_000_000_000_000, b"what is kept").expect("written");
//! let kept = ternpick_store::load(&path, "keys").expect("whole");
//! assert_eq!((kept.version, kept.bytes.as_slice()), (3, &b"what is kept"[..]));
//! ```

use std::fs;
use std::io::{Read, Seek, SeekFrom, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use sha2::{Digest, Sha256};

/// The first word of every file; the number changes with the form of the line.
const MARK: &str = "ternpick-kept-1";
/// The longest file that is read, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 << 20;
/// The longest first line, in bytes.
const HEAD_BOUND: usize = 256;

/// Why nothing could be read, or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("cannot {what} {path}: {error}")]
    Io {
        what: &'static str,
        path: String,
        error: std::io::Error,
    },
    #[error("{path} is not kept by this program, or its first line is spoilt")]
    NotOurs { path: String },
    #[error("{path} holds '{found}', not '{wanted}'")]
    WrongKind {
        path: String,
        found: String,
        wanted: String,
    },
    #[error("{path} is spoilt: its length or checksum is not what its first line says")]
    Corrupt { path: String },
    #[error("{path} is longer than {MAX_FILE_BYTES} bytes")]
    TooLong { path: String },
}

impl StoreError {
    /// Whether there simply is no such file.
    pub fn is_missing(&self) -> bool {
        matches!(self, StoreError::Io { error, .. } if error.kind() == std::io::ErrorKind::NotFound)
    }
}

/// What a file held.
#[derive(Debug, PartialEq, Eq)]
pub struct StoredFile {
    pub version: u64,
    /// When it was saved, in microseconds of Unix time, by the clock of who saved it.
    pub saved_at: u64,
    pub bytes: Vec<u8>,
}

impl StoredFile {
    /// Its age in microseconds; a file from the future, saved before a clock stepped back, counts as new.
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.saved_at)
    }
}

fn fault<'a>(what: &'static str, path: &'a Path) -> impl Fn(std::io::Error) -> StoreError + 'a {
    move |error| StoreError::Io {
        what,
        path: path.display().to_string(),
        error,
    }
}

/// Replaces the file at `path` whole, in the mode 0600: whoever reads it sees the old one or the new one.
pub fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    let folder = path
        .parent()
        .filter(|of| !of.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut beside =
        tempfile::NamedTempFile::new_in(folder).map_err(fault("write beside", path))?;
    let write = |file: &mut fs::File| {
        file.set_permissions(fs::Permissions::from_mode(0o600))?;
        file.write_all(bytes)?;
        file.sync_all()
    };
    write(beside.as_file_mut()).map_err(fault("write", path))?;
    beside
        .persist(path)
        .map_err(|error| fault("replace", path)(error.error))?;
    // The name lasts only once its folder is written too.
    fs::File::open(folder)
        .and_then(|folder| folder.sync_all())
        .map_err(fault("write the folder of", path))
}

/// Keeps `bytes` as `kind` in its `version`, saved at `now` (microseconds of Unix time).
pub fn save(
    path: &Path,
    kind: &str,
    version: u64,
    now: u64,
    bytes: &[u8],
) -> Result<(), StoreError> {
    replace_file(path, &record(kind, version, now, bytes))
}

fn record(kind: &str, version: u64, now: u64, bytes: &[u8]) -> Vec<u8> {
    let line = format!("{MARK} {kind} {version} {now} {}", bytes.len());
    let sum = checksum(&line, bytes);
    let mut whole = format!("{line} {sum}\n").into_bytes();
    whole.extend_from_slice(bytes);
    whole
}

fn checksum(line: &str, bytes: &[u8]) -> String {
    let sum = Sha256::new()
        .chain_update(line)
        .chain_update(b"\n")
        .chain_update(bytes)
        .finalize();
    sum.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// A folder that is one process's own while this lives: another that wants it is told so.
#[derive(Debug)]
pub struct DirectoryLock(#[allow(dead_code)] fs::File);

/// Takes a folder for this process, or says that another one has it (`None`). The folder is made if it is missing; one
/// that cannot be written can still be held.
pub fn lock_directory(folder: &Path) -> Result<Option<DirectoryLock>, StoreError> {
    if !folder.exists() {
        fs::create_dir_all(folder).map_err(fault("make", folder))?;
    }
    let file = fs::File::open(folder).map_err(fault("open", folder))?;
    match file.try_lock() {
        Ok(()) => Ok(Some(DirectoryLock(file))),
        Err(fs::TryLockError::WouldBlock) => Ok(None),
        Err(fs::TryLockError::Error(error)) => Err(fault("hold", folder)(error)),
    }
}

/// Reads what is kept as `kind`.
pub fn load(path: &Path, kind: &str) -> Result<StoredFile, StoreError> {
    parse(&read(path)?, kind).map_err(|wrong| wrong.at(path, kind))
}

fn read(path: &Path) -> Result<Vec<u8>, StoreError> {
    let file = fs::File::open(path).map_err(fault("read", path))?;
    let mut whole = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut whole)
        .map_err(fault("read", path))?;
    if whole.len() as u64 > MAX_FILE_BYTES {
        return Err(StoreError::TooLong {
            path: path.display().to_string(),
        });
    }
    Ok(whole)
}

/// One file that is kept anew often: each time at its end, which costs a hundredth of replacing it. The last whole one
/// counts. One that was cut as it was written was not answered for, and is passed over; one that is spoilt before a whole
/// one is refused.
///
/// ```
/// let folder = tempfile::tempdir().expect("a folder");
/// let path = folder.path().join("seat");
/// let (mut journal, kept) = ternpick_store::Journal::open(&path, "seat").expect("none yet");
/// assert!(kept.is_none());
/// journal.append(1, 1_700_000_000_000_000, b"first").expect("kept");
/// journal.append(2, 1_700_000_000_000_001, b"second").expect("kept");
/// let (_, kept) = ternpick_store::Journal::open(&path, "seat").expect("whole");
/// assert_eq!(kept.map(|kept| kept.bytes), Some(b"second".to_vec()));
/// ```
#[derive(Debug)]
pub struct Journal {
    path: PathBuf,
    kind: String,
    /// None until something is kept, and after a failure: then the file is replaced whole.
    file: Option<fs::File>,
    size: u64,
}

/// From this size on a journal is replaced by its last part, in bytes.
const REPLACED_FROM: u64 = 1 << 20;

impl Journal {
    /// What was kept last, and the journal to go on with.
    pub fn open(path: &Path, kind: &str) -> Result<(Journal, Option<StoredFile>), StoreError> {
        let mut journal = Journal::replacing(path, kind);
        let whole = match read(path) {
            Ok(whole) => whole,
            Err(fault) if fault.is_missing() => return Ok((journal, None)),
            Err(fault) => return Err(fault),
        };
        let (mut at, mut last) = (0, None);
        while at < whole.len() {
            match parse_one(&whole[at..], kind) {
                Ok((kept, length)) => (last, at) = (Some(kept), at + length),
                Err(wrong) => {
                    let later = later_marks(&whole, at + 1)
                        .any(|from| parse_one(&whole[from..], kind).is_ok());
                    if last.is_none() || later {
                        return Err(wrong.at(path, kind));
                    }
                    break;
                }
            }
        }
        // What was cut is written over; until then it stays as it is.
        let file = fs::OpenOptions::new().write(true).open(path);
        if let Ok(mut file) = file {
            if file.seek(SeekFrom::Start(at as u64)).is_ok() {
                (journal.file, journal.size) = (Some(file), at as u64);
            }
        }
        Ok((journal, last))
    }

    /// One that replaces whatever is there, with the first that it keeps.
    pub fn replacing(path: &Path, kind: &str) -> Journal {
        Journal {
            path: path.to_owned(),
            kind: kind.to_owned(),
            file: None,
            size: 0,
        }
    }

    /// Keeps `bytes`: they last once this returns.
    pub fn append(&mut self, version: u64, now: u64, bytes: &[u8]) -> Result<(), StoreError> {
        let whole = record(&self.kind, version, now, bytes);
        let grown = self.size + whole.len() as u64;
        if let Some(mut file) = self.file.take().filter(|_| grown <= REPLACED_FROM) {
            // Nothing of what was cut here may stand behind what is whole.
            let cut = file.set_len(self.size);
            let written = cut
                .and_then(|()| file.write_all(&whole))
                .and_then(|()| file.sync_all());
            written.map_err(fault("write", &self.path))?;
            (self.file, self.size) = (Some(file), grown);
            return Ok(());
        }
        replace_file(&self.path, &whole)?;
        let file = fs::OpenOptions::new()
            .append(true)
            .open(&self.path)
            .map_err(fault("open", &self.path))?;
        (self.file, self.size) = (Some(file), whole.len() as u64);
        Ok(())
    }
}

fn later_marks(whole: &[u8], from: usize) -> impl Iterator<Item = usize> + '_ {
    (from..whole.len()).filter(|at| whole[*at..].starts_with(MARK.as_bytes()))
}

#[derive(Debug, PartialEq)]
enum ParseError {
    Foreign,
    Other(String),
    Spoilt,
}

impl ParseError {
    fn at(self, path: &Path, kind: &str) -> StoreError {
        let path = path.display().to_string();
        match self {
            ParseError::Foreign => StoreError::NotOurs { path },
            ParseError::Other(found) => StoreError::WrongKind {
                path,
                found,
                wanted: kind.into(),
            },
            ParseError::Spoilt => StoreError::Corrupt { path },
        }
    }
}

fn parse(whole: &[u8], kind: &str) -> Result<StoredFile, ParseError> {
    match parse_one(whole, kind)? {
        (kept, length) if length == whole.len() => Ok(kept),
        _ => Err(ParseError::Spoilt),
    }
}

/// What stands first, and how long it is.
fn parse_one(whole: &[u8], kind: &str) -> Result<(StoredFile, usize), ParseError> {
    let end = whole
        .iter()
        .take(HEAD_BOUND)
        .position(|byte| *byte == b'\n')
        .ok_or(ParseError::Foreign)?;
    let (head, rest) = (&whole[..end], &whole[end + 1..]);
    let head = std::str::from_utf8(head).map_err(|_| ParseError::Foreign)?;
    let words: Vec<&str> = head.split(' ').collect();
    let [MARK, found, version, saved, length, sum] = words.as_slice() else {
        return Err(ParseError::Foreign);
    };
    let line = head.len() - sum.len() - 1;
    let length: usize = length.parse().map_err(|_| ParseError::Foreign)?;
    let bytes = rest.get(..length).ok_or(ParseError::Spoilt)?;
    if checksum(&head[..line], bytes) != *sum {
        return Err(ParseError::Spoilt);
    }
    if *found != kind {
        return Err(ParseError::Other((*found).to_owned()));
    }
    let number = |word: &str| word.parse::<u64>().map_err(|_| ParseError::Foreign);
    let kept = StoredFile {
        version: number(version)?,
        saved_at: number(saved)?,
        bytes: bytes.to_vec(),
    };
    Ok((kept, end + 1 + length))
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn kept(bytes: &[u8]) -> (tempfile::TempDir, std::path::PathBuf) {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("kept");
        save(&path, "list", 7, 1000, bytes).expect("written");
        (folder, path)
    }

    #[test]
    fn a_file_cut_at_any_length_is_refused() {
        let (_folder, path) = kept(b"some\nlines");
        let whole = fs::read(&path).expect("read");
        for length in 0..whole.len() {
            assert!(parse(&whole[..length], "list").is_err(), "cut at {length}");
        }
        assert_eq!(parse(&whole, "list").map(|kept| kept.version), Ok(7));
    }

    #[test]
    fn a_journal_cut_at_any_length_holds_what_was_whole_before() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("kept");
        let (mut journal, _) = Journal::open(&path, "list").expect("none yet");
        let mut ends = vec![0];
        for version in 1..=3u64 {
            journal
                .append(version, 9, format!("number {version}").as_bytes())
                .expect("kept");
            ends.push(fs::metadata(&path).expect("there").len() as usize);
        }
        let whole = fs::read(&path).expect("read");
        for length in 1..whole.len() {
            fs::write(&path, &whole[..length]).expect("cut");
            let wanted = ends.iter().rposition(|end| *end <= length).unwrap_or(0) as u64;
            match Journal::open(&path, "list") {
                Ok((mut journal, kept)) => {
                    assert_eq!(
                        kept.map(|kept| kept.version),
                        Some(wanted),
                        "cut at {length}"
                    );
                    journal.append(9, 9, b"next").expect("kept");
                    let (_, kept) = Journal::open(&path, "list").expect("whole");
                    assert_eq!(kept.map(|kept| kept.version), Some(9), "cut at {length}");
                }
                Err(_) => assert_eq!(wanted, 0, "cut at {length}"),
            }
        }
    }

    #[test]
    fn a_journal_spoilt_before_what_is_whole_is_refused_and_a_long_one_is_replaced() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("kept");
        let (mut journal, _) = Journal::open(&path, "list").expect("none yet");
        let long = vec![7; 300_000];
        for version in 1..=9u64 {
            journal.append(version, 9, &long).expect("kept");
            assert!(fs::metadata(&path).expect("there").len() <= REPLACED_FROM);
        }
        let mut whole = fs::read(&path).expect("read");
        whole[200] ^= 1;
        fs::write(&path, &whole).expect("spoilt");
        assert!(matches!(
            Journal::open(&path, "list"),
            Err(StoreError::Corrupt { .. })
        ));
        assert!(matches!(
            Journal::open(&path, "keys"),
            Err(StoreError::Corrupt { .. } | StoreError::WrongKind { .. })
        ));
    }

    #[test]
    fn a_folder_is_held_by_one_at_a_time() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("new");
        let held = lock_directory(&path).expect("made").expect("free");
        assert!(lock_directory(&path).expect("there").is_none());
        drop(held);
        assert!(lock_directory(&path).expect("there").is_some());
    }

    #[test]
    fn only_its_owner_may_read_it_and_nothing_is_left_beside_it() {
        let (folder, path) = kept(b"x");
        save(&path, "list", 8, 2000, b"y").expect("written again");
        let mode = fs::metadata(&path).expect("there").permissions().mode();
        assert_eq!(
            (
                mode & 0o777,
                fs::read_dir(folder.path()).expect("there").count()
            ),
            (0o600, 1)
        );
        assert_eq!(
            load(&path, "list").expect("whole"),
            StoredFile {
                version: 8,
                saved_at: 2000,
                bytes: b"y".to_vec()
            }
        );
    }

    #[test]
    fn another_kind_a_foreign_file_and_none_are_told_apart() {
        let (folder, path) = kept(b"x");
        assert!(matches!(
            load(&path, "keys"),
            Err(StoreError::WrongKind { .. })
        ));
        fs::write(&path, "{}\n").expect("written");
        assert!(matches!(
            load(&path, "list"),
            Err(StoreError::NotOurs { .. })
        ));
        assert!(load(&folder.path().join("none"), "list").is_err_and(|fault| fault.is_missing()));
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn a_changed_byte_is_noticed(at in 0usize..200, to in any::<u8>(), bytes in proptest::collection::vec(any::<u8>(), 0..64)) {
            let line = format!("{MARK} list 7 1000 {}", bytes.len());
            let mut whole = format!("{line} {}\n", checksum(&line, &bytes)).into_bytes();
            whole.extend_from_slice(&bytes);
            let at = at % whole.len();
            prop_assume!(whole[at] != to);
            whole[at] = to;
            prop_assert!(parse(&whole, "list").is_err());
        }
    }
}
