//! Packing of messages into datagrams, and counters of what is sent.

use carob_peer::{Ack, Bundle, Hello, Packet, Ping, encode};
use prost::Message as _;

use crate::{
    event::{Action, Actions, Target},
    members::Members,
};

/// Maximum size of a datagram's body, in bytes.
const BODY_LIMIT: usize = 1_150;
/// Bytes of a datagram besides its body: 33 for the frame, 8 for UDP and 20 for IP.
pub const DATAGRAM_OVERHEAD: usize = 33 + 8 + 20;

carob_base::plain! {
    /// Datagrams and bytes sent so far, including the headers of IP and UDP.
    #[derive(Default)]
    pub struct Traffic {
        /// Number of datagrams to any instance.
        pub datagrams: u64,
        /// Bytes to any instance.
        pub bytes: u64,
        /// Bytes to other failure domains of the same region.
        pub cross_domain: u64,
        /// Bytes to other regions, which cost money.
        pub cross_region: u64,
    }
}

impl Members {
    fn hello(&self) -> Hello {
        Hello {
            name: self.options.name.as_str().to_owned(),
            domain: self.options.domain.as_str().to_owned(),
            region: self.options.region.as_str().to_owned(),
            address: self.options.address.to_string(),
        }
    }

    /// Sends `packet` together with the bundles queued for the same instance.
    pub(crate) fn send(&mut self, to: u32, packet: Packet, actions: &mut Actions) {
        let bundles = self.send_queue.take_for(to);
        self.send_bundles(to, packet, bundles, actions);
    }

    /// Sends `packet` and `bundles`, split into as many datagrams as [`BODY_LIMIT`] requires.
    ///
    /// A ping to a receiver that may not know this instance carries a hello.
    pub(crate) fn send_bundles(
        &mut self,
        to: u32,
        mut packet: Packet,
        bundles: Vec<Bundle>,
        actions: &mut Actions,
    ) {
        let Some(member) = self.get(to) else {
            return;
        };
        let target = member.target();
        if member.hello_acked != Some(member.incarnation) && packet.ping.is_some() {
            packet.hello = Some(self.hello());
        }
        let mut size = packet.encoded_len();
        for bundle in bundles {
            // The field's tag and length take at most 3 bytes.
            let added = bundle.encoded_len() + 3;
            if size + added > BODY_LIMIT && size > 0 {
                self.send_packet(&target, &std::mem::take(&mut packet), actions);
                size = 0;
            }
            size += added;
            packet.bundles.push(bundle);
        }
        if size > 0 {
            self.send_packet(&target, &packet, actions);
        }
    }

    pub(crate) fn send_packet(&mut self, to: &Target, packet: &Packet, actions: &mut Actions) {
        let body = encode(packet);
        let bytes = (body.len() + DATAGRAM_OVERHEAD) as u64;
        self.traffic.datagrams += 1;
        self.traffic.bytes += bytes;
        if let Some(member) = self.get(to.id) {
            let (domain, region) = (&member.domain, &member.region);
            if region != &self.options.region {
                self.traffic.cross_region += bytes;
            } else if domain != &self.options.domain {
                self.traffic.cross_domain += bytes;
            }
        }
        actions.push(Action::Send { to: to.clone(), body });
    }
}

pub(crate) fn ping(number: u32) -> Packet {
    Packet {
        ping: Some(Ping { number }),
        ..Packet::default()
    }
}

pub(crate) fn ack(number: u32, needs_hello: bool) -> Packet {
    Packet {
        ack: Some(Ack { number, needs_hello }),
        ..Packet::default()
    }
}
