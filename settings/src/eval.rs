//! Evaluates syntax trees to one value. A reference is resolved in the innermost enclosing record that has the name, and
//! each field is evaluated once.

use std::collections::HashMap;
use std::rc::Rc;

use regex::{Regex, RegexBuilder};

use crate::report::{Problem, Span};
use crate::syntax::{BoundOp, Expr, ExprKind, RecordExpr, Scalar};
use crate::value::{
    value, Closedness, Condition, Constraint, FieldValue, Form, Kind, Record, Unifier, ValueRef,
};

/// The largest size of a compiled regular expression, in bytes.
const MAX_PATTERN_BYTES: usize = 1 << 18;
/// How many references may be in evaluation at a time, each within the one before.
const MAX_REFERENCE_DEPTH: usize = 64;

/// The records that enclose an expression, the innermost last, and the schema definition that it belongs to.
#[derive(Clone)]
struct Scope<'a> {
    records: Vec<&'a RecordExpr>,
    definition: Option<Rc<str>>,
}

pub struct Evaluator<'a> {
    pub unifier: Unifier,
    pub problems: Vec<Problem>,
    /// The values of evaluated fields, by record and label. There are no more than the texts have fields.
    values: HashMap<(*const RecordExpr, &'a str), ValueRef>,
    in_evaluation: Vec<(*const RecordExpr, &'a str)>,
    patterns: HashMap<Rc<str>, Option<Rc<Regex>>>,
}

impl<'a> Evaluator<'a> {
    pub fn new(problems: Vec<Problem>) -> Self {
        Evaluator {
            unifier: Unifier::default(),
            problems,
            values: HashMap::new(),
            in_evaluation: Vec::new(),
            patterns: HashMap::new(),
        }
    }

    /// Unifies the record `text_record` with the definition `name` of the record `schema`.
    pub fn evaluate(
        &mut self,
        schema: &'a RecordExpr,
        text_record: &'a RecordExpr,
        name: &'a str,
        span: Span,
    ) -> ValueRef {
        let definition = self.resolve(
            &Scope {
                records: vec![schema],
                definition: None,
            },
            &[name.to_owned()],
            span,
        );
        let scope = Scope {
            records: vec![schema, text_record],
            definition: None,
        };
        let own_value = self.evaluate_record(text_record, &scope, span);
        // Definitions of the text are used within the text only and are not part of its value.
        let own_value = match &own_value.form {
            Form::Record(record) => {
                let mut record = record.clone();
                record.fields.retain(|label, _| !label.starts_with('#'));
                value(Form::Record(record), span)
            }
            _ => own_value,
        };
        self.unifier
            .unify(&definition, &own_value, &mut self.problems)
    }

    fn evaluate_expr(&mut self, expr: &'a Expr, scope: &Scope<'a>) -> ValueRef {
        if !self.unifier.step() {
            return value(Form::Bottom, expr.span);
        }
        let constraint = |condition| {
            value(
                Form::Constraints(vec![Constraint {
                    condition,
                    span: expr.span,
                    definition: scope.definition.clone(),
                }]),
                expr.span,
            )
        };
        match &expr.kind {
            ExprKind::Top => value(Form::Constraints(Vec::new()), expr.span),
            ExprKind::Scalar(scalar) => value(Form::Scalar(scalar.clone()), expr.span),
            ExprKind::Bound(
                op @ (BoundOp::Matches | BoundOp::DoesNotMatch),
                Scalar::Text(text),
            ) => match self.pattern(text, expr.span) {
                Some(pattern) => constraint(Condition::Match(pattern, *op == BoundOp::Matches)),
                None => value(Form::Bottom, expr.span),
            },
            ExprKind::Bound(BoundOp::Matches | BoundOp::DoesNotMatch, _) => self.problem(
                expr.span,
                "a regular expression must be a string in quotes".into(),
            ),
            ExprKind::Bound(op, bound) => constraint(Condition::Bound(*op, bound.clone())),
            ExprKind::Reference(path) => {
                match (path.as_slice(), self.innermost_record(scope, &path[0])) {
                    ([one], None) if Kind::named(one).is_some() => {
                        constraint(Condition::OfKind(Kind::named(one).unwrap_or(Kind::Null)))
                    }
                    _ => self.resolve(scope, path, expr.span),
                }
            }
            ExprKind::Unification(operands) => {
                let mut unified = value(Form::Constraints(Vec::new()), expr.span);
                for one in operands {
                    let one = self.evaluate_expr(one, scope);
                    unified = self.unifier.unify(&unified, &one, &mut self.problems);
                }
                unified
            }
            ExprKind::Disjunction(disjuncts) => {
                let disjuncts = disjuncts
                    .iter()
                    .map(|(star, one)| (*star, self.evaluate_expr(one, scope)))
                    .collect();
                value(Form::Disjunction(disjuncts), expr.span)
            }
            ExprKind::List(items, rest) => {
                let items = items
                    .iter()
                    .map(|item| self.evaluate_expr(item, scope))
                    .collect();
                let rest = rest.as_deref().map(|rest| self.evaluate_expr(rest, scope));
                value(Form::List(items, rest), expr.span)
            }
            ExprKind::Record(record_expr) => {
                let mut records = scope.records.clone();
                records.push(record_expr);
                self.evaluate_record(
                    record_expr,
                    &Scope {
                        records,
                        definition: scope.definition.clone(),
                    },
                    expr.span,
                )
            }
        }
    }

    fn problem(&mut self, span: Span, message: String) -> ValueRef {
        self.problems.push(Problem::new(span, message));
        value(Form::Bottom, span)
    }

    fn pattern(&mut self, text: &Rc<str>, span: Span) -> Option<Rc<Regex>> {
        if let Some(compiled) = self.patterns.get(text) {
            return compiled.clone();
        }
        let compiled = RegexBuilder::new(text)
            .size_limit(MAX_PATTERN_BYTES)
            .build();
        let compiled = compiled.map(Rc::new).map_err(|_| {
            let message = format!("{text:?} is not a valid regular expression, or is larger than {MAX_PATTERN_BYTES} bytes when compiled");
            self.problems.push(Problem::new(span, message));
        });
        self.patterns.insert(Rc::clone(text), compiled.clone().ok());
        compiled.ok()
    }

    /// The index in the scope of the innermost enclosing record that has the name.
    fn innermost_record(&self, scope: &Scope<'a>, name: &str) -> Option<usize> {
        scope
            .records
            .iter()
            .rposition(|record_expr| record_expr.fields.contains_key(name))
    }

    fn resolve(&mut self, scope: &Scope<'a>, path: &[String], span: Span) -> ValueRef {
        let Some(depth) = self.innermost_record(scope, &path[0]) else {
            return self.problem(span, format!("reference '{}' not found", path[0]));
        };
        let (innermost_record, records) = (scope.records[depth], scope.records[..=depth].to_vec());
        let Some((label, _)) = innermost_record.fields.get_key_value(&path[0]) else {
            return value(Form::Bottom, span);
        };
        let key = (std::ptr::from_ref(innermost_record), label.as_str());
        if self.in_evaluation.contains(&key) || self.in_evaluation.len() > MAX_REFERENCE_DEPTH {
            return self.problem(
                span,
                format!("'{label}' refers to itself, or references are nested more than {MAX_REFERENCE_DEPTH} deep"),
            );
        }
        let unified = match self.values.get(&key) {
            Some(evaluated) => Rc::clone(evaluated),
            None => {
                self.in_evaluation.push(key);
                // The schema's definitions close their records and are named in messages. The text's own definitions
                // do neither. Any other field keeps the definition of its scope.
                let is_schema_definition = label.starts_with('#') && records.len() == 1;
                let definition = if is_schema_definition {
                    Some(label.as_str().into())
                } else {
                    scope.definition.clone()
                };
                let found = self.evaluate_field(
                    innermost_record,
                    label,
                    &Scope {
                        records,
                        definition,
                    },
                );
                self.in_evaluation.pop();
                self.values.insert(key, Rc::clone(&found));
                found
            }
        };
        path[1..]
            .iter()
            .fold(unified, |current, label| match &current.form {
                Form::Record(record) if record.fields.contains_key(label) => {
                    Rc::clone(&record.fields[label].value)
                }
                Form::Bottom => current,
                _ => self.problem(span, format!("'{}' has no field '{label}'", path[0])),
            })
    }

    /// Unifies all values that a record gives for one label.
    fn evaluate_field(
        &mut self,
        record_expr: &'a RecordExpr,
        label: &str,
        scope: &Scope<'a>,
    ) -> ValueRef {
        let declarations = record_expr.fields.get(label).map_or(&[][..], Vec::as_slice);
        let operands: Vec<ValueRef> = declarations
            .iter()
            .map(|field| self.evaluate_expr(&field.value, scope))
            .collect();
        let first = operands
            .first()
            .map_or_else(|| value(Form::Bottom, Span::new(0, 0, 0)), Rc::clone);
        operands.iter().skip(1).fold(first, |unified, one| {
            self.unifier.unify(&unified, one, &mut self.problems)
        })
    }

    fn evaluate_record(
        &mut self,
        record_expr: &'a RecordExpr,
        scope: &Scope<'a>,
        span: Span,
    ) -> ValueRef {
        let mut record = Record::default();
        for (label, constraint_value) in &record_expr.patterns {
            let pattern = match &label.kind {
                ExprKind::Reference(path) if path.len() == 1 && path[0] == "string" => {
                    self.pattern(&"".into(), label.span)
                }
                ExprKind::Bound(BoundOp::Matches, Scalar::Text(text)) => {
                    self.pattern(text, label.span)
                }
                _ => {
                    self.problem(
                        label.span,
                        "the label of a pattern constraint must be [string] or [=~\"...\"]".into(),
                    );
                    None
                }
            };
            let constraint_value = self.evaluate_expr(constraint_value, scope);
            record
                .patterns
                .extend(pattern.map(|pattern| (pattern, constraint_value)));
        }
        for (label, declarations) in &record_expr.fields {
            let mut unified =
                self.resolve(scope, std::slice::from_ref(label), declarations[0].span);
            for (pattern, constraint_value) in &record.patterns {
                // Pattern constraints don't apply to definitions.
                if !label.starts_with('#') && pattern.is_match(label) {
                    unified = self
                        .unifier
                        .unify(constraint_value, &unified, &mut self.problems);
                }
            }
            let optional = declarations.iter().all(|field| field.optional);
            record.fields.insert(
                label.clone(),
                FieldValue {
                    value: unified,
                    optional,
                    span: declarations[0].span,
                },
            );
        }
        if let (Some(definition), false) = (&scope.definition, record_expr.open) {
            let labels = record.fields.keys().cloned().collect();
            let patterns = record
                .patterns
                .iter()
                .map(|(pattern, _)| Rc::clone(pattern))
                .collect();
            record.closed.push(Closedness {
                definition: Rc::clone(definition),
                span,
                labels,
                patterns,
            });
        }
        value(Form::Record(record), span)
    }
}
