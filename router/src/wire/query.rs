//! A lookup as a client's body words it, and the body that answers it.

use serde_json::{json, Value};
use ternpick::types::{Micros, ShardNo};

pub fn parse(body: &[u8]) -> Result<Value, &'static str> {
    serde_json::from_slice(body).map_err(|_| "the body is not JSON")
}

/// A part's shard, its weight and, where it is there, a guess at the work.
pub type PartFields = (ShardNo, f64, Option<Micros>);

pub fn parts(body: &Value, shards: Option<u32>) -> Result<Vec<PartFields>, &'static str> {
    let listed = body["tablets"].as_array().filter(|rows| !rows.is_empty()).ok_or("no tablets")?;
    let mut parts: Vec<PartFields> = Vec::with_capacity(listed.len());
    let mut seen = std::collections::BTreeSet::new();
    for row in listed {
        let shard = row["tablet"].as_u64().and_then(|shard| u32::try_from(shard).ok());
        let shard = shard.filter(|shard| shards.is_none_or(|all| *shard < all)).ok_or("an unknown tablet")?;
        if !seen.insert(shard) {
            return Err("a tablet stands twice");
        }
        let fraction = row["fraction"].as_f64().filter(|share| (0.0..=1.0).contains(share));
        let guess = row["guess"].as_f64().filter(|guess| *guess >= 1.0).map(|guess| Micros(guess as u64));
        parts.push((ShardNo(shard), fraction.ok_or("a fraction that is none")?, guess));
    }
    Ok(parts)
}

/// What each part has to carry.
pub fn statement(body: &Value) -> Result<&str, &'static str> {
    body["statement"].as_str().ok_or("no statement")
}

pub fn answer<'a>(whole: bool, values: impl Iterator<Item = (ShardNo, &'a str)>) -> String {
    let pieces: Vec<Value> = values.map(|(shard, value)| json!({"tablet": shard.0, "cell": value})).collect();
    json!({"full": whole, "pieces": pieces}).to_string()
}
