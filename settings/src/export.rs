//! From one worked-out value to what is used: defaults taken, nothing left open, each with its origin.

use crate::report::{Problem, Sources};
use crate::value::{asked_by, Form, Must, Slot, V};
use crate::UsedValue;

pub struct Export<'a> {
    pub sources: &'a Sources,
    pub used: Vec<UsedValue>,
    pub problems: Vec<Problem>,
    pub steps: usize,
    /// Where the lines of the text begin; looked up for each value.
    lines: Vec<usize>,
}

/// So many values may come out; a text of ten thousand lines has a tenth.
const MOST_VALUES: usize = 200_000;

impl<'a> Export<'a> {
    pub fn new(sources: &'a Sources) -> Self {
        let text = &sources[0].1;
        let lines = text
            .bytes()
            .enumerate()
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(at, _)| at + 1);
        Export {
            sources,
            used: Vec::new(),
            problems: Vec::new(),
            steps: 0,
            lines: lines.collect(),
        }
    }

    pub fn whole(&mut self, of: &V) -> serde_json::Value {
        self.value(of, "", of)
    }

    fn value(&mut self, of: &V, path: &str, holder: &V) -> serde_json::Value {
        self.steps += 1;
        if self.steps >= MOST_VALUES {
            if self.steps == MOST_VALUES {
                self.problems.push(Problem::new(
                    holder.at,
                    format!("more than {MOST_VALUES} values come out"),
                ));
            }
            return serde_json::Value::Null;
        }
        match &of.form {
            Form::Scalar(scalar) => {
                let line = || 1 + self.lines.partition_point(|start| *start <= of.at.start);
                let origin = (of.at.file == 0).then(|| (self.sources[0].0.clone(), line()));
                self.used.push(UsedValue {
                    path: path.to_owned(),
                    value: scalar.to_string(),
                    origin,
                });
                scalar.json()
            }
            Form::Record(record) => {
                let mut all = serde_json::Map::new();
                for (
                    label,
                    Slot {
                        value, optional, ..
                    },
                ) in &record.fields
                {
                    if *optional || label.starts_with('#') {
                        continue;
                    }
                    if self.steps >= MOST_VALUES {
                        break;
                    }
                    let path = if path.is_empty() {
                        label.clone()
                    } else {
                        format!("{path}.{label}")
                    };
                    all.insert(label.clone(), self.value(value, &path, of));
                }
                all.into()
            }
            Form::List(items, _) => {
                let each = items.iter().enumerate();
                each.map(|(at, item)| self.value(item, &format!("{path}[{at}]"), of))
                    .collect()
            }
            Form::Any(ways) => {
                let ways = || {
                    ways.iter()
                        .filter(|(_, way)| !matches!(way.form, Form::Bad))
                };
                let mut open: Vec<&V> = ways()
                    .filter(|(star, _)| *star)
                    .map(|(_, way)| way)
                    .collect();
                if open.len() != 1 {
                    // A list or record that may be anything of its kind is itself once it is closed: `[...] | *[]`.
                    open = ways().map(|(_, way)| way).collect();
                }
                match open.as_slice() {
                    [one] => self.value(one, path, holder),
                    _ => self.missing(of, path, holder),
                }
            }
            Form::Demands(_) => self.missing(of, path, holder),
            Form::Bad => serde_json::Value::Null,
        }
    }

    fn missing(&mut self, of: &V, path: &str, holder: &V) -> serde_json::Value {
        let by = match &of.form {
            Form::Demands(demands) => {
                let kind = demands
                    .iter()
                    .find(|demand| matches!(demand.must, Must::Be(_)));
                kind.or(demands.first())
                    .and_then(|demand| demand.by.clone())
            }
            _ => None,
        };
        let what = format!("'{path}' is missing: {} is wanted", of.wanted());
        let at = if of.at.file == 0 { of.at } else { holder.at };
        self.problems
            .push(Problem::new(at, what).beside(of.at, asked_by(by.as_deref())));
        serde_json::Value::Null
    }
}
