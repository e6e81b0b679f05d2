use super::*;
use test_case::test_case;

const TEXT: &str = r#"{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
    "limits":{"sockets":512},"known":{},"settings":{"classes":[{"name":"a","semantics":"idempotent"}]}}"#;

#[test_case("8500", "8501", &[]; "discovery")]
#[test_case("8c1f", "8c20", &[]; "the seed")]
#[test_case("512", "256", &["limits"]; "limits")]
#[test_case("9000", "9001", &["listen"]; "the address")]
#[test_case("idempotent", "deduplicated", &["settings"]; "settings")]
fn tells_what_needs_a_restart(from: &str, to: &str, names: &[&str]) {
    let opening = |text: &str| config::parse(text.as_bytes()).expect("a good configuration");
    let source = Source {
        path: "x".into(),
        settings: None,
        fixed: opening(TEXT).fixed,
    };
    assert_eq!(source.changed(&opening(&TEXT.replacen(from, to, 1))), names);
}
