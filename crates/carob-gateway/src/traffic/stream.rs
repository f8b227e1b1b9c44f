//! A stream of events: passed on as they come, across moves to other upstreams.

use std::{cell::RefCell, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_dispatch::fleet::Quality;
use carob_platform::{
    answer::{self, Claim},
    engine,
    request::Resume,
};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response,
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, timeout, timeout_at},
};

use super::{
    answer::{Answer, Cut},
    call::Call,
    exchange::name,
    guard::{Active, Run},
    listen::Count,
    migrate::{self, Moved, Progress},
    probe,
};
use crate::{
    events::Splitter,
    socket::{self, Driver},
};

/// Chunks that a slow client may be behind before the upstream is read no further.
const CHUNKS: usize = 16;

/// How long the end of a stopped stream is waited for, once its upstream has said that it stopped.
const DRAIN: Duration = Duration::from_millis(250);

/// How long the answer of an upstream that continues a generation is waited for.
const CONTINUE: Duration = Duration::from_secs(3);

/// Time for giving up a copy that is not used.
const RELEASE: Duration = Duration::from_secs(1);

type Mover = Pin<Box<dyn Future<Output = Moved>>>;

/// A task that ends with what it serves.
struct AbortOnDrop(tokio::task::JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// A stream that is being passed on.
struct Stream {
    call: Rc<Call>,
    run: Run,
    body: Incoming,
    driver: Driver,
    client: mpsc::Sender<Result<Bytes, Cut>>,
    /// Whether the upstream marks the body's end, so that a body which ends is whole.
    framed: bool,
    splitter: Splitter,
    /// Id of the last event that the client got.
    last: Option<u64>,
    events: u32,
    moves: u32,
    first: Option<Instant>,
    previous: Instant,
    pause: Duration,
}

/// Why a stream is over.
enum End {
    /// It is whole.
    Complete,
    /// The client has gone.
    ClientGone,
    /// The time of the client or the route is over.
    Late,
    /// The upstream broke off, and there is no memory to continue from.
    Broken(String),
}

/// What happened next.
enum Step {
    Bytes(Bytes),
    Ended,
    Failed(String),
    Moved(Moved),
    Leaving,
    ClientGone,
    Late,
}

/// Passes on a stream whose head has come.
pub(super) fn start(
    call: &Rc<Call>,
    run: Run,
    response: Response<Incoming>,
    driver: Driver,
    active: Active,
    count: Count,
) -> Response<Answer> {
    let (mut parts, body) = response.into_parts();
    let framed = framed(&parts.headers);
    answer::strip(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let (client, pieces) = mpsc::channel(CHUNKS);
    let stream = Stream {
        call: Rc::clone(call),
        run,
        body,
        driver,
        client,
        framed,
        splitter: Splitter::new(),
        last: None,
        events: 0,
        moves: 0,
        first: None,
        previous: Instant::now(),
        pause: Duration::ZERO,
    };
    tokio::task::spawn_local(async move {
        let _counted = (active, count);
        stream.pass().await;
    });
    Response::from_parts(parts, Answer::Pieces(pieces))
}

/// Whether the end of an answer's body is marked, and not only by the end of the connection.
fn framed(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

impl Stream {
    async fn pass(mut self) {
        let end = loop {
            match self.at_upstream().await {
                Ok(()) => {}
                Err(end) => break end,
            }
        };
        let (outcome, reason) = match &end {
            End::Complete => ("complete", String::new()),
            End::ClientGone => ("client gone", String::new()),
            End::Late => ("cut: time is over", String::new()),
            End::Broken(reason) => ("cut: upstream broke off", reason.clone()),
        };
        if !matches!(end, End::Complete | End::ClientGone) {
            // The client may be gone by now; then there is nobody to tell.
            let _told = self.client.send(Err(Cut)).await;
        }
        let level = if matches!(end, End::Complete) {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        metrics::counter!("carobhaven_streams_total", "outcome" => outcome).increment(1);
        let first = self.first.map(|first| first - self.call.arrival);
        if let Some(first) = first {
            metrics::histogram!("carobhaven_first_event_seconds").record(first.as_secs_f64());
        }
        metrics::histogram!("carobhaven_longest_pause_seconds").record(self.pause.as_secs_f64());
        log::log!(
            level, request:% = self.call.id(), upstream:% = name(&self.call, self.run.upstream), outcome,
            reason, events = self.events, moves = self.moves,
            first_ms = first.map_or(0, |first| first.as_millis() as u64),
            pause_ms = self.pause.as_millis() as u64, age_ms = self.call.age(); "stream ended"
        );
    }

    /// Passes events on until the stream ends, or continues at another upstream.
    async fn at_upstream(&mut self) -> Result<(), End> {
        let notice = self.call.shared.notice(self.run.upstream);
        let progress = Rc::new(RefCell::new(Progress::default()));
        let probing =
            tokio::task::spawn_local(probe::follow(Rc::clone(&self.call.shared), self.run.upstream));
        let _probing = AbortOnDrop(probing);
        let mut mover: Option<Mover> = None;
        let mut may_move = self.call.engine.as_ref().is_some_and(|engine| engine.moves);
        loop {
            if may_move && mover.is_none() && self.leaving() {
                may_move = false;
                mover = Some(Box::pin(migrate::run(
                    Rc::clone(&self.call),
                    self.run.upstream,
                    Rc::clone(&progress),
                    self.run.size.tokens,
                    self.call.remaining(self.events),
                )));
            }
            match self.step(&notice, &mut mover).await {
                Step::Bytes(bytes) => self.forward(&bytes).await?,
                Step::Leaving => {}
                Step::ClientGone => {
                    self.give_up(&progress);
                    return Err(End::ClientGone);
                }
                Step::Late => {
                    self.give_up(&progress);
                    return Err(End::Late);
                }
                Step::Moved(moved) => {
                    mover = None;
                    // A generation that has ended was not stopped, so that the end of its stream is its own.
                    if matches!(moved, Moved::NotRunning) {
                        progress.borrow_mut().stopping = false;
                    }
                    if self.moved(moved, &progress).await? {
                        return Ok(());
                    }
                }
                Step::Ended if self.framed || !progress.borrow().stopping => {
                    self.give_up(&progress);
                    return self.finish().await;
                }
                Step::Ended => {
                    // A stream without a length ends alike whether it is whole or was stopped: only the answer to
                    // the final copy tells.
                    return match self.outcome(&mut mover).await {
                        Moved::NotRunning => self.finish().await,
                        moved => self.resume_after(moved, &progress, "ended").await,
                    };
                }
                Step::Failed(reason) => {
                    let stopping = progress.borrow().stopping;
                    let moved = if stopping {
                        self.outcome(&mut mover).await
                    } else {
                        Moved::Failed("the source broke off")
                    };
                    return self.resume_after(moved, &progress, &reason).await;
                }
            }
        }
    }

    fn leaving(&self) -> bool {
        let fleet = self.call.shared.fleet();
        fleet
            .upstream(self.run.upstream)
            .is_none_or(|found| found.left.is_some())
    }

    /// Address of the present upstream.
    fn source(&self) -> Option<SocketAddr> {
        let fleet = self.call.shared.fleet();
        fleet.upstream(self.run.upstream).map(|found| found.entry.address)
    }

    async fn step(&mut self, notice: &Notify, mover: &mut Option<Mover>) -> Step {
        let moving = mover.is_some();
        let moved = async {
            match mover {
                Some(mover) => mover.await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            () = self.client.closed() => Step::ClientGone,
            frame = self.body.frame() => match frame {
                Some(Ok(frame)) => Step::Bytes(frame.into_data().unwrap_or_default()),
                Some(Err(error)) => Step::Failed(error.to_string()),
                None => Step::Ended,
            },
            moved = moved => Step::Moved(moved),
            () = notice.notified(), if !moving => Step::Leaving,
            () = tokio::time::sleep_until(self.call.until) => Step::Late,
        }
    }

    /// Waits for the answer to a final copy that is under way.
    async fn outcome(&self, mover: &mut Option<Mover>) -> Moved {
        match mover.take() {
            Some(mover) => timeout_at(self.call.until, mover)
                .await
                .unwrap_or(Moved::Failed("no answer to the final copy in time")),
            None => Moved::Failed("no copy is under way"),
        }
    }

    /// Passes on whole events.
    async fn forward(&mut self, bytes: &[u8]) -> Result<(), End> {
        self.splitter.push(bytes);
        let mut chunk = BytesMut::new();
        let mut count = 0;
        while let Some(event) = self.splitter.next_event() {
            // An upstream that continues a generation may begin with events that the client has.
            if event.id.is_some() && event.id <= self.last {
                continue;
            }
            self.last = event.id.or(self.last);
            count += 1;
            chunk.extend_from_slice(&event.bytes);
        }
        if count == 0 {
            return Ok(());
        }
        let now = Instant::now();
        if self.first.is_none() {
            self.first = Some(now);
        } else {
            self.pause = self.pause.max(now - self.previous);
        }
        self.previous = now;
        self.events += count;
        if let Some(engine) = &self.call.engine {
            let made = self.events * engine.stride;
            if self.run.size.unread > 0 || self.call.held(made) > self.run.size.tokens {
                self.run.resize(self.call.size(made));
            }
        }
        let sent = timeout_at(self.call.until, self.client.send(Ok(chunk.freeze()))).await;
        match sent {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(End::ClientGone),
            Err(_) => Err(End::Late),
        }
    }

    /// Ends a stream whose upstream has ended it.
    async fn finish(&mut self) -> Result<(), End> {
        let rest = Bytes::copy_from_slice(self.splitter.rest());
        if !rest.is_empty() && self.client.send(Ok(rest)).await.is_err() {
            return Err(End::ClientGone);
        }
        Err(End::Complete)
    }

    /// Handles the end of a move while the stream is still open; says whether another upstream goes on.
    async fn moved(&mut self, moved: Moved, progress: &Rc<RefCell<Progress>>) -> Result<bool, End> {
        match moved {
            Moved::Stopped | Moved::Stranded(_) => {
                self.drain().await?;
                self.resume_after(moved, progress, "stopped").await?;
                Ok(true)
            }
            Moved::NotRunning | Moved::Failed(_) => {
                log::info!(
                    request:% = self.call.id(), upstream:% = name(&self.call, self.run.upstream),
                    outcome:% = moved; "generation not moved"
                );
                Ok(false)
            }
        }
    }

    /// Reads what a stopped stream still brings.
    async fn drain(&mut self) -> Result<(), End> {
        while let Ok(Some(Ok(frame))) = timeout(DRAIN, self.body.frame()).await {
            self.forward(&frame.into_data().unwrap_or_default()).await?;
        }
        Ok(())
    }

    /// Continues after the source has stopped or broken off, from whatever memory there is.
    async fn resume_after(
        &mut self,
        moved: Moved,
        progress: &Rc<RefCell<Progress>>,
        reason: &str,
    ) -> Result<(), End> {
        let source = self.source();
        let Some(source) = source else {
            return Err(End::Broken(reason.to_owned()));
        };
        let copy = progress.borrow_mut().copy.take();
        let stopped = matches!(moved, Moved::Stopped | Moved::Stranded(_));
        if let (Moved::Stranded(handle), _) = (&moved, &copy) {
            let place = Run::new(&self.call.shared, self.run.upstream, self.run.size);
            return self.resume(place, source, handle.clone(), reason).await;
        }
        let Some((place, handle)) = copy else {
            return Err(End::Broken(reason.to_owned()));
        };
        match self.resume(place, source, handle.clone(), reason).await {
            Err(End::Broken(again)) if stopped => {
                let place = Run::new(&self.call.shared, self.run.upstream, self.run.size);
                self.resume(place, source, handle, &again).await
            }
            other => other,
        }
    }

    /// Sends the request to the upstream of `place`, to continue from the memory `handle` of `source`.
    async fn resume(
        &mut self,
        place: Run,
        source: SocketAddr,
        handle: String,
        reason: &str,
    ) -> Result<(), End> {
        let resume = Resume {
            engine: source,
            handle,
            event: self.last,
        };
        let begun = Instant::now();
        let deadline = self.call.until.min(begun + CONTINUE);
        let outcome = self.call.send(&place, Some(&resume), deadline).await;
        let target = name(&self.call, place.upstream);
        let (response, driver) = match outcome {
            Ok(answered) => answered,
            Err(error) => {
                log::warn!(
                    request:% = self.call.id(), to:% = target, reason, error:% = error;
                    "generation could not continue elsewhere"
                );
                self.blame(&place, &error);
                return Err(End::Broken(error.to_string()));
            }
        };
        let status = response.status();
        let claim = answer::claim(status, response.headers(), &self.call.head.id);
        if claim != Claim::Ran || !status.is_success() {
            log::warn!(
                request:% = self.call.id(), to:% = target, reason, status = status.as_u16(), claim:? = claim;
                "generation could not continue elsewhere"
            );
            return Err(End::Broken(format!("{target} answered {status}")));
        }
        log::info!(
            request:% = self.call.id(), from:% = name(&self.call, self.run.upstream), to:% = target, reason,
            event = self.last.unwrap_or(0), took_ms = begun.elapsed().as_millis() as u64,
            gap_ms = self.previous.elapsed().as_millis() as u64; "generation continues elsewhere"
        );
        self.framed = framed(response.headers());
        self.body = response.into_body();
        self.driver = driver;
        self.splitter = Splitter::new();
        self.run = place;
        self.moves += 1;
        Ok(())
    }

    fn blame(&self, place: &Run, error: &socket::Error) {
        let quality = match error {
            socket::Error::Connect(_) => Quality::Unreachable,
            socket::Error::Broken(_) | socket::Error::Timeout => Quality::Poor,
        };
        let shared = &self.call.shared;
        shared.fleet_mut().judge(place.upstream, quality, shared.now());
    }

    /// Gives up a copy that is not needed, so that it does not hold memory.
    fn give_up(&self, progress: &Rc<RefCell<Progress>>) {
        let Some((place, handle)) = progress.borrow_mut().copy.take() else {
            return;
        };
        let source = self.source();
        let Some(source) = source else {
            return;
        };
        tokio::task::spawn_local(async move {
            let _held = place;
            let released = socket::call(source, engine::release(&handle), Instant::now() + RELEASE).await;
            if let Err(error) = released {
                log::info!(source:% = source, error:% = error; "an unused copy was not given up");
            }
        });
    }
}
