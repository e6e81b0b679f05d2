//! Frames between a router and a node. A frame is a length of four bytes (little-endian), a letter for its kind, and
//! a payload. The length counts the letter and the payload.
//!
//! The router's upstream writer and reader use this module. It does no I/O.

#[cfg(test)]
mod tests;

use thiserror::Error;

use crate::http::MAX_BODY_BYTES;
use crate::ring::Ring;

/// The longest frame that a node may send, in bytes. A longer value would not fit into a response to the client.
pub const MAX_FRAME_BYTES: usize = MAX_BODY_BYTES + MAX_LINE_BYTES;

/// The longest line of a shard request including its framing, in bytes.
pub const MAX_LINE_BYTES: usize = 1024;

/// The size of a frame's length field.
const LENGTH_BYTES: usize = 4;
/// The size of a frame's length field and letter.
const HEAD_BYTES: usize = LENGTH_BYTES + 1;

/// The letters of the frames that routers send.
mod letter {
    pub(super) const SHARD_REQUESTS: u8 = b'q';
    pub(super) const CANCEL: u8 = b'c';
    pub(super) const LOAD_REPORT: u8 = b'l';
}

/// Why a node's frame is invalid. The router ends the connection on such an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadFrame {
    /// The frame's length is zero, or its letter is NUL.
    #[error("the frame has no letter for its kind")]
    NoLetter,
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("the frame is longer than {MAX_FRAME_BYTES} bytes")]
    TooLong,
    /// The bytes behind a shard response do not begin a frame, so the length of the response is wrong.
    #[error("the bytes behind the shard response do not begin a frame")]
    WrongLength,
    /// A shard response has no line end.
    #[error("the shard response has no line end")]
    NoLine,
    /// A shard response's value is not UTF-8, or contains a NUL.
    #[error("the shard response's value is not UTF-8 text without NUL")]
    ValueNotText,
    /// A shard response's line has fewer than four words, or one of the first three is not UTF-8.
    #[error("the shard response's line has fewer than four readable words")]
    MissingWord,
    /// A shard response's score is not a decimal number.
    #[error("the shard response's score is not a decimal number")]
    BadScore,
    /// A shard response has an unknown status.
    #[error("the shard response's status is not served, broke or skipped")]
    UnknownStatus,
}

/// How a node finished a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseStatus {
    /// The node executed it.
    Served,
    /// It failed, and may have had an effect.
    Failed,
    /// The node did not start it.
    NotStarted,
}

/// A node's response to a shard request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardResponse<'a> {
    /// The shard request's id, as the router sent it.
    pub id: &'a str,
    /// How the node finished the shard request.
    pub status: ResponseStatus,
    /// The node's load report, to be parsed by [`parse_load_report`]; empty if it is not UTF-8.
    pub load_report: &'a str,
    /// The value; empty unless the status is [`ResponseStatus::Served`].
    pub value: &'a str,
}

/// A shard request to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardRequest<'a> {
    /// The id that the response carries.
    pub id: &'a str,
    /// The shard's number.
    pub shard: u32,
    /// The time left in which a response is useful, in milliseconds.
    pub wait_ms: u64,
    /// The query's idempotency key.
    pub idempotency_key: Option<&'a str>,
    /// The statement for the shard to execute.
    pub statement: &'a str,
}

/// Moves bytes of the next frame from `input` to `frame`. Once the frame is complete, returns its letter and leaves
/// its payload in `frame`; until then returns `None`.
pub fn read_frame(input: &mut Ring, frame: &mut Vec<u8>) -> Result<Option<u8>, BadFrame> {
    loop {
        let missing = if frame.len() < LENGTH_BYTES {
            LENGTH_BYTES - frame.len()
        } else {
            LENGTH_BYTES + length(frame)? - frame.len()
        };
        if missing == 0 {
            let letter = frame[LENGTH_BYTES];
            if letter == 0 {
                return Err(BadFrame::NoLetter);
            }
            frame.drain(..HEAD_BYTES);
            return Ok(Some(letter));
        }
        let run = input.filled();
        if run.is_empty() {
            return Ok(None);
        }
        let taken = run.len().min(missing);
        frame.extend_from_slice(&run[..taken]);
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

/// Whether bytes are the beginning of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameStart {
    /// They are: they hold a length and a letter.
    Frame,
    /// They are not, whatever follows them.
    Invalid,
    /// There are too few of them to tell.
    Undecided,
}

/// Whether `bytes` begin a frame. A frame in front of them whose length is wrong by less than the size of a frame's
/// head would leave either text or the rest of a length field here, neither of which reads as a valid length and a
/// letter.
pub fn frame_start(bytes: &[u8]) -> FrameStart {
    let mut length_field = [0; LENGTH_BYTES];
    let known = bytes.len().min(LENGTH_BYTES);
    length_field[..known].copy_from_slice(&bytes[..known]);
    let least_length = u32::from_le_bytes(length_field) as usize;
    if least_length > MAX_FRAME_BYTES {
        return FrameStart::Invalid;
    }
    match bytes.get(LENGTH_BYTES) {
        _ if known == LENGTH_BYTES && least_length == 0 => FrameStart::Invalid,
        None => FrameStart::Undecided,
        Some(0) => FrameStart::Invalid,
        Some(_) => FrameStart::Frame,
    }
}

/// Whether `bytes`, which stand behind a value, may be the rest of it. Values are UTF-8 text.
pub fn may_continue_value(bytes: &[u8]) -> bool {
    match std::str::from_utf8(bytes) {
        Ok(_) => true,
        Err(error) => error.valid_up_to() > 0 || error.error_len().is_none(),
    }
}

/// The shard request id that an incomplete frame of a shard response names. `frame` is as [`read_frame`] left it.
pub fn parse_incomplete_frame_id(frame: &[u8]) -> Option<&str> {
    parse_shard_request_id(frame.get(HEAD_BYTES..)?)
}

/// The shard request id at the beginning of a payload, if it is UTF-8. It can be read even if the rest of the payload
/// is malformed.
pub fn parse_shard_request_id(payload: &[u8]) -> Option<&str> {
    std::str::from_utf8(payload.split(|byte| *byte == b' ').next()?).ok()
}

/// Parses the payload of an `a` frame. A load report that is not UTF-8 does not invalidate the response. A value with
/// a NUL does: text contains no NUL, so the byte belongs to the length field of the next frame, which a wrong length
/// of this frame included.
pub fn parse_shard_response(payload: &[u8]) -> Result<ShardResponse<'_>, BadFrame> {
    let line_end = payload
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(BadFrame::NoLine)?;
    let value = std::str::from_utf8(&payload[line_end + 1..])
        .ok()
        .filter(|value| !value.contains('\0'))
        .ok_or(BadFrame::ValueNotText)?;
    let mut words = payload[..line_end].splitn(4, |byte| *byte == b' ');
    let mut text_word = || {
        words
            .next()
            .and_then(|word| std::str::from_utf8(word).ok())
            .ok_or(BadFrame::MissingWord)
    };
    let id = text_word()?;
    let status = text_word()?;
    let score = text_word()?;
    let load_report = words.next().ok_or(BadFrame::MissingWord)?;
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
        load_report: std::str::from_utf8(load_report).unwrap_or_default(),
        value,
    })
}

/// Whether the payload of an `a` frame is that of a served shard request with an empty value.
pub fn is_served_without_value(payload: &[u8]) -> bool {
    payload.ends_with(b"\n")
        && parse_shard_response(payload).is_ok_and(|response| {
            response.status == ResponseStatus::Served && response.value.is_empty()
        })
}

/// Parses a load report into the values of `columns`, which are load metric names of the settings, in their order. A
/// missing or unreadable value is NaN. The result is empty if there is no report.
pub fn parse_load_report(text: &str, columns: &[String]) -> Vec<f64> {
    if text == "-" || text == "broke" {
        return Vec::new();
    }
    columns
        .iter()
        .map(|column| metric_value(text, column))
        .collect()
}

/// The first readable value of a load metric.
fn metric_value(text: &str, column: &str) -> f64 {
    text.split(',')
        .filter_map(|pair| pair.split_once('='))
        .filter(|(name, _)| settings_name(name) == column)
        .find_map(|(_, value)| value.parse().ok())
        .unwrap_or(f64::NAN)
}

/// Converts a node's name of a load metric to the name in the settings.
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

fn encode_frame(letter: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + 1 + payload.len());
    frame.extend_from_slice(&(1 + payload.len() as u32).to_le_bytes());
    frame.push(letter);
    frame.extend_from_slice(payload);
    frame
}

/// Encodes the frame that sends shard requests to a node.
pub fn encode_shard_requests<'a>(requests: impl Iterator<Item = ShardRequest<'a>>) -> Vec<u8> {
    let mut payload = Vec::new();
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
        payload.extend_from_slice(line.as_bytes());
        payload.extend_from_slice(statement.as_bytes());
    }
    encode_frame(letter::SHARD_REQUESTS, &payload)
}

/// Encodes the frame that cancels a shard request.
pub fn encode_cancel(id: &str) -> Vec<u8> {
    encode_frame(letter::CANCEL, id.as_bytes())
}

/// Encodes the frame that asks a node for its load report.
pub fn encode_load_report_request() -> Vec<u8> {
    encode_frame(letter::LOAD_REPORT, b"")
}
