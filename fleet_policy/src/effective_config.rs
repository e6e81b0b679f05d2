//! Combines a policy with a platform's own settings into the configuration that routing decisions read. The policy does
//! not exceed the platform's limits: [`Record::read_within`] has checked it before.

#[cfg(test)]
mod tests;

use ternpick::types::{IndexConfig, Micros, PlatformConfig};

use crate::record::{IndexLimits, PlatformLimits, Record};

/// The limits that the platform's own settings set to policies. `indexes` and `customers` are the names of the rows of
/// `config`, in order; policies refer to rows by these names.
pub fn platform_limits(
    config: &PlatformConfig,
    indexes: &[String],
    customers: &[String],
) -> PlatformLimits {
    let index = |(name, row): (&String, &IndexConfig)| IndexLimits {
        name: name.clone(),
        min_completeness_threshold: row.min_weight,
        max_completeness_threshold: row.required_weight,
        latency_objective: row.latency_objective,
    };
    PlatformLimits {
        indexes: indexes.iter().zip(&config.indexes).map(index).collect(),
        max_attempts: config.max_attempts,
        hedging: config.hedging,
        customers: customers
            .iter()
            .cloned()
            .zip(config.quotas.iter().copied())
            .collect(),
        retry_budget: config
            .retry_budget_window
            .map(|_| (config.retry_budget_min, config.retry_budget_ratio)),
    }
}

/// Applies a policy on top of the platform's own settings, for queries that are admitted from now on. `config` is the
/// configuration in use; its rows have the order of `indexes` and `customers`.
pub fn apply_policy(
    record: &Record,
    platform: &PlatformConfig,
    indexes: &[String],
    customers: &[String],
    config: &mut PlatformConfig,
) {
    let rows = config
        .indexes
        .iter_mut()
        .zip(&platform.indexes)
        .zip(indexes);
    for ((row, own), name) in rows {
        let policy = record.indexes.get(name).cloned().unwrap_or_default();
        row.min_weight = policy.completeness_threshold.unwrap_or(own.min_weight);
        row.partial_response_after = policy.partial_response_after_us.map(Micros);
        row.max_attempts = policy
            .max_attempts
            .and_then(|attempts| usize::try_from(attempts).ok());
        row.hedging_disabled = policy.hedging == Some(false);
        row.retry_budget = record
            .retry_budget
            .map(|budget| (budget.min_per_window, budget.ratio));
    }
    let quotas = config
        .quotas
        .iter_mut()
        .zip(&platform.quotas)
        .zip(customers);
    for ((quota, own), name) in quotas {
        *quota = record
            .customers
            .get(name)
            .map_or(*own, |policy| policy.queries_per_second);
    }
}
