//! The text of a trace; see `docs/TRACES.md`.

use std::{collections::HashMap, fmt::Write as _, str::FromStr, time::Duration};

use carob_base::{Name, Time};
use carob_config::{Account, Service, ServiceKind, Weights};
use smallvec::SmallVec;

use crate::{
    engine::Model,
    expect::{Bound, Expectation, Metric},
    trace::{Arrival, Fault, FaultKind, Instance, Signals, Trace, Upstream},
};

/// The first line of a trace.
pub const HEADER: &str = "carobhaven-trace 1";

/// A line is no valid part of a trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {cause}")]
pub struct Error {
    /// Number of the line, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub cause: LineError,
}

/// What is wrong with a line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The first line is not the version that this reads.
    #[error("expected {HEADER:?}")]
    Version,
    /// The first word is unknown.
    #[error("unknown kind of line {0:?}")]
    Kind(String),
    /// A field is missing.
    #[error("missing {0}")]
    Missing(&'static str),
    /// A field's value cannot be read.
    #[error("invalid {0}: {1:?}")]
    Value(&'static str, String),
}

/// The words of a line after its kind.
struct Words<'a> {
    plain: std::vec::IntoIter<&'a str>,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn new(text: &'a str) -> Self {
        let mut plain = Vec::new();
        let mut fields = HashMap::new();
        for word in text.split_whitespace() {
            match word.split_once('=') {
                Some((key, value)) if !key.is_empty() && key != "<" && key != ">" => {
                    fields.insert(key, value);
                }
                _ => plain.push(word),
            }
        }
        Self {
            plain: plain.into_iter(),
            fields,
        }
    }

    /// The next word without a key.
    fn next<T: FromStr>(&mut self, what: &'static str) -> Result<T, LineError> {
        let text = self.plain.next().ok_or(LineError::Missing(what))?;
        value(what, text)
    }

    /// The field `key=...`.
    fn field<T: FromStr>(&self, key: &'static str) -> Result<T, LineError> {
        let text = self.fields.get(key).ok_or(LineError::Missing(key))?;
        value(key, text)
    }

    fn millis(&self, key: &'static str) -> Result<Duration, LineError> {
        self.field(key).map(Duration::from_millis)
    }

    fn micros(&self, key: &'static str) -> Result<Duration, LineError> {
        self.field(key).map(Duration::from_micros)
    }
}

fn value<T: FromStr>(what: &'static str, text: &str) -> Result<T, LineError> {
    let parsed = text.parse().ok();
    parsed.ok_or_else(|| LineError::Value(what, text.to_owned()))
}

/// Reads a trace.
///
/// # Errors
///
/// Returns [`Error`] for the first line that is no valid part of a trace.
pub fn parse(text: &str) -> Result<Trace, Error> {
    let mut trace = Trace {
        title: String::new(),
        signals: Signals::default(),
        services: Vec::new(),
        accounts: Vec::new(),
        upstreams: Vec::new(),
        instances: Vec::new(),
        requests: Vec::new(),
        faults: Vec::new(),
        expectations: Vec::new(),
    };
    let mut lines = text.lines().enumerate();
    if lines.next().is_none_or(|(_, first)| first != HEADER) {
        return Err(Error {
            line: 1,
            cause: LineError::Version,
        });
    }
    for (at, line) in lines {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        parse_line(&mut trace, line).map_err(|cause| Error { line: at + 1, cause })?;
    }
    trace.requests.sort_by_key(|request| request.at);
    Ok(trace)
}

fn parse_line(trace: &mut Trace, line: &str) -> Result<(), LineError> {
    let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut words = Words::new(rest);
    match kind {
        "title" => rest.clone_into(&mut trace.title),
        "signals" => trace.signals = signals(&words)?,
        "service" => trace.services.push(service(&mut words)?),
        "account" => trace.accounts.push(account(&mut words)?),
        "upstream" => trace.upstreams.push(upstream(&mut words)?),
        "instance" => trace.instances.push(instance(&mut words)?),
        "request" => {
            let request = request(trace, &mut words)?;
            trace.requests.push(request);
        }
        "fault" => trace.faults.push(fault(&mut words)?),
        "expect" => trace.expectations.push(expectation(&mut words)?),
        _ => return Err(LineError::Kind(kind.to_owned())),
    }
    Ok(())
}

fn signals(words: &Words<'_>) -> Result<Signals, LineError> {
    Ok(Signals {
        report_interval: words.millis("report_every_ms")?,
        report_delay: words.millis("report_lag_ms")?,
        report_loss: words.field("report_loss")?,
        peer_interval: words.millis("peer_every_ms")?,
        cache_delay: words.millis("cache_lag_ms")?,
        cache_loss: words.field("cache_loss")?,
        local_latency: words.micros("near_us")?,
        remote_latency: words.micros("far_us")?,
    })
}

fn service(words: &mut Words<'_>) -> Result<Service, LineError> {
    let name: Name = words.next("service")?;
    Ok(Service {
        model: Some(name.clone()),
        name,
        kind: ServiceKind::Generation,
        weights: Weights {
            stall: words.field("stall")?,
            preempt: words.field("preempt")?,
        },
        response_timeout: words.millis("patience_ms")?,
        max_tokens: words.field("max_tokens")?,
        retry_percent: words.field("retry_percent")?,
    })
}

fn account(words: &mut Words<'_>) -> Result<Account, LineError> {
    Ok(Account {
        name: words.next("account")?,
        key_hash: [0; 32],
        weight: words.field("share")?,
        max_requests: words.field("max_open")?,
        services: SmallVec::new(),
    })
}

fn upstream(words: &mut Words<'_>) -> Result<Upstream, LineError> {
    let model = Model {
        memory: words.field("memory")?,
        slots: words.field("slots")?,
        step_us: words.field("step_us")?,
        answer_us: words.field("answer_us")?,
        token_us: words.field("token_us")?,
        prefill_us: words.field("prefill_us")?,
        chunk: words.field("chunk")?,
    };
    Ok(Upstream {
        name: words.next("upstream")?,
        service: words.field("service")?,
        domain: words.field("domain")?,
        region: words.field("region")?,
        model,
    })
}

fn instance(words: &mut Words<'_>) -> Result<Instance, LineError> {
    Ok(Instance {
        name: words.next("instance")?,
        domain: words.field("domain")?,
        region: words.field("region")?,
    })
}

fn request(trace: &Trace, words: &mut Words<'_>) -> Result<Arrival, LineError> {
    let at = Time::from_micros(words.next("time")?);
    let instance: Name = words.next("instance")?;
    let found = trace.instances.iter().position(|other| other.name == instance);
    Ok(Arrival {
        at,
        instance: found.ok_or_else(|| LineError::Value("instance", instance.to_string()))?,
        service: words.next("service")?,
        account: words.next("account")?,
        prompt: words.next("prompt")?,
        output: words.next("output")?,
        prefix: prefix(words)?,
    })
}

fn prefix(words: &mut Words<'_>) -> Result<SmallVec<[(u64, u32); 4]>, LineError> {
    let text: String = words.next("prefix")?;
    if text == "-" {
        return Ok(SmallVec::new());
    }
    let pair = |part: &str| {
        let (hash, length) = part
            .split_once(':')
            .ok_or_else(|| LineError::Value("prefix", part.to_owned()))?;
        Ok((value("prefix", hash)?, value("prefix", length)?))
    };
    text.split(',').map(pair).collect()
}

fn fault(words: &mut Words<'_>) -> Result<Fault, LineError> {
    let at = Time::from_micros(words.next("time")?);
    let kind: String = words.next("fault")?;
    let kind = match kind.as_str() {
        "lose" => FaultKind::Crash {
            upstream: words.field("upstream")?,
            duration: words.millis("away_ms")?,
        },
        "fail" => FaultKind::Fail {
            upstream: words.field("upstream")?,
            duration: words.millis("away_ms")?,
        },
        "lag" => FaultKind::ReportDelay(words.millis("lag_ms")?),
        "forget" => FaultKind::Restart {
            instance: words.field("instance")?,
        },
        _ => return Err(LineError::Value("fault", kind)),
    };
    Ok(Fault { at, kind })
}

fn expectation(words: &mut Words<'_>) -> Result<Expectation, LineError> {
    let metric: String = words.next("metric")?;
    let sign: String = words.next("bound")?;
    let bound = match sign.as_str() {
        "<=" => Bound::AtMost,
        ">=" => Bound::AtLeast,
        _ => return Err(LineError::Value("bound", sign)),
    };
    let metric = Metric::parse(&metric).ok_or(LineError::Value("metric", metric))?;
    Ok(Expectation {
        metric,
        bound,
        value: words.next("value")?,
    })
}

/// Writes a trace.
pub fn write(trace: &Trace) -> String {
    let mut text = format!("{HEADER}\ntitle {}\n", trace.title);
    // Writing to a string cannot fail.
    let _ = write_fleet(trace, &mut text).and_then(|()| write_events(trace, &mut text));
    text
}

fn write_fleet(trace: &Trace, text: &mut String) -> std::fmt::Result {
    let s = &trace.signals;
    writeln!(
        text,
        "signals report_every_ms={} report_lag_ms={} report_loss={} peer_every_ms={} cache_lag_ms={} \
         cache_loss={} near_us={} far_us={}",
        s.report_interval.as_millis(),
        s.report_delay.as_millis(),
        s.report_loss,
        s.peer_interval.as_millis(),
        s.cache_delay.as_millis(),
        s.cache_loss,
        s.local_latency.as_micros(),
        s.remote_latency.as_micros()
    )?;
    for s in &trace.services {
        let Weights { stall, preempt } = s.weights;
        let patience = s.response_timeout.as_millis();
        writeln!(
            text,
            "service {} stall={stall} preempt={preempt} patience_ms={patience} max_tokens={} retry_percent={}",
            s.name, s.max_tokens, s.retry_percent
        )?;
    }
    for a in &trace.accounts {
        writeln!(
            text,
            "account {} share={} max_open={}",
            a.name, a.weight, a.max_requests
        )?;
    }
    for u in &trace.upstreams {
        let m = &u.model;
        writeln!(
            text,
            "upstream {} service={} domain={} region={} memory={} slots={} step_us={} answer_us={} token_us={} \
             prefill_us={} chunk={}",
            u.name,
            u.service,
            u.domain,
            u.region,
            m.memory,
            m.slots,
            m.step_us,
            m.answer_us,
            m.token_us,
            m.prefill_us,
            m.chunk
        )?;
    }
    for i in &trace.instances {
        writeln!(
            text,
            "instance {} domain={} region={}",
            i.name, i.domain, i.region
        )?;
    }
    Ok(())
}

fn write_events(trace: &Trace, text: &mut String) -> std::fmt::Result {
    for r in &trace.requests {
        let instance = &trace.instances[r.instance].name;
        let at = r.at.as_micros();
        write!(
            text,
            "request {at} {instance} {} {} {} {} ",
            r.service, r.account, r.prompt, r.output
        )?;
        let parts: Vec<String> = r
            .prefix
            .iter()
            .map(|(hash, length)| format!("{hash}:{length}"))
            .collect();
        writeln!(
            text,
            "{}",
            if parts.is_empty() {
                "-".to_owned()
            } else {
                parts.join(",")
            }
        )?;
    }
    for f in &trace.faults {
        write!(text, "fault {} ", f.at.as_micros())?;
        match &f.kind {
            FaultKind::Crash { upstream, duration } => {
                writeln!(text, "lose upstream={upstream} away_ms={}", duration.as_millis())?;
            }
            FaultKind::Fail { upstream, duration } => {
                writeln!(text, "fail upstream={upstream} away_ms={}", duration.as_millis())?;
            }
            FaultKind::ReportDelay(lag) => writeln!(text, "lag lag_ms={}", lag.as_millis())?,
            FaultKind::Restart { instance } => writeln!(text, "forget instance={instance}")?,
        }
    }
    for e in &trace.expectations {
        writeln!(text, "expect {e}")?;
    }
    Ok(())
}
