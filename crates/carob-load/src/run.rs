//! A run: starts a caller's thread for each arrival and summarizes their records in a report.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    thread::{self, JoinHandle},
};

use carob_base::{Clock, Time};
use flume::{Receiver, Sender};

use crate::{
    Report, Target,
    arrivals::{Arrival, Arrivals},
    caller::{Context, Record},
    check::{self, SendOutcome, Violation},
    measure::RunStats,
    target::UpstreamRecord,
    workload::{Kind, Workload},
};

/// Stack size of a caller's thread, in bytes.
const CALLER_STACK_BYTES: usize = 256 * 1024;

/// A run could not be carried out.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The operating system could not start the thread that collects the results.
    #[error("cannot start a thread: {0}")]
    Thread(#[source] io::Error),
}

/// Sends the requests of `workload` to `target`, with arrivals drawn from `seed`, and waits until all
/// exchanges have ended.
///
/// # Errors
///
/// Returns [`Error`] if the thread that collects the results cannot be started. Arrivals whose own thread
/// cannot be started are counted as skipped.
pub fn run(workload: &Workload, target: &Target, seed: u64) -> Result<Report, Error> {
    let context = Context {
        workload: Arc::new(workload.clone()),
        target: Arc::new(target.clone()),
        clock: Clock::new(),
    };
    log::info!("load: started workload {} with seed {seed}", workload.name);
    let (sender, records) = flume::unbounded();
    let collector = Collector::new(context.clone());
    let collector = thread::Builder::new()
        .name("load-collect".to_owned())
        .spawn(move || collector.run(&records))
        .map_err(Error::Thread)?;
    let skipped = send_all(&context, seed, sender);
    let stats = join(collector);
    let duration = context.clock.now().since(Time::ZERO);
    log::info!(
        "load: workload {} with seed {seed} finished after {duration:.1?}",
        workload.name
    );
    Ok(Report::new(workload, seed, duration, skipped, stats))
}

fn join(collector: JoinHandle<RunStats>) -> RunStats {
    collector.join().expect("the collecting thread does not panic")
}

/// Starts a caller for each arrival; returns the number of skipped arrivals.
fn send_all(context: &Context, seed: u64, records: Sender<Record>) -> u64 {
    let open = Arc::new(AtomicU32::new(0));
    let mut skipped = 0;
    for arrival in Arrivals::new(&context.workload, seed) {
        thread::sleep(arrival.at.since(context.clock.now()));
        let below_limit = open.load(Ordering::Relaxed) < context.workload.max_open;
        if !below_limit || start_caller(context, arrival, &open, &records).is_err() {
            skipped += 1;
        }
    }
    drop(records);
    skipped
}

fn start_caller(
    context: &Context,
    arrival: Arrival,
    open: &Arc<AtomicU32>,
    records: &Sender<Record>,
) -> io::Result<()> {
    let context = context.clone();
    let records = records.clone();
    let count = Arc::clone(open);
    open.fetch_add(1, Ordering::Relaxed);
    let spawned = thread::Builder::new()
        .name("load-caller".to_owned())
        .stack_size(CALLER_STACK_BYTES)
        .spawn(move || {
            let record = context.run(arrival);
            count.fetch_sub(1, Ordering::Relaxed);
            records.send(record).expect("results are collected to the end");
        });
    if spawned.is_err() {
        open.fetch_sub(1, Ordering::Relaxed);
    }
    spawned.map(drop)
}

/// The caller's view of a request, for comparison with the upstreams' record.
struct CallerView {
    kind: Kind,
    key: String,
    sends: Vec<SendOutcome>,
    text: Option<String>,
}

/// Collects the records of all exchanges.
struct Collector {
    context: Context,
    stats: RunStats,
    views: Vec<CallerView>,
}

impl Collector {
    fn new(context: Context) -> Self {
        Self {
            stats: RunStats::new(&context.workload),
            context,
            views: Vec::new(),
        }
    }

    fn run(mut self, records: &Receiver<Record>) -> RunStats {
        for record in records {
            log_record(&record);
            self.stats.record(&record);
            self.views.push(CallerView {
                kind: self.context.workload.class(record.arrival.class).kind,
                key: record.key,
                sends: record.sends,
                text: record.text,
            });
        }
        // The channel is closed, so all exchanges have ended and the upstreams' record is complete.
        let recorded = self.context.target.upstream_record();
        self.stats.preemptions = recorded.preemptions;
        for view in &self.views {
            for violation in compare(view, &recorded) {
                log::warn!(
                    "load: {} of {}, sends {:?}",
                    violation.as_str(),
                    view.key,
                    view.sends
                );
                self.stats.record_violation(violation);
            }
        }
        self.stats
    }
}

/// Returns the violations that the upstreams' record shows for one request.
fn compare(view: &CallerView, recorded: &UpstreamRecord) -> Vec<Violation> {
    match (view.kind, &recorded.generations, &recorded.orders) {
        (Kind::Generation, Some(generations), _) => {
            let texts = generations.get(&view.key).map_or(&[][..], Vec::as_slice);
            let mut found = check::compare_runs(&view.sends, texts.len(), false);
            let answer = view.text.as_ref().map(|text| check::compare_answer(text, texts));
            found.extend(answer.and_then(Result::err));
            found
        }
        (Kind::Order, _, Some(orders)) => {
            let runs = orders.get(&view.key).copied().unwrap_or(0);
            check::compare_runs(&view.sends, runs, true)
        }
        _ => Vec::new(),
    }
}

fn log_record(record: &Record) {
    log::debug!(
        "load: exchange {} ended with {:?} after {} tokens",
        record.arrival.number,
        record.outcome,
        record.tokens
    );
    for violation in &record.violations {
        log::warn!(
            "load: {} in exchange {} ({})",
            violation.as_str(),
            record.arrival.number,
            record.key
        );
    }
}
