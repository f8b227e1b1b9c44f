//! Counts the store calls that a given rate of non-idempotent calls causes, in virtual time.
//!
//! `cargo run --release -p carob-claim --example rate -- WRITERS CALLS_PER_SECOND SECONDS SHARDS`
//!
//! `WRITERS` instances share the calls evenly, and each of them writes every shard; the store answers after
//! 4 ms. With one writer, the counts are those of a fleet in which each shard is written by a
//! single instance.

use std::{collections::BTreeMap, error::Error, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_claim::{CallId, Claims, Key, Options, Outcome, Ticket, Verdict};
use carob_store::{Call, Entry, Expect, Lease, Reply};

/// Wall clock at the start, in milliseconds since 1970.
const WALL_CLOCK_START: u64 = 0x0190_0000_0000;
/// Fingerprint of every request; each key is used only once.
const FINGERPRINT: u64 = 1;
const TICK: Duration = Duration::from_millis(1);
const STORE_DELAY: Duration = Duration::from_millis(4);
const UPSTREAM_DELAY: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Counts {
    writes: u64,
    conflicts: u64,
    reads: u64,
    /// Leases granted: any call other than a read or a swap, as `Claims` makes no other.
    leases: u64,
    refused: u64,
    written_bytes: u64,
    /// Size of the largest value written, in bytes.
    largest_value: usize,
}

#[derive(Default)]
struct Store {
    entries: BTreeMap<Bytes, Entry>,
    revision: u64,
    counts: Counts,
}

impl Store {
    fn execute(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } => {
                self.counts.reads += 1;
                Reply::Entries {
                    entries: self.entries.get(&key).cloned().into_iter().collect(),
                    revision: self.revision,
                }
            }
            Call::Swap {
                key, expect, value, ..
            } => self.swap(key, expect, value),
            _ => {
                self.counts.leases += 1;
                Reply::Leased {
                    lease: Lease(1),
                    ttl: Options::new().retention(),
                }
            }
        }
    }

    fn swap(&mut self, key: Bytes, expect: Expect, value: Bytes) -> Reply {
        let current = self.entries.get(&key).cloned();
        let actual = current
            .as_ref()
            .map_or(Expect::Absent, |entry| Expect::At(entry.revision));
        if actual != expect {
            self.counts.conflicts += 1;
            return Reply::Conflict { current };
        }
        self.counts.writes += 1;
        self.counts.written_bytes += value.len() as u64;
        self.counts.largest_value = self.counts.largest_value.max(value.len());
        self.revision += 1;
        let revision = self.revision;
        self.entries.insert(key.clone(), Entry { key, value, revision });
        Reply::Applied { revision }
    }
}

struct Instance {
    claims: Claims,
    replies: Vec<(Time, CallId, Reply)>,
    running: Vec<(Time, Ticket)>,
    begun_at: BTreeMap<Ticket, Time>,
}

impl Instance {
    fn step(&mut self, store: &mut Store, now: Time, waits: &mut Vec<Duration>) {
        let due = |(due_at, _, _): &mut (Time, CallId, Reply)| *due_at <= now;
        for (_, id, reply) in self.replies.extract_if(.., due) {
            self.claims.on_reply(id, Ok(reply), now);
        }
        for (_, ticket) in self.running.extract_if(.., |(due_at, _)| *due_at <= now) {
            let outcome = Outcome::new(201, "application/json", Bytes::from_static(b"{\"booked\":true}"));
            self.claims.finish(ticket, outcome, now);
        }
        let step = self.claims.poll(now);
        for (id, call) in step.calls {
            let reply = store.execute(call);
            self.replies.push((now + STORE_DELAY, id, reply));
        }
        for (ticket, verdict) in step.verdicts {
            let Verdict::Granted { .. } = verdict else {
                store.counts.refused += 1;
                continue;
            };
            if let Some(begun_at) = self.begun_at.remove(&ticket) {
                waits.push(now.since(begun_at));
            }
            if self
                .claims
                .may_send(ticket, now, WALL_CLOCK_START + now.as_millis())
                .is_ok()
            {
                self.running.push((now + UPSTREAM_DELAY, ticket));
            }
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let numbers: Vec<u64> = std::env::args()
        .skip(1)
        .map(|arg| arg.parse())
        .collect::<Result<_, _>>()?;
    let [writers, rate, secs, shards] = numbers[..] else {
        return Err("expected WRITERS CALLS_PER_SECOND SECONDS SHARDS".into());
    };
    let options = Options {
        shards: shards as u16,
        ..Options::new()
    };
    let instance = |instance_id| Instance {
        claims: Claims::new(options, instance_id),
        replies: Vec::new(),
        running: Vec::new(),
        begun_at: BTreeMap::new(),
    };
    let mut instances: Vec<_> = (1..=writers).map(instance).collect();
    let (account, route) = (Name::new("parish")?, Name::new("orders")?);
    let (mut store, mut now, mut call_count, mut waits) = (Store::default(), Time::ZERO, 0, Vec::new());
    while now < Time::from_millis(secs * 1_000) {
        now = now + TICK;
        while call_count < rate * now.as_millis() / 1_000 {
            let wall = WALL_CLOCK_START + now.as_millis();
            let (high, low) = (wall >> 16, wall & 0xffff);
            let key = Key::new(
                &account,
                &route,
                &format!("{high:08x}-{low:04x}-7000-8000-{call_count:012x}"),
            )?;
            let instance = &mut instances[(call_count % writers) as usize];
            let ticket = instance.claims.begin(key, FINGERPRINT, now, wall);
            instance.begun_at.insert(ticket, now);
            call_count += 1;
        }
        for instance in &mut instances {
            instance.step(&mut store, now, &mut waits);
        }
    }
    report(&store.counts, secs, call_count, &mut waits);
    Ok(())
}

fn report(counts: &Counts, secs: u64, call_count: u64, waits: &mut [Duration]) {
    let per_second = |count: u64| count as f64 / secs as f64;
    waits.sort_unstable();
    let percentile = |percent: usize| {
        waits
            .get(waits.len() * percent / 100)
            .copied()
            .unwrap_or_default()
    };
    println!(
        "calls {call_count}, granted {}, refused {}",
        waits.len(),
        counts.refused
    );
    println!(
        "writes/s {:.1}, conflicts/s {:.1}",
        per_second(counts.writes),
        per_second(counts.conflicts)
    );
    println!(
        "reads/s {:.1}, leases/s {:.1}",
        per_second(counts.reads),
        per_second(counts.leases)
    );
    println!(
        "written {:.2} MB/s, largest value {} bytes",
        per_second(counts.written_bytes) / 1e6,
        counts.largest_value
    );
    println!(
        "wait for the claim: median {:?}, p99 {:?}",
        percentile(50),
        percentile(99)
    );
}
