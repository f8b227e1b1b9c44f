//! Summaries between failure domains.
//!
//! Of each domain a few instances, chosen by rendezvous hashing, send its summary to one instance of each other
//! domain, which tells the rest of its own domain. A target that is not heard of is replaced by another one.

use std::{collections::BTreeMap, collections::VecDeque, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_peer::{DomainSummary, ServiceLoad};

use crate::{home, options::Options};

/// Instances of a domain that send its summary to another domain.
const BRIDGES: usize = 2;
/// Names of instances behind the highest revision in one summary.
const BEHIND_LIMIT: usize = 8;
/// Suspects in one summary.
const EVIDENCE_LIMIT: usize = 4;
/// Longest suspect in a summary, in bytes.
const EVIDENCE_SIZE: usize = 128;

/// What is known of another failure domain.
#[derive(Clone, Debug)]
pub(crate) struct RemoteDomain {
    pub(crate) region: Name,
    pub(crate) summary: Option<DomainSummary>,
    /// When the last summary arrived, directly or through the own domain.
    pub(crate) last_seen: Time,
    /// When the next summary to it is due.
    next: Time,
    /// Counts the targets that were given up.
    attempt: u32,
    pub(crate) cut_off: bool,
}

/// The other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bridges {
    pub(crate) remote_domains: BTreeMap<Name, RemoteDomain>,
    /// Suspects to tell other domains, latest last.
    evidence: VecDeque<Bytes>,
    services: BTreeMap<u32, ServiceLoad>,
    /// Lowest revision of the own domain in the last summaries.
    lowest: u64,
}

impl Bridges {
    /// Adds a domain that has come up in the instance list.
    pub(crate) fn add(&mut self, domain: &Name, region: &Name, now: Time) {
        self.remote_domains
            .entry(domain.clone())
            .or_insert_with(|| RemoteDomain {
                region: region.clone(),
                summary: None,
                last_seen: now,
                next: now,
                attempt: 0,
                cut_off: false,
            });
    }

    /// Sets the load of a service's upstreams in the own domain.
    pub(crate) fn set_service_load(&mut self, load: ServiceLoad) {
        self.services.insert(load.service, load);
    }

    /// Adds a suspect for the next summaries.
    pub(crate) fn queue_evidence(&mut self, suspect: &Bytes) {
        if suspect.len() > EVIDENCE_SIZE || self.evidence.contains(suspect) {
            return;
        }
        self.evidence.push_back(suspect.clone());
        if self.evidence.len() > EVIDENCE_LIMIT {
            self.evidence.pop_front();
        }
    }

    /// Completes the own domain's summary with what goes into each.
    pub(crate) fn fill_summary(&self, summary: &mut DomainSummary) {
        summary.behind.truncate(BEHIND_LIMIT);
        summary.services = self.services.values().copied().collect();
        summary.suspects = self.evidence.iter().cloned().collect();
    }

    /// Notes a summary of another domain; true if the domain was cut off before.
    pub(crate) fn record_summary(&mut self, summary: DomainSummary, now: Time) -> bool {
        let Some(remote) = self.remote_domains.get_mut(summary.domain.as_str()) else {
            return false;
        };
        remote.last_seen = now;
        remote.summary = Some(summary);
        std::mem::take(&mut remote.cut_off)
    }

    /// Makes the summaries due at once if the own domain has confirmed another revision.
    pub(crate) fn expedite(&mut self, lowest: u64, now: Time) {
        if lowest == self.lowest {
            return;
        }
        self.lowest = lowest;
        for remote in self.remote_domains.values_mut() {
            remote.next = remote.next.min(now);
        }
    }

    /// The domains to which the instance `own` has to send a summary now, with the target's short id.
    pub(crate) fn take_due(
        &mut self,
        own: u32,
        options: &Options,
        alive: &[u32],
        listed: impl Fn(&Name) -> Vec<u32>,
        now: Time,
    ) -> Vec<u32> {
        let mut targets = Vec::new();
        for (domain, remote) in &mut self.remote_domains {
            if now < remote.next {
                continue;
            }
            let wait = remote.interval(options);
            remote.next = now + wait;
            let key = format!("{}>{domain}", options.domain);
            if !home::top_ranked(key.as_bytes(), alive.iter().copied(), BRIDGES).contains(&own) {
                continue;
            }
            if now.since(remote.last_seen) > wait * 3 {
                remote.attempt = remote.attempt.wrapping_add(1);
            }
            let key = format!("{own}>{domain}/{}", remote.attempt);
            targets.extend(home::top_ranked(key.as_bytes(), listed(domain), 1));
        }
        targets
    }

    /// The domains that have not been heard of for too long since the last call.
    pub(crate) fn detect_cut_off(&mut self, after: Duration, now: Time) -> Vec<Name> {
        let mut cut = Vec::new();
        for (domain, remote) in &mut self.remote_domains {
            if !remote.cut_off && now.since(remote.last_seen) > after {
                remote.cut_off = true;
                cut.push(domain.clone());
            }
        }
        cut
    }

    /// Puts deadlines off by the time that this process was paused.
    pub(crate) fn postpone(&mut self, pause: Duration) {
        for remote in self.remote_domains.values_mut() {
            remote.last_seen = remote.last_seen + pause;
        }
    }
}

impl RemoteDomain {
    fn interval(&self, options: &Options) -> Duration {
        if self.region == options.region {
            options.near_interval
        } else {
            options.far_interval
        }
    }
}
