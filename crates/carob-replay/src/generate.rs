//! Traces with fixed seeds: both deployments' days and the situations that hurt.

use std::time::Duration;

use carob_base::{Name, Time};
use carob_config::{Service, ServiceKind, Weights};
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use rand_distr::{Distribution, Exp};

use crate::{
    engine::Model,
    mix::{ACCOUNTS, Class, LONGEST, account, account_name, draw, draw_account, name, prefix},
    trace::{Arrival, Fault, FaultKind, Instance, Signals, Trace, Upstream},
};

/// Time of one step that the load is computed with, in seconds.
const STEP: f64 = 0.027;
/// Requests drawn to compute the load of a mix.
const DRAWS: u32 = 20_000;
/// Entry instances.
const INSTANCES: usize = 7;
/// Load of a burst, relative to the memory-limited capacity.
const BURST_LOAD: f64 = 3.0;
/// Load around a burst.
const CALM_LOAD: f64 = 0.6;

/// The figures of a model engine.
pub const MODEL: Model = Model {
    memory: 60_000,
    slots: 64,
    step_us: 12_000.0,
    answer_us: 200.0,
    token_us: 0.12,
    prefill_us: 30.0,
    chunk: 256,
};

/// A deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Candle wholesale: stall time first.
    Saarela,
    /// Baking courses: preemptions first.
    Tandyr,
}

/// A situation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// An ordinary day, at 70% of the memory-limited capacity.
    Day,
    /// 85% of the memory-limited capacity.
    Busy,
    /// A morning rush of short requests on top of the drafts, up to 110%.
    Rush,
    /// A quarter of the span at three times the capacity.
    Burst,
    /// A burst that comes from the largest account alone.
    Flood,
    /// Lengths from a few tokens to tens of thousands.
    HeavyTail,
    /// Answers become 1.6 times as long in mid-run, which about doubles the load.
    Shift,
    /// An upstream is lost for a minute.
    Lost,
    /// Load reports arrive ten seconds late.
    Stale,
}

/// Every situation.
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

/// What a trace is generated from.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The deployment.
    pub deployment: Deployment,
    /// The situation.
    pub scenario: Scenario,
    /// Seed.
    pub seed: u64,
    /// Time in which requests come.
    pub span: Duration,
    /// Runners; the deployment's number by default.
    pub upstreams: usize,
}

impl Spec {
    /// Four minutes at the deployment's size.
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

    /// Sets the time in which requests come.
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

    /// The title of the trace.
    pub fn title(&self) -> String {
        format!("{:?} {:?} seed {}", self.deployment, self.scenario, self.seed).to_lowercase()
    }

    /// Generates the trace.
    pub fn trace(&self) -> Trace {
        let mut random = SmallRng::seed_from_u64(self.seed);
        Trace {
            title: self.title(),
            signals: self.signals(),
            services: vec![self.service()],
            accounts: (0..ACCOUNTS.len()).map(account).collect(),
            upstreams: (0..self.upstreams).map(|at| self.upstream(at)).collect(),
            instances: (0..INSTANCES).map(|at| self.instance(at)).collect(),
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
            max_tokens: LONGEST,
            retry_percent: 10,
        }
    }

    fn region(&self, at: usize) -> Name {
        let regions = match self.deployment {
            Deployment::Saarela => ["uusimaa", "pirkanmaa", "pohjanmaa"],
            Deployment::Tandyr => ["almaty", "astana", "shymkent"],
        };
        name(regions[at % regions.len()])
    }

    fn upstream(&self, at: usize) -> Upstream {
        let service = self.service().name;
        let region = self.region(at);
        Upstream {
            name: name(&format!("runner-{at}")),
            service,
            domain: region.clone(),
            region,
            model: MODEL,
        }
    }

    fn instance(&self, at: usize) -> Instance {
        let region = self.region(at);
        Instance {
            name: name(&format!("entry-{at}")),
            domain: region.clone(),
            region,
        }
    }

    fn classes(&self) -> [Class; 2] {
        let (short, long) = match self.deployment {
            Deployment::Saarela => (0.7, 500.0),
            Deployment::Tandyr => (0.55, 700.0),
        };
        let spread = if self.scenario == Scenario::HeavyTail {
            1.6
        } else {
            0.9
        };
        [
            Class {
                part: short,
                prefix: 256,
                prompt: 60.0,
                answer: 40.0,
                spread: 0.7,
            },
            Class {
                part: 1.0 - short,
                prefix: 1_024,
                prompt: 300.0,
                answer: long,
                spread,
            },
        ]
    }

    /// Load at a point of the span, relative to the memory-limited capacity.
    fn load(&self, part: f64) -> f64 {
        let middle = is_middle(part);
        match self.scenario {
            Scenario::Shift => 0.6,
            Scenario::Busy | Scenario::Stale => 0.85,
            Scenario::Lost => 0.8,
            // The longest answers outlast the span, so that the memory fills late.
            Scenario::HeavyTail => 1.6,
            Scenario::Rush if middle => 1.1,
            Scenario::Day | Scenario::Rush => 0.7,
            Scenario::Burst | Scenario::Flood if middle => BURST_LOAD,
            Scenario::Burst | Scenario::Flood => CALM_LOAD,
        }
    }

    /// Requests per second that fill the memory of all upstreams.
    fn capacity(&self, random: &mut SmallRng) -> f64 {
        let classes = self.classes();
        let hold = |random: &mut SmallRng| {
            let (_, prompt, output) = draw(&classes, 1.0, random);
            let (prompt, output) = (f64::from(prompt), f64::from(output));
            (output * prompt + output * output / 2.0) * STEP
        };
        let total: f64 = (0..DRAWS).map(|_| hold(random)).sum();
        let memory = f64::from(MODEL.memory) * self.upstreams as f64;
        memory / (total / f64::from(DRAWS))
    }

    fn requests(&self, random: &mut SmallRng) -> Vec<Arrival> {
        let classes = self.classes();
        let capacity = self.capacity(random);
        let span = self.span.as_secs_f64();
        let (mut at, mut requests) = (0.0, Vec::new());
        loop {
            let part = at / span;
            let rate = capacity * self.load(part);
            at += Exp::new(rate).expect("the rate is positive").sample(random);
            if at >= span {
                return requests;
            }
            let growth = if self.scenario == Scenario::Shift && part > 0.4 {
                1.6
            } else {
                1.0
            };
            let account = self.draw_account(part, random);
            let growth = growth * ACCOUNTS[account].length;
            let (class, prompt, output) = draw(&classes, growth, random);
            requests.push(Arrival {
                at: Time::ZERO + Duration::from_secs_f64(at),
                instance: random.random_range(0..INSTANCES),
                service: self.service().name,
                account: account_name(account),
                prompt,
                output,
                prefix: prefix(account, class, classes[class].prefix, random),
            });
        }
    }

    /// Draws the account of a request at a point of the span.
    fn draw_account(&self, part: f64, random: &mut SmallRng) -> usize {
        let floods = self.scenario == Scenario::Flood && is_middle(part);
        if floods && random.random_range(0.0..BURST_LOAD) >= CALM_LOAD {
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

/// Whether a point of the span lies in the part in which rushes and bursts come.
fn is_middle(part: f64) -> bool {
    (0.35..0.6).contains(&part)
}
