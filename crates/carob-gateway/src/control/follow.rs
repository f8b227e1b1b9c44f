//! Follows the store: reads all of its content once, then watches it for changes.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use carob_platform::store::{self, Item, Page, Refusal};
use futures_util::{StreamExt as _, stream::FuturesUnordered};
use smallvec::SmallVec;
use tokio::time::Instant;

use super::{
    apart,
    changes::Way,
    state::{Control, PREFIXES, UNCHANGED, keep},
};
use crate::{
    era::{AnswerEra, Position},
    socket::{self, MAX_PAGE_BYTES},
};

/// Duration of a watch without changes. An unresponsive connection is noticed after this and
/// [`ANSWER_MARGIN`], which together have to be less than the 1.5 s in advance with which upstreams announce
/// that they leave. Each watch is charged as a call to the store, but few instances watch.
pub(super) const WATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for the store's response after a watch has ended: ten times the usual response time, including the
/// round trip between regions.
pub(super) const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// How often an instance that does not watch checks whether it has to.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Time within which those that watch are heard of: instances report once a second.
const HEAR_TIME: Duration = Duration::from_secs(1);

/// How often an instance checks whether directory updates still arrive.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of the store's answer from which on it is taken for silent, while the answer is waited for still: five times the
/// usual response time, including the round trip between regions.
pub(super) const SILENCE_MARGIN: Duration = Duration::from_millis(250);

/// Pause of an instance that watches after each answer with changes, if another one watches too and is before it in rank:
/// it gets them from that one, and every answer is charged as a call.
const SECOND_PAUSE: Duration = Duration::from_millis(250);

/// The same of the first one. The upstreams that leave together write their entries within this time.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// How long a watch may continue after the end of the time in which entries may reappear after an outage of
/// the store. The watch is ended then, so that entries which did not reappear are removed.
const REMOVAL_MARGIN: Duration = Duration::from_millis(20);

/// Maximum size of an answer to a watch. All content is read if there are more changes, of which it has the last of each key.
const MAX_CHANGES_BYTES: usize = 512 << 10;

/// Number of peers that are asked for missed changes before the store is, while the configuration is large.
const MAX_FETCHES: usize = 5;

/// Time limit of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Maximum number of calls that are made for one page within [`READ_TIMEOUT`].
const MAX_READS: usize = 3;

/// Number of failures in a row after which all content is read instead of the changes.
const MAX_WATCH_FAILURES: u32 = 2;

/// Mean time between two instances that read the content of a later era.
const ERA_INTERVAL: Duration = Duration::from_millis(1);

/// Mean time between two instances that the store turns away and that fetch the same change from a peer.
const FETCH_INTERVAL: Duration = Duration::from_millis(1);

/// Bounds of the pause after a failed call: twice the minimum after the first failure, doubled with each
/// further one up to the maximum. A random factor between 0.5 and 1, applied last, spreads the calls of
/// different instances.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(800);

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// No response was received.
    #[error("{0}")]
    Socket(#[from] socket::Error),
    /// The store refused the call, or its response could not be used.
    #[error("{0:?}")]
    Refused(Refusal),
    /// The content belongs to another era of the store.
    #[error("expected content of era {expected}, found era {found}")]
    OtherEra {
        /// The followed era, or that of earlier pages.
        expected: u64,
        /// The era that the answer names.
        found: u64,
    },
}

/// Follows the store for as long as the process runs.
pub(super) async fn run(control: Rc<Control>) {
    control.send_peers();
    let mut outage = Outage::default();
    loop {
        match read_all(&control).await {
            Ok(()) => {
                outage.record_success();
                break;
            }
            Err(error) => outage.record_failure_and_pause(&control, &error).await,
        }
        // Others may know this instance from before, and tell it that they have content.
        if let Some(peer) = control.ahead_peer.take() {
            super::share::fetch_awaiting(&control, peer).await;
        }
        // With the content of another instance, what follows comes from the others, if not from the store.
        if control.position() > Position::START {
            break;
        }
    }
    // Others may watch already.
    control.suspend_calls();
    watch_all(&control, &mut outage).await;
}

/// Tells the traffic thread for as long as the process runs if directory updates no longer arrive: the last instance that
/// passes them on may be lost at any moment of a call, and of a pause between calls.
pub(super) async fn run_status(control: Rc<Control>) {
    loop {
        tokio::time::sleep(STATUS_INTERVAL).await;
        control.tell_status();
    }
}

/// All items under a prefix.
struct FullPrefix {
    prefix: &'static str,
    /// Revision of the first page.
    revision: u64,
    items: Vec<Item>,
}

/// Reads all content and sets the known position to that of the first page, so that a watch from there sees
/// the changes made meanwhile. All pages have to be of one era, which is followed from then on; those of a later one are
/// applied together.
async fn read_all(control: &Control) -> Result<(), Error> {
    let pending = control.pending_era();
    let mut era = None;
    let mut content = SmallVec::<[FullPrefix; PREFIXES.len()]>::new();
    for prefix in PREFIXES {
        let mut items = Vec::new();
        let mut after: Option<String> = None;
        let mut revision = None;
        loop {
            let (page, found) = read_page(control, prefix, after.as_deref()).await?;
            let expected = *era.get_or_insert(found);
            if found != expected {
                return Err(Error::OtherEra { expected, found });
            }
            revision.get_or_insert(page.revision);
            after = page.items.last().map(|item| item.key.clone());
            let kept: Vec<Item> = page.items.into_iter().filter_map(keep).collect();
            if found == control.position().era {
                // What is known of this era is not lost if a later page fails.
                control.apply(kept.clone(), Position::new(found, UNCHANGED), Way::Read);
            }
            items.extend(kept);
            if !page.has_more || after.is_none() {
                break;
            }
        }
        content.push(FullPrefix {
            prefix,
            revision: revision.unwrap_or(0),
            items,
        });
    }
    let era = era.unwrap_or(0);
    control.follow_era(era);
    let first = content.first().map_or(0, |first| first.revision);
    let lists: SmallVec<[(&str, u64, BTreeSet<String>); PREFIXES.len()]> = content
        .iter()
        .map(|read| {
            let present = read.items.iter().map(|item| item.key.clone()).collect();
            (read.prefix, read.revision, present)
        })
        .collect();
    let items = content.into_iter().flat_map(|read| read.items).collect();
    control.apply(items, Position::new(era, first), Way::Read);
    for (prefix, revision, present) in lists {
        control.retain(prefix, Position::new(era, revision), &present);
    }
    control.lacks_evacuations.set(false);
    control.record_confirmation();
    control.send_status();
    if let Some(pending) = pending {
        control.refute_era(pending);
    }
    control.send_peers();
    log::info!(era, revision = control.revision(); "all content of the store read");
    Ok(())
}

/// Reads the page of the items under `prefix` whose keys come after `after`.
///
/// An instance without content refuses all requests, so it asks again after each [`ANSWER_MARGIN`] and takes the first answer:
/// a store that answers again may never answer the calls that it got while it was silent.
async fn read_page(control: &Control, prefix: &str, after: Option<&str>) -> Result<(Page, u64), Error> {
    let started = Instant::now();
    let limit = if control.large_config().is_some() {
        apart::CONFIG_TIMEOUT
    } else {
        READ_TIMEOUT
    };
    let call = || {
        let left = limit.saturating_sub(started.elapsed());
        call_store(control, store::range(prefix, after), left)
    };
    let mut calls = FuturesUnordered::from_iter([call()]);
    loop {
        let may_repeat = calls.len() < MAX_READS && control.position() == Position::START;
        tokio::select! {
            Some(answer) = calls.next() => return answer,
            () = tokio::time::sleep(ANSWER_MARGIN), if may_repeat => calls.push(call()),
        }
    }
}

/// Watches for as long as the process runs. Reads all content again if the store no longer has the history since the known
/// revision, is in a later era, or has more changes than one answer holds. Makes no calls while enough other instances watch.
async fn watch_all(control: &Rc<Control>, outage: &mut Outage) {
    let mut must_read = false;
    // Whether another instance has lost the store, so that this one may have lost it as well.
    let mut is_doubted = false;
    loop {
        let must_watch = control.must_watch() && (control.is_answering() || await_turn(control).await);
        let was_watching = control.watching.replace(must_watch);
        if was_watching != must_watch {
            let Position { era, revision } = control.position();
            log::info!(watching = must_watch, era, revision; "watching the store changed");
            control.send_status();
        }
        if !must_watch {
            follow_peers(control, outage).await;
            continue;
        }
        ask_unheard(control);
        // Watches that fail again and again may each have been answered with too much.
        if must_read || control.is_incomplete() || outage.failures >= MAX_WATCH_FAILURES {
            match read_all(control).await {
                Ok(()) => {
                    must_read = false;
                    outage.record_success();
                }
                Err(error) => outage.record_failure_and_pause(control, &error).await,
            }
            continue;
        }
        let from = control.position();
        if control.large_config().is_some() {
            (must_read, is_doubted) = watch_apart(control, outage, is_doubted).await;
            continue;
        }
        // An instance that begins to watch, or that the store did not answer, learns at once whether it does now, and
        // tells its peers.
        let is_unsure = is_doubted || !control.is_answering();
        is_doubted = false;
        let wait = if is_unsure {
            Duration::ZERO
        } else {
            watch_time(control)
        };
        let call = call_limited(
            control,
            store::watch("", from.revision, wait),
            MAX_CHANGES_BYTES,
            wait + ANSWER_MARGIN,
        );
        let answer = tokio::select! {
            answer = with_silence(control, call, wait + SILENCE_MARGIN) => answer,
            () = control.era_seen.notified() => continue,
            () = control.watcher_lost.notified(), if !is_unsure => {
                is_doubted = true;
                continue;
            }
        };
        match answer {
            // Meanwhile the content may have been taken from a peer, in a later era.
            Ok((page, era)) if era == from.era && era == control.followed_era() => {
                outage.record_success();
                control.record_confirmation();
                let has_changes = !page.items.is_empty();
                control.apply_changes(page.items, Position::new(era, page.revision), Way::Watch);
                if has_changes {
                    is_doubted = pause_after_changes(control).await;
                }
            }
            Ok(_) => must_read = true,
            Err(error) if lacks_changes(&error, from) => must_read = true,
            Err(error) => outage.record_failure_and_pause(control, &error).await,
        }
    }
}

/// Whether the changes after `from` cannot be had from the store, although it answers.
fn lacks_changes(error: &Error, from: Position) -> bool {
    let Position { era, revision } = from;
    match error {
        Error::Refused(Refusal::Compacted) => {
            log::info!(era, revision; "the store has compacted the needed history; reading all content again");
            true
        }
        // Many or large changes at once. A full read has pages.
        Error::Socket(socket::Error::Unfinished(_)) => {
            log::warn!(error:% = error, revision; "changes not read at once; reading all content");
            true
        }
        _ => false,
    }
}

/// Reads all content; pauses and returns `false` if that fails.
async fn read_again(control: &Control, outage: &mut Outage) -> bool {
    match read_all(control).await {
        Ok(()) => {
            outage.record_success();
            true
        }
        Err(error) => {
            outage.record_failure_and_pause(control, &error).await;
            false
        }
    }
}

/// Watches while the configuration is large. Returns whether all content has to be read, and whether another instance has lost
/// the store.
async fn watch_apart(control: &Rc<Control>, outage: &mut Outage, is_doubted: bool) -> (bool, bool) {
    let ended = tokio::select! {
        ended = apart::watch(control, outage, is_doubted) => ended,
        () = control.era_seen.notified() => Ok(false),
        () = control.watcher_lost.notified(), if !is_doubted => return (false, true),
    };
    match ended {
        Ok(must_read) => (must_read, false),
        Err(error) => {
            outage.record_failure_and_pause(control, &error).await;
            (false, false)
        }
    }
}

/// How long a watch may take.
pub(super) fn watch_time(control: &Control) -> Duration {
    control
        .reappearance_left()
        .map_or(WATCH_TIMEOUT, |left| WATCH_TIMEOUT.min(left + REMOVAL_MARGIN))
}

/// Waits for a while, and fetches what this instance has missed.
async fn follow_peers(control: &Rc<Control>, outage: &mut Outage) {
    // Ends the measuring of an outage: the outcome of the last call no longer counts.
    control.suspend_calls();
    // A timeout is the usual case: this instance is not behind.
    let notified = tokio::time::timeout(RECHECK_INTERVAL, control.lagging.notified()).await;
    if control.pending_era().is_some() {
        enter_era(control, outage).await;
    } else if notified.is_ok() && control.is_behind() {
        catch_up(control).await;
    }
    control.send_status();
}

/// Reads the content of a later era as an instance that does not watch: from a peer if one has it, else from the store.
/// Instances do so one after the other.
async fn enter_era(control: &Rc<Control>, outage: &mut Outage) {
    let spread = ERA_INTERVAL * control.instance_count();
    tokio::time::sleep(spread.mul_f64(rand::random::<f64>())).await;
    if let Some(peer) = control.ahead_peer.take() {
        super::share::fetch_awaiting(control, peer).await;
    }
    if control.pending_era().is_none() {
        return;
    }
    read_again(control, outage).await;
}

/// Waits for a call; after `limit` the store counts as silent.
async fn with_silence<T>(control: &Control, call: impl Future<Output = T>, limit: Duration) -> T {
    tokio::pin!(call);
    let started = Instant::now();
    if let Ok(outcome) = tokio::time::timeout(limit, call.as_mut()).await {
        return outcome;
    }
    control.record_failure(started);
    control.send_status();
    call.await
}

/// Waits for this instance's turn to ask a store that does not answer it. Returns whether no others have begun to watch
/// meanwhile.
async fn await_turn(control: &Rc<Control>) -> bool {
    let from = Instant::now();
    let turn = control.turn();
    if turn.is_zero() {
        return true;
    }
    log::info!(
        wait_ms = turn.as_millis() as u64, instances = control.instance_count();
        "waiting for a turn to ask the store"
    );
    let end = from + turn;
    // Those that were expected to ask first may have gone.
    while Instant::now() < end && !control.turn().is_zero() {
        if !control.must_watch() {
            return false;
        }
        // An instance that has just started hears of those that watch within this time.
        if from.elapsed() >= HEAR_TIME {
            control.record_failure(from);
        }
        control.send_status();
        if control.is_behind()
            && let Some(peer) = control.ahead_peer.take()
        {
            super::share::fetch_from_peer(control, peer);
        }
        ask_unheard(control);
        tokio::time::sleep_until(end.min(Instant::now() + RECHECK_INTERVAL)).await;
    }
    true
}

/// Asks another instance for content if neither the store answers nor another instance is heard of: nothing tells that this
/// one is behind.
fn ask_unheard(control: &Rc<Control>) {
    if !control.is_answering()
        && let Some(peer) = control.peer_to_ask()
    {
        super::share::fetch_from_peer(control, peer);
    }
}

/// Pause after an answer with changes, in which further ones come together, or come from another instance that watches.
pub(super) fn change_pause(control: &Control) -> Duration {
    if control.is_first_watcher() {
        FIRST_PAUSE
    } else {
        SECOND_PAUSE
    }
}

/// Lets further changes come together after an answer. Returns at once and `true` if another instance loses the store.
async fn pause_after_changes(control: &Control) -> bool {
    tokio::time::timeout(change_pause(control), control.watcher_lost.notified())
        .await
        .is_ok()
}

/// Fetches missed changes from the store, or from a peer if the store does not answer.
///
/// The store is asked first: a change too large for a datagram is missed by all instances that do not watch.
/// If all of them at once fetched it from the few that watch, it would go over links that are far smaller than
/// the store's.
///
/// While the store turns this instance away, peers are asked at once, and one after the other: many instances may miss the
/// same change, and at first only those that watch have it. A store that is silent for [`ANSWER_MARGIN`] turns it away as well.
/// They are asked first as well while the configuration is large, as they send patches of it.
async fn catch_up(control: &Rc<Control>) {
    let from = control.position();
    let (before, started) = (from.revision, Instant::now());
    if control.is_turned_away() && fetch_in_turn(control).await {
        return;
    }
    if control.large_config().is_some() {
        return catch_up_apart(control).await;
    }
    let request = store::watch("", before, Duration::ZERO);
    let call = call_limited(control, request, MAX_CHANGES_BYTES, READ_TIMEOUT);
    tokio::pin!(call);
    let answer = match tokio::time::timeout(ANSWER_MARGIN, call.as_mut()).await {
        Ok(answer) => answer,
        Err(_elapsed) => {
            control.record_turned_away();
            if fetch_in_turn(control).await {
                return;
            }
            call.await
        }
    };
    match answer {
        Ok((page, era)) if era == from.era && era == control.followed_era() => {
            let changes = page.items.len();
            control.record_confirmation();
            control.apply_changes(page.items, Position::new(era, page.revision), Way::Watch);
            log::info!(
                before, era, revision = control.revision(), changes,
                took_ms = started.elapsed().as_millis() as u64; "caught up with the store"
            );
        }
        // The content of the later era is read next.
        Ok(_) => {}
        Err(error) => {
            log::info!(
                error:% = error, revision = before, took_ms = started.elapsed().as_millis() as u64;
                "missed changes not read from the store; asking a peer"
            );
            control.record_turned_away();
            if let Some(peer) = control.ahead_peer.take() {
                super::share::fetch_from_peer(control, peer);
            }
        }
    }
}

/// Fetches missed changes while the configuration is large: from peers, or all content from the store. The changes there have
/// each version of the configuration whole.
async fn catch_up_apart(control: &Control) {
    for _ in 0..MAX_FETCHES {
        if fetch_in_turn(control).await {
            return;
        }
    }
    if let Err(error) = read_all(control).await {
        log::info!(error:% = error, revision = control.revision(); "content not read from the store");
        control.record_turned_away();
    }
}

/// Fetches missed changes from the peer that was last seen ahead. Returns whether it has sent them, or nothing is missing any
/// more.
async fn fetch_in_turn(control: &Control) -> bool {
    let spread = FETCH_INTERVAL * control.instance_count();
    tokio::time::sleep(spread.mul_f64(rand::random::<f64>())).await;
    if !control.is_behind() {
        return true;
    }
    match control.ahead_peer.take() {
        Some(peer) => super::share::fetch_awaiting(control, peer).await,
        None => false,
    }
}

/// Makes one read or watch call with the time limit `timeout`, and takes note of whether the store answers. Returns the page and
/// its era, which is not earlier than the followed one.
pub(super) async fn call_store(
    control: &Control,
    request: hyper::Request<bytes::Bytes>,
    timeout: Duration,
) -> Result<(Page, u64), Error> {
    call_limited(control, request, MAX_PAGE_BYTES, timeout).await
}

/// Like [`call_store`], for at most `limit` bytes.
async fn call_limited(
    control: &Control,
    request: hyper::Request<bytes::Bytes>,
    limit: usize,
    timeout: Duration,
) -> Result<(Page, u64), Error> {
    let started = Instant::now();
    let outcome = read_store(control, request, limit, timeout).await;
    if matches!(outcome, Ok(_) | Err(Error::Refused(Refusal::Compacted))) {
        control.record_answer();
    } else {
        control.record_failure(started);
    }
    outcome
}

/// Makes one read or watch call with the time limit `timeout`, for at most `limit` bytes.
pub(super) async fn read_store(
    control: &Control,
    request: hyper::Request<bytes::Bytes>,
    limit: usize,
    timeout: Duration,
) -> Result<(Page, u64), Error> {
    metrics::counter!("carobhaven_store_calls_total", "call" => "read").increment(1);
    let expected = control.followed_era();
    let deadline = Instant::now() + timeout;
    match socket::call(control.store_address(), request, limit, deadline).await {
        Ok(response) => {
            let era = match control.judge_answer(response.headers(), "read") {
                // Another one than before the call if it was taken from a peer meanwhile.
                AnswerEra::Followed => Ok(control.followed_era()),
                AnswerEra::Unnamed => Ok(expected),
                AnswerEra::Later(era) => Ok(era),
                AnswerEra::Earlier(found) => Err(Error::OtherEra { expected, found }),
            };
            era.and_then(|era| {
                let page = store::decode_page(response.status(), response.body());
                page.map(|page| (page, era)).map_err(Error::Refused)
            })
        }
        Err(error) => Err(Error::Socket(error)),
    }
}

#[derive(Debug, Default)]
pub(super) struct Outage {
    /// Consecutive failed calls.
    failures: u32,
}

impl Outage {
    pub(super) fn record_success(&mut self) {
        if self.failures > 0 {
            log::info!(failures = self.failures; "the store was regained");
        }
        self.failures = 0;
    }

    async fn record_failure_and_pause(&mut self, control: &Control, error: &Error) {
        self.failures += 1;
        if self.failures == 1 {
            log::warn!(
                error:% = error, outage_ms = control.outage().as_millis() as u64, revision = control.revision();
                "the store does not answer; what is known of it stays in force"
            );
        }
        control.send_status();
        let pause = MIN_BACKOFF
            .saturating_mul(1 << self.failures.min(4))
            .min(MAX_BACKOFF);
        tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }
}
