//! Links of single gateways to upstreams that are cut, and whether these gateways serve on through the others.

use std::time::{Duration, Instant};

use carob_platform_standin::{Link, Upstream};
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::IndexedRandom, seq::SliceRandom};

use crate::{
    faults::Harm,
    fleet::Fleet,
    operator::Operator,
    traffic::{Kind, Observation},
};

/// Ways in which links are cut.
const LINKS: [Link; 4] = [Link::Silent, Link::Reset, Link::ClosedToNew, Link::OneWay];
/// Duration of a cut, and time between the beginnings of two, in milliseconds.
const CUT_TIME: std::ops::Range<u64> = 1_000..9_000;
const PAUSE: std::ops::Range<u64> = 2_000..8_000;
/// Share of the cuts that go through all gateways.
const ALL_SHARE: f64 = 0.1;

/// Time in which gateways learn of a cut (`ContactMs`).
pub const CONTACT: Duration = Duration::from_secs(4);
/// Time after which gateways connect directly again once a cut has ended.
const RETURN: Duration = Duration::from_secs(2);
/// Time for which a gateway is excused after its start or a pause.
const EXCUSED: Duration = Duration::from_millis(1_500);
/// First tries at gateways that are cut off are served at least this often, against the others'.
const SERVED_SHARE: f64 = 2.0 / 3.0;
/// So many may fail in any case: a number, and a share.
const FAILED_EXTRA: f64 = 10.0;
const FAILED_SHARE: f64 = 1.0 / 50.0;

/// What a cut separates gateways from.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Scope {
    Plain,
    Engines,
    All,
    /// One upstream.
    One,
}

struct Cut {
    gateways: Vec<usize>,
    upstreams: Vec<Upstream>,
    scope: Scope,
    from: Instant,
    to: Instant,
}

impl Cut {
    /// Whether it separates its gateways from all upstreams of the service that a request is for, at the time of the request.
    fn separates(&self, seen: &Observation) -> bool {
        let is_whole = match seen.kind {
            Kind::Stream(_) | Kind::Resumable { .. } => matches!(self.scope, Scope::Engines | Scope::All),
            Kind::Unsafe | Kind::Safe => matches!(self.scope, Scope::Plain | Scope::All),
            // No cut goes to their upstreams, or whether they are served is not judged.
            Kind::Cold | Kind::Large | Kind::Calm | Kind::Roaming => false,
        };
        is_whole && (self.from..self.to).contains(&seen.begun)
    }
}

/// Cuts links of gateways.
pub struct Cuts {
    rng: StdRng,
    next: Instant,
    active: Vec<Cut>,
    ended: Vec<Cut>,
}

impl Cuts {
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            next: Instant::now(),
            active: Vec::new(),
            ended: Vec::new(),
        }
    }

    /// Begins and ends cuts that are due; they may overlap. Returns what it did.
    pub fn poll(
        &mut self,
        fleet: &Fleet,
        [engines, plain]: [&[Upstream]; 2],
        harms: &mut Vec<Harm>,
    ) -> Vec<String> {
        let now = Instant::now();
        let mut texts = Vec::new();
        for cut in self.active.extract_if(.., |cut| cut.to <= now) {
            set_links(fleet, &cut, Link::Open);
            texts.push(format!("gateways {:?}: links back", cut.gateways));
            self.ended.push(cut);
        }
        if now < self.next {
            return texts;
        }
        self.next = now + Duration::from_millis(self.rng.random_range(PAUSE));
        let scopes = [Scope::Plain, Scope::Plain, Scope::Engines, Scope::All, Scope::One];
        let scope = *scopes.choose(&mut self.rng).expect("there are scopes");
        let all: Vec<Upstream> = engines.iter().chain(plain).cloned().collect();
        let upstreams = match scope {
            Scope::Plain => plain.to_vec(),
            Scope::Engines => engines.to_vec(),
            Scope::All => all,
            Scope::One => vec![all.choose(&mut self.rng).expect("there are upstreams").clone()],
        };
        let count = fleet.gateways.len();
        let most = if self.rng.random_bool(ALL_SHARE) {
            count
        } else {
            count - 1
        };
        let mut gateways: Vec<usize> = (0..count).collect();
        gateways.shuffle(&mut self.rng);
        gateways.truncate(self.rng.random_range(1..=most.max(1)));
        let link = *LINKS.choose(&mut self.rng).expect("there are ways");
        let cut = Cut {
            gateways,
            upstreams,
            scope,
            from: now,
            to: now + Duration::from_millis(self.rng.random_range(CUT_TIME)),
        };
        set_links(fleet, &cut, link);
        for upstream in &cut.upstreams {
            let cut_harms = cut.gateways.iter().map(|gateway| Harm {
                address: upstream.address(),
                from: now,
                to: Some(cut.to + CONTACT),
                gateway: Some(*gateway),
            });
            harms.extend(cut_harms);
        }
        texts.push(format!(
            "gateways {:?}: {link:?} to {} upstreams for {:?}",
            cut.gateways,
            cut.upstreams.len(),
            cut.to - now
        ));
        self.active.push(cut);
        texts
    }

    /// Ends all cuts, and their `harms` no later than those of cuts that end now.
    pub fn end(&mut self, fleet: &Fleet, harms: &mut [Harm]) {
        for cut in self.active.drain(..) {
            set_links(fleet, &cut, Link::Open);
            self.ended.push(cut);
        }
        let latest = Instant::now() + CONTACT;
        for harm in harms.iter_mut().filter(|harm| harm.gateway.is_some()) {
            harm.to = harm.to.map(|to| to.min(latest));
        }
        self.next = Instant::now() + Duration::from_hours(1);
    }

    /// Whether a request came to a gateway that was cut off from all upstreams of its service while no other gateway could help:
    /// each was cut off as well, or had just started, was suspended, left or was killed.
    pub fn excuse(&self, seen: &Observation, operator: &Operator) -> bool {
        let cut_off: Vec<usize> = self
            .ended
            .iter()
            .filter(|cut| cut.separates(seen))
            .flat_map(|cut| cut.gateways.clone())
            .collect();
        let is_helper = |other| !cut_off.contains(&other) && is_in_touch(other, seen, operator);
        cut_off.contains(&seen.gateway) && !(0..operator.gateways()).any(is_helper)
    }

    /// Cuts off from all plain upstreams during which the gateways concerned served too little, against the others in the
    /// same time.
    pub fn violations(&self, observations: &[Observation], operator: &Operator) -> Vec<String> {
        let (mut judged, mut tries) = (0, 0);
        let mut violations = Vec::new();
        for cut in &self.ended {
            let is_whole = matches!(cut.scope, Scope::Plain | Scope::All);
            let (from, to) = (cut.from + CONTACT, cut.to);
            if !is_whole || from >= to {
                continue;
            }
            // Another cut may leave nobody to help.
            let others_cut: Vec<usize> = self
                .ended
                .iter()
                .filter(|other| !std::ptr::eq(*other, cut) && other.scope != Scope::Engines)
                .filter(|other| other.from < to && other.to + RETURN > from)
                .flat_map(|other| other.gateways.clone())
                .collect();
            // Where none of the others is in touch, nobody can help, and nothing is compared.
            let has_helper = |seen: &Observation| {
                let mut others = (0..operator.gateways())
                    .filter(|other| !cut.gateways.contains(other) && !others_cut.contains(other));
                others.any(|other| is_in_touch(other, seen, operator))
            };
            let calm = observations.iter().filter(|seen| {
                matches!(seen.kind, Kind::Unsafe | Kind::Safe)
                    && seen.begun >= from
                    && seen.begun < to
                    && is_in_touch(seen.gateway, seen, operator)
                    && has_helper(seen)
            });
            let (own, others): (Vec<&Observation>, Vec<&Observation>) = calm
                .filter(|seen| cut.gateways.contains(&seen.gateway) || !others_cut.contains(&seen.gateway))
                .partition(|seen| cut.gateways.contains(&seen.gateway));
            if own.is_empty() || others.is_empty() {
                continue;
            }
            judged += 1;
            tries += own.len();
            let served = |seen: &[&Observation]| {
                let count = seen
                    .iter()
                    .filter(|seen| seen.outcome.status == 200 && seen.outcome.complete);
                count.count() as f64
            };
            let (own_served, others_served) = (served(&own), served(&others));
            let own_share = own_served / own.len() as f64;
            let others_share = others_served / others.len() as f64;
            let failed = own.len() as f64 - own_served;
            if own_share < SERVED_SHARE * others_share
                && failed > FAILED_EXTRA + FAILED_SHARE * own.len() as f64
            {
                violations.push(format!(
                    "gateways {:?} that were cut off served {own_served} of {} first tries, the others \
                     {others_served} of {}",
                    cut.gateways,
                    own.len(),
                    others.len()
                ));
            }
        }
        eprintln!("{judged} cuts judged by {tries} requests");
        violations
    }
}

fn set_links(fleet: &Fleet, cut: &Cut, link: Link) {
    let links: Vec<_> = cut
        .gateways
        .iter()
        .map(|gateway| (fleet.gateways[*gateway].peer_address.ip(), link))
        .collect();
    for upstream in &cut.upstreams {
        upstream.set_source_links(&links);
    }
}

/// Whether a gateway had run undisturbed for [`EXCUSED`] when a request was sent that it may have had to do with.
fn is_in_touch(gateway: usize, seen: &Observation, operator: &Operator) -> bool {
    let since = seen.begun.checked_sub(EXCUSED).unwrap_or(seen.begun);
    let lives = operator.lives_at(gateway, seen.opened);
    lives.len() == 1
        && lives.iter().all(|life| {
            life.started <= since
                && !life.was_frozen(since, seen.ended)
                && life.leave.is_none_or(|(leave, _)| leave > seen.ended)
                && life.killed.is_none_or(|killed| killed > seen.ended)
        })
}
