//! From text to a tree, with every place kept. A text with mistakes is read on behind each, field by field of the
//! outermost record, so that all of them are told at once.

use std::rc::Rc;

use indexmap::IndexMap;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use pest::Parser;

use crate::report::{Problem, Span};

#[derive(pest_derive::Parser)]
#[grammar = "grammar.pest"]
struct Grammar;

/// The longest text, in bytes: ten thousand lines are a tenth of it.
pub const MAX_TEXT_BYTES: usize = 4 << 20;
/// How deep brackets may stand in one another.
pub const MAX_NESTING: usize = 48;
/// After so many mistakes in form a text is read no further.
const MOST_MISTAKES: usize = 50;

/// A single value. Durations are whole microseconds, sizes bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Scalar {
    Null,
    Bool(bool),
    Int(i64),
    Float(f64),
    Text(Rc<str>),
    Duration(i64),
    Size(i64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Compare {
    AtLeast,
    AtMost,
    Above,
    Below,
    Differs,
    Matches,
    MatchesNot,
}

#[derive(Debug)]
pub struct Expr {
    pub at: Span,
    pub of: Of,
}

#[derive(Debug)]
pub enum Of {
    Record(Rc<Members>),
    List(Vec<Expr>, Option<Box<Expr>>),
    Scalar(Scalar),
    Bound(Compare, Scalar),
    Name(Vec<String>),
    /// All of them together (`&`).
    All(Vec<Expr>),
    /// One of them (`|`), marked ones by default.
    Any(Vec<(bool, Expr)>),
    Top,
}

#[derive(Debug)]
pub struct Field {
    pub at: Span,
    pub optional: bool,
    pub value: Expr,
}

#[derive(Debug, Default)]
pub struct Members {
    /// By name, in the order in which they stand; a name may stand several times.
    pub fields: IndexMap<String, Vec<Field>>,
    /// `[string]: ...` and `[=~"..."]: ...`
    pub patterns: Vec<(Expr, Expr)>,
    pub open: bool,
}

/// Reads a text; what could be read comes back beside the mistakes.
pub fn parse(file: usize, text: &str) -> (Members, Vec<Problem>) {
    let mut problems = Vec::new();
    if text.len() > MAX_TEXT_BYTES {
        let what = format!("the text is longer than {} MiB", MAX_TEXT_BYTES >> 20);
        return (
            Members::default(),
            vec![Problem::new(Span::new(file, 0, 0), what)],
        );
    }
    if let Some(at) = too_deep(text) {
        let what = format!("brackets stand more than {MAX_NESTING} deep");
        return (
            Members::default(),
            vec![Problem::new(Span::new(file, at, at + 1), what)],
        );
    }
    let mut text = text.to_owned();
    loop {
        match Grammar::parse(Rule::file, &text) {
            Ok(mut pairs) => {
                let whole = pairs
                    .next()
                    .map(|file| file.into_inner().collect::<Vec<_>>());
                let mut tree = Tree {
                    file,
                    problems: &mut problems,
                };
                let members = tree.members(whole.unwrap_or_default());
                return (members, problems);
            }
            Err(error) => {
                let at = match error.location {
                    InputLocation::Pos(at) | InputLocation::Span((at, _)) => at,
                };
                problems.push(mistake(file, &text, at, &error.variant));
                if problems.len() >= MOST_MISTAKES || !blank_out(&mut text, at) {
                    return (Members::default(), problems);
                }
            }
        }
    }
}

/// Where brackets first stand too deep; strings and comments are passed over.
fn too_deep(text: &str) -> Option<usize> {
    // `a: b: c: 1` stands as deep as it has names.
    let (mut depth, mut chain, mut last) = (0usize, 0usize, b' ');
    let mut bytes = text.bytes().enumerate().peekable();
    while let Some((at, byte)) = bytes.next() {
        match byte {
            b':' => chain += 1,
            b'\n' | b',' if last != b':' => chain = 0,
            _ => {}
        }
        if !byte.is_ascii_whitespace() {
            last = byte;
        }
        match byte {
            b'{' | b'[' | b'(' => depth += 1,
            b'}' | b']' | b')' => depth = depth.saturating_sub(1),
            b'"' => {
                while let Some((_, byte)) = bytes.next() {
                    match byte {
                        b'\\' => drop(bytes.next()),
                        b'"' | b'\n' => break,
                        _ => {}
                    }
                }
            }
            b'/' if bytes.peek().is_some_and(|(_, next)| *next == b'/') => {
                while bytes.next().is_some_and(|(_, byte)| byte != b'\n') {}
            }
            _ => {}
        }
        if depth + chain > MAX_NESTING {
            return Some(at);
        }
    }
    None
}

/// Takes the outermost field round `at` out of the text, without moving the rest; false if nothing is left of it.
fn blank_out(text: &mut String, at: usize) -> bool {
    let at = at.min(text.len());
    let begins = |from: usize| {
        let next = text.as_bytes().get(from).copied().unwrap_or(b'\n');
        next.is_ascii_alphabetic() || matches!(next, b'#' | b'"' | b'_')
    };
    let lines = || std::iter::once(0).chain(text.match_indices('\n').map(|(end, _)| end + 1));
    let from = lines()
        .take_while(|line| *line <= at)
        .filter(|line| begins(*line))
        .last()
        .unwrap_or(0);
    let to = lines()
        .find(|line| *line > at && begins(*line))
        .unwrap_or(text.len());
    if text.as_bytes()[from..to]
        .iter()
        .all(u8::is_ascii_whitespace)
    {
        return false;
    }
    let blank: String = text[from..to]
        .bytes()
        .map(|byte| if byte == b'\n' { '\n' } else { ' ' })
        .collect();
    text.replace_range(from..to, &blank);
    true
}

/// Words of CUE that this subset leaves out, by what stands where reading stopped.
const LEFT_OUT: [(&str, &str); 12] = [
    ("import", "imports"),
    ("let ", "'let'"),
    ("for ", "comprehensions ('for')"),
    ("if ", "comprehensions ('if')"),
    ("@", "attributes"),
    ("+", "arithmetic"),
    ("-", "arithmetic"),
    ("/", "arithmetic"),
    ("*", "arithmetic"),
    ("(", "calls of functions"),
    ("\"\"", "texts over several lines"),
    ("=", "aliases"),
];

fn mistake(file: usize, text: &str, at: usize, variant: &ErrorVariant<Rule>) -> Problem {
    let rest = &text[at.min(text.len())..];
    let span = Span::new(file, at, at + rest.chars().next().map_or(0, char::len_utf8));
    // Where a label was read already, what is left out stands before the place.
    let line = &text[text[..at.min(text.len())]
        .rfind('\n')
        .map_or(0, |end| end + 1)..];
    let left_out = LEFT_OUT.iter().find(|(word, _)| {
        rest.starts_with(word) || word.len() > 2 && line.trim_start().starts_with(word)
    });
    if let Some((_, what)) = left_out {
        return Problem::new(span, format!("{what} are left out of this subset of CUE"));
    }
    let ErrorVariant::ParsingError { positives, .. } = variant else {
        return Problem::new(span, "this can't be read".into());
    };
    let mut wanted: Vec<&str> = positives.iter().filter_map(|rule| words(*rule)).collect();
    wanted.sort_unstable();
    wanted.dedup();
    match wanted.as_slice() {
        [] => Problem::new(span, "this can't be read here".into()),
        wanted => Problem::new(span, format!("expected {}", wanted.join(", "))),
    }
}

fn words(rule: Rule) -> Option<&'static str> {
    Some(match rule {
        Rule::field | Rule::label | Rule::nested => "a field ('name: value')",
        Rule::expr | Rule::marked | Rule::all | Rule::literal | Rule::reference | Rule::bound => {
            "a value"
        }
        Rule::record => "'{'",
        Rule::list => "'['",
        Rule::mark => "':'",
        Rule::name => "a name",
        Rule::EOI => "the next field or the end",
        Rule::unit => "a unit (us, ms, s, min, h, d, B, KiB, MiB, GiB, kB, MB, GB)",
        _ => return None,
    })
}

/// Makes the tree; what reads well but means nothing is a problem too.
struct Tree<'a> {
    file: usize,
    problems: &'a mut Vec<Problem>,
}

impl Tree<'_> {
    fn span(&self, pair: &Pair<Rule>) -> Span {
        let span = pair.as_span();
        Span::new(
            self.file,
            span.start(),
            span.start() + span.as_str().trim_end().len(),
        )
    }

    fn members(&mut self, pairs: Vec<Pair<Rule>>) -> Members {
        let mut members = Members::default();
        for pair in pairs {
            match pair.as_rule() {
                Rule::field => {
                    let (label, field) = self.field(pair);
                    members.fields.entry(label).or_default().push(field);
                }
                Rule::open => members.open = true,
                Rule::pattern => {
                    let mut inner = pair.into_inner();
                    let label = inner.next().map(|label| self.expr(label));
                    let value = inner.next().map(|value| self.expr(value));
                    members.patterns.extend(label.zip(value));
                }
                _ => {}
            }
        }
        members
    }

    fn field(&mut self, pair: Pair<Rule>) -> (String, Field) {
        let at = self.span(&pair);
        let mut label = String::new();
        let mut field = Field {
            at,
            optional: false,
            value: Expr { at, of: Of::Top },
        };
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::label => {
                    field.at = self.span(&part);
                    let text = part.as_str().trim();
                    label = if text.starts_with('"') {
                        self.text(text, field.at)
                    } else {
                        text.into()
                    };
                }
                Rule::mark => field.optional = part.as_str() == "?",
                _ => field.value = self.expr(part),
            }
        }
        (label, field)
    }

    fn text(&mut self, quoted: &str, at: Span) -> String {
        if quoted.contains("\\(") {
            let what = "interpolations ('\\(') are left out of this subset of CUE";
            self.problems.push(Problem::new(at, what.into()));
            return String::new();
        }
        serde_json::from_str(quoted).unwrap_or_else(|_| {
            self.problems.push(Problem::new(
                at,
                "an escape here is none that JSON knows".into(),
            ));
            String::new()
        })
    }

    fn expr(&mut self, pair: Pair<Rule>) -> Expr {
        let at = self.span(&pair);
        let of = match pair.as_rule() {
            Rule::expr => {
                let mut any: Vec<(bool, Expr)> = Vec::new();
                for marked in pair.into_inner() {
                    let mut inner = marked.into_inner().peekable();
                    let star = inner
                        .next_if(|first| first.as_rule() == Rule::star)
                        .is_some();
                    any.extend(inner.next().map(|all| (star, self.expr(all))));
                }
                match any.len() {
                    1 => return any.swap_remove(0).1,
                    _ => Of::Any(any),
                }
            }
            Rule::all => {
                let mut all: Vec<Expr> = pair.into_inner().map(|one| self.expr(one)).collect();
                match all.len() {
                    1 => return all.swap_remove(0),
                    _ => Of::All(all),
                }
            }
            Rule::nested => {
                let members = self.members(pair.into_inner().collect());
                Of::Record(Rc::new(members))
            }
            Rule::record => Of::Record(Rc::new(self.members(pair.into_inner().collect()))),
            Rule::list => {
                let (mut items, mut rest) = (Vec::new(), None);
                for item in pair.into_inner() {
                    let at = self.span(&item);
                    if rest.is_some() {
                        self.problems
                            .push(Problem::new(at, "nothing may follow '...'".into()));
                    } else if item.as_rule() == Rule::rest {
                        let of = item.into_inner().next().map(|of| self.expr(of));
                        rest = Some(Box::new(of.unwrap_or(Expr { at, of: Of::Top })));
                    } else {
                        items.push(self.expr(item));
                    }
                }
                Of::List(items, rest)
            }
            Rule::bound => {
                let mut inner = pair.into_inner();
                let compare = match inner.next().map_or("", |sign| sign.as_str()) {
                    ">=" => Compare::AtLeast,
                    "<=" => Compare::AtMost,
                    ">" => Compare::Above,
                    "<" => Compare::Below,
                    "!=" => Compare::Differs,
                    "=~" => Compare::Matches,
                    _ => Compare::MatchesNot,
                };
                inner
                    .next()
                    .map_or(Of::Top, |literal| Of::Bound(compare, self.scalar(literal)))
            }
            Rule::literal => Of::Scalar(self.scalar(pair)),
            Rule::reference => match pair.as_str() {
                "_" => Of::Top,
                name => Of::Name(name.split('.').map(str::to_owned).collect()),
            },
            _ => Of::Top,
        };
        Expr { at, of }
    }

    fn scalar(&mut self, literal: Pair<Rule>) -> Scalar {
        let (at, Some(inner)) = (self.span(&literal), literal.into_inner().next()) else {
            return Scalar::Null;
        };
        let digits = inner.as_str().replace('_', "");
        let read = match inner.as_rule() {
            Rule::raw => {
                let text = inner.as_str();
                Some(Scalar::Text(text[2..text.len() - 2].into()))
            }
            Rule::string => Some(Scalar::Text(self.text(inner.as_str(), at).into())),
            Rule::int => digits.parse().ok().map(Scalar::Int),
            Rule::float => digits
                .parse()
                .ok()
                .filter(|float: &f64| float.is_finite())
                .map(Scalar::Float),
            Rule::quantity => quantity(&digits),
            _ => Some(match inner.as_str() {
                "true" => Scalar::Bool(true),
                "false" => Scalar::Bool(false),
                _ => Scalar::Null,
            }),
        };
        read.unwrap_or_else(|| {
            self.problems
                .push(Problem::new(at, "this number is too large".into()));
            Scalar::Null
        })
    }
}

fn quantity(text: &str) -> Option<Scalar> {
    let unit_at = text.find(|c: char| c.is_ascii_alphabetic())?;
    let (number, unit) = text.split_at(unit_at);
    let (factor, time) = match unit {
        "us" => (1, true),
        "ms" => (1_000, true),
        "s" => (1_000_000, true),
        "min" => (60_000_000, true),
        "h" => (3_600_000_000, true),
        "d" => (86_400_000_000, true),
        "B" => (1, false),
        "kB" => (1_000, false),
        "MB" => (1_000_000, false),
        "GB" => (1_000_000_000, false),
        "KiB" => (1 << 10, false),
        "MiB" => (1 << 20, false),
        "GiB" => (1i64 << 30, false),
        _ => return None,
    };
    let all = match number.parse::<i64>() {
        Ok(whole) => whole.checked_mul(factor)?,
        Err(_) => {
            let all = number.parse::<f64>().ok()? * factor as f64;
            (all.abs() < i64::MAX as f64 / 2.0).then_some(all.round() as i64)?
        }
    };
    Some(if time {
        Scalar::Duration(all)
    } else {
        Scalar::Size(all)
    })
}
