//! The configuration file that a router is started with.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::Value;
use ternpick::types::Tariff;
use ternpick_tariff::Bounds;

/// Descriptors and memory, where the configuration does not say.
const SOCKETS: usize = 1024;

pub struct Opening {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: String,
    pub seed: u64,
    pub sockets: usize,
    /// The nodes as this router last had the list, in discovery's form.
    pub known: Value,
    pub tariff: Tariff,
    pub bounds: Bounds,
}

/// Reads the file; what is wrong with it comes back as one plain line.
pub fn read(path: &Path) -> Result<Opening, String> {
    let text = std::fs::read(path).map_err(|e| format!("cannot read {}: {e}", path.display()))?;
    parse(&text).map_err(|what| format!("{}: {what}", path.display()))
}

pub fn parse(text: &[u8]) -> Result<Opening, String> {
    let all: Value = serde_json::from_slice(text).map_err(|e| format!("not JSON: {e}"))?;
    let word = |key: &str| all[key].as_str().ok_or_else(|| format!("'{key}' is missing"));
    let address = |key: &str| -> Result<SocketAddr, String> {
        word(key)?.parse().map_err(|_| format!("'{key}' is not an address and port"))
    };
    let seed = u64::from_str_radix(word("seed")?, 16).map_err(|_| "'seed' is not a hexadecimal number")?;
    let settings = &all["settings"];
    let tariff = ternpick_tariff::tariff(settings).map_err(|what| format!("'settings': {what}"))?;
    let bounds = ternpick_tariff::bounds(settings);
    if tariff.indexes.is_empty() || bounds.index_names.iter().any(String::is_empty) {
        return Err("'settings': no classes, or one without a name".into());
    }
    if let Some(at) = tariff.indexes.iter().position(|row| row.second_step > 0) {
        let name = &bounds.index_names[at];
        return Err(format!(
            "'settings': class {name} has a second step, which this protocol cannot ask for"
        ));
    }
    let sockets = all["limits"]["sockets"].as_u64().map_or(SOCKETS, |n| n as usize);
    Ok(Opening {
        name: word("name")?.to_owned(),
        listen: address("listen")?,
        discovery: address("discovery")?.to_string(),
        seed,
        sockets,
        known: all["known"].clone(),
        tariff,
        bounds,
    })
}
