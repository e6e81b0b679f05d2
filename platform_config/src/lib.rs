//! Reads the platform's settings: the JSON that a router is started with. The router and the bench's adapter use this
//! crate. The platform defines the keys, and unknown keys are ignored. The router's own settings file is read by
//! `ternpick-settings`.
//!
//! [`platform_config`] returns the configuration of the routing engine, [`bounds`] the names and limits for the
//! program that runs the engine.

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
