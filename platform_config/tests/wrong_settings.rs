//! Settings that cannot be used are rejected with a reason.

use serde_json::{json, Value};
use ternpick_platform_config::{parse, platform_config};
use test_case::test_case;

#[test_case(json!({"classes": [{"worth": "much"}]}), "classes[0].worth is \"much\""; "a text")]
#[test_case(json!({"extra": {"classNeed": [1, 1.5]}}), "extra.classNeed[1] is 1.5"; "more than a whole")]
#[test_case(json!({"extra": {"minShare": [0.6, -1]}}), "extra.minShare[1] is -1"; "less than none")]
#[test_case(json!({"charges": {"waste": -0.1}}), "charges.waste is -0.1"; "a price below nothing")]
#[test_case(json!({"rules": {"extraRatio": []}}), "rules.extraRatio is []"; "a list")]
fn a_wrong_setting_is_named_with_its_value(settings: Value, named: &str) {
    let error = platform_config(&settings)
        .expect_err("a mistake")
        .to_string();
    assert!(error.contains(named), "{error}");
}

#[test]
fn settings_that_are_no_json_object_are_rejected() {
    let error = parse(b"{").expect_err("no JSON").to_string();
    assert!(error.starts_with("settings that are not JSON: "), "{error}");
    let error = platform_config(&json!([])).expect_err("a list").to_string();
    assert_eq!(error, "settings that are not a JSON object");
}
