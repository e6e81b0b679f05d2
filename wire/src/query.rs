//! A lookup as a client's body words it, and the body that answers it.

use serde_json::{json, Value};
use ternpick::types::{Micros, ShardNo};

pub fn parse(body: &[u8]) -> Result<Value, &'static str> {
    serde_json::from_slice(body).map_err(|_| "the body is not JSON")
}

/// A part's shard, its weight and, where it is there, a guess at the work.
pub type PartFields = (ShardNo, f64, Option<Micros>);

/// Shares of one answer may sum to so much more or less than the whole: clients round them.
const ROUNDED: f64 = 0.01;

pub fn parts(body: &Value, shards: Option<u32>) -> Result<Vec<PartFields>, &'static str> {
    let listed = body["tablets"]
        .as_array()
        .filter(|rows| !rows.is_empty())
        .ok_or("no tablets")?;
    let mut parts: Vec<PartFields> = Vec::with_capacity(listed.len());
    let mut seen = std::collections::BTreeSet::new();
    for row in listed {
        let shard = row["tablet"]
            .as_u64()
            .and_then(|shard| u32::try_from(shard).ok());
        let shard = shard
            .filter(|shard| shards.is_none_or(|all| *shard < all))
            .ok_or("an unknown tablet")?;
        if !seen.insert(shard) {
            return Err("a tablet stands twice");
        }
        let fraction = row["fraction"]
            .as_f64()
            .filter(|share| (0.0..=1.0).contains(share));
        let guess = row["guess"]
            .as_f64()
            .filter(|guess| *guess >= 1.0)
            .map(|guess| Micros(guess as u64));
        parts.push((
            ShardNo(shard),
            fraction.ok_or("a fraction that is none")?,
            guess,
        ));
    }
    let sum = parts.iter().map(|(_, share, _)| share).sum::<f64>();
    if (sum - 1.0).abs() > ROUNDED {
        return Err("the fractions do not sum to 1");
    }
    Ok(parts)
}

/// What each part has to carry.
pub fn statement(body: &Value) -> Result<&str, &'static str> {
    body["statement"].as_str().ok_or("no statement")
}

pub fn answer<'a>(whole: bool, values: impl Iterator<Item = (ShardNo, &'a str)>) -> String {
    let pieces: Vec<Value> = values
        .map(|(shard, value)| json!({"tablet": shard.0, "cell": value}))
        .collect();
    json!({"full": whole, "pieces": pieces}).to_string()
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    #[test_case(r#"{"tablets":[{"tablet":3,"fraction":0.5,"guess":9000},{"tablet":1,"fraction":0.5}]}"#, Some(2); "good")]
    #[test_case(r#"{"tablets":[]}"#, None; "no parts")]
    #[test_case(r#"[]"#, None; "not an object")]
    #[test_case(r#"{"tablets":[{"tablet":3,"fraction":0.5},{"tablet":3,"fraction":0.5}]}"#, None; "doubled")]
    #[test_case(r#"{"tablets":[{"tablet":8,"fraction":1}]}"#, None; "beyond the shards")]
    #[test_case(r#"{"tablets":[{"tablet":-1,"fraction":1}]}"#, None; "below the shards")]
    #[test_case(r#"{"tablets":[{"tablet":1.5,"fraction":1}]}"#, None; "between shards")]
    #[test_case(r#"{"tablets":[{"tablet":1}]}"#, None; "no fraction")]
    #[test_case(r#"{"tablets":[{"tablet":1,"fraction":"1"}]}"#, None; "a fraction that is no number")]
    #[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.3333},{"tablet":2,"fraction":0.3333},{"tablet":3,"fraction":0.3333}]}"#, Some(3); "rounded")]
    #[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.5},{"tablet":2,"fraction":0.4}]}"#, None; "less than the whole")]
    #[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.8},{"tablet":2,"fraction":0.8}]}"#, None; "more than the whole")]
    #[test_case(r#"{"tablets":[{"tablet":1,"fraction":-0.5}]}"#, None; "a negative fraction")]
    #[test_case(r#"{"tablets":[{"tablet":1,"fraction":1e300}]}"#, None; "more than all")]
    fn reads_parts(body: &str, count: Option<usize>) {
        let fields = parse(body.as_bytes()).expect("JSON");
        assert_eq!(parts(&fields, Some(8)).ok().map(|parts| parts.len()), count);
    }

    #[test_case(r#"9000"#, Some(Micros(9000)); "a guess")]
    #[test_case(r#"null"#, None; "nothing")]
    #[test_case(r#"-4"#, None; "below nothing")]
    #[test_case(r#""9""#, None; "not a number")]
    fn reads_guesses(guess: &str, hint: Option<Micros>) {
        let body = format!(r#"{{"tablets":[{{"tablet":0,"fraction":1,"guess":{guess}}}]}}"#);
        assert_eq!(
            parts(&parse(body.as_bytes()).unwrap(), None),
            Ok(vec![(ShardNo(0), 1.0, hint)])
        );
    }

    #[test]
    fn answers_with_values_as_they_came() {
        let text = answer(false, [(ShardNo(3), "5b\"e2")].into_iter());
        assert_eq!(
            parse(text.as_bytes()),
            Ok(json!({"full": false, "pieces": [{"tablet": 3, "cell": "5b\"e2"}]}))
        );
    }
}
