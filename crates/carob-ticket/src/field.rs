//! Typed access to the keys of a section.

use std::{str::FromStr, time::Duration};

use carob_base::Name;
use carob_ini::{Error, Pair, Section};
use smallvec::SmallVec;

/// Parses the sections of `text`; returns only the first of several errors.
pub(crate) fn sections(text: &str, file: &str) -> Result<Vec<Section>, Error> {
    carob_ini::sections(text, file)
        .map_err(|errors| errors.into_iter().next().expect("errors are never empty"))
}

/// Splits a section's title into the kind (its first word) and the name (what follows).
pub(crate) fn split_title(section: &Section) -> (&str, &str) {
    let (kind, name) = section.title.split_once(' ').unwrap_or((&section.title, ""));
    (kind, name.trim())
}

/// An error of a section without a particular pair, such as a missing key.
pub(crate) fn section_error(section: &Section, file: &str, expected: impl Into<String>) -> Error {
    Error {
        file: file.to_owned(),
        line: section.line,
        section: section.title.clone(),
        key: String::new(),
        expected: expected.into(),
    }
}

/// Reader of a section's keys. It tracks which keys are unread, so that unknown ones are reported.
pub(crate) struct Fields<'a> {
    section: &'a Section,
    file: &'a str,
    unread: Vec<&'a Pair>,
}

impl<'a> Fields<'a> {
    pub(crate) fn new(section: &'a Section, file: &'a str) -> Result<Self, Error> {
        let fields = Self {
            section,
            file,
            unread: section.pairs.iter().collect(),
        };
        for (index, pair) in section.pairs.iter().enumerate() {
            if section.pairs[..index].iter().any(|other| other.key == pair.key) {
                return Err(fields.error(pair, "each key once"));
            }
        }
        Ok(fields)
    }

    /// The pair with the key `key`, if the section has one; marks it as read.
    pub(crate) fn take(&mut self, key: &str) -> Option<&'a Pair> {
        let index = self.unread.iter().position(|pair| pair.key == key)?;
        Some(self.unread.remove(index))
    }

    /// Reads and converts a required key.
    pub(crate) fn required<T>(
        &mut self,
        key: &str,
        expected: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Result<T, Error> {
        let Some(pair) = self.take(key) else {
            return Err(section_error(
                self.section,
                self.file,
                format!("the key {key}: {expected}"),
            ));
        };
        convert(&pair.value).ok_or_else(|| self.error(pair, expected))
    }

    /// Reads and converts an optional key; `default` if it is absent.
    pub(crate) fn optional<T>(
        &mut self,
        key: &str,
        default: T,
        expected: &str,
        convert: impl Fn(&str) -> Option<T>,
    ) -> Result<T, Error> {
        match self.take(key) {
            None => Ok(default),
            Some(pair) => convert(&pair.value).ok_or_else(|| self.error(pair, expected)),
        }
    }

    pub(crate) fn name(&mut self, key: &str) -> Result<Name, Error> {
        self.required(key, NAME, |text| Name::new(text).ok())
    }

    pub(crate) fn number<T: FromStr>(&mut self, key: &str) -> Result<T, Error> {
        self.required(key, NUMBER, |text| text.parse().ok())
    }

    pub(crate) fn number_or<T: FromStr>(&mut self, key: &str, default: T) -> Result<T, Error> {
        self.optional(key, default, NUMBER, |text| text.parse().ok())
    }

    /// Checks that every key of the section has been read; an unread one is unknown, which is an error.
    pub(crate) fn finish(self) -> Result<(), Error> {
        match self.unread.first() {
            None => Ok(()),
            Some(pair) => Err(self.error(pair, "no such key in this section")),
        }
    }

    fn error(&self, pair: &Pair, expected: &str) -> Error {
        Error {
            file: self.file.to_owned(),
            line: pair.line,
            section: self.section.title.clone(),
            key: pair.key.clone(),
            expected: format!("{expected}, got {:?}", pair.value),
        }
    }
}

pub(crate) const NAME: &str = "a name of 1 to 63 of a-z, 0-9, '-', '_' and '.'";
const NUMBER: &str = "a whole number in range";

/// A duration in whole seconds or milliseconds, such as `10s` or `250ms`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let (digits, unit): (_, fn(u64) -> Duration) = match text.strip_suffix("ms") {
        Some(digits) => (digits, Duration::from_millis),
        None => (text.strip_suffix('s')?, Duration::from_secs),
    };
    digits.parse().ok().map(unit)
}

/// Items separated by commas; empty text is an empty list.
pub(crate) fn list<T, const N: usize>(
    text: &str,
    item: impl Fn(&str) -> Option<T>,
) -> Option<SmallVec<[T; N]>>
where
    [T; N]: smallvec::Array<Item = T>,
{
    if text.trim().is_empty() {
        return Some(SmallVec::new());
    }
    text.split(',').map(|part| item(part.trim())).collect()
}

/// A SHA-256 digest in 64 hexadecimal digits.
pub(crate) fn hash(text: &str) -> Option<[u8; 32]> {
    if text.len() != 64 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    let mut hash = [0; 32];
    for (index, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(hash)
}
