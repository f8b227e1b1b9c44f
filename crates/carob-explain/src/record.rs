//! Log lines and their fields.

use std::fmt;

use serde_json::{Map, Value};

/// Fields that every line has; [`Record::fields`] does not contain them.
const COMMON_FIELDS: [&str; 5] = ["ts", "up", "level", "part", "msg"];

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Instance that wrote the line, as named by the log collector or by the file.
    pub instance: String,
    /// Unix time in milliseconds by the instance's clock; [`align`](crate::align()) converts it to a common
    /// clock.
    pub time_ms: i64,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
    /// Message, which identifies the kind of event.
    pub message: String,
    /// Fields other than those that every line has.
    pub fields: Map<String, Value>,
}

/// The result of parsing a text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedLog {
    /// Records in the order of the text.
    pub records: Vec<Record>,
    /// Number of lines that are not records: malformed ones, or those of other programs.
    pub skipped: usize,
}

impl Record {
    /// Returns a field as text; empty if the field is absent.
    pub fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }

    /// Returns whether a field is present and its text is `text`.
    pub fn field_is(&self, name: &str, text: &str) -> bool {
        self.fields.contains_key(name) && self.text(name) == text
    }

    /// Returns whether a field names the upstream `id`.
    pub fn concerns_upstream(&self, id: &str) -> bool {
        ["upstream", "from", "to"]
            .iter()
            .any(|name| self.field_is(name, id))
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        let mut separator = ": ";
        for name in self.fields.keys() {
            write!(f, "{separator}{name}={}", self.text(name))?;
            separator = " ";
        }
        Ok(())
    }
}

/// Parses a text of lines. A log collector may put words before a line's JSON; the last of these words is
/// taken as the instance's name, or `file` if there are none.
pub fn parse(text: &str, file: &str) -> ParsedLog {
    let mut log = ParsedLog::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match parse_line(line, file) {
            Some(record) => log.records.push(record),
            None => log.skipped += 1,
        }
    }
    log
}

fn parse_line(line: &str, file: &str) -> Option<Record> {
    let (prefix, json) = line.split_at(line.find('{')?);
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    let time_ms = fields.get("ts")?.as_i64()?;
    let uptime_ms = fields.get("up")?.as_u64()?;
    let message = fields.get("msg")?.as_str()?.to_owned();
    for name in COMMON_FIELDS {
        fields.remove(name);
    }
    let instance = prefix.split_whitespace().last().unwrap_or(file).to_owned();
    Some(Record {
        instance,
        time_ms,
        uptime_ms,
        message,
        fields,
    })
}
