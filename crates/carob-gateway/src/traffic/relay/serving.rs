//! Connects to upstreams for other instances.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use carob_dispatch::{
    fleet::{Exclusion, LinkFailure, RelayedRequest, RequestSize, UpstreamKey},
    freshness::Doubt,
    migration::STOP_INTERVAL,
    residence,
};
use carob_platform::answer::{self, HeadScan};
use prost::Message;
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpStream, tcp::ReadHalf, tcp::WriteHalf},
    time::timeout,
};

use super::{
    super::{
        call::CONNECT_TIMEOUT,
        departure,
        guard::{ActiveRequest, Reservation},
        link, outdated,
        shared::Shared,
    },
    MAX_REPLY, RelayCount, count, write_frame,
};
use crate::{
    overhead::MAX_HEAD,
    relayed::LENGTH_BYTES,
    relaying::{RelayReply, RelayRequest, RelayState, Residence},
    socket::{self, set_tcp_options},
    update::RelayedConnection,
};

/// Number of connections that an instance relays at a time.
const MAX_RELAYED: u32 = 256;

/// Maximum size in bytes of what a reply says of a request. A refusal counts without it as well.
const MAX_TOLD: usize = MAX_REPLY as usize - 64;

/// Size of the buffer for each direction of a relayed connection, in bytes.
const BUFFER: usize = 16 << 10;

/// Time for which the end of a connection is awaited once its answer is passed on.
const END_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to an upstream for another instance and forwards bytes until either side ends.
pub(in crate::traffic) async fn serve(shared: Rc<Shared>, relayed: RelayedConnection) {
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
    let decided = request.request().map(|asked| residence(shared, &asked));
    let regions = |known: &Option<residence::Residence>| {
        let known = known.as_ref().map(|known| known.regions().to_string());
        known.unwrap_or_else(|| "unknown".to_owned())
    };
    let fleet = shared.fleet();
    let upstream = fleet
        .find_hash(request.upstream_hash)
        .and_then(|key| fleet.upstream(key));
    log::info!(
        request:% = String::from_utf8_lossy(&request.request), peer:% = request.sender,
        incarnation:% = format!("{:016x}", request.upstream_hash), state = state.name(),
        control = request.is_control,
        regions:% = regions(&told),
        version = told.as_ref().map_or(0, residence::Residence::version),
        own_version = shared.table().map_or(0, |table| table.version()),
        upstream_domain = upstream.map_or("unknown", |found| &*found.entry.domain),
        domain:% = shared.settings().domain, decided_regions:% = regions(&decided),
        upstream_region = upstream.and_then(|found| fleet.region(&found.entry.domain)).unwrap_or("unknown"),
        config_age_ms = shared.config_state().age_ms; "connection relayed for another instance"
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
            // A configuration may have come into force since, or the upstream leaves.
            check_regions(shared, request, upstream)?;
            if !request.is_control && shared.fleet().check_ready(upstream).is_err() {
                return Err(RelayState::Leaving);
            }
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
    let permitted = || {
        let checked = check_regions(shared, request, upstream);
        if let Err(state) = checked {
            log::info!(
                request:% = String::from_utf8_lossy(&request.request), peer:% = request.sender, state = state.name();
                "relayed connection closed: what arrived on it is not permitted any more"
            );
        }
        checked.is_ok()
    };
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
