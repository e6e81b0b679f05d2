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
pub struct IndexTerms {
    /// The completeness threshold: the least share of shards that an answer may rest on.
    pub least: Option<f64>,
    /// The partial-response deadline, in microseconds from the query's arrival.
    pub partly_at: Option<u64>,
    /// The most attempts for a shard request, the first included.
    pub calls: Option<u64>,
    /// Whether hedged requests are sent.
    pub copies: Option<bool>,
}

/// What differs by customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerTerms {
    /// Queries a second.
    pub per_second: f64,
}

/// A retry budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Further {
    /// Retries in each window, whatever was admitted.
    pub spare: f64,
    /// Retries as a share of what was admitted.
    pub share: f64,
}

/// A policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Who proposes it.
    pub author: String,
    /// Why.
    pub reason: String,
    /// By the index's name.
    pub indexes: BTreeMap<String, IndexTerms>,
    /// Nodes that get no new queries, by name.
    pub drained: Vec<String>,
    /// By the customer's name.
    pub customers: BTreeMap<String, CustomerTerms>,
    /// The retry budget, over all indexes.
    pub further: Option<Further>,
}

/// What one router's own settings allow of an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformIndex {
    /// The index's name.
    pub name: String,
    /// The lowest completeness threshold.
    pub least: f64,
    /// The weight that a complete answer needs; the highest threshold.
    pub need: f64,
    /// The latency objective: the latest partial-response deadline.
    pub soft: Micros,
}

/// What one router's own settings allow. A `None` is a limit that is not set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    /// By index.
    pub indexes: Vec<PlatformIndex>,
    /// The most attempts for a shard request.
    pub calls: Option<usize>,
    /// Whether hedged requests are allowed.
    pub copies: bool,
    /// Queries a second by customer.
    pub customers: BTreeMap<String, f64>,
    /// The retry budget, where one is set: so many retries in each window, and a share of what was admitted.
    pub further: Option<(f64, f64)>,
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
    pub fn read_within(name: &str, text: &str, platform: &Platform) -> Result<Record, String> {
        let parsed = Parsed::read(name, text)?;
        let violations = parsed.record.violations(platform);
        if violations.is_empty() {
            return Ok(parsed.record);
        }
        let lines: Vec<String> = violations
            .iter()
            .map(|violation| {
                let (file, line) = parsed.place_of(name, &violation.path);
                format!("{file}:{line}: {violation}")
            })
            .collect();
        Err(lines.join("\n"))
    }

    /// What differs from another policy: path, before, after; for operators.
    pub fn differs(&self, from: &Record) -> Vec<Difference> {
        let (old, new) = (from.lines(), self.lines());
        let paths: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let value = |lines: &BTreeMap<String, String>, path: &String| {
            lines.get(path).cloned().unwrap_or_else(|| "-".to_owned())
        };
        paths
            .into_iter()
            .map(|path| (path.clone(), value(&old, path), value(&new, path)))
            .filter(|(_, old, new)| old != new)
            .collect()
    }

    /// Each setting of the policy, by its path.
    pub fn lines(&self) -> BTreeMap<String, String> {
        let mut all = BTreeMap::new();
        for (name, terms) in &self.indexes {
            for (key, value) in terms.lines() {
                all.insert(format!("indexes.{name}.{key}"), value);
            }
        }
        for node in &self.drained {
            all.insert(format!("drained.{node}"), "true".to_owned());
        }
        for (name, terms) in &self.customers {
            all.insert(
                format!("customers.{name}.per_second"),
                terms.per_second.to_string(),
            );
        }
        if let Some(budget) = self.further {
            all.insert("further.spare".into(), budget.spare.to_string());
            all.insert("further.share".into(), budget.share.to_string());
        }
        all
    }
}

impl IndexTerms {
    fn lines(&self) -> impl Iterator<Item = (&'static str, String)> {
        let milliseconds = |micros: u64| format!("{} ms", micros as f64 / 1e3);
        let all = [
            ("least", self.least.map(|share| share.to_string())),
            ("partly_at", self.partly_at.map(milliseconds)),
            ("calls", self.calls.map(|calls| calls.to_string())),
            ("copies", self.copies.map(|copies| copies.to_string())),
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
            .map_err(|refused| refused.to_string())?;
        Ok(Parsed {
            record: value,
            used,
        })
    }

    /// The file and line of a setting; the text's first line if it is not known.
    fn place_of(&self, name: &str, path: &str) -> (String, usize) {
        self.used
            .iter()
            .find(|used| used.path.starts_with(path))
            .and_then(|used| used.from.clone())
            .unwrap_or((name.to_owned(), 1))
    }
}
