//! Settings that cannot be used are rejected with an error that says which and why.

use serde_json::{json, Value};
use ternpick_platform_config::{parse, platform_config};
use test_case::test_case;

#[test_case(json!({"classes": [{"worth": "much"}]}), "classes[0].worth is \"much\""; "string instead of a number")]
#[test_case(json!({"extra": {"classNeed": [1, 1.5]}}), "extra.classNeed[1] is 1.5"; "share above 1")]
#[test_case(json!({"extra": {"minShare": [0.6, -1]}}), "extra.minShare[1] is -1"; "share below 0")]
#[test_case(json!({"charges": {"waste": -0.1}}), "charges.waste is -0.1"; "negative charge")]
#[test_case(json!({"rules": {"extraRatio": []}}), "rules.extraRatio is []"; "list instead of a number")]
fn rejects_a_wrong_setting_with_its_path_and_value(settings: Value, expected: &str) {
    let error = platform_config(&settings)
        .expect_err("the settings were accepted")
        .to_string();
    assert!(
        error.contains(expected),
        "expected {expected:?} in {error:?}"
    );
}

#[test]
fn rejects_settings_that_are_not_a_json_object() {
    let error = parse(b"{")
        .expect_err("invalid JSON was accepted")
        .to_string();
    assert!(
        error.starts_with("settings are not valid JSON: "),
        "{error}"
    );
    let error = platform_config(&json!([]))
        .expect_err("a JSON list was accepted")
        .to_string();
    assert_eq!(error, "settings are not a JSON object");
}
