//! The configuration file that a router is started with. The platform writes it.
//!
//! It is read at the start, at each reload and by `ternpick check`. The platform defines the keys; this module parses
//! and checks the values but does not apply them.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde_json::Value;
use ternpick::types::PlatformConfig;
use ternpick_platform_config::{Bounds, PlatformConfigError};

/// The number of file descriptors if the configuration has no `limits.sockets`.
const DEFAULT_DESCRIPTORS: usize = 1024;
/// The memory in MiB if the configuration has no `limits.memory_mb`.
const DEFAULT_MEMORY_MB: u64 = 192;

/// The fields whose change needs a restart. The endpoint list (`known`) and the seed also apply at a start only, but
/// are not compared: they differ at each start.
pub(crate) const FIXED_FIELDS: [&str; 4] = ["name", "listen", "limits", "settings"];

/// A valid configuration.
pub(crate) struct RouterConfig {
    /// The router's name.
    pub(crate) name: String,
    /// The address at which it accepts clients.
    pub(crate) listen: SocketAddr,
    /// The address of discovery.
    pub(crate) discovery: SocketAddr,
    /// Seeds all random choices.
    pub(crate) seed: u64,
    /// The number of file descriptors that the process may hold.
    pub(crate) descriptor_limit: usize,
    /// The memory budget of the process, in bytes.
    pub(crate) memory_bytes: usize,
    /// The last endpoint list of this router, in discovery's format; null if it had none.
    pub(crate) known_endpoints: Value,
    /// The configuration of the routing engine.
    pub(crate) platform: PlatformConfig,
    /// The limits and names that the router itself uses.
    pub(crate) bounds: Bounds,
    /// The values that a reload compares, in the order of [`FIXED_FIELDS`].
    pub(crate) fixed: [Value; FIXED_FIELDS.len()],
}

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable { path: PathBuf, source: io::Error },
    /// The content of the file is not valid.
    #[error("{}: {source}", path.display())]
    Invalid {
        path: PathBuf,
        source: InvalidConfig,
    },
}

/// Why the text of a configuration is not valid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum InvalidConfig {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    /// A key is missing or its value is not a string.
    #[error("'{0}' is missing or not a string")]
    Missing(&'static str),
    /// A value is not an address.
    #[error("'{key}' must be an address and port, found {found:?}")]
    NotAnAddress { key: &'static str, found: String },
    /// The seed is not a number.
    #[error("'seed' must be a hexadecimal number, found {0:?}")]
    Seed(String),
    /// The platform's settings are not valid.
    #[error("'settings': {0}")]
    Platform(PlatformConfigError),
    /// There is no class, or one has no name.
    #[error("'settings': there has to be at least one class, and each needs a name")]
    Classes,
    /// A class has a second phase.
    #[error(
        "'settings': class {0} has a second step, which the router's protocol does not support"
    )]
    SecondPhase(String),
}

/// For callers whose errors are strings.
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
    let seed = text_of(&all, "seed")?;
    let seed = u64::from_str_radix(seed, 16).map_err(|_| InvalidConfig::Seed(seed.to_owned()))?;
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
    text.parse().map_err(|_| InvalidConfig::NotAnAddress {
        key,
        found: text.to_owned(),
    })
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
        Some(index) => Err(InvalidConfig::SecondPhase(
            bounds.index_names[index].clone(),
        )),
        None => Ok(()),
    }
}

#[cfg(test)]
mod tests;
