//! Typed records: the form of all settings of the project. A text in a subset of CUE is read, joined with the
//! definition that its reader keeps, checked, and turned into ordinary serde types; what is wrong with it is told
//! all at once, each with file, line, column, the text, and which definition asked for what.
//!
//! ```
//! use ternpick_settings::Schema;
//! #[derive(serde::Deserialize)]
//! struct Door { wide: u64, waits: u64 }
//! let schema = Schema::new(&[("door.schema", "#Door: {wide: int & >=1, waits: duration & <=1h | *30s}")], "#Door");
//! let door = schema.read::<Door>("door.cue", "wide: 3").expect("a door");
//! assert_eq!((door.value.wide, door.value.waits), (3, 30_000_000)); // durations in microseconds
//! assert_eq!(door.used[1].to_string(), "waits = 30s  (default)");
//! assert!(schema.read::<Door>("door.cue", "wide: 0").is_err());
//! ```
//!
//! Kept of CUE: records, definitions, references, lists, optional fields, closed records, bounds, patterns,
//! alternatives, defaults, unification. Added: `duration` and `size` with units. Everything else is refused by name.

mod eval;
mod export;
mod report;
mod syntax;
mod value;

use std::fmt;
use std::path::Path;

use serde::de::DeserializeOwned;

pub use report::{Problem, Report, Span};
pub use syntax::{MAX_NESTING, MAX_TEXT_BYTES};

/// Why settings could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("cannot read {name}: {error}")]
    Unreadable { name: String, error: std::io::Error },
    #[error("{0}")]
    Invalid(Report),
    #[error("{name}: {reason}")]
    Undecodable { name: String, reason: String },
}

/// One value that is used, and where it came from.
#[derive(Clone, Debug, PartialEq)]
pub struct UsedValue {
    pub path: String,
    /// As it would be written.
    pub value: String,
    /// File and line; none: by default.
    pub origin: Option<(String, usize)>,
}

impl fmt::Display for UsedValue {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match &self.origin {
            Some((file, line)) => write!(f, "{} = {}  ({file}:{line})", self.path, self.value),
            None => write!(f, "{} = {}  (default)", self.path, self.value),
        }
    }
}

/// What was read.
#[derive(Debug)]
pub struct LoadedSettings<T> {
    pub value: T,
    pub used: Vec<UsedValue>,
}

/// What a reader wants: definitions, and the one that a whole text must fit.
pub struct Schema {
    parts: &'static [(&'static str, &'static str)],
    root: &'static str,
}

impl Schema {
    /// `parts`: texts with their names, whose definitions know each other.
    pub const fn new(parts: &'static [(&'static str, &'static str)], root: &'static str) -> Self {
        Schema { parts, root }
    }

    pub fn read_file<T: DeserializeOwned>(
        &self,
        path: &Path,
    ) -> Result<LoadedSettings<T>, ReadError> {
        let name = path.display().to_string();
        let unreadable = |error| ReadError::Unreadable {
            name: name.clone(),
            error,
        };
        let long = std::fs::metadata(path).map_err(unreadable)?.len();
        if long > MAX_TEXT_BYTES as u64 {
            return Err(unreadable(std::io::Error::other(
                "it is longer than any settings are",
            )));
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        self.read(&name, &text)
    }

    /// Reads a text; `name` is for what is told of it. Durations come out in microseconds, sizes in bytes.
    pub fn read<T: DeserializeOwned>(
        &self,
        name: &str,
        text: &str,
    ) -> Result<LoadedSettings<T>, ReadError> {
        let own_source = std::iter::once((name, text));
        let all = own_source.chain(self.parts.iter().copied());
        let sources: report::Sources = all
            .map(|(name, text)| (name.to_owned(), text.to_owned()))
            .collect();
        let (own, mut problems) = syntax::parse(0, text);
        let mut schema = syntax::Members::default();
        for (at, (_, text)) in self.parts.iter().enumerate() {
            let (members, wrong) = syntax::parse(at + 1, text);
            schema.fields.extend(members.fields);
            problems.extend(wrong);
        }
        let mut evaluator = eval::Evaluator::new(problems);
        let at = Span::new(0, 0, 0);
        let whole = evaluator.whole(&schema, &own, self.root, at);
        let (tired, mut problems) = (evaluator.unifier.tired, evaluator.problems);
        let mut export = export::Export::new(&sources);
        let json = export.whole(&whole);
        // What is missing of a text that could not be read whole may well stand in it.
        if problems.is_empty() {
            problems.append(&mut export.problems);
        }
        if tired {
            problems = vec![Problem::new(
                at,
                "working this text out takes too long".into(),
            )];
        }
        if !problems.is_empty() {
            problems.sort_by_key(|problem| (problem.at.file, problem.at.start));
            problems.dedup();
            return Err(ReadError::Invalid(Report { sources, problems }));
        }
        let used = export.used;
        let value = serde_json::from_value(json).map_err(|error| ReadError::Undecodable {
            name: name.to_owned(),
            reason: error.to_string(),
        })?;
        Ok(LoadedSettings { value, used })
    }
}
