//! A bounded pool of worker threads, which start on demand and end when they have been idle for a while.

use std::{
    io,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use flume::{Receiver, Sender};

/// Time after which an idle worker ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Stack size of a worker, in bytes. Only the pages that are touched take memory.
const STACK_BYTES: usize = 512 * 1024;

pub(crate) type Job = Box<dyn FnOnce() + Send>;

/// A pool of worker threads. Clones share the workers.
#[derive(Clone)]
pub(crate) struct Pool {
    shared: Arc<Shared>,
    jobs: Sender<Job>,
}

struct Shared {
    /// Jobs accepted and not yet finished.
    in_progress: AtomicUsize,
    /// Idle workers, less the queued jobs that they will take.
    idle: AtomicUsize,
    max_jobs: usize,
    queue: Receiver<Job>,
}

impl Pool {
    /// Creates a pool that runs at most `max_jobs` jobs at the same time.
    pub(crate) fn new(max_jobs: usize) -> Self {
        let (jobs, queue) = flume::unbounded();
        let shared = Shared {
            in_progress: AtomicUsize::new(0),
            idle: AtomicUsize::new(0),
            max_jobs,
            queue,
        };
        Self {
            shared: Arc::new(shared),
            jobs,
        }
    }

    /// Number of jobs in progress. A job counts until it has returned.
    pub(crate) fn in_progress(&self) -> usize {
        self.shared.in_progress.load(Ordering::Acquire)
    }

    /// Runs `job` on a worker. Drops it and returns [`Full`] if the pool is full or no thread can be started.
    pub(crate) fn submit(&self, job: Job) -> Result<(), Full> {
        if !increment_below(&self.shared.in_progress, self.shared.max_jobs) {
            return Err(Full);
        }
        if try_decrement(&self.shared.idle) {
            self.jobs.send(job).expect("the pool holds the receiver");
            return Ok(());
        }
        let shared = Arc::clone(&self.shared);
        spawn(move || work(&shared, job)).map_err(|error| {
            log::warn!("http: cannot start a worker thread: {error}");
            self.shared.in_progress.fetch_sub(1, Ordering::AcqRel);
            Full
        })
    }
}

fn spawn(run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = thread::Builder::new()
        .name("http-worker".to_owned())
        .stack_size(STACK_BYTES);
    builder.spawn(run).map(drop)
}

/// The maximum number of jobs is in progress, or no worker thread could be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

/// Runs `job` and then queued jobs, until the worker has been idle for [`IDLE_TIMEOUT`].
fn work(shared: &Shared, job: Job) {
    let mut next = Some(job);
    while let Some(job) = next {
        // A panic ends one request, not the worker; the panic hook has already reported it.
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
        if outcome.is_err() {
            log::error!("http: a handler panicked; its connection is aborted");
        }
        shared.in_progress.fetch_sub(1, Ordering::AcqRel);
        shared.idle.fetch_add(1, Ordering::AcqRel);
        next = next_job(shared);
    }
}

fn next_job(shared: &Shared) -> Option<Job> {
    if let Ok(job) = shared.queue.recv_timeout(IDLE_TIMEOUT) {
        return Some(job);
    }
    if try_decrement(&shared.idle) {
        return None;
    }
    // `submit` has counted on this worker in the meantime, so a job is about to be queued.
    shared.queue.recv().ok()
}

fn try_decrement(counter: &AtomicUsize) -> bool {
    counter
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1))
        .is_ok()
}

fn increment_below(counter: &AtomicUsize, limit: usize) -> bool {
    counter
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
            (n < limit).then_some(n + 1)
        })
        .is_ok()
}
