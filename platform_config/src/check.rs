//! Checks that the settings listed here are absent, or numbers in their range. An absent setting has a default.

use serde_json::Value;

use crate::error::{PlatformConfigError, Range};
use crate::json::list;

const CHARGES: [&str; 3] = ["lateFail", "waste", "crossZone"];
const RULES: [&str; 6] = [
    "spareAttempts",
    "extraRatio",
    "countedOver",
    "fall",
    "fallMultiple",
    "warmWithin",
];

/// Returns an error for the first setting that is not a number in its range.
pub(crate) fn check(settings: &Value) -> Result<(), PlatformConfigError> {
    for (index, row) in list(settings, "classes").iter().enumerate() {
        for key in ["worth", "onTime", "deadline", "window"] {
            check_number(
                format!("classes[{index}].{key}"),
                &row[key],
                Range::NotNegative,
            )?;
        }
    }
    let extra = &settings["extra"];
    check_list(extra, "minShare", Range::Share)?;
    check_list(extra, "classNeed", Range::Share)?;
    check_list(extra, "secondStep", Range::NotNegative)?;
    for key in CHARGES {
        let value = &settings["charges"][key];
        check_number(format!("charges.{key}"), value, Range::NotNegative)?;
    }
    for key in RULES {
        let value = &settings["rules"][key];
        check_number(format!("rules.{key}"), value, Range::NotNegative)?;
    }
    check_number(
        "rules.coldFrom".into(),
        &settings["rules"]["coldFrom"],
        Range::Share,
    )
}

fn check_list(extra: &Value, key: &str, range: Range) -> Result<(), PlatformConfigError> {
    for (index, value) in list(extra, key).iter().enumerate() {
        check_number(format!("extra.{key}[{index}]"), value, range)?;
    }
    Ok(())
}

fn check_number(key: String, value: &Value, range: Range) -> Result<(), PlatformConfigError> {
    let is_in_range = value.as_f64().is_some_and(|number| range.contains(number));
    if value.is_null() || is_in_range {
        return Ok(());
    }
    Err(PlatformConfigError::OutOfRange {
        key,
        value: value.clone(),
        range,
    })
}
