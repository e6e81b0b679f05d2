//! What an expression means: a single value, what a value must be, one of several, a record, a list. And how two
//! of them become one (unification), which is the same in whatever order.

use std::fmt;
use std::rc::Rc;

use indexmap::IndexMap;
use regex::Regex;

use crate::report::{Problem, Span};
use crate::syntax::{Compare, Scalar};

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
pub enum Must {
    Be(Kind),
    Compare(Compare, Scalar),
    Match(Rc<Regex>, bool),
}

/// One demand, where it stands, and the definition that makes it.
#[derive(Clone, Debug)]
pub struct Demand {
    pub must: Must,
    pub at: Span,
    pub by: Option<Rc<str>>,
}

#[derive(Clone, Debug)]
pub struct Slot {
    pub value: V,
    pub optional: bool,
    pub at: Span,
}

/// A definition's record takes no field that it does not name.
#[derive(Clone, Debug)]
pub struct Closed {
    pub by: Rc<str>,
    pub at: Span,
    pub labels: Rc<[String]>,
    pub patterns: Rc<[Rc<Regex>]>,
}

#[derive(Clone, Debug, Default)]
pub struct Record {
    pub fields: IndexMap<String, Slot>,
    pub patterns: Vec<(Rc<Regex>, V)>,
    pub closed: Vec<Closed>,
}

#[derive(Clone, Debug)]
pub enum Form {
    Scalar(Scalar),
    /// All of these; none: anything.
    Demands(Vec<Demand>),
    Any(Vec<(bool, V)>),
    Record(Record),
    List(Vec<V>, Option<V>),
    /// Already told as a problem; nothing more is said about it.
    Bad,
}

#[derive(Clone, Debug)]
pub struct Value {
    pub form: Form,
    pub at: Span,
}

pub type V = Rc<Value>;

pub fn value(form: Form, at: Span) -> V {
    Rc::new(Value { form, at })
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
            let fits = units.iter().find(|(factor, _)| of != 0 && of % factor == 0);
            let (factor, unit) = fits.unwrap_or(&units[units.len() - 1]);
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

    pub fn words(self) -> &'static str {
        match self {
            Kind::Null => "null",
            Kind::Bool => "true or false",
            Kind::Int => "a whole number",
            Kind::Number => "a number",
            Kind::Text => "a text in quotes",
            Kind::Duration => "a duration such as 30s",
            Kind::Size => "a size such as 16KiB",
            Kind::Record => "a record",
            Kind::List => "a list",
        }
    }

    fn takes(self, other: Kind) -> bool {
        self == other || self == Kind::Number && other == Kind::Int
    }
}

impl Demand {
    fn kind(&self) -> Option<Kind> {
        match &self.must {
            Must::Be(kind) => Some(*kind),
            // A bound that is a whole number may bound any number.
            Must::Compare(_, Scalar::Int(_) | Scalar::Float(_)) => Some(Kind::Number),
            Must::Compare(Compare::Differs, _) => None,
            Must::Compare(_, bound) => Some(bound.kind()),
            Must::Match(..) => Some(Kind::Text),
        }
    }

    fn holds(&self, of: &Scalar) -> bool {
        use std::cmp::Ordering::{Equal, Greater, Less};
        match &self.must {
            Must::Be(kind) => kind.takes(of.kind()),
            Must::Match(pattern, wanted) => {
                matches!(of, Scalar::Text(text) if pattern.is_match(text) == *wanted)
            }
            Must::Compare(compare, bound) => match (compare, of.order(bound)) {
                (Compare::Differs, order) => order != Some(Equal),
                (Compare::AtLeast, order) => matches!(order, Some(Greater | Equal)),
                (Compare::AtMost, order) => matches!(order, Some(Less | Equal)),
                (Compare::Above, order) => order == Some(Greater),
                (Compare::Below, order) => order == Some(Less),
                _ => false,
            },
        }
    }
}

impl fmt::Display for Demand {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.must {
            Must::Be(kind) => f.write_str(kind.words()),
            Must::Match(pattern, true) => write!(f, "a text that matches {:?}", pattern.as_str()),
            Must::Match(pattern, false) => {
                write!(f, "a text that does not match {:?}", pattern.as_str())
            }
            Must::Compare(compare, bound) => {
                let words = match compare {
                    Compare::AtLeast => "at least",
                    Compare::AtMost => "at most",
                    Compare::Above => "above",
                    Compare::Below => "below",
                    _ => "other than",
                };
                write!(f, "{words} {bound}")
            }
        }
    }
}

impl Value {
    pub fn kind(&self) -> Option<Kind> {
        match &self.form {
            Form::Scalar(of) => Some(of.kind()),
            Form::Demands(demands) => demands.iter().find_map(Demand::kind),
            Form::Record(_) => Some(Kind::Record),
            Form::List(..) => Some(Kind::List),
            Form::Any(_) | Form::Bad => None,
        }
    }

    /// In words: what is wanted here.
    pub fn wanted(&self) -> String {
        match &self.form {
            Form::Scalar(of) => of.to_string(),
            Form::Demands(demands) if demands.is_empty() => "a value".into(),
            Form::Demands(demands) => {
                // The kind says itself where a bound of it is told.
                let bounded = demands.len() > 1;
                let told = demands.iter().filter(|of| {
                    !bounded
                        || !matches!(of.must, Must::Be(Kind::Duration | Kind::Size | Kind::Text))
                });
                told.map(Demand::to_string)
                    .collect::<Vec<_>>()
                    .join(" and ")
            }
            Form::Any(any) => {
                let some = any.iter().filter(|(_, one)| !matches!(one.form, Form::Bad));
                some.map(|(_, one)| one.wanted())
                    .collect::<Vec<_>>()
                    .join(" or ")
            }
            Form::Record(_) => Kind::Record.words().into(),
            Form::List(..) => Kind::List.words().into(),
            Form::Bad => "a value".into(),
        }
    }
}

/// So much work may a reading make: the steps of unification that a text of ten thousand lines takes, a hundredfold.
const MOST_STEPS: usize = 4_000_000;
/// The most ways that may be open for one value.
const MOST_WAYS: usize = 64;

/// Makes two values one. Counts its steps, so that no text takes long.
#[derive(Default)]
pub struct Unifier {
    steps: usize,
    pub tired: bool,
}

impl Unifier {
    /// Counts one step; false once there were too many.
    pub fn step(&mut self) -> bool {
        self.steps += 1;
        self.tired |= self.steps > MOST_STEPS;
        !self.tired
    }

    pub fn unify(&mut self, a: &V, b: &V, problems: &mut Vec<Problem>) -> V {
        if Rc::ptr_eq(a, b) || !self.step() {
            return Rc::clone(a);
        }
        match (&a.form, &b.form) {
            (Form::Bad, _) => Rc::clone(a),
            (_, Form::Bad) => Rc::clone(b),
            (Form::Any(any), _) => self.any(any, a, b, problems),
            (_, Form::Any(any)) => self.any(any, b, a, problems),
            (Form::Demands(demands), _) if demands.is_empty() => Rc::clone(b),
            (_, Form::Demands(demands)) if demands.is_empty() => Rc::clone(a),
            (Form::Scalar(x), Form::Scalar(y)) => {
                if x.order(y) == Some(std::cmp::Ordering::Equal) {
                    return Rc::clone(if x.kind() == Kind::Number { b } else { a });
                }
                let what = format!("this is {y}, and {x} elsewhere");
                problems.push(Problem::new(b.at, what).beside(a.at, format!("{x} here")));
                value(Form::Bad, b.at)
            }
            (Form::Scalar(of), Form::Demands(demands)) => self.check(of, a, demands, problems),
            (Form::Demands(demands), Form::Scalar(of)) => self.check(of, b, demands, problems),
            (Form::Demands(x), Form::Demands(y)) => {
                let kinds = (a.kind(), b.kind());
                if let (Some(x), Some(y)) = kinds {
                    if !x.takes(y) && !y.takes(x) {
                        return self.conflict(a, b, problems);
                    }
                }
                let mut all = x.clone();
                all.extend(
                    y.iter()
                        .filter(|of| !x.iter().any(|known| known.at == of.at))
                        .cloned(),
                );
                value(Form::Demands(all), a.at)
            }
            (Form::Record(x), Form::Record(y)) => self.records(x, y, a, b, problems),
            (Form::List(x, x_rest), Form::List(y, y_rest)) => {
                let mut items = Vec::with_capacity(x.len().max(y.len()));
                for at in 0..x.len().max(y.len()) {
                    match (x.get(at).or(x_rest.as_ref()), y.get(at).or(y_rest.as_ref())) {
                        (Some(x), Some(y)) => items.push(self.unify(x, y, problems)),
                        _ => {
                            let what =
                                format!("a list of {}, and of {} elsewhere", y.len(), x.len());
                            problems.push(Problem::new(b.at, what).beside(a.at, "the other"));
                            return value(Form::Bad, b.at);
                        }
                    }
                }
                let rest = match (x_rest, y_rest) {
                    (Some(x), Some(y)) => Some(self.unify(x, y, problems)),
                    _ => None,
                };
                value(
                    Form::List(items, rest),
                    if y_rest.is_none() { b.at } else { a.at },
                )
            }
            _ => self.conflict(a, b, problems),
        }
    }

    /// Two of different kinds: the one that is said is wrong, by the other's wish.
    fn conflict(&mut self, a: &V, b: &V, problems: &mut Vec<Problem>) -> V {
        let said = |of: &V| !matches!(of.form, Form::Demands(_));
        let (said, wished) = if said(a) && !said(b) { (a, b) } else { (b, a) };
        let by = match &wished.form {
            Form::Demands(demands) => demands.iter().find_map(|demand| demand.by.clone()),
            Form::Record(record) => record.closed.first().map(|closed| Rc::clone(&closed.by)),
            _ => None,
        };
        let what = format!("{} is wanted, this is {}", wished.wanted(), said.wanted());
        problems.push(Problem::new(said.at, what).beside(wished.at, asked_by(by.as_deref())));
        value(Form::Bad, said.at)
    }

    fn check(
        &mut self,
        of: &Scalar,
        said: &V,
        demands: &[Demand],
        problems: &mut Vec<Problem>,
    ) -> V {
        // Of the wrong kind, it breaks every bound: that is said once.
        let wrong = demands
            .iter()
            .find(|demand| matches!(demand.must, Must::Be(_)) && !demand.holds(of));
        match wrong.or_else(|| demands.iter().find(|demand| !demand.holds(of))) {
            None => Rc::clone(said),
            Some(demand) => {
                let what = format!("{demand} is wanted, this is {of}");
                problems.push(
                    Problem::new(said.at, what).beside(demand.at, asked_by(demand.by.as_deref())),
                );
                value(Form::Bad, said.at)
            }
        }
    }

    /// One of several with another value: the ways that stay open. Where all that are marked fail, that is kept as
    /// a marked way that is none: in another order of joining a later mark would else become the default.
    fn any(&mut self, any: &[(bool, V)], whole: &V, other: &V, problems: &mut Vec<Problem>) -> V {
        let marked = |ways: &[(bool, V)]| ways.iter().any(|(star, _)| *star);
        let theirs = match &other.form {
            Form::Any(ways) => ways.clone(),
            _ => vec![(false, Rc::clone(other))],
        };
        let (my_marks, their_marks) = (marked(any), marked(&theirs));
        let mut open: Vec<(bool, V)> = Vec::new();
        let mut failed: Vec<(V, Vec<Problem>)> = Vec::new();
        let mut none = false;
        for (star, mine) in any {
            for (their_star, their) in &theirs {
                let mut tried = Vec::new();
                let one = self.unify(mine, their, &mut tried);
                if matches!(one.form, Form::Bad) && tried.is_empty() {
                    none = true;
                } else if !tried.is_empty() {
                    failed.push((Rc::clone(mine), tried));
                } else if open.len() >= MOST_WAYS {
                    let what = format!("more than {MOST_WAYS} ways are open here");
                    problems.push(Problem::new(other.at, what));
                    return value(Form::Bad, other.at);
                } else {
                    let star = (*star || !my_marks) && (*their_star || !their_marks);
                    open.push((star && (my_marks || their_marks), one));
                }
            }
        }
        if let (Form::Scalar(_), false) = (&other.form, open.is_empty()) {
            // What is said is said, also where it is what it would be by default.
            return Rc::clone(other);
        }
        let spent = (my_marks || their_marks) && !open.iter().any(|(star, _)| *star);
        match open.len() {
            0 if none && failed.is_empty() => value(Form::Bad, other.at),
            0 => {
                // A default is one of what may be there: the other way says what that is.
                if any.len() == 2
                    && any.iter().filter(|(star, _)| *star).count() == 1
                    && theirs.len() == 1
                {
                    let beside = usize::from(any[0].0).min(failed.len() - 1);
                    problems.append(&mut failed[beside].1);
                    return value(Form::Bad, other.at);
                }
                // The way of the same kind says more than all of them together.
                let alike = failed.iter().position(|(mine, _)| {
                    matches!(mine.form, Form::Record(_) | Form::List(..))
                        && mine.kind() == other.kind()
                });
                match alike {
                    Some(at) => problems.append(&mut failed[at].1),
                    None => {
                        let what =
                            format!("{} is wanted, this is {}", whole.wanted(), other.wanted());
                        problems.push(
                            Problem::new(other.at, what).beside(whole.at, "these are the choices"),
                        );
                    }
                }
                value(Form::Bad, other.at)
            }
            1 if !spent || !matches!(open[0].1.form, Form::Demands(_)) => open.swap_remove(0).1,
            _ => {
                open.extend(spent.then(|| (true, value(Form::Bad, whole.at))));
                value(Form::Any(open), whole.at)
            }
        }
    }

    fn records(&mut self, x: &Record, y: &Record, a: &V, b: &V, problems: &mut Vec<Problem>) -> V {
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
            let slot = match (x.fields.get(label), y.fields.get(label)) {
                (Some(mine), Some(their)) => Slot {
                    value: self.unify(&mine.value, &their.value, problems),
                    optional: mine.optional && their.optional,
                    at: their.at,
                },
                (Some(slot), None) => self.fits(label, slot, y, problems),
                (None, Some(slot)) => self.fits(label, slot, x, problems),
                (None, None) => continue,
            };
            all.fields.insert(label.clone(), slot);
        }
        let said = if x.closed.is_empty() && !y.closed.is_empty() {
            a.at
        } else {
            b.at
        };
        value(Form::Record(all), said)
    }

    /// A field that only one of two records has, as the other's patterns and closedness have it.
    fn fits(
        &mut self,
        label: &str,
        slot: &Slot,
        other: &Record,
        problems: &mut Vec<Problem>,
    ) -> Slot {
        let mut slot = slot.clone();
        let unknown = other.closed.iter().find(|closed| {
            !closed.labels.iter().any(|known| known == label)
                && !closed
                    .patterns
                    .iter()
                    .any(|pattern| pattern.is_match(label))
        });
        if let (Some(closed), false) = (unknown, slot.optional) {
            let near = closed.labels.iter().find(|known| alike(known, label));
            let what = match near {
                Some(near) => format!(
                    "{} has no field '{label}'; '{near}' may be meant",
                    closed.by
                ),
                None => format!("{} has no field '{label}'", closed.by),
            };
            problems.push(
                Problem::new(slot.at, what)
                    .beside(closed.at, "this definition names all its fields"),
            );
            slot.value = value(Form::Bad, slot.at);
            return slot;
        }
        for (pattern, wish) in &other.patterns {
            if pattern.is_match(label) {
                slot.value = self.unify(wish, &slot.value, problems);
            }
        }
        slot
    }
}

pub fn asked_by(by: Option<&str>) -> String {
    by.map_or("asked for here".into(), |by| format!("asked for by {by}"))
}

/// Whether two names differ by one letter too many, too few or other, or by two that changed places.
fn alike(a: &str, b: &str) -> bool {
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
