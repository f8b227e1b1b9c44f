//! The page of all keys.

use std::fmt::Write as _;

use crate::{
    keys::{Absent, KEYS, Key},
    value,
};

const INTRODUCTION: &str = "\
# Settings

An instance reads one INI file at its start: `carobhaven serve --settings FILE`. `carobhaven check --settings FILE`
only checks it. Nothing starts on bad settings: every error is reported with file, line, key and what was expected.
Unknown sections and keys are errors. Lines that start with `#` or `;` are comments. Paths are taken from the
file's directory.

This page is generated from the declarations in `carob-settings`; a test compares the two.

## Forms of values
";

/// The page of all keys, in Markdown.
pub fn reference() -> String {
    let mut page = INTRODUCTION.to_owned();
    let forms = [
        ("name", value::NAME),
        ("address", value::ADDRESS),
        ("addresses", value::ADDRESSES),
        ("duration", value::DURATION),
        ("size", value::SIZE),
        ("number", "a whole number"),
        ("key", value::SECRET),
        ("path", value::PATH),
        ("level", value::LEVEL),
    ];
    page.push_str("\n| form | value |\n| --- | --- |\n");
    for (form, text) in forms {
        line(&mut page, &[form, text]);
    }
    let mut section = "";
    for key in KEYS {
        if key.section != section {
            section = key.section;
            write!(page, "\n## `[{section}]`\n\n").expect("strings take any text");
            page.push_str("| key | form | default | meaning |\n| --- | --- | --- | --- |\n");
        }
        line(
            &mut page,
            &[&format!("`{}`", key.name), key.form, &default(key), key.about],
        );
    }
    page
}

fn default(key: &Key) -> String {
    match key.absent {
        Absent::Refused => "required".to_owned(),
        Absent::Unset => "none".to_owned(),
        Absent::Text(text) => format!("`{text}`"),
    }
}

fn line(page: &mut String, cells: &[&str]) {
    writeln!(page, "| {} |", cells.join(" | ")).expect("strings take any text");
}
