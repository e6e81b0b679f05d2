//! A policy's text as a typed record. What the platform's own settings allow is checked in [`limits`].
//!
//! Routers read proposals here before they accept them, `ternpick policy` before it sends them. The keys are those of the
//! text that operators write (`policy.cue`); that is why fields have their names.

mod limits;

#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use ternpick::types::Micros;
use ternpick_settings::{Read, Schema, Used};

/// The definitions that a policy's text must fit.
pub const DEFINITIONS: &str = include_str!("policy.cue");
const SCHEMA: Schema = Schema::new(&[("policy.cue", DEFINITIONS)], "#Policy");

/// What differs by index; a `None` leaves the platform's own setting.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IndexPolicyConfig {
    /// The completeness threshold: the least share of shards that an answer may rest on.
    #[serde(rename = "least")]
    pub completeness_threshold: Option<f64>,
    /// The partial-response deadline, in microseconds from the query's arrival.
    #[serde(rename = "partly_at")]
    pub partial_response_after_us: Option<u64>,
    /// The most attempts for a shard request, the first included.
    #[serde(rename = "calls")]
    pub max_attempts: Option<u64>,
    /// Whether hedged requests are sent.
    #[serde(rename = "copies")]
    pub hedging: Option<bool>,
}

/// What differs by customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerPolicyConfig {
    /// Queries a second.
    #[serde(rename = "per_second")]
    pub queries_per_second: f64,
}

/// A retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RetryBudgetConfig {
    /// Retries in each window, whatever was admitted.
    #[serde(rename = "spare")]
    pub min_per_window: f64,
    /// Retries as a share of what was admitted.
    #[serde(rename = "share")]
    pub ratio: f64,
}

/// A policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Who proposes it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// By the index's name.
    pub indexes: BTreeMap<String, IndexPolicyConfig>,
    /// Nodes that get no new queries, by name.
    pub drained: Vec<String>,
    /// By the customer's name.
    pub customers: BTreeMap<String, CustomerPolicyConfig>,
    /// The retry budget, over all indexes.
    #[serde(rename = "further")]
    pub retry_budget: Option<RetryBudgetConfig>,
}

/// What one router's own settings allow of an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IndexLimits {
    /// The index's name.
    pub name: String,
    /// The lowest completeness threshold.
    pub min_completeness_threshold: f64,
    /// The weight that a complete answer needs; the highest threshold.
    pub max_completeness_threshold: f64,
    /// The latency objective: the latest partial-response deadline.
    pub latency_objective: Micros,
}

/// What one router's own settings allow. A `None` is a limit that is not set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformLimits {
    /// By index.
    pub indexes: Vec<IndexLimits>,
    /// The most attempts for a shard request.
    pub max_attempts: Option<usize>,
    /// Whether hedged requests are allowed.
    pub hedging: bool,
    /// Queries a second by customer.
    pub customers: BTreeMap<String, f64>,
    /// The retry budget, where one is set: so many retries in each window, and a share of what was admitted.
    pub retry_budget: Option<(f64, f64)>,
}

/// One setting that two policies differ in.
type Difference = (String, String, String);

impl Record {
    /// Reads a text. The empty text is the platform's own settings.
    ///
    /// # Errors
    /// All that is wrong with the text, each mistake marked in it.
    pub fn read(name: &str, text: &str) -> Result<Record, String> {
        let parsed = Parsed::read(name, text)?;
        Ok(parsed.record)
    }

    /// Reads a text and checks that a platform allows it.
    ///
    /// # Errors
    /// All that is wrong with the text, or each setting that goes beyond the platform's, with its line.
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

    /// What differs from another policy: path, before, after; for operators.
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

    /// Each setting of the policy, by its path.
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

/// A record with the places of its settings in the text.
struct Parsed {
    record: Record,
    used: Vec<Used>,
}

impl Parsed {
    fn read(name: &str, text: &str) -> Result<Parsed, String> {
        if text.is_empty() {
            return Ok(Parsed {
                record: Record::default(),
                used: Vec::new(),
            });
        }
        let Read { value, used } = SCHEMA
            .read::<Record>(name, text)
            .map_err(|error| error.to_string())?;
        Ok(Parsed {
            record: value,
            used,
        })
    }

    /// The file and line of a setting; the text's first line if it is not known.
    fn location_of(&self, name: &str, path: &str) -> (String, usize) {
        self.used
            .iter()
            .find(|used| used.path.starts_with(path))
            .and_then(|used| used.from.clone())
            .unwrap_or((name.to_owned(), 1))
    }
}
