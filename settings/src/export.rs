//! Converts an evaluated value to JSON: resolves defaults, reports values that are not concrete, and records the
//! origin of each value.

use crate::report::{Problem, Sources};
use crate::value::{required_by, Condition, FieldValue, Form, ValueRef};
use crate::UsedValue;

pub struct Exporter<'a> {
    pub sources: &'a Sources,
    pub used: Vec<UsedValue>,
    pub problems: Vec<Problem>,
    pub values: usize,
    /// Byte offsets at which the second and later lines of the text begin.
    line_starts: Vec<usize>,
}

/// The most values that a text may evaluate to. A text of ten thousand lines has a tenth of that.
const MAX_VALUES: usize = 200_000;

impl<'a> Exporter<'a> {
    pub fn new(sources: &'a Sources) -> Self {
        let text = &sources[0].1;
        let line_starts = text
            .bytes()
            .enumerate()
            .filter(|(_, byte)| *byte == b'\n')
            .map(|(offset, _)| offset + 1);
        Exporter {
            sources,
            used: Vec::new(),
            problems: Vec::new(),
            values: 0,
            line_starts: line_starts.collect(),
        }
    }

    pub fn export(&mut self, value: &ValueRef) -> serde_json::Value {
        self.value(value, "", value)
    }

    fn value(&mut self, value: &ValueRef, path: &str, enclosing: &ValueRef) -> serde_json::Value {
        self.values += 1;
        if self.values >= MAX_VALUES {
            if self.values == MAX_VALUES {
                self.problems.push(Problem::new(
                    enclosing.span,
                    format!("the text evaluates to more than {MAX_VALUES} values"),
                ));
            }
            return serde_json::Value::Null;
        }
        match &value.form {
            Form::Scalar(scalar) => {
                let line = || {
                    1 + self
                        .line_starts
                        .partition_point(|start| *start <= value.span.start)
                };
                let origin = (value.span.file == 0).then(|| (self.sources[0].0.clone(), line()));
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
                    FieldValue {
                        value: field_value,
                        optional,
                        ..
                    },
                ) in &record.fields
                {
                    if *optional || label.starts_with('#') {
                        continue;
                    }
                    if self.values >= MAX_VALUES {
                        break;
                    }
                    let path = if path.is_empty() {
                        label.clone()
                    } else {
                        format!("{path}.{label}")
                    };
                    all.insert(label.clone(), self.value(field_value, &path, value));
                }
                all.into()
            }
            Form::List(items, _) => {
                let each = items.iter().enumerate();
                each.map(|(index, item)| self.value(item, &format!("{path}[{index}]"), value))
                    .collect()
            }
            Form::Disjunction(disjuncts) => {
                let disjuncts = || {
                    disjuncts
                        .iter()
                        .filter(|(_, disjunct)| !matches!(disjunct.form, Form::Bottom))
                };
                let mut candidates: Vec<&ValueRef> = disjuncts()
                    .filter(|(star, _)| *star)
                    .map(|(_, disjunct)| disjunct)
                    .collect();
                if candidates.len() != 1 {
                    // Without exactly one default the value is concrete only if a single disjunct remains;
                    // for example an open list or record in `[...] | *[]`.
                    candidates = disjuncts().map(|(_, disjunct)| disjunct).collect();
                }
                match candidates.as_slice() {
                    [one] => self.value(one, path, enclosing),
                    _ => self.missing(value, path, enclosing),
                }
            }
            Form::Constraints(_) => self.missing(value, path, enclosing),
            Form::Bottom => serde_json::Value::Null,
        }
    }

    fn missing(&mut self, value: &ValueRef, path: &str, enclosing: &ValueRef) -> serde_json::Value {
        let definition = match &value.form {
            Form::Constraints(constraints) => {
                let kind = constraints
                    .iter()
                    .find(|constraint| matches!(constraint.condition, Condition::OfKind(_)));
                kind.or(constraints.first())
                    .and_then(|constraint| constraint.definition.clone())
            }
            _ => None,
        };
        let message = format!("field '{path}' is missing: expected {}", value.expected());
        let span = if value.span.file == 0 {
            value.span
        } else {
            enclosing.span
        };
        self.problems.push(
            Problem::new(span, message).related(value.span, required_by(definition.as_deref())),
        );
        serde_json::Value::Null
    }
}
