//! Keeps an instance's configuration up to date.
//!
//! A pure state machine. The head is watched; it is also read again at long intervals, since a watch may have
//! gone silent. Peers are asked when one of them holds a higher revision, so a few watches in each failure domain
//! are enough, and an instance that starts while the store is down takes what its peers hold. A lower revision is
//! never applied, wherever it comes from.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_config::{Config, Revision};
use carob_store::{Backoff, Call, Change, Entry, Failure, Notice, Reply};
use rand::{RngExt as _, SeedableRng as _, rngs::SmallRng};
use smallvec::SmallVec;

use crate::{
    head::{ApplyError, HEAD_KEY, Head, SNAPSHOT_KEY},
    ledger::Ledger,
};

/// How the configuration is followed.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Lifetime of one watch; a watch that has gone silent is noticed after it. Default: 5 s.
    pub watch_lifetime: Duration,
    /// Longest time between two reads of the head, drawn from half of it upwards. Default: 10 min.
    pub reread_interval: Duration,
    /// Shortest time between two questions to peers. Default: 500 ms.
    pub fetch_interval: Duration,
    /// Seed of the jitter; different on every instance.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            watch_lifetime: Duration::from_secs(5),
            reread_interval: Duration::from_mins(10),
            fetch_interval: Duration::from_millis(500),
            seed: 0,
        }
    }
}

/// What has happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed; send one about every 100 ms.
    Tick,
    /// The result of the call in the last [`Action::Call`].
    StoreReplied(Result<Reply, Failure>),
    /// The watch reported something.
    WatchReported(Notice),
    /// The watch could not be opened, or has ended; the next one starts at this revision of the store.
    WatchEnded(Result<u64, Failure>),
    /// The highest revision that a live peer holds, as membership knows it now.
    PeerRevision(Revision),
    /// A peer answered [`Action::FetchFromPeer`] with values from [`Follower::updates_since`].
    PeerReplied(Vec<Bytes>),
    /// Whether this instance is one of those that watch the store for their failure domain.
    Watcher(bool),
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Carry this call out.
    Call(Call),
    /// Watch the key [`HEAD_KEY`] from this revision of the store on.
    Watch {
        /// First revision of the store to report.
        from: u64,
        /// Lifetime of the watch.
        lifetime: Duration,
    },
    /// Ask a peer that holds more than this revision for what follows it.
    FetchFromPeer {
        /// The revision held here.
        held: Revision,
    },
    /// A new configuration is in force.
    Apply(Arc<Config>),
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 2]>;

carob_base::plain! {
    enum Standing {
        /// No configuration was read from the store or a peer yet.
        Unknown,
        /// There is one, but a peer holds a higher one.
        Behind,
        /// There is one, and it was as high as what any peer held.
        Ready,
    }
}

/// An instance's view of the order of tickets.
#[derive(Debug)]
pub struct Follower {
    options: Options,
    backoff: Backoff,
    rng: SmallRng,
    ledger: Ledger,
    head: Head,
    standing: Standing,
    /// The highest revision that a live peer is known to hold.
    peer: Revision,
    watcher: bool,
    watching: bool,
    /// Revision of the store from which to watch; `None` before the first read.
    from: Option<u64>,
    /// Whether a call to the store is in progress.
    calling: bool,
    next_read: Time,
    next_watch: Time,
    next_ask: Time,
}

impl Follower {
    /// An instance that knows no configuration yet, and watches the store.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            backoff: Backoff::new(options.seed),
            rng: SmallRng::seed_from_u64(options.seed),
            ledger: Ledger::new(),
            head: Head::default(),
            standing: Standing::Unknown,
            peer: Revision(0),
            watcher: true,
            watching: false,
            from: None,
            calling: false,
            next_read: Time::ZERO,
            next_watch: Time::ZERO,
            next_ask: Time::ZERO,
        }
    }

    /// The configuration in force here.
    pub fn config(&self) -> &Arc<Config> {
        self.ledger.config()
    }

    /// The ledger, from which a submission can start.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Whether this instance may serve: it has had a configuration as high as what any live peer held.
    pub fn is_ready(&self) -> bool {
        self.standing == Standing::Ready
    }

    /// The values that bring a peer at revision `held` up to date; none if it already is.
    pub fn updates_since(&self, held: Revision) -> Vec<Bytes> {
        if self.standing == Standing::Unknown || self.ledger.revision() <= held {
            return Vec::new();
        }
        match self.head.entries_after(held) {
            Some(head) => vec![head.to_bytes()],
            None => vec![self.ledger.to_bytes()],
        }
    }

    /// Takes in `event` at `now`.
    pub fn step(&mut self, event: Event, now: Time) -> Actions {
        let mut actions = Actions::new();
        match event {
            Event::Tick => {}
            Event::StoreReplied(result) => self.replied(result, now, &mut actions),
            Event::WatchReported(notice) => self.noticed(notice, now, &mut actions),
            Event::WatchEnded(end) => self.watch_ended(end, now),
            Event::PeerRevision(revision) => self.peer = revision,
            Event::PeerReplied(values) => self.peer_sent(&values, &mut actions),
            Event::Watcher(watcher) => self.watcher = watcher,
        }
        if self.standing == Standing::Behind && !self.lags_peer() {
            self.standing = Standing::Ready;
        }
        self.poll(now, &mut actions);
        actions
    }

    /// Starts whatever is due.
    fn poll(&mut self, now: Time, actions: &mut Actions) {
        if !self.calling && now >= self.next_read {
            self.call(HEAD_KEY, actions);
        }
        if let Some(from) = self.from
            && self.watcher
            && !self.watching
            && now >= self.next_watch
        {
            self.watching = true;
            let lifetime = self.options.watch_lifetime;
            actions.push(Action::Watch { from, lifetime });
        }
        if self.lags_peer() && now >= self.next_ask {
            self.next_ask = now + self.options.fetch_interval;
            let held = self.ledger.revision();
            actions.push(Action::FetchFromPeer { held });
        }
    }

    fn lags_peer(&self) -> bool {
        self.peer > self.ledger.revision()
    }

    fn call(&mut self, key: &'static [u8], actions: &mut Actions) {
        self.calling = true;
        let key = Bytes::from_static(key);
        actions.push(Action::Call(Call::Get { key }));
    }

    fn replied(&mut self, result: Result<Reply, Failure>, now: Time, actions: &mut Actions) {
        self.calling = false;
        let Ok(Reply::Found { entries, revision }) = result else {
            self.next_read = now + self.backoff.failed();
            return;
        };
        self.backoff.succeeded();
        self.next_read = now
            + self
                .options
                .reread_interval
                .mul_f64(self.rng.random_range(0.5..1.0));
        match entries.first() {
            Some(entry) if entry.key == SNAPSHOT_KEY => {
                self.take_snapshot(&entry.value, actions);
                // The head may hold more than the snapshot.
                self.next_read = now;
            }
            Some(entry) => {
                self.from = Some(revision + 1);
                self.take_head(entry, now, actions);
            }
            None => {
                self.from = Some(revision + 1);
                self.empty_store(actions);
            }
        }
    }

    fn noticed(&mut self, notice: Notice, now: Time, actions: &mut Actions) {
        let changes = match notice {
            Notice::Changes(changes) => changes,
            Notice::Compacted => {
                self.next_read = now;
                return;
            }
        };
        for change in changes {
            match change {
                Change::Put(entry) => {
                    self.from = self.from.max(Some(entry.revision + 1));
                    self.take_head(&entry, now, actions);
                }
                Change::Deleted(_) => log::error!("config: the head was deleted from the store; holding on"),
            }
        }
    }

    fn watch_ended(&mut self, end: Result<u64, Failure>, now: Time) {
        self.watching = false;
        match end {
            Ok(from) => {
                self.from = self.from.max(Some(from));
                self.next_watch = now;
            }
            Err(_) => self.next_watch = now + self.backoff.failed(),
        }
    }

    fn empty_store(&mut self, actions: &mut Actions) {
        if self.ledger.revision() > Revision(0) || self.lags_peer() {
            log::error!(
                "config: the store is empty; holding on to {}",
                self.ledger.revision()
            );
            return;
        }
        if self.standing == Standing::Unknown {
            self.applied(actions);
        }
    }

    fn take_head(&mut self, entry: &Entry, now: Time, actions: &mut Actions) {
        let head = match Head::from_bytes(&entry.value) {
            Ok(head) => head,
            Err(error) => return log::error!("config: the head cannot be read: {error}"),
        };
        if self.apply_head(head, actions) == Err(ApplyError::Gap) {
            if self.calling {
                self.next_read = now;
            } else {
                self.call(SNAPSHOT_KEY, actions);
            }
        }
    }

    fn apply_head(&mut self, head: Head, actions: &mut Actions) -> Result<(), ApplyError> {
        if head.revision() < self.ledger.revision() {
            log::warn!(
                "config: {} is below {}; ignored",
                head.revision(),
                self.ledger.revision()
            );
            return Ok(());
        }
        let before = self.ledger.revision();
        let result = head.apply_to(&mut self.ledger);
        if let Err(gap) = &result {
            log::warn!("config: stays at {}: {gap}", self.ledger.revision());
        } else {
            self.head = head;
        }
        if self.ledger.revision() > before || (result.is_ok() && self.standing == Standing::Unknown) {
            self.applied(actions);
        }
        result
    }

    fn take_snapshot(&mut self, value: &[u8], actions: &mut Actions) {
        let ledger = match Ledger::from_bytes(value) {
            Ok(ledger) => ledger,
            Err(error) => return log::error!("config: the snapshot cannot be read: {error}"),
        };
        if ledger.revision() > self.ledger.revision() {
            self.head = Head {
                snapshot_revision: ledger.revision(),
                ..Head::default()
            };
            self.ledger = ledger;
            self.applied(actions);
        }
    }

    fn peer_sent(&mut self, values: &[Bytes], actions: &mut Actions) {
        for value in values {
            match Head::from_bytes(value) {
                Ok(head) => {
                    // A gap is settled by the next answer, which starts from the revision held then.
                    let _gap = self.apply_head(head, actions);
                }
                Err(_) => self.take_snapshot(value, actions),
            }
        }
    }

    fn applied(&mut self, actions: &mut Actions) {
        self.standing = self.standing.max(Standing::Behind);
        let config = self.config();
        log::info!("config: {} in force, digest {}", config.revision, config.digest());
        actions.push(Action::Apply(Arc::clone(config)));
    }
}
