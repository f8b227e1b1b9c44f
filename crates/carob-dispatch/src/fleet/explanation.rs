//! What would be done with a request now, and why, for operators. Nothing is changed by the question.

use std::time::Duration;

use carob_base::Time;

use super::{Decision, Exclusion, Fleet, HeldPrefix, KnownPace, Requirements, Score, Stay, UpstreamKey};

/// Maximum number of upstreams in one explanation; a deployment is built for 600. They take about 300 bytes each.
pub const MAX_CANDIDATES: usize = 1_000;

/// What would be done with a request, and how each upstream of its service was evaluated.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// What would be done.
    pub decision: Decision,
    /// Upstreams of the service: those that the request could go to, the best first, then the others.
    pub candidates: Vec<Candidate>,
    /// Upstreams of the service that are left out of `candidates`, the last ones.
    pub omitted: usize,
    /// Known upstreams of other services.
    pub other_services: usize,
    /// Requests in the queue for the service.
    pub queued: usize,
    /// Other instances that have requests to the service in their queues.
    pub waiting_instances: usize,
}

/// An upstream as it was evaluated for a request.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Its key.
    pub key: UpstreamKey,
    /// Its name in the directory.
    pub id: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its score, or why the request does not go there.
    pub evaluation: Result<Score, Exclusion>,
    /// Requests that run there, of all instances.
    pub requests: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Tokens that these requests are expected to hold when they end.
    pub tokens: u64,
    /// Prompt tokens of these requests that are not prefilled yet.
    pub prefill: u64,
    /// Age of the oldest message that the load of other instances rests on; `None` if they have told of none there.
    pub load_age: Option<Duration>,
    /// Its pace; `None` if nothing is known of it.
    pub pace: Option<KnownPace>,
    /// Beginning of the prompt that it is likely to have cached.
    pub held: HeldPrefix,
    /// Time for which it still asks for a pause; zero if it does not.
    pub pause: Duration,
}

impl Candidate {
    /// Orders the best first, and those that the request does not go to last, by the reason.
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        match (&self.evaluation, &other.evaluation) {
            (Ok(one), Ok(other)) => one.total().total_cmp(&other.total()),
            (Err(one), Err(other)) => one.cmp(other),
            (one, other) => one.is_err().cmp(&other.is_err()),
        }
    }
}

impl Fleet {
    /// Explains what [`Fleet::decide`] does with a request now.
    pub fn explain(
        &self,
        requirements: &Requirements,
        stay: &Stay,
        instances: impl FnOnce() -> usize,
        now: Time,
    ) -> Explanation {
        let ages = self.load_ages(now);
        let mut candidates = Vec::new();
        let mut other_services = 0;
        for (key, upstream) in &self.upstreams {
            let evaluation = self.evaluate(key, upstream, requirements, now);
            if evaluation == Err(Exclusion::OtherService) {
                other_services += 1;
                continue;
            }
            candidates.push(Candidate {
                key,
                id: upstream.entry.id.clone(),
                domain: upstream.entry.domain.clone(),
                evaluation,
                requests: upstream.total_requests(),
                slots: upstream.entry.slots,
                tokens: upstream.expected_tokens(),
                prefill: upstream.pending_prefill(),
                load_age: ages.get(&upstream.hash()).copied(),
                pace: self.known_pace(key, now),
                held: self.held_prefix(key, requirements, now),
                pause: upstream.paused_until.since(now),
            });
        }
        candidates.sort_by(Candidate::compare);
        let omitted = candidates.len().saturating_sub(MAX_CANDIDATES);
        candidates.truncate(MAX_CANDIDATES);
        Explanation {
            decision: self.decide(requirements, stay, instances, now),
            candidates,
            omitted,
            other_services,
            queued: self.queue_length(&requirements.service),
            waiting_instances: self.waiting_instances(&requirements.service, now),
        }
    }
}
