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

mod serving;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::{Exclusion, Relay, RelayOffer, UpstreamKey, service_hash},
    regions::Regions,
};
use prost::Message;
use smallvec::SmallVec;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout_at},
};

pub(super) use self::serving::serve;
use super::{guard::FollowedResidence, shared::Shared};
use crate::{
    peer::{self, ContentRequest},
    relayed::LENGTH_BYTES,
    relaying::{RelayReply, RelayRequest, RelayState, Residence},
    socket::{Connection, Error, set_tcp_options},
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

/// Maximum size of a reply in bytes. An instance that does not relay answers with other content.
const MAX_REPLY: u32 = 64 << 10;

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
        relay: Some(RelayRequest {
            sender: shared.settings().peer_address.to_string(),
            boot_id: shared.boot_id(),
            upstream_hash,
            ..purpose.describe()
        }),
        ..ContentRequest::default()
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

/// Decodes what another instance says about relaying.
pub(super) fn decode_offer(offer: &peer::RelayOffer) -> Option<RelayOffer> {
    offer.is_open.then(|| RelayOffer {
        domain: offer.domain.as_str().into(),
        cut: offer.cut.iter().copied().collect(),
    })
}
