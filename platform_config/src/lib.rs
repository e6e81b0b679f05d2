//! Reads the platform's settings: the JSON that a router is given at its start. The router and the bench's adapter call
//! it. Keys are the platform's, and keys that are not known here are skipped. The settings file of the router itself is
//! `ternpick-settings`'.
//!
//! [`platform_config`] gives what the decision module works with, [`bounds`] what the program around it keeps to.

mod bounds;
mod check;
mod error;
mod json;
mod platform;

pub use bounds::{bounds, Bounds};
pub use error::{PlatformConfigError, Range};
pub use platform::platform_config;

use serde_json::Value;

/// Reads settings from JSON text.
pub fn parse(text: &[u8]) -> Result<Value, PlatformConfigError> {
    Ok(serde_json::from_slice(text)?)
}
