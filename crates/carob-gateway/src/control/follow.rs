//! Follows the store: reads it whole once, then watches it.

use std::{collections::BTreeSet, rc::Rc, time::Duration};

use carob_platform::store::{self, Page, Refusal};
use tokio::time::Instant;

use super::state::{Control, PREFIXES};
use crate::socket;

/// How long a watch waits. A silent connection is noticed after this and [`SLACK`], and upstreams say 1.5 s before
/// they leave that they do; each watch is a priced call, but few instances watch.
const WATCH: Duration = Duration::from_millis(800);

/// Time for the store's answer after a watch has ended: ten times the usual one, with the way between regions.
const SLACK: Duration = Duration::from_millis(500);

/// How often an instance that does not watch looks whether it has to.
const REST: Duration = Duration::from_millis(200);

/// How long after entries can no longer come back a watch ends, so that they are removed.
const SETTLED: Duration = Duration::from_millis(20);

/// Time for a read.
const READ: Duration = Duration::from_millis(1_500);

/// Pauses between failed calls: doubled from the first to the last, with a random half.
const PAUSE_FIRST: Duration = Duration::from_millis(100);
const PAUSE_LAST: Duration = Duration::from_millis(800);

/// Why a call to the store gave nothing.
#[derive(Debug, thiserror::Error)]
pub(super) enum Error {
    /// There was no answer.
    #[error("{0}")]
    Socket(#[from] socket::Error),
    /// The answer was a refusal.
    #[error("{0:?}")]
    Refused(Refusal),
}

/// Follows the store for as long as the process runs.
pub(super) async fn run(control: Rc<Control>) {
    control.tell_peers();
    let mut outage = Outage::default();
    loop {
        match read_all(&control).await {
            Ok(()) => outage.over(),
            Err(error) => {
                outage.failed(&control, &error).await;
                continue;
            }
        }
        watch_all(&control, &mut outage).await;
    }
}

/// Reads everything. What changes meanwhile is seen by watching from the first page's revision.
async fn read_all(control: &Control) -> Result<(), Error> {
    let mut first = None;
    for prefix in PREFIXES {
        let mut present = BTreeSet::new();
        let mut after: Option<String> = None;
        let mut begun = None;
        loop {
            let request = store::range(prefix, after.as_deref());
            let page = ask(control, request, READ).await?;
            begun.get_or_insert(page.revision);
            first.get_or_insert(page.revision);
            present.extend(page.items.iter().map(|item| item.key.clone()));
            after = page.items.last().map(|item| item.key.clone());
            control.apply(page.items, 0);
            if !page.more || after.is_none() {
                break;
            }
        }
        control.retain(prefix, begun.unwrap_or(0), &present);
    }
    control.apply(Vec::new(), first.unwrap_or(0));
    control.tell_peers();
    log::info!(revision = control.revision(); "store read whole");
    Ok(())
}

/// Watches until the store no longer has the history that is needed; rests while enough others watch.
async fn watch_all(control: &Rc<Control>, outage: &mut Outage) {
    loop {
        let must = control.must_watch();
        if control.watching.replace(must) != must {
            log::info!(watching = must, revision = control.revision(); "watching the store changed");
            control.tell_known();
        }
        if !must {
            control.rest();
            // A timeout is the usual case: nothing was missed.
            let told = tokio::time::timeout(REST, control.lag.notified()).await;
            if told.is_ok() && control.is_behind() {
                catch_up(control).await;
            }
            control.tell_known();
            continue;
        }
        let revision = control.revision();
        let wait = control
            .unsettled()
            .map_or(WATCH, |left| WATCH.min(left + SETTLED));
        match ask(control, store::watch("", revision, wait), wait + SLACK).await {
            Ok(page) => {
                outage.over();
                control.apply(page.items, page.revision);
            }
            Err(Error::Refused(Refusal::Compacted)) => {
                log::info!(revision; "the store has dropped the history; reading it whole again");
                return;
            }
            Err(error) => outage.failed(control, &error).await,
        }
    }
}

/// Takes what was missed from the store, or from a peer if the store does not answer.
///
/// Changes that are too large for a datagram would otherwise be asked of the instances that watch by all others at
/// once, over links that are far smaller than the store's.
async fn catch_up(control: &Rc<Control>) {
    let revision = control.revision();
    match ask(control, store::watch("", revision, Duration::ZERO), READ).await {
        Ok(page) => {
            control.apply(page.items, page.revision);
            log::info!(before = revision, revision = control.revision(); "caught up with the store");
        }
        Err(error) => {
            log::info!(error:% = error, revision; "the store does not say what was missed; asking a peer");
            if let Some(peer) = control.ahead.take() {
                super::share::ask_peer(control, peer);
            }
        }
    }
}

/// Makes one read or watch.
async fn ask(
    control: &Control,
    request: hyper::Request<bytes::Bytes>,
    time: Duration,
) -> Result<Page, Error> {
    metrics::counter!("carobhaven_store_calls_total", "call" => "read").increment(1);
    let begun = Instant::now();
    let outcome = match socket::call(control.store(), request, begun + time).await {
        Ok((status, body)) => store::page(status, &body).map_err(Error::Refused),
        Err(error) => Err(Error::Socket(error)),
    };
    if matches!(outcome, Ok(_) | Err(Error::Refused(Refusal::Compacted))) {
        control.answered();
    } else {
        control.failed(begun);
    }
    outcome
}

/// Failures in a row.
#[derive(Debug, Default)]
struct Outage {
    failures: u32,
}

impl Outage {
    fn over(&mut self) {
        if self.failures > 0 {
            log::info!(failures = self.failures; "the store was regained");
        }
        self.failures = 0;
    }

    async fn failed(&mut self, control: &Control, error: &Error) {
        self.failures += 1;
        if self.failures == 1 {
            log::warn!(
                error:% = error, outage_ms = control.outage().as_millis() as u64, revision = control.revision();
                "the store does not answer; what is known of it stays in force"
            );
        }
        control.tell_known();
        let pause = PAUSE_FIRST
            .saturating_mul(1 << self.failures.min(4))
            .min(PAUSE_LAST);
        tokio::time::sleep(pause.mul_f64(0.5 + rand::random::<f64>() / 2.0)).await;
    }
}
