//! Discovery's endpoint list, as its responses and a router's configuration contain it. The format is JSON; the keys
//! are part of discovery's protocol.
//!
//! The router's watch of discovery uses this module. It does no I/O.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;

use serde_json::Value;
use ternpick::types::{Endpoint, EndpointState, Micros, NodeId, ShardGroupNo, ZoneNo};
use thiserror::Error;

/// The longest response from discovery, in bytes. Discovery is the only peer whose responses grow with the fleet.
pub const MAX_LIST_BYTES: usize = 1024 * 1024;

/// Why an entry of the list is invalid. The other entries of the list remain valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BadEntry {
    /// The entry has no name.
    #[error("the endpoint has no name")]
    NoName,
    /// The entry has no IP address with a port.
    #[error("the endpoint's address is not an IP address and port")]
    NoAddress,
    /// The entry has no zone.
    #[error("the endpoint has no zone")]
    NoZone,
    /// The entry has no shard group number.
    #[error("the endpoint's group is not a shard group number")]
    NoShardGroup,
    /// The entry's status is missing or unknown.
    #[error("the endpoint's status is not Ready, Terminating or Gone")]
    UnknownStatus,
}

/// Encodes the next request of a watch. Discovery responds with the changes since version `after`, or without changes
/// once `wait` has passed. Without a version, the request asks for the complete list.
pub fn watch_request(host: &str, after: Option<u64>, wait: Micros) -> Vec<u8> {
    let query = match after {
        Some(version) => format!("?after={version}&wait_ms={}", wait.0 / 1000),
        None => String::new(),
    };
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// Parses the body of a response.
pub fn parse(body: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(body).map_err(|error| format!("the endpoint list is not JSON: {error}"))
}

/// The list's version, and whether the list is complete. An incomplete list contains only the changed entries.
pub fn version(list: &Value) -> Result<(u64, bool), &'static str> {
    let version = list["index"]
        .as_u64()
        .ok_or("the endpoint list has no version in 'index'")?;
    let complete = list["snapshot"]
        .as_bool()
        .ok_or("the endpoint list has no boolean 'snapshot'")?;
    list["endpoints"]
        .as_array()
        .ok_or("the endpoint list has no 'endpoints'")?;
    Ok((version, complete))
}

/// Parses one entry of the list: the endpoint's name, its address, and its description for the routing engine. The
/// caller assigns the node id of the description.
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

/// The index of a zone in the settings. A zone that the settings do not name gets a number that no router's zone has.
fn zone_number(zone: &str, zones: &[String]) -> ZoneNo {
    let index = zones.iter().position(|known| known == zone);
    ZoneNo(index.map_or(u16::MAX, |index| index as u16))
}

fn endpoint_state(status: &Value) -> Result<EndpointState, BadEntry> {
    match status.as_str() {
        Some("Ready") => Ok(EndpointState::Ready),
        Some("Terminating") => Ok(EndpointState::Draining),
        Some("Gone") => Ok(EndpointState::Gone),
        _ => Err(BadEntry::UnknownStatus),
    }
}

/// When the endpoint started; zero if the entry does not state it.
fn started_at(since_ms: &Value) -> Micros {
    let ms = since_ms.as_f64().unwrap_or(0.0);
    Micros((ms.max(0.0) * 1e3) as u64)
}
