//! State that is shared between the threads of an instance.

use std::{
    collections::HashSet,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
};

use carob_base::{Clock, Name, Time};
use carob_config::Config;
use flume::Sender;

use crate::{
    control,
    io::cancel::{Hold, Task},
    options::Options,
};

carob_base::plain! {
    /// The phase of an instance's life. The names are written into the status for operators.
    pub enum Phase {
        /// It has no configuration yet, and refuses requests.
        Starting,
        /// It serves requests.
        Ready,
        /// It is shutting down, but still serves the requests that arrive.
        Leaving,
        /// It is closed; its last threads end.
        Closed,
    }
}

/// State that is shared between the threads of an instance, without the control state: the control thread
/// owns that.
#[derive(Debug)]
pub struct Shared {
    pub options: Options,
    pub clock: Clock,
    pub control: Sender<control::Event>,
    canceller: Sender<(Task, Hold)>,
    /// Held by every task of the canceller that is not over.
    cancellations: Hold,
    config: RwLock<Arc<Config>>,
    /// Upstreams that this instance polls for load reports.
    polled: RwLock<Arc<HashSet<Name>>>,
    phase: AtomicU8,
    /// Whether it has been ready; an instance may leave before.
    configured: AtomicBool,
    next_id: AtomicU64,
}

impl Shared {
    pub fn new(options: Options, control: Sender<control::Event>, canceller: Sender<(Task, Hold)>) -> Self {
        Self {
            options,
            clock: Clock::new(),
            control,
            canceller,
            cancellations: Hold::default(),
            config: RwLock::default(),
            polled: RwLock::default(),
            phase: AtomicU8::new(Phase::Starting as u8),
            configured: AtomicBool::new(false),
            next_id: AtomicU64::new(1),
        }
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Sends an event to the control thread. That thread ends after all others that need it, so a lost event
    /// has no effect.
    pub fn send_event(&self, event: control::Event) {
        if self.control.send(event).is_err() {
            log::debug!("entry: the control thread has ended");
        }
    }

    /// Hands a generation whose caller has gone, or that is to be cancelled, to the canceller.
    pub fn cancel(&self, task: Task) {
        if self.canceller.send((task, self.cancellations.clone())).is_err() {
            log::debug!("entry: the canceller has ended");
        }
    }

    /// Number of the canceller's tasks that are not over.
    pub fn open_cancellations(&self) -> usize {
        self.cancellations.others()
    }

    /// The configuration in force; a request keeps the one under which it was admitted.
    pub fn config(&self) -> Arc<Config> {
        let guard = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// Puts a configuration in force. Only the control thread does this.
    pub fn set_config(&self, config: Arc<Config>) {
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
    }

    /// Upstreams that this instance polls for load reports.
    pub fn polled(&self) -> Arc<HashSet<Name>> {
        let guard = self.polled.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// Sets the upstreams that this instance polls. Only the control thread does this.
    pub fn set_polled(&self, polled: HashSet<Name>) {
        *self.polled.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(polled);
    }

    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Ready,
            2 => Phase::Leaving,
            _ => Phase::Closed,
        }
    }

    /// Advances to `phase`; has no effect if the instance is in a later phase already.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Advances to [`Phase::Ready`]: the configuration in force can be served from now on.
    pub fn set_ready(&self) {
        self.configured.store(true, Ordering::Release);
        self.advance(Phase::Ready);
    }

    /// Whether the configuration in force can be served.
    pub fn is_configured(&self) -> bool {
        self.configured.load(Ordering::Acquire)
    }

    /// A request number, unique within this process.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}
