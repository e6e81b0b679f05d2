//! Checks a policy against the limits of a platform's own settings. Rejections of proposals, which are kept in the
//! replicated state, contain the texts of the violations.

use super::{CustomerPolicyConfig, IndexLimits, IndexPolicyConfig, PlatformLimits, Record};

/// A setting of a policy that the platform does not allow.
#[derive(Debug, thiserror::Error)]
#[error("{path} {kind}")]
pub(super) struct Violation {
    /// The setting's path in the policy.
    pub(super) path: String,
    kind: ViolationKind,
}

/// How a setting violates a limit, with the value in the policy and the limit of the platform.
#[derive(Debug, thiserror::Error)]
enum ViolationKind {
    #[error("is no index here; there are {}", .known.join(", "))]
    UnknownIndex { known: Vec<String> },
    #[error("is {wanted}, the platform allows {least} to {most}")]
    ThresholdOutOfRange { wanted: f64, least: f64, most: f64 },
    #[error("is {wanted_ms} ms, after the soft deadline of {objective_ms} ms")]
    DeadlineTooLate { wanted_ms: f64, objective_ms: f64 },
    #[error("is {wanted}, the platform allows {most}")]
    TooManyAttempts { wanted: u64, most: usize },
    #[error("is true, the platform allows none")]
    HedgingNotAllowed,
    #[error("is no customer here")]
    UnknownCustomer,
    #[error("has {wanted} a second, the platform allows {most}")]
    QuotaTooHigh { wanted: f64, most: f64 },
    #[error("is {spare} and {share}, the platform allows {most_spare} and {most_share}")]
    RetryBudgetTooLarge {
        spare: f64,
        share: f64,
        most_spare: f64,
        most_share: f64,
    },
    #[error("is set, and the platform counts no further calls")]
    NoRetryBudget,
}

impl ViolationKind {
    fn at(self, path: String) -> Violation {
        Violation { path, kind: self }
    }
}

impl Record {
    /// The settings of the policy that the platform does not allow.
    pub(super) fn violations(&self, platform: &PlatformLimits) -> Vec<Violation> {
        let mut all = Vec::new();
        for (name, config) in &self.indexes {
            all.extend(index_violations(name, config, platform));
        }
        for (name, config) in &self.customers {
            all.extend(customer_violation(name, config, platform));
        }
        all.extend(self.retry_budget_violation(platform));
        all
    }

    fn retry_budget_violation(&self, platform: &PlatformLimits) -> Option<Violation> {
        let budget = self.retry_budget?;
        let kind = match platform.retry_budget {
            None => ViolationKind::NoRetryBudget,
            Some((most_spare, most_share))
                if budget.min_per_window > most_spare || budget.ratio > most_share =>
            {
                ViolationKind::RetryBudgetTooLarge {
                    spare: budget.min_per_window,
                    share: budget.ratio,
                    most_spare,
                    most_share,
                }
            }
            Some(_) => return None,
        };
        Some(kind.at("further".to_owned()))
    }
}

fn index_violations(
    name: &str,
    config: &IndexPolicyConfig,
    platform: &PlatformLimits,
) -> Vec<Violation> {
    let known = platform.indexes.iter().find(|index| index.name == name);
    let Some(index) = known else {
        let known = platform
            .indexes
            .iter()
            .map(|index| index.name.clone())
            .collect();
        return vec![ViolationKind::UnknownIndex { known }.at(format!("indexes.{name}"))];
    };
    let found = [
        ("least", threshold_violation(config, index)),
        ("partly_at", deadline_violation(config, index)),
        ("calls", attempts_violation(config, platform)),
        ("copies", hedging_violation(config, platform)),
    ];
    found
        .into_iter()
        .filter_map(|(key, kind)| Some(kind?.at(format!("indexes.{name}.{key}"))))
        .collect()
}

fn threshold_violation(config: &IndexPolicyConfig, index: &IndexLimits) -> Option<ViolationKind> {
    let least = index
        .min_completeness_threshold
        .min(index.max_completeness_threshold);
    let most = index.max_completeness_threshold;
    let wanted = config.completeness_threshold?;
    (!(least..=most).contains(&wanted)).then_some(ViolationKind::ThresholdOutOfRange {
        wanted,
        least,
        most,
    })
}

fn deadline_violation(config: &IndexPolicyConfig, index: &IndexLimits) -> Option<ViolationKind> {
    let wanted = config.partial_response_after_us?;
    (wanted > index.latency_objective.0).then_some(ViolationKind::DeadlineTooLate {
        wanted_ms: wanted as f64 / 1e3,
        objective_ms: index.latency_objective.0 as f64 / 1e3,
    })
}

fn attempts_violation(
    config: &IndexPolicyConfig,
    platform: &PlatformLimits,
) -> Option<ViolationKind> {
    let wanted = config.max_attempts?;
    let most = platform.max_attempts?;
    (wanted > most as u64).then_some(ViolationKind::TooManyAttempts { wanted, most })
}

fn hedging_violation(
    config: &IndexPolicyConfig,
    platform: &PlatformLimits,
) -> Option<ViolationKind> {
    (config.hedging == Some(true) && !platform.hedging).then_some(ViolationKind::HedgingNotAllowed)
}

fn customer_violation(
    name: &str,
    config: &CustomerPolicyConfig,
    platform: &PlatformLimits,
) -> Option<Violation> {
    let kind = match platform.customers.get(name) {
        None => ViolationKind::UnknownCustomer,
        Some(most) if config.queries_per_second > *most => ViolationKind::QuotaTooHigh {
            wanted: config.queries_per_second,
            most: *most,
        },
        Some(_) => return None,
    };
    Some(kind.at(format!("customers.{name}")))
}
