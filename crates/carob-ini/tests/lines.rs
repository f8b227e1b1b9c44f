//! Sections, pairs and errors have the correct line numbers.

use carob_ini::{Section, sections};

/// One text per section and pair, each with its line number.
fn render(sections: &[Section]) -> Vec<String> {
    let mut lines = Vec::new();
    for section in sections {
        lines.push(format!("{} [{}]", section.line, section.title));
        let pairs = section.pairs.iter();
        lines.extend(pairs.map(|pair| format!("{} {}={}", pair.line, pair.key, pair.value)));
    }
    lines
}

#[test]
fn repeated_sections_and_keys_are_kept_with_their_lines() {
    let text = "# note\n\n[a]\nx = 1\n; note\nx=2\n[b c]\n\n[a]\r\n  y = p:q \"z\" \\n\r\n";
    let sections = sections(text, "f.ini").expect("valid");
    let expected = [
        "3 [a]",
        "4 x=1",
        "6 x=2",
        "7 [b c]",
        "9 [a]",
        "10 y=p:q \"z\" \\n",
    ];
    assert_eq!(render(&sections), expected);
}

#[test]
fn each_malformed_line_is_named() {
    let errors = sections("[a]\nnonsense\nx = 1\n= 2\n[open\n", "f.ini").unwrap_err();
    let lines: Vec<usize> = errors.iter().map(|error| error.line).collect();
    assert_eq!(lines, [2, 4, 5]);
    let expected = "f.ini:2: expected a [section], a `key = value` line or a comment";
    assert_eq!(errors[0].to_string(), expected);
}

#[test]
fn key_before_the_first_section_is_refused() {
    let errors = sections("\nx = 1\n[a]\n", "f.ini").unwrap_err();
    assert_eq!(
        errors[0].to_string(),
        "f.ini:2: x: expected a [section] before the first key"
    );
}
