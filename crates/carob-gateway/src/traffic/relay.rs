//! Connections to upstreams through other instances.
//!
//! An instance whose links to upstreams are lost asks another one to connect to an upstream, and sends its request on
//! that connection. The other instance forwards bytes, so that deadlines, attempts, permits and streams are the business of
//! one instance, as on a direct connection. It refuses what its own, newer configuration does not permit, and reads from the
//! head of the answer whether the upstream leaves, since it is bound by that too. It connects itself: what is relayed is never
//! relayed again.
//!
//! Either instance may have the newer configuration. The one that asks says by which it decided where the request may run; the
//! other one applies its own if that is newer, and connects nothing that it does not permit.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::{
        Exclusion, LinkFailure, Relay, RelayOffer, RelayedRequest, RequestSize, UpstreamKey, service_hash,
    },
    freshness::Doubt,
    migration::STOP_INTERVAL,
    regions::Regions,
    residence,
};
use carob_platform::answer::{self, HeadScan};
use prost::Message;
use smallvec::SmallVec;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf, tcp::WriteHalf},
    time::{Instant, timeout, timeout_at},
};

use super::{
    call::CONNECT_TIMEOUT,
    departure,
    guard::{ActiveRequest, FollowedResidence, Reservation},
    link, outdated,
    shared::Shared,
};
use crate::{
    overhead::MAX_HEAD,
    peer::{self, ContentRequest},
    relayed::LENGTH_BYTES,
    relaying::{RelayReply, RelayRequest, RelayState, Residence},
    socket::{self, Connection, Error, set_tcp_options},
    update::RelayedConnection,
};

/// Time limit for an instance's reply: it connects to the upstream meanwhile.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit for a connection through any instance.
pub(super) const RELAY_TIMEOUT: Duration = Duration::from_millis(800);

/// Number of instances that are asked for one connection.
const MAX_RELAYS: usize = 3;

/// Time for which an instance that does not reply is not asked again.
const SILENT_PAUSE: Duration = Duration::from_secs(1);

/// Time for which an instance is not asked again that relays no more at present.
const FULL_PAUSE: Duration = Duration::from_millis(300);

/// Number of connections that an instance relays at a time.
const MAX_RELAYED: u32 = 256;

/// Maximum size of a reply in bytes. An instance that does not relay answers with other content.
const MAX_REPLY: u32 = 64 << 10;

/// Maximum size in bytes of what a reply says of a request. A refusal counts without it as well.
const MAX_TOLD: usize = MAX_REPLY as usize - 64;

/// Size of the buffer for each direction of a relayed connection, in bytes.
const BUFFER: usize = 16 << 10;

/// Time for which the end of a connection is awaited once its answer is passed on.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// What a connection is for.
#[derive(Clone, Copy)]
pub(super) enum Purpose<'a> {
    /// A client's request.
    Request {
        /// Its id.
        id: &'a [u8],
        /// Where it may run, and through which regions it may pass.
        residence: &'a FollowedResidence,
    },
    /// A report, a copy of memory, or the question whether the upstream lives. It holds no prompt, so that it may pass through
    /// any region; where it has memory copied to is restricted.
    Control {
        /// Present if it has memory copied.
        copy: Option<MemoryCopy<'a>>,
    },
}

/// What a call copies the memory of a generation to.
#[derive(Clone, Copy)]
pub(super) struct MemoryCopy<'a> {
    /// Where the generation may run.
    pub(super) residence: &'a FollowedResidence,
    /// [`Fleet::upstream_hash`](carob_dispatch::fleet::Fleet::upstream_hash) of the target.
    pub(super) target_hash: u64,
}

/// What this instance says to others about relaying: nothing while it shuts down.
pub(super) fn offer(shared: &Shared) -> Option<RelayOffer> {
    shared.shutdown().is_none().then(|| RelayOffer {
        domain: shared.settings().domain.clone(),
        cut: shared
            .fleet()
            .cut_services()
            .iter()
            .map(|service| service_hash(service))
            .collect(),
    })
}

/// Whether another instance may reach upstreams of a service.
pub(super) fn is_offered(shared: &Shared, service: &str) -> bool {
    choose(shared, service, &Regions::any(), &[]).is_some()
}

fn choose(shared: &Shared, service: &str, regions: &Regions, asked: &[SocketAddr]) -> Option<Relay> {
    let registered = shared.peers();
    let mut excluded: SmallVec<[SocketAddr; 4]> = SmallVec::from_slice(asked);
    loop {
        let relay = shared.fleet().choose_relay(
            (service, regions),
            &excluded,
            |peer| shared.relays_to(peer),
            rand::random(),
            shared.now(),
        )?;
        if registered.contains(&relay.peer) {
            return Some(relay);
        }
        excluded.push(relay.peer);
    }
}

/// Opens a connection to `upstream` through another instance.
///
/// # Errors
///
/// Returns [`Error::Connect`] if no instance connects to the upstream by `deadline`, and [`Error::Excluded`] if one that is
/// asked says that the request may not run there, or not pass through it.
pub(super) async fn open(
    shared: &Rc<Shared>,
    upstream: UpstreamKey,
    purpose: Purpose<'_>,
    deadline: Instant,
) -> Result<Connection, Error> {
    let Some((service, name, hash)) = shared
        .fleet()
        .upstream(upstream)
        .map(|found| (found.entry.service.clone(), found.entry.id.clone(), found.hash()))
    else {
        return Err(Error::Connect("the upstream is forgotten".to_owned()));
    };
    let deadline = deadline.min(Instant::now() + RELAY_TIMEOUT);
    let mut asked: SmallVec<[SocketAddr; 4]> = SmallVec::new();
    let mut reason = "no instance reaches an upstream of the service".to_owned();
    while asked.len() < MAX_RELAYS && Instant::now() < deadline {
        let Some(relay) = choose(shared, &service, &purpose.regions(), &asked) else {
            break;
        };
        asked.push(relay.peer);
        let counted = RelayCount::new(shared.relay_counter(relay.peer));
        let started = Instant::now();
        let limit = deadline.min(started + REPLY_TIMEOUT);
        let outcome = timeout_at(limit, ask(shared, relay.peer, hash, purpose))
            .await
            .unwrap_or_else(|_elapsed| Err("no reply in time".to_owned()));
        let state = match outcome {
            Ok((reply, stream)) if reply.state() == RelayState::Open => {
                count("out", "open");
                log_relayed(shared, purpose, &name, upstream, relay, started);
                return Connection::relayed(stream, relay.peer, counted).await;
            }
            Ok((reply, _)) => {
                purpose.learn(&reply);
                reply.state()
            }
            Err(error) => {
                reason = format!("instance {} does not relay: {error}", relay.peer);
                avoid(shared, relay.peer, SILENT_PAUSE);
                RelayState::Unknown
            }
        };
        count("out", state.name());
        log::info!(
            upstream:% = name, peer:% = relay.peer, state = state.name(),
            took_ms = started.elapsed().as_millis() as u64; "connection not relayed by another instance"
        );
        match state {
            // Others may follow an earlier configuration, and would connect it.
            RelayState::Region => return Err(Error::Excluded(Exclusion::Region)),
            RelayState::Full | RelayState::Closing => avoid(shared, relay.peer, FULL_PAUSE),
            RelayState::Unreachable => {
                reason = format!("instance {} does not reach the upstream either", relay.peer);
            }
            _ => {}
        }
    }
    Err(Error::Connect(reason))
}

impl Purpose<'_> {
    /// A call that copies no memory.
    pub(super) const CONTROL: Self = Self::Control { copy: None };

    /// Where the request, or the generation whose memory is copied, may run; `None` for other calls.
    const fn residence(&self) -> Option<&FollowedResidence> {
        match self {
            Self::Request { residence, .. }
            | Self::Control {
                copy: Some(MemoryCopy { residence, .. }),
            } => Some(residence),
            Self::Control { copy: None } => None,
        }
    }

    /// Regions through which the connection may pass.
    fn regions(self) -> Regions {
        match self {
            Self::Request { residence, .. } => residence.regions(),
            Self::Control { .. } => Regions::any(),
        }
    }

    /// What the instance that relays is told.
    fn describe(self) -> RelayRequest {
        let request = match self {
            Self::Request { id, .. } => RelayRequest {
                request: id.to_vec().into(),
                ..RelayRequest::default()
            },
            Self::Control { copy } => RelayRequest {
                is_control: true,
                target_hash: copy.map(|copy| copy.target_hash),
                ..RelayRequest::default()
            },
        };
        match self.residence() {
            Some(residence) => request.with_request(&residence.describe()),
            None => request,
        }
    }

    /// Takes over what the instance that was asked says of a newer configuration.
    fn learn(self, reply: &RelayReply) {
        let told = reply.residence.as_ref().and_then(Residence::decode);
        if let (Some(residence), Some(told)) = (self.residence(), told) {
            residence.learn(told);
        }
    }
}

fn log_relayed(
    shared: &Shared,
    purpose: Purpose<'_>,
    name: &str,
    upstream: UpstreamKey,
    relay: Relay,
    started: Instant,
) {
    let Purpose::Request { id, residence } = purpose else {
        return;
    };
    let residence = residence.get();
    let fleet = shared.fleet();
    let lost = fleet.link_lost_since(upstream);
    log::info!(
        request:% = String::from_utf8_lossy(id), upstream:% = name, peer:% = relay.peer,
        heard_ms = relay.heard.as_millis() as u64,
        lost_ms = lost.map_or(0, |since| shared.now().since(since).as_millis() as u64),
        took_ms = started.elapsed().as_millis() as u64, domain = fleet.relay_domain(relay.peer).unwrap_or("unknown"),
        regions:% = residence.regions(), version = residence.version(); "request sent through another instance"
    );
}

fn avoid(shared: &Shared, peer: SocketAddr, time: Duration) {
    let until = shared.now() + time;
    shared.fleet_mut().avoid_relay(peer, until);
}

fn count(direction: &'static str, outcome: &'static str) {
    metrics::counter!("carobhaven_relays_total", "direction" => direction, "outcome" => outcome).increment(1);
}

/// Asks the instance at `peer` for a connection to an upstream.
async fn ask(
    shared: &Shared,
    peer: SocketAddr,
    upstream_hash: u64,
    purpose: Purpose<'_>,
) -> Result<(RelayReply, TcpStream), String> {
    let mut stream = TcpStream::connect(peer)
        .await
        .map_err(|error| error.to_string())?;
    set_tcp_options(&stream);
    let request = ContentRequest {
        // An instance that does not relay answers with the changes after this revision.
        after: u64::MAX,
        era: None,
        held: Vec::new(),
        relay: Some(RelayRequest {
            sender: shared.settings().peer_address.to_string(),
            boot_id: shared.boot_id(),
            upstream_hash,
            ..purpose.describe()
        }),
    };
    write_frame(&mut stream, &request.encode_to_vec())
        .await
        .map_err(|error| error.to_string())?;
    let length = stream.read_u32().await.map_err(|error| error.to_string())?;
    if length > MAX_REPLY {
        return Err(format!(
            "expected a reply of at most {MAX_REPLY} bytes, found {length}"
        ));
    }
    let mut bytes = vec![0; length as usize];
    stream
        .read_exact(&mut bytes)
        .await
        .map_err(|error| error.to_string())?;
    let reply = RelayReply::decode(&bytes[..]).map_err(|error| error.to_string())?;
    Ok((reply, stream))
}

async fn write_frame(stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<()> {
    let mut frame = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    frame.extend_from_slice(&(bytes.len() as u32).to_be_bytes());
    frame.extend_from_slice(bytes);
    stream.write_all(&frame).await
}

/// Guard that counts a connection through another instance until it is dropped.
#[derive(Debug)]
pub(crate) struct RelayCount(Rc<Cell<u32>>);

impl RelayCount {
    fn new(count: Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for RelayCount {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Connects to an upstream for another instance and forwards bytes until either side ends.
pub(super) async fn serve(shared: Rc<Shared>, relayed: RelayedConnection) {
    let RelayedConnection { stream, request } = relayed;
    let active = ActiveRequest::new(&shared, shared.now(), 0);
    shared.name_request(active.key, &request.request);
    let mut near = match TcpStream::from_std(stream) {
        Ok(near) => near,
        Err(error) => {
            log::warn!(error:% = error; "connection of another instance not taken over");
            return;
        }
    };
    set_tcp_options(&near);
    let counted = RelayCount::new(shared.relayed());
    metrics::gauge!("carobhaven_relayed_connections").set(f64::from(shared.relayed().get()));
    let outcome = connect(&shared, &request).await;
    let state = outcome.as_ref().map_or_else(|state| *state, |_| RelayState::Open);
    count("in", state.name());
    let mut reply = RelayReply::default();
    reply.set_state(state);
    if state == RelayState::Region {
        reply.residence = request
            .request()
            .map(|asked| residence(&shared, &asked))
            .as_ref()
            .map(Residence::from)
            .filter(|told| told.encoded_len() < MAX_TOLD);
    }
    let is_told = write_frame(&mut near, &reply.encode_to_vec()).await.is_ok();
    log_served(&shared, &request, state);
    if let Ok((far, upstream)) = outcome
        && is_told
    {
        let _place = reserve(&shared, upstream, request.is_control);
        forward(&shared, upstream, &request, near, far).await;
    }
    drop(counted);
    metrics::gauge!("carobhaven_relayed_connections").set(f64::from(shared.relayed().get()));
}

fn log_served(shared: &Shared, request: &RelayRequest, state: RelayState) {
    let told = request.residence.as_ref().and_then(Residence::decode);
    let fleet = shared.fleet();
    let upstream = fleet
        .find_hash(request.upstream_hash)
        .and_then(|key| fleet.upstream(key));
    log::info!(
        request:% = String::from_utf8_lossy(&request.request), peer:% = request.sender,
        incarnation:% = format!("{:016x}", request.upstream_hash), state = state.name(),
        control = request.is_control,
        regions:% = told.as_ref().map_or_else(|| "unknown".to_owned(), |told| told.regions().to_string()),
        version = told.as_ref().map_or(0, residence::Residence::version),
        own_version = shared.table().map_or(0, |table| table.version()),
        upstream_domain = upstream.map_or("unknown", |found| &*found.entry.domain),
        domain:% = shared.settings().domain; "connection relayed for another instance"
    );
}

/// Counts a request at a plain upstream. Generations are counted by the instance that they belong to, which tells the
/// others.
fn reserve(shared: &Rc<Shared>, upstream: UpstreamKey, is_control: bool) -> Option<Reservation> {
    let service = shared.fleet().upstream(upstream)?.entry.service.clone();
    let size = RequestSize {
        tokens: 0,
        prefill: 0,
    };
    (!is_control && !shared.is_engine(&service)).then(|| Reservation::without_permit(shared, upstream, size))
}

/// Where a request of another instance may run, by the newer one of its configuration and this instance's.
fn residence(shared: &Shared, asked: &RelayedRequest) -> residence::Residence {
    asked.residence(shared.table().as_deref())
}

/// Checks that a request of another instance may pass through this one to an upstream, or that a call may have memory copied.
fn check_regions(shared: &Shared, request: &RelayRequest, upstream: UpstreamKey) -> Result<(), RelayState> {
    let Some(asked) = request.request() else {
        return Ok(());
    };
    let regions = residence(shared, &asked).regions();
    // What arrived before a standstill may have been sent by regions that were replaced meanwhile.
    if outdated::doubt(shared, &regions) == Some(Doubt::StoodStill) {
        return Err(RelayState::Unknown);
    }
    let checked = match request.target_hash {
        Some(target) => shared
            .fleet()
            .check_copy((request.upstream_hash, target), &regions),
        None => shared.fleet().check_passage(upstream, &regions),
    };
    checked.map_err(|exclusion| match exclusion {
        Exclusion::Region => RelayState::Region,
        Exclusion::Evacuated => RelayState::Evacuated,
        _ => RelayState::Stranger,
    })
}

/// Connects to the upstream that another instance asks for.
async fn connect(
    shared: &Rc<Shared>,
    request: &RelayRequest,
) -> Result<(TcpStream, UpstreamKey), RelayState> {
    let sender: SocketAddr = request.sender.parse().map_err(|_error| RelayState::Stranger)?;
    let is_known =
        shared.peers().contains(&sender) && shared.fleet().is_known_process(sender, request.boot_id);
    if !is_known {
        return Err(RelayState::Stranger);
    }
    if shared.shutdown().is_some() {
        return Err(RelayState::Closing);
    }
    if shared.relayed().get() > MAX_RELAYED {
        return Err(RelayState::Full);
    }
    let upstream = shared
        .fleet()
        .find_hash(request.upstream_hash)
        .ok_or(RelayState::Stranger)?;
    check_regions(shared, request, upstream)?;
    if !request.is_control {
        let now = shared.now();
        let fleet = shared.fleet();
        let Some(found) = fleet.upstream(upstream) else {
            return Err(RelayState::Stranger);
        };
        if found.leaving_since.is_some() || fleet.has_ended(upstream) {
            return Err(RelayState::Leaving);
        }
        if fleet.is_evacuated(upstream) {
            return Err(RelayState::Evacuated);
        }
        if found.is_paused(now) {
            return Err(RelayState::Paused);
        }
    }
    if shared.fleet().is_link_lost(upstream) {
        let may_try =
            !shared.fleet().is_probed(upstream) && shared.fleet_mut().try_start_call(upstream, shared.now());
        if !may_try {
            return Err(RelayState::Unreachable);
        }
    }
    let Some(address) = shared.fleet().upstream(upstream).map(|found| found.entry.address) else {
        return Err(RelayState::Stranger);
    };
    let source = shared.settings().source;
    let outcome = timeout(CONNECT_TIMEOUT, socket::connect(address, source)).await;
    let is_open = matches!(outcome, Ok(Ok(_)));
    let retry_at = (!is_open).then(|| shared.now() + STOP_INTERVAL);
    shared.fleet_mut().end_call(upstream, retry_at);
    match outcome {
        Ok(Ok(far)) => {
            // A configuration may have come into force since.
            check_regions(shared, request, upstream)?;
            set_tcp_options(&far);
            Ok((far, upstream))
        }
        Ok(Err(error)) => {
            link::record_failure(shared, upstream, LinkFailure::Request, &error);
            Err(RelayState::Unreachable)
        }
        Err(elapsed) => {
            link::record_failure(shared, upstream, LinkFailure::Request, &elapsed);
            Err(RelayState::Unreachable)
        }
    }
}

/// Forwards bytes both ways. The end of the other instance's connection ends the upstream's, so that its work stops.
async fn forward(
    shared: &Shared,
    upstream: UpstreamKey,
    request: &RelayRequest,
    mut near: TcpStream,
    mut far: TcpStream,
) {
    let permitted = || check_regions(shared, request, upstream).is_ok();
    let is_whole = {
        let (near_read, near_write) = near.split();
        let (far_read, far_write) = far.split();
        tokio::select! {
            () = forward_requests(near_read, far_write, permitted) => return,
            is_whole = forward_answers(shared, upstream, request, far_read, near_write) => is_whole,
        }
    };
    if !is_whole {
        // A broken answer must not look like one that has ended.
        if let Err(error) = SockRef::from(&near).set_linger(Some(Duration::ZERO)) {
            log::debug!(error:% = error; "TCP options could not be set");
        }
        return;
    }
    // Bytes that are left unread would reset the connection, and with it the end of the answer.
    let _ended = timeout(END_TIMEOUT, async {
        let mut rest = [0; 1_024];
        while near.read(&mut rest).await.is_ok_and(|count| count > 0) {}
    })
    .await;
}

/// Returns when the other instance has closed its connection, or once what it sends is not `permitted` any more: a
/// configuration may have come into force here since the connection was offered.
async fn forward_requests(mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, permitted: impl Fn() -> bool) {
    let mut buffer = vec![0; BUFFER];
    loop {
        match from.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) if !permitted() => {
                count("in", "stopped");
                return;
            }
            Ok(length) => {
                if to.write_all(&buffer[..length]).await.is_err() {
                    // The upstream may have answered before it closed.
                    std::future::pending::<()>().await;
                }
            }
        }
    }
}

/// Sends what the upstream answers in frames; see [`crate::relayed`]. Returns whether the upstream has ended its side in
/// order.
async fn forward_answers(
    shared: &Shared,
    upstream: UpstreamKey,
    request: &RelayRequest,
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
) -> bool {
    let mut buffer = vec![0; LENGTH_BYTES + BUFFER];
    let mut head = Some(Vec::new());
    loop {
        let Ok(length) = from.read(&mut buffer[LENGTH_BYTES..]).await else {
            return false;
        };
        // Before the answer is passed on, since the other instance may not get to tell what is in it.
        scan_head(
            shared,
            upstream,
            request,
            &mut head,
            &buffer[LENGTH_BYTES..][..length],
        );
        buffer[..LENGTH_BYTES].copy_from_slice(&(length as u32).to_be_bytes());
        if to.write_all(&buffer[..LENGTH_BYTES + length]).await.is_err() {
            return false;
        }
        if length == 0 {
            return to.shutdown().await.is_ok();
        }
        link::record_answer(shared, upstream);
    }
}

/// Adds `bytes` to the `head` of the answer and reads it once it is complete; it is absent afterwards.
fn scan_head(
    shared: &Shared,
    upstream: UpstreamKey,
    request: &RelayRequest,
    head: &mut Option<Vec<u8>>,
    bytes: &[u8],
) {
    let Some(known) = head else { return };
    known.extend_from_slice(bytes);
    match answer::scan_head(known, &request.request) {
        HeadScan::Incomplete if known.len() < MAX_HEAD => return,
        HeadScan::Answer { says_leaving: true } => {
            departure::record_relayed(shared, upstream, &request.request, &request.sender);
        }
        _ => {}
    }
    *head = None;
}

/// Decodes what another instance says about relaying.
pub(super) fn decode_offer(offer: &peer::RelayOffer) -> Option<RelayOffer> {
    offer.is_open.then(|| RelayOffer {
        domain: offer.domain.as_str().into(),
        cut: offer.cut.iter().copied().collect(),
    })
}
