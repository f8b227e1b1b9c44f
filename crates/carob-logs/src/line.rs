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

#[cfg(test)]
mod tests {
    use std::fmt;

    use log::{Level, kv::Source};

    use super::*;

    /// A source of fields that fails after its first one.
    struct Failing;

    impl Source for Failing {
        fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
            visitor.visit_pair(Key::from_str("given"), Value::from(1_u64))?;
            Err(kv::Error::msg("no more fields"))
        }
    }

    fn render(level: Level, args: fmt::Arguments<'_>, fields: &dyn Source) -> String {
        let record = Record::builder()
            .level(level)
            .target("carob_logs::test")
            .args(args)
            .key_values(&fields)
            .build();
        without_times(&encode(&record, Instant::now()))
    }

    /// Checks the two times at the start of a line and returns the bytes after them.
    fn without_times(line: &[u8]) -> String {
        let text = std::str::from_utf8(line).expect("lines are UTF-8");
        let is_number = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let text = text.strip_prefix("{\"ts\":").expect("the wall clock comes first");
        let (wall, text) = text.split_once(',').expect("a field follows");
        assert!(is_number(wall), "{wall}");
        let text = text.strip_prefix("\"up\":").expect("the steady clock is second");
        let (steady, text) = text.split_once(',').expect("a field follows");
        assert!(is_number(steady), "{steady}");
        text.to_owned()
    }

    /// Collectors and `explain` read lines by the names and the notation of their fields.
    #[test]
    fn each_kind_of_field_has_its_notation() {
        let cause = std::io::Error::other("it \"broke\"");
        let fields: [(&str, Value<'_>); 14] = [
            ("zero", Value::from(0_u64)),
            ("most", Value::from(u64::MAX)),
            ("negative", Value::from(-7_i64)),
            ("whole", Value::from(2.0_f64)),
            ("fraction", Value::from(0.125_f64)),
            ("nan", Value::from(f64::NAN)),
            ("infinite", Value::from(f64::INFINITY)),
            ("truth", Value::from(true)),
            ("text", Value::from("a \"b\"\\\n\u{1}\u{e4}")),
            ("letter", Value::from('x')),
            ("shown", Value::from_display(&cause)),
            ("option", Value::from_debug(&Some("a"))),
            ("none", Value::null()),
            ("wide", Value::from(u128::MAX)),
        ];
        assert_eq!(
            render(Level::Info, format_args!("sent"), &&fields[..]),
            concat!(
                r#""level":"INFO","part":"carob_logs::test","msg":"sent","zero":0,"most":18446744073709551615,"#,
                r#""negative":-7,"whole":2.0,"fraction":0.125,"nan":null,"infinite":null,"truth":true,"#,
                r#""text":"a \"b\"\\\n\u0001ä","letter":"x","shown":"it \"broke\"","option":"Some(\"a\")","#,
                r#""none":"None","wide":"340282366920938463463374607431768211455"}"#,
                "\n"
            )
        );
    }

    #[test]
    fn levels_and_messages_are_written_as_given() {
        let none: [(&str, Value<'_>); 0] = [];
        let mut lines = String::new();
        for (number, level) in Level::iter().enumerate() {
            lines += &render(level, format_args!("line \"{number}\""), &&none[..]);
        }
        assert_eq!(
            lines,
            r#""level":"ERROR","part":"carob_logs::test","msg":"line \"0\""}
"level":"WARN","part":"carob_logs::test","msg":"line \"1\""}
"level":"INFO","part":"carob_logs::test","msg":"line \"2\""}
"level":"DEBUG","part":"carob_logs::test","msg":"line \"3\""}
"level":"TRACE","part":"carob_logs::test","msg":"line \"4\""}
"#
        );
    }

    #[test]
    fn a_failing_source_is_named_in_its_line() {
        assert_eq!(
            render(Level::Warn, format_args!("m"), &Failing),
            concat!(
                r#""level":"WARN","part":"carob_logs::test","msg":"m","given":1,"field_error":"no more fields"}"#,
                "\n"
            )
        );
    }

    #[test]
    fn dropped_lines_are_counted_in_a_line() {
        assert_eq!(
            without_times(&dropped(Instant::now(), 12)),
            concat!(
                r#""level":"WARN","part":"carob_logs","msg":"log lines were dropped to bound their volume","lines":12}"#,
                "\n"
            )
        );
    }
}
