//! Summaries between failure domains.
//!
//! Of each domain a few instances, chosen by rendezvous hashing, send its summary to one instance of each other
//! domain, which tells the rest of its own domain. A target that is not heard of is replaced by another one.

use std::{collections::BTreeMap, collections::VecDeque, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_peer::{ServiceLoad, Summary};

use crate::{home, options::Options};

/// Instances of a domain that send its summary to another domain.
const BRIDGES: usize = 2;
/// Names of instances behind the highest revision in one summary.
const BEHIND_LIMIT: usize = 8;
/// Suspects in one summary.
const SUSPECT_LIMIT: usize = 4;
/// Longest suspect in a summary, in bytes.
const SUSPECT_SIZE: usize = 128;

/// What is known of another failure domain.
#[derive(Clone, Debug)]
pub(crate) struct Neighbour {
    pub(crate) region: Name,
    pub(crate) summary: Option<Summary>,
    /// When the last summary arrived, directly or through the own domain.
    pub(crate) heard: Time,
    /// When the next summary to it is due.
    next: Time,
    /// Counts the targets that were given up.
    attempt: u32,
    pub(crate) cut: bool,
}

/// The other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Bridges {
    pub(crate) neighbours: BTreeMap<Name, Neighbour>,
    /// Suspects to tell other domains, latest last.
    suspects: VecDeque<Bytes>,
    services: BTreeMap<u32, ServiceLoad>,
    /// Lowest revision of the own domain in the last summaries.
    lowest: u64,
}

impl Bridges {
    /// Adds a domain that has come up in the instance list.
    pub(crate) fn add(&mut self, domain: &Name, region: &Name, now: Time) {
        self.neighbours
            .entry(domain.clone())
            .or_insert_with(|| Neighbour {
                region: region.clone(),
                summary: None,
                heard: now,
                next: now,
                attempt: 0,
                cut: false,
            });
    }

    /// Sets the load of a service's upstreams in the own domain.
    pub(crate) fn set_service(&mut self, load: ServiceLoad) {
        self.services.insert(load.service, load);
    }

    /// Adds a suspect for the next summaries.
    pub(crate) fn suspect(&mut self, suspect: &Bytes) {
        if suspect.len() > SUSPECT_SIZE || self.suspects.contains(suspect) {
            return;
        }
        self.suspects.push_back(suspect.clone());
        if self.suspects.len() > SUSPECT_LIMIT {
            self.suspects.pop_front();
        }
    }

    /// Completes the own domain's summary with what goes into each.
    pub(crate) fn complete(&self, summary: &mut Summary) {
        summary.behind.truncate(BEHIND_LIMIT);
        summary.services = self.services.values().copied().collect();
        summary.suspects = self.suspects.iter().cloned().collect();
    }

    /// Notes a summary of another domain; true if the domain was cut off before.
    pub(crate) fn note(&mut self, summary: Summary, now: Time) -> bool {
        let Some(neighbour) = self.neighbours.get_mut(summary.domain.as_str()) else {
            return false;
        };
        neighbour.heard = now;
        neighbour.summary = Some(summary);
        std::mem::take(&mut neighbour.cut)
    }

    /// Makes the summaries due at once if the own domain has confirmed another revision.
    pub(crate) fn hurry(&mut self, lowest: u64, now: Time) {
        if lowest == self.lowest {
            return;
        }
        self.lowest = lowest;
        for neighbour in self.neighbours.values_mut() {
            neighbour.next = neighbour.next.min(now);
        }
    }

    /// The domains to which the instance `own` has to send a summary now, with the target's short id.
    pub(crate) fn due(
        &mut self,
        own: u32,
        options: &Options,
        alive: &[u32],
        listed: impl Fn(&Name) -> Vec<u32>,
        now: Time,
    ) -> Vec<u32> {
        let mut targets = Vec::new();
        for (domain, neighbour) in &mut self.neighbours {
            if now < neighbour.next {
                continue;
            }
            let wait = neighbour.wait(options);
            neighbour.next = now + wait;
            let key = format!("{}>{domain}", options.domain);
            if !home::top_ranked(key.as_bytes(), alive.iter().copied(), BRIDGES).contains(&own) {
                continue;
            }
            if now.since(neighbour.heard) > wait * 3 {
                neighbour.attempt = neighbour.attempt.wrapping_add(1);
            }
            let key = format!("{own}>{domain}/{}", neighbour.attempt);
            targets.extend(home::top_ranked(key.as_bytes(), listed(domain), 1));
        }
        targets
    }

    /// The domains that have not been heard of for too long since the last call.
    pub(crate) fn cut(&mut self, after: Duration, now: Time) -> Vec<Name> {
        let mut cut = Vec::new();
        for (domain, neighbour) in &mut self.neighbours {
            if !neighbour.cut && now.since(neighbour.heard) > after {
                neighbour.cut = true;
                cut.push(domain.clone());
            }
        }
        cut
    }

    /// Puts deadlines off by the time that this process was paused.
    pub(crate) fn put_off(&mut self, pause: Duration) {
        for neighbour in self.neighbours.values_mut() {
            neighbour.heard = neighbour.heard + pause;
        }
    }
}

impl Neighbour {
    fn wait(&self, options: &Options) -> Duration {
        if self.region == options.region {
            options.near_interval
        } else {
            options.far_interval
        }
    }
}
