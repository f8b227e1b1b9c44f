//! Issues the permits of one upstream.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use carob_base::Time;

/// Time of the limit whose permits pile up at most while nobody wants any.
const BURST_TIME: Duration = Duration::from_millis(100);

/// Number of permits that pile up at least: some time passes until the next instance that wants one asks.
const MIN_BURST: f64 = 2.0;

/// What an instance wants.
#[derive(Clone, Copy, Debug)]
struct Want {
    count: u32,
    at: Time,
    /// Permits that it is due more than others; negative if it got more than its part.
    credit: f64,
}

/// The permits of one upstream that are not issued yet, and who wants them.
#[derive(Debug)]
pub(super) struct Issuer {
    /// Permits that may be issued; may be fractional.
    level: f64,
    /// When `level` was computed; `None` while another instance issues.
    at: Option<Time>,
    wants: BTreeMap<SocketAddr, Want>,
}

impl Issuer {
    pub(super) const fn new(now: Time) -> Self {
        Self {
            level: 0.0,
            at: Some(now),
            wants: BTreeMap::new(),
        }
    }

    /// Takes note that another instance issues. When this one does again, it starts with no permits.
    pub(super) const fn suspend(&mut self) {
        self.level = 0.0;
        self.at = None;
    }

    /// Sets how many permits an instance wants.
    pub(super) fn set_wanted(&mut self, member: SocketAddr, count: u32, now: Time) {
        let want = self.wants.entry(member).or_insert(Want {
            count,
            at: now,
            credit: 0.0,
        });
        want.count = count;
        want.at = now;
    }

    /// Returns the permits that are due at `rate` a second, by the instance that gets them. Each permit goes to the
    /// instance that is furthest behind its part of what is wanted. Wants that are older than `want_time` are dropped.
    pub(super) fn issue(&mut self, rate: f64, want_time: Duration, now: Time) -> Vec<(SocketAddr, u32)> {
        let elapsed = self.at.map_or(Duration::ZERO, |at| now.since(at));
        let burst = (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST);
        self.level = (self.level + rate * elapsed.as_secs_f64()).min(burst);
        self.at = Some(now);
        self.wants.retain(|_, want| now.since(want.at) <= want_time);
        let mut issued: BTreeMap<SocketAddr, u32> = BTreeMap::new();
        while self.level >= 1.0 {
            let total: u32 = self.wants.values().map(|want| want.count).sum();
            if total == 0 {
                break;
            }
            for want in self.wants.values_mut() {
                want.credit += f64::from(want.count) / f64::from(total);
            }
            let next = self
                .wants
                .iter_mut()
                .filter(|(_, want)| want.count > 0)
                .max_by(|(_, one), (_, other)| one.credit.total_cmp(&other.credit));
            let Some((member, want)) = next else { break };
            want.credit -= 1.0;
            want.count -= 1;
            self.level -= 1.0;
            *issued.entry(*member).or_default() += 1;
        }
        issued.into_iter().collect()
    }

    /// Whether this instance issues, and permits are wanted.
    pub(super) fn is_wanted(&self) -> bool {
        self.at.is_some() && self.wants.values().any(|want| want.count > 0)
    }

    /// Time until the next permit is due at `rate` a second.
    pub(super) fn next_due(&self, rate: f64) -> Duration {
        Duration::from_secs_f64(((1.0 - self.level).max(0.0) / rate).min(1.0))
    }
}
