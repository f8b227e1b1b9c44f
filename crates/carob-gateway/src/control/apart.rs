//! Watches the store while the configuration is large: its versions apart from changes that are small and urgent.
//!
//! An answer of the store has each version since the known one, whole. If versions follow each other faster than the link carries
//! them, each answer is longer than the one before, and an entry of an upstream that leaves would wait behind all of them. So a
//! watch only tells that there is a version, and the newest one is read, by the first instance that watches.

use std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration};

use carob_platform::store::{self, Page, Refusal};
use tokio::time::{Instant, timeout_at};

use super::{
    changes::Way,
    follow::{
        ANSWER_MARGIN, Error, Outage, SILENCE_MARGIN, WATCH_TIMEOUT, call_store, change_pause, read_store,
        watch_time,
    },
    state::{Control, PREFIXES},
};
use crate::{
    era::Position,
    socket::{self, MAX_PAGE_BYTES},
};

/// Time limit of a call whose answer may hold the configuration.
pub(super) const CONFIG_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest pause between two reads of the configuration. Usually it is half of the time that the last one took, so that the link
/// is free for a third of the time.
const MAX_PAUSE: Duration = Duration::from_millis(250);

/// Largest answer to a watch of the prefix with the configuration that is read.
const MAX_NOTICE: usize = 16 << 10;

/// Time within which the first instance that watches has read a version and passed it on, before another one reads it.
const FIRST_TIME: Duration = Duration::from_millis(1_200);

/// How often an instance looks whether it has been told of a version.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Number of times that [`SILENCE_MARGIN`] has to pass while the link carries the configuration, for the store to be taken for
/// silent.
const BUSY_MARGINS: u32 = 4;

/// What is known of the content of the store, by prefix.
struct Streams<'a> {
    control: &'a Rc<Control>,
    era: u64,
    /// Revisions up to which every change is known, in the order of [`PREFIXES`].
    reached: [Cell<u64>; PREFIXES.len()],
    /// Whether the configuration is being read.
    is_reading: Cell<bool>,
}

/// Watches each prefix for itself, for as long as this instance has to watch and the configuration is large. Returns whether
/// all content has to be read. If `is_unsure`, it is learned at once whether the store answers.
///
/// # Errors
///
/// Returns an [`Error`] if the store does not answer.
pub(super) async fn watch(
    control: &Rc<Control>,
    outage: &mut Outage,
    is_unsure: bool,
) -> Result<bool, Error> {
    let Position { era, revision } = control.position();
    let streams = Streams {
        control,
        era,
        reached: [(); PREFIXES.len()].map(|()| Cell::new(revision)),
        is_reading: Cell::new(false),
    };
    let is_unsure = is_unsure || !control.is_answering();
    let [operator, directory, instances] = [0, 1, 2];
    tokio::select! {
        ended = streams.follow(directory, Some(outage), is_unsure) => ended,
        ended = streams.follow(instances, None, false) => ended,
        ended = streams.follow_config(operator) => ended,
    }
}

impl Streams<'_> {
    /// Whether the prefixes need not be watched apart any more.
    fn is_over(&self) -> bool {
        let control = self.control;
        !control.must_watch()
            || control.large_config().is_none()
            || control.is_incomplete()
            || control.followed_era() != self.era
    }

    /// Revision from which a watch of a prefix continues. Other instances may have told of later changes.
    fn from(&self, index: usize) -> u64 {
        self.reached[index].get().max(self.control.position().revision)
    }

    /// Follows a prefix without large values, whose answers tell whether the store is silent.
    async fn follow(
        &self,
        index: usize,
        mut outage: Option<&mut Outage>,
        mut is_unsure: bool,
    ) -> Result<bool, Error> {
        let control = self.control;
        while !self.is_over() {
            let wait = if std::mem::take(&mut is_unsure) {
                Duration::ZERO
            } else {
                watch_time(control)
            };
            let request = store::watch(PREFIXES[index], self.from(index), wait);
            let call = call_store(
                control,
                request,
                wait + SILENCE_MARGIN * BUSY_MARGINS + ANSWER_MARGIN,
            );
            let page = match self.with_silence(call, wait).await {
                Ok((page, era)) if era == self.era => page,
                Ok(_)
                | Err(Error::Refused(Refusal::Compacted) | Error::Socket(socket::Error::Unfinished(_))) => {
                    return Ok(true);
                }
                Err(error) => return Err(error),
            };
            if let Some(outage) = outage.as_deref_mut() {
                outage.record_success();
            }
            let has_changes = !page.items.is_empty();
            self.take(index, page);
            if has_changes {
                tokio::time::sleep(change_pause(control)).await;
            }
        }
        Ok(false)
    }

    /// Waits for a call that is answered after `wait`; after a margin the store counts as silent.
    async fn with_silence<T>(&self, call: impl Future<Output = T>, wait: Duration) -> T {
        let started = Instant::now();
        tokio::pin!(call);
        for margins in 1..=BUSY_MARGINS {
            let limit = started + wait + SILENCE_MARGIN * margins;
            if let Ok(outcome) = timeout_at(limit, call.as_mut()).await {
                return outcome;
            }
            if !self.is_reading.get() {
                break;
            }
        }
        self.control.record_failure(started);
        self.control.send_status();
        call.await
    }

    /// Follows the prefix with the configuration.
    async fn follow_config(&self, index: usize) -> Result<bool, Error> {
        let control = self.control;
        while !self.is_over() {
            let known = control.config_revision();
            let request = store::watch(PREFIXES[index], self.from(index), WATCH_TIMEOUT);
            match read_store(control, request, MAX_NOTICE, CONFIG_TIMEOUT).await {
                Ok((page, era)) if era == self.era => {
                    control.record_confirmation();
                    self.take(index, page);
                }
                Ok(_) => return Ok(true),
                Err(Error::Refused(Refusal::Compacted) | Error::Socket(socket::Error::Unfinished(_))) => {
                    if (control.is_first_watcher() || !self.is_told(index, known).await)
                        && self.read_newest(index).await?
                    {
                        return Ok(true);
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(false)
    }

    /// Waits until another instance has told of a configuration that is newer than that at `known`, and of all before it. Returns
    /// whether one has.
    async fn is_told(&self, index: usize, known: u64) -> bool {
        let (from, end) = (self.from(index), Instant::now() + FIRST_TIME);
        while Instant::now() < end {
            if self.control.config_revision() > known && self.from(index) > from {
                return true;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        false
    }

    /// Reads the prefix with the configuration, and pauses. Returns whether all content has to be read.
    async fn read_newest(&self, index: usize) -> Result<bool, Error> {
        let control = self.control;
        let started = Instant::now();
        self.is_reading.set(true);
        let request = store::range(PREFIXES[index], None);
        let answer = read_store(control, request, MAX_PAGE_BYTES, CONFIG_TIMEOUT).await;
        self.is_reading.set(false);
        let (page, era) = answer?;
        if era != self.era || page.has_more {
            return Ok(true);
        }
        control.record_confirmation();
        self.take_all(index, page);
        tokio::time::sleep((started.elapsed() / 2).min(MAX_PAUSE)).await;
        Ok(false)
    }

    /// Applies all items under a prefix. Those that are gone count as removed before others are told of all up to here.
    fn take_all(&self, index: usize, page: Page) {
        let position = Position::new(self.era, page.revision);
        let present: BTreeSet<String> = page.items.iter().map(|item| item.key.clone()).collect();
        self.control.apply_some(page.items, self.era, Way::Read);
        self.control.retain(PREFIXES[index], position, &present);
        self.reach(index, page.revision);
    }

    /// Applies the changes of a prefix.
    fn take(&self, index: usize, page: Page) {
        self.control.apply_some(page.items, self.era, Way::Watch);
        self.reach(index, page.revision);
    }

    /// Records that every change of a prefix up to `revision` is known, and passes on what is known of all prefixes.
    fn reach(&self, index: usize, revision: u64) {
        self.reached[index].set(revision.max(self.from(index)));
        let least = (0..self.reached.len()).map(|index| self.from(index)).min();
        self.control.advance(Position::new(self.era, least.unwrap_or(0)));
    }
}
