//! Values of expressions: scalars, constraints, disjunctions, records and lists; and their unification, whose result
//! doesn't depend on the order of its operands.

use std::fmt;
use std::rc::Rc;

use indexmap::IndexMap;
use regex::Regex;

use crate::report::{Problem, Span};
use crate::syntax::{BoundOp, Scalar};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Null,
    Bool,
    Int,
    Number,
    Text,
    Duration,
    Size,
    Record,
    List,
}

#[derive(Clone, Debug)]
pub enum Condition {
    OfKind(Kind),
    Bound(BoundOp, Scalar),
    Match(Rc<Regex>, bool),
}

/// One constraint, its span, and the schema definition that contains it.
#[derive(Clone, Debug)]
pub struct Constraint {
    pub condition: Condition,
    pub span: Span,
    pub definition: Option<Rc<str>>,
}

#[derive(Clone, Debug)]
pub struct FieldValue {
    pub value: ValueRef,
    pub optional: bool,
    pub span: Span,
}

/// Closes a record: only fields with these labels, or that match these patterns, are allowed.
#[derive(Clone, Debug)]
pub struct Closedness {
    pub definition: Rc<str>,
    pub span: Span,
    pub labels: Rc<[String]>,
    pub patterns: Rc<[Rc<Regex>]>,
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub fields: IndexMap<String, FieldValue>,
    pub patterns: Vec<(Rc<Regex>, ValueRef)>,
    pub closed: Vec<Closedness>,
}

#[derive(Clone, Debug)]
pub enum Form {
    Scalar(Scalar),
    /// All constraints that a value has to meet. Without any, every value is allowed (top).
    Constraints(Vec<Constraint>),
    Disjunction(Vec<(bool, ValueRef)>),
    Record(Record),
    List(Vec<ValueRef>, Option<ValueRef>),
    /// No value. The problem has been reported already, and causes no further ones.
    Bottom,
}

#[derive(Clone, Debug)]
pub struct Value {
    pub form: Form,
    pub span: Span,
}

pub type ValueRef = Rc<Value>;

pub fn value(form: Form, span: Span) -> ValueRef {
    Rc::new(Value { form, span })
}

impl Scalar {
    pub fn kind(&self) -> Kind {
        match self {
            Scalar::Null => Kind::Null,
            Scalar::Bool(_) => Kind::Bool,
            Scalar::Int(_) => Kind::Int,
            Scalar::Float(_) => Kind::Number,
            Scalar::Text(_) => Kind::Text,
            Scalar::Duration(_) => Kind::Duration,
            Scalar::Size(_) => Kind::Size,
        }
    }

    fn order(&self, other: &Scalar) -> Option<std::cmp::Ordering> {
        match (self, other) {
            (Scalar::Int(a), Scalar::Int(b)) => Some(a.cmp(b)),
            (Scalar::Duration(a), Scalar::Duration(b)) | (Scalar::Size(a), Scalar::Size(b)) => {
                Some(a.cmp(b))
            }
            (Scalar::Int(a), Scalar::Float(b)) => (*a as f64).partial_cmp(b),
            (Scalar::Float(a), Scalar::Int(b)) => a.partial_cmp(&(*b as f64)),
            (Scalar::Float(a), Scalar::Float(b)) => a.partial_cmp(b),
            (Scalar::Text(a), Scalar::Text(b)) => Some(a.cmp(b)),
            _ => (self == other).then_some(std::cmp::Ordering::Equal),
        }
    }

    pub fn json(&self) -> serde_json::Value {
        match self {
            Scalar::Null => serde_json::Value::Null,
            Scalar::Bool(of) => (*of).into(),
            Scalar::Int(of) | Scalar::Duration(of) | Scalar::Size(of) => (*of).into(),
            Scalar::Float(of) => (*of).into(),
            Scalar::Text(of) => of.as_ref().into(),
        }
    }
}

impl fmt::Display for Scalar {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let units = |f: &mut fmt::Formatter, of: i64, units: &[(i64, &str)]| {
            let check_field = units.iter().find(|(factor, _)| of != 0 && of % factor == 0);
            let (factor, unit) = check_field.unwrap_or(&units[units.len() - 1]);
            write!(f, "{}{unit}", of / factor)
        };
        match self {
            Scalar::Null => f.write_str("null"),
            Scalar::Bool(of) => write!(f, "{of}"),
            Scalar::Int(of) => write!(f, "{of}"),
            Scalar::Float(of) => write!(f, "{of}"),
            Scalar::Text(of) => write!(f, "{:?}", of),
            Scalar::Duration(of) => units(
                f,
                *of,
                &[
                    (86_400_000_000, "d"),
                    (3_600_000_000, "h"),
                    (60_000_000, "min"),
                    (1_000_000, "s"),
                    (1_000, "ms"),
                    (1, "us"),
                ],
            ),
            Scalar::Size(of) => units(
                f,
                *of,
                &[
                    (1 << 30, "GiB"),
                    (1 << 20, "MiB"),
                    (1 << 10, "KiB"),
                    (1, "B"),
                ],
            ),
        }
    }
}

impl Kind {
    pub fn named(name: &str) -> Option<Kind> {
        Some(match name {
            "bool" => Kind::Bool,
            "int" => Kind::Int,
            "number" => Kind::Number,
            "string" => Kind::Text,
            "duration" => Kind::Duration,
            "size" => Kind::Size,
            _ => return None,
        })
    }

    pub fn description(self) -> &'static str {
        match self {
            Kind::Null => "null",
            Kind::Bool => "true or false",
            Kind::Int => "an integer",
            Kind::Number => "a number",
            Kind::Text => "a string in quotes",
            Kind::Duration => "a duration such as 30s",
            Kind::Size => "a size such as 16KiB",
            Kind::Record => "a record",
            Kind::List => "a list",
        }
    }

    fn accepts(self, other: Kind) -> bool {
        self == other || self == Kind::Number && other == Kind::Int
    }
}

impl Constraint {
    fn kind(&self) -> Option<Kind> {
        match &self.condition {
            Condition::OfKind(kind) => Some(*kind),
            // An integer may be the bound of any number.
            Condition::Bound(_, Scalar::Int(_) | Scalar::Float(_)) => Some(Kind::Number),
            Condition::Bound(BoundOp::NotEqual, _) => None,
            Condition::Bound(_, bound) => Some(bound.kind()),
            Condition::Match(..) => Some(Kind::Text),
        }
    }

    fn is_met_by(&self, scalar: &Scalar) -> bool {
        use std::cmp::Ordering::{Equal, Greater, Less};
        match &self.condition {
            Condition::OfKind(kind) => kind.accepts(scalar.kind()),
            Condition::Match(pattern, expected) => {
                matches!(scalar, Scalar::Text(text) if pattern.is_match(text) == *expected)
            }
            Condition::Bound(op, bound) => match (op, scalar.order(bound)) {
                (BoundOp::NotEqual, order) => order != Some(Equal),
                (BoundOp::AtLeast, order) => matches!(order, Some(Greater | Equal)),
                (BoundOp::AtMost, order) => matches!(order, Some(Less | Equal)),
                (BoundOp::Above, order) => order == Some(Greater),
                (BoundOp::Below, order) => order == Some(Less),
                _ => false,
            },
        }
    }
}

impl fmt::Display for Constraint {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.condition {
            Condition::OfKind(kind) => f.write_str(kind.description()),
            Condition::Match(pattern, true) => {
                write!(f, "a string that matches {:?}", pattern.as_str())
            }
            Condition::Match(pattern, false) => {
                write!(f, "a string that does not match {:?}", pattern.as_str())
            }
            Condition::Bound(op, bound) => {
                let description = match op {
                    BoundOp::AtLeast => "at least",
                    BoundOp::AtMost => "at most",
                    BoundOp::Above => "above",
                    BoundOp::Below => "below",
                    _ => "other than",
                };
                write!(f, "{description} {bound}")
            }
        }
    }
}

impl Value {
    pub fn kind(&self) -> Option<Kind> {
        match &self.form {
            Form::Scalar(scalar) => Some(scalar.kind()),
            Form::Constraints(constraints) => constraints.iter().find_map(Constraint::kind),
            Form::Record(_) => Some(Kind::Record),
            Form::List(..) => Some(Kind::List),
            Form::Disjunction(_) | Form::Bottom => None,
        }
    }

    /// Describes the values that are allowed, for messages.
    pub fn expected(&self) -> String {
        match &self.form {
            Form::Scalar(scalar) => scalar.to_string(),
            Form::Constraints(constraints) if constraints.is_empty() => "a value".into(),
            Form::Constraints(constraints) => {
                // A bound or pattern shows these kinds by itself.
                let bounded = constraints.len() > 1;
                let described = constraints.iter().filter(|of| {
                    !bounded
                        || !matches!(
                            of.condition,
                            Condition::OfKind(Kind::Duration | Kind::Size | Kind::Text)
                        )
                });
                described
                    .map(Constraint::to_string)
                    .collect::<Vec<_>>()
                    .join(" and ")
            }
            Form::Disjunction(disjuncts) => {
                let alternatives = disjuncts
                    .iter()
                    .filter(|(_, one)| !matches!(one.form, Form::Bottom));
                alternatives
                    .map(|(_, one)| one.expected())
                    .collect::<Vec<_>>()
                    .join(" or ")
            }
            Form::Record(_) => Kind::Record.description().into(),
            Form::List(..) => Kind::List.description().into(),
            Form::Bottom => "a value".into(),
        }
    }
}

/// The most steps of evaluation and unification for one text: a hundred times what a text of ten thousand lines takes.
pub const MAX_STEPS: usize = 4_000_000;
/// The most disjuncts of one value.
const MAX_DISJUNCTS: usize = 64;

/// Unifies values. It counts its steps, to bound the time that a text takes.
#[derive(Default)]
pub struct Unifier {
    steps: usize,
    pub out_of_steps: bool,
}

impl Unifier {
    /// Counts one step. Returns false once there were more than [`MAX_STEPS`].
    pub fn step(&mut self) -> bool {
        self.steps += 1;
        self.out_of_steps |= self.steps > MAX_STEPS;
        !self.out_of_steps
    }

    pub fn unify(&mut self, a: &ValueRef, b: &ValueRef, problems: &mut Vec<Problem>) -> ValueRef {
        if Rc::ptr_eq(a, b) || !self.step() {
            return Rc::clone(a);
        }
        match (&a.form, &b.form) {
            (Form::Bottom, _) => Rc::clone(a),
            (_, Form::Bottom) => Rc::clone(b),
            (Form::Disjunction(any), _) => self.unify_disjunction(any, a, b, problems),
            (_, Form::Disjunction(any)) => self.unify_disjunction(any, b, a, problems),
            (Form::Constraints(constraints), _) if constraints.is_empty() => Rc::clone(b),
            (_, Form::Constraints(constraints)) if constraints.is_empty() => Rc::clone(a),
            (Form::Scalar(x), Form::Scalar(y)) => {
                if x.order(y) == Some(std::cmp::Ordering::Equal) {
                    return Rc::clone(if x.kind() == Kind::Number { b } else { a });
                }
                let message = format!("conflicting values {y} and {x}");
                problems.push(Problem::new(b.span, message).related(a.span, format!("{x} here")));
                value(Form::Bottom, b.span)
            }
            (Form::Scalar(scalar), Form::Constraints(constraints)) => {
                self.check_scalar(scalar, a, constraints, problems)
            }
            (Form::Constraints(constraints), Form::Scalar(scalar)) => {
                self.check_scalar(scalar, b, constraints, problems)
            }
            (Form::Constraints(x), Form::Constraints(y)) => {
                let kinds = (a.kind(), b.kind());
                if let (Some(x), Some(y)) = kinds {
                    if !x.accepts(y) && !y.accepts(x) {
                        return self.conflict(a, b, problems);
                    }
                }
                let mut all = x.clone();
                all.extend(
                    y.iter()
                        .filter(|of| !x.iter().any(|known| known.span == of.span))
                        .cloned(),
                );
                value(Form::Constraints(all), a.span)
            }
            (Form::Record(x), Form::Record(y)) => self.unify_records(x, y, a, b, problems),
            (Form::List(x, x_rest), Form::List(y, y_rest)) => {
                let mut items = Vec::with_capacity(x.len().max(y.len()));
                for index in 0..x.len().max(y.len()) {
                    match (
                        x.get(index).or(x_rest.as_ref()),
                        y.get(index).or(y_rest.as_ref()),
                    ) {
                        (Some(x), Some(y)) => items.push(self.unify(x, y, problems)),
                        _ => {
                            let message =
                                format!("conflicting list lengths {} and {}", y.len(), x.len());
                            problems.push(
                                Problem::new(b.span, message)
                                    .related(a.span, "the other list is here"),
                            );
                            return value(Form::Bottom, b.span);
                        }
                    }
                }
                let rest = match (x_rest, y_rest) {
                    (Some(x), Some(y)) => Some(self.unify(x, y, problems)),
                    _ => None,
                };
                value(
                    Form::List(items, rest),
                    if y_rest.is_none() { b.span } else { a.span },
                )
            }
            _ => self.conflict(a, b, problems),
        }
    }

    /// Reports two values of different kinds. The problem is at the value that is given, rather than at the constraint.
    fn conflict(&mut self, a: &ValueRef, b: &ValueRef, problems: &mut Vec<Problem>) -> ValueRef {
        let given = |of: &ValueRef| !matches!(of.form, Form::Constraints(_));
        let (given, required) = if given(a) && !given(b) {
            (a, b)
        } else {
            (b, a)
        };
        let definition = match &required.form {
            Form::Constraints(constraints) => constraints
                .iter()
                .find_map(|constraint| constraint.definition.clone()),
            Form::Record(record) => record
                .closed
                .first()
                .map(|closed| Rc::clone(&closed.definition)),
            _ => None,
        };
        let message = format!(
            "expected {}, found {}",
            required.expected(),
            given.expected()
        );
        problems.push(
            Problem::new(given.span, message)
                .related(required.span, required_by(definition.as_deref())),
        );
        value(Form::Bottom, given.span)
    }

    fn check_scalar(
        &mut self,
        scalar: &Scalar,
        given: &ValueRef,
        constraints: &[Constraint],
        problems: &mut Vec<Problem>,
    ) -> ValueRef {
        // A value of the wrong kind violates every bound as well; only the kind is reported.
        let violated = constraints.iter().find(|constraint| {
            matches!(constraint.condition, Condition::OfKind(_)) && !constraint.is_met_by(scalar)
        });
        match violated.or_else(|| {
            constraints
                .iter()
                .find(|constraint| !constraint.is_met_by(scalar))
        }) {
            None => Rc::clone(given),
            Some(constraint) => {
                let message = format!("expected {constraint}, found {scalar}");
                problems.push(Problem::new(given.span, message).related(
                    constraint.span,
                    required_by(constraint.definition.as_deref()),
                ));
                value(Form::Bottom, given.span)
            }
        }
    }

    /// Unifies a disjunction with another value; the disjuncts that unify remain. If all defaults fail, a default that
    /// is bottom takes their place. Without it a default unified later would become the default, and the result would
    /// depend on the order.
    fn unify_disjunction(
        &mut self,
        any: &[(bool, ValueRef)],
        disjunction: &ValueRef,
        other: &ValueRef,
        problems: &mut Vec<Problem>,
    ) -> ValueRef {
        let has_star = |disjuncts: &[(bool, ValueRef)]| disjuncts.iter().any(|(star, _)| *star);
        let other_disjuncts = match &other.form {
            Form::Disjunction(disjuncts) => disjuncts.clone(),
            _ => vec![(false, Rc::clone(other))],
        };
        let (has_default, other_has_default) = (has_star(any), has_star(&other_disjuncts));
        let mut remaining: Vec<(bool, ValueRef)> = Vec::new();
        let mut failed: Vec<(ValueRef, Vec<Problem>)> = Vec::new();
        let mut has_bottom = false;
        for (star, mine) in any {
            for (their_star, their) in &other_disjuncts {
                let mut tried = Vec::new();
                let one = self.unify(mine, their, &mut tried);
                if matches!(one.form, Form::Bottom) && tried.is_empty() {
                    has_bottom = true;
                } else if !tried.is_empty() {
                    failed.push((Rc::clone(mine), tried));
                } else if remaining.len() >= MAX_DISJUNCTS {
                    let message = format!("more than {MAX_DISJUNCTS} disjuncts remain here");
                    problems.push(Problem::new(other.span, message));
                    return value(Form::Bottom, other.span);
                } else {
                    let star = (*star || !has_default) && (*their_star || !other_has_default);
                    remaining.push((star && (has_default || other_has_default), one));
                }
            }
        }
        if let (Form::Scalar(_), false) = (&other.form, remaining.is_empty()) {
            // A given scalar keeps its own span, also where it equals the default.
            return Rc::clone(other);
        }
        let defaults_failed =
            (has_default || other_has_default) && !remaining.iter().any(|(star, _)| *star);
        match remaining.len() {
            0 if has_bottom && failed.is_empty() => value(Form::Bottom, other.span),
            0 => {
                // `*default | constraint`: the problems of the constraint say what is allowed.
                if any.len() == 2
                    && any.iter().filter(|(star, _)| *star).count() == 1
                    && other_disjuncts.len() == 1
                {
                    let constraint_index = usize::from(any[0].0).min(failed.len() - 1);
                    problems.append(&mut failed[constraint_index].1);
                    return value(Form::Bottom, other.span);
                }
                // The problems of a record or list of the same kind are more precise than a list of all disjuncts.
                let same_kind = failed.iter().position(|(mine, _)| {
                    matches!(mine.form, Form::Record(_) | Form::List(..))
                        && mine.kind() == other.kind()
                });
                match same_kind {
                    Some(index) => problems.append(&mut failed[index].1),
                    None => {
                        let message = format!(
                            "expected {}, found {}",
                            disjunction.expected(),
                            other.expected()
                        );
                        problems.push(
                            Problem::new(other.span, message)
                                .related(disjunction.span, "the disjunction is here"),
                        );
                    }
                }
                value(Form::Bottom, other.span)
            }
            1 if !defaults_failed || !matches!(remaining[0].1.form, Form::Constraints(_)) => {
                remaining.swap_remove(0).1
            }
            _ => {
                remaining
                    .extend(defaults_failed.then(|| (true, value(Form::Bottom, disjunction.span))));
                value(Form::Disjunction(remaining), disjunction.span)
            }
        }
    }

    fn unify_records(
        &mut self,
        x: &Record,
        y: &Record,
        a: &ValueRef,
        b: &ValueRef,
        problems: &mut Vec<Problem>,
    ) -> ValueRef {
        let mut all = Record::default();
        all.closed.extend(x.closed.iter().chain(&y.closed).cloned());
        all.patterns
            .extend(x.patterns.iter().chain(&y.patterns).cloned());
        let mut labels: Vec<&String> = x.fields.keys().collect();
        labels.extend(
            y.fields
                .keys()
                .filter(|label| !x.fields.contains_key(*label)),
        );
        for label in labels {
            let field = match (x.fields.get(label), y.fields.get(label)) {
                (Some(mine), Some(their)) => FieldValue {
                    value: self.unify(&mine.value, &their.value, problems),
                    optional: mine.optional && their.optional,
                    span: their.span,
                },
                (Some(field), None) => self.check_field(label, field, y, problems),
                (None, Some(field)) => self.check_field(label, field, x, problems),
                (None, None) => continue,
            };
            all.fields.insert(label.clone(), field);
        }
        let given = if x.closed.is_empty() && !y.closed.is_empty() {
            a.span
        } else {
            b.span
        };
        value(Form::Record(all), given)
    }

    /// Checks a field that only one of two records has against the other's closedness and pattern constraints.
    fn check_field(
        &mut self,
        label: &str,
        field: &FieldValue,
        other: &Record,
        problems: &mut Vec<Problem>,
    ) -> FieldValue {
        let mut field = field.clone();
        let unknown = other.closed.iter().find(|closed| {
            !closed.labels.iter().any(|known| known == label)
                && !closed
                    .patterns
                    .iter()
                    .any(|pattern| pattern.is_match(label))
        });
        if let (Some(closed), false) = (unknown, field.optional) {
            let near = closed
                .labels
                .iter()
                .find(|known| is_near_miss(known, label));
            let message = match near {
                Some(near) => format!(
                    "{} has no field '{label}'; did you mean '{near}'?",
                    closed.definition
                ),
                None => format!("{} has no field '{label}'", closed.definition),
            };
            problems.push(
                Problem::new(field.span, message).related(closed.span, "the definition is closed"),
            );
            field.value = value(Form::Bottom, field.span);
            return field;
        }
        for (pattern, constraint_value) in &other.patterns {
            if pattern.is_match(label) {
                field.value = self.unify(constraint_value, &field.value, problems);
            }
        }
        field
    }
}

pub fn required_by(definition: Option<&str>) -> String {
    definition.map_or("required here".into(), |definition| {
        format!("required by {definition}")
    })
}

/// Whether two names differ by one letter added, removed or replaced, or by two adjacent letters swapped.
fn is_near_miss(a: &str, b: &str) -> bool {
    let (long, short) = if a.len() >= b.len() { (a, b) } else { (b, a) };
    let (long, short): (Vec<char>, Vec<char>) = (long.chars().collect(), short.chars().collect());
    let same = long.iter().zip(&short).take_while(|(x, y)| x == y).count();
    match long.len() - short.len() {
        0 => {
            let swapped =
                long.get(same) == short.get(same + 1) && long.get(same + 1) == short.get(same);
            let after = if swapped { same + 2 } else { same + 1 };
            long.get(after..) == short.get(after..)
        }
        1 => long[same + 1..] == short[same..],
        _ => false,
    }
}
