//! Parses a ticket's INI text.

use carob_ini::{Error, Section};

use crate::{
    field::{Fields, section_error, sections},
    object,
    ticket::{Change, Ticket},
};

/// Maximum length of a ticket's text, in bytes. The store limits a value to one megabyte.
pub const MAX_TEXT_BYTES: usize = 256 * 1024;

/// Parses the ticket in `text`; errors name `file`.
///
/// # Errors
///
/// Returns the first [`Error`], with its line, section and key and what was expected there.
pub fn ticket(text: &str, file: &str) -> Result<Ticket, Error> {
    let mut sections = sections(text, file)?.into_iter();
    let missing = |line| Error {
        file: file.to_owned(),
        line,
        section: String::new(),
        key: String::new(),
        expected: "a [ticket] section with the number first".to_owned(),
    };
    if text.len() > MAX_TEXT_BYTES {
        let expected = format!("at most {MAX_TEXT_BYTES} bytes in one ticket");
        return Err(Error {
            expected,
            ..missing(1)
        });
    }
    let Some(first) = sections.next() else {
        return Err(missing(1));
    };
    if first.title != "ticket" {
        return Err(missing(first.line));
    }
    let number = number(&first, file)?;
    let changes = changes(sections.as_slice(), file)?;
    if changes.is_empty() {
        return Err(section_error(
            &first,
            file,
            "at least one object after this section",
        ));
    }
    Ok(Ticket { number, changes })
}

fn number(section: &Section, file: &str) -> Result<u64, Error> {
    let mut fields = Fields::new(section, file)?;
    let number = fields.required("number", "the ticket's number, from 1", |text| {
        text.parse().ok().filter(|number| *number > 0)
    })?;
    fields.finish()?;
    Ok(number)
}

/// Parses the objects in `sections` and sorts them by [`Change::object`]; each may occur once.
pub(crate) fn changes(sections: &[Section], file: &str) -> Result<Vec<Change>, Error> {
    let mut changes = Vec::with_capacity(sections.len());
    let mut seen = std::collections::HashSet::new();
    for section in sections {
        let change = object::change(section, file)?;
        if !seen.insert(change.object()) {
            return Err(section_error(section, file, "each object once"));
        }
        changes.push(change);
    }
    changes.sort_by_cached_key(Change::object);
    Ok(changes)
}
