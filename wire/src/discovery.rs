//! Discovery's list of nodes, as its answers and a router's configuration hold it.

use std::net::SocketAddr;

use serde_json::Value;
use ternpick::types::{Endpoint, EndpointState, Micros, NodeId, ShardGroupNo, ZoneNo};

/// The longest answer that is read: discovery is the one peer whose answers grow with the fleet.
pub const LIST_BOUND: usize = 1024 * 1024;

/// The head of the next call of a watch: what is newer than `after`, or nothing once `wait` has passed; of a
/// call for the whole list, if there is no version to go on from.
pub fn call(host: &str, after: Option<u64>, wait: Micros) -> Vec<u8> {
    let wait_ms = wait.0 / 1000;
    let query = after
        .map(|after| format!("?after={after}&wait_ms={wait_ms}"))
        .unwrap_or_default();
    format!("GET /catalog/members{query} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

pub fn parse(body: &[u8]) -> Result<Value, String> {
    serde_json::from_slice(body).map_err(|e| format!("a list that is not JSON: {e}"))
}

/// The list's version, and whether it is the whole list.
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

/// One entry: its name, where it listens, and what the module is to know of it but for its id.
pub fn entry(of: &Value, zones: &[String]) -> Result<(String, SocketAddr, Endpoint), &'static str> {
    let name = of["name"]
        .as_str()
        .filter(|name| !name.is_empty())
        .ok_or("no name")?;
    let address = of["address"]
        .as_str()
        .and_then(|text| text.parse().ok())
        .ok_or("no address")?;
    let zone = of["zone"].as_str().ok_or("no zone")?;
    // A zone that the settings do not name is nobody's own.
    let zone = zones
        .iter()
        .position(|known| known == zone)
        .map_or(u16::MAX, |at| at as u16);
    let cell = of["group"]
        .as_u64()
        .and_then(|cell| u32::try_from(cell).ok())
        .ok_or("no group")?;
    let phase = match of["status"].as_str() {
        Some("Ready") => EndpointState::Ready,
        Some("Terminating") => EndpointState::Draining,
        Some("Gone") => EndpointState::Gone,
        _ => return Err("no known status"),
    };
    let started = Micros(
        of["since_ms"]
            .as_f64()
            .map_or(0, |ms| (ms.max(0.0) * 1e3) as u64),
    );
    let listing = Endpoint {
        node: NodeId(0),
        zone: ZoneNo(zone),
        shard_group: ShardGroupNo(cell),
        state: phase,
        started_at: started,
    };
    Ok((name.to_owned(), address, listing))
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const GOOD: &str = r#"{"name":"s-1","address":"127.0.0.1:9000","zone":"b","group":3,"status":"Terminating","since_ms":1500}"#;

    #[test_case("", "", Some((1, EndpointState::Draining)); "as it stands")]
    #[test_case("\"b\"", "\"far\"", Some((u16::MAX, EndpointState::Draining)); "a zone of nobody's")]
    #[test_case("Terminating", "Ready", Some((1, EndpointState::Ready)); "ready")]
    #[test_case("Terminating", "Gone", Some((1, EndpointState::Gone)); "gone")]
    #[test_case("Terminating", "Asleep", None; "an unknown status")]
    #[test_case("127.0.0.1:9000", "nowhere", None; "no address")]
    #[test_case("s-1", "", None; "no name")]
    #[test_case("\"group\":3", "\"group\":-3", None; "no group")]
    fn reads_entries(from: &str, to: &str, read: Option<(u16, EndpointState)>) {
        let of = parse(GOOD.replacen(from, to, 1).as_bytes()).expect("JSON");
        let entry = entry(&of, &["a".to_owned(), "b".to_owned()]).ok();
        assert_eq!(
            entry
                .as_ref()
                .map(|(_, _, listing)| (listing.zone.0, listing.state)),
            read
        );
        assert!(entry.is_none_or(|(_, _, listing)| listing.started_at == Micros(1_500_000)));
    }

    #[test_case(r#"{"index":4,"snapshot":true,"endpoints":[]}"#, Some((4, true)); "good")]
    #[test_case(r#"{"snapshot":true,"endpoints":[]}"#, None; "no version")]
    #[test_case(r#"{"index":4,"endpoints":[]}"#, None; "whole or not is not said")]
    #[test_case(r#"{"index":4,"snapshot":true}"#, None; "no entries")]
    #[test_case("7", None; "not an object")]
    fn reads_versions(text: &str, read: Option<(u64, bool)>) {
        assert_eq!(version(&parse(text.as_bytes()).expect("JSON")).ok(), read);
    }
}
