//! Runs the traces under `tests/traces` and compares the actions of the delivery with those that each line
//! expects.
//!
//! A line holds a time in milliseconds, an input and, after `->`, the expected actions, separated by commas:
//!
//! * `new [whole] [limit=BYTES]`, `resume ID INCARNATION AFTER`, `pace MILLIS`: sets up the delivery (`whole`
//!   is the buffered mode, `limit` its buffer limit) and the event intervals of its engine (`pace`);
//! * `start`, `head CONN INCARNATION`, `broken CONN CAUSE`, `tick`, `gone` (the caller has disconnected),
//!   `resumed` (the caller has resumed the answer on another connection): inputs other than events;
//! * `created CONN ID`, `text CONN SEQUENCE ITEM`, `other CONN SEQUENCE`, `completed CONN SEQUENCE ID`,
//!   `failed CONN SEQUENCE ID`: events.
//!
//! The actions are:
//!
//! * `open CONN create`, `open CONN again`, `open CONN after SEQUENCE`: opens a connection for a new
//!   generation, for all events of the answer from its start, or for the events after one;
//! * `deliver SEQUENCE`, `close CONN`, `rerun`, `cancel ID` (`?` for an unknown id), `fail CODE OUTCOME`,
//!   `finish END`: the other actions.
//!
//! Between two lines the delivery is ticked at its deadlines and must not return any action.

use std::{fmt::Write as _, path::Path, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_stream::{
    Action, Actions, Cause, ConnId, Delivery, EventIntervals, Generation, Mode, Options, Source,
};
use carob_wire::event::Event;

struct Trace {
    delivery: Delivery,
    intervals: EventIntervals,
}

fn run(path: &Path) -> datatest_stable::Result<()> {
    let text = std::fs::read_to_string(path)?;
    let mut trace = Trace {
        delivery: Delivery::new(Options::new()),
        intervals: EventIntervals::new(),
    };
    let lines = text.lines().enumerate();
    for (index, line) in lines.filter(|(_, line)| !line.trim().is_empty() && !line.starts_with('#')) {
        let (input, expected) = line.split_once("->").unwrap_or((line, ""));
        let words: Vec<_> = input.split_whitespace().collect();
        let now = Time::from_millis(words[0].parse()?);
        trace
            .advance_to(now)
            .map_err(|error| format!("before line {}: {error}", index + 1))?;
        let actions = trace.apply(&words[1..], now)?;
        let found = describe(&actions);
        if found != expected.trim() {
            return Err(format!(
                "line {}: {input}\n expected {expected}\n    found {found}",
                index + 1
            )
            .into());
        }
    }
    Ok(())
}

impl Trace {
    /// Ticks the delivery at its deadlines before `now`. Fails if it returns actions or does not move its
    /// deadline.
    fn advance_to(&mut self, now: Time) -> Result<(), String> {
        while self.delivery.deadline() < now {
            let due = self.delivery.deadline();
            let actions = self.delivery.on_tick(due);
            if !actions.is_empty() || self.delivery.deadline() <= due {
                return Err(format!("at {} ms: {}", due.as_millis(), describe(&actions)));
            }
        }
        Ok(())
    }

    fn apply(&mut self, words: &[&str], now: Time) -> datatest_stable::Result<Actions> {
        let delivery = &mut self.delivery;
        let conn = || -> datatest_stable::Result<ConnId> { Ok(ConnId(words[1].parse()?)) };
        Ok(match words[0] {
            "new" => {
                *delivery = Delivery::new(options(&words[1..])?);
                Actions::new()
            }
            "resume" => {
                let generation = Generation::from_answer_id(words[2].parse()?, words[1]);
                *delivery = Delivery::resume(Options::new(), generation, words[3].parse().ok());
                Actions::new()
            }
            "pace" => {
                let interval = Duration::from_millis(words[1].parse()?);
                self.intervals = EventIntervals::new();
                for _ in 0..100 {
                    self.intervals.record(interval);
                }
                Actions::new()
            }
            "start" => delivery.start(self.intervals.clone(), now),
            "head" => delivery.on_head(conn()?, words[2].parse()?, now),
            "broken" => delivery.on_connection_failed(conn()?, cause(words[2])?, now),
            "tick" => delivery.on_tick(now),
            "gone" => delivery.on_caller_gone(now),
            "resumed" => delivery.on_resumed_elsewhere(),
            _ => delivery.on_event(conn()?, event(words)?, now),
        })
    }
}

fn options(words: &[&str]) -> datatest_stable::Result<Options> {
    let mut options = Options::new();
    for word in words {
        match word.split_once('=') {
            None if *word == "whole" => options.mode = Mode::Buffered,
            Some(("limit", bytes)) => options.buffer_limit = bytes.parse()?,
            _ => return Err(format!("unknown option {word}").into()),
        }
    }
    Ok(options)
}

fn cause(word: &str) -> datatest_stable::Result<Cause> {
    Ok(match word {
        "refused" => Cause::Refused,
        "busy" => Cause::Busy,
        "not-found" => Cause::NotFound,
        "ended" => Cause::Ended,
        "malformed" => Cause::Malformed,
        status => Cause::Rejected {
            status: status.parse()?,
        },
    })
}

fn event(words: &[&str]) -> datatest_stable::Result<Event> {
    let json = match words {
        ["created", _, id] => {
            format!(r#"{{"type":"response.created","sequence_number":0,"response":{{"id":"{id}"}}}}"#)
        }
        ["text", _, sequence, item] => format!(
            r#"{{"type":"response.output_text.delta","sequence_number":{sequence},"item_id":"{item}","delta":"x"}}"#
        ),
        ["other", _, sequence] => format!(r#"{{"type":"response.other","sequence_number":{sequence}}}"#),
        [last @ ("completed" | "failed"), _, sequence, id] => {
            format!(r#"{{"type":"response.{last}","sequence_number":{sequence},"response":{{"id":"{id}"}}}}"#)
        }
        _ => return Err(format!("unknown input {words:?}").into()),
    };
    Ok(Event::parse(Bytes::from(json))?)
}

fn describe(actions: &Actions) -> String {
    let mut text = String::new();
    for action in actions {
        let comma = if text.is_empty() { "" } else { ", " };
        let word = match action {
            Action::Deliver(event) => format!("deliver {}", event.head.sequence),
            Action::Open { conn, source } => format!("open {} {}", conn.0, describe_source(*source)),
            Action::Close(conn) => format!("close {}", conn.0),
            Action::Rerun { .. } => "rerun".to_owned(),
            Action::Cancel(generation) => {
                format!("cancel {}", generation.answer_id.as_deref().unwrap_or("?"))
            }
            Action::Fail(problem) => {
                let code = serde_json::to_value(problem.code).unwrap_or_default();
                format!(
                    "fail {} {}",
                    code.as_str().unwrap_or_default(),
                    problem.outcome.as_str()
                )
            }
            Action::Finish(end) => format!("finish {end:?}").to_lowercase(),
        };
        write!(text, "{comma}{word}").expect("writing to a string succeeds");
    }
    text
}

fn describe_source(source: Source) -> String {
    match source {
        Source::Create => "create".to_owned(),
        Source::Resume { after: None } => "again".to_owned(),
        Source::Resume { after: Some(after) } => format!("after {after}"),
    }
}

datatest_stable::harness! {
    { test = run, root = "tests/traces", pattern = r".*\.txt$" },
}
