//! A policy's text as a typed record, and whether it stays within what a platform's own settings allow.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use ternpick::types::Micros;
use ternpick_settings::{Read, Schema, Used};

/// The definitions that a policy's text must fit.
pub const DEFINITIONS: &str = include_str!("policy.cue");
const SCHEMA: Schema = Schema::new(&[("policy.cue", DEFINITIONS)], "#Policy");

/// What differs by index; a `None` leaves the platform's own figure.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct IndexTerms {
    pub least: Option<f64>,
    /// In microseconds from the lookup's coming on.
    pub partly_at: Option<u64>,
    pub calls: Option<u64>,
    pub copies: Option<bool>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerTerms {
    pub per_second: f64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Further {
    pub spare: f64,
    pub share: f64,
}

/// A policy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    pub author: String,
    pub reason: String,
    pub indexes: BTreeMap<String, IndexTerms>,
    pub drained: Vec<String>,
    pub customers: BTreeMap<String, CustomerTerms>,
    pub further: Option<Further>,
}

/// What one router's own settings allow of an index.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PlatformIndex {
    pub name: String,
    pub least: f64,
    pub need: f64,
    pub soft: Micros,
}

/// What one router's own settings allow. A `None` is a limit that is not set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Platform {
    pub indexes: Vec<PlatformIndex>,
    pub calls: Option<usize>,
    pub copies: bool,
    /// Lookups a second by customer.
    pub customers: BTreeMap<String, f64>,
    /// Further calls for parts: so many, and a share of what was taken, where a budget is set.
    pub further: Option<(f64, f64)>,
}

impl Record {
    /// Reads a text; all that is wrong with it comes back, each mistake marked in the text. The empty text is the
    /// platform's own settings.
    pub fn read(name: &str, text: &str) -> Result<Record, String> {
        Self::with_places(name, text).map(|(record, _)| record)
    }

    fn with_places(name: &str, text: &str) -> Result<(Record, Vec<Used>), String> {
        if text.is_empty() {
            return Ok((Record::default(), vec![]));
        }
        let Read { value, used } = SCHEMA
            .read::<Record>(name, text)
            .map_err(|refused| refused.to_string())?;
        Ok((value, used))
    }

    /// Reads a text and looks whether one platform allows it: whatever goes beyond is told, with its line.
    pub fn read_within(name: &str, text: &str, platform: &Platform) -> Result<Record, String> {
        let (record, used) = Self::with_places(name, text)?;
        let beyond = record.beyond(platform);
        if beyond.is_empty() {
            return Ok(record);
        }
        let line = |(path, what): (String, String)| {
            let place = used
                .iter()
                .find(|used| used.path.starts_with(&path))
                .and_then(|used| used.from.clone());
            let (file, line) = place.unwrap_or((name.to_owned(), 1));
            format!("{file}:{line}: {path} {what}")
        };
        Err(beyond.into_iter().map(line).collect::<Vec<_>>().join("\n"))
    }

    /// What goes beyond the platform's own settings, with its path.
    fn beyond(&self, platform: &Platform) -> Vec<(String, String)> {
        let mut all = Vec::new();
        for (name, terms) in &self.indexes {
            let path = |key: &str| {
                format!(
                    "indexes.{name}{}{key}",
                    if key.is_empty() { "" } else { "." }
                )
            };
            let Some(of) = platform.indexes.iter().find(|index| index.name == *name) else {
                let known: Vec<&str> = platform
                    .indexes
                    .iter()
                    .map(|index| index.name.as_str())
                    .collect();
                all.push((
                    path(""),
                    format!("is no index here; there are {}", known.join(", ")),
                ));
                continue;
            };
            let (least, most) = (of.least.min(of.need), of.need);
            if let Some(wanted) = terms
                .least
                .filter(|wanted| !(least..=most).contains(wanted))
            {
                all.push((
                    path("least"),
                    format!("is {wanted}, the platform allows {least} to {most}"),
                ));
            }
            if let Some(at) = terms.partly_at.filter(|at| *at > of.soft.0) {
                let (at, soft) = (at as f64 / 1e3, of.soft.0 as f64 / 1e3);
                all.push((
                    path("partly_at"),
                    format!("is {at} ms, after the soft deadline of {soft} ms"),
                ));
            }
            if let (Some(calls), Some(cap)) = (terms.calls, platform.calls) {
                if calls > cap as u64 {
                    all.push((
                        path("calls"),
                        format!("is {calls}, the platform allows {cap}"),
                    ));
                }
            }
            if terms.copies == Some(true) && !platform.copies {
                all.push((path("copies"), "is true, the platform allows none".into()));
            }
        }
        for (name, terms) in &self.customers {
            let path = format!("customers.{name}");
            match platform.customers.get(name) {
                None => all.push((path, "is no customer here".into())),
                Some(most) if terms.per_second > *most => {
                    let wanted = terms.per_second;
                    all.push((
                        path,
                        format!("has {wanted} a second, the platform allows {most}"),
                    ));
                }
                Some(_) => {}
            }
        }
        match (self.further, platform.further) {
            (Some(of), Some((spare, share))) if of.spare > spare || of.share > share => {
                let what = format!(
                    "is {} and {}, the platform allows {spare} and {share}",
                    of.spare, of.share
                );
                all.push(("further".into(), what));
            }
            (Some(_), None) => {
                all.push((
                    "further".into(),
                    "is set, and the platform counts no further calls".into(),
                ));
            }
            _ => {}
        }
        all
    }

    /// What differs from another policy: path, before, after; for people.
    pub fn differs(&self, from: &Record) -> Vec<(String, String, String)> {
        let (old, new) = (from.lines(), self.lines());
        let none = || "-".to_owned();
        let paths: std::collections::BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let rows = paths.into_iter().map(|path| {
            let of =
                |lines: &BTreeMap<String, String>| lines.get(path).cloned().unwrap_or_else(none);
            (path.clone(), of(&old), of(&new))
        });
        rows.filter(|(_, old, new)| old != new).collect()
    }

    /// Each figure that is set, by its path.
    pub fn lines(&self) -> BTreeMap<String, String> {
        let mut all = BTreeMap::new();
        for (name, terms) in &self.indexes {
            let of = [
                ("least", terms.least.map(|figure| figure.to_string())),
                (
                    "partly_at",
                    terms
                        .partly_at
                        .map(|micros| format!("{} ms", micros as f64 / 1e3)),
                ),
                ("calls", terms.calls.map(|calls| calls.to_string())),
                ("copies", terms.copies.map(|copies| copies.to_string())),
            ];
            let set = of
                .into_iter()
                .filter_map(|(key, value)| Some((format!("indexes.{name}.{key}"), value?)));
            all.extend(set);
        }
        all.extend(
            self.drained
                .iter()
                .map(|node| (format!("drained.{node}"), "true".to_owned())),
        );
        let customers = self.customers.iter();
        all.extend(customers.map(|(name, of)| {
            (
                format!("customers.{name}.per_second"),
                of.per_second.to_string(),
            )
        }));
        if let Some(further) = self.further {
            all.insert("further.spare".into(), further.spare.to_string());
            all.insert("further.share".into(), further.share.to_string());
        }
        all
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    fn platform() -> Platform {
        Platform {
            indexes: vec![PlatformIndex {
                name: "half".into(),
                least: 0.5,
                need: 1.0,
                soft: Micros(600_000),
            }],
            calls: Some(3),
            copies: false,
            customers: BTreeMap::from([("north".into(), 20.0)]),
            further: Some((3.0, 0.1)),
        }
    }

    const HEAD: &str = "author: \"ann\"\nreason: \"a test\"\n";

    #[test_case("indexes: half: least: 0.4", "p.cue:3: indexes.half.least is 0.4, the platform allows 0.5 to 1"; "a share below")]
    #[test_case("indexes: half: partly_at: 700ms", "indexes.half.partly_at is 700 ms, after the soft deadline of 600 ms"; "too late")]
    #[test_case("indexes: half: calls: 4", "indexes.half.calls is 4, the platform allows 3"; "too many calls")]
    #[test_case("indexes: half: copies: true", "the platform allows none"; "copies")]
    #[test_case("indexes: whole: calls: 1", "indexes.whole is no index here; there are half"; "an index that is none")]
    #[test_case("customers: south: per_second: 3", "customers.south is no customer here"; "a customer that is none")]
    #[test_case("customers: north: per_second: 30", "has 30 a second, the platform allows 20"; "too much room")]
    #[test_case("further: {spare: 4, share: 0.1}", "further is 4 and 0.1, the platform allows 3 and 0.1"; "too large a budget")]
    #[test_case("indexes: half: calls: 0", "p.cue:3:23"; "no calls at all")]
    #[test_case("indexs: {}", "p.cue:3:1"; "a misspelt name")]
    fn what_goes_beyond_the_platform_is_refused_with_its_line(text: &str, words: &str) {
        let refused = Record::read_within("p.cue", &format!("{HEAD}{text}\n"), &platform());
        let words_got = refused.expect_err("refused");
        assert!(words_got.contains(words), "{words_got}");
    }

    #[test]
    fn what_stays_within_is_taken_and_told_apart_from_another() {
        let text = format!("{HEAD}indexes: half: {{least: 0.75, calls: 2}}\ndrained: [\"s-1\"]\nfurther: {{spare: 1, share: 0.05}}\n");
        let record = Record::read_within("p.cue", &text, &platform()).expect("within");
        assert_eq!(
            (record.indexes["half"].least, record.indexes["half"].calls),
            (Some(0.75), Some(2))
        );
        let rows = record.differs(&Record::default());
        let paths: Vec<&str> = rows.iter().map(|(path, ..)| path.as_str()).collect();
        let wanted = [
            "drained.s-1",
            "further.share",
            "further.spare",
            "indexes.half.calls",
            "indexes.half.least",
        ];
        assert_eq!(paths, wanted);
        assert_eq!(Record::read("p", ""), Ok(Record::default()));
    }
}
