//! Problems of a text, each reported with its line, a mark below the span, and the definition it conflicts with.

use std::fmt;
use std::rc::Rc;

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term::{self, termcolor::NoColor};

/// A range of bytes in one of the texts. `file` is the index into [`Sources`]; 0 is the text that is read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Span {
    pub file: usize,
    pub start: usize,
    pub end: usize,
}

impl Span {
    pub fn new(file: usize, start: usize, end: usize) -> Self {
        Span { file, start, end }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    pub span: Span,
    pub message: String,
    /// Other spans that explain the problem, each with a label.
    pub related: Vec<(Span, String)>,
}

impl Problem {
    pub fn new(span: Span, message: String) -> Self {
        Problem {
            span,
            message,
            related: Vec::new(),
        }
    }

    pub fn related(mut self, span: Span, label: impl Into<String>) -> Self {
        self.related.push((span, label.into()));
        self
    }
}

/// The name and the text of each source, in the order of [`Span::file`].
pub type Sources = Rc<[(String, String)]>;

/// All problems of a text, in the order of their spans.
#[derive(Clone, Debug)]
pub struct Report {
    pub sources: Sources,
    pub problems: Vec<Problem>,
}

/// The line and the column of a byte offset in a text, both counted from 1.
pub fn line_and_column(text: &str, offset: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..offset.min(text.len())];
    let line = before.iter().filter(|byte| **byte == b'\n').count();
    let start = before
        .iter()
        .rposition(|byte| *byte == b'\n')
        .map_or(0, |end| end + 1);
    (
        line + 1,
        String::from_utf8_lossy(&before[start..]).chars().count() + 1,
    )
}

impl Report {
    /// Each problem on one line: `file:line:column: message`.
    pub fn lines(&self) -> Vec<String> {
        let line = |problem: &Problem| {
            let (name, text) = &self.sources[problem.span.file];
            let (line, column) = line_and_column(text, problem.span.start);
            format!("{name}:{line}:{column}: {}", problem.message)
        };
        self.problems.iter().map(line).collect()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let mut files = SimpleFiles::new();
        for (name, text) in self.sources.iter() {
            files.add(name.as_str(), text.as_str());
        }
        let (mut out, config) = (NoColor::new(Vec::new()), term::Config::default());
        for problem in &self.problems {
            let mut labels =
                vec![
                    Label::primary(problem.span.file, problem.span.start..problem.span.end)
                        .with_message("here"),
                ];
            for (span, label) in &problem.related {
                labels.push(Label::secondary(span.file, span.start..span.end).with_message(label));
            }
            let diagnostic = Diagnostic::error()
                .with_message(&problem.message)
                .with_labels(labels);
            term::emit(&mut out, &config, &files, &diagnostic).map_err(|_| fmt::Error)?;
        }
        f.write_str(&String::from_utf8_lossy(&out.into_inner()))
    }
}
