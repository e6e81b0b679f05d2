//! From trees to one value: names are looked up outwards from where they stand, and each is worked out once.

use std::collections::HashMap;
use std::rc::Rc;

use regex::{Regex, RegexBuilder};

use crate::report::{Problem, Span};
use crate::syntax::{Compare, Expr, Members, Of, Scalar};
use crate::value::{value, Closed, Demand, Form, Kind, Must, Record, Slot, Unifier, V};

/// A compiled pattern takes up no more, in bytes.
const PATTERN_SIZE: usize = 1 << 18;
/// How deep definitions may stand in one another.
const DEEPEST: usize = 64;

/// The records round a place, the innermost last, and the definition that it belongs to.
#[derive(Clone)]
struct Scope<'a> {
    round: Vec<&'a Members>,
    by: Option<Rc<str>>,
}

pub struct Evaluator<'a> {
    pub unifier: Unifier,
    pub problems: Vec<Problem>,
    /// By the record and the name in it; as many as the texts have fields.
    known: HashMap<(*const Members, &'a str), V>,
    under_way: Vec<(*const Members, &'a str)>,
    patterns: HashMap<Rc<str>, Option<Rc<Regex>>>,
}

impl<'a> Evaluator<'a> {
    pub fn new(problems: Vec<Problem>) -> Self {
        Evaluator {
            unifier: Unifier::default(),
            problems,
            known: HashMap::new(),
            under_way: Vec::new(),
            patterns: HashMap::new(),
        }
    }

    /// The value of the text `own` under the definition `name` of the text `schema`.
    pub fn whole(&mut self, schema: &'a Members, own: &'a Members, name: &'a str, at: Span) -> V {
        let wish = self.named(
            &Scope {
                round: vec![schema],
                by: None,
            },
            &[name.to_owned()],
            at,
        );
        let scope = Scope {
            round: vec![schema, own],
            by: None,
        };
        let said = self.record(own, &scope, at);
        // Definitions of the text are for its own use.
        let said = match &said.form {
            Form::Record(record) => {
                let mut record = record.clone();
                record.fields.retain(|label, _| !label.starts_with('#'));
                value(Form::Record(record), at)
            }
            _ => said,
        };
        self.unifier.unify(&wish, &said, &mut self.problems)
    }

    fn eval(&mut self, expr: &'a Expr, scope: &Scope<'a>) -> V {
        if !self.unifier.step() {
            return value(Form::Bad, expr.at);
        }
        let demand = |must| {
            value(
                Form::Demands(vec![Demand {
                    must,
                    at: expr.at,
                    by: scope.by.clone(),
                }]),
                expr.at,
            )
        };
        match &expr.of {
            Of::Top => value(Form::Demands(Vec::new()), expr.at),
            Of::Scalar(of) => value(Form::Scalar(of.clone()), expr.at),
            Of::Bound(compare @ (Compare::Matches | Compare::MatchesNot), Scalar::Text(text)) => {
                match self.pattern(text, expr.at) {
                    Some(pattern) => demand(Must::Match(pattern, *compare == Compare::Matches)),
                    None => value(Form::Bad, expr.at),
                }
            }
            Of::Bound(Compare::Matches | Compare::MatchesNot, _) => {
                self.problem(expr.at, "a pattern is a text in quotes".into())
            }
            Of::Bound(compare, bound) => demand(Must::Compare(*compare, bound.clone())),
            Of::Name(path) => match (path.as_slice(), self.holder(scope, &path[0])) {
                ([one], None) if Kind::named(one).is_some() => {
                    demand(Must::Be(Kind::named(one).unwrap_or(Kind::Null)))
                }
                _ => self.named(scope, path, expr.at),
            },
            Of::All(all) => {
                let mut whole = value(Form::Demands(Vec::new()), expr.at);
                for one in all {
                    let one = self.eval(one, scope);
                    whole = self.unifier.unify(&whole, &one, &mut self.problems);
                }
                whole
            }
            Of::Any(any) => {
                let ways = any
                    .iter()
                    .map(|(star, one)| (*star, self.eval(one, scope)))
                    .collect();
                value(Form::Any(ways), expr.at)
            }
            Of::List(items, rest) => {
                let items = items.iter().map(|item| self.eval(item, scope)).collect();
                let rest = rest.as_deref().map(|rest| self.eval(rest, scope));
                value(Form::List(items, rest), expr.at)
            }
            Of::Record(members) => {
                let mut round = scope.round.clone();
                round.push(members);
                self.record(
                    members,
                    &Scope {
                        round,
                        by: scope.by.clone(),
                    },
                    expr.at,
                )
            }
        }
    }

    fn problem(&mut self, at: Span, what: String) -> V {
        self.problems.push(Problem::new(at, what));
        value(Form::Bad, at)
    }

    fn pattern(&mut self, text: &Rc<str>, at: Span) -> Option<Rc<Regex>> {
        if let Some(known) = self.patterns.get(text) {
            return known.clone();
        }
        let made = RegexBuilder::new(text).size_limit(PATTERN_SIZE).build();
        let made = made.map(Rc::new).map_err(|_| {
            let what = format!("{text:?} is no pattern, or one too large");
            self.problems.push(Problem::new(at, what));
        });
        self.patterns.insert(Rc::clone(text), made.clone().ok());
        made.ok()
    }

    /// The innermost record round a place that has the name, and its depth.
    fn holder(&self, scope: &Scope<'a>, name: &str) -> Option<usize> {
        scope
            .round
            .iter()
            .rposition(|members| members.fields.contains_key(name))
    }

    fn named(&mut self, scope: &Scope<'a>, path: &[String], at: Span) -> V {
        let Some(depth) = self.holder(scope, &path[0]) else {
            return self.problem(at, format!("nothing is named '{}' here", path[0]));
        };
        let (holder, round) = (scope.round[depth], scope.round[..=depth].to_vec());
        let Some((label, _)) = holder.fields.get_key_value(&path[0]) else {
            return value(Form::Bad, at);
        };
        let key = (std::ptr::from_ref(holder), label.as_str());
        if self.under_way.contains(&key) || self.under_way.len() > DEEPEST {
            return self.problem(
                at,
                format!("'{label}' goes back to itself, or stands too deep"),
            );
        }
        let whole = match self.known.get(&key) {
            Some(known) => Rc::clone(known),
            None => {
                self.under_way.push(key);
                // The schema's definitions close their records and are told by name; a text's own are only a way
                // to write a thing once. Other names leave a demand whose it is.
                let defines = label.starts_with('#') && round.len() == 1;
                let by = if defines {
                    Some(label.as_str().into())
                } else {
                    scope.by.clone()
                };
                let found = self.field(holder, label, &Scope { round, by });
                self.under_way.pop();
                self.known.insert(key, Rc::clone(&found));
                found
            }
        };
        path[1..].iter().fold(whole, |of, step| match &of.form {
            Form::Record(record) if record.fields.contains_key(step) => {
                Rc::clone(&record.fields[step].value)
            }
            Form::Bad => of,
            _ => self.problem(at, format!("'{}' has no field '{step}'", path[0])),
        })
    }

    /// All that a record says of one of its fields, as one.
    fn field(&mut self, members: &'a Members, label: &str, scope: &Scope<'a>) -> V {
        let said = members.fields.get(label).map_or(&[][..], Vec::as_slice);
        let all: Vec<V> = said
            .iter()
            .map(|field| self.eval(&field.value, scope))
            .collect();
        let first = all
            .first()
            .map_or_else(|| value(Form::Bad, Span::new(0, 0, 0)), Rc::clone);
        all.iter().skip(1).fold(first, |whole, one| {
            self.unifier.unify(&whole, one, &mut self.problems)
        })
    }

    fn record(&mut self, members: &'a Members, scope: &Scope<'a>, at: Span) -> V {
        let mut record = Record::default();
        for (label, wish) in &members.patterns {
            let pattern = match &label.of {
                Of::Name(path) if path.len() == 1 && path[0] == "string" => {
                    self.pattern(&"".into(), label.at)
                }
                Of::Bound(Compare::Matches, Scalar::Text(text)) => self.pattern(text, label.at),
                _ => {
                    self.problem(
                        label.at,
                        "a field's pattern is [string] or [=~\"...\"]".into(),
                    );
                    None
                }
            };
            let wish = self.eval(wish, scope);
            record
                .patterns
                .extend(pattern.map(|pattern| (pattern, wish)));
        }
        for (label, said) in &members.fields {
            let mut of = self.named(scope, std::slice::from_ref(label), said[0].at);
            for (pattern, wish) in &record.patterns {
                // A definition beside the fields is none of them.
                if !label.starts_with('#') && pattern.is_match(label) {
                    of = self.unifier.unify(wish, &of, &mut self.problems);
                }
            }
            let optional = said.iter().all(|field| field.optional);
            record.fields.insert(
                label.clone(),
                Slot {
                    value: of,
                    optional,
                    at: said[0].at,
                },
            );
        }
        if let (Some(by), false) = (&scope.by, members.open) {
            let labels = record.fields.keys().cloned().collect();
            let patterns = record
                .patterns
                .iter()
                .map(|(pattern, _)| Rc::clone(pattern))
                .collect();
            record.closed.push(Closed {
                by: Rc::clone(by),
                at,
                labels,
                patterns,
            });
        }
        value(Form::Record(record), at)
    }
}
