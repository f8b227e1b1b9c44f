//! Names of configured objects.

use std::{borrow::Borrow, fmt, str::FromStr, sync::Arc};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// The name of a service, client account, route, upstream, instance, failure domain or region.
///
/// A name has 1 to [`MAX_NAME_BYTES`] characters, each a lower-case letter, a digit, `-`, `_` or `.`, and
/// starts with a letter or a digit. Cloning is cheap, since clones share the text.
#[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Name(Arc<str>);

/// Error for a text that is not a valid [`Name`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The rejected text, cut to [`MAX_NAME_BYTES`] characters.
    pub text: String,
}

impl Name {
    /// Creates a name from `text` if it is valid.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the text is empty or too long, does not start with a lower-case letter or a digit,
    /// or contains one that is not permitted.
    pub fn new(text: &str) -> Result<Self, Error> {
        let valid_start = text.starts_with(|c: char| c.is_ascii_lowercase() || c.is_ascii_digit());
        if valid_start && text.len() <= MAX_NAME_BYTES && text.bytes().all(is_name_byte) {
            return Ok(Self(Arc::from(text)));
        }
        let text = text.chars().take(MAX_NAME_BYTES).collect();
        Err(Error { text })
    }

    /// The text, borrowed from the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'-' | b'_' | b'.')
}

impl FromStr for Name {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        Self::new(text)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.0, f)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:?} is no name: expected 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '_' and '.', starting with a letter or digit",
            self.text
        )
    }
}

impl std::error::Error for Error {}
