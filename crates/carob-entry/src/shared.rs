//! What the threads of an instance share.

use std::{
    collections::HashSet,
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU8, AtomicU64, Ordering},
    },
};

use carob_base::{Clock, Name, Time};
use carob_config::Config;
use flume::Sender;

use crate::{control, io::cancel::Task, options::Options};

carob_base::plain! {
    /// Whether the instance takes requests.
    pub enum Phase {
        /// It has no configuration yet.
        Starting,
        /// It takes requests.
        Ready,
        /// It is shutting down, but answers what still arrives.
        Leaving,
        /// It has ended; its last threads are about to.
        Closed,
    }
}

/// What the threads of an instance share. Control state is not here: it belongs to the control thread.
#[derive(Debug)]
pub struct Shared {
    pub options: Options,
    pub clock: Clock,
    pub control: Sender<control::Event>,
    canceller: Sender<Task>,
    config: RwLock<Arc<Config>>,
    /// Upstreams whose load reports this instance asks for.
    polled: RwLock<Arc<HashSet<Name>>>,
    phase: AtomicU8,
    next_id: AtomicU64,
}

impl Shared {
    pub fn new(options: Options, control: Sender<control::Event>, canceller: Sender<Task>) -> Self {
        Self {
            options,
            clock: Clock::new(),
            control,
            canceller,
            config: RwLock::default(),
            polled: RwLock::default(),
            phase: AtomicU8::new(Phase::Starting as u8),
            next_id: AtomicU64::new(1),
        }
    }

    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Tells the control thread. It ends only after all others, so that a lost event concerns nobody.
    pub fn send_event(&self, event: control::Event) {
        if self.control.send(event).is_err() {
            log::debug!("entry: the control thread has ended");
        }
    }

    /// Hands a generation that nobody waits for to the canceller.
    pub fn cancel(&self, task: Task) {
        if self.canceller.send(task).is_err() {
            log::debug!("entry: the canceller has ended");
        }
    }

    /// The configuration in force; a request keeps the one it was admitted under.
    pub fn config(&self) -> Arc<Config> {
        let guard = self.config.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// Puts a configuration in force. Only the control thread does this.
    pub fn set_config(&self, config: Arc<Config>) {
        *self.config.write().unwrap_or_else(PoisonError::into_inner) = config;
    }

    /// Upstreams whose load reports this instance asks for.
    pub fn polled(&self) -> Arc<HashSet<Name>> {
        let guard = self.polled.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&guard)
    }

    /// Sets whose load reports this instance asks for. Only the control thread does this.
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

    /// Moves on to `phase`; phases never go back.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// A number for a request, unique within this process.
    pub fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }
}
