//! Tests of parsing queries and encoding responses.

use super::*;
use test_case::test_case;

#[test_case(r#"{"tablets":[{"tablet":3,"fraction":0.5,"guess":9000},{"tablet":1,"fraction":0.5}]}"#, Some(2); "valid")]
#[test_case(r#"{"tablets":[]}"#, None; "no shards")]
#[test_case(r#"[]"#, None; "not an object")]
#[test_case(r#"{"tablets":[{"tablet":3,"fraction":0.5},{"tablet":3,"fraction":0.5}]}"#, None; "a repeated shard")]
#[test_case(r#"{"tablets":[{"tablet":8,"fraction":1}]}"#, None; "a shard number beyond the shard count")]
#[test_case(r#"{"tablets":[{"tablet":-1,"fraction":1}]}"#, None; "a negative shard number")]
#[test_case(r#"{"tablets":[{"tablet":1.5,"fraction":1}]}"#, None; "a fractional shard number")]
#[test_case(r#"{"tablets":[{"tablet":1}]}"#, None; "no weight")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":"1"}]}"#, None; "a weight that is not a number")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.3333},{"tablet":2,"fraction":0.3333},{"tablet":3,"fraction":0.3333}]}"#, Some(3); "rounded weights")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.5},{"tablet":2,"fraction":0.4}]}"#, None; "weights with a sum below 1")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.8},{"tablet":2,"fraction":0.8}]}"#, None; "weights with a sum above 1")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":-0.5}]}"#, None; "a negative weight")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":1e300}]}"#, None; "a weight above 1")]
fn parses_shards(body: &str, expected_count: Option<usize>) {
    let fields = parse(body.as_bytes()).expect("JSON");
    assert_eq!(
        shards(&fields, Some(8)).ok().map(|shards| shards.len()),
        expected_count
    );
}

#[test_case(r#"9000"#, Some(Micros(9000)); "a positive number")]
#[test_case(r#"null"#, None; "null")]
#[test_case(r#"-4"#, None; "a negative number")]
#[test_case(r#""9""#, None; "not a number")]
fn parses_work_hints(guess: &str, expected: Option<Micros>) {
    let body = format!(r#"{{"tablets":[{{"tablet":0,"fraction":1,"guess":{guess}}}]}}"#);
    let fields = ShardFields {
        shard: ShardNo(0),
        weight: 1.0,
        work_hint: expected,
    };
    assert_eq!(
        shards(&parse(body.as_bytes()).expect("JSON"), None),
        Ok(vec![fields])
    );
}

#[test]
fn encodes_values_in_a_response_unchanged() {
    let text = encode_response_body(false, [(ShardNo(3), "5b\"e2")].into_iter());
    assert_eq!(
        parse(text.as_bytes()),
        Ok(json!({"full": false, "pieces": [{"tablet": 3, "cell": "5b\"e2"}]}))
    );
}

#[test_case(&[]; "no shards")]
#[test_case(&[""]; "empty")]
#[test_case(&["5be2a07c", "12"]; "plain")]
#[test_case(&["\u{1}\u{7f}\"\\\n\r\t\u{8}", "\u{e9}\u{1f980}"]; "escaped and longer than a byte")]
fn the_size_of_a_response_is_that_of_its_shards_and_values(values: &[&str]) {
    let sizes: usize = values.iter().map(|value| encoded_value_bytes(value)).sum();
    for first_shard in [0, 9, 99, 1_000] {
        let pieces = || (first_shard..).map(ShardNo).zip(values.iter().copied());
        let text = encode_response_body(false, pieces());
        let shards = pieces().map(|(shard, _)| shard);
        assert_eq!(empty_response_bytes(shards) + sizes, text.len());
    }
}
