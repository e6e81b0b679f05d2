//! Access to JSON by key. What is absent or of another type reads as absent; [`crate::check`] finds what is wrong.

use serde_json::Value;
use ternpick::types::Micros;

pub(crate) fn number(object: &Value, key: &str) -> Option<f64> {
    object[key].as_f64()
}

/// A span in microseconds; a negative one is none.
pub(crate) fn micros(object: &Value, key: &str) -> Option<Micros> {
    number(object, key).map(|micros| Micros(micros.max(0.0) as u64))
}

/// A count of at least one.
pub(crate) fn count(object: &Value, key: &str) -> Option<usize> {
    number(object, key)
        .filter(|count| *count >= 1.0)
        .map(|count| count as usize)
}

/// Absent is false.
pub(crate) fn flag(object: &Value, key: &str) -> bool {
    object[key].as_bool().unwrap_or(false)
}

/// A list; absent is empty.
pub(crate) fn list<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object[key].as_array().map_or(&[], Vec::as_slice)
}

/// A list of texts. What is no text stays as an empty one, so that numbers of entries hold.
pub(crate) fn texts(object: &Value, key: &str) -> Vec<String> {
    list(object, key).iter().map(text).collect()
}

/// The key `name` of each entry of a list, likewise.
pub(crate) fn names(object: &Value, key: &str) -> Vec<String> {
    list(object, key)
        .iter()
        .map(|row| text(&row["name"]))
        .collect()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
