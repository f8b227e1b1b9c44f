//! Sends datagrams and counts them.

use carob_peer::{Ack, Bundle, Hello, Packet, Ping, encode};
use prost::Message as _;

use crate::{
    event::{Action, Actions, Target},
    members::Members,
};

/// Longest body of a datagram, in bytes.
const BODY_LIMIT: usize = 1_150;
/// Bytes that a datagram takes besides its body: the frame, UDP and IP.
pub const DATAGRAM_OVERHEAD: usize = 33 + 8 + 20;

carob_base::plain! {
    /// Datagrams and bytes sent so far, the headers of IP and UDP included.
    #[derive(Default)]
    pub struct Traffic {
        /// Datagrams.
        pub datagrams: u64,
        /// Bytes.
        pub bytes: u64,
        /// Bytes to other failure domains of the same region.
        pub cross_domain: u64,
        /// Bytes to other regions, which are paid for.
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

    /// Sends `packet` with the bundles that wait for the same instance.
    pub(crate) fn send(&mut self, to: u32, packet: Packet, actions: &mut Actions) {
        let bundles = self.send_queue.take_for(to);
        self.send_bundles(to, packet, bundles, actions);
    }

    /// Sends `packet` and `bundles`, in as many datagrams as that takes.
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
            let more = bundle.encoded_len() + 3;
            if size + more > BODY_LIMIT && size > 0 {
                self.send_packet(&target, &std::mem::take(&mut packet), actions);
                size = 0;
            }
            size += more;
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

pub(crate) fn ack(number: u32, stranger: bool) -> Packet {
    Packet {
        ack: Some(Ack {
            number,
            needs_hello: stranger,
        }),
        ..Packet::default()
    }
}
