//! Follows the store: reads all of its content once, then watches it for changes.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use carob_platform::store::{self, Page, Refusal};
use tokio::time::Instant;

use super::state::{Control, PREFIXES};
use crate::{era::AnswerEra, socket};

/// Duration of a watch without changes. An unresponsive connection is noticed after this and
/// [`ANSWER_MARGIN`], which together have to be less than the 1.5 s in advance with which upstreams announce
/// that they leave. Each watch is charged as a call to the store, but few instances watch.
const WATCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for the store's response after a watch has ended: ten times the usual response time, including the
/// round trip between regions.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);

/// How often an instance that does not watch checks whether it has to.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// How often an instance that begins to watch checks whether directory updates still arrive.
const STATUS_INTERVAL: Duration = Duration::from_millis(50);

/// How long a watch may continue after the end of the time in which entries may reappear after an outage of
/// the store. The watch is ended then, so that entries which did not reappear are removed.
const REMOVAL_MARGIN: Duration = Duration::from_millis(20);

/// Time limit of a read.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);

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
}

/// Follows the store for as long as the process runs.
pub(super) async fn run(control: Rc<Control>) {
    control.send_peers();
    let mut outage = Outage::default();
    loop {
        match read_all(&control).await {
            Ok(()) => outage.record_success(),
            Err(error) => {
                outage.record_failure_and_pause(&control, &error).await;
                continue;
            }
        }
        watch_all(&control, &mut outage).await;
    }
}

/// Argument of [`Control::apply`] that leaves the known revision as it is: revisions only advance.
const UNCHANGED_REVISION: u64 = 0;

/// Reads all content and sets the known revision to that of the first page, so that a watch from there sees
/// the changes made meanwhile.
async fn read_all(control: &Control) -> Result<(), Error> {
    let mut first_revision = None;
    for prefix in PREFIXES {
        let mut present = BTreeSet::new();
        let mut after: Option<String> = None;
        let mut prefix_revision = None;
        loop {
            let request = store::range(prefix, after.as_deref());
            let (page, era) = call_store(control, request, READ_TIMEOUT).await?;
            if let AnswerEra::Later(era) = era {
                control.follow_era(era);
            }
            prefix_revision.get_or_insert(page.revision);
            first_revision.get_or_insert(page.revision);
            present.extend(page.items.iter().map(|item| item.key.clone()));
            after = page.items.last().map(|item| item.key.clone());
            control.apply(page.items, UNCHANGED_REVISION);
            if !page.has_more || after.is_none() {
                break;
            }
        }
        control.retain(prefix, prefix_revision.unwrap_or(0), &present);
    }
    control.apply(Vec::new(), first_revision.unwrap_or(0));
    control.send_peers();
    log::info!(revision = control.revision(); "all content of the store read");
    Ok(())
}

/// Watches until the store no longer has the history since the known revision; makes no calls while enough
/// other instances watch.
async fn watch_all(control: &Rc<Control>, outage: &mut Outage) {
    loop {
        let must_watch = control.must_watch();
        let was_watching = control.watching.replace(must_watch);
        if was_watching != must_watch {
            log::info!(watching = must_watch, revision = control.revision(); "watching the store changed");
            control.send_status();
        }
        if !must_watch {
            // Ends the measuring of an outage: the outcome of the last call no longer counts.
            control.suspend_calls();
            // A timeout is the usual case: this instance is not behind.
            let notified = tokio::time::timeout(RECHECK_INTERVAL, control.lagging.notified()).await;
            if notified.is_ok() && control.is_behind() {
                catch_up(control).await;
            }
            control.send_status();
            continue;
        }
        let revision = control.revision();
        let longest = control
            .reappearance_left()
            .map_or(WATCH_TIMEOUT, |left| WATCH_TIMEOUT.min(left + REMOVAL_MARGIN));
        // An instance that begins to watch learns at once whether the store answers, and tells its peers.
        let begins = must_watch && !was_watching && !control.is_answering();
        let wait = if begins { Duration::ZERO } else { longest };
        let call = call_store(control, store::watch("", revision, wait), wait + ANSWER_MARGIN);
        let answer = if begins {
            with_status(control, call).await
        } else {
            call.await
        };
        match answer {
            Ok((page, _era)) => {
                outage.record_success();
                control.apply(page.items, page.revision);
            }
            Err(Error::Refused(Refusal::Compacted)) => {
                log::info!(revision; "the store has compacted the needed history; reading all content again");
                return;
            }
            Err(error) => outage.record_failure_and_pause(control, &error).await,
        }
    }
}

/// Waits for a call, and tells the traffic thread meanwhile if directory updates no longer arrive: the store may
/// have answered a call of this instance just before the peers lost it.
async fn with_status<T>(control: &Control, call: impl Future<Output = T>) -> T {
    tokio::pin!(call);
    loop {
        tokio::select! {
            outcome = &mut call => return outcome,
            () = tokio::time::sleep(STATUS_INTERVAL) => control.send_status(),
        }
    }
}

/// Fetches missed changes from the store, or from a peer if the store does not answer.
///
/// The store is asked first: a change too large for a datagram is missed by all instances that do not watch.
/// If all of them at once fetched it from the few that watch, it would go over links that are far smaller than
/// the store's.
async fn catch_up(control: &Rc<Control>) {
    let revision = control.revision();
    match call_store(control, store::watch("", revision, Duration::ZERO), READ_TIMEOUT).await {
        Ok((page, _era)) => {
            control.apply(page.items, page.revision);
            log::info!(before = revision, revision = control.revision(); "caught up with the store");
        }
        Err(error) => {
            log::info!(error:% = error, revision; "missed changes not read from the store; asking a peer");
            if let Some(peer) = control.ahead_peer.take() {
                super::share::fetch_from_peer(control, peer);
            }
        }
    }
}

/// Makes one read or watch call with the time limit `timeout`.
async fn call_store(
    control: &Control,
    request: hyper::Request<bytes::Bytes>,
    timeout: Duration,
) -> Result<(Page, AnswerEra), Error> {
    metrics::counter!("carobhaven_store_calls_total", "call" => "read").increment(1);
    let started = Instant::now();
    let outcome = match socket::call(control.store_address(), request, started + timeout).await {
        Ok(response) => {
            let era = control.judge_answer(response.headers(), "read");
            let page = store::decode_page(response.status(), response.body());
            page.map(|page| (page, era)).map_err(Error::Refused)
        }
        Err(error) => Err(Error::Socket(error)),
    };
    if matches!(outcome, Ok(_) | Err(Error::Refused(Refusal::Compacted))) {
        control.record_answer();
    } else {
        control.record_failure(started);
    }
    outcome
}

#[derive(Debug, Default)]
struct Outage {
    /// Consecutive failed calls.
    failures: u32,
}

impl Outage {
    fn record_success(&mut self) {
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
