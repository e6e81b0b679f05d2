//! Reads settings files, which are typed records in a subset of CUE. A text is parsed, unified with a definition of the
//! program's schema, and deserialized to serde types. All problems are reported at once, each with file, line, column,
//! the line's text and the definition that it conflicts with.
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
//! Supported features of CUE: records, definitions, references, lists, optional fields, closed records, bounds, pattern
//! constraints, disjunctions, defaults and unification. `duration` and `size`, with units, are additions. Any other
//! feature is an error that names the feature.

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

/// Why a text could not be read as settings.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("cannot read {name}: {error}")]
    Unreadable { name: String, error: std::io::Error },
    #[error("{0}")]
    Invalid(Report),
    #[error("{name}: {reason}")]
    Undecodable { name: String, reason: String },
}

/// A concrete value of the settings, and its origin.
#[derive(Clone, Debug, PartialEq)]
pub struct UsedValue {
    pub path: String,
    /// The value as a literal of the settings language.
    pub value: String,
    /// The file and line that give the value. None: the value is a default.
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

/// The deserialized settings, and each concrete value with its origin.
#[derive(Debug)]
pub struct LoadedSettings<T> {
    pub value: T,
    pub used: Vec<UsedValue>,
}

/// Definitions of a program, and the name of the one that a text is unified with.
pub struct Schema {
    definitions: &'static [(&'static str, &'static str)],
    root: &'static str,
}

impl Schema {
    /// `definitions` are texts with their names; each may refer to definitions of the others. `root` names the definition
    /// that a whole text is unified with.
    pub const fn new(
        definitions: &'static [(&'static str, &'static str)],
        root: &'static str,
    ) -> Self {
        Schema { definitions, root }
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
        let length = std::fs::metadata(path).map_err(unreadable)?.len();
        if length > MAX_TEXT_BYTES as u64 {
            return Err(unreadable(std::io::Error::other(format!(
                "the file has {length} bytes, more than the maximum of {MAX_TEXT_BYTES}"
            ))));
        }
        let text = std::fs::read_to_string(path).map_err(unreadable)?;
        self.read(&name, &text)
    }

    /// Reads a text; messages refer to it by `name`. Durations are deserialized as microseconds, sizes as bytes.
    pub fn read<T: DeserializeOwned>(
        &self,
        name: &str,
        text: &str,
    ) -> Result<LoadedSettings<T>, ReadError> {
        let own_source = std::iter::once((name, text));
        let all = own_source.chain(self.definitions.iter().copied());
        let sources: report::Sources = all
            .map(|(name, text)| (name.to_owned(), text.to_owned()))
            .collect();
        let (text_record, mut problems) = syntax::parse(0, text);
        let mut schema = syntax::RecordExpr::default();
        for (index, (_, text)) in self.definitions.iter().enumerate() {
            let (record, syntax_errors) = syntax::parse(index + 1, text);
            schema.fields.extend(record.fields);
            problems.extend(syntax_errors);
        }
        let mut evaluator = eval::Evaluator::new(problems);
        let start = Span::new(0, 0, 0);
        let value = evaluator.evaluate(&schema, &text_record, self.root, start);
        let (out_of_steps, mut problems) = (evaluator.unifier.out_of_steps, evaluator.problems);
        let mut exporter = export::Exporter::new(&sources);
        let json = exporter.export(&value);
        // A field may seem to be missing only because its part of the text could not be parsed.
        if problems.is_empty() {
            problems.append(&mut exporter.problems);
        }
        if out_of_steps {
            problems = vec![Problem::new(
                start,
                format!(
                    "evaluating the text takes more than {} steps",
                    value::MAX_STEPS
                ),
            )];
        }
        if !problems.is_empty() {
            problems.sort_by_key(|problem| (problem.span.file, problem.span.start));
            problems.dedup();
            return Err(ReadError::Invalid(Report { sources, problems }));
        }
        let used = exporter.used;
        let value = serde_json::from_value(json).map_err(|error| ReadError::Undecodable {
            name: name.to_owned(),
            reason: error.to_string(),
        })?;
        Ok(LoadedSettings { value, used })
    }
}
