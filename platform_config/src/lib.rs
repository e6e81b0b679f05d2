//! Reads the settings that come with a router's start, for every front. Keys that it does not know are skipped.

use serde_json::Value;
use ternpick::types::{
    IndexConfig, LoadMetric, LoadReporting, Micros, PlatformConfig, RetrySemantics, ZoneNo,
};

/// What is wrong with the settings, in plain words.
pub type PlatformConfigError = String;

/// What a front itself keeps to: names as peers word them, and the limits of its lookups and connections.
/// A `None` is a limit that is not set.
#[derive(Clone, Debug, Default)]
pub struct Bounds {
    pub index_names: Vec<String>,
    pub zone_names: Vec<String>,
    /// In the order of the quotas.
    pub customer_names: Vec<String>,
    /// The figures of a load report, in the module's order.
    pub columns: Vec<String>,
    pub shards: Option<u32>,
    /// Lookups and parts held at a time.
    pub most_held: Option<usize>,
    pub parts_a_call: usize,
    pub parts_a_connection: usize,
    pub dial_timeout: Option<Micros>,
    pub idle_close: Option<Micros>,
    /// The longest that any client waits for an answer.
    pub longest_deadline: Option<Micros>,
    /// How long a router may go without asking for the roster.
    pub ask_within: Option<Micros>,
}

fn num(from: &Value, key: &str) -> Option<f64> {
    from[key].as_f64()
}

fn time(from: &Value, key: &str) -> Option<Micros> {
    num(from, key).map(|micros| Micros(micros.max(0.0) as u64))
}

fn flag(from: &Value, key: &str) -> bool {
    from[key].as_bool().unwrap_or(false)
}

fn rows<'a>(from: &'a Value, key: &str) -> &'a [Value] {
    from[key].as_array().map_or(&[], Vec::as_slice)
}

fn texts(from: &[Value], of: impl Fn(&Value) -> &Value) -> Vec<String> {
    from.iter()
        .map(|row| of(row).as_str().unwrap_or_default().to_owned())
        .collect()
}

/// Reads settings as they come on a wire, as text.
pub fn parse(text: &[u8]) -> Result<Value, PlatformConfigError> {
    serde_json::from_slice(text).map_err(|e| format!("settings that are not JSON: {e}"))
}

pub fn bounds(all: &Value) -> Bounds {
    let (limits, extra) = (&all["ceilings"], &all["extra"]);
    let count = |from: &Value, key: &str| num(from, key).filter(|n| *n >= 1.0).map(|n| n as usize);
    Bounds {
        index_names: texts(rows(all, "classes"), |row| &row["name"]),
        zone_names: texts(rows(all, "areas"), |name| name),
        customer_names: texts(rows(all, "projects"), |row| &row["name"]),
        columns: texts(rows(&all["report"], "columns"), |name| name),
        shards: num(extra, "shards").map(|n| n as u32),
        most_held: count(limits, "mostHeld"),
        parts_a_call: count(extra, "bundleMax").unwrap_or(1),
        parts_a_connection: count(limits, "streamsPerConn").unwrap_or(1),
        dial_timeout: time(limits, "dialTimeout"),
        idle_close: time(limits, "idleClose"),
        longest_deadline: rows(all, "classes")
            .iter()
            .filter_map(|row| time(row, "deadline"))
            .max(),
        ask_within: time(&all["rules"], "askWithin"),
    }
}

pub fn tariff(all: &Value) -> Result<PlatformConfig, PlatformConfigError> {
    if !all.is_object() {
        return Err("settings that are not a JSON object".into());
    }
    check(all)?;
    let (limits, rules, extra) = (&all["ceilings"], &all["rules"], &all["extra"]);
    let indexes = rows(all, "classes")
        .iter()
        .enumerate()
        .map(|(at, row)| index(at, row, extra))
        .collect();
    Ok(PlatformConfig {
        indexes,
        quotas: rows(all, "projects")
            .iter()
            .map(|row| num(row, "quotaPerS").unwrap_or(f64::INFINITY))
            .collect(),
        over_quota_weight: num(all, "overShareWorth").unwrap_or(1.0),
        router_count: num(all, "balancers").unwrap_or(1.0).max(1.0),
        zone: ZoneNo(num(all, "zone").unwrap_or(0.0) as u16),
        cross_zone_cost: num(&all["charges"], "crossZone").unwrap_or(0.0),
        wasted_work_cost: num(&all["charges"], "lateFail")
            .zip(num(&all["charges"], "waste"))
            .map(|(late, waste)| late + waste),
        shard_group_count: num(extra, "positions").map_or(1, |n| n as u32).max(1),
        groups_per_shard: num(extra, "reach").map_or(1, |n| n as u32),
        attempt_cost: time(extra, "callCost").unwrap_or_default(),
        load_metrics: rows(&all["report"], "columns").iter().map(gauge).collect(),
        load_reporting: match all["report"]["via"].as_str() {
            Some("inline") => LoadReporting::InAnswers,
            Some("on_probe") => LoadReporting::OnProbe,
            _ => LoadReporting::Off,
        },
        health_checks: flag(limits, "probing"),
        discovery_is_polled: all["discovery"] == "on_request",
        max_attempts: num(limits, "attemptsCap").map(|n| n as usize),
        hedging: flag(limits, "secondCopies"),
        cancellation: flag(limits, "cancel"),
        max_retry_after: flag(limits, "retryAfter")
            .then(|| time(limits, "maxRetryAfter").unwrap_or_default()),
        connect_timeout: time(limits, "dialTimeout").unwrap_or_default(),
        tick: time(all, "tick").unwrap_or_default(),
        slow_start_initial_share: num(rules, "coldFrom").unwrap_or(1.0),
        slow_start_duration: time(rules, "warmWithin").unwrap_or_default(),
        overload_multiple: num(rules, "fallMultiple").unwrap_or(f64::INFINITY),
        overload_window: time(rules, "fall").unwrap_or_default(),
        retry_budget_min: num(rules, "spareAttempts").unwrap_or(0.0),
        retry_budget_ratio: num(rules, "extraRatio").unwrap_or(0.0),
        retry_budget_window: time(rules, "countedOver"),
    })
}

/// A figure that the decisions rest on is absent or a number in its range; what else it may be is a mistake.
fn check(all: &Value) -> Result<(), PlatformConfigError> {
    let share = |at: &str, value: &Value| figure(at, value, 1.0);
    let some = |at: &str, value: &Value| figure(at, value, f64::MAX);
    for (at, row) in rows(all, "classes").iter().enumerate() {
        for key in ["worth", "onTime", "deadline", "window"] {
            some(&format!("classes[{at}].{key}"), &row[key])?;
        }
    }
    for key in ["minShare", "classNeed", "secondStep"] {
        for (at, value) in rows(&all["extra"], key).iter().enumerate() {
            let at = format!("extra.{key}[{at}]");
            if key == "secondStep" {
                some(&at, value)?
            } else {
                share(&at, value)?
            }
        }
    }
    for key in ["lateFail", "waste", "crossZone"] {
        some(&format!("charges.{key}"), &all["charges"][key])?;
    }
    for key in [
        "spareAttempts",
        "extraRatio",
        "countedOver",
        "fall",
        "fallMultiple",
        "warmWithin",
    ] {
        some(&format!("rules.{key}"), &all["rules"][key])?;
    }
    share("rules.coldFrom", &all["rules"]["coldFrom"])
}

fn figure(at: &str, value: &Value, most: f64) -> Result<(), PlatformConfigError> {
    let within = value.as_f64().is_some_and(|n| (0.0..=most).contains(&n));
    let upper = if most == 1.0 {
        "from 0 to 1"
    } else {
        "of 0 or more"
    };
    let good = value.is_null() || within;
    good.then_some(())
        .ok_or_else(|| format!("settings: {at} is {value}, wanted a number {upper}"))
}

fn index(at: usize, row: &Value, extra: &Value) -> IndexConfig {
    let of_extra = |key: &str| extra[key].get(at).and_then(Value::as_f64);
    let need = of_extra("classNeed").unwrap_or(1.0);
    IndexConfig {
        latency_objective: time(row, "onTime")
            .or(time(row, "deadline"))
            .unwrap_or(Micros(u64::MAX)),
        priority_weight: num(row, "worth").unwrap_or(1.0),
        retry_semantics: match row["semantics"].as_str() {
            Some("idempotent") => RetrySemantics::Idempotent,
            Some("deduplicated") => {
                RetrySemantics::Fingerprinted(time(row, "window").unwrap_or_default())
            }
            // What is not said to bear a repeat is never repeated.
            _ => RetrySemantics::OnceOnly,
        },
        required_weight: need,
        min_weight: of_extra("minShare").unwrap_or(need),
        has_queries: false,
        second_phase_size: of_extra("secondStep").map_or(0, |n| n as usize),
        ..IndexConfig::default()
    }
}

fn gauge(name: &Value) -> LoadMetric {
    match name.as_str() {
        Some("mean_ms") => LoadMetric::LatencyMs,
        Some("depth") => LoadMetric::Queue,
        Some("tps") => LoadMetric::Rate,
        _ => LoadMetric::Unread,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;
    use test_case::test_case;

    #[test_case(json!({"classes": [{"worth": "much"}]}), "classes[0].worth is \"much\""; "a text")]
    #[test_case(json!({"extra": {"classNeed": [1, 1.5]}}), "extra.classNeed[1] is 1.5"; "more than a whole")]
    #[test_case(json!({"extra": {"minShare": [0.6, -1]}}), "extra.minShare[1] is -1"; "less than none")]
    #[test_case(json!({"charges": {"waste": -0.1}}), "charges.waste is -0.1"; "a price below nothing")]
    #[test_case(json!({"rules": {"extraRatio": []}}), "rules.extraRatio is []"; "a list")]
    fn a_wrong_setting_is_named_with_its_value(all: Value, named: &str) {
        let error = tariff(&all).expect_err("a mistake");
        assert!(error.contains(named), "{error}");
    }
}
