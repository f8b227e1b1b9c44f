//! What this instance knows of the others.

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

/// Instances of a failure domain that watch the store.
const WATCHERS: usize = 3;

impl Members {
    /// Every other instance that is known.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.arena.values()
    }

    /// The instance with the short id `id`, if it is another one.
    pub fn get(&self, id: u32) -> Option<&Member> {
        self.arena.get(*self.by_id.get(&id)?)
    }

    /// This instance's short id.
    pub fn own_id(&self) -> u32 {
        self.own_id
    }

    /// Short ids of the instances alive in this failure domain, this one included, in order.
    pub fn alive_ids(&self) -> &[u32] {
        &self.ring
    }

    /// Whether this process has heard of others since it was last paused. If not, its view is old.
    pub fn is_current(&self) -> bool {
        self.current || self.ring.len() == 1
    }

    /// The last report of an upstream and when it arrived.
    pub fn load(&self, upstream: u32) -> Option<(Load, Time)> {
        self.loads.get(&upstream).copied()
    }

    /// What the other instances of this failure domain have under way at an upstream, as far as they said lately.
    pub fn peers_in_flight(&self, upstream: u32) -> InFlight {
        let mut sum = InFlight::default();
        for (own, _) in self.in_flight.values().filter_map(|owns| owns.get(&upstream)) {
            sum.running += own.running;
            sum.tokens += own.tokens;
            sum.sent += own.sent;
        }
        sum
    }

    /// The summary of another failure domain, unless that is cut off.
    pub fn summary(&self, domain: &Name) -> Option<&DomainSummary> {
        let remote = self.bridges.remote_domains.get(domain)?;
        remote.summary.as_ref().filter(|_| !remote.cut_off)
    }

    /// Short id of the instance of this failure domain that looks after `key`, such as an upstream's name.
    ///
    /// Instances that are suspected or leaving look after nothing.
    pub fn home(&self, key: &str) -> u32 {
        home::top_ranked(key.as_bytes(), self.home_candidates(), 1)
            .first()
            .copied()
            .unwrap_or(self.own_id)
    }

    /// Whether this instance looks after `key`.
    pub fn is_home(&self, key: &str) -> bool {
        self.home(key) == self.own_id
    }

    /// Whether this instance is one of the few of its failure domain that watch the store.
    pub fn is_watcher(&self) -> bool {
        home::top_ranked(b"carob/watch", self.home_candidates(), WATCHERS).contains(&self.own_id)
    }

    /// The highest revision that an instance alive holds.
    pub fn highest_revision(&self) -> Revision {
        let own = self.iter().filter(|member| member.is_alive());
        let other = self.bridges.remote_domains.values().filter(|n| !n.cut_off);
        let other = other.filter_map(|remote| Some(Revision(remote.summary.as_ref()?.highest)));
        own.map(|member| member.revision)
            .chain(other)
            .max()
            .unwrap_or_default()
    }

    /// An instance that holds more than `held`, of this failure domain if there is one.
    pub fn newer_holder(&mut self, held: Revision) -> Option<Target> {
        let near = self.arena.values().filter(|m| m.is_alive() && m.revision > held);
        let near: SmallVec<[Target; 8]> = near.map(Member::target).collect();
        if !near.is_empty() {
            return Some(near[self.rng.random_range(0..near.len())].clone());
        }
        let far = self.bridges.remote_domains.values().filter(|n| !n.cut_off);
        let far = far.filter_map(|remote| remote.summary.as_ref());
        let summary = far.max_by_key(|summary| summary.highest)?;
        if Revision(summary.highest) <= held {
            return None;
        }
        Some(self.get(summary.holder)?.target())
    }

    /// Names of the instances on the platform's list that are not known to hold `revision`.
    ///
    /// This instance answers for itself. Of other failure domains the names are known only as far as their
    /// summaries go; if a domain is cut off, all its instances are named.
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

    fn home_candidates(&self) -> impl Iterator<Item = u32> {
        self.ring.iter().copied().filter(|id| match self.get(*id) {
            None => !self.outbox.state.leaving,
            Some(member) => member.status == Status::Alive && !member.leaving,
        })
    }
}
