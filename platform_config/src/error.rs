//! Errors in the platform's settings.

use std::fmt;

use serde_json::Value;

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The text is not valid JSON.
    #[error("settings are not valid JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The JSON is a list or a single value.
    #[error("settings are not a JSON object")]
    NotAnObject,
    /// A value is not a number, or is out of its range.
    #[error("settings: {key} is {value}, expected a number {range}")]
    OutOfRange {
        /// The path of the value, as in `classes[0].deadline`.
        key: String,
        /// The value found.
        value: Value,
        /// The range of values that are accepted.
        range: Range,
    },
}

/// For callers that pass errors on as text.
impl From<PlatformConfigError> for String {
    fn from(error: PlatformConfigError) -> Self {
        error.to_string()
    }
}

/// The range of a number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// From 0 to 1, both included.
    Share,
    /// Any finite number that is 0 or more.
    NotNegative,
}

impl Range {
    pub(crate) fn contains(self, number: f64) -> bool {
        match self {
            Range::Share => (0.0..=1.0).contains(&number),
            Range::NotNegative => (0.0..=f64::MAX).contains(&number),
        }
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(match self {
            Range::Share => "from 0 to 1",
            Range::NotNegative => "of 0 or more",
        })
    }
}
