//! Parses a policy's text into a typed record; [`limits`] checks the record against what the platform's own settings
//! allow.
//!
//! Routers parse proposals before they accept them, and `ternpick policy` parses them before it sends them. The
//! serialized names of the fields are the keys of the text that operators write (`policy.cue`).

mod limits;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use ternpick::types::Micros;
use ternpick_settings::{LoadedSettings, Schema, UsedValue};

/// The schema of a policy's text.
pub const DEFINITIONS: &str = include_str!("policy.cue");
const SCHEMA: Schema = Schema::new(&[("policy.cue", DEFINITIONS)], "#Policy");

/// The settings of a policy for one index; `None` keeps the platform's own setting.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IndexPolicyConfig {
    /// The completeness threshold: the smallest share of shards that an answer may be based on.
    #[serde(rename = "least")]
    pub completeness_threshold: Option<f64>,
    /// The partial-response deadline, in microseconds from the query's arrival.
    #[serde(rename = "partly_at")]
    pub partial_response_after_us: Option<u64>,
    /// The maximum number of attempts for a shard request, including the first.
    #[serde(rename = "calls")]
    pub max_attempts: Option<u64>,
    /// Whether hedged requests are sent.
    #[serde(rename = "copies")]
    pub hedging: Option<bool>,
}

/// The settings of a policy for one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerPolicyConfig {
    /// The quota in queries per second.
    #[serde(rename = "per_second")]
    pub queries_per_second: f64,
}

/// The settings of a policy for the retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryBudgetConfig {
    /// The number of retries that are allowed in each window, independent of the number of admitted queries.
    #[serde(rename = "spare")]
    pub min_per_window: f64,
    /// The number of further retries that are allowed, as a share of what was admitted.
    #[serde(rename = "share")]
    pub ratio: f64,
}

/// A parsed policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the operator who proposes it.
    pub author: String,
    /// The author's reason.
    pub reason: String,
    /// The settings for indexes, by the index's name.
    pub indexes: BTreeMap<String, IndexPolicyConfig>,
    /// The names of the data nodes that get no new queries.
    pub drained: Vec<String>,
    /// The settings for customers, by the customer's name.
    pub customers: BTreeMap<String, CustomerPolicyConfig>,
    /// The retry budget, which applies to all indexes.
    #[serde(rename = "further")]
    pub retry_budget: Option<RetryBudgetConfig>,
}

/// The limits that one router's own settings set to policies for an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IndexLimits {
    /// The index's name.
    pub name: String,
    /// The lowest completeness threshold that a policy may set.
    pub min_completeness_threshold: f64,
    /// The highest completeness threshold that a policy may set: the weight that a complete answer needs.
    pub max_completeness_threshold: f64,
    /// The latency objective; a partial-response deadline may not be later.
    pub latency_objective: Micros,
}

/// The limits that one router's own settings set to policies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformLimits {
    /// The limits for each index.
    pub indexes: Vec<IndexLimits>,
    /// The maximum number of attempts for a shard request; `None` sets no limit.
    pub max_attempts: Option<usize>,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// The highest quota of each customer, in queries per second.
    pub customers: BTreeMap<String, f64>,
    /// The largest retry budget: the number of retries in each window, and their share of what was admitted. `None` means
    /// that the platform has no retry budget, and a policy may not set one.
    pub retry_budget: Option<(f64, f64)>,
}

/// A setting that differs between two policies: its path, the old value and the new value.
type Difference = (String, String, String);

impl Record {
    /// Parses a text. The empty text keeps the platform's own settings.
    ///
    /// # Errors
    /// Returns all mistakes in the text, each with its location.
    pub fn read(name: &str, text: &str) -> Result<Record, String> {
        let parsed = Parsed::read(name, text)?;
        Ok(parsed.record)
    }

    /// Parses a text and checks that a platform allows it.
    ///
    /// # Errors
    /// Returns all mistakes in the text, or each setting that exceeds the platform's limits with its line.
    pub fn read_within(
        name: &str,
        text: &str,
        platform: &PlatformLimits,
    ) -> Result<Record, String> {
        let parsed = Parsed::read(name, text)?;
        let violations = parsed.record.violations(platform);
        if violations.is_empty() {
            return Ok(parsed.record);
        }
        let lines: Vec<String> = violations
            .iter()
            .map(|violation| {
                let (file, line) = parsed.location_of(name, &violation.path);
                format!("{file}:{line}: {violation}")
            })
            .collect();
        Err(lines.join("\n"))
    }

    /// The settings that differ from those of the policy `base`, for operators.
    pub fn differences(&self, base: &Record) -> Vec<Difference> {
        let (old, new) = (base.settings_by_path(), self.settings_by_path());
        let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let value = |settings: &BTreeMap<String, String>, path: &String| {
            settings
                .get(path)
                .cloned()
                .unwrap_or_else(|| "-".to_owned())
        };
        paths
            .into_iter()
            .map(|path| (path.clone(), value(&old, path), value(&new, path)))
            .filter(|(_, old, new)| old != new)
            .collect()
    }

    /// The settings of the policy as text, by their path.
    pub fn settings_by_path(&self) -> BTreeMap<String, String> {
        let mut all = BTreeMap::new();
        for (name, config) in &self.indexes {
            for (key, value) in config.settings() {
                all.insert(format!("indexes.{name}.{key}"), value);
            }
        }
        for node in &self.drained {
            all.insert(format!("drained.{node}"), "true".to_owned());
        }
        for (name, config) in &self.customers {
            all.insert(
                format!("customers.{name}.per_second"),
                config.queries_per_second.to_string(),
            );
        }
        if let Some(budget) = self.retry_budget {
            all.insert("further.spare".into(), budget.min_per_window.to_string());
            all.insert("further.share".into(), budget.ratio.to_string());
        }
        all
    }
}

impl IndexPolicyConfig {
    fn settings(&self) -> impl Iterator<Item = (&'static str, String)> {
        let milliseconds = |micros: u64| format!("{} ms", micros as f64 / 1e3);
        let all = [
            (
                "least",
                self.completeness_threshold
                    .map(|threshold| threshold.to_string()),
            ),
            (
                "partly_at",
                self.partial_response_after_us.map(milliseconds),
            ),
            (
                "calls",
                self.max_attempts.map(|attempts| attempts.to_string()),
            ),
            ("copies", self.hedging.map(|hedging| hedging.to_string())),
        ];
        all.into_iter()
            .filter_map(|(key, value)| Some((key, value?)))
    }
}

/// A record with the locations of its settings in the text.
struct Parsed {
    record: Record,
    used: Vec<UsedValue>,
}

impl Parsed {
    fn read(name: &str, text: &str) -> Result<Parsed, String> {
        if text.is_empty() {
            return Ok(Parsed {
                record: Record::default(),
                used: Vec::new(),
            });
        }
        let LoadedSettings { value, used } = SCHEMA
            .read::<Record>(name, text)
            .map_err(|error| error.to_string())?;
        Ok(Parsed {
            record: value,
            used,
        })
    }

    /// The file and line of a setting; the first line of the text if the location is unknown.
    fn location_of(&self, name: &str, path: &str) -> (String, usize) {
        self.used
            .iter()
            .find(|used| used.path.starts_with(path))
            .and_then(|used| used.origin.clone())
            .unwrap_or((name.to_owned(), 1))
    }
}
