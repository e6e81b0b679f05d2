//! What is wrong with a text, and where: told with the line, a mark under it, and who asked for it.

use std::fmt;
use std::rc::Rc;

use codespan_reporting::diagnostic::{Diagnostic, Label};
use codespan_reporting::files::SimpleFiles;
use codespan_reporting::term::{self, termcolor::NoColor};

/// A stretch of one of the texts, in bytes.
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
    pub at: Span,
    pub what: String,
    /// Other places that matter to it, with why.
    pub beside: Vec<(Span, String)>,
}

impl Problem {
    pub fn new(at: Span, what: String) -> Self {
        Problem {
            at,
            what,
            beside: Vec::new(),
        }
    }

    pub fn beside(mut self, at: Span, why: impl Into<String>) -> Self {
        self.beside.push((at, why.into()));
        self
    }
}

/// The texts by number, with their names.
pub type Sources = Rc<[(String, String)]>;

/// All problems of a reading, in the order of their places.
#[derive(Clone, Debug)]
pub struct Report {
    pub sources: Sources,
    pub problems: Vec<Problem>,
}

/// Line and column, both from 1, of a place in a text.
pub fn place(text: &str, at: usize) -> (usize, usize) {
    let before = &text.as_bytes()[..at.min(text.len())];
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
    /// Each problem on one line: `file:line:column: what`.
    pub fn lines(&self) -> Vec<String> {
        let line = |problem: &Problem| {
            let (name, text) = &self.sources[problem.at.file];
            let (line, column) = place(text, problem.at.start);
            format!("{name}:{line}:{column}: {}", problem.what)
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
                    Label::primary(problem.at.file, problem.at.start..problem.at.end)
                        .with_message("here"),
                ];
            for (at, why) in &problem.beside {
                labels.push(Label::secondary(at.file, at.start..at.end).with_message(why));
            }
            let told = Diagnostic::error()
                .with_message(&problem.what)
                .with_labels(labels);
            term::emit(&mut out, &config, &files, &told).map_err(|_| fmt::Error)?;
        }
        f.write_str(&String::from_utf8_lossy(&out.into_inner()))
    }
}
