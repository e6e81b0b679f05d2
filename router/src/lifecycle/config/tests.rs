use super::*;
use test_case::test_case;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
    "limits":{"sockets":512,"memory_mb":32},"known":{},
    "settings":{"classes":[{"name":"a","semantics":"idempotent"}],"extra":{"secondStep":[0]}}}"#;

#[test_case("", "", ""; "a valid configuration")]
#[test_case("\"n3\"", "3", "'name' is missing or not a string"; "a name that is a number")]
#[test_case("127.0.0.1:9000", "here", "'listen' must be an address and port, found \"here\""; "an address without a port")]
#[test_case("8c1f", "seed", "'seed' must be a hexadecimal number, found \"seed\""; "a seed that is not a number")]
#[test_case("{\"name\":\"a\",\"semantics\":\"idempotent\"}", "", "'settings': there has to be at least one class, and each needs a name"; "no classes")]
#[test_case("[0]", "[3]", "'settings': class a has a second step, which the router's protocol does not support"; "a second step")]
fn rejects_a_bad_configuration_with_one_line_that_names_the_key(
    from: &str,
    to: &str,
    expected: &str,
) {
    let read = parse(GOOD.replacen(from, to, 1).as_bytes());
    let error = read.err().map(|error| error.to_string());
    assert_eq!(error.unwrap_or_default(), expected);
}

#[test]
fn reads_a_valid_configuration_and_rejects_text_that_is_not_json() {
    let read = parse(GOOD.as_bytes()).expect("a good configuration");
    assert_eq!(read.seed, 0x8c1f);
    assert_eq!(read.descriptor_limit, 512);
    assert_eq!(read.memory_bytes >> 20, 32);
    assert!(parse(b"not json").is_err_and(|error| error.to_string().starts_with("not JSON")));
}
