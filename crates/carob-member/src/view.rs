//! Queries of this instance's view of the others.

use carob_base::{Name, Time};
use carob_config::Revision;
use carob_peer::DomainSummary;
use rand::RngExt as _;
use smallvec::SmallVec;

use crate::{
    event::Target,
    home,
    load::{InFlight, Load},
    member::{Member, Status},
    members::Members,
    send::Traffic,
};

/// Number of instances of a failure domain that watch the store.
const WATCHERS: usize = 3;

impl Members {
    /// All other known instances, in any status and of any failure domain.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.arena.values()
    }

    /// The member with the short id `id`; `None` if it is unknown or this instance itself.
    pub fn get(&self, id: u32) -> Option<&Member> {
        self.arena.get(*self.by_id.get(&id)?)
    }

    /// Short id of this instance.
    pub fn own_id(&self) -> u32 {
        self.own_id
    }

    /// Short ids of the instances alive in this failure domain, this one included, in ascending order.
    pub fn alive_ids(&self) -> &[u32] {
        &self.ring
    }

    /// Whether the view is current: a datagram has arrived since the last pause of this process, or no other
    /// instance is alive in its failure domain.
    pub fn is_current(&self) -> bool {
        self.current || self.ring.len() == 1
    }

    /// The last load report of an upstream and the time of its arrival.
    pub fn load(&self, upstream: u32) -> Option<(Load, Time)> {
        self.loads.get(&upstream).copied()
    }

    /// Sum of the requests that the other instances of this failure domain recently reported in flight at an
    /// upstream.
    pub fn peers_in_flight(&self, upstream: u32) -> InFlight {
        let mut sum = InFlight::default();
        for (peer, _) in self
            .in_flight
            .values()
            .filter_map(|reports| reports.get(&upstream))
        {
            sum.running += peer.running;
            sum.tokens += peer.tokens;
            sum.sent += peer.sent;
        }
        sum
    }

    /// The last summary of another failure domain; `None` if there is none yet or the domain is cut off.
    pub fn summary(&self, domain: &Name) -> Option<&DomainSummary> {
        let remote = self.bridges.remote_domains.get(domain)?;
        remote.summary.as_ref().filter(|_| !remote.cut_off)
    }

    /// Short id of the home of `key` in this failure domain: the instance responsible for it, for example for
    /// polling the upstream of that name.
    ///
    /// Suspected and leaving instances are the home of no key; without any candidate this instance is the
    /// home.
    pub fn home(&self, key: &str) -> u32 {
        home::top_ranked(key.as_bytes(), self.home_candidates(), 1)
            .first()
            .copied()
            .unwrap_or(self.own_id)
    }

    /// Whether this instance is the home of `key`.
    pub fn is_home(&self, key: &str) -> bool {
        self.home(key) == self.own_id
    }

    /// Whether this instance is one of the up to three of its failure domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        home::top_ranked(b"carob/watch", self.home_candidates(), WATCHERS).contains(&self.own_id)
    }

    /// The highest revision known to be in force at another instance alive, in any failure domain that is not
    /// cut off.
    pub fn highest_revision(&self) -> Revision {
        let local = self.iter().filter(|member| member.is_alive());
        let remote = self.bridges.remote_domains.values().filter(|n| !n.cut_off);
        let remote = remote.filter_map(|domain| Some(Revision(domain.summary.as_ref()?.highest)));
        local
            .map(|member| member.revision)
            .chain(remote)
            .max()
            .unwrap_or_default()
    }

    /// An instance that holds a newer revision than `held`, preferably of this failure domain.
    pub fn newer_holder(&mut self, held: Revision) -> Option<Target> {
        let local = self.arena.values().filter(|m| m.is_alive() && m.revision > held);
        let local: SmallVec<[Target; 8]> = local.map(Member::target).collect();
        if !local.is_empty() {
            return Some(local[self.rng.random_range(0..local.len())].clone());
        }
        let remote = self.bridges.remote_domains.values().filter(|n| !n.cut_off);
        let summaries = remote.filter_map(|domain| domain.summary.as_ref());
        let summary = summaries.max_by_key(|summary| summary.highest)?;
        if Revision(summary.highest) <= held {
            return None;
        }
        Some(self.get(summary.holder)?.target())
    }

    /// Sorted names of the instances, this one included, that are not known to have `revision` in force.
    /// Instances that have shut down are left out.
    ///
    /// Instances of other failure domains are judged by their domain's last summary, which names only a few
    /// of those that are behind; without a summary, or if the domain is cut off, all its instances are
    /// returned.
    pub fn unconfirmed(&self, revision: Revision) -> Vec<Name> {
        let mut names: Vec<_> = self
            .iter()
            .filter(|member| member.status != Status::Left && !self.confirms(member, revision))
            .map(|member| member.name.clone())
            .collect();
        if self.outbox.state.revision < revision.0 {
            names.push(self.options.name.clone());
        }
        names.sort_unstable();
        names
    }

    fn confirms(&self, member: &Member, revision: Revision) -> bool {
        if member.domain == self.options.domain {
            return member.is_alive() && member.revision >= revision;
        }
        let Some(summary) = self.summary(&member.domain) else {
            return false;
        };
        if summary.lowest >= revision.0 {
            return true;
        }
        summary.highest >= revision.0 && !summary.behind.iter().any(|name| name == member.name.as_str())
    }

    /// Datagrams and bytes sent so far.
    pub fn traffic(&self) -> Traffic {
        self.traffic
    }

    /// Instances that can be the home of a key: those of this failure domain that are neither suspected nor
    /// leaving.
    fn home_candidates(&self) -> impl Iterator<Item = u32> {
        self.ring.iter().copied().filter(|id| match self.get(*id) {
            None => !self.outbox.state.leaving,
            Some(member) => member.status == Status::Alive && !member.leaving,
        })
    }
}
