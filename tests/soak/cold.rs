//! Upstreams that are cold, and whether the gateways keep to their rate together. They are of a service of their own, so that
//! the load that presses them leaves the other services alone.

use std::time::{Duration, Instant};

use carob_platform_standin::{Ledger, Upstream};
use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    faults::Harm,
    fleet::{self, Fleet},
};

/// Prefix of the route to them, and their service.
pub const PREFIX: &str = "/cold/";
pub const SERVICE: &str = "cold";

/// Requests a second that a cold upstream takes (`ColdPerS`): a small part of what the clients send, so that gateways that do
/// not keep to it are found.
pub const RATE: f64 = 4.0;
/// How far a second may exceed the rate: by this factor (`ColdOverage`), and so many requests more (`ColdSlack`).
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

const COUNT: usize = 2;
const WORK_TIME: Duration = Duration::from_millis(15);

/// Time for which an upstream is cold after its start, and if it becomes cold again, in milliseconds.
const START_COLD: std::ops::Range<u64> = 3_000..8_000;
const COLD_AGAIN: std::ops::Range<u64> = 7_000..10_000;
/// Time for which it is not cold, in milliseconds.
const WARM: std::ops::Range<u64> = 500..2_500;
/// Time between the announcement that an upstream leaves and its end.
const NOTICE: Duration = Duration::from_millis(600);

/// Time in which gateways learn that an upstream has become cold again (`ContactMs`). That one starts cold is known with it.
const CONTACT: Duration = Duration::from_secs(4);

/// Time with cold upstreams in a run from which on some requests have to reach them.
const MIN_JUDGED: Duration = Duration::from_secs(5);

/// A time in which an upstream is cold and all gateways have to know it.
struct Spell {
    upstream: String,
    from: Instant,
    to: Instant,
}

/// Starts upstreams that are cold, and lets them become cold again.
pub struct Cold {
    /// Draws all of it, so that it does not change the sequences of the faults.
    rng: StdRng,
    upstreams: Vec<Upstream>,
    /// When the next spell of each upstream begins.
    next: Vec<Instant>,
    next_number: u32,
    spells: Vec<Spell>,
}

impl Cold {
    pub fn new(fleet: &Fleet, seed: u64) -> Self {
        let mut cold = Self {
            rng: StdRng::seed_from_u64(seed),
            upstreams: Vec::new(),
            next: Vec::new(),
            next_number: 0,
            spells: Vec::new(),
        };
        for _ in 0..COUNT {
            let (upstream, next) = cold.start(fleet);
            cold.upstreams.push(upstream);
            cold.next.push(next);
        }
        cold
    }

    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Replaces upstreams by others that start cold, or lets them become cold again, if that is due. Returns what it did.
    pub fn poll(&mut self, fleet: &Fleet, harms: &mut Vec<Harm>) -> Vec<String> {
        let mut texts = Vec::new();
        for index in 0..COUNT {
            let now = Instant::now();
            if now < self.next[index] {
                continue;
            }
            if self.rng.random_bool(0.5) {
                self.upstreams[index].leave(NOTICE);
                harms.push(Harm {
                    address: self.upstreams[index].address(),
                    from: now,
                    to: None,
                    gateway: None,
                });
                let (upstream, next) = self.start(fleet);
                texts.push(format!("{} starts cold", upstream.id()));
                (self.upstreams[index], self.next[index]) = (upstream, next);
                continue;
            }
            let time = Duration::from_millis(self.rng.random_range(COLD_AGAIN));
            let id = self.upstreams[index].id().to_owned();
            self.upstreams[index].set_cold(time.as_millis() as u64);
            self.next[index] = self.after(now + time);
            texts.push(format!("{id} becomes cold again"));
            self.spells.push(Spell {
                upstream: id,
                from: Instant::now() + CONTACT,
                to: now + time,
            });
        }
        texts
    }

    /// Lets no further upstream become cold.
    pub fn end(&mut self) {
        self.next.fill(Instant::now() + Duration::from_hours(1));
    }

    /// Starts an upstream that is cold; returns when its next spell begins as well.
    fn start(&mut self, fleet: &Fleet) -> (Upstream, Instant) {
        let id = format!("c{}", self.next_number);
        self.next_number += 1;
        let time = Duration::from_millis(self.rng.random_range(START_COLD));
        let from = Instant::now();
        let upstream = fleet.start_cold_in(fleet::DOMAIN, &id, SERVICE, (WORK_TIME, time));
        let to = from + time;
        self.spells.push(Spell {
            upstream: id,
            from,
            to,
        });
        (upstream, self.after(to))
    }

    /// When an upstream that is cold until `end` becomes cold next.
    fn after(&mut self, end: Instant) -> Instant {
        end + Duration::from_millis(self.rng.random_range(WARM))
    }

    /// Seconds in which a cold upstream got more requests than it takes. No gateway is excused: neither one that has just
    /// started or was suspended, nor one that does not reach the store.
    pub fn violations(&self, ledger: &Ledger) -> Vec<String> {
        let arrivals = ledger.arrivals();
        let allowed = RATE * OVERAGE + SLACK;
        let (mut count, mut fullest, mut judged) = (0, 0, Duration::ZERO);
        let mut violations = Vec::new();
        let now = Instant::now();
        for spell in self.spells.iter().filter(|spell| spell.from < now) {
            let (from, to) = (spell.from, spell.to.min(now));
            let mut times: Vec<Instant> = arrivals
                .iter()
                .filter(|arrival| arrival.upstream == spell.upstream && (from..to).contains(&arrival.at))
                .map(|arrival| arrival.at)
                .collect();
            times.sort_unstable();
            let second = |first: &Instant| {
                let end = *first + Duration::from_secs(1);
                times.iter().filter(|at| (*first..end).contains(*at)).count()
            };
            let most = times.iter().map(second).max().unwrap_or(0);
            count += times.len();
            fullest = fullest.max(most);
            judged += to.saturating_duration_since(from);
            if most as f64 > allowed {
                violations.push(format!(
                    "{} was cold and got {most} requests in a second, allowed {allowed}",
                    spell.upstream
                ));
            }
        }
        eprintln!(
            "cold upstreams: {count} requests in {judged:?}, {fullest} in the fullest second, allowed {allowed}"
        );
        if judged >= MIN_JUDGED && count == 0 {
            violations.push(format!("cold upstreams got no request in {judged:?}"));
        }
        violations
    }
}
