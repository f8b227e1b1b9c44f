//! INI text as ordered sections and pairs with their line numbers.
//!
//! The INI library keeps no line numbers, and joins a line that is neither a section nor a pair to the next
//! one. This crate therefore looks for malformed lines first, and finds the line numbers in the text again,
//! so that every error can name its line.

use std::fmt;

use ini::{Ini, ParseOption};

carob_base::value! {
    /// An error in a file, with its place and what was expected there.
    pub struct Error {
        /// Name of the file, as the caller gave it.
        pub file: String,
        /// Line, counted from 1.
        pub line: usize,
        /// Title of the section; empty for errors that concern no section.
        pub section: String,
        /// Key; empty if the error concerns a line or a section as a whole.
        pub key: String,
        /// What was expected, to complete the sentence "expected ...".
        pub expected: String,
    }

    /// One `key = value` line.
    pub struct Pair {
        /// The key, without surrounding blanks.
        pub key: String,
        /// The value; quotes and escapes in it are not interpreted.
        pub value: String,
        /// Line, counted from 1.
        pub line: usize,
    }

    /// One `[title]` line with the pairs that follow it.
    pub struct Section {
        /// The text between the brackets.
        pub title: String,
        /// Line, counted from 1.
        pub line: usize,
        /// The pairs in the order of the file, repeated keys included.
        pub pairs: Vec<Pair>,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.file, self.line)?;
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "expected {}", self.expected)
    }
}

impl std::error::Error for Error {}

/// All errors of a file, in the order of its lines. The text has one line for each.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}

const EXPECTED_LINE: &str = "a [section], a `key = value` line or a comment";
const EXPECTED_SECTION: &str = "a [section] before the first key";

/// Parses `text` into its sections, in the order of the file and repeated ones included. `file` is its name
/// in errors.
///
/// # Errors
///
/// Returns an [`Error`] for each line that is neither a section nor a pair nor a comment; if there is none,
/// for the first key that precedes all sections.
pub fn sections(text: &str, file: &str) -> Result<Vec<Section>, Vec<Error>> {
    let error = |line, key: &str, expected: &str| Error {
        file: file.to_owned(),
        line,
        section: String::new(),
        key: key.to_owned(),
        expected: expected.to_owned(),
    };
    let malformed: Vec<_> = malformed_lines(text)
        .map(|line| error(line, "", EXPECTED_LINE))
        .collect();
    if !malformed.is_empty() {
        return Err(malformed);
    }
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options)
        .map_err(|err| vec![error(err.line.max(1), "", EXPECTED_LINE)])?;
    let mut lines = LineFinder::new(text);
    let mut sections = Vec::new();
    for (title, properties) in &ini {
        let Some(title) = title else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(vec![error(lines.next_key(), key, EXPECTED_SECTION)]);
            }
            continue;
        };
        let line = lines.next_section();
        let pair = |(key, value): (&str, &str)| Pair {
            key: key.to_owned(),
            value: value.to_owned(),
            line: lines.next_key(),
        };
        sections.push(Section {
            title: title.to_owned(),
            line,
            pairs: properties.iter().map(pair).collect(),
        });
    }
    Ok(sections)
}

/// The numbers of the lines that are neither empty nor a section, a pair or a comment.
fn malformed_lines(text: &str) -> impl Iterator<Item = usize> {
    let valid = |line: &str| match line.chars().next() {
        None | Some(';' | '#') => true,
        Some('[') => line.ends_with(']'),
        Some(_) => line
            .split_once('=')
            .is_some_and(|(key, _)| !key.trim().is_empty()),
    };
    let numbered = text.lines().zip(1..);
    numbered
        .filter(move |(line, _)| !valid(line.trim()))
        .map(|(_, number)| number)
}

/// Finds the line numbers of sections and keys, which have to be requested in the order of the text.
struct LineFinder<'a> {
    lines: std::iter::Enumerate<std::str::Lines<'a>>,
}

impl<'a> LineFinder<'a> {
    fn new(text: &'a str) -> Self {
        Self {
            lines: text.lines().enumerate(),
        }
    }

    fn next_section(&mut self) -> usize {
        self.find(|line| line.starts_with('['))
    }

    fn next_key(&mut self) -> usize {
        self.find(|line| !line.is_empty() && !line.starts_with(['[', ';', '#']))
    }

    /// Number of the next matching line, from 1; 0 if there is none.
    fn find(&mut self, matches: impl Fn(&str) -> bool) -> usize {
        self.lines
            .find(|(_, line)| matches(line.trim()))
            .map_or(0, |(index, _)| index + 1)
    }
}
