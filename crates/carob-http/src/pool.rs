//! A bounded pool of worker threads that start on demand and end when idle.

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

/// How long a worker waits for its next job before it ends.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// Stack of a worker, in bytes. Only touched pages take memory.
const STACK_BYTES: usize = 512 * 1024;

/// A job for a worker.
pub(crate) type Job = Box<dyn FnOnce() + Send>;

/// The pool. Clones share the workers.
#[derive(Clone)]
pub(crate) struct Pool {
    shared: Arc<Shared>,
    jobs: Sender<Job>,
}

struct Shared {
    /// Jobs accepted and not yet finished.
    busy: AtomicUsize,
    /// Workers that wait for a job and are not yet promised one.
    idle: AtomicUsize,
    limit: usize,
    queue: Receiver<Job>,
}

impl Pool {
    /// A pool that runs at most `limit` jobs at the same time.
    pub(crate) fn new(limit: usize) -> Self {
        let (jobs, queue) = flume::unbounded();
        let shared = Shared {
            busy: AtomicUsize::new(0),
            idle: AtomicUsize::new(0),
            limit,
            queue,
        };
        Self {
            shared: Arc::new(shared),
            jobs,
        }
    }

    /// Jobs in progress.
    pub(crate) fn busy(&self) -> usize {
        self.shared.busy.load(Ordering::Acquire)
    }

    /// Runs `job` on a worker, or gives it back if the pool is full or no thread can be started.
    pub(crate) fn submit(&self, job: Job) -> Result<(), Full> {
        if !add_below(&self.shared.busy, self.shared.limit) {
            return Err(Full);
        }
        if take_one(&self.shared.idle) {
            self.jobs.send(job).expect("the pool holds the receiver");
            return Ok(());
        }
        let shared = Arc::clone(&self.shared);
        spawn(move || work(&shared, job)).map_err(|error| {
            log::warn!("http: no worker thread could be started: {error}");
            self.shared.busy.fetch_sub(1, Ordering::AcqRel);
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

/// Every worker is busy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Full;

/// Runs `job` and then those from the queue until the worker has been idle for long.
fn work(shared: &Shared, job: Job) {
    let mut next = Some(job);
    while let Some(job) = next {
        // A panic ends one request, not the pool; the panic hook has reported it.
        let outcome = std::panic::catch_unwind(std::panic::AssertUnwindSafe(job));
        if outcome.is_err() {
            log::error!("http: a handler panicked; its connection is aborted");
        }
        shared.busy.fetch_sub(1, Ordering::AcqRel);
        shared.idle.fetch_add(1, Ordering::AcqRel);
        next = next_job(shared);
    }
}

fn next_job(shared: &Shared) -> Option<Job> {
    if let Ok(job) = shared.queue.recv_timeout(IDLE_LIMIT) {
        return Some(job);
    }
    if take_one(&shared.idle) {
        return None;
    }
    // Somebody counted on this worker in the meantime, so that a job is on its way.
    shared.queue.recv().ok()
}

fn take_one(counter: &AtomicUsize) -> bool {
    counter
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| n.checked_sub(1))
        .is_ok()
}

fn add_below(counter: &AtomicUsize, limit: usize) -> bool {
    counter
        .fetch_update(Ordering::AcqRel, Ordering::Acquire, |n| {
            (n < limit).then_some(n + 1)
        })
        .is_ok()
}
