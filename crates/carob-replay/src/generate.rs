//! Generates synthetic traces from a seed: ordinary load and difficult scenarios of two deployments.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_config::{Service, ServiceKind, Weights};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp};

use crate::{
    engine::Model,
    mix::{
        ACCOUNTS, MAX_ANSWER_TOKENS, RequestClass, account, account_name, draw_account, draw_request, name,
        prefix,
    },
    trace::{Arrival, Fault, FaultKind, Instance, Signals, Trace, Upstream},
};

/// Duration of an engine step assumed in computing the capacity, in seconds.
const ASSUMED_STEP_S: f64 = 0.027;
/// Number of requests drawn to estimate the memory that a request of the mix holds.
const CAPACITY_DRAWS: u32 = 20_000;
/// Number of instances.
const INSTANCE_COUNT: usize = 7;
/// Load during a burst, relative to the memory-limited capacity.
const BURST_LOAD: f64 = 3.0;
/// Load before and after a burst, relative to the memory-limited capacity.
const BASE_LOAD: f64 = 0.6;

/// Engine parameters of every generated upstream.
pub const MODEL: Model = Model {
    memory: 60_000,
    slots: 64,
    step_us: 12_000.0,
    answer_us: 200.0,
    token_us: 0.12,
    prefill_us: 30.0,
    chunk: 256,
};

/// A deployment, which sets the service, the mix of requests, the regions and the default number of
/// upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Candle wholesaler; weighs stall time three times as much as preemptions.
    Saarela,
    /// Provider of baking courses; weighs preemptions three times as much as stall time.
    Tandyr,
}

/// Load and faults of a generated trace; loads are relative to the memory-limited capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Ordinary day at 70%.
    Day,
    /// Busy day at 85%.
    Busy,
    /// Morning rush: 110% for a quarter of the span, 70% otherwise.
    Rush,
    /// Burst: 300% for a quarter of the span, 60% otherwise.
    Burst,
    /// Like [`Scenario::Burst`], but the largest client account sends all of the additional requests.
    Flood,
    /// Answers from a few tokens to tens of thousands, at a nominal 160%.
    HeavyTail,
    /// Answers become 1.6 times as long after 40% of the span, which about doubles the load of 60%.
    Shift,
    /// 80%; one upstream crashes after 40% of the span and recovers after a minute.
    Lost,
    /// 85%; load reports are delayed by ten seconds.
    Stale,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 9] = [
    Scenario::Day,
    Scenario::Busy,
    Scenario::Rush,
    Scenario::Burst,
    Scenario::Flood,
    Scenario::HeavyTail,
    Scenario::Shift,
    Scenario::Lost,
    Scenario::Stale,
];

/// Parameters of a generated trace.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Deployment whose traffic is generated.
    pub deployment: Deployment,
    /// Load and faults.
    pub scenario: Scenario,
    /// Seed of the random number generator; equal parameters and seeds give equal traces.
    pub seed: u64,
    /// Time during which requests arrive.
    pub span: Duration,
    /// Number of upstreams; by default that of the deployment.
    pub upstreams: usize,
}

impl Spec {
    /// Creates parameters with a span of four minutes and the deployment's number of upstreams.
    pub fn new(deployment: Deployment, scenario: Scenario, seed: u64) -> Self {
        let upstreams = match deployment {
            Deployment::Saarela => 9,
            Deployment::Tandyr => 14,
        };
        Self {
            deployment,
            scenario,
            seed,
            span: Duration::from_mins(4),
            upstreams,
        }
    }

    /// Sets the time during which requests arrive.
    #[must_use]
    pub fn with_span(mut self, span: Duration) -> Self {
        self.span = span;
        self
    }

    /// Sets the number of upstreams.
    #[must_use]
    pub fn with_upstreams(mut self, upstreams: usize) -> Self {
        self.upstreams = upstreams;
        self
    }

    /// Title of the trace.
    pub fn title(&self) -> String {
        format!("{:?} {:?} seed {}", self.deployment, self.scenario, self.seed).to_lowercase()
    }

    /// Generates the trace, without expectations.
    pub fn trace(&self) -> Trace {
        let mut random = SmallRng::seed_from_u64(self.seed);
        Trace {
            title: self.title(),
            signals: self.signals(),
            services: vec![self.service()],
            accounts: (0..ACCOUNTS.len()).map(account).collect(),
            upstreams: (0..self.upstreams).map(|index| self.upstream(index)).collect(),
            instances: (0..INSTANCE_COUNT).map(|index| self.instance(index)).collect(),
            requests: self.requests(&mut random),
            faults: self.faults(),
            expectations: Vec::new(),
        }
    }

    fn signals(&self) -> Signals {
        let mut signals = Signals::default();
        if self.scenario == Scenario::Stale {
            signals.report_delay = Duration::from_secs(10);
        }
        signals
    }

    fn service(&self) -> Service {
        let (text, weights) = match self.deployment {
            Deployment::Saarela => ("quotes", Weights { stall: 3, preempt: 1 }),
            Deployment::Tandyr => ("course-plans", Weights { stall: 1, preempt: 3 }),
        };
        Service {
            name: name(text),
            kind: ServiceKind::Generation,
            model: Some(name("model")),
            weights,
            response_timeout: Duration::from_secs(30),
            max_tokens: MAX_ANSWER_TOKENS,
            retry_percent: 10,
        }
    }

    /// Region of an upstream or instance; regions are assigned in turn.
    fn region(&self, index: usize) -> Name {
        let regions = match self.deployment {
            Deployment::Saarela => ["uusimaa", "pirkanmaa", "pohjanmaa"],
            Deployment::Tandyr => ["almaty", "astana", "shymkent"],
        };
        name(regions[index % regions.len()])
    }

    fn upstream(&self, index: usize) -> Upstream {
        let service = self.service().name;
        let region = self.region(index);
        Upstream {
            name: name(&format!("runner-{index}")),
            service,
            domain: region.clone(),
            region,
            model: MODEL,
        }
    }

    fn instance(&self, index: usize) -> Instance {
        let region = self.region(index);
        Instance {
            name: name(&format!("entry-{index}")),
            domain: region.clone(),
            region,
        }
    }

    /// The short and the long class of requests.
    fn classes(&self) -> [RequestClass; 2] {
        let (short_share, long_answer) = match self.deployment {
            Deployment::Saarela => (0.7, 500.0),
            Deployment::Tandyr => (0.55, 700.0),
        };
        let answer_sigma = if self.scenario == Scenario::HeavyTail {
            1.6
        } else {
            0.9
        };
        [
            RequestClass {
                share: short_share,
                prefix: 256,
                prompt: 60.0,
                answer: 40.0,
                answer_sigma: 0.7,
            },
            RequestClass {
                share: 1.0 - short_share,
                prefix: 1_024,
                prompt: 300.0,
                answer: long_answer,
                answer_sigma,
            },
        ]
    }

    /// Load relative to the memory-limited capacity, at `position` in the span (0 to 1).
    fn load(&self, position: f64) -> f64 {
        let peak = is_peak(position);
        match self.scenario {
            Scenario::Shift => 0.6,
            Scenario::Busy | Scenario::Stale => 0.85,
            Scenario::Lost => 0.8,
            // Above 1, because the longest answers outlast the span and the memory therefore fills late.
            Scenario::HeavyTail => 1.6,
            Scenario::Rush if peak => 1.1,
            Scenario::Day | Scenario::Rush => 0.7,
            Scenario::Burst | Scenario::Flood if peak => BURST_LOAD,
            Scenario::Burst | Scenario::Flood => BASE_LOAD,
        }
    }

    /// Memory-limited capacity: requests per second whose mean memory use equals the memory of all upstreams.
    fn capacity(&self, random: &mut SmallRng) -> f64 {
        let classes = self.classes();
        // Memory that a request holds over its lifetime, in token seconds: the prompt throughout, the answer
        // as it grows.
        let memory_time = |random: &mut SmallRng| {
            let (_, prompt, output) = draw_request(&classes, 1.0, random);
            let (prompt, output) = (f64::from(prompt), f64::from(output));
            (output * prompt + output * output / 2.0) * ASSUMED_STEP_S
        };
        let total: f64 = (0..CAPACITY_DRAWS).map(|_| memory_time(random)).sum();
        let memory = f64::from(MODEL.memory) * self.upstreams as f64;
        memory / (total / f64::from(CAPACITY_DRAWS))
    }

    fn requests(&self, random: &mut SmallRng) -> Vec<Arrival> {
        let classes = self.classes();
        let capacity = self.capacity(random);
        let span = self.span.as_secs_f64();
        let (mut at, mut requests) = (0.0, Vec::new());
        loop {
            let position = at / span;
            let rate = capacity * self.load(position);
            at += Exp::new(rate).expect("the rate is positive").sample(random);
            if at >= span {
                return requests;
            }
            let shift = if self.scenario == Scenario::Shift && position > 0.4 {
                1.6
            } else {
                1.0
            };
            let account = self.draw_account(position, random);
            let length_factor = shift * ACCOUNTS[account].length_factor;
            let (class, prompt, output) = draw_request(&classes, length_factor, random);
            requests.push(Arrival {
                at: Time::ZERO + Duration::from_secs_f64(at),
                instance: random.random_range(0..INSTANCE_COUNT),
                service: self.service().name,
                account: account_name(account),
                prompt,
                output,
                prefix: prefix(account, class, classes[class].prefix, random),
            });
        }
    }

    /// Draws the client account of a request at `position` in the span (0 to 1).
    fn draw_account(&self, position: f64, random: &mut SmallRng) -> usize {
        let flooding = self.scenario == Scenario::Flood && is_peak(position);
        if flooding && random.random_range(0.0..BURST_LOAD) >= BASE_LOAD {
            return 0;
        }
        draw_account(random)
    }

    fn faults(&self) -> Vec<Fault> {
        if self.scenario != Scenario::Lost {
            return Vec::new();
        }
        let kind = FaultKind::Crash {
            upstream: name("runner-0"),
            duration: Duration::from_mins(1),
        };
        vec![Fault {
            at: Time::ZERO + self.span.mul_f64(0.4),
            kind,
        }]
    }
}

/// Whether a position in the span (0 to 1) lies in the quarter with the load of rushes and bursts.
fn is_peak(position: f64) -> bool {
    (0.35..0.6).contains(&position)
}
