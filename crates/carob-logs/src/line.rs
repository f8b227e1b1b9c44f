//! Encoding of a line. Each request logs several lines, so each is written field by field into a single
//! buffer.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde::Serialize;

/// Initial capacity of a line's buffer, in bytes, which suffices for usual lines.
const INITIAL_CAPACITY: usize = 384;

/// Encodes a record as a line, including the line break.
pub(crate) fn encode(record: &Record<'_>, start: Instant) -> Vec<u8> {
    let mut line = Line::new(start, record.level().as_str(), record.target());
    match record.args().as_str() {
        Some(text) => line.push_field("msg", &text),
        None => line.push_field("msg", &record.args().to_string()),
    }
    if let Err(error) = record.key_values().visit(&mut line) {
        line.push_field("field_error", &error.to_string());
    }
    line.finish()
}

/// Encodes the line that contains the number of dropped lines.
pub(crate) fn encode_dropped(start: Instant, count: u64) -> Vec<u8> {
    let mut line = Line::new(start, "WARN", "carob_logs");
    line.push_field("msg", &"log lines were dropped to bound their volume");
    line.push_field("lines", &count);
    line.finish()
}

/// A JSON object under construction.
struct Line(Vec<u8>);

impl Line {
    fn new(start: Instant, level: &str, part: &str) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Self(Vec::with_capacity(INITIAL_CAPACITY));
        line.0.push(b'{');
        line.push_field("ts", &(since_epoch.as_millis() as u64));
        line.push_field("up", &(start.elapsed().as_millis() as u64));
        line.push_field("level", &level);
        line.push_field("part", &part);
        line
    }

    fn push_field<T: Serialize + ?Sized>(&mut self, key: &str, value: &T) {
        if self.0.len() > 1 {
            self.0.push(b',');
        }
        self.push_json(key);
        self.0.push(b':');
        self.push_json(value);
    }

    fn push_json<T: Serialize + ?Sized>(&mut self, value: &T) {
        // Text, numbers and booleans can always be serialized to memory.
        if serde_json::to_writer(&mut self.0, value).is_err() {
            self.0.extend_from_slice(b"null");
        }
    }

    fn finish(mut self) -> Vec<u8> {
        self.0.extend_from_slice(b"}\n");
        self.0
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let key = key.as_str();
        if let Some(number) = value.to_u64() {
            self.push_field(key, &number);
        } else if let Some(number) = value.to_i64() {
            self.push_field(key, &number);
        } else if let Some(number) = value.to_f64() {
            self.push_field(key, &number);
        } else if let Some(flag) = value.to_bool() {
            self.push_field(key, &flag);
        } else if let Some(text) = value.to_borrowed_str() {
            self.push_field(key, text);
        } else {
            self.push_field(key, &value.to_string());
        }
        Ok(())
    }
}
