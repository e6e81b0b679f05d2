//! What a policy makes of a platform's own figures: the table that decisions read, never beyond what the platform says.

use ternpick::types::{Micros, PlatformConfig};

use crate::record::{Platform, PlatformIndex, Record};

/// What the platform's own settings allow, by the names that policies use.
pub fn platform(tariff: &PlatformConfig, indexes: &[String], customers: &[String]) -> Platform {
    let index = |(name, row): (&String, &ternpick::types::IndexConfig)| PlatformIndex {
        name: name.clone(),
        least: row.min_weight,
        need: row.required_weight,
        soft: row.latency_objective,
    };
    Platform {
        indexes: indexes.iter().zip(&tariff.indexes).map(index).collect(),
        calls: tariff.max_attempts,
        copies: tariff.hedging,
        customers: customers
            .iter()
            .cloned()
            .zip(tariff.quotas.iter().copied())
            .collect(),
        further: tariff
            .retry_budget_window
            .map(|_| (tariff.retry_budget_min, tariff.retry_budget_ratio)),
    }
}

/// Puts a policy in force over the platform's own figures, for lookups that are admitted from now on.
pub fn put_in_force(
    record: &Record,
    platform: &PlatformConfig,
    indexes: &[String],
    customers: &[String],
    tariff: &mut PlatformConfig,
) {
    let rows = tariff
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
        row.retry_budget = record.further.map(|further| (further.spare, further.share));
    }
    for ((quota, own), name) in tariff
        .quotas
        .iter_mut()
        .zip(&platform.quotas)
        .zip(customers)
    {
        *quota = record
            .customers
            .get(name)
            .map_or(*own, |terms| terms.per_second);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use ternpick::types::IndexConfig;

    proptest! {
        #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, ..ProptestConfig::default() })]
        #[test]
        fn nothing_that_is_checked_goes_beyond_the_platform(
            (own, need) in (0.0f64..=1.0, 0.0f64..=1.0), wanted in 0.0f64..=1.0, calls in 1u64..9, cap in 1usize..5,
            spare in 0.0f64..10.0, own_spare in 0.0f64..10.0, quota in 1.0f64..50.0, own_quota in 1.0f64..50.0
        ) {
            let row = IndexConfig { min_weight: own.min(need), required_weight: need, latency_objective: Micros(600_000), ..IndexConfig::default() };
            let tariff = PlatformConfig {
                indexes: vec![row],
                quotas: vec![own_quota],
                max_attempts: Some(cap),
                retry_budget_min: own_spare,
                retry_budget_window: Some(Micros(1)),
                ..PlatformConfig::default()
            };
            let (names, customers) = (["half".to_owned()], ["north".to_owned()]);
            let text = format!(
                "author: \"a\"\nreason: \"b\"\nindexes: half: {{least: {wanted}, calls: {calls}}}\n\
                 customers: north: per_second: {quota}\nfurther: {{spare: {spare}, share: 0}}\n"
            );
            let of = platform(&tariff, &names, &customers);
            let mut under = tariff.clone();
            if let Ok(record) = Record::read_within("p", &text, &of) {
                put_in_force(&record, &tariff, &names, &customers, &mut under);
                let row = &under.indexes[0];
                prop_assert!(row.min_weight >= own.min(need) && row.min_weight <= need);
                prop_assert!(row.max_attempts.is_none_or(|calls| calls <= cap));
                prop_assert!(row.retry_budget.is_none_or(|(spare, _)| spare <= own_spare));
                prop_assert!(under.quotas[0] <= own_quota);
            }
            // Back to the platform's own, nothing is left of it.
            put_in_force(&Record::default(), &tariff, &names, &customers, &mut under);
            prop_assert_eq!(format!("{under:?}"), format!("{tariff:?}"));
        }
    }
}
