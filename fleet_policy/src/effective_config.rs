//! Combines a policy with a platform's own settings into the configuration that routing decisions read. A policy is never
//! beyond what the platform allows: [`Record::read_within`] has checked that.

#[cfg(test)]
mod tests;

use ternpick::types::{IndexConfig, Micros, PlatformConfig};

use crate::record::{Platform, PlatformIndex, Record};

/// What the platform's own settings allow, by the names that policies use. `indexes` and `customers` are the names of the
/// rows of `config`, in order.
pub fn platform(config: &PlatformConfig, indexes: &[String], customers: &[String]) -> Platform {
    let index = |(name, row): (&String, &IndexConfig)| PlatformIndex {
        name: name.clone(),
        least: row.min_weight,
        need: row.required_weight,
        soft: row.latency_objective,
    };
    Platform {
        indexes: indexes.iter().zip(&config.indexes).map(index).collect(),
        calls: config.max_attempts,
        copies: config.hedging,
        customers: customers
            .iter()
            .cloned()
            .zip(config.quotas.iter().copied())
            .collect(),
        further: config
            .retry_budget_window
            .map(|_| (config.retry_budget_min, config.retry_budget_ratio)),
    }
}

/// Applies a policy over the platform's own settings, for queries that are admitted from now on. `config` is the
/// configuration in use; rows follow the order of `indexes` and `customers`.
pub fn put_in_force(
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
        let terms = record.indexes.get(name).cloned().unwrap_or_default();
        row.min_weight = terms.least.unwrap_or(own.min_weight);
        row.partial_response_after = terms.partly_at.map(Micros);
        row.max_attempts = terms.calls.and_then(|calls| usize::try_from(calls).ok());
        row.hedging_disabled = terms.copies == Some(false);
        row.retry_budget = record.further.map(|budget| (budget.spare, budget.share));
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
            .map_or(*own, |terms| terms.per_second);
    }
}
