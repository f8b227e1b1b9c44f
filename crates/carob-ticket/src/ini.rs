//! INI text as ordered sections that know their lines.

use std::fmt;

use ini::{Ini, ParseOption};

/// What is wrong with a ticket's text, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// File that the text was read from.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Section, such as `service draft`; empty before the first section.
    pub section: String,
    /// Key; empty if the section as a whole is wrong.
    pub key: String,
    /// What was expected there.
    pub expected: String,
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

/// One `key = value` line.
#[derive(Debug)]
pub(crate) struct Pair {
    pub(crate) key: String,
    pub(crate) value: String,
    pub(crate) line: usize,
}

/// One section.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) title: String,
    pub(crate) line: usize,
    pub(crate) pairs: Vec<Pair>,
}

impl Section {
    /// The title's first word and the rest.
    pub(crate) fn split(&self) -> (&str, &str) {
        let (kind, name) = self.title.split_once(' ').unwrap_or((&self.title, ""));
        (kind, name.trim())
    }

    /// An error about the section as a whole.
    pub(crate) fn error(&self, file: &str, expected: impl Into<String>) -> Error {
        Error {
            file: file.to_owned(),
            line: self.line,
            section: self.title.clone(),
            key: String::new(),
            expected: expected.into(),
        }
    }
}

/// Reads the sections of `text` in their order.
pub(crate) fn sections(text: &str, file: &str) -> Result<Vec<Section>, Error> {
    let error = |line, key: &str, expected: &str| Error {
        file: file.to_owned(),
        line,
        section: String::new(),
        key: key.to_owned(),
        expected: expected.to_owned(),
    };
    if let Some(line) = malformed(text) {
        return Err(error(line, "", LINE));
    }
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(text, options).map_err(|err| error(err.line.max(1), "", LINE))?;
    let mut lines = Lines::new(text);
    let mut sections = Vec::new();
    for (title, properties) in &ini {
        let Some(title) = title else {
            if let Some((key, _)) = properties.iter().next() {
                return Err(error(lines.next_key(), key, "a [section] before the first key"));
            }
            continue;
        };
        let line = lines.next_section();
        let pair = |(key, value): (&str, &str)| Pair {
            key: key.to_owned(),
            value: value.to_owned(),
            line: lines.next_key(),
        };
        let pairs = properties.iter().map(pair).collect();
        let title = title.to_owned();
        sections.push(Section { title, line, pairs });
    }
    Ok(sections)
}

const LINE: &str = "a [section], a `key = value` line or a comment";

/// The first line that is neither a section nor a pair nor a comment; the INI library would take it for a part of
/// the next line.
fn malformed(text: &str) -> Option<usize> {
    let valid = |line: &str| match line.chars().next() {
        None | Some(';' | '#') => true,
        Some('[') => line.ends_with(']'),
        Some(_) => line.contains('='),
    };
    text.lines()
        .position(|line| !valid(line.trim()))
        .map(|index| index + 1)
}

/// The line numbers of sections and keys, in their order; the INI library keeps none.
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
