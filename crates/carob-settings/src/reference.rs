//! The reference page of all keys.

use std::fmt::Write as _;

use crate::{
    keys::{DefaultValue, KEYS, Key},
    value,
};

const INTRODUCTION: &str = "\
# Settings

An instance reads one INI file when it starts: `carobhaven serve --settings FILE`. `carobhaven check --settings FILE`
only checks it. An instance does not start with invalid settings: every error is reported with file, line, key and
what was expected. Unknown sections and keys are errors. Lines that start with `#` or `;` are comments. Relative
paths start at the file's directory.

This page is generated from the declarations in `carob-settings`; a test compares the two.

## Forms of values
";

/// The reference page of all keys, in Markdown.
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
        table_row(&mut page, &[form, text]);
    }
    let mut section = "";
    for key in KEYS {
        if key.section != section {
            section = key.section;
            write!(page, "\n## `[{section}]`\n\n").expect("writing to a string cannot fail");
            page.push_str("| key | form | default | meaning |\n| --- | --- | --- | --- |\n");
        }
        table_row(
            &mut page,
            &[
                &format!("`{}`", key.name),
                key.form,
                &default(key),
                key.description,
            ],
        );
    }
    page
}

fn default(key: &Key) -> String {
    match key.default {
        DefaultValue::Required => "required".to_owned(),
        DefaultValue::Unset => "none".to_owned(),
        DefaultValue::Value(text) => format!("`{text}`"),
    }
}

fn table_row(page: &mut String, cells: &[&str]) {
    writeln!(page, "| {} |", cells.join(" | ")).expect("writing to a string cannot fail");
}
