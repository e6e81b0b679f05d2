use super::*;
use test_case::test_case;

const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
    "limits":{"sockets":512,"memory_mb":32},"known":{},
    "settings":{"classes":[{"name":"a","semantics":"idempotent"}],"extra":{"secondStep":[0]}}}"#;

#[test_case("", "", ""; "good")]
#[test_case("\"n3\"", "3", "'name' is missing"; "no name")]
#[test_case("127.0.0.1:9000", "here", "'listen' is not an address and port"; "no address")]
#[test_case("8c1f", "seed", "'seed' is not a hexadecimal number"; "no seed")]
#[test_case("{\"name\":\"a\",\"semantics\":\"idempotent\"}", "", "'settings': no classes, or one without a name"; "no classes")]
#[test_case("[0]", "[3]", "'settings': class a has a second step, which this protocol cannot ask for"; "a second step")]
fn rejects_a_bad_configuration_with_one_line_that_names_the_key(from: &str, to: &str, wrong: &str) {
    let read = parse(GOOD.replacen(from, to, 1).as_bytes());
    let error = read.err().map(|error| error.to_string());
    assert_eq!(error.unwrap_or_default(), wrong);
}

#[test]
fn reads_a_valid_configuration_and_rejects_text_that_is_not_json() {
    let read = parse(GOOD.as_bytes()).expect("a good configuration");
    assert_eq!(read.seed, 0x8c1f);
    assert_eq!(read.descriptor_limit, 512);
    assert_eq!(read.memory_bytes >> 20, 32);
    assert!(parse(b"not json").is_err_and(|error| error.to_string().starts_with("not JSON")));
}
