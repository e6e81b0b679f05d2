//! Discovery's list of nodes, as its answers and a router's configuration hold it.

use std::net::SocketAddr;

use serde_json::Value;
use ternpick::types::{CellNo, Listing, Micros, NodeId, Phase, ZoneNo};

/// The longest answer that is read: discovery is the one peer whose answers grow with the fleet.
pub const LIST_BOUND: usize = 1024 * 1024;

/// The head of the next call of a watch: what is newer than `after`, or nothing once `wait` has passed.
pub fn watch(host: &str, after: u64, wait: Micros) -> Vec<u8> {
    let wait_ms = wait.0 / 1000;
    format!("GET /catalog/members?after={after}&wait_ms={wait_ms} HTTP/1.1\r\nHost: {host}\r\n\r\n")
        .into_bytes()
}

pub fn parse(body: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(body).map_err(|e| format!("a list that is not JSON: {e}"))
}

/// The list's version, and whether it is the whole list.
pub fn version(list: &Value) -> Result<(u64, bool), &'static str> {
    let version = list["index"].as_u64().ok_or("a list without its version")?;
    let full = list["snapshot"].as_bool().ok_or("a list that does not say whether it is whole")?;
    list["endpoints"].as_array().ok_or("a list without entries")?;
    Ok((version, full))
}

/// One entry: its name, where it listens, and what the module is to know of it but for its id.
pub fn entry(of: &Value, zones: &[String]) -> Result<(String, SocketAddr, Listing), &'static str> {
    let name = of["name"].as_str().filter(|name| !name.is_empty()).ok_or("no name")?;
    let address = of["address"].as_str().and_then(|text| text.parse().ok()).ok_or("no address")?;
    let zone = of["zone"].as_str().ok_or("no zone")?;
    // A zone that the settings do not name is nobody's own.
    let zone = zones.iter().position(|known| known == zone).map_or(u16::MAX, |at| at as u16);
    let cell = of["group"].as_u64().and_then(|cell| u32::try_from(cell).ok()).ok_or("no group")?;
    let phase = match of["status"].as_str() {
        Some("Ready") => Phase::Ready,
        Some("Terminating") => Phase::Draining,
        Some("Gone") => Phase::Gone,
        _ => return Err("no known status"),
    };
    let started = Micros(of["since_ms"].as_f64().map_or(0, |ms| (ms.max(0.0) * 1e3) as u64));
    let listing = Listing { node: NodeId(0), zone: ZoneNo(zone), cell: CellNo(cell), phase, started };
    Ok((name.to_owned(), address, listing))
}
