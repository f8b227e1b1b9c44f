//! Watches the store while the configuration is large: its versions apart from changes that are small and urgent.
//!
//! An answer of the store has each version since the known one, whole. If versions follow each other faster than the link carries
//! them, each answer is longer than the one before, and an entry of an upstream that leaves would wait behind all of them.

use std::{cell::Cell, collections::BTreeSet, rc::Rc, time::Duration};

use carob_platform::{
    config,
    store::{self, Page, Refusal},
};
use tokio::time::Instant;

use super::{
    follow::{
        ANSWER_MARGIN, Error, Outage, SILENCE_MARGIN, WATCH_TIMEOUT, call_store, change_pause, read_store,
        watch_time, with_silence,
    },
    state::{Control, PREFIXES, Way},
};
use crate::{
    era::Position,
    socket::{self, MAX_PAGE_BYTES},
};

/// Time limit of a call whose answer may hold the configuration.
pub(super) const CONFIG_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest pause between two reads of the configuration. Usually it is the time that the last one took, so that half of the link
/// stays free.
const MAX_PAUSE: Duration = Duration::from_millis(500);

/// What is known of the content of the store, by prefix.
struct Streams<'a> {
    control: &'a Rc<Control>,
    era: u64,
    /// Revisions up to which every change is known, in the order of [`PREFIXES`].
    reached: [Cell<u64>; PREFIXES.len()],
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
    };
    let is_unsure = is_unsure || !control.is_answering();
    let [operator, directory, instances] = [0, 1, 2];
    tokio::select! {
        ended = streams.follow(directory, Some(outage), is_unsure) => ended,
        ended = streams.follow(instances, None, false) => ended,
        ended = streams.follow_config(operator) => ended,
    }
}

/// Size of an answer with one version of the configuration, in base64 and with what else there may be. One with two takes
/// longer than to read the newer one alone.
fn max_answer(control: &Control) -> usize {
    let value = control.large_config().map_or(MAX_PAGE_BYTES, |value| value.len());
    MAX_PAGE_BYTES.min(2 * value + (16 << 10))
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
            let call = call_store(control, request, wait + ANSWER_MARGIN);
            let page = match with_silence(control, call, wait + SILENCE_MARGIN).await {
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
            self.take(index, page, Way::Watch);
            if has_changes {
                tokio::time::sleep(change_pause(control)).await;
            }
        }
        Ok(false)
    }

    /// Follows the prefix with the configuration. If an answer has more than one version, only the newest is read, until there is
    /// no further one.
    async fn follow_config(&self, index: usize) -> Result<bool, Error> {
        let control = self.control;
        let mut is_behind = false;
        while !self.is_over() {
            let started = Instant::now();
            let request = if is_behind {
                store::range(PREFIXES[index], None)
            } else {
                store::watch(PREFIXES[index], self.from(index), WATCH_TIMEOUT)
            };
            let known = control.config_revision();
            let limit = if is_behind {
                MAX_PAGE_BYTES
            } else {
                max_answer(control)
            };
            let page = match read_store(control, request, limit, CONFIG_TIMEOUT).await {
                Ok((page, era)) if era == self.era => page,
                Ok(_) => return Ok(true),
                Err(Error::Refused(Refusal::Compacted) | Error::Socket(socket::Error::Unfinished(_)))
                    if !is_behind =>
                {
                    is_behind = true;
                    continue;
                }
                Err(error) => return Err(error),
            };
            let versions = page.items.iter().filter(|item| item.key == config::KEY);
            let newer = versions.filter(|item| item.revision > known).count();
            control.record_confirmation();
            if is_behind {
                if page.has_more {
                    return Ok(true);
                }
                is_behind = newer > 0;
                self.take_all(index, page);
            } else {
                is_behind = newer > 1;
                self.take(index, page, Way::Watch);
            }
            if newer > 0 {
                let pause = change_pause(control).max(started.elapsed());
                tokio::time::sleep(pause.min(MAX_PAUSE)).await;
            }
        }
        Ok(false)
    }

    /// Applies all items under a prefix.
    fn take_all(&self, index: usize, page: Page) {
        let position = Position::new(self.era, page.revision);
        let present: BTreeSet<String> = page.items.iter().map(|item| item.key.clone()).collect();
        self.take(index, page, Way::Read);
        self.control.retain(PREFIXES[index], position, &present);
    }

    /// Applies the changes of a prefix, and passes on what all of them lead to.
    fn take(&self, index: usize, page: Page, way: Way) {
        self.control.apply_some(page.items, self.era, way);
        self.reached[index].set(page.revision.max(self.from(index)));
        let least = (0..self.reached.len()).map(|index| self.from(index)).min();
        self.control.advance(Position::new(self.era, least.unwrap_or(0)));
    }
}
