//! Chooses another instance that relays connections to upstreams which cannot be reached from this one.

use std::{net::SocketAddr, time::Duration};

use carob_base::Time;
use smallvec::SmallVec;

use super::{Exclusion, Fleet, UpstreamKey, peers::Peer};
use crate::{regions::Regions, residence::Residence, table::RoutingTable};

/// Age of an instance's last message up to which it is chosen: two of its messages were missed.
const HEARD_TIME: Duration = Duration::from_millis(2_200);

/// Open connections through a nearer instance for which one in another failure domain is chosen instead.
const DOMAIN_COST: f64 = 4.0;

/// Open connections through a nearer instance for which one in another region is chosen instead.
const REGION_COST: f64 = 16.0;

carob_base::value! {
    /// What an instance that asks for a connection says of the request, or of the generation that it calls about.
    pub struct RelayedRequest {
        /// Where it may run by the configuration of that instance.
        pub residence: Residence,
        /// Host that it names.
        pub host: Box<str>,
        /// Its path.
        pub path: Box<str>,
        /// [`key_hash`](crate::table::key_hash) of its key; absent without one.
        pub key_hash: Option<u64>,
    }

    /// What an instance says about relaying connections for others.
    pub struct RelayOffer {
        /// Its failure domain.
        pub domain: Box<str>,
        /// [`service_hash`]es of services whose upstreams cannot be reached from it.
        pub cut: SmallVec<[u64; 2]>,
    }
}

carob_base::plain! {
    /// An instance that is to relay a connection.
    pub struct Relay {
        /// Its address.
        pub peer: SocketAddr,
        /// Time since its last message.
        pub heard: Duration,
    }
}

/// Identifies a service in messages between instances.
pub fn service_hash(service: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(service.as_bytes())
}

impl RelayedRequest {
    /// Where it may run by the configuration of the instance that asks, or by `table` if that is newer.
    pub fn residence(&self, table: Option<&RoutingTable>) -> Residence {
        let mut residence = self.residence.clone();
        // Finding the account takes time in proportion to the number of keys.
        if let Some(table) = table.filter(|table| table.version() > residence.version()) {
            let account = self.key_hash.and_then(|hash| table.account_by_hash(hash));
            residence.update(table, (&self.host, &self.path), account);
        }
        residence
    }
}

impl Fleet {
    /// Records what the instance at `peer` says about relaying; `None` if it relays nothing.
    pub fn set_relay_offer(&mut self, peer: SocketAddr, offer: Option<RelayOffer>) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.offer = offer;
        }
    }

    /// Chooses the instance at `peer` for no relay until `until`.
    pub fn avoid_relay(&mut self, peer: SocketAddr, until: Time) {
        if let Some(known) = self.peers.get_mut(&peer) {
            known.relay_after = until;
        }
    }

    /// Whether `peer` is an instance whose process has told this random number.
    pub fn is_known_process(&self, peer: SocketAddr, boot_id: u64) -> bool {
        self.peers
            .get(&peer)
            .is_some_and(|known| known.stamp.boot_id == boot_id)
    }

    /// Whether any instance has been heard of lately, whatever it can do.
    pub fn hears_peers(&self, now: Time) -> bool {
        self.recent_peers(HEARD_TIME, now) > 0
    }

    /// Chooses the instance that relays a connection to an upstream of `service`: one that reaches upstreams of it, near
    /// and with few connections from here, the number of which `open` returns. It is in one of `regions`, since what is sent
    /// passes through it. `draw` is a random number.
    pub fn choose_relay(
        &self,
        (service, regions): (&str, &Regions),
        excluded: &[SocketAddr],
        open: impl Fn(SocketAddr) -> u32,
        draw: u64,
        now: Time,
    ) -> Option<Relay> {
        let hash = service_hash(service);
        let candidates = self.peers.iter().filter_map(|(peer, known)| {
            let offer = known.relay_offer(hash, now)?;
            if !regions.is_any() && !regions.permits(self.region(&offer.domain)) {
                return None;
            }
            let cost = f64::from(open(*peer)) + self.relay_cost(&offer.domain) + random_share(*peer, draw);
            (!excluded.contains(peer)).then_some((cost, *peer, known.last_seen))
        });
        let (_, peer, seen) = candidates.min_by(|one, other| one.0.total_cmp(&other.0))?;
        Some(Relay {
            peer,
            heard: now.since(seen),
        })
    }

    /// Failure domain of the instance at `peer`, as that offers to relay; `None` if it is not known.
    pub fn relay_domain(&self, peer: SocketAddr) -> Option<&str> {
        let offer = self.peers.get(&peer)?.offer.as_ref()?;
        Some(&*offer.domain)
    }

    /// Checks that a request restricted to `regions` may still pass through the instance at `peer`.
    ///
    /// # Errors
    ///
    /// Returns [`Exclusion::Region`] if that is in another region, or if it is not known where it is.
    pub fn check_relay(&self, peer: SocketAddr, regions: &Regions) -> Result<(), Exclusion> {
        let region = self.relay_domain(peer).and_then(|domain| self.region(domain));
        if regions.permits(region) {
            Ok(())
        } else {
            Err(Exclusion::Region)
        }
    }

    /// Checks that a request restricted to `regions` may pass through this instance to an upstream.
    ///
    /// # Errors
    ///
    /// Returns the [`Exclusion`] if the upstream's location or this instance's region does not permit it.
    pub fn check_passage(&self, key: UpstreamKey, regions: &Regions) -> Result<(), Exclusion> {
        self.check_destination(key, regions)?;
        if regions.permits(self.region(&self.topology.domain)) {
            Ok(())
        } else {
            Err(Exclusion::Region)
        }
    }

    /// Checks that the memory of a generation restricted to `regions` may be copied from one upstream to another, by their
    /// stable hashes. A generation that is only stopped names its own upstream as the target, which is always permitted.
    ///
    /// # Errors
    ///
    /// Returns [`Exclusion::Region`] if the target is in another region, or if it is not known.
    pub fn check_copy(&self, (from, to): (u64, u64), regions: &Regions) -> Result<(), Exclusion> {
        let target = self.find_hash(to).and_then(|key| self.upstream(key));
        let region = target.and_then(|target| self.region(&target.entry.domain));
        if from == to || regions.permits(region) {
            Ok(())
        } else {
            Err(Exclusion::Region)
        }
    }

    fn relay_cost(&self, domain: &str) -> f64 {
        let regions = &self.topology.regions;
        if *domain == *self.topology.domain {
            0.0
        } else if regions.get(domain) == regions.get(&self.topology.domain) {
            DOMAIN_COST
        } else {
            REGION_COST
        }
    }
}

impl Peer {
    /// The offer of an instance that may be asked to relay to the service with this hash.
    fn relay_offer(&self, service: u64, now: Time) -> Option<&RelayOffer> {
        let is_heard = now.since(self.last_seen) < HEARD_TIME && self.relay_after <= now;
        self.offer
            .as_ref()
            .filter(|offer| is_heard && !offer.cut.contains(&service))
    }
}

/// Hashes an instance and a random number to a number from 0 to 1.
fn random_share(peer: SocketAddr, draw: u64) -> f64 {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(peer.to_string().as_bytes(), draw);
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
