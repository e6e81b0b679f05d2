//! Reading of texts: the values of valid ones, and the problems reported of invalid ones.

use proptest::prelude::*;
use serde_json::{json, Value};
use ternpick_settings::{ReadError, Schema};
use test_case::test_case;

const SCHEMA: &str = r##"
#Level: "read" | "set"
#Role: {
	grants: [...#Grant]
	[=~"^x-"]: string
}
#Grant: {
	index: string & =~"^[a-z-]+$"
	acts: [...#Level] | *["read"]
	deny: bool | *false
}
#Root: {
	roles: [string]: #Role
	skew: duration & >=0s & <=1min | *5s
	most: size & <=1MiB | *16KiB
	share: number & >0 & <=1 | *0.5
	name?: string
	...
}
"##;

fn read(text: &str) -> Result<Value, Vec<String>> {
    let schema = Schema::new(&[("root.schema", SCHEMA)], "#Root");
    match schema.read::<Value>("f.cue", text) {
        Ok(read) => Ok(read.value),
        Err(ReadError::Invalid(report)) => Err(report.lines()),
        Err(other) => Err(vec![other.to_string()]),
    }
}

#[test]
fn reads_a_text_with_defaults_references_and_own_definitions() {
    let text = "package deploy\n#All: #Grant & {index: \"history\", acts: [\"read\", \"set\"]}\n\
                roles: crew: grants: [#All, {index: \"a-b\"}] // both\nskew: 250ms\nroles: crew: \"x-note\": \"n\"\n";
    let want = json!({
        "roles": {"crew": {"x-note": "n", "grants": [
            {"index": "history", "acts": ["read", "set"], "deny": false},
            {"index": "a-b", "acts": ["read"], "deny": false}]}},
        "skew": 250_000, "most": 16384, "share": 0.5});
    assert_eq!(read(text), Ok(want));
}

#[test_case("skew: 2min", "f.cue:1:7: expected at most 1min, found 2min"; "a duration above its bound")]
#[test_case("skew: 5", "f.cue:1:7: expected a duration such as 30s, found 5"; "without a unit")]
#[test_case("skew: 5KiB", "f.cue:1:7: expected a duration such as 30s, found 5KiB"; "a size for a duration")]
#[test_case("skew: \"5s\"", "f.cue:1:7: expected a duration such as 30s, found \"5s\""; "a text for a duration")]
#[test_case("most: 2GiB", "f.cue:1:7: expected at most 1MiB, found 2GiB"; "a size above its bound")]
#[test_case("roles: a: {grant: []}", "f.cue:1:12: #Role has no field 'grant'; did you mean 'grants'?"; "a misspelt label")]
#[test_case("roles: a: grants: [{}]", "f.cue:1:20: field 'roles.a.grants[0].index' is missing: "; "a missing field")]
#[test_case("roles: a: grants: [{index: \"A\"}]", "f.cue:1:28: expected a string that matches \"^[a-z-]+$\", found \"A\""; "a string that does not match")]
#[test_case("roles: a: grants: [{index: \"a\", acts: [\"fly\"]}]", "f.cue:1:40: expected \"read\" or \"set\", found \"fly\""; "none of the disjuncts")]
#[test_case("roles: 3", "f.cue:1:8: expected a record, found 3"; "a number for a record")]
#[test_case("roles: {}\nname: \"a\"\nname: \"b\"", "f.cue:3:7: conflicting values \"b\" and \"a\""; "two values for one field")]
#[test_case("x: y", "f.cue:1:4: reference 'y' not found"; "unknown name")]
#[test_case("x: z\nz: x", "refers to itself"; "a reference cycle")]
#[test_case("import \"net\"", "f.cue:1:8: this subset of CUE does not support imports"; "imports")]
#[test_case("x: 1 + 2", "f.cue:1:6: this subset of CUE does not support arithmetic"; "arithmetic")]
#[test_case("for k in a {}", "does not support comprehensions ('for')"; "comprehensions")]
#[test_case("x: \"a\\(b)\"", "f.cue:1:4: this subset of CUE does not support interpolations ('\\(')"; "interpolation")]
#[test_case("x: 5 @tag(a)", "f.cue:1:6: this subset of CUE does not support attributes"; "attributes")]
#[test_case("x: strings.Max(3)", "does not support function calls"; "calls")]
#[test_case("x: =~\"(\"", "\"(\" is not a valid regular expression, or is larger than"; "an invalid regular expression")]
#[test_case("x: =~\"(a{1000}){1000}\"", "is not a valid regular expression, or is larger than"; "a regular expression that is too large")]
#[test_case("x: 99999999999999999999", "f.cue:1:4: the number is out of range"; "a large number")]
#[test_case("x: [1, 2] & [1]", "conflicting list lengths 1 and 2"; "lists of different lengths")]
#[test_case("x: 1 | 2", "f.cue:1:4: field 'x' is missing: expected 1 or 2"; "a disjunction without a default")]
fn reports_a_problem_with_its_location(text: &str, expected: &str) {
    let text = if text.contains("roles") {
        text.to_owned()
    } else {
        format!("{text}\nroles: {{}}")
    };
    let lines = read(&text).expect_err("the text is invalid");
    assert!(lines[0].contains(expected), "{lines:?}");
}

#[test]
fn reports_all_syntax_errors_and_invalid_values_at_once() {
    let text = "roles: {}\nx: 1 + 2\ny: {\n  a: ]\n}\nskew: 3h\nmost: true\n";
    let lines = read(text).expect_err("the text is invalid");
    let locations: Vec<&str> = lines
        .iter()
        .map(|line| line.split(": ").next().unwrap_or_default())
        .collect();
    assert_eq!(
        locations,
        ["f.cue:2:6", "f.cue:4:6", "f.cue:6:7", "f.cue:7:7"],
        "{lines:?}"
    );
}

#[test]
fn a_report_marks_the_span_and_names_the_definition() {
    let schema = Schema::new(&[("root.schema", SCHEMA)], "#Root");
    let refused = schema
        .read::<Value>("f.cue", "roles: {}\nskew: 2min")
        .expect_err("the text is invalid");
    let report = refused.to_string();
    for part in [
        "f.cue:2:7",
        "skew: 2min",
        "^^^^ here",
        "root.schema:14:",
        "required by #Root",
    ] {
        assert!(report.contains(part), "{part} in {report}");
    }
}

#[test]
fn lists_each_used_value_with_its_origin() {
    let schema = Schema::new(&[("root.schema", SCHEMA)], "#Root");
    let read = schema
        .read::<Value>("f.cue", "roles: {}\n\nskew: 1500ms\nshare: 0.5")
        .expect("the text is valid");
    let lines: Vec<String> = read.used.iter().map(ToString::to_string).collect();
    assert_eq!(
        lines,
        [
            "skew = 1500ms  (f.cue:3)",
            "most = 16KiB  (default)",
            "share = 0.5  (f.cue:4)"
        ]
    );
}

#[test_case("[".repeat(100_000); "brackets")]
#[test_case("a: ".repeat(100_000); "names")]
#[test_case(format!("x: {}", "{a: ".repeat(40_000)); "records")]
#[test_case("\"".repeat(99_999); "quotes")]
#[test_case("x: 1 |".repeat(50_000); "disjuncts")]
#[test_case((0..200).map(|n| format!("#a{n}: {{x: #a{m}, y: #a{m}}}\n", m = n + 1)).collect::<String>() + "z: #a0 & #a0"; "definitions that double at each level")]
#[test_case((0..30).map(|n| format!("#a{n}: [#a{m}, #a{m}]\n", m = n + 1)).collect::<String>() + "#a30: 1\nz: #a0\n"; "lists that double at each level")]
#[test_case(format!("x: {}", (0..400).map(|n| format!("({n}|*{n}|string)")).collect::<Vec<_>>().join(" & ")); "a product of disjunctions")]
#[test_case("x".repeat(5 << 20); "longer than the maximum")]
fn ends_within_20_s_and_without_a_crash_on_any_text(text: String) {
    let began = std::time::Instant::now();
    let _ = read(&format!("roles: {{}}\n{text}"));
    assert!(began.elapsed().as_secs() < 20, "{:?}", began.elapsed());
}

/// Texts of small records of numbers, bounds and disjunctions.
fn record() -> impl Strategy<Value = String> {
    let value = prop_oneof![
        Just("int".to_owned()),
        Just("string".to_owned()),
        (0..4i64).prop_map(|n| n.to_string()),
        (0..4i64).prop_map(|n| format!(">={n}")),
        (0..4i64).prop_map(|n| format!("<={n}")),
        (0..4i64).prop_map(|n| format!("*{n} | int")),
        (0..3i64).prop_map(|n| format!("{n} | {}", n + 1)),
        Just("{p: 1}".to_owned()),
        Just("{q: int | *2}".to_owned()),
    ];
    let field = ("[abc]", value).prop_map(|(name, value)| format!("{name}: {value}"));
    proptest::collection::vec(field, 0..4).prop_map(|fields| format!("{{{}}}", fields.join(", ")))
}

// Found by the property test below: with two defaults that exclude each other the last one became the default, in one
// of three orders.
#[test_case("*0 | int", "*3 | int", ">=1", None; "two defaults and a bound")]
#[test_case("*0 | int", ">=1", "5", Some(5); "a value given after a default that violates a bound")]
#[test_case("*0 | 1", ">=1", "int", Some(1); "the only remaining disjunct")]
fn unification_of_defaults_does_not_depend_on_order(
    x: &str,
    y: &str,
    z: &str,
    wanted: Option<i64>,
) {
    for [a, b, c] in [
        [x, y, z],
        [z, x, y],
        [y, z, x],
        [x, z, y],
        [z, y, x],
        [y, x, z],
    ] {
        let read = read(&format!(
            "roles: {{}}\nv: {{b: {a}}} & {{b: {b}}} & {{b: {c}}}"
        ));
        assert_eq!(
            read.ok().and_then(|all| all["v"]["b"].as_i64()),
            wanted,
            "{a} & {b} & {c}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn unification_of_records_does_not_depend_on_order(x in record(), y in record(), z in record()) {
        let join = |parts: [&str; 3]| read(&format!("roles: {{}}\nv: {}", parts.join(" & "))).map_err(|_| ());
        let first = join([&x, &y, &z]);
        prop_assert_eq!(&first, &join([&z, &x, &y]));
        prop_assert_eq!(&first, &join([&y, &z, &x]));
        let twice = read(&format!("roles: {{}}\nv: {x} & {y} & {z} & {x}")).map_err(|_| ());
        prop_assert_eq!(&first, &twice);
    }

    #[test]
    fn reads_or_rejects_any_text_without_a_panic(text in "[a-c#:{}\\[\\]|&*\"=~<>0-9. \n,?@+s()\\\\]{0,60}") {
        let _ = read(&text);
    }

    #[test]
    fn reads_or_rejects_a_truncated_text_without_a_panic(length in 0..SCHEMA.len()) {
        let _ = read(&SCHEMA[..length]);
    }
}
