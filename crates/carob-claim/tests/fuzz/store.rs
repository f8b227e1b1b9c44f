//! A fake store with delays, lost replies, late effects and outages.

use std::{collections::BTreeMap, time::Duration};

use bytes::Bytes;
use carob_base::Time;
use carob_claim::CallId;
use carob_store::{Call, Entry, Expect, Failure, Lease, Reply};

/// How long an instance waits for a reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between a call and its reply.
const DELAY: Duration = Duration::from_millis(4);

/// A call in flight.
#[derive(Debug)]
struct Flight {
    instance: usize,
    holder: u64,
    id: CallId,
    call: Call,
    /// When the call takes effect; `None` if it does not or already has.
    effect_at: Option<Time>,
    /// When the instance receives a result.
    reply_at: Time,
    result: Option<Result<Reply, Failure>>,
    /// Whether the reply is lost, so that the instance receives [`Failure::Unknown`].
    lost: bool,
}

#[derive(Debug, Default)]
pub struct Store {
    entries: BTreeMap<Bytes, (Entry, Lease)>,
    leases: BTreeMap<Lease, Time>,
    revision: u64,
    flights: Vec<Flight>,
    /// Time until which the store refuses every call.
    pub down_until: Time,
    /// Number of further calls whose replies are lost.
    pub lost_replies: u32,
    /// Number of further swaps that take effect only after their instance has stopped waiting for the reply.
    pub late_swaps: u32,
    pub swaps: u64,
}

/// A result for an instance.
#[derive(Debug)]
pub struct Delivery {
    pub instance: usize,
    pub holder: u64,
    pub id: CallId,
    pub result: Result<Reply, Failure>,
}

impl Store {
    pub fn send(&mut self, instance: usize, holder: u64, (id, call): (CallId, Call), now: Time) {
        let (mut effect_at, mut reply_at, mut lost) = (Some(now + DELAY / 2), now + DELAY, false);
        let mut result = None;
        if now < self.down_until {
            (effect_at, result) = (None, Some(Err(Failure::Unavailable)));
        } else if self.late_swaps > 0 && matches!(call, Call::Swap { .. }) {
            self.late_swaps -= 1;
            (effect_at, reply_at, lost) = (Some(now + REPLY_TIMEOUT * 3), now + REPLY_TIMEOUT, true);
        } else if self.lost_replies > 0 {
            self.lost_replies -= 1;
            (reply_at, lost) = (now + REPLY_TIMEOUT, true);
        }
        self.flights.push(Flight {
            instance,
            holder,
            id,
            call,
            effect_at,
            reply_at,
            result,
            lost,
        });
    }

    /// Time of the next effect or reply.
    pub fn deadline(&self) -> Time {
        let times = self
            .flights
            .iter()
            .map(|one| one.effect_at.unwrap_or(one.reply_at).min(one.reply_at));
        times.min().unwrap_or(Time::NEVER)
    }

    /// Executes the calls that are due and returns the results that are due.
    pub fn run(&mut self, now: Time) -> Vec<Delivery> {
        let mut flights = std::mem::take(&mut self.flights);
        flights.sort_by_key(|one| one.effect_at);
        let mut due = Vec::new();
        for one in &mut flights {
            if one.effect_at.is_some_and(|at| at <= now) {
                one.effect_at = None;
                let result = self.execute(&one.call, now);
                one.result = Some(if one.lost { Err(Failure::Unknown) } else { result });
            }
            if one.reply_at <= now {
                one.reply_at = Time::NEVER;
                let result = one.result.clone().unwrap_or(Err(Failure::Unknown));
                let (instance, holder, id) = (one.instance, one.holder, one.id);
                due.push(Delivery {
                    instance,
                    holder,
                    id,
                    result,
                });
            }
        }
        flights.retain(|one| one.effect_at.is_some() || one.reply_at < Time::NEVER);
        self.flights = flights;
        due
    }

    fn execute(&mut self, call: &Call, now: Time) -> Result<Reply, Failure> {
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        self.entries.retain(|_, (_, lease)| leases.contains_key(lease));
        match call {
            Call::Get { key } => Ok(Reply::Entries {
                entries: self
                    .entries
                    .get(key)
                    .map(|(entry, _)| entry.clone())
                    .into_iter()
                    .collect(),
                revision: self.revision,
            }),
            Call::Grant { ttl } => {
                self.revision += 1;
                let lease = Lease(self.revision as i64);
                self.leases.insert(lease, now + *ttl);
                Ok(Reply::Leased { lease, ttl: *ttl })
            }
            Call::Swap {
                key,
                expect,
                value,
                lease,
            } => {
                let lease = lease.filter(|lease| self.leases.contains_key(lease));
                let Some(lease) = lease else {
                    return Err(Failure::LeaseLapsed);
                };
                Ok(self.swap(key, *expect, value, lease))
            }
            other => panic!("claims make no such call: {other:?}"),
        }
    }

    fn swap(&mut self, key: &Bytes, expect: Expect, value: &Bytes, lease: Lease) -> Reply {
        let current = self.entries.get(key).map(|(entry, _)| entry.clone());
        let actual = current
            .as_ref()
            .map_or(Expect::Absent, |entry| Expect::At(entry.revision));
        if actual != expect {
            return Reply::Conflict { current };
        }
        self.swaps += 1;
        self.revision += 1;
        let (key, value, revision) = (key.clone(), value.clone(), self.revision);
        let entry = Entry {
            key: key.clone(),
            value,
            revision,
        };
        self.entries.insert(key, (entry, lease));
        Reply::Applied { revision }
    }
}
