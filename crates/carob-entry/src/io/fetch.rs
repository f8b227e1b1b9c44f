//! Configuration between instances, over TCP at the peers' address.
//!
//! Every exchange is one sealed question and one sealed answer on a connection of its own.

use std::{
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use carob_config::Revision;
use carob_link::{Frames, Key, Opener, Sealer};
use carob_member::Target;
use carob_peer::{ConfigReply, ConfigRequest, decode, encode};
use carob_ticket::follow;
use flume::Receiver;

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

/// Time limit of each read and write.
const LIMIT: Duration = Duration::from_secs(2);
/// Longest wait for the control thread's answer.
const CONTROL_WAIT: Duration = Duration::from_secs(2);

/// The sealer of this process. Datagrams and connections share it, since a sequence is used only once.
pub type SharedSealer = Arc<Mutex<Sealer>>;

/// A question to a peer.
#[derive(Debug)]
pub struct Job {
    /// The peer.
    pub peer: Target,
    /// The revision that is held here.
    pub held: Revision,
}

/// Seals `body` for the instance with the short id `to`.
pub fn seal(sealer: &SharedSealer, to: u32, body: &[u8]) -> Bytes {
    lock(sealer).seal(to, body)
}

/// Seals all further frames with a later incarnation.
pub fn reincarnate(sealer: &SharedSealer, incarnation: u64) {
    lock(sealer).set_incarnation(incarnation);
}

fn lock(sealer: &SharedSealer) -> std::sync::MutexGuard<'_, Sealer> {
    // No code that holds the lock can leave the sealer half changed.
    sealer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Asks peers until the channel is closed.
pub fn ask(shared: &Arc<Shared>, id: u32, sealer: &SharedSealer, jobs: &Receiver<Job>) {
    let mut opener = Opener::new(Key::new(&shared.options.peer_key), id);
    for job in jobs {
        match question(&job, sealer, &mut opener) {
            Ok(values) => shared.tell(Event::Follow(follow::Event::PeerSent(values))),
            Err(error) => log::info!("config: no answer from the peer at {}: {error}", job.peer.address),
        }
    }
}

fn question(job: &Job, sealer: &SharedSealer, opener: &mut Opener) -> io::Result<Vec<Bytes>> {
    let mut frames = Frames::new(connect(job.peer.address)?);
    let request = ConfigRequest { held: job.held.0 };
    frames.write(seal(sealer, job.peer.id, &encode(&request)))?;
    let frame = frames.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let opened = opener.open(&frame).map_err(io::Error::other)?;
    let reply: ConfigReply = decode(opened.body).map_err(io::Error::other)?;
    Ok(reply.values)
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, LIMIT)?;
    set_limits(&stream)?;
    Ok(stream)
}

fn set_limits(stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(LIMIT))?;
    stream.set_write_timeout(Some(LIMIT))
}

/// Answers peers, one after the other, until the instance is closed.
pub fn serve(shared: &Arc<Shared>, id: u32, sealer: &SharedSealer, listener: &TcpListener) {
    let mut opener = Opener::new(Key::new(&shared.options.peer_key), id);
    for stream in listener.incoming() {
        if shared.phase() == Phase::Closed {
            return;
        }
        let answered = stream.and_then(|stream| answer(shared, stream, sealer, &mut opener));
        if let Err(error) = answered {
            log::debug!("config: a peer's question was not answered: {error}");
        }
    }
}

fn answer(shared: &Shared, stream: TcpStream, sealer: &SharedSealer, opener: &mut Opener) -> io::Result<()> {
    set_limits(&stream)?;
    let mut frames = Frames::new(stream);
    let frame = frames.read()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let opened = opener.open(&frame).map_err(io::Error::other)?;
    let request: ConfigRequest = decode(opened.body).map_err(io::Error::other)?;
    let (reply, values) = flume::bounded(1);
    shared.tell(Event::Serve {
        held: Revision(request.held),
        reply,
    });
    let values = values.recv_timeout(CONTROL_WAIT).map_err(io::Error::other)?;
    frames.write(seal(sealer, opened.from, &encode(&ConfigReply { values })))
}
