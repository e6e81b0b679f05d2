use super::*;
use test_case::test_case;

const TEXT: &str = r#"{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
    "limits":{"sockets":512},"known":{},"settings":{"classes":[{"name":"a","semantics":"idempotent"}]}}"#;

#[test_case("8500", "8501", &[]; "discovery")]
#[test_case("8c1f", "8c20", &[]; "the seed")]
#[test_case("512", "256", &["limits"]; "limits")]
#[test_case("9000", "9001", &["listen"]; "the address")]
#[test_case("idempotent", "deduplicated", &["settings"]; "settings")]
fn lists_the_changed_fields_that_need_a_restart(from: &str, to: &str, names: &[&str]) {
    let parse_config = |text: &str| config::parse(text.as_bytes()).expect("a valid configuration");
    let files = StartupFiles {
        config: "x".into(),
        settings: None,
        fixed: parse_config(TEXT).fixed,
    };
    assert_eq!(
        files.changed(&parse_config(&TEXT.replacen(from, to, 1))),
        names
    );
}
