//! The configuration file that a router is started with, as the platform hands it over.
//!
//! Read at the start, at each reload and by `ternpick check`. Keys are the platform's; nothing here applies a value.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;
use ternpick::types::PlatformConfig;
use ternpick_platform_config::{Bounds, PlatformConfigError};

/// Descriptors, where the configuration does not say.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// Megabytes, where the configuration does not say.
const DEFAULT_MEMORY_MB: u64 = 192;

/// What a router says of itself and may hold: a change needs a restart. Its endpoint list and its seed are for starts only,
/// and differ with each.
pub(crate) const FIXED_FIELDS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// A configuration that can be used.
pub(crate) struct RouterConfig {
    /// The router's name.
    pub(crate) name: String,
    /// Where it accepts clients.
    pub(crate) listen: SocketAddr,
    /// Where discovery is.
    pub(crate) discovery: SocketAddr,
    /// Seeds all random choices.
    pub(crate) seed: u64,
    /// File descriptors that the process may hold.
    pub(crate) descriptor_limit: usize,
    /// Bytes that the process may take up.
    pub(crate) memory_bytes: usize,
    /// The endpoint list as this router last had it, in discovery's form; null if it had none.
    pub(crate) known_endpoints: Value,
    /// What the decision module goes by.
    pub(crate) platform: PlatformConfig,
    /// What the router itself goes by.
    pub(crate) bounds: Bounds,
    /// What a reload compares, in the order of [`FIXED_FIELDS`].
    pub(crate) fixed: [Value; FIXED_FIELDS.len()],
}

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// The file says what cannot be used.
    #[error("{}: {source}", path.display())]
    Invalid {
        path: PathBuf,
        source: InvalidConfig,
    },
}

/// What is wrong with the text of a configuration.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidConfig {
    /// Not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A key that is not there, or no text.
    #[error("'{0}' is missing")]
    Missing(&'static str),
    /// A text that is no address.
    #[error("'{0}' is not an address and port")]
    NotAnAddress(&'static str),
    /// A seed that is no number.
    #[error("'seed' is not a hexadecimal number")]
    Seed,
    /// The platform's settings are wrong.
    #[error("'settings': {0}")]
    Platform(PlatformConfigError),
    /// No class, or one without a name.
    #[error("'settings': no classes, or one without a name")]
    Classes,
    /// A class with a second phase.
    #[error("'settings': class {0} has a second step, which this protocol cannot ask for")]
    SecondPhase(String),
}

/// For callers whose errors are still text.
impl From<ConfigError> for String {
    fn from(error: ConfigError) -> Self {
        error.to_string()
    }
}

/// Reads a configuration file.
pub(crate) fn read(path: &Path) -> Result<RouterConfig, ConfigError> {
    let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
        path: path.to_owned(),
        source,
    })?;
    parse(&text).map_err(|source| ConfigError::Invalid {
        path: path.to_owned(),
        source,
    })
}

/// Parses the text of a configuration file.
pub(crate) fn parse(text: &[u8]) -> Result<RouterConfig, InvalidConfig> {
    let all: Value = serde_json::from_slice(text)?;
    let seed = u64::from_str_radix(text_of(&all, "seed")?, 16).map_err(|_| InvalidConfig::Seed)?;
    let settings = &all["settings"];
    let platform =
        ternpick_platform_config::platform_config(settings).map_err(InvalidConfig::Platform)?;
    let bounds = ternpick_platform_config::bounds(settings);
    check_classes(&platform, &bounds)?;
    let descriptor_limit = all["limits"]["sockets"]
        .as_u64()
        .map_or(DEFAULT_DESCRIPTORS, |n| n as usize);
    Ok(RouterConfig {
        name: text_of(&all, "name")?.to_owned(),
        listen: address_of(&all, "listen")?,
        discovery: address_of(&all, "discovery")?,
        seed,
        descriptor_limit,
        memory_bytes: memory_bytes(&all["limits"]),
        known_endpoints: all["known"].clone(),
        platform,
        bounds,
        fixed: FIXED_FIELDS.map(|name| all[name].clone()),
    })
}

fn text_of<'a>(all: &'a Value, key: &'static str) -> Result<&'a str, InvalidConfig> {
    all[key].as_str().ok_or(InvalidConfig::Missing(key))
}

fn address_of(all: &Value, key: &'static str) -> Result<SocketAddr, InvalidConfig> {
    let text = text_of(all, key)?;
    text.parse().map_err(|_| InvalidConfig::NotAnAddress(key))
}

fn memory_bytes(limits: &Value) -> usize {
    let megabytes = limits["memory_mb"].as_u64().unwrap_or(DEFAULT_MEMORY_MB);
    usize::try_from(megabytes)
        .unwrap_or(usize::MAX)
        .saturating_mul(1024 * 1024)
}

fn check_classes(platform: &PlatformConfig, bounds: &Bounds) -> Result<(), InvalidConfig> {
    if platform.indexes.is_empty() || bounds.index_names.iter().any(String::is_empty) {
        return Err(InvalidConfig::Classes);
    }
    let second_phase = platform
        .indexes
        .iter()
        .position(|index| index.second_phase_size > 0);
    match second_phase {
        Some(at) => Err(InvalidConfig::SecondPhase(bounds.index_names[at].clone())),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
