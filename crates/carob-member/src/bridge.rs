//! Summaries between failure domains.
//!
//! Two instances of each domain, chosen by rendezvous hashing for each other domain, send the summary to one
//! instance there, which shares it within its own domain. If no summary comes back from that domain for three
//! intervals, another target is chosen.

use std::{collections::BTreeMap, collections::VecDeque, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_peer::{DomainSummary, ServiceLoad};

use crate::{home, options::Options};

/// Number of instances of a domain that send its summary to another domain.
const BRIDGES: usize = 2;
/// Maximum number of names in one summary of instances that are behind the highest revision.
const BEHIND_LIMIT: usize = 8;
/// Maximum number of items of crash evidence in one summary; the latest are kept.
const EVIDENCE_LIMIT: usize = 4;
/// Maximum size of an item of crash evidence in a summary, in bytes; larger ones stay within the domain.
const EVIDENCE_SIZE: usize = 128;

/// Another failure domain, as this one knows it.
#[derive(Clone, Debug)]
pub(crate) struct RemoteDomain {
    pub(crate) region: Name,
    pub(crate) summary: Option<DomainSummary>,
    /// When the last summary of it arrived, directly or through an instance of the own domain.
    pub(crate) last_seen: Time,
    /// When the next summary to it is due.
    next_summary: Time,
    /// Number of targets that were given up; part of the hash that chooses the target.
    attempt: u32,
    /// Whether the domain is reported as cut off.
    pub(crate) cut_off: bool,
}

/// The other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bridges {
    pub(crate) remote_domains: BTreeMap<Name, RemoteDomain>,
    /// Crash evidence for the next summaries, latest last.
    evidence: VecDeque<Bytes>,
    services: BTreeMap<u32, ServiceLoad>,
    /// Lowest revision in force in the own domain, as of the last summaries.
    lowest: u64,
}

impl Bridges {
    /// Adds a domain, unless it is known already.
    pub(crate) fn add(&mut self, domain: &Name, region: &Name, now: Time) {
        self.remote_domains
            .entry(domain.clone())
            .or_insert_with(|| RemoteDomain {
                region: region.clone(),
                summary: None,
                last_seen: now,
                next_summary: now,
                attempt: 0,
                cut_off: false,
            });
    }

    /// Sets the load of a service's upstreams in the own domain.
    pub(crate) fn set_service_load(&mut self, load: ServiceLoad) {
        self.services.insert(load.service, load);
    }

    /// Adds crash evidence to the next summaries.
    pub(crate) fn queue_evidence(&mut self, evidence: &Bytes) {
        if evidence.len() > EVIDENCE_SIZE || self.evidence.contains(evidence) {
            return;
        }
        self.evidence.push_back(evidence.clone());
        if self.evidence.len() > EVIDENCE_LIMIT {
            self.evidence.pop_front();
        }
    }

    /// Fills in the parts of the own domain's summary that are kept here, and limits its list of names.
    pub(crate) fn fill_summary(&self, summary: &mut DomainSummary) {
        summary.behind.truncate(BEHIND_LIMIT);
        summary.services = self.services.values().copied().collect();
        summary.suspects = self.evidence.iter().cloned().collect();
    }

    /// Records a summary of another domain; returns whether the domain was cut off before.
    pub(crate) fn record_summary(&mut self, summary: DomainSummary, now: Time) -> bool {
        let Some(remote) = self.remote_domains.get_mut(summary.domain.as_str()) else {
            return false;
        };
        remote.last_seen = now;
        remote.summary = Some(summary);
        std::mem::take(&mut remote.cut_off)
    }

    /// Makes all summaries due at once if the lowest revision in force in the own domain has changed.
    pub(crate) fn expedite(&mut self, lowest: u64, now: Time) {
        if lowest == self.lowest {
            return;
        }
        self.lowest = lowest;
        for remote in self.remote_domains.values_mut() {
            remote.next_summary = remote.next_summary.min(now);
        }
    }

    /// Schedules the next summaries to the domains for which one is due, and returns the short ids of the
    /// targets to which the instance `own_id` sends one now.
    ///
    /// `alive` holds the instances alive in the own domain; `listed` returns the candidates of another one.
    pub(crate) fn take_due(
        &mut self,
        own_id: u32,
        options: &Options,
        alive: &[u32],
        listed: impl Fn(&Name) -> Vec<u32>,
        now: Time,
    ) -> Vec<u32> {
        let mut targets = Vec::new();
        for (domain, remote) in &mut self.remote_domains {
            if now < remote.next_summary {
                continue;
            }
            let interval = remote.interval(options);
            remote.next_summary = now + interval;
            let key = format!("{}>{domain}", options.domain);
            if !home::top_ranked(key.as_bytes(), alive.iter().copied(), BRIDGES).contains(&own_id) {
                continue;
            }
            if now.since(remote.last_seen) > interval * 3 {
                remote.attempt = remote.attempt.wrapping_add(1);
            }
            let key = format!("{own_id}>{domain}/{}", remote.attempt);
            targets.extend(home::top_ranked(key.as_bytes(), listed(domain), 1));
        }
        targets
    }

    /// Marks domains as cut off that sent no summary for `timeout`; returns those newly marked.
    pub(crate) fn detect_cut_off(&mut self, timeout: Duration, now: Time) -> Vec<Name> {
        let mut domains = Vec::new();
        for (domain, remote) in &mut self.remote_domains {
            if !remote.cut_off && now.since(remote.last_seen) > timeout {
                remote.cut_off = true;
                domains.push(domain.clone());
            }
        }
        domains
    }

    /// Extends timeouts by the time for which this process was paused.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        for remote in self.remote_domains.values_mut() {
            remote.last_seen = remote.last_seen + pause;
        }
    }
}

impl RemoteDomain {
    /// Time between two summaries to this domain.
    fn interval(&self, options: &Options) -> Duration {
        if self.region == options.region {
            options.near_interval
        } else {
            options.far_interval
        }
    }
}
