//! The format of a record: one line of text, then the unencoded content. A file holds one record, a journal several.
//!
//! The line consists of the magic word, the kind, the version, the time, the length of the content in bytes and a
//! checksum, separated by spaces and ended by a newline. The checksum is the SHA-256 of the line before it, a newline
//! and the content.

use sha2::{Digest, Sha256};

#[cfg(test)]
mod tests;

/// The first word of every record. The number at its end changes with the format of the line.
pub(crate) const MAGIC: &str = "ternpick-kept-1";
/// The maximum length of the first line with its newline, in bytes.
const MAX_LINE_BYTES: usize = 256;

/// The content of a file, or of a journal's last record.
#[derive(Debug, PartialEq, Eq)]
pub struct StoredFile {
    /// The version of the content's format, as given by the caller.
    pub version: u64,
    /// When it was saved, in microseconds of Unix time by the clock of the process that saved it.
    pub saved_at: u64,
    /// The content.
    pub bytes: Vec<u8>,
}

impl StoredFile {
    /// The time since the file was saved, in microseconds; `now` is Unix time in microseconds. 0 if the file was
    /// saved after `now`, which happens when the clock is set back.
    pub fn age(&self, now: u64) -> u64 {
        now.saturating_sub(self.saved_at)
    }
}

/// Why bytes cannot be decoded as a record of the expected kind.
#[derive(Debug, PartialEq)]
pub(crate) enum RecordError {
    /// The bytes do not start with a valid first line.
    NotARecord,
    /// The record is intact and has another kind.
    WrongKind { found: String },
    /// The content is incomplete or too long, or the checksum does not match.
    Corrupt,
}

/// An intact record at the start of the decoded bytes.
pub(crate) struct DecodedRecord {
    pub(crate) file: StoredFile,
    /// The length of the whole record, in bytes.
    pub(crate) length: usize,
}

pub(crate) fn encode(kind: &str, version: u64, saved_at: u64, content: &[u8]) -> Vec<u8> {
    let line = format!("{MAGIC} {kind} {version} {saved_at} {}", content.len());
    let checksum = checksum(&line, content);
    let mut record = format!("{line} {checksum}\n").into_bytes();
    record.extend_from_slice(content);
    record
}

fn checksum(line: &str, content: &[u8]) -> String {
    let digest = Sha256::new()
        .chain_update(line)
        .chain_update(b"\n")
        .chain_update(content)
        .finalize();
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Decodes bytes that consist of exactly one record.
pub(crate) fn decode(bytes: &[u8], kind: &str) -> Result<StoredFile, RecordError> {
    let record = decode_first(bytes, kind)?;
    if record.length != bytes.len() {
        return Err(RecordError::Corrupt);
    }
    Ok(record.file)
}

/// Decodes the record that `bytes` starts with.
pub(crate) fn decode_first(bytes: &[u8], kind: &str) -> Result<DecodedRecord, RecordError> {
    let line_end = bytes
        .iter()
        .take(MAX_LINE_BYTES)
        .position(|byte| *byte == b'\n')
        .ok_or(RecordError::NotARecord)?;
    let line = std::str::from_utf8(&bytes[..line_end]).map_err(|_| RecordError::NotARecord)?;
    let fields: Vec<&str> = line.split(' ').collect();
    let [MAGIC, found_kind, version, saved_at, length, found_checksum] = fields.as_slice() else {
        return Err(RecordError::NotARecord);
    };
    let length: usize = length.parse().map_err(|_| RecordError::NotARecord)?;
    let content_start = line_end + 1;
    let content = bytes[content_start..]
        .get(..length)
        .ok_or(RecordError::Corrupt)?;
    let line_without_checksum = &line[..line.len() - found_checksum.len() - 1];
    if checksum(line_without_checksum, content) != *found_checksum {
        return Err(RecordError::Corrupt);
    }
    if *found_kind != kind {
        return Err(RecordError::WrongKind {
            found: (*found_kind).to_owned(),
        });
    }
    let file = StoredFile {
        version: parse_number(version)?,
        saved_at: parse_number(saved_at)?,
        bytes: content.to_vec(),
    };
    Ok(DecodedRecord {
        file,
        length: content_start + length,
    })
}

fn parse_number(field: &str) -> Result<u64, RecordError> {
    field.parse().map_err(|_| RecordError::NotARecord)
}
