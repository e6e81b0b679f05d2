//! Access to JSON by key. A value of an unexpected type reads as if it were absent, unless [`crate::check`]
//! has rejected it.

use serde_json::Value;
use ternpick::types::Micros;

pub(crate) fn number(object: &Value, key: &str) -> Option<f64> {
    object[key].as_f64()
}

/// A duration in microseconds. A negative value reads as 0.
pub(crate) fn micros(object: &Value, key: &str) -> Option<Micros> {
    number(object, key).map(|micros| Micros(micros.max(0.0) as u64))
}

/// A count of at least 1; a smaller one reads as absent.
pub(crate) fn count(object: &Value, key: &str) -> Option<usize> {
    number(object, key)
        .filter(|count| *count >= 1.0)
        .map(|count| count as usize)
}

/// A boolean; false if absent.
pub(crate) fn flag(object: &Value, key: &str) -> bool {
    object[key].as_bool().unwrap_or(false)
}

/// A list; empty if absent.
pub(crate) fn list<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object[key].as_array().map_or(&[], Vec::as_slice)
}

/// A list of strings. An entry that is not a string reads as an empty string, so that later entries keep their
/// positions.
pub(crate) fn texts(object: &Value, key: &str) -> Vec<String> {
    list(object, key).iter().map(text).collect()
}

/// The key `name` of each entry of a list. A name that is not a string reads as an empty string.
pub(crate) fn names(object: &Value, key: &str) -> Vec<String> {
    list(object, key)
        .iter()
        .map(|row| text(&row["name"]))
        .collect()
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
