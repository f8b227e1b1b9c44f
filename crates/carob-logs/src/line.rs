//! One line.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use log::{
    Record,
    kv::{self, Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// Renders a record with its line end.
pub(crate) fn encode(record: &Record<'_>, start: Instant) -> Vec<u8> {
    let mut fields = head(start, record.level().as_str());
    fields.insert("part".to_owned(), Json::from(record.target()));
    fields.insert("msg".to_owned(), Json::from(record.args().to_string()));
    let mut visitor = Fields(&mut fields);
    if let Err(error) = record.key_values().visit(&mut visitor) {
        fields.insert("field_error".to_owned(), Json::from(error.to_string()));
    }
    finish(fields)
}

/// The line that counts what was not written.
pub(crate) fn dropped(start: Instant, count: u64) -> Vec<u8> {
    let mut fields = head(start, "WARN");
    fields.insert("part".to_owned(), Json::from("carob_logs"));
    fields.insert(
        "msg".to_owned(),
        Json::from("log lines were dropped to bound their volume"),
    );
    fields.insert("lines".to_owned(), Json::from(count));
    finish(fields)
}

fn head(start: Instant, level: &str) -> Map<String, Json> {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Map::new();
    fields.insert("ts".to_owned(), Json::from(since.as_millis() as u64));
    fields.insert("up".to_owned(), Json::from(start.elapsed().as_millis() as u64));
    fields.insert("level".to_owned(), Json::from(level));
    fields
}

fn finish(fields: Map<String, Json>) -> Vec<u8> {
    let mut line = Json::Object(fields).to_string().into_bytes();
    line.push(b'\n');
    line
}

struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), kv::Error> {
        let json = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from))
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from))
            .unwrap_or_else(|| Json::from(value.to_string()));
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
