//! Collectors and the explain command read log lines by the names and the notation of their fields, so both
//! are compared byte for byte.
//!
//! A process has one logger and one standard output: each test starts its own executable again, with
//! [`CHILD`] set, to run only that test's part which writes lines, and reads what this process printed.

use std::{
    env, fmt,
    process::Command,
    thread,
    time::{Duration, Instant},
};

use log::{
    Level, LevelFilter, Record,
    kv::{self, Key, Source, Value, VisitSource},
};

/// Environment variable that tells a test to write its lines.
const CHILD: &str = "CAROB_LOGS_CHILD";

/// Number of lines that a queue accepts at once: 150 per second, averaged over four seconds.
const ACCEPTED: u64 = 600;

/// A source of fields that fails after its first one.
struct Failing;

impl Source for Failing {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        visitor.visit_pair(Key::from_str("given"), Value::from(1_u64))?;
        Err(kv::Error::msg("no more fields"))
    }
}

fn write(level: Level, args: fmt::Arguments<'_>, fields: &dyn Source) {
    let record = Record::builder()
        .level(level)
        .target("carob_logs::test")
        .args(args)
        .key_values(&fields)
        .build();
    log::logger().log(&record);
}

/// In the started process, calls `write_all` with a logger and returns nothing. In the process of the tests,
/// starts that process for the test `name` and returns its lines without their times.
fn lines(name: &str, write_all: impl FnOnce()) -> Option<Vec<String>> {
    if env::var_os(CHILD).is_some() {
        let writer = carob_logs::start(LevelFilter::Trace).expect("the process has no logger");
        write_all();
        writer.close();
        return None;
    }
    let output = Command::new(env::current_exe().expect("a running test has a path"))
        .args([name, "--exact", "--nocapture", "--test-threads=2"])
        .env(CHILD, "1")
        .output()
        .expect("the test can be started again");
    assert!(output.status.success(), "{output:?}");
    let text = String::from_utf8(output.stdout).expect("lines are UTF-8");
    // The test harness prints on the same output, but no braces.
    let written = text
        .split_inclusive('\n')
        .filter_map(|line| line.find('{').map(|start| without_times(&line[start..])));
    Some(written.collect())
}

/// Checks the two times at the start of a line and returns the bytes after them.
fn without_times(line: &str) -> String {
    let is_number = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    let line = line
        .strip_prefix("{\"ts\":")
        .expect("the wall clock's time comes first");
    let (wall, line) = line.split_once(',').expect("a field follows");
    assert!(is_number(wall), "{wall}");
    let line = line
        .strip_prefix("\"up\":")
        .expect("the steady clock's time is second");
    let (steady, line) = line.split_once(',').expect("a field follows");
    assert!(is_number(steady), "{steady}");
    line.to_owned()
}

#[test]
fn each_kind_of_field_has_its_notation() {
    let written = lines("each_kind_of_field_has_its_notation", || {
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
        write(Level::Info, format_args!("sent"), &&fields[..]);
    });
    let Some(written) = written else { return };
    assert_eq!(
        written,
        [concat!(
            r#""level":"INFO","part":"carob_logs::test","msg":"sent","zero":0,"most":18446744073709551615,"#,
            r#""negative":-7,"whole":2.0,"fraction":0.125,"nan":null,"infinite":null,"truth":true,"#,
            r#""text":"a \"b\"\\\n\u0001ä","letter":"x","shown":"it \"broke\"","option":"Some(\"a\")","#,
            r#""none":"None","wide":"340282366920938463463374607431768211455"}"#,
            "\n"
        )]
    );
}

/// How long a writer that is closed may take; it usually waits 150 ms for further lines.
const CLOSE_TIME: Duration = Duration::from_millis(100);

/// Times that a writer is closed; the machine may hold up some.
const CLOSES: usize = 5;

/// The end of a process waited for further lines.
#[test]
fn a_writer_that_is_closed_waits_for_further_lines() {
    const NAME: &str = "a_writer_that_is_closed_waits_for_further_lines";
    if env::var_os(CHILD).is_some() {
        let writer = carob_logs::start(LevelFilter::Trace).expect("the process has no logger");
        let none: [(&str, Value<'_>); 0] = [];
        write(Level::Info, format_args!("last"), &&none[..]);
        // The thread that writes has begun to wait.
        thread::sleep(Duration::from_millis(20));
        let closing = Instant::now();
        writer.close();
        assert!(
            closing.elapsed() < CLOSE_TIME,
            "closed after {:?}",
            closing.elapsed()
        );
        return;
    }
    let is_quick = |_| {
        let started = Command::new(env::current_exe().expect("a running test has a path"))
            .args([NAME, "--exact", "--nocapture"])
            .env(CHILD, "1")
            .output();
        let output = started.expect("the test can be started again");
        let text = String::from_utf8_lossy(&output.stdout);
        assert!(text.contains("\"msg\":\"last\""), "{text}");
        output.status.success()
    };
    assert!(
        (0..CLOSES).any(is_quick),
        "no close was quicker than {CLOSE_TIME:?}"
    );
}

/// Lines of warnings and errors have a queue of their own, which is written first.
#[test]
fn levels_and_messages_are_written_as_given() {
    let written = lines("levels_and_messages_are_written_as_given", || {
        let none: [(&str, Value<'_>); 0] = [];
        for (number, level) in Level::iter().enumerate() {
            write(level, format_args!("line \"{number}\""), &&none[..]);
        }
    });
    let Some(written) = written else { return };
    assert_eq!(
        written.concat(),
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
    let written = lines("a_failing_source_is_named_in_its_line", || {
        write(Level::Warn, format_args!("m"), &Failing);
    });
    let Some(written) = written else { return };
    assert_eq!(
        written,
        [concat!(
            r#""level":"WARN","part":"carob_logs::test","msg":"m","given":1,"field_error":"no more fields"}"#,
            "\n"
        )]
    );
}

#[test]
fn dropped_lines_are_counted_in_a_line() {
    let written = lines("dropped_lines_are_counted_in_a_line", || {
        let none: [(&str, Value<'_>); 0] = [];
        for _ in 0..ACCEPTED + 12 {
            write(Level::Info, format_args!("m"), &&none[..]);
        }
    });
    let Some(written) = written else { return };
    let is_ordinary =
        |line: &&String| *line == "\"level\":\"INFO\",\"part\":\"carob_logs::test\",\"msg\":\"m\"}\n";
    assert_eq!(written.iter().filter(is_ordinary).count() as u64, ACCEPTED);
    // The count is split over several lines if the thread that writes wakes up in between.
    let counts = written.iter().filter(|line| !is_ordinary(line)).map(|line| {
        let count = line
            .strip_prefix(concat!(
                r#""level":"WARN","part":"carob_logs","#,
                r#""msg":"log lines were dropped to bound their volume","lines":"#
            ))
            .and_then(|rest| rest.strip_suffix("}\n"))
            .and_then(|count| count.parse::<u64>().ok());
        count.unwrap_or_else(|| panic!("{line}"))
    });
    assert_eq!(counts.sum::<u64>(), 12);
}
