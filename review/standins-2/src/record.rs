//! The record of a case: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write as _,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record that is also printed; clones write to the same one.
#[derive(Clone, Debug)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Writes to the file that the environment variable `RECORD` names.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Self {
            start: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line about something that happened at `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let text = format!("{:8.3} s  {text}", self.seconds(at));
        println!("{text}");
        let mut file = self.file.lock().expect("no holder panics");
        let _written = writeln!(file, "{text}");
    }

    /// Seconds from the start to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }
}

/// Whether the disruption is to be played: unless `TROUBLE` is 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// Processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Notes the id of a process that was started, also in the file that the environment variable `STARTED` names.
pub fn note_process(id: u32) {
    STARTED.lock().expect("no holder panics").push(id);
    if let Ok(path) = std::env::var("STARTED") {
        let file = File::options().create(true).append(true).open(path);
        let _noted = file.and_then(|mut file| writeln!(file, "{id}"));
    }
}

/// Ends the case, and the processes that it started, as one that could not run.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let started = STARTED.lock().map(|started| started.clone()).unwrap_or_default();
    for id in started {
        let _sent = std::process::Command::new("kill")
            .args(["-KILL", &id.to_string()])
            .status();
    }
    std::process::exit(2)
}

/// Waits until `condition` holds, or ends the case as one that could not run.
pub fn wait_until(what: &str, longest: Duration, condition: impl Fn() -> bool) {
    let end = Instant::now() + longest;
    while !condition() {
        if Instant::now() > end {
            cannot_run(&format!("waited {longest:?} until {what}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}
