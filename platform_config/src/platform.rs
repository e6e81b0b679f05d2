//! Builds the routing engine's configuration from the platform's settings.

use serde_json::Value;
use ternpick::types::{
    IndexConfig, LoadMetric, LoadReporting, Micros, PlatformConfig, RetrySemantics, ZoneNo,
};

use crate::check::check;
use crate::error::PlatformConfigError;
use crate::json::{flag, list, micros, number};

/// Reads the routing engine's configuration. Settings that are absent have a default. The error for a wrong setting
/// has its path and its value.
pub fn platform_config(settings: &Value) -> Result<PlatformConfig, PlatformConfigError> {
    if !settings.is_object() {
        return Err(PlatformConfigError::NotAnObject);
    }
    check(settings)?;
    let limits = &settings["ceilings"];
    let rules = &settings["rules"];
    let extra = &settings["extra"];
    let charges = &settings["charges"];
    Ok(PlatformConfig {
        indexes: list(settings, "classes")
            .iter()
            .enumerate()
            .map(|(index_no, row)| index_config(index_no, row, extra))
            .collect(),
        quotas: list(settings, "projects")
            .iter()
            .map(|row| number(row, "quotaPerS").unwrap_or(f64::INFINITY))
            .collect(),
        over_quota_weight: number(settings, "overShareWorth").unwrap_or(1.0),
        router_count: number(settings, "balancers").unwrap_or(1.0).max(1.0),
        zone: ZoneNo(number(settings, "zone").unwrap_or(0.0) as u16),
        cross_zone_cost: number(charges, "crossZone").unwrap_or(0.0),
        wasted_work_cost: number(charges, "lateFail")
            .zip(number(charges, "waste"))
            .map(|(late, waste)| late + waste),
        shard_group_count: number(extra, "positions")
            .map_or(1, |groups| groups as u32)
            .max(1),
        groups_per_shard: number(extra, "reach").map_or(1, |groups| groups as u32),
        attempt_cost: micros(extra, "callCost").unwrap_or_default(),
        load_metrics: list(&settings["report"], "columns")
            .iter()
            .map(load_metric)
            .collect(),
        load_reporting: load_reporting(&settings["report"]),
        health_checks: flag(limits, "probing"),
        discovery_is_polled: settings["discovery"] == "on_request",
        max_attempts: number(limits, "attemptsCap").map(|attempts| attempts as usize),
        hedging: flag(limits, "secondCopies"),
        cancellation: flag(limits, "cancel"),
        max_retry_after: flag(limits, "retryAfter")
            .then(|| micros(limits, "maxRetryAfter").unwrap_or_default()),
        connect_timeout: micros(limits, "dialTimeout").unwrap_or_default(),
        tick: micros(settings, "tick").unwrap_or_default(),
        slow_start_initial_share: number(rules, "coldFrom").unwrap_or(1.0),
        slow_start_duration: micros(rules, "warmWithin").unwrap_or_default(),
        overload_multiple: number(rules, "fallMultiple").unwrap_or(f64::INFINITY),
        overload_window: micros(rules, "fall").unwrap_or_default(),
        retry_budget_min: number(rules, "spareAttempts").unwrap_or(0.0),
        retry_budget_ratio: number(rules, "extraRatio").unwrap_or(0.0),
        retry_budget_window: micros(rules, "countedOver"),
    })
}

fn index_config(index_no: usize, row: &Value, extra: &Value) -> IndexConfig {
    let extra_number = |key: &str| extra[key].get(index_no).and_then(Value::as_f64);
    let required_weight = extra_number("classNeed").unwrap_or(1.0);
    IndexConfig {
        latency_objective: micros(row, "onTime")
            .or(micros(row, "deadline"))
            .unwrap_or(Micros(u64::MAX)),
        priority_weight: number(row, "worth").unwrap_or(1.0),
        retry_semantics: retry_semantics(row),
        required_weight,
        min_weight: extra_number("minShare").unwrap_or(required_weight),
        has_queries: false,
        second_phase_size: extra_number("secondStep").map_or(0, |size| size as usize),
        ..IndexConfig::default()
    }
}

/// An index whose semantics are absent or unknown is once-only: its requests are not retried once they may have run.
fn retry_semantics(row: &Value) -> RetrySemantics {
    match row["semantics"].as_str() {
        Some("idempotent") => RetrySemantics::Idempotent,
        Some("deduplicated") => {
            RetrySemantics::Fingerprinted(micros(row, "window").unwrap_or_default())
        }
        _ => RetrySemantics::OnceOnly,
    }
}

fn load_reporting(report: &Value) -> LoadReporting {
    match report["via"].as_str() {
        Some("inline") => LoadReporting::InAnswers,
        Some("on_probe") => LoadReporting::InHealthChecks,
        _ => LoadReporting::Off,
    }
}

fn load_metric(column: &Value) -> LoadMetric {
    match column.as_str() {
        Some("mean_ms") => LoadMetric::LatencyMs,
        Some("depth") => LoadMetric::Queue,
        Some("tps") => LoadMetric::Rate,
        _ => LoadMetric::Unread,
    }
}
