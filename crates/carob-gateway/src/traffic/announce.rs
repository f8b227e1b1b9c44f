//! Sends this instance's load and updates of the store's content to the other instances, and receives theirs.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use carob_dispatch::{
    crashes::Report as CrashEvidence,
    fleet::{MessageStamp, PeerLoad},
    limits::Report as LimitReport,
};
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::{net::UdpSocket, time::Instant};

use super::{admission, cold, departure, limit, outdated, pace, prefixes, relay, shared::Shared};
use crate::{
    era::Position,
    peer::{Announcement, Crash, Limit, Load, Pace, Queue, RelayOffer, Sound, Trial},
    update::{PeerPosition, Report, StoreUpdate},
};

/// Minimum time between two messages. A message takes up to 12 ms between regions, and placements that other
/// instances make within that time cannot be seen anyway.
const MIN_INTERVAL: Duration = Duration::from_millis(15);

/// Time between two complete messages. Other instances drop the loads of an instance that they have not heard
/// from for three of these intervals.
const COMPLETE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of instances that are sent all evidence about crashes in each [`COMPLETE_INTERVAL`]. Each instance then
/// gets that of three others on average, whatever their number.
const EVIDENCE_TARGETS: usize = 3;

/// Maximum size of a datagram in bytes. It holds the loads of a thousand upstreams, more than an instance can
/// have requests at.
const MAX_DATAGRAM: usize = 32 << 10;

/// Messages of at most this many bytes are sent to all instances at once.
const PLAIN_BYTES: usize = 1 << 10;

/// Bytes of larger messages that are sent at once, which the queue of a link of 10 Mbit/s holds.
const MAX_BURST: usize = 32 << 10;

/// Bytes a second in which larger messages are sent, less than such a link carries.
const BURST_RATE: f64 = 1e6;

/// A message to the other instances.
struct News {
    message: Announcement,
    /// Paces in the message to instances in other regions; `None` if that message would hold nothing for them.
    global_paces: Option<Vec<Pace>>,
}

impl News {
    /// The message as it is sent to instances in other regions; `None` if it holds nothing for them.
    ///
    /// Bytes between regions are paid for. Instances there are told of paces less often, as with 300 instances in three
    /// regions a complete message of 64 paces would make 280 KB a second at each, and not of prompts.
    fn for_remote(&self) -> Option<Announcement> {
        let paces = self.global_paces.clone()?;
        Some(Announcement {
            paces,
            prefixes: Vec::new(),
            ..self.message.clone()
        })
    }
}

/// The other instances.
#[derive(Default)]
pub(super) struct Audience {
    peers: Vec<SocketAddr>,
    /// Those in other regions.
    remote: HashSet<SocketAddr>,
}

impl Audience {
    /// Takes note of instances that have come and gone, and of all regions if `complete`. Messages are sent up to 66 times a
    /// second to hundreds of instances, so that regions are not looked up for each of them.
    fn refresh(&mut self, shared: &Shared, complete: bool) {
        let peers = shared.peers();
        if !complete && peers == self.peers {
            return;
        }
        let fleet = shared.fleet();
        let remote = peers.iter().copied().filter(|peer| fleet.is_remote(*peer));
        self.remote = remote.collect();
        drop(fleet);
        self.peers = peers;
    }

    /// Number of instances in other regions.
    pub(super) fn remote_count(&self) -> usize {
        self.remote.len()
    }

    /// Number of the others.
    pub(super) fn regional_count(&self) -> usize {
        self.peers.len() - self.remote.len()
    }
}

/// What the other instances were told last.
#[derive(Default)]
struct Told {
    audience: Audience,
    loads: HashMap<u64, PeerLoad>,
    /// Whether this instance watches the store, and if so, up to which point it knows the content.
    status: (bool, Position),
    /// Upstreams that leave.
    leaving: Vec<u64>,
    offer: Option<carob_dispatch::fleet::RelayOffer>,
    queued: Option<Queue>,
}

impl Told {
    /// Returns the next message, without its sender and number; `None` if there is nothing to tell. A `complete` one
    /// holds everything, others what has changed.
    fn next_message(&mut self, shared: &Shared, complete: bool) -> Option<News> {
        self.audience.refresh(shared, complete);
        let watching = shared.is_watching();
        let status = (watching, told_position(shared));
        let update = shared.take_store_update();
        let evidence = shared.evidence().take_changes(shared.now());
        let (limits, brittle) = take_limits(shared, complete);
        let cold = cold::reports(shared, complete);
        let paces = pace::take_reports(shared, &self.audience, complete);
        let leaving = shared.fleet().leaving_hashes();
        let has_departures = leaving.iter().any(|hash| !self.leaving.contains(hash));
        let offer = relay::offer(shared);
        let queued = admission::queue(shared);
        let loads = loads_by_upstream(shared);
        let changed = changed_loads((!complete).then_some(&self.loads), &loads);
        let is_global = complete
            || has_departures
            || offer != self.offer
            || queued != self.queued
            || status != self.status
            || update.is_some()
            || !(changed.is_empty()
                && evidence.is_empty()
                && limits.is_empty()
                && brittle.is_empty()
                && cold.is_empty()
                && paces.global.is_empty());
        if !is_global && paces.regional.is_empty() {
            return None;
        }
        let position = update.as_ref().map_or(shared.position(), |update| Position {
            era: update.era,
            revision: update.revision,
        });
        let message = Announcement {
            era: Some(position.era),
            revision: position.revision,
            watching,
            keeps_evacuations: true,
            config_version: outdated::told_version(shared),
            complete,
            loads: changed.into_iter().map(Load::from).collect(),
            limits,
            leaving: leaving.clone(),
            cold,
            paces: paces.regional,
            brittle,
            queued: queued.clone(),
            prefixes: prefixes::take(shared, &self.audience, complete),
            relays: Some(offer.as_ref().map_or_else(RelayOffer::default, RelayOffer::from)),
            ..of_evidence(evidence)
        };
        let message = with_changes(message, update);
        *self = Self {
            audience: std::mem::take(&mut self.audience),
            loads,
            status,
            leaving,
            offer,
            queued,
        };
        Some(News {
            message,
            global_paces: is_global.then_some(paces.global),
        })
    }
}

/// A message that holds nothing but evidence about crashes.
fn of_evidence(evidence: CrashEvidence) -> Announcement {
    Announcement {
        crashes: evidence.crashes.into_iter().map(Crash::from).collect(),
        sound: evidence.sound.into_iter().map(Sound::from).collect(),
        trials: evidence.trials.into_iter().map(Trial::from).collect(),
        ..Announcement::default()
    }
}

/// Takes what the other instances are to be told of limits and of brittle upstreams.
fn take_limits(shared: &Shared, complete: bool) -> (Vec<Limit>, Vec<Limit>) {
    let now = shared.now();
    let mut fleet = shared.fleet_mut();
    let limits = fleet.limits_mut().take_reports(complete, now);
    let brittle = fleet.limits_mut().take_brittle_reports(complete, now);
    let encode = |reports: Vec<LimitReport>| reports.into_iter().map(Limit::from).collect();
    (encode(limits), encode(brittle))
}

fn loads_by_upstream(shared: &Shared) -> HashMap<u64, PeerLoad> {
    let loads = shared.fleet().local_loads().into_iter();
    loads.map(|load| (load.upstream_hash, load)).collect()
}

/// Position of an instance that watches the store: those that do not notice by it when they are behind.
fn told_position(shared: &Shared) -> Position {
    if shared.is_watching() {
        shared.position()
    } else {
        Position::START
    }
}

/// Adds changes of the store's content in the field that only instances read which can use all of them.
fn with_changes(message: Announcement, update: Option<StoreUpdate>) -> Announcement {
    let Some(StoreUpdate {
        base,
        revision,
        items,
        ..
    }) = update
    else {
        return message;
    };
    if base == revision || items.iter().any(|item| item.patch.is_some()) {
        Announcement {
            patched: items,
            patched_base: base,
            ..message
        }
    } else if items.iter().any(|item| item.delta.is_some()) {
        Announcement {
            changes: items,
            changes_base: base,
            ..message
        }
    } else {
        Announcement {
            updates: items,
            base,
            ..message
        }
    }
}

/// Sends messages for as long as the process runs: changes at once, the complete load at regular intervals.
pub(super) async fn send(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let boot_id = shared.boot_id();
    let mut told = Told::default();
    let mut sequence = 0;
    let mut due = Instant::now();
    let mut had_peers = false;
    loop {
        let has_peers = !shared.peers().is_empty();
        let complete = Instant::now() >= due || (has_peers && !had_peers);
        had_peers = has_peers;
        if let Some(mut news) = told.next_message(&shared, complete) {
            sequence += 1;
            news.message.boot_id = boot_id;
            news.message.sequence = sequence;
            broadcast(&told.audience, &socket, &news).await;
        }
        send_pauses(&shared, &socket).await;
        spread_evidence(&shared, &socket, (boot_id, &mut sequence), complete).await;
        if complete {
            due = Instant::now() + COMPLETE_INTERVAL;
        }
        let pause_end = Instant::now() + MIN_INTERVAL;
        tokio::time::sleep_until(pause_end).await;
        shared.record_stall(pause_end.elapsed());
        // A timeout is the usual case: nothing has changed.
        let _changed = tokio::time::timeout_at(due, shared.load_changed.notified()).await;
        shared.record_stall(due.elapsed());
        outdated::pass(&shared);
    }
}

/// Tells other instances which upstreams have asked them for a pause, in answers that they have relayed.
async fn send_pauses(shared: &Shared, socket: &UdpSocket) {
    for (peer, pause) in shared.take_peer_pauses() {
        let message = Announcement {
            pauses: vec![pause],
            ..Announcement::default()
        };
        send_to(socket, &message.encode_to_vec(), peer).await;
    }
}

/// Returns the loads that differ from those in `sent`, and zero loads for upstreams without requests any more; all loads
/// without `sent`.
fn changed_loads(sent: Option<&HashMap<u64, PeerLoad>>, loads: &HashMap<u64, PeerLoad>) -> Vec<PeerLoad> {
    let Some(sent) = sent else {
        return loads.values().copied().collect();
    };
    let ended = sent
        .keys()
        .filter(|hash| !loads.contains_key(hash))
        .map(|hash| PeerLoad {
            upstream_hash: *hash,
            requests: 0,
            tokens: 0,
            prefill: 0,
        });
    let changed = loads
        .values()
        .filter(|load| sent.get(&load.upstream_hash) != Some(load))
        .copied();
    ended.chain(changed).collect()
}

/// Sends all evidence about crashes to instances whose processes have just started and, if `is_due`, to a few others:
/// a message with news may be lost, and an instance that was cut off lacks it.
async fn spread_evidence(
    shared: &Shared,
    socket: &UdpSocket,
    (boot_id, sequence): (u64, &mut u64),
    is_due: bool,
) {
    let mut targets = shared.take_newcomers();
    if is_due {
        let peers = shared.peers();
        targets.extend(peers.sample(&mut rand::rng(), EVIDENCE_TARGETS));
    }
    if targets.is_empty() {
        return;
    }
    let evidence = shared.evidence().export(shared.now());
    if evidence.is_empty() {
        return;
    }
    *sequence += 1;
    let message = Announcement {
        boot_id,
        sequence: *sequence,
        era: Some(shared.position().era),
        revision: shared.position().revision,
        watching: shared.is_watching(),
        keeps_evacuations: true,
        config_version: outdated::told_version(shared),
        ..of_evidence(evidence)
    };
    let bytes = message.encode_to_vec();
    for target in targets {
        send_to(socket, &bytes, target).await;
    }
}

async fn send_to(socket: &UdpSocket, bytes: &[u8], peer: SocketAddr) {
    if let Err(error) = socket.send_to(bytes, peer).await {
        log::debug!(peer:% = peer, error:% = error; "announcement not sent");
    }
}

/// Sends a message to all other instances. A large one is spread over time.
async fn broadcast(audience: &Audience, socket: &UdpSocket, news: &News) {
    let bytes = news.message.encode_to_vec();
    if bytes.len() > MAX_DATAGRAM {
        // Receivers cut it off, and drop what they cannot decode.
        log::warn!(bytes = bytes.len(), most = MAX_DATAGRAM; "message too large for other instances");
    }
    let remote_bytes = news.for_remote().map(|message| message.encode_to_vec());
    let mut burst = 0;
    for peer in &audience.peers {
        let bytes = if audience.remote.contains(peer) {
            let Some(bytes) = &remote_bytes else {
                continue;
            };
            bytes
        } else {
            &bytes
        };
        if bytes.len() > PLAIN_BYTES && burst > MAX_BURST {
            tokio::time::sleep(Duration::from_secs_f64(burst as f64 / BURST_RATE)).await;
            burst = 0;
        }
        burst += bytes.len();
        send_to(socket, bytes, *peer).await;
    }
}

/// Receives the messages of other instances for as long as the process runs.
pub(super) async fn receive(shared: Rc<Shared>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((length, peer)) => handle_datagram(&shared, peer, &buffer[..length]),
            Err(error) => {
                log::debug!(error:% = error; "datagram not received");
                tokio::time::sleep(MIN_INTERVAL).await;
            }
        }
    }
}

/// The changes of the store's content in a message, if there are any.
fn changes_of(message: &Announcement) -> Option<StoreUpdate> {
    let (base, items) = if message.base > 0 {
        (message.base, &message.updates)
    } else if message.changes_base > 0 {
        (message.changes_base, &message.changes)
    } else {
        (message.patched_base, &message.patched)
    };
    (base > 0).then(|| StoreUpdate {
        era: message.era.unwrap_or(0),
        base,
        revision: message.revision,
        items: items.clone(),
    })
}

fn handle_datagram(shared: &Shared, peer: SocketAddr, bytes: &[u8]) {
    let message = match Announcement::decode(bytes) {
        Ok(message) => message,
        Err(error) => {
            log::warn!(peer:% = peer, error:% = error; "malformed datagram dropped");
            return;
        }
    };
    if limit::receive(shared, peer, &message) {
        return;
    }
    if !message.pauses.is_empty() {
        return limit::merge_pauses(shared, peer, &message.pauses);
    }
    outdated::hear_version(shared, peer, message.config_version);
    let own = shared.position();
    let keeps_evacuations = message.keeps_evacuations;
    // What a build that knows no evacuations passes on may lack one.
    let update = changes_of(&message).filter(|_| keeps_evacuations);
    let limits: Vec<LimitReport> = message.limits.into_iter().map(Into::into).collect();
    limit::merge(shared, peer, &limits);
    let brittle: Vec<LimitReport> = message.brittle.into_iter().map(Into::into).collect();
    limit::merge_brittle(shared, peer, &brittle);
    cold::merge(shared, peer, &message.cold);
    departure::merge(shared, peer, &message.leaving);
    pace::merge(shared, peer, &message.paces);
    prefixes::merge(shared, peer, message.prefixes);
    let stamp = MessageStamp {
        boot_id: message.boot_id,
        number: message.sequence,
    };
    if shared.fleet().is_new_peer(peer, message.boot_id) {
        shared.add_newcomer(peer);
    }
    shared.merge_evidence(&CrashEvidence {
        crashes: message.crashes.into_iter().map(Into::into).collect(),
        sound: message.sound.into_iter().map(Into::into).collect(),
        trials: message.trials.into_iter().map(Into::into).collect(),
    });
    let loads = message.loads.into_iter().map(Into::into).collect();
    let now = shared.now();
    shared
        .fleet_mut()
        .apply_peer_loads(peer, stamp, loads, message.complete, now);
    if let Some(queue) = &message.queued {
        admission::merge_queue(shared, peer, queue);
    }
    if let Some(offer) = &message.relays {
        shared
            .fleet_mut()
            .set_relay_offer(peer, relay::decode_offer(offer));
    }
    shared.grant_waiting();
    let reached = PeerPosition {
        era: message.era,
        revision: message.revision,
    };
    if message.complete || update.is_some() || reached.known(own.era) != Some(own) {
        shared.report(Report::Peer {
            address: peer,
            reached,
            update,
            watching: message.watching && keeps_evacuations,
        });
    }
}
