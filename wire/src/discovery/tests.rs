//! Tests of parsing the endpoint list's entries and versions.

use super::*;
use test_case::test_case;

const GOOD: &str = r#"{"name":"s-1","address":"127.0.0.1:9000","zone":"b","group":3,"status":"Terminating","since_ms":1500}"#;

#[test_case("", "", Some((1, EndpointState::Draining)); "valid")]
#[test_case("\"b\"", "\"far\"", Some((u16::MAX, EndpointState::Draining)); "an unknown zone")]
#[test_case("Terminating", "Ready", Some((1, EndpointState::Ready)); "ready")]
#[test_case("Terminating", "Gone", Some((1, EndpointState::Gone)); "gone")]
#[test_case("Terminating", "Asleep", None; "an unknown status")]
#[test_case("127.0.0.1:9000", "nowhere", None; "no address")]
#[test_case("s-1", "", None; "no name")]
#[test_case("\"group\":3", "\"group\":-3", None; "no group")]
fn parses_entries(from: &str, to: &str, expected: Option<(u16, EndpointState)>) {
    let value = parse(GOOD.replacen(from, to, 1).as_bytes()).expect("JSON");
    let entry = parse_entry(&value, &["a".to_owned(), "b".to_owned()]).ok();
    assert_eq!(
        entry
            .as_ref()
            .map(|(_, _, endpoint)| (endpoint.zone.0, endpoint.state)),
        expected
    );
    assert!(entry.is_none_or(|(_, _, endpoint)| endpoint.started_at == Micros(1_500_000)));
}

#[test_case(r#"{"index":4,"snapshot":true,"endpoints":[]}"#, Some((4, true)); "valid")]
#[test_case(r#"{"snapshot":true,"endpoints":[]}"#, None; "no version")]
#[test_case(r#"{"index":4,"endpoints":[]}"#, None; "no snapshot flag")]
#[test_case(r#"{"index":4,"snapshot":true}"#, None; "no entries")]
#[test_case("7", None; "not an object")]
fn parses_versions(text: &str, expected: Option<(u64, bool)>) {
    assert_eq!(
        version(&parse(text.as_bytes()).expect("JSON")).ok(),
        expected
    );
}
