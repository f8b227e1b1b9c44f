//! Exchange of the configuration between instances, over TCP at the peers' address.

use std::{
    net::{TcpListener, TcpStream},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use carob_config::Revision;
use carob_link::exchange::{self, Endpoint};
use carob_member::Target;
use carob_peer::{ConfigReply, ConfigRequest, decode, encode};
use carob_ticket::follow;
use flume::Receiver;

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

/// Time limit of each step of an exchange.
const STEP_TIMEOUT: Duration = Duration::from_secs(2);

/// A request to a peer.
#[derive(Debug)]
pub struct Job {
    /// The peer.
    pub peer: Target,
    /// The revision that this instance holds.
    pub held: Revision,
}

/// Requests the configuration from peers until the channel is closed.
pub fn run(shared: &Arc<Shared>, endpoint: &Endpoint, jobs: &Receiver<Job>) {
    for job in jobs {
        let request = encode(&ConfigRequest { held: job.held.0 });
        let (id, address) = (job.peer.id, job.peer.address);
        let response = exchange::request(endpoint, id, address, rand::random(), &request, STEP_TIMEOUT);
        match response.map(decode::<ConfigReply>) {
            Ok(Ok(reply)) => shared.send_event(Event::Follow(follow::Event::PeerReplied(reply.values))),
            Ok(Err(error)) => {
                log::warn!("config: the answer of the peer at {address} cannot be decoded: {error}");
            }
            Err(error) => log::info!("config: no answer from the peer at {address}: {error}"),
        }
    }
}

/// Answers requests of peers, one after the other, until the instance is closed.
pub fn serve(shared: &Arc<Shared>, endpoint: &Endpoint, listener: &TcpListener) {
    for stream in listener.incoming() {
        if shared.phase() == Phase::Closed {
            return;
        }
        let answered = stream
            .and_then(with_timeouts)
            .and_then(|stream| exchange::respond(endpoint, stream, |_from, request| answer(shared, request)));
        if let Err(error) = answered {
            log::debug!("config: a peer's request was not answered: {error}");
        }
    }
}

fn with_timeouts(stream: TcpStream) -> std::io::Result<TcpStream> {
    stream.set_read_timeout(Some(STEP_TIMEOUT))?;
    stream.set_write_timeout(Some(STEP_TIMEOUT))?;
    Ok(stream)
}

/// The values that bring the peer up to date; none if the request cannot be decoded or the control thread
/// does not answer.
fn answer(shared: &Shared, request: Bytes) -> Bytes {
    let held = decode::<ConfigRequest>(request).map(|request| Revision(request.held));
    let values = held.ok().and_then(|held| {
        let (reply, values) = flume::bounded(1);
        shared.send_event(Event::ServeConfig { held, reply });
        values.recv_timeout(STEP_TIMEOUT).ok()
    });
    encode(&ConfigReply {
        values: values.unwrap_or_default(),
    })
}
