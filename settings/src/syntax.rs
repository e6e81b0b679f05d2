//! Parses a text to a tree that keeps the span of every node. After a syntax error the parser blanks out the outermost
//! field that contains it and parses again, so that all errors are reported at once.

use std::rc::Rc;

use indexmap::IndexMap;
use pest::error::{ErrorVariant, InputLocation};
use pest::iterators::Pair;
use pest::Parser;

use crate::report::{Problem, Span};

#[derive(pest_derive::Parser)]
#[grammar = "grammar.pest"]
struct Grammar;

/// The longest text that is read, in bytes. A text of ten thousand lines has a tenth of that.
pub const MAX_TEXT_BYTES: usize = 4 << 20;
/// How deep brackets and labels may be nested.
pub const MAX_NESTING: usize = 48;
/// The parser stops after so many syntax errors.
const MAX_SYNTAX_ERRORS: usize = 50;

/// A concrete value that is neither a list nor a record. Durations are whole microseconds, sizes are bytes.
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
pub enum BoundOp {
    AtLeast,
    AtMost,
    Above,
    Below,
    NotEqual,
    Matches,
    DoesNotMatch,
}

#[derive(Debug)]
pub struct Expr {
    pub span: Span,
    pub kind: ExprKind,
}

#[derive(Debug)]
pub enum ExprKind {
    Record(Rc<RecordExpr>),
    List(Vec<Expr>, Option<Box<Expr>>),
    Scalar(Scalar),
    Bound(BoundOp, Scalar),
    Reference(Vec<String>),
    /// The unification of all operands (`&`).
    Unification(Vec<Expr>),
    /// A disjunction (`|`). The flag marks the defaults (`*`).
    Disjunction(Vec<(bool, Expr)>),
    Top,
}

#[derive(Debug)]
pub struct Field {
    pub span: Span,
    pub optional: bool,
    pub value: Expr,
}

#[derive(Debug, Default)]
pub struct RecordExpr {
    /// The fields by label, in the order of the text. A label may occur several times.
    pub fields: IndexMap<String, Vec<Field>>,
    /// Pattern constraints: `[string]: ...` and `[=~"..."]: ...`
    pub patterns: Vec<(Expr, Expr)>,
    pub open: bool,
}

/// Parses a text. Returns the fields that could be parsed, and all syntax errors.
pub fn parse(file: usize, text: &str) -> (RecordExpr, Vec<Problem>) {
    let mut problems = Vec::new();
    if text.len() > MAX_TEXT_BYTES {
        let message = format!(
            "the text has {} bytes, more than the maximum of {MAX_TEXT_BYTES}",
            text.len()
        );
        return (
            RecordExpr::default(),
            vec![Problem::new(Span::new(file, 0, 0), message)],
        );
    }
    if let Some(offset) = first_excess_nesting(text) {
        let message = format!("brackets and labels are nested more than {MAX_NESTING} deep");
        return (
            RecordExpr::default(),
            vec![Problem::new(Span::new(file, offset, offset + 1), message)],
        );
    }
    let mut text = text.to_owned();
    loop {
        match Grammar::parse(Rule::file, &text) {
            Ok(mut pairs) => {
                let whole = pairs
                    .next()
                    .map(|file| file.into_inner().collect::<Vec<_>>());
                let mut tree = TreeBuilder {
                    file,
                    problems: &mut problems,
                };
                let record = tree.record(whole.unwrap_or_default());
                return (record, problems);
            }
            Err(error) => {
                let offset = match error.location {
                    InputLocation::Pos(offset) | InputLocation::Span((offset, _)) => offset,
                };
                problems.push(syntax_error(file, &text, offset, &error.variant));
                if problems.len() >= MAX_SYNTAX_ERRORS || !blank_out_field(&mut text, offset) {
                    return (RecordExpr::default(), problems);
                }
            }
        }
    }
}

/// The offset at which the nesting first exceeds [`MAX_NESTING`]. Brackets in strings and comments don't count.
fn first_excess_nesting(text: &str) -> Option<usize> {
    // Each label of `a: b: c: 1` is a level of nesting.
    let (mut depth, mut chain, mut last) = (0usize, 0usize, b' ');
    let mut bytes = text.bytes().enumerate().peekable();
    while let Some((offset, byte)) = bytes.next() {
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
            return Some(offset);
        }
    }
    None
}

/// Replaces the outermost field that contains `offset` by blanks, so that all other offsets stay valid. Returns false
/// if that field is blank already.
fn blank_out_field(text: &mut String, offset: usize) -> bool {
    let offset = offset.min(text.len());
    let begins = |from: usize| {
        let next = text.as_bytes().get(from).copied().unwrap_or(b'\n');
        next.is_ascii_alphabetic() || matches!(next, b'#' | b'"' | b'_')
    };
    let lines = || std::iter::once(0).chain(text.match_indices('\n').map(|(end, _)| end + 1));
    let from = lines()
        .take_while(|line| *line <= offset)
        .filter(|line| begins(*line))
        .last()
        .unwrap_or(0);
    let to = lines()
        .find(|line| *line > offset && begins(*line))
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

/// Features of CUE that this subset doesn't support, by the text at which the parser stopped.
const UNSUPPORTED: [(&str, &str); 12] = [
    ("import", "imports"),
    ("let ", "'let'"),
    ("for ", "comprehensions ('for')"),
    ("if ", "comprehensions ('if')"),
    ("@", "attributes"),
    ("+", "arithmetic"),
    ("-", "arithmetic"),
    ("/", "arithmetic"),
    ("*", "arithmetic"),
    ("(", "function calls"),
    ("\"\"", "multi-line strings"),
    ("=", "aliases"),
];

fn syntax_error(file: usize, text: &str, offset: usize, variant: &ErrorVariant<Rule>) -> Problem {
    let rest = &text[offset.min(text.len())..];
    let span = Span::new(
        file,
        offset,
        offset + rest.chars().next().map_or(0, char::len_utf8),
    );
    // The parser may have read the keyword as a label; then the keyword is at the start of the line.
    let line = &text[text[..offset.min(text.len())]
        .rfind('\n')
        .map_or(0, |end| end + 1)..];
    let unsupported = UNSUPPORTED.iter().find(|(word, _)| {
        rest.starts_with(word) || word.len() > 2 && line.trim_start().starts_with(word)
    });
    if let Some((_, feature)) = unsupported {
        return Problem::new(
            span,
            format!("this subset of CUE does not support {feature}"),
        );
    }
    let ErrorVariant::ParsingError { positives, .. } = variant else {
        return Problem::new(span, "syntax error".into());
    };
    let mut expected: Vec<&str> = positives
        .iter()
        .filter_map(|rule| expected_syntax(*rule))
        .collect();
    expected.sort_unstable();
    expected.dedup();
    match expected.as_slice() {
        [] => Problem::new(span, "syntax error".into()),
        expected => Problem::new(span, format!("expected {}", expected.join(", "))),
    }
}

fn expected_syntax(rule: Rule) -> Option<&'static str> {
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

/// Builds the tree from the parsed pairs. Literals that the grammar accepts but that have no value are reported too.
struct TreeBuilder<'a> {
    file: usize,
    problems: &'a mut Vec<Problem>,
}

impl TreeBuilder<'_> {
    fn span(&self, pair: &Pair<Rule>) -> Span {
        let span = pair.as_span();
        Span::new(
            self.file,
            span.start(),
            span.start() + span.as_str().trim_end().len(),
        )
    }

    fn record(&mut self, pairs: Vec<Pair<Rule>>) -> RecordExpr {
        let mut record = RecordExpr::default();
        for pair in pairs {
            match pair.as_rule() {
                Rule::field => {
                    let (label, field) = self.field(pair);
                    record.fields.entry(label).or_default().push(field);
                }
                Rule::open => record.open = true,
                Rule::pattern => {
                    let mut inner = pair.into_inner();
                    let label = inner.next().map(|label| self.expr(label));
                    let value = inner.next().map(|value| self.expr(value));
                    record.patterns.extend(label.zip(value));
                }
                _ => {}
            }
        }
        record
    }

    fn field(&mut self, pair: Pair<Rule>) -> (String, Field) {
        let span = self.span(&pair);
        let mut label = String::new();
        let mut field = Field {
            span,
            optional: false,
            value: Expr {
                span,
                kind: ExprKind::Top,
            },
        };
        for part in pair.into_inner() {
            match part.as_rule() {
                Rule::label => {
                    field.span = self.span(&part);
                    let text = part.as_str().trim();
                    label = if text.starts_with('"') {
                        self.text(text, field.span)
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

    fn text(&mut self, quoted: &str, span: Span) -> String {
        if quoted.contains("\\(") {
            let message = "this subset of CUE does not support interpolations ('\\(')";
            self.problems.push(Problem::new(span, message.into()));
            return String::new();
        }
        serde_json::from_str(quoted).unwrap_or_else(|_| {
            self.problems.push(Problem::new(
                span,
                "the string has an escape sequence that JSON does not have".into(),
            ));
            String::new()
        })
    }

    fn expr(&mut self, pair: Pair<Rule>) -> Expr {
        let span = self.span(&pair);
        let kind = match pair.as_rule() {
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
                    _ => ExprKind::Disjunction(any),
                }
            }
            Rule::all => {
                let mut all: Vec<Expr> = pair.into_inner().map(|one| self.expr(one)).collect();
                match all.len() {
                    1 => return all.swap_remove(0),
                    _ => ExprKind::Unification(all),
                }
            }
            Rule::nested => {
                let record = self.record(pair.into_inner().collect());
                ExprKind::Record(Rc::new(record))
            }
            Rule::record => ExprKind::Record(Rc::new(self.record(pair.into_inner().collect()))),
            Rule::list => {
                let (mut items, mut rest) = (Vec::new(), None);
                for item in pair.into_inner() {
                    let span = self.span(&item);
                    if rest.is_some() {
                        self.problems.push(Problem::new(
                            span,
                            "'...' must be the last item of a list".into(),
                        ));
                    } else if item.as_rule() == Rule::rest {
                        let kind = item.into_inner().next().map(|kind| self.expr(kind));
                        rest = Some(Box::new(kind.unwrap_or(Expr {
                            span,
                            kind: ExprKind::Top,
                        })));
                    } else {
                        items.push(self.expr(item));
                    }
                }
                ExprKind::List(items, rest)
            }
            Rule::bound => {
                let mut inner = pair.into_inner();
                let op = match inner.next().map_or("", |sign| sign.as_str()) {
                    ">=" => BoundOp::AtLeast,
                    "<=" => BoundOp::AtMost,
                    ">" => BoundOp::Above,
                    "<" => BoundOp::Below,
                    "!=" => BoundOp::NotEqual,
                    "=~" => BoundOp::Matches,
                    _ => BoundOp::DoesNotMatch,
                };
                inner.next().map_or(ExprKind::Top, |literal| {
                    ExprKind::Bound(op, self.scalar(literal))
                })
            }
            Rule::literal => ExprKind::Scalar(self.scalar(pair)),
            Rule::reference => match pair.as_str() {
                "_" => ExprKind::Top,
                name => ExprKind::Reference(name.split('.').map(str::to_owned).collect()),
            },
            _ => ExprKind::Top,
        };
        Expr { span, kind }
    }

    fn scalar(&mut self, literal: Pair<Rule>) -> Scalar {
        let (span, Some(inner)) = (self.span(&literal), literal.into_inner().next()) else {
            return Scalar::Null;
        };
        let digits = inner.as_str().replace('_', "");
        let read = match inner.as_rule() {
            Rule::raw => {
                let text = inner.as_str();
                Some(Scalar::Text(text[2..text.len() - 2].into()))
            }
            Rule::string => Some(Scalar::Text(self.text(inner.as_str(), span).into())),
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
                .push(Problem::new(span, "the number is out of range".into()));
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
