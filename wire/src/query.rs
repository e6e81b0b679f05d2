//! The body of a client's query and the body of the response. The format is JSON; the keys are part of the protocol
//! with clients.

#[cfg(test)]
mod tests;

use std::collections::BTreeSet;
use std::io;

use serde_json::{json, Value};
use ternpick::types::{Micros, ShardNo};
use thiserror::Error;

/// Why a body is not a valid query. The `Display` text is the body of the response to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadQuery {
    /// The body is not JSON.
    #[error("the body is not JSON")]
    NotJson,
    /// The query names no shards.
    #[error("no tablets")]
    NoShards,
    /// The query names a shard that does not exist or is not a number.
    #[error("an unknown tablet")]
    UnknownShard,
    /// The query names a shard twice.
    #[error("a tablet stands twice")]
    RepeatedShard,
    /// The weight of a shard is missing or not between 0 and 1.
    #[error("a fraction that is none")]
    BadWeight,
    /// The sum of the weights differs from 1 by more than the tolerance.
    #[error("the fractions do not sum to 1")]
    WeightSum,
    /// The query has no statement.
    #[error("no statement")]
    NoStatement,
}

/// The fields of one shard in a query.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardFields {
    /// The shard.
    pub shard: ShardNo,
    /// Its share of a complete response, between 0 and 1.
    pub weight: f64,
    /// The client's estimate of the work, if there is one.
    pub work_hint: Option<Micros>,
}

/// How far the sum of a query's weights may differ from 1, because clients round the weights.
const WEIGHT_TOLERANCE: f64 = 0.01;

/// Parses the body of a query.
pub fn parse(body: &[u8]) -> Result<Value, BadQuery> {
    serde_json::from_slice(body).map_err(|_| BadQuery::NotJson)
}

/// The shards that a query names. Shard numbers from `shard_count` on are rejected, if the count is known.
pub fn shards(body: &Value, shard_count: Option<u32>) -> Result<Vec<ShardFields>, BadQuery> {
    let rows = body["tablets"]
        .as_array()
        .filter(|rows| !rows.is_empty())
        .ok_or(BadQuery::NoShards)?;
    let mut shards: Vec<ShardFields> = Vec::with_capacity(rows.len());
    let mut seen = BTreeSet::new();
    for row in rows {
        let shard = row["tablet"]
            .as_u64()
            .and_then(|shard| u32::try_from(shard).ok())
            .filter(|shard| shard_count.is_none_or(|count| *shard < count))
            .ok_or(BadQuery::UnknownShard)?;
        if !seen.insert(shard) {
            return Err(BadQuery::RepeatedShard);
        }
        let weight = row["fraction"]
            .as_f64()
            .filter(|weight| (0.0..=1.0).contains(weight))
            .ok_or(BadQuery::BadWeight)?;
        let work_hint = row["guess"]
            .as_f64()
            .filter(|micros| *micros >= 1.0)
            .map(|micros| Micros(micros as u64));
        shards.push(ShardFields {
            shard: ShardNo(shard),
            weight,
            work_hint,
        });
    }
    let sum: f64 = shards.iter().map(|fields| fields.weight).sum();
    if (sum - 1.0).abs() > WEIGHT_TOLERANCE {
        return Err(BadQuery::WeightSum);
    }
    Ok(shards)
}

/// The statement for each shard to execute.
pub fn statement(body: &Value) -> Result<&str, BadQuery> {
    body["statement"].as_str().ok_or(BadQuery::NoStatement)
}

/// The size of the body of a response without shards, of which the longer form is not complete, in bytes.
const EMPTY_BODY_BYTES: usize = r#"{"full":false,"pieces":[]}"#.len();
/// The size of a shard with an empty value in the body of a response, without the shard's number.
const EMPTY_PIECE_BYTES: usize = r#"{"cell":"","tablet":}"#.len();

/// The size of the body of a response in which each of these shards has an empty value, in bytes.
pub fn empty_response_bytes(shards: impl Iterator<Item = ShardNo>) -> usize {
    let (mut bytes, mut count) = (EMPTY_BODY_BYTES, 0_usize);
    for shard in shards {
        bytes += EMPTY_PIECE_BYTES + decimal_digits(shard.0);
        count += 1;
    }
    let commas = count.saturating_sub(1);
    bytes + commas
}

fn decimal_digits(number: u32) -> usize {
    number.checked_ilog10().map_or(1, |log| log as usize + 1)
}

/// The number of bytes that a value takes up in the body of a response, with JSON's escapes and without quotes.
pub fn encoded_value_bytes(value: &str) -> usize {
    let mut count = ByteCount(0);
    // Counting does not fail, and a text has a JSON form.
    let _ = serde_json::to_writer(&mut count, value);
    count.0.saturating_sub(QUOTES_BYTES)
}

/// The size of the quotes of a JSON string.
const QUOTES_BYTES: usize = 2;

/// Counts the bytes that are written to it.
struct ByteCount(usize);

impl io::Write for ByteCount {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Encodes the body of a response; `complete` tells the client whether all shards have a value.
pub fn encode_response_body<'a>(
    complete: bool,
    values: impl Iterator<Item = (ShardNo, &'a str)>,
) -> String {
    let pieces: Vec<Value> = values
        .map(|(shard, value)| json!({"tablet": shard.0, "cell": value}))
        .collect();
    json!({"full": complete, "pieces": pieces}).to_string()
}
