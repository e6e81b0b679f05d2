//! Compares the bytes that the current code writes with the bytes that a released program wrote, which are lines of a
//! text file.
//!
//! postcard encodes fields and variants by their order, JSON by their names. A rename, a move or a new field may
//! change the encoding, and neither the compiler nor a test that encodes and decodes with the same code notices; only
//! bytes that are stored outside the code show it. A line is a name and, after a space, the bytes in hexadecimal or
//! the JSON text. Never change a line to make a test pass: programs of the release that wrote it are still running.

// Each test program uses some of the functions only.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// The recorded lines, and the results of the comparisons so far.
pub(crate) struct Recorded<'a> {
    /// The content of each line by its name.
    lines: BTreeMap<&'a str, &'a str>,
    compared: BTreeSet<String>,
    differences: Vec<String>,
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn bytes_of(hexadecimal: &str) -> Option<Vec<u8>> {
    let digits = hexadecimal.as_bytes().chunks(2);
    let pairs = digits.map(|pair| std::str::from_utf8(pair).ok());
    pairs
        .map(|pair| u8::from_str_radix(pair?, 16).ok())
        .collect()
}

impl<'a> Recorded<'a> {
    /// Reads the lines of a file. Empty lines and lines that start with `#` are skipped.
    pub(crate) fn parse(text: &'a str) -> Recorded<'a> {
        let mut lines = BTreeMap::new();
        for line in text.lines() {
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (name, content) = line.split_once(' ').unwrap_or((line, ""));
            assert!(
                lines.insert(name, content).is_none(),
                "{name} is recorded twice"
            );
        }
        Recorded {
            lines,
            compared: BTreeSet::new(),
            differences: Vec::new(),
        }
    }

    /// Returns the bytes that are recorded under a name.
    pub(crate) fn recorded_bytes(&self, name: &str) -> Vec<u8> {
        let line = self.lines.get(name).copied().and_then(bytes_of);
        line.unwrap_or_else(|| panic!("no bytes are recorded under the name {name}"))
    }

    /// Compares what the current code wrote with the line of that name, and returns the line if they are the same.
    fn compare(&mut self, name: &str, written: &str) -> Option<&'a str> {
        assert!(
            self.compared.insert(name.to_owned()),
            "{name} is compared twice"
        );
        let recorded = self.lines.get(name).copied();
        if recorded != Some(written) {
            let recorded = recorded.unwrap_or("nothing");
            let difference = format!("{name}\n    recorded {recorded}\n    written  {written}");
            self.differences.push(difference);
            return None;
        }
        recorded
    }

    /// Checks that bytes which the current code wrote are the recorded ones.
    pub(crate) fn bytes(&mut self, name: &str, written: &[u8]) {
        self.compare(name, &hexadecimal(written));
    }

    /// Checks that a value is encoded as the recorded bytes, and that decoding those and encoding the result gives
    /// the same bytes again.
    pub(crate) fn value<T>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> Vec<u8>,
        decode: impl Fn(&[u8]) -> Option<T>,
    ) {
        let Some(recorded) = self.compare(name, &hexadecimal(&encode(value))) else {
            return;
        };
        let bytes = bytes_of(recorded).expect("a line of hexadecimal digits");
        let read = decode(&bytes).map(|read| encode(&read));
        if read != Some(bytes) {
            self.differences.push(format!(
                "{name}\n    decoding and encoding it gives other bytes"
            ));
        }
    }

    /// As [`Recorded::value`], for a value that is encoded as JSON on one line.
    pub(crate) fn json<T>(
        &mut self,
        name: &str,
        value: &T,
        encode: impl Fn(&T) -> String,
        decode: impl Fn(&str) -> Option<T>,
    ) {
        let Some(recorded) = self.compare(name, &encode(value)) else {
            return;
        };
        let read = decode(recorded).map(|read| encode(&read));
        if read.as_deref() != Some(recorded) {
            self.differences.push(format!(
                "{name}\n    decoding and encoding it gives other text"
            ));
        }
    }

    /// Checks that every recorded line has been compared, and that none differs.
    pub(crate) fn finish(self) {
        let names = self.lines.keys();
        let missing: Vec<&&str> = names
            .filter(|name| !self.compared.contains(**name))
            .collect();
        assert!(
            self.differences.is_empty() && missing.is_empty(),
            "{} differ from the release:\n{}\nrecorded but not compared: {missing:?}",
            self.differences.len(),
            self.differences.join("\n")
        );
    }
}
