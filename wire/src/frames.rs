//! Frames between a router and a node: four bytes of length (least significant first), a letter that says the kind, the rest.
//!
//! Used by the router's upstream writer and reader. Does no I/O.

#[cfg(test)]
mod tests;

use thiserror::Error;

use crate::http::MAX_BODY_BYTES;
use crate::ring::Ring;

/// The longest frame that a node may send, in bytes: a value that no answer has room for is of no use.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + MAX_LINE_BYTES;

/// The longest line of a shard request, with what frames it, in bytes.
pub const MAX_LINE_BYTES: usize = 1024;

/// The bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// The letters of frames that routers send.
mod letter {
    pub(super) const SHARD_REQUESTS: u8 = b'q';
    pub(super) const CANCEL: u8 = b'c';
    pub(super) const LOAD_REPORT: u8 = b'l';
}

/// Why a node's bytes cannot be read on; the connection ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadFrame {
    /// Its length is zero.
    #[error("a frame without a letter")]
    NoLetter,
    /// It is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame longer than its bound")]
    TooLong,
    /// An answer has no line end.
    #[error("an answer without its line")]
    NoLine,
    /// An answer's value is not UTF-8, or holds a NUL.
    #[error("an answer's value is not text")]
    ValueNotText,
    /// An answer's line has less than its four words.
    #[error("an answer's line has not four words")]
    MissingWord,
    /// An answer's score is not a number.
    #[error("an answer's score is no number")]
    BadScore,
    /// An answer ends in a way that is not known.
    #[error("an answer of unknown end")]
    UnknownStatus,
}

/// How a node ended a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// It has answered.
    Served,
    /// It has failed, and may have had an effect.
    Failed,
    /// It was not begun.
    NotStarted,
}

/// The fields of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardResponse<'a> {
    /// The id of the shard request, as it was sent.
    pub id: &'a str,
    /// How it ended.
    pub status: ResponseStatus,
    /// A load report for [`parse_load_report`], empty if it is not UTF-8.
    pub load_report: &'a str,
    /// The value, empty unless it was served.
    pub value: &'a str,
}

/// The fields of a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardRequest<'a> {
    /// The id that its answer names.
    pub id: &'a str,
    /// The number of the shard.
    pub shard: u32,
    /// For how long its answer is of use, in milliseconds.
    pub wait_ms: u64,
    /// The idempotency key of its query.
    pub idempotency_key: Option<&'a str>,
    /// What the shard is asked.
    pub statement: &'a str,
}

/// Takes bytes of the next frame off `input` into `into`; its letter once it is complete, with the rest in `into`.
pub fn read_frame(input: &mut Ring, into: &mut Vec<u8>) -> Result<Option<u8>, BadFrame> {
    loop {
        let wanted = if into.len() < LENGTH_BYTES {
            LENGTH_BYTES - into.len()
        } else {
            LENGTH_BYTES + length(into)? - into.len()
        };
        if wanted == 0 {
            let letter = into[LENGTH_BYTES];
            into.drain(..=LENGTH_BYTES);
            return Ok(Some(letter));
        }
        let run = input.filled();
        if run.is_empty() {
            return Ok(None);
        }
        let taken = run.len().min(wanted);
        into.extend_from_slice(&run[..taken]);
        input.consume(taken);
    }
}

fn length(head: &[u8]) -> Result<usize, BadFrame> {
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    match length {
        0 => Err(BadFrame::NoLetter),
        _ if length > MAX_FRAME_BYTES => Err(BadFrame::TooLong),
        _ => Ok(length),
    }
}

/// The id that a frame names first, if it can be read: also of a frame that is malformed further on.
pub fn parse_shard_request_id(rest: &[u8]) -> Option<&str> {
    std::str::from_utf8(rest.split(|byte| *byte == b' ').next()?).ok()
}

/// Parses the rest of an `a` frame. A report that is not text counts as unreadable, and nothing else is lost with it. No text
/// holds a NUL: it is the length of the frame behind, which a wrong length took in.
pub fn parse_shard_response(rest: &[u8]) -> Result<ShardResponse<'_>, BadFrame> {
    let line_end = rest
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(BadFrame::NoLine)?;
    let value = std::str::from_utf8(&rest[line_end + 1..])
        .ok()
        .filter(|value| !value.contains('\0'))
        .ok_or(BadFrame::ValueNotText)?;
    let mut words = rest[..line_end].splitn(4, |byte| *byte == b' ');
    let mut text_word = || {
        words
            .next()
            .and_then(|word| std::str::from_utf8(word).ok())
            .ok_or(BadFrame::MissingWord)
    };
    let id = text_word()?;
    let status = text_word()?;
    let score = text_word()?;
    let report = words.next().ok_or(BadFrame::MissingWord)?;
    if score.is_empty() || !score.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(BadFrame::BadScore);
    }
    let status = match status {
        "served" => ResponseStatus::Served,
        "broke" => ResponseStatus::Failed,
        "skipped" => ResponseStatus::NotStarted,
        _ => return Err(BadFrame::UnknownStatus),
    };
    Ok(ShardResponse {
        id,
        status,
        load_report: std::str::from_utf8(report).unwrap_or_default(),
        value,
    })
}

/// A load report's figures in the order of `columns`, which are the settings' names; one that is missing or unreadable is not a
/// number. Empty if there is no report.
pub fn parse_load_report(text: &str, columns: &[String]) -> Vec<f64> {
    if text == "-" || text == "broke" {
        return Vec::new();
    }
    columns.iter().map(|column| figure(text, column)).collect()
}

/// The first readable figure of a column.
fn figure(text: &str, column: &str) -> f64 {
    text.split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter(|(name, _)| settings_name(name) == column)
        .find_map(|(_, figure)| figure.parse().ok())
        .unwrap_or(f64::NAN)
}

/// The settings' name for what a node's report calls by another.
fn settings_name(name: &str) -> &str {
    match name.trim() {
        "inflight" => "concurrent",
        "queue" => "depth",
        "util" => "load_share",
        "latency_ms" => "mean_ms",
        "qps" => "tps",
        "eps" => "err_ps",
        other => other,
    }
}

fn encode_frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + 1 + rest.len());
    frame.extend_from_slice(&(1 + rest.len() as u32).to_le_bytes());
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// The frame that sends shard requests to a node.
pub fn encode_shard_requests<'a>(requests: impl Iterator<Item = ShardRequest<'a>>) -> Vec<u8> {
    let mut rest = Vec::new();
    for request in requests {
        let ShardRequest {
            id,
            shard,
            wait_ms,
            idempotency_key,
            statement,
        } = request;
        let key = idempotency_key
            .map(|key| format!(",k={key}"))
            .unwrap_or_default();
        let line = format!("{id} {shard} d={wait_ms}{key} {}\n", statement.len());
        rest.extend_from_slice(line.as_bytes());
        rest.extend_from_slice(statement.as_bytes());
    }
    encode_frame(letter::SHARD_REQUESTS, &rest)
}

/// The frame that cancels a shard request.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_frame(letter::CANCEL, id.as_bytes())
}

/// The frame that asks a node for its load report.
pub fn encode_load_report_request() -> Vec<u8> {
    encode_frame(letter::LOAD_REPORT, b"")
}
