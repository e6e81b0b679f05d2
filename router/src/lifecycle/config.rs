//! The configuration file that a router is started with.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use ternpick::types::PlatformConfig;
use ternpick_platform_config::Bounds;

/// Descriptors, where the configuration does not say.
const SOCKETS: usize = 1024;
/// Megabytes, where the configuration does not say.
const MEMORY_MB: u64 = 192;

pub struct RouterConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub sockets: usize,
    /// Bytes that the process may take up.
    pub memory: usize,
    /// The nodes as this router last had the list, in discovery's form.
    pub known: Value,
    pub tariff: PlatformConfig,
    pub bounds: Bounds,
    /// What a reload compares, in the order of [`FIXED`].
    pub fixed: [Value; FIXED.len()],
}

/// What a router says of itself and may hold: a change needs a restart. Its list of nodes and its seed are
/// for starts only, and differ with each.
pub const FIXED: [&str; 4] = ["name", "listen", "limits", "settings"];

/// Reads the file; what is wrong with it comes back as one plain line.
pub fn read(path: &Path) -> Result<RouterConfig, String> {
    let text = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    parse(&text).map_err(|what| format!("{}: {what}", path.display()))
}

pub fn parse(text: &[u8]) -> Result<RouterConfig, String> {
    let all: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let word = |key: &str| {
        all[key]
            .as_str()
            .ok_or_else(|| format!("'{key}' is missing"))
    };
    let address = |key: &str| -> Result<SocketAddr, String> {
        word(key)?
            .parse()
            .map_err(|_| format!("'{key}' is not an address and port"))
    };
    let seed =
        u64::from_str_radix(word("seed")?, 16).map_err(|_| "'seed' is not a hexadecimal number")?;
    let settings = &all["settings"];
    let tariff =
        ternpick_platform_config::tariff(settings).map_err(|what| format!("'settings': {what}"))?;
    let bounds = ternpick_platform_config::bounds(settings);
    if tariff.indexes.is_empty() || bounds.index_names.iter().any(String::is_empty) {
        return Err("'settings': no classes, or one without a name".into());
    }
    if let Some(at) = tariff
        .indexes
        .iter()
        .position(|row| row.second_phase_size > 0)
    {
        let name = &bounds.index_names[at];
        return Err(format!(
            "'settings': class {name} has a second step, which this protocol cannot ask for"
        ));
    }
    let sockets = all["limits"]["sockets"]
        .as_u64()
        .map_or(SOCKETS, |n| n as usize);
    let memory_mb = all["limits"]["memory_mb"].as_u64().unwrap_or(MEMORY_MB);
    let memory = usize::try_from(memory_mb)
        .unwrap_or(usize::MAX)
        .saturating_mul(1024 * 1024);
    Ok(RouterConfig {
        name: word("name")?.to_owned(),
        listen: address("listen")?,
        discovery: address("discovery")?,
        seed,
        sockets,
        memory,
        known: all["known"].clone(),
        tariff,
        bounds,
        fixed: FIXED.map(|name| all[name].clone()),
    })
}

#[cfg(test)]
mod tests;
