//! Lines and what they hold.

use std::fmt;

use serde_json::{Map, Value};

/// Fields that every line has, which are told apart from its own.
const COMMON: [&str; 5] = ["ts", "up", "level", "part", "msg"];

/// A log line.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Instance that wrote it, as far as the collector or the file says.
    pub instance: String,
    /// Milliseconds since 1970 by the instance's clock.
    pub time_ms: i64,
    /// Milliseconds since the process started.
    pub uptime_ms: u64,
    /// What it says.
    pub message: String,
    /// Its own fields.
    pub fields: Map<String, Value>,
}

/// The records of a text.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ParsedLog {
    /// Records in the order of the text.
    pub records: Vec<Record>,
    /// Lines that are no records: broken, or of other programs.
    pub skipped: usize,
}

impl Record {
    /// A field as text; empty if it is not there.
    pub fn text(&self, name: &str) -> String {
        match self.fields.get(name) {
            Some(Value::String(text)) => text.clone(),
            Some(other) => other.to_string(),
            None => String::new(),
        }
    }

    /// Whether a field has this text.
    pub fn field_is(&self, name: &str, text: &str) -> bool {
        self.fields.contains_key(name) && self.text(name) == text
    }

    /// Whether it speaks of the upstream `id`.
    pub fn concerns_upstream(&self, id: &str) -> bool {
        ["upstream", "from", "to"]
            .iter()
            .any(|name| self.field_is(name, id))
    }
}

impl fmt::Display for Record {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        let mut between = ": ";
        for name in self.fields.keys() {
            write!(f, "{between}{name}={}", self.text(name))?;
            between = " ";
        }
        Ok(())
    }
}

/// Reads a text of lines. A collector may put words before a line's JSON; the last of them is taken for the
/// instance, and `file` if there are none.
pub fn parse(text: &str, file: &str) -> ParsedLog {
    let mut found = ParsedLog::default();
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match record(line, file) {
            Some(record) => found.records.push(record),
            None => found.skipped += 1,
        }
    }
    found
}

fn record(line: &str, file: &str) -> Option<Record> {
    let (before, json) = line.split_at(line.find('{')?);
    let Value::Object(mut fields) = serde_json::from_str(json).ok()? else {
        return None;
    };
    let time_ms = fields.get("ts")?.as_i64()?;
    let uptime_ms = fields.get("up")?.as_u64()?;
    let message = fields.get("msg")?.as_str()?.to_owned();
    for name in COMMON {
        fields.remove(name);
    }
    let instance = before.split_whitespace().last().unwrap_or(file).to_owned();
    Some(Record {
        instance,
        time_ms,
        uptime_ms,
        message,
        fields,
    })
}
