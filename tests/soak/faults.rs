//! Faults that are injected into a fleet, and planned work on its gateways.

use std::{
    net::SocketAddr,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use carob_platform_standin::{
    AnswerMode, Cut, Flood, Link, Outage, Trigger, Upstream,
    client::Connection,
    config::{self, Route},
};
use rand::{
    RngExt, SeedableRng,
    rngs::StdRng,
    seq::{IndexedRandom, SliceRandom},
};

use crate::{
    EVENT_INTERVAL, POLL_INTERVAL,
    cold::{self, Cold},
    cuts::Cuts,
    domains::{self, Domains, SOUTH_PREFIX},
    drills::{Drills, FLAGS},
    evacuations::Evacuations,
    fleet::{self, CLIENT_KEY, Fleet, request, wait_until},
    limits::Limits,
    operator::Operator,
    roaming::Roaming,
    slow,
    traffic::{Clients, deadly_part},
};

/// Routes of the configurations in a soak.
pub const ROUTES: [Route; 9] = [
    Route::new("/draft/", "streaming", "engines").with_timeout(20_000),
    Route::new("/order/", "unsafe", "plain"),
    Route::new("/read/", "safe", "plain").with_max_attempts(2),
    Route::new("/open/", "safe", "plain").with_anonymous(),
    Route::new("/answer/", "streaming", "engines")
        .with_max_attempts(2)
        .with_resumable(),
    Route::new(SOUTH_PREFIX, "streaming", "engines")
        .with_max_attempts(2)
        .with_resumable()
        .with_regions(&["south"]),
    Route::new(cold::PREFIX, "safe", cold::SERVICE).with_max_attempts(2),
    Route::new(slow::LARGE_PREFIX, "safe", slow::LARGE_SERVICE).with_timeout(15_000),
    Route::new(slow::CALM_PREFIX, "safe", slow::CALM_SERVICE),
];

/// Routes that some versions of the configuration have more, about 100 kB, and number of versions after which that changes.
const LARGE_ROUTES: u64 = 400;
const LARGE_RUN: u64 = 8;
/// Grace that each gateway starts with, according to [`Fleet::start`].
const FIRST_GRACE: Duration = Duration::from_secs(10);
/// Grace of all gateways before any other change.
const GRACE: Duration = Duration::from_secs(8);
/// Values that the grace is changed to, in milliseconds.
const GRACES: [u64; 4] = [5_000, 6_500, 8_000, 10_000];

/// Time within which a gateway ends that is idle when it is told to shut down: clients still send requests for
/// 3 s, and it has 1 s beyond that.
const IDLE_END: Duration = Duration::from_secs(4);

/// Bytes without end that engines answer with. A body without end is left out: clients would keep all of it.
const ENGINE_FLOODS: [Flood; 6] = [
    Flood::Header,
    Flood::Interim,
    Flood::ChunkSize,
    Flood::Event,
    Flood::HeadDrip,
    Flood::BodyDrip,
];

/// Bytes without end that plain upstreams answer with.
const PLAIN_FLOODS: [Flood; 7] = [
    Flood::Header,
    Flood::Interim,
    Flood::ChunkSize,
    Flood::Trailers,
    Flood::Excess,
    Flood::HeadDrip,
    Flood::BodyDrip,
];

/// Places at which engines break off streams.
const CUTS: [Cut; 6] = [
    Cut::NoEvent,
    Cut::InLine,
    Cut::AfterId,
    Cut::AfterLine,
    Cut::InLineEnd,
    Cut::BetweenEvents,
];

/// Share of the faults beside which an engine breaks off its streams, and for how long it does at least.
const CUT_SHARE: f64 = 0.3;
const CUT_TIME: Duration = Duration::from_millis(700);

/// Time for which a part that crashes engines is sent in each cycle.
const DEADLY_TIME: Duration = Duration::from_millis(8_500);

/// Every so manieth engine sends streams with neither a length nor chunks.
const UNFRAMED_ENGINES: u32 = 2;

/// Maximum number of gateways that one series of signals goes through.
const MAX_SERIES: usize = 8;

/// Time between two kills of all gateways while a service is in trouble, in milliseconds.
const KILL_GAP: std::ops::Range<u64> = 300..700;

/// Number of clients for each engine and for each plain upstream.
const CLIENTS_PER_ENGINE: usize = 10;
const CLIENTS_PER_PLAIN: usize = 15;

/// A step of planned work on a gateway.
enum Work {
    Signal(usize, &'static str),
    /// Changes the settings file, without a signal.
    Grace(usize, Duration),
    Restart(usize),
    /// Writes a new version of the configuration.
    Configure,
}

/// An upstream or its link that was harmed, with the times of the harm.
pub struct Harm {
    pub address: SocketAddr,
    pub from: Instant,
    pub to: Option<Instant>,
    /// The only gateway whose link is harmed, if not all are.
    pub gateway: Option<usize>,
}

impl Harm {
    /// Whether the harm lasted at any time from `from` to `to`.
    pub fn touches(&self, from: Instant, to: Instant) -> bool {
        self.from <= to && self.to.is_none_or(|end| end >= from)
    }
}

/// A service whose upstreams all reject or fail requests, while all gateways are killed again and again.
struct Trouble {
    /// Draws trouble, so that it does not change the sequences of the faults and of planned work.
    rng: StdRng,
    is_plain: bool,
    mode: AnswerMode,
    until: Option<Instant>,
    next_kill: Instant,
}

/// Injects faults into a fleet and ends them, and does planned work on its gateways.
pub struct Injector {
    pub fleet: Fleet,
    pub operator: Operator,
    clients: Arc<Clients>,
    engines: Vec<Upstream>,
    plain: Vec<Upstream>,
    /// Version of the configuration in the store.
    version: u64,
    /// Number of the next engine.
    next_engine: u32,
    /// Planned work that is still to be done.
    work: Vec<(Instant, Work)>,
    /// Draws planned work, so that it does not change the sequence of the faults.
    work_rng: StdRng,
    trouble: Trouble,
    /// Number of the latest part that crashes engines, and until when it is sent. Each is sent only while not all
    /// gateways are killed at once: what they know would be gone with them.
    deadly: (u64, Instant),
    /// Limits that upstreams name.
    pub limits: Limits,
    /// Links of single gateways that are cut.
    pub cuts: Cuts,
    /// Failure domains of the upstreams.
    pub domains: Domains,
    /// Routes and an account whose regions change.
    pub roaming: Roaming,
    /// Evacuations of failure domains.
    pub evacuations: Evacuations,
    /// Upstreams that are cold.
    pub cold: Cold,
    /// Upstreams that no fault touches, for slow readers and those beside them.
    calm: [Upstream; 2],
    /// Drills of the store.
    pub drills: Drills,
    /// What does not hold after the last of them.
    pub drill_violations: Vec<String>,
    /// Draws where streams break off, so that it does not change the sequence of the faults.
    cut_rng: StdRng,
    /// When outages, network faults and bad answers end.
    heal_at: Instant,
    pub harms: Vec<Harm>,
    /// Faults and planned work so far; printed if the test fails.
    pub log: Vec<String>,
    start: Instant,
}

impl Injector {
    pub fn new(gateways: usize, clients: usize, seed: u64) -> Self {
        let fleet = Fleet::start(gateways);
        let mut domains = Domains::default();
        let count = 1 + 3.max(clients / CLIENTS_PER_ENGINE);
        let engines = (0..count)
            .map(|n| start_engine(&fleet, n as u32, domains::domain(n, count), &mut domains))
            .collect();
        let count = 1 + 2.max(clients / CLIENTS_PER_PLAIN);
        let plain = (0..count)
            .map(|n| {
                let (id, domain) = (format!("p{n}"), domains::domain(n, count));
                let upstream = fleet.start_plain_in(domain, &id, Duration::from_millis(15));
                domains.place(&upstream, domain);
                upstream
            })
            .collect();
        let operator = Operator::new(&fleet, FIRST_GRACE);
        let addresses = fleet.gateways.iter().map(|gateway| gateway.caller_address);
        let ready_addresses = fleet.gateways.iter().map(|gateway| gateway.ready_address);
        let clients = Clients::new(addresses.collect(), ready_addresses.collect());
        let cold = Cold::new(&fleet, seed.rotate_left(56));
        let calm = slow::start(&fleet);
        let mut injector = Self {
            fleet,
            operator,
            clients,
            engines,
            plain,
            version: 0,
            next_engine: 1_000,
            work: Vec::new(),
            work_rng: StdRng::seed_from_u64(seed.rotate_left(17)),
            trouble: Trouble {
                rng: StdRng::seed_from_u64(seed.rotate_left(34)),
                is_plain: false,
                mode: AnswerMode::Normal,
                until: None,
                next_kill: Instant::now(),
            },
            deadly: (0, Instant::now()),
            limits: Limits::new(seed.rotate_left(24)),
            cuts: Cuts::new(seed.rotate_left(41)),
            domains,
            roaming: Roaming::new(seed.rotate_left(31)),
            evacuations: Evacuations::new(seed.rotate_left(37)),
            cold,
            calm,
            drills: Drills::new(seed.rotate_left(29)),
            drill_violations: Vec::new(),
            cut_rng: StdRng::seed_from_u64(seed.rotate_left(51)),
            heal_at: Instant::now(),
            harms: Vec::new(),
            log: Vec::new(),
            start: Instant::now(),
        };
        injector.configure(1);
        injector.fleet.wait_ready();
        for gateway in 0..gateways {
            injector.operator.set_grace(&injector.fleet, gateway, GRACE);
        }
        injector.start = Instant::now();
        injector
    }

    /// Clients that send to the gateways.
    pub fn clients(&self) -> Arc<Clients> {
        Arc::clone(&self.clients)
    }

    fn note(&mut self, text: &str) {
        let elapsed = self.start.elapsed().as_secs_f64();
        self.log.push(format!("{elapsed:.2} {text}"));
    }

    /// Injects a random fault.
    pub fn inject(&mut self, rng: &mut StdRng) {
        if self.cut_rng.random_bool(CUT_SHARE) {
            self.cut_streams();
        }
        let fault = rng.random_range(0..13);
        self.note(&format!("fault {fault}"));
        match fault {
            0 | 1 => self.start_outage(rng),
            2 | 3 => {
                let index = rng.random_range(0..self.engines.len());
                let notice = Duration::from_millis(rng.random_range(600..2_000));
                self.engines[index].leave(notice);
                self.harm(self.engines[index].address(), Instant::now() + notice);
                self.replace_engine(index);
            }
            4 => {
                let index = rng.random_range(0..self.engines.len());
                self.harm(self.engines[index].address(), Instant::now());
                self.engines[index].kill();
                self.replace_engine(index);
            }
            5 => {
                let upstream = self.choose_upstream(rng);
                let is_engine = self.engines.iter().any(|engine| engine.id() == upstream.id());
                let floods: &[Flood] = if is_engine { &ENGINE_FLOODS } else { &PLAIN_FLOODS };
                let flood = *floods.choose(rng).expect("there are floods");
                let modes = [
                    AnswerMode::Failure,
                    AnswerMode::Rejection,
                    AnswerMode::Reset,
                    AnswerMode::Foreign,
                    AnswerMode::Truncated,
                    AnswerMode::Flood(flood),
                    AnswerMode::Flood(flood),
                ];
                let mode = match *modes.choose(rng).expect("there are modes") {
                    AnswerMode::Truncated if is_engine => {
                        let cut = *CUTS.choose(&mut self.cut_rng).expect("there are places");
                        AnswerMode::BrokenOff(cut)
                    }
                    mode => mode,
                };
                self.note(&format!("{}: {mode:?}", upstream.id()));
                upstream.set_answer_mode(mode);
                self.schedule_heal(rng);
            }
            6 | 7 => {
                let time = Duration::from_millis(rng.random_range(5..200));
                let links = [Link::Delayed(time), Link::Reset, Link::OneWay, Link::Silent];
                let link = *links.choose(rng).expect("there are links");
                let upstream = self.choose_upstream(rng);
                self.harm(upstream.address(), Instant::now());
                upstream.set_link(link);
                self.schedule_heal(rng);
            }
            8 => self.pause(rng),
            9 => self.kill(rng),
            10 => {
                let version = self.version + rng.random_range(1..4);
                self.configure(version);
            }
            11 => self.fleet.store.compact(),
            _ => {
                let engine = self.engines.choose(rng).expect("there are engines");
                engine.set_rejects_copies(rng.random_bool(0.5));
            }
        }
    }

    /// Makes an engine break off its streams, until other faults end too.
    fn cut_streams(&mut self) {
        let cut = *CUTS.choose(&mut self.cut_rng).expect("there are places");
        let engine = self.engines.choose(&mut self.cut_rng).expect("there are engines");
        engine.set_answer_mode(AnswerMode::BrokenOff(cut));
        let text = format!("{}: {cut:?}", engine.id());
        self.note(&text);
        self.heal_at = self.heal_at.max(Instant::now() + CUT_TIME);
    }

    fn configure(&mut self, version: u64) {
        self.version = version;
        let before = Instant::now();
        write_config(&self.fleet, &self.roaming, version);
        self.roaming.note_written(version, before);
    }

    fn choose_upstream(&self, rng: &mut StdRng) -> Upstream {
        let upstreams = if rng.random_bool(0.5) {
            &self.plain
        } else {
            &self.engines
        };
        upstreams.choose(rng).expect("there are upstreams").clone()
    }

    fn harm(&mut self, address: SocketAddr, from: Instant) {
        self.harms.push(Harm {
            address,
            from,
            to: None,
            gateway: None,
        });
    }

    /// Ends all faults, and begins planned work on every gateway.
    pub fn calm_down(&mut self) {
        self.note("calm");
        self.heal();
        self.plan_shutdowns();
        self.send_deadly();
    }

    /// Lets clients send another part that crashes engines.
    fn send_deadly(&mut self) {
        self.deadly = (self.deadly.0 + 1, Instant::now() + DEADLY_TIME);
        let parts = (1..=self.deadly.0).map(|number| Trigger::Part(deadly_part(number)));
        let triggers: Vec<Trigger> = parts.collect();
        self.fleet.ledger.set_triggers(&triggers);
        self.clients.set_deadly(self.deadly.0);
    }

    /// Begins trouble at a service, which lasts until `until`.
    pub fn start_trouble(&mut self, until: Instant) {
        let trouble = &mut self.trouble;
        trouble.is_plain = trouble.rng.random_bool(0.5);
        trouble.mode = if trouble.rng.random_bool(0.7) {
            AnswerMode::Rejection
        } else {
            AnswerMode::Failure
        };
        trouble.until = Some(until);
        let text = format!("trouble: {:?}, plain: {}", trouble.mode, trouble.is_plain);
        self.note(&text);
    }

    fn poll_trouble(&mut self) {
        let now = Instant::now();
        let Trouble {
            is_plain,
            mode,
            until,
            next_kill,
            ..
        } = self.trouble;
        let Some(until) = until else { return };
        let is_over = now >= until;
        // A new engine takes part, and other faults that end do not end this one.
        let upstreams = if is_plain { &self.plain } else { &self.engines };
        let mode = if is_over { AnswerMode::Normal } else { mode };
        for upstream in upstreams {
            upstream.set_answer_mode(mode);
        }
        if is_over {
            self.trouble.until = None;
        } else if now >= next_kill {
            let gap = self.trouble.rng.random_range(KILL_GAP);
            self.trouble.next_kill = now + Duration::from_millis(gap);
            for gateway in 0..self.fleet.gateways.len() {
                self.signal(gateway, "KILL");
            }
        }
    }

    /// Makes the store unavailable for one gateway or for all.
    fn start_outage(&mut self, rng: &mut StdRng) {
        let kinds = [
            Outage::Busy,
            Outage::Reset,
            Outage::Silent,
            Outage::Lost,
            Outage::Flood(Flood::Interim),
            Outage::Flood(Flood::Body),
            Outage::Flood(Flood::HeadDrip),
        ];
        let kind = *kinds.choose(rng).expect("there are kinds");
        let all = rng.random_bool(0.4);
        let one = rng.random_range(0..self.fleet.gateways.len());
        self.evacuations.begin_fault();
        for (number, gateway) in self.fleet.gateways.iter().enumerate() {
            gateway
                .store_endpoint
                .set_outage((all || number == one).then_some(kind));
        }
        self.schedule_heal(rng);
    }

    /// Chooses when the present faults end.
    fn schedule_heal(&mut self, rng: &mut StdRng) {
        self.heal_at = Instant::now() + Duration::from_millis(rng.random_range(300..2_500));
    }

    /// Ends outages, network faults and bad answers.
    fn heal(&mut self) {
        if !self.drills.is_away() {
            self.evacuations.end_faults();
        }
        for gateway in &self.fleet.gateways {
            gateway.store_endpoint.set_outage(None);
        }
        let running: Vec<SocketAddr> = self
            .engines
            .iter()
            .chain(&self.plain)
            .map(|upstream| {
                upstream.set_link(Link::Open);
                upstream.set_answer_mode(AnswerMode::Normal);
                upstream.address()
            })
            .collect();
        let now = Instant::now();
        for harm in &mut self.harms {
            if running.contains(&harm.address) && harm.gateway.is_none() {
                harm.to.get_or_insert(now);
            }
        }
    }

    /// Starts a new engine in the place of one that leaves or was killed.
    fn replace_engine(&mut self, index: usize) {
        self.engines[index] = start_engine(
            &self.fleet,
            self.next_engine,
            domains::domain(index, self.engines.len()),
            &mut self.domains,
        );
        self.next_engine += 1;
    }

    /// A random undisturbed gateway, if there is another one.
    fn victim(&self, rng: &mut StdRng) -> Option<usize> {
        let undisturbed: Vec<usize> = (0..self.fleet.gateways.len())
            .filter(|number| self.operator.is_undisturbed(*number))
            .collect();
        (undisturbed.len() > 1).then(|| *undisturbed.choose(rng).expect("some run"))
    }

    fn pause(&mut self, rng: &mut StdRng) {
        let Some(victim) = self.victim(rng) else { return };
        let time = Duration::from_millis(rng.random_range(100..2_500));
        self.note(&format!("gateway {victim}: suspended for {time:?}"));
        self.operator.pause(&mut self.fleet, victim, time);
    }

    fn kill(&mut self, rng: &mut StdRng) {
        let Some(victim) = self.victim(rng) else { return };
        self.signal(victim, if rng.random_bool(0.5) { "KILL" } else { "TERM" });
        // A SIGHUP may arrive while the process ends.
        if rng.random_bool(0.3) {
            self.signal(victim, "HUP");
        }
    }

    fn signal(&mut self, gateway: usize, name: &'static str) {
        let first = self.operator.is_undisturbed(gateway);
        self.operator.signal(&mut self.fleet, gateway, name);
        if first && matches!(name, "TERM" | "INT") {
            self.clients.note_leave(gateway);
        }
        self.note(&format!("gateway {gateway}: SIG{name}"));
    }

    /// Ends what is over, does the planned work that is due, and starts gateways again that have ended.
    pub fn poll(&mut self) {
        if Instant::now() >= self.heal_at {
            self.heal();
        }
        if Instant::now() >= self.deadly.1 {
            self.clients.set_deadly(0);
        }
        self.poll_trouble();
        let upstreams: [&[Upstream]; 2] = [&self.engines, &self.plain];
        for text in self.cuts.poll(&self.fleet, upstreams, &mut self.harms) {
            self.note(&text);
        }
        for text in self.limits.poll([&self.engines, &self.plain]) {
            self.note(&text);
        }
        for text in self.cold.poll(&self.fleet, &mut self.harms) {
            self.note(&text);
        }
        self.poll_drills();
        if let Some(text) = self.roaming.poll(self.version + 1) {
            self.note(&text);
            self.configure(self.version + 1);
        }
        if let Some(text) = self.evacuations.poll(&self.fleet) {
            self.note(&text);
        }
        self.operator.poll(&mut self.fleet);
        for gateway in 0..self.fleet.gateways.len() {
            let restarts =
                |work: &(Instant, Work)| matches!(work.1, Work::Restart(other) if other == gateway);
            if self.operator.life(gateway).ended.is_some() && !self.work.iter().any(restarts) {
                let mut delay = self.work_rng.random_range(0..600);
                if self.trouble.until.is_some() {
                    delay /= 10;
                }
                self.plan(Duration::from_millis(delay), Work::Restart(gateway));
            }
        }
        let now = Instant::now();
        let due: Vec<_> = self.work.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, work) in due {
            match work {
                Work::Signal(gateway, name) => self.signal(gateway, name),
                Work::Grace(gateway, grace) => {
                    self.operator.set_grace(&self.fleet, gateway, grace);
                    self.note(&format!("gateway {gateway}: grace {grace:?}"));
                }
                Work::Restart(gateway) => {
                    self.operator.restart(&mut self.fleet, gateway);
                    self.note(&format!("gateway {gateway}: started"));
                }
                Work::Configure => self.configure(self.version + 1),
            }
        }
    }

    /// Takes the store away, copies it and brings it back, as the drills have it.
    fn poll_drills(&mut self) {
        let version = self.version;
        let before = Instant::now();
        let configure = || write_config(&self.fleet, &self.roaming, version);
        let others = [self.cold.upstreams(), &self.calm].concat();
        let upstreams = [&self.engines, &self.plain, &others[..]];
        // Processes that are killed all the time know nothing while the store is away.
        let is_calm = self.trouble.until.is_none() || self.drills.is_away();
        if is_calm && let Some(text) = self.drills.poll(&self.fleet, upstreams, configure) {
            match text {
                "store away" => self.evacuations.begin_fault(),
                "store copied" => self.roaming.note_copy(version),
                "store back from the copy" => {
                    self.roaming.note_return(before);
                    self.evacuations.note_return(&self.fleet);
                }
                "lost content written again" => {
                    self.roaming.note_written(version, before);
                    self.evacuations.write_again(&self.fleet);
                }
                _ => {}
            }
            self.note(text);
            // Stale answers end with other faults.
            self.heal_at = self.heal_at.max(Instant::now() + CUT_TIME);
        }
    }

    fn plan(&mut self, delay: Duration, work: Work) {
        self.work.push((Instant::now() + delay, work));
    }

    /// A random time within `millis`.
    fn delay(&mut self, millis: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.work_rng.random_range(millis))
    }

    fn random_grace(&mut self) -> Duration {
        Duration::from_millis(*GRACES.choose(&mut self.work_rng).expect("there are values"))
    }

    /// Plans a series of signals or changes, which may overlap with those that are under way. Returns when the
    /// next one is to start.
    pub fn plan_series(&mut self) -> Instant {
        match self.work_rng.random_range(0..6) {
            0..3 => self.plan_shutdowns(),
            3 => {
                for _ in 0..4 {
                    let gateway = self.work_rng.random_range(0..self.fleet.gateways.len());
                    let delay = self.delay(0..3_000);
                    let is_signalled = self.work_rng.random_bool(0.5);
                    self.plan_grace(gateway, delay, is_signalled);
                }
            }
            4 => {
                let gap = self.delay(50..500);
                for number in 0..8 {
                    self.plan(gap * number, Work::Configure);
                }
            }
            _ => {
                let gateway = self.work_rng.random_range(0..self.fleet.gateways.len());
                for number in 0..5 {
                    self.plan(Duration::from_millis(80) * number, Work::Signal(gateway, "HUP"));
                }
            }
        }
        Instant::now() + self.delay(1_500..5_000)
    }

    /// Plans that gateways shut down one after the other. Some get further signals or another grace meanwhile.
    fn plan_shutdowns(&mut self) {
        let mut gateways: Vec<usize> = (0..self.fleet.gateways.len()).collect();
        gateways.shuffle(&mut self.work_rng);
        let gap = self.delay(700..2_200);
        for (number, gateway) in gateways.into_iter().take(MAX_SERIES).enumerate() {
            let start = gap * number as u32;
            let signal = if self.work_rng.random_bool(0.8) {
                "TERM"
            } else {
                "INT"
            };
            self.plan(start, Work::Signal(gateway, signal));
            if self.work_rng.random_bool(0.4) {
                let signals = ["TERM", "INT", "HUP"];
                let signal = *signals.choose(&mut self.work_rng).expect("there are signals");
                let delay = self.delay(50..5_000);
                self.plan(start + delay, Work::Signal(gateway, signal));
            }
            if self.work_rng.random_bool(0.3) {
                let delay = self.delay(100..4_000);
                self.plan_grace(gateway, start + delay, true);
            }
        }
    }

    fn plan_grace(&mut self, gateway: usize, delay: Duration, is_signalled: bool) {
        let grace = self.random_grace();
        self.plan(delay, Work::Grace(gateway, grace));
        if is_signalled {
            self.plan(delay, Work::Signal(gateway, "HUP"));
        }
    }

    /// Ends every fault, waits until the planned work is done and all gateways serve.
    pub fn recover(&mut self) {
        self.evacuations.end(&self.fleet);
        self.cold.end();
        self.heal();
        self.cuts.end(&self.fleet, &mut self.harms);
        self.engines
            .iter()
            .for_each(|engine| engine.set_rejects_copies(false));
        let end = Instant::now() + fleet::LONG;
        let is_done = |injector: &Self| {
            let count = injector.fleet.gateways.len();
            injector.work.is_empty() && (0..count).all(|gateway| injector.operator.is_undisturbed(gateway))
        };
        while !is_done(self) && Instant::now() < end {
            self.poll();
            thread::sleep(POLL_INTERVAL);
        }
        self.fleet.wait_ready();
        for number in 0..self.fleet.gateways.len() {
            wait_until("a gateway serves again", || {
                let id = format!("recover-{number}-{}", self.fleet.ledger.started().len());
                self.fleet.send(number, &request(&id, "GET", "/read/1")).status == 200
            });
        }
    }

    /// Does a last drill of the store, and checks what follows.
    pub fn check_drills(&mut self) {
        self.evacuations.end(&self.fleet);
        let mut version = self.version;
        let mut configure = |is_next: bool| {
            version += u64::from(is_next);
            write_config(&self.fleet, &self.roaming, version);
            version
        };
        let others = [self.cold.upstreams(), &self.calm].concat();
        let upstreams = [&self.engines, &self.plain, &others[..]];
        self.drill_violations = Drills::finish(&self.fleet, upstreams, &mut configure);
    }

    /// Tells every gateway to shut down while its connections are idle, and checks that each ends soon, also if
    /// it gets further signals.
    pub fn shut_down_idle(&mut self) {
        let idle: Vec<_> = self
            .fleet
            .gateways
            .iter()
            .flat_map(|gateway| [gateway.caller_address; 3])
            .map(Connection::open)
            .collect();
        let count = self.fleet.gateways.len();
        for gateway in 0..count {
            self.signal(gateway, if gateway % 3 == 2 { "INT" } else { "TERM" });
        }
        let again = Instant::now() + self.delay(100..2_000);
        let mut is_signalled_again = false;
        while (0..count).any(|gateway| self.operator.life(gateway).ended.is_none()) {
            self.operator.poll(&mut self.fleet);
            if Instant::now() >= again && !is_signalled_again {
                is_signalled_again = true;
                for gateway in 0..count {
                    self.signal(gateway, ["TERM", "HUP", "INT"][gateway % 3]);
                }
            }
            thread::sleep(POLL_INTERVAL);
        }
        drop(idle);
        for gateway in 0..count {
            let life = self.operator.life(gateway);
            let taken = life
                .leave
                .zip(life.ended)
                .map(|((_, leave), ended)| ended - leave);
            if taken.is_none_or(|taken| taken > IDLE_END) {
                let text = format!("was idle and ended after {taken:?}, expected {IDLE_END:?} at most");
                self.operator.violations.push((gateway, text));
            }
        }
    }
}

/// Writes a configuration with the routes of all versions and the flag of this one.
fn write_config(fleet: &Fleet, roaming: &Roaming, version: u64) {
    let mut routes = ROUTES.to_vec();
    routes.extend(roaming.routes(version));
    routes.push(FLAGS[(version % FLAGS.len() as u64) as usize].clone());
    let mut content = config::config(version, &routes, &[CLIENT_KEY, "another-key"]);
    config::add_plain_service(&mut content, cold::SERVICE, cold::RATE);
    config::add_plain_service(&mut content, slow::LARGE_SERVICE, 0.0);
    config::add_plain_service(&mut content, slow::CALM_SERVICE, 0.0);
    roaming.add_to(&mut content, version);
    if (version / LARGE_RUN) % 2 == 1 {
        config::add_routes(&mut content, LARGE_ROUTES);
    }
    fleet.store.put(config::KEY, &content);
}

/// Starts the engine with this number in a failure domain.
fn start_engine(fleet: &Fleet, number: u32, domain: &'static str, domains: &mut Domains) -> Upstream {
    let id = format!("e{number}");
    let engine = fleet.start_engine_in(domain, &id, 1, EVENT_INTERVAL);
    domains.place(&engine, domain);
    engine.set_chunked(!number.is_multiple_of(UNFRAMED_ENGINES));
    engine.set_crlf(number.is_multiple_of(3));
    // Some send events once more that the client of a resumed stream has.
    engine.set_resume_shift(-i64::from(number % 3));
    engine
}
