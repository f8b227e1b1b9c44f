//! One line. Each request has several, so that they are written field by field into one buffer.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde::Serialize;

/// Bytes of a usual line.
const USUAL: usize = 384;

/// Renders a record with its line end.
pub(crate) fn encode(record: &Record<'_>, start: Instant) -> Vec<u8> {
    let mut line = Line::new(start, record.level().as_str(), record.target());
    match record.args().as_str() {
        Some(text) => line.field("msg", &text),
        None => line.field("msg", &record.args().to_string()),
    }
    if let Err(error) = record.key_values().visit(&mut line) {
        line.field("field_error", &error.to_string());
    }
    line.close()
}

/// The line that counts what was not written.
pub(crate) fn dropped(start: Instant, count: u64) -> Vec<u8> {
    let mut line = Line::new(start, "WARN", "carob_logs");
    line.field("msg", &"log lines were dropped to bound their volume");
    line.field("lines", &count);
    line.close()
}

/// A JSON object that is being written.
struct Line(Vec<u8>);

impl Line {
    fn new(start: Instant, level: &str, part: &str) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut line = Self(Vec::with_capacity(USUAL));
        line.0.push(b'{');
        line.field("ts", &(since.as_millis() as u64));
        line.field("up", &(start.elapsed().as_millis() as u64));
        line.field("level", &level);
        line.field("part", &part);
        line
    }

    fn field<T: Serialize + ?Sized>(&mut self, key: &str, value: &T) {
        if self.0.len() > 1 {
            self.0.push(b',');
        }
        self.json(key);
        self.0.push(b':');
        self.json(value);
    }

    fn json<T: Serialize + ?Sized>(&mut self, value: &T) {
        // Text, numbers and booleans can always be written to memory.
        if serde_json::to_writer(&mut self.0, value).is_err() {
            self.0.extend_from_slice(b"null");
        }
    }

    fn close(mut self) -> Vec<u8> {
        self.0.extend_from_slice(b"}\n");
        self.0
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let key = key.as_str();
        if let Some(number) = value.to_u64() {
            self.field(key, &number);
        } else if let Some(number) = value.to_i64() {
            self.field(key, &number);
        } else if let Some(number) = value.to_f64() {
            self.field(key, &number);
        } else if let Some(truth) = value.to_bool() {
            self.field(key, &truth);
        } else if let Some(text) = value.to_borrowed_str() {
            self.field(key, text);
        } else {
            self.field(key, &value.to_string());
        }
        Ok(())
    }
}
