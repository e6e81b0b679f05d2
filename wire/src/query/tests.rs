//! Tests of what a client's body may hold.

use super::*;
use test_case::test_case;

#[test_case(r#"{"tablets":[{"tablet":3,"fraction":0.5,"guess":9000},{"tablet":1,"fraction":0.5}]}"#, Some(2); "good")]
#[test_case(r#"{"tablets":[]}"#, None; "no parts")]
#[test_case(r#"[]"#, None; "not an object")]
#[test_case(r#"{"tablets":[{"tablet":3,"fraction":0.5},{"tablet":3,"fraction":0.5}]}"#, None; "doubled")]
#[test_case(r#"{"tablets":[{"tablet":8,"fraction":1}]}"#, None; "beyond the shards")]
#[test_case(r#"{"tablets":[{"tablet":-1,"fraction":1}]}"#, None; "below the shards")]
#[test_case(r#"{"tablets":[{"tablet":1.5,"fraction":1}]}"#, None; "between shards")]
#[test_case(r#"{"tablets":[{"tablet":1}]}"#, None; "no fraction")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":"1"}]}"#, None; "a fraction that is no number")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.3333},{"tablet":2,"fraction":0.3333},{"tablet":3,"fraction":0.3333}]}"#, Some(3); "rounded")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.5},{"tablet":2,"fraction":0.4}]}"#, None; "less than the whole")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":0.8},{"tablet":2,"fraction":0.8}]}"#, None; "more than the whole")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":-0.5}]}"#, None; "a negative fraction")]
#[test_case(r#"{"tablets":[{"tablet":1,"fraction":1e300}]}"#, None; "more than all")]
fn reads_shards(body: &str, count: Option<usize>) {
    let fields = parse(body.as_bytes()).expect("JSON");
    assert_eq!(
        shards(&fields, Some(8)).ok().map(|shards| shards.len()),
        count
    );
}

#[test_case(r#"9000"#, Some(Micros(9000)); "a guess")]
#[test_case(r#"null"#, None; "nothing")]
#[test_case(r#"-4"#, None; "below nothing")]
#[test_case(r#""9""#, None; "not a number")]
fn reads_work_hints(guess: &str, hint: Option<Micros>) {
    let body = format!(r#"{{"tablets":[{{"tablet":0,"fraction":1,"guess":{guess}}}]}}"#);
    let fields = ShardFields {
        shard: ShardNo(0),
        weight: 1.0,
        work_hint: hint,
    };
    assert_eq!(
        shards(&parse(body.as_bytes()).expect("JSON"), None),
        Ok(vec![fields])
    );
}

#[test]
fn answers_with_values_as_they_came() {
    let text = encode_response_body(false, [(ShardNo(3), "5b\"e2")].into_iter());
    assert_eq!(
        parse(text.as_bytes()),
        Ok(json!({"full": false, "pieces": [{"tablet": 3, "cell": "5b\"e2"}]}))
    );
}
