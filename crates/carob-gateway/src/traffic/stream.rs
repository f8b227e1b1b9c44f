//! A stream of events: passed on as they come, across moves to other upstreams.

use std::{cell::RefCell, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use bytes::{Bytes, BytesMut};
use carob_platform::{answer, request::Resume};
use http_body_util::BodyExt;
use hyper::{
    HeaderMap, Response,
    body::Incoming,
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use tokio::{
    sync::{Notify, mpsc},
    time::{Instant, timeout_at},
};

use super::{
    answer::{Answer, Cut},
    call::Call,
    exchange::name,
    guard::{Active, Run},
    listen::Count,
    migrate::{self, Moved, Progress},
    probe,
    resume::{self, Opened},
};
use crate::{events::Splitter, socket::Driver};

/// Chunks that a slow client may be behind before the upstream is read no further.
const CHUNKS: usize = 16;

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
    /// Bytes of the stream that were read already.
    early: Option<Bytes>,
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
pub(super) fn start(call: &Rc<Call>, opened: Opened, active: Active, count: Count) -> Response<Answer> {
    let (mut parts, body) = opened.response.into_parts();
    let framed = framed(&parts.headers);
    answer::strip(&mut parts.headers);
    parts.headers.remove(CONTENT_LENGTH);
    let (client, pieces) = mpsc::channel(CHUNKS);
    let stream = Stream {
        call: Rc::clone(call),
        run: opened.run,
        body,
        driver: opened.driver,
        early: opened.early,
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
        let progress = Rc::new(RefCell::new(Progress {
            event: self.last,
            ..Progress::default()
        }));
        let probing =
            tokio::task::spawn_local(probe::follow(Rc::clone(&self.call.shared), self.run.upstream));
        let _probing = AbortOnDrop(probing);
        let mut mover: Option<Mover> = None;
        let mut may_move = self
            .call
            .engine
            .as_ref()
            .is_some_and(|engine| engine.supports_migration);
        if let Some(bytes) = self.early.take() {
            self.forward(&bytes).await?;
        }
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
            let step = self.step(&notice, &mut mover).await;
            if self.advance(step, &progress, &mut mover).await? {
                return Ok(());
            }
        }
    }

    /// Handles what has happened; says whether the stream goes on from another upstream.
    async fn advance(
        &mut self,
        step: Step,
        progress: &Rc<RefCell<Progress>>,
        mover: &mut Option<Mover>,
    ) -> Result<bool, End> {
        match step {
            Step::Bytes(bytes) => {
                self.forward(&bytes).await?;
                progress.borrow_mut().event = self.last;
                Ok(false)
            }
            Step::Leaving => Ok(false),
            Step::ClientGone => {
                self.give_up(progress);
                Err(End::ClientGone)
            }
            Step::Late => {
                self.give_up(progress);
                Err(End::Late)
            }
            Step::Moved(Moved::Continued(opened)) => {
                self.adopt(*opened, "its upstream leaves");
                Ok(true)
            }
            Step::Moved(moved) => {
                *mover = None;
                log::info!(
                    request:% = self.call.id(), upstream:% = name(&self.call, self.run.upstream),
                    outcome:% = moved; "generation not moved"
                );
                Ok(false)
            }
            Step::Ended if self.framed || !progress.borrow().switching => {
                self.give_up(progress);
                self.finish().await
            }
            // A stream without a length ends alike whether it is whole or was stopped for the move. If the other
            // upstream goes on, it has what is left, if anything.
            Step::Ended => match self.outcome(mover).await {
                Moved::Continued(opened) => {
                    self.adopt(*opened, "its upstream leaves");
                    Ok(true)
                }
                Moved::NotRunning | Moved::Failed(_) => self.finish().await,
            },
            Step::Failed(reason) => {
                let switching = progress.borrow().switching;
                let moved = if switching {
                    self.outcome(mover).await
                } else {
                    Moved::Failed("the source broke off")
                };
                self.resume_after(moved, progress, &reason).await.map(|()| true)
            }
        }
    }

    fn leaving(&self) -> bool {
        let fleet = self.call.shared.fleet();
        fleet
            .upstream(self.run.upstream)
            .is_none_or(|found| found.leaving_since.is_some())
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

    /// Waits for the outcome of a move while the other upstream is asked to continue.
    async fn outcome(&self, mover: &mut Option<Mover>) -> Moved {
        match mover.take() {
            Some(mover) => timeout_at(self.call.until, mover)
                .await
                .unwrap_or(Moved::Failed("no outcome of the move in time")),
            None => Moved::Failed("no move is under way"),
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
            let made = self.events * engine.event_tokens;
            if self.run.size.prefill > 0 || self.call.held(made) > self.run.size.tokens {
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
    async fn finish(&mut self) -> Result<bool, End> {
        let rest = Bytes::copy_from_slice(self.splitter.remainder());
        if !rest.is_empty() && self.client.send(Ok(rest)).await.is_err() {
            return Err(End::ClientGone);
        }
        Err(End::Complete)
    }

    /// Continues after the source has broken off, from the copy of its memory if there is one.
    async fn resume_after(
        &mut self,
        moved: Moved,
        progress: &Rc<RefCell<Progress>>,
        reason: &str,
    ) -> Result<(), End> {
        if let Moved::Continued(opened) = moved {
            self.adopt(*opened, reason);
            return Ok(());
        }
        let copy = progress.borrow_mut().copy.take();
        let Some(((place, handle), engine)) = copy.zip(self.source()) else {
            return Err(End::Broken(reason.to_owned()));
        };
        let memory = Resume {
            engine,
            handle,
            event: self.last,
        };
        match resume::at(&self.call, place, &memory).await {
            Ok(opened) => {
                self.adopt(opened, reason);
                Ok(())
            }
            Err(failure) => Err(End::Broken(failure.reason)),
        }
    }

    /// Goes on with the stream of another upstream.
    fn adopt(&mut self, opened: Opened, reason: &str) {
        log::info!(
            request:% = self.call.id(), from:% = name(&self.call, self.run.upstream),
            to:% = name(&self.call, opened.run.upstream), reason,
            gap_ms = self.previous.elapsed().as_millis() as u64; "stream goes on from another upstream"
        );
        self.framed = framed(opened.response.headers());
        self.body = opened.response.into_body();
        self.driver = opened.driver;
        self.early = opened.early;
        self.splitter = Splitter::new();
        self.run = opened.run;
        self.moves += 1;
    }

    /// Gives up a copy that is not needed.
    fn give_up(&self, progress: &Rc<RefCell<Progress>>) {
        let copy = progress.borrow_mut().copy.take();
        let Some(((place, handle), source)) = copy.zip(self.source()) else {
            return;
        };
        tokio::task::spawn_local(async move {
            let _held = place;
            migrate::release(source, &handle).await;
        });
    }
}
