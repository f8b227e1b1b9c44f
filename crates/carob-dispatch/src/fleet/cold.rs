//! Upstreams that are cold: what the directory and other instances say, and permits for requests to them.

use std::{collections::HashMap, net::SocketAddr};

use carob_base::Time;

use super::{DirectoryEntry, Fleet, RunKey, Upstream, UpstreamState, incarnation_hash, place::has_room};
use crate::limits::{Cold, ColdContent, ColdMessage, ColdOptions, ColdRate, ColdReport, Members, Spent};

/// Requests in the queue that are counted for an upstream at most. More permits than the slack are not held in any case.
const MAX_WAITING: usize = 8;

impl Fleet {
    /// The upstreams that are cold.
    pub const fn cold(&self) -> &Cold {
        &self.cold
    }

    /// The upstreams that are cold, to be changed.
    pub const fn cold_mut(&mut self) -> &mut Cold {
        &mut self.cold
    }

    /// Sets how far a second may exceed the rates of cold upstreams.
    pub const fn set_cold_options(&mut self, options: ColdOptions) {
        self.cold.set_options(options);
    }

    /// Sets the rates that cold upstreams of each service take.
    pub fn set_cold_rates(&mut self, rates: HashMap<Box<str>, ColdRate>) {
        self.cold.set_rates(rates);
    }

    /// Records what a directory entry says, unless a later one of the same incarnation is known.
    pub(super) fn record_cold(&mut self, entry: &DirectoryEntry, now: Time) {
        let hash = incarnation_hash(&entry.id, entry.started_ms);
        let known = self.find_hash(hash).and_then(|key| self.upstreams.get(key));
        if known.is_some_and(|known| known.entry.sequence > entry.sequence) {
            return;
        }
        let upstream = (hash, &*entry.service);
        self.cold
            .record_entry(upstream, entry.sequence, entry.cold_left, now);
    }

    /// Merges a report of the instance at `peer` about an upstream, if that is known; `own` is this instance's address.
    pub fn merge_cold(&mut self, report: &ColdReport, peer: SocketAddr, own: SocketAddr, now: Time) {
        let found = self
            .find_hash(report.incarnation)
            .and_then(|key| self.upstreams.get(key));
        let Some(upstream) = found else { return };
        let is_outdated = report.origin.boot_id == 0 && report.origin.number < upstream.entry.sequence;
        if !is_outdated {
            self.cold.merge(&upstream.entry.service, report, (peer, own), now);
        }
    }

    /// Applies a message about permits; returns the number of permits that this instance gets by it.
    pub fn receive_cold(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        content: ColdContent,
        now: Time,
    ) -> u32 {
        self.cold.receive(from, incarnation, content, now)
    }

    /// Issues permits for cold upstreams, or asks for them; see [`Cold::poll`].
    pub fn poll_cold(&mut self, members: Members<'_>, now: Time) -> (Vec<ColdMessage>, u32) {
        if self.cold.is_empty() {
            return (Vec::new(), 0);
        }
        let mut cold = std::mem::take(&mut self.cold);
        let polled = cold.poll(members, |hash| self.waiting_for(hash, now), now);
        self.cold = cold;
        polled
    }

    /// Number of queued requests that an upstream could run at once, if there were permits.
    fn waiting_for(&self, hash: u64, now: Time) -> u32 {
        let Some(key) = self.find_hash(hash) else { return 0 };
        let Some(upstream) = self
            .upstreams
            .get(key)
            .filter(|found| found.entry.state == UpstreamState::Ready && !found.is_paused(now))
        else {
            return 0;
        };
        let requests = self.queued().filter(|requirements| {
            self.is_candidate(key, upstream, requirements) && has_room(upstream, requirements)
        });
        requests.take(MAX_WAITING).count() as u32
    }

    /// Spends the permit of a request that is about to be sent.
    pub fn spend_cold(&mut self, run: RunKey, now: Time) -> Spent {
        if self.cold.is_empty() {
            return Spent::NotNeeded;
        }
        let Some(running) = self.runs.get_mut(run) else {
            return Spent::NotNeeded;
        };
        let permit = running.cold.take();
        let upstream = self.upstreams.get(running.upstream);
        upstream.map_or(Spent::NotNeeded, |found| {
            self.cold.spend(found.hash(), permit, now)
        })
    }

    /// Whether an upstream is cold and there is no permit for a request to it.
    pub(super) fn is_cold_held(&self, upstream: &Upstream, now: Time) -> bool {
        !self.cold.is_empty() && self.cold.is_held(upstream.hash(), now)
    }
}
