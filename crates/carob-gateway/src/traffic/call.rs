//! An admitted client request with everything that its handling needs.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use carob_dispatch::{
    crashes::{self, Part},
    fleet::{Exclusion, RequestSize, Requirements, UpstreamKey, urgency::Urgency},
    head::Head,
    regions::Regions,
    table::{Engine, Route},
};
use carob_platform::{
    answer::{self, AnswerKind},
    request::{self, AddedHeaders, Resume},
};
use hyper::{HeaderMap, Response, StatusCode, http::request::Parts};
use smallvec::SmallVec;
use tokio::{sync::Notify, time::Instant};

use super::{
    body::HeldBytes,
    cold, departure, exchange,
    guard::{Reservation, ResidenceGuard},
    limit, link, outdated, prefixes,
    relay::Purpose,
    repeats::{self, Repeat},
    shared::Shared,
    stop::Abandoned,
};
use crate::{
    overhead::ReceivedBody,
    socket::{self, ConnectionTask},
};

/// Time limit for a connection to an upstream. The longest round trip takes 30 ms. A lost SYN packet is
/// retransmitted only after a second, and well before that another upstream is the better choice.
pub(super) const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Multiple of a route's target latency within which almost all plain calls end; target latencies are set to
/// several times the usual duration.
const PLAIN_DURATION_FACTOR: f64 = 3.0;

/// Expected time of an engine's decoding step, which yields one token, with several generations running; the
/// site's engines take 7 ms and more.
const STEP_TIME: Duration = Duration::from_millis(9);

/// Expected time to the first event for a prompt of usual length.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(500);

/// A request that the configuration permits.
pub(super) struct Call {
    pub(super) shared: Rc<Shared>,
    pub(super) head: Head,
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    /// Keeps the body counted as held in memory.
    pub(super) _held: HeldBytes,
    pub(super) route: Route,
    pub(super) service: Box<str>,
    /// Parts of the prompt that other requests may share.
    pub(super) prompt: crashes::Parts,
    /// Absent for plain services.
    pub(super) engine: Option<Engine>,
    /// Regions in which the request may run.
    pub(super) residence: ResidenceGuard,
    /// Name of the client account; absent for anonymous requests.
    pub(super) account: Option<Box<str>>,
    /// Priority in the queue; 0 goes first.
    pub(super) priority: u8,
    pub(super) urgency: Urgency,
    pub(super) arrival: Instant,
    /// Earlier of the client's deadline and the route's time limit.
    pub(super) deadline: Instant,
    /// The last event that the client has of a stream which may run again; `None` to generate it from its start.
    pub(super) last_event: Option<u64>,
    /// Version of the configuration that the request was admitted by.
    pub(super) version: u64,
    /// Upstreams that the request was sent to, once for each time.
    pub(super) sent_to: RefCell<SmallVec<[UpstreamKey; 4]>>,
    /// Notified when the request is written to a connection, from which on its upstream may get it.
    pub(super) send_begun: Notify,
    /// Upstream of which it is awaited that a call to copy the memory of the generation is sent, and what is notified then.
    pub(super) copy_awaited: Cell<Option<UpstreamKey>>,
    pub(super) copy_begun: Notify,
    /// Upstreams that are called to stop the request, which they may run.
    pub(super) abandoned: RefCell<SmallVec<[Abandoned; 2]>>,
}

impl Call {
    /// The request id as text, for log lines.
    pub(super) fn id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.head.id)
    }

    /// Milliseconds since the request arrived.
    pub(super) fn age_ms(&self) -> u64 {
        self.arrival.elapsed().as_millis() as u64
    }

    /// Estimates what the request takes of an upstream once `generated` tokens have been generated.
    pub(super) fn size(&self, generated: u32) -> RequestSize {
        let Some(usage) = self.head.usage else {
            return RequestSize {
                tokens: 0,
                prefill: 0,
            };
        };
        // Length hints are correct at the median, but actual lengths scatter to the high side; hence a
        // quarter more.
        let expected = usage
            .length_hint
            .map_or(usage.max_output / 2, |hint| hint + hint / 4);
        let output = expected.min(usage.max_output).max(generated + generated / 4);
        RequestSize {
            tokens: u64::from(usage.prompt_tokens) + u64::from(output),
            prefill: if generated == 0 {
                u64::from(usage.prompt_tokens)
            } else {
                0
            },
        }
    }

    /// Estimates what a run takes that has to read the prompt and the `generated` tokens of earlier runs.
    pub(super) fn run_size(&self, generated: u32) -> RequestSize {
        let size = self.size(generated);
        let prefill = self.head.usage.map_or(0, |usage| u64::from(usage.prompt_tokens));
        RequestSize {
            tokens: size.tokens,
            prefill: prefill + u64::from(generated),
        }
    }

    /// How long the longest answer that the request permits takes at the usual speed of the upstreams.
    pub(super) fn longest_duration(&self) -> Duration {
        let Some(usage) = self.head.usage else {
            return self
                .route
                .timeout
                .min(self.route.target_latency.mul_f64(PLAIN_DURATION_FACTOR));
        };
        FIRST_EVENT_TIME + STEP_TIME * usage.max_output
    }

    /// How long the stream is expected to continue after `events` events.
    pub(super) fn expected_remaining(&self, events: u32) -> Duration {
        let event_tokens = self.engine.as_ref().map_or(1, |engine| engine.event_tokens);
        let expected = self.head.usage.map_or(0, |usage| {
            usage
                .length_hint
                .unwrap_or(usage.max_output / 2)
                .min(usage.max_output)
        });
        let generated = events * event_tokens;
        if generated < expected {
            return STEP_TIME * (expected - generated);
        }
        // The hint is too low, and says nothing about what is left.
        let longest = self.head.usage.map_or(0, |usage| usage.max_output);
        STEP_TIME * longest.saturating_sub(generated)
    }

    /// Tokens that the request holds in an engine's memory once `generated` tokens have been generated.
    pub(super) fn held_tokens(&self, generated: u32) -> u64 {
        self.head
            .usage
            .map_or(0, |usage| u64::from(usage.prompt_tokens + generated))
    }

    /// Returns what the request may have in common with others that crash upstreams: the parts of its prompt, and
    /// all of it, by which a repetition is recognised. Generations may differ in their prompts alone.
    pub(super) fn suspect_parts(&self) -> crashes::Parts {
        let path = self.parts.uri.path_and_query().map_or("", |path| path.as_str());
        let mut parts = self.prompt.clone();
        parts.push(Part::of_request(&[
            self.service.as_bytes(),
            self.parts.method.as_str().as_bytes(),
            path.as_bytes(),
            self.account.as_deref().unwrap_or_default().as_bytes(),
            &self.head.prompt.to_le_bytes(),
            &self.body,
        ]));
        parts
    }

    /// Regions in which the request may run by the newest configuration that says so.
    pub(super) fn regions(&self) -> Regions {
        self.residence.get().regions()
    }

    /// Requirements on an upstream for a request of `size`, other than those in `excluded` and those that are called to
    /// stop it.
    pub(super) fn requirements(&self, size: RequestSize, excluded: &[UpstreamKey]) -> Requirements {
        let capacity = self.engine.as_ref().map_or(0, |engine| engine.capacity);
        let excluded = excluded
            .iter()
            .copied()
            .chain(self.abandoned.borrow().iter().map(|run| run.upstream))
            .collect();
        Requirements::new(self.service.clone(), size, capacity)
            .with_excluded(excluded)
            .with_regions(self.regions())
            .with_gap_target(self.route.gap_target)
            .with_prompt(self.head.prefix.clone())
    }

    /// Classifies the answer to the latest send to `upstream`. That it was not run is believed of its first send alone: the
    /// upstream may have written its earlier refusal once more.
    pub(super) fn classify(
        &self,
        upstream: UpstreamKey,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> AnswerKind {
        let kind = answer::classify(status, headers, &self.head.id);
        let sends = self
            .sent_to
            .borrow()
            .iter()
            .filter(|sent| **sent == upstream)
            .count();
        if kind == AnswerKind::NotRun && sends > 1 {
            return AnswerKind::Foreign;
        }
        kind
    }

    /// When the request gets its final answer at the latest: its deadline, or shortly before the process exits.
    pub(super) fn answer_deadline(&self) -> Instant {
        self.shared.shutdown().map_or(self.deadline, |shutdown| {
            let left = shutdown.answer_by().since(self.shared.now());
            Instant::now()
                .checked_add(left)
                .map_or(self.deadline, |end| end.min(self.deadline))
        })
    }

    /// Checks that the request may still go to an upstream that was chosen for it.
    ///
    /// # Errors
    ///
    /// Returns the [`Exclusion`] if it may not.
    pub(super) fn check_place(&self, upstream: UpstreamKey) -> Result<(), Exclusion> {
        let regions = self.regions();
        self.shared.fleet().check_destination(upstream, &regions)?;
        outdated::doubt(&self.shared, &regions).map_or(Ok(()), |_doubt| Err(Exclusion::Outdated))
    }

    /// Checks that the memory of the generation at `source` may still be copied to `target`. A generation that is only stopped
    /// names its own upstream.
    ///
    /// # Errors
    ///
    /// Returns the [`Exclusion`] if it may not.
    pub(super) fn check_copy(&self, source: UpstreamKey, target: UpstreamKey) -> Result<(), Exclusion> {
        if target == source {
            return Ok(());
        }
        self.check_place(target)
    }

    /// Checks that the request may still be sent to an upstream that was chosen for it. One that goes on from the memory of a
    /// generation may be sent to an upstream that leaves.
    fn check_destination(&self, upstream: UpstreamKey, resume: Option<&Resume>) -> Result<(), socket::Error> {
        let goes_on = resume.is_some_and(|resume| resume.memory.is_some());
        let ready = if goes_on {
            Ok(())
        } else {
            self.shared.fleet().check_ready(upstream)
        };
        ready.and_then(|()| self.check_place(upstream)).map_err(|exclusion| {
            log::info!(
                request:% = self.id(), upstream:% = exchange::upstream_name(self, upstream),
                exclusion = exclusion.name(), regions:% = self.regions(); "request not sent: its upstream is not permitted any more"
            );
            metrics::counter!("carobhaven_destinations_rejected_total", "reason" => exclusion.name()).increment(1);
            socket::Error::Excluded(exclusion)
        })
    }

    /// Logs by which regions the memory of a restricted request is copied to an upstream.
    pub(super) fn log_copy_target(&self, upstream: UpstreamKey, last: bool) {
        let regions = self.regions();
        let fleet = self.shared.fleet();
        let Some(found) = fleet.upstream(upstream).filter(|_| !regions.is_any()) else {
            return;
        };
        let (domain, config) = (&found.entry.domain, self.shared.config_state());
        log::info!(
            request:% = self.id(), target:% = found.entry.id, domain:% = domain,
            region = fleet.region(domain).unwrap_or("unknown"), regions:% = regions,
            version = config.version, config_age_ms = config.age_ms, current = config.is_current,
            blind = config.is_uninformed, admitted_version = self.version, last;
            "memory of a restricted request is copied"
        );
    }

    /// Logs by which regions a restricted request is written, and where to: to an upstream, directly or through the instance
    /// at `peer`.
    fn log_restricted(&self, upstream: UpstreamKey, regions: &Regions, peer: Option<SocketAddr>) {
        if regions.is_any() {
            return;
        }
        let shared = &self.shared;
        let fleet = shared.fleet();
        let Some(found) = fleet.upstream(upstream) else {
            return;
        };
        let (domain, config) = (&found.entry.domain, shared.config_state());
        let peer_domain = peer.and_then(|peer| fleet.relay_domain(peer));
        let peer = peer.map_or_else(|| "none".to_owned(), |peer| peer.to_string());
        log::info!(
            request:% = self.id(), upstream:% = found.entry.id, domain:% = domain,
            region = fleet.region(domain).unwrap_or("unknown"), regions:% = regions,
            peer:% = peer, peer_domain = peer_domain.unwrap_or("none"), version = config.version,
            config_age_ms = config.age_ms, current = config.is_current, blind = config.is_uninformed,
            admitted_version = self.version, regions_version = self.residence.get().version(),
            age_ms = self.age_ms(); "restricted request written to an upstream"
        );
    }

    /// Checks that the request may still pass through the instance at `relay`, which was chosen for it.
    fn check_relay(&self, relay: SocketAddr, regions: &Regions) -> Result<(), socket::Error> {
        let checked = self.shared.fleet().check_relay(relay, regions);
        checked.map_err(|exclusion| {
            log::info!(
                request:% = self.id(), peer:% = relay, exclusion = exclusion.name(), regions:% = regions;
                "request not sent: the instance that relays is not permitted any more"
            );
            metrics::counter!("carobhaven_destinations_rejected_total", "reason" => "relay").increment(1);
            socket::Error::Excluded(exclusion)
        })
    }

    /// Sends the request to the upstream of `reservation` and reads the head of its response. `repeat` is
    /// present if another upstream may have got it before. With `resume`, the upstream continues a generation.
    pub(super) async fn send(
        &self,
        reservation: &Reservation,
        repeat: Option<Repeat>,
        resume: Option<&Resume>,
        deadline: Instant,
    ) -> Result<(Response<ReceivedBody>, ConnectionTask), socket::Error> {
        let name = exchange::upstream_name(self, reservation.upstream);
        self.check_destination(reservation.upstream, resume)?;
        let purpose = Purpose::Request {
            id: &self.head.id,
            residence: self.residence.followed(),
        };
        let connection = link::open(&self.shared, reservation.upstream, purpose, deadline).await?;
        cold::spend(self, reservation).await?;
        // A configuration or an evacuation may have come into force since, or the upstream leaves.
        self.check_destination(reservation.upstream, resume)?;
        let regions = self.regions();
        if let Some(relay) = connection.relay() {
            self.check_relay(relay, &regions)?;
        }
        self.log_restricted(reservation.upstream, &regions, connection.relay());
        let added = AddedHeaders {
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            upstream: &name,
            account: self.account.as_deref(),
            engine_priority: self.urgency.engine_priority,
            resume,
            backup: None,
        };
        let parts = &self.parts;
        let request = request::encode(&parts.method, &parts.uri, &parts.headers, &added)
            .map_err(|error| socket::Error::Connect(error.to_string()))?;
        metrics::counter!("carobhaven_sends_total").increment(1);
        if reservation.record_sent() {
            limit::count_permits("used", 1);
        }
        self.sent_to.borrow_mut().push(reservation.upstream);
        prefixes::record_sent(self, reservation.upstream);
        self.send_begun.notify_waiters();
        let sent = Instant::now();
        let may_repeat = self.route.kind.is_idempotent();
        let is_direct = connection.relay().is_none();
        if let Some(repeat) = repeat {
            repeat.commit(self);
        }
        let answer = connection.send(request.map(|()| self.body.clone()), deadline);
        let answered = if is_direct {
            link::watch(&self.shared, reservation.upstream, may_repeat, answer).await?
        } else {
            answer.await?
        };
        repeats::record_answer(self, reservation.upstream);
        let (status, headers) = (answered.0.status(), answered.0.headers());
        limit::record_answer(self, reservation.upstream, (status, headers), sent);
        departure::record_answer(self, reservation.upstream, (status, headers));
        Ok(answered)
    }
}
