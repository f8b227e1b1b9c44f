//! Datagrams from other instances.

use std::{net::UdpSocket, sync::Arc};

use bytes::Bytes;
use carob_link::{Error, Key, Opener};
use carob_member::{Datagram, Event as Member};

use crate::{
    control::Event,
    shared::{Phase, Shared},
};

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Receives and opens datagrams until the instance is closed. Those that are not authentic are dropped.
pub fn run(shared: &Arc<Shared>, id: u32, socket: &UdpSocket) {
    let mut opener = Opener::new(Key::new(&shared.options.peer_key), id);
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    while shared.phase() != Phase::Closed {
        let (length, source) = match socket.recv_from(&mut buffer) {
            Ok(received) => received,
            Err(error) => {
                // An earlier datagram sent to a closed port is reported here.
                log::debug!("member: cannot receive a datagram: {error}");
                continue;
            }
        };
        match opener.open(&Bytes::copy_from_slice(&buffer[..length])) {
            Ok(opened) => shared.send_event(Event::Member(Member::Datagram(Datagram {
                from: opened.from,
                incarnation: opened.incarnation,
                source,
                body: opened.body,
            }))),
            Err(Error::OldIncarnation { from, known }) => {
                shared.send_event(Event::Member(Member::OldIncarnation { from, known }));
            }
            Err(error) => log::debug!("member: datagram from {source} dropped: {error}"),
        }
    }
}
