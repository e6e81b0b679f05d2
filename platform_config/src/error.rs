//! What is wrong with settings.

use std::fmt;

use serde_json::Value;

/// Settings that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The text is no JSON.
    #[error("settings that are not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// The JSON is a list or a single value.
    #[error("settings that are not a JSON object")]
    NotAnObject,
    /// A value is no number, or out of its range.
    #[error("settings: {key} is {value}, wanted a number {range}")]
    OutOfRange {
        /// Where the value stands, as in `classes[0].deadline`.
        key: String,
        /// The value.
        value: Value,
        /// What it may be.
        range: Range,
    },
}

/// For callers that pass errors on as text.
impl From<PlatformConfigError> for String {
    fn from(error: PlatformConfigError) -> Self {
        error.to_string()
    }
}

/// What a number may be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Range {
    /// From 0 to 1.
    Share,
    /// Any finite number from 0.
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
