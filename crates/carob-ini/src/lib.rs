//! INI text as ordered sections that know their lines.
//!
//! The INI library keeps no line numbers and takes a line that is neither a section nor a pair for a part of the
//! next one; both are made up for here, so that every error can name its line.

use std::fmt;

use ini::{Ini, ParseOption};

carob_base::value! {
    /// What is wrong in a file, and where.
    pub struct Error {
        /// The file.
        pub file: String,
        /// Line, counted from 1.
        pub line: usize,
        /// Section; empty before the first one.
        pub section: String,
        /// Key; empty if the line or the section as a whole is wrong.
        pub key: String,
        /// What was expected there.
        pub expected: String,
    }

    /// One `key = value` line.
    pub struct Pair {
        /// The key.
        pub key: String,
        /// The value, without quotes or escapes being interpreted.
        pub value: String,
        /// Line, counted from 1.
        pub line: usize,
    }

    /// One section.
    pub struct Section {
        /// The text between the brackets.
        pub title: String,
        /// Line, counted from 1.
        pub line: usize,
        /// Its pairs in their order, repeated keys included.
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

/// Everything that is wrong with a file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, error) in self.0.iter().enumerate() {
            if at > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}

const LINE: &str = "a [section], a `key = value` line or a comment";
const SECTION_FIRST: &str = "a [section] before the first key";

/// Reads the sections of `text` in their order, repeated ones included.
///
/// # Errors
///
/// Returns an [`Error`] for each line that is neither a section nor a pair nor a comment.
pub fn sections(text: &str, file: &str) -> Result<Vec<Section>, Vec<Error>> {
    let error = |line, key: &str, expected: &str| Error {
        file: file.to_owned(),
        line,
        section: String::new(),
        key: key.to_owned(),
        expected: expected.to_owned(),
    };
    let malformed: Vec<_> = malformed(text).map(|line| error(line, "", LINE)).collect();
    if !malformed.is_empty() {
        return Err(malformed);
    }
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options).map_err(|err| vec![error(err.line.max(1), "", LINE)])?;
    let mut lines = Lines::new(text);
    let mut sections = Vec::new();
    for (title, properties) in &ini {
        let Some(title) = title else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(vec![error(lines.next_key(), key, SECTION_FIRST)]);
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

/// The lines that are neither a section nor a pair nor a comment.
fn malformed(text: &str) -> impl Iterator<Item = usize> {
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

/// The line numbers of sections and keys, in their order.
struct Lines<'a> {
    lines: std::iter::Enumerate<std::str::Lines<'a>>,
}

impl<'a> Lines<'a> {
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

    fn find(&mut self, wanted: impl Fn(&str) -> bool) -> usize {
        self.lines
            .find(|(_, line)| wanted(line.trim()))
            .map_or(0, |(index, _)| index + 1)
    }
}
