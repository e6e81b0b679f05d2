//! Frames between a router and a node: four bytes of length (least significant first), a letter, the rest.

use crate::memory::ring::Ring;

/// The longest frame that a node may send.
pub const FRAME_BOUND: usize = 256 * 1024;

/// The longest line of a part in a call, with what frames it.
pub const LINE_BOUND: usize = 1024;

/// Why a node's bytes cannot be read on; the connection ends with it.
pub type BadFrame = &'static str;

/// How a node ended a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Broke,
    Skipped,
}

/// Takes a whole frame's letter and rest off `input`, if it is all there.
pub fn next(input: &mut Ring, into: &mut Vec<u8>) -> Result<Option<u8>, BadFrame> {
    while into.len() < 4 || into.len() < 4 + length(into)? {
        let wanted = if into.len() < 4 { 4 - into.len() } else { 4 + length(into)? - into.len() };
        let run = input.filled();
        if run.is_empty() {
            return Ok(None);
        }
        let taken = run.len().min(wanted);
        into.extend_from_slice(&run[..taken]);
        input.consume(taken);
    }
    let letter = into[4];
    into.drain(..5);
    Ok(Some(letter))
}

fn length(head: &[u8]) -> Result<usize, BadFrame> {
    let length = u32::from_le_bytes([head[0], head[1], head[2], head[3]]) as usize;
    match length {
        0 => Err("a frame without a letter"),
        _ if length > FRAME_BOUND => Err("a frame longer than its bound"),
        _ => Ok(length),
    }
}

/// An `a` frame's fields: id, end, report, value.
pub fn answer(rest: &[u8]) -> Result<(&str, End, &str, &str), BadFrame> {
    let end = rest.iter().position(|byte| *byte == b'\n').ok_or("an answer without its line")?;
    let line = std::str::from_utf8(&rest[..end]).map_err(|_| "an answer's line is not text")?;
    let value = std::str::from_utf8(&rest[end + 1..]).map_err(|_| "an answer's value is not text")?;
    let mut words = line.split(' ');
    let (Some(id), Some(end), Some(_score), Some(report), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err("an answer's line has not four words");
    };
    let end = match end {
        "served" => End::Served,
        "broke" => End::Broke,
        "skipped" => End::Skipped,
        _ => return Err("an answer of unknown end"),
    };
    Ok((id, end, report, value))
}

/// A load report's figures in the order of `columns`, which are the settings' words; one that is missing or
/// unreadable is no number. Empty if there is no report.
pub fn report(text: &str, columns: &[String]) -> Vec<f64> {
    if text == "-" || text == "broke" {
        return Vec::new();
    }
    let figure = |column: &String| {
        let of =
            |(word, figure): (&str, &str)| (meaning(word) == column).then(|| figure.parse().ok()).flatten();
        text.split(',').filter_map(|pair| pair.split_once('=')).find_map(of).unwrap_or(f64::NAN)
    };
    columns.iter().map(figure).collect()
}

/// The settings' word for what a node's report calls by another.
fn meaning(word: &str) -> &str {
    match word.trim() {
        "inflight" => "concurrent",
        "queue" => "depth",
        "util" => "load_share",
        "latency_ms" => "mean_ms",
        "qps" => "tps",
        "eps" => "err_ps",
        other => other,
    }
}

fn frame(letter: u8, rest: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(5 + rest.len());
    frame.extend_from_slice(&(1 + rest.len() as u32).to_le_bytes());
    frame.push(letter);
    frame.extend_from_slice(rest);
    frame
}

/// Adds one part to the rest of a `q` frame.
pub fn add_part(rest: &mut Vec<u8>, id: &str, shard: u32, wait_ms: u64, key: Option<&str>, text: &str) {
    let key = key.map(|key| format!(",k={key}")).unwrap_or_default();
    rest.extend_from_slice(format!("{id} {shard} d={wait_ms}{key} {}\n{text}", text.len()).as_bytes());
}

pub fn call(rest: &[u8]) -> Vec<u8> {
    frame(b'q', rest)
}

/// Gives a part up.
pub fn give_up(id: &str) -> Vec<u8> {
    frame(b'c', id.as_bytes())
}

/// Asks for the load report.
pub fn load_probe() -> Vec<u8> {
    frame(b'l', b"")
}
