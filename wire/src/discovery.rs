//! Discovery's endpoint list, as its answers and a router's configuration hold it. JSON; its keys are discovery's protocol.
//!
//! Used by the router's watch of discovery. Does no I/O.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde_json::Value;
use ternpick::types::{Endpoint, EndpointState, Micros, NodeId, ShardGroupNo, ZoneNo};
use thiserror::Error;

/// The longest answer that is read, in bytes: discovery is the one peer whose answers grow with the fleet.
pub const MAX_LIST_BYTES: usize = 1024 * 1024;

/// Why an entry of the list cannot be used; the others can.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadEntry {
    /// It has no name.
    #[error("no name")]
    NoName,
    /// It has no IP address with a port.
    #[error("no address")]
    NoAddress,
    /// It has no zone.
    #[error("no zone")]
    NoZone,
    /// It has no number of a shard group.
    #[error("no group")]
    NoShardGroup,
    /// Its status is none of those known.
    #[error("no known status")]
    UnknownStatus,
}

/// The next request of a watch, which is answered with what is newer than `after`, or with nothing once `wait` has passed;
/// without a version to go on from, a request for the whole list.
pub fn watch_request(host: &str, after: Option<u64>, wait: Micros) -> Vec<u8> {
    let query = match after {
        Some(after) => format!("?after={after}&wait_ms={}", wait.0 / 1000),
        None => String::new(),
    };
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// Parses an answer.
pub fn parse(body: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(body).map_err(|e| format!("a list that is not JSON: {e}"))
}

/// The list's version, and whether it is the whole list (else only what has changed).
pub fn version(list: &Value) -> Result<(u64, bool), &'static str> {
    let version = list["index"].as_u64().ok_or("a list without its version")?;
    let full = list["snapshot"]
        .as_bool()
        .ok_or("a list that does not say whether it is whole")?;
    list["endpoints"]
        .as_array()
        .ok_or("a list without entries")?;
    Ok((version, full))
}

/// One entry: its name, where it listens, and what the decision module is to know of it but for its id.
pub fn parse_entry(
    entry: &Value,
    zones: &[String],
) -> Result<(String, SocketAddr, Endpoint), BadEntry> {
    let name = entry["name"]
        .as_str()
        .filter(|name| !name.is_empty())
        .ok_or(BadEntry::NoName)?;
    let address = entry["address"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or(BadEntry::NoAddress)?;
    let zone = entry["zone"].as_str().ok_or(BadEntry::NoZone)?;
    let group = entry["group"]
        .as_u64()
        .and_then(|group| u32::try_from(group).ok())
        .ok_or(BadEntry::NoShardGroup)?;
    let endpoint = Endpoint {
        node: NodeId(0),
        zone: zone_number(zone, zones),
        shard_group: ShardGroupNo(group),
        state: endpoint_state(&entry["status"])?,
        started_at: started_at(&entry["since_ms"]),
    };
    Ok((name.to_owned(), address, endpoint))
}

/// A zone that the settings do not name is no router's own.
fn zone_number(zone: &str, zones: &[String]) -> ZoneNo {
    let at = zones.iter().position(|known| known == zone);
    ZoneNo(at.map_or(u16::MAX, |at| at as u16))
}

fn endpoint_state(status: &Value) -> Result<EndpointState, BadEntry> {
    match status.as_str() {
        Some("Ready") => Ok(EndpointState::Ready),
        Some("Terminating") => Ok(EndpointState::Draining),
        Some("Gone") => Ok(EndpointState::Gone),
        _ => Err(BadEntry::UnknownStatus),
    }
}

/// When an endpoint started; zero if that is not known.
fn started_at(since_ms: &Value) -> Micros {
    let ms = since_ms.as_f64().unwrap_or(0.0);
    Micros((ms.max(0.0) * 1e3) as u64)
}
