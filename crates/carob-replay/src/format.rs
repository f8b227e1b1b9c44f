//! Parser and writer of the text format of traces; see `docs/TRACES.md`.

use std::{collections::HashMap, fmt::Write as _, str::FromStr, time::Duration};

use carob_base::{Name, Time};
use carob_config::{Account, Service, ServiceKind, Weights};
use smallvec::SmallVec;

use crate::{
    engine::Model,
    expect::{Bound, Expectation, Metric},
    trace::{Arrival, Fault, FaultKind, Instance, Signals, Trace, Upstream},
};

/// First line of a trace: the name and the version of the format.
pub const HEADER: &str = "carobhaven-trace 1";

/// Error on a line of a trace.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {cause}")]
pub struct Error {
    /// Line number, from 1.
    pub line: usize,
    /// Why the line is invalid.
    pub cause: LineError,
}

/// Why a line is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// The first line is not [`HEADER`].
    #[error("expected {HEADER:?}")]
    UnsupportedVersion,
    /// The first word is no known kind of line.
    #[error("unknown kind of line {0:?}")]
    UnknownKind(String),
    /// A required field is missing; holds its name.
    #[error("missing {0}")]
    MissingField(&'static str),
    /// The value of a field cannot be parsed; holds the field's name and the value.
    #[error("invalid {0}: {1:?}")]
    InvalidValue(&'static str, String),
}

/// Fields of a line after its kind.
struct LineFields<'a> {
    /// Words without a key, in their order.
    positional: std::vec::IntoIter<&'a str>,
    /// Values of the `key=value` fields.
    keyed: HashMap<&'a str, &'a str>,
}

impl<'a> LineFields<'a> {
    fn new(text: &'a str) -> Self {
        let mut positional = Vec::new();
        let mut keyed = HashMap::new();
        for word in text.split_whitespace() {
            match word.split_once('=') {
                Some((key, value)) if !key.is_empty() && key != "<" && key != ">" => {
                    keyed.insert(key, value);
                }
                _ => positional.push(word),
            }
        }
        Self {
            positional: positional.into_iter(),
            keyed,
        }
    }

    /// Parses the next word without a key; `what` names it in errors.
    fn positional<T: FromStr>(&mut self, what: &'static str) -> Result<T, LineError> {
        let text = self.positional.next().ok_or(LineError::MissingField(what))?;
        parse_value(what, text)
    }

    /// Parses the value of `key=value`.
    fn field<T: FromStr>(&self, key: &'static str) -> Result<T, LineError> {
        let text = self.keyed.get(key).ok_or(LineError::MissingField(key))?;
        parse_value(key, text)
    }

    /// Parses the value of a field as a duration in milliseconds.
    fn millis(&self, key: &'static str) -> Result<Duration, LineError> {
        self.field(key).map(Duration::from_millis)
    }

    /// Parses the value of a field as a duration in microseconds.
    fn micros(&self, key: &'static str) -> Result<Duration, LineError> {
        self.field(key).map(Duration::from_micros)
    }
}

fn parse_value<T: FromStr>(what: &'static str, text: &str) -> Result<T, LineError> {
    let parsed = text.parse().ok();
    parsed.ok_or_else(|| LineError::InvalidValue(what, text.to_owned()))
}

/// Parses a trace and sorts its requests by arrival time.
///
/// # Errors
///
/// Returns [`Error`] for the first invalid line.
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
            cause: LineError::UnsupportedVersion,
        });
    }
    for (index, line) in lines {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        parse_line(&mut trace, line).map_err(|cause| Error {
            line: index + 1,
            cause,
        })?;
    }
    trace.requests.sort_by_key(|request| request.at);
    Ok(trace)
}

fn parse_line(trace: &mut Trace, line: &str) -> Result<(), LineError> {
    let (kind, rest) = line.split_once(' ').unwrap_or((line, ""));
    let mut fields = LineFields::new(rest);
    match kind {
        "title" => rest.clone_into(&mut trace.title),
        "signals" => trace.signals = signals(&fields)?,
        "service" => trace.services.push(service(&mut fields)?),
        "account" => trace.accounts.push(account(&mut fields)?),
        "upstream" => trace.upstreams.push(upstream(&mut fields)?),
        "instance" => trace.instances.push(instance(&mut fields)?),
        "request" => {
            let request = request(trace, &mut fields)?;
            trace.requests.push(request);
        }
        "fault" => trace.faults.push(fault(&mut fields)?),
        "expect" => trace.expectations.push(expectation(&mut fields)?),
        _ => return Err(LineError::UnknownKind(kind.to_owned())),
    }
    Ok(())
}

fn signals(fields: &LineFields<'_>) -> Result<Signals, LineError> {
    Ok(Signals {
        report_interval: fields.millis("report_every_ms")?,
        report_delay: fields.millis("report_lag_ms")?,
        report_loss: fields.field("report_loss")?,
        peer_interval: fields.millis("peer_every_ms")?,
        cache_delay: fields.millis("cache_lag_ms")?,
        cache_loss: fields.field("cache_loss")?,
        local_latency: fields.micros("near_us")?,
        remote_latency: fields.micros("far_us")?,
    })
}

fn service(fields: &mut LineFields<'_>) -> Result<Service, LineError> {
    let name: Name = fields.positional("service")?;
    Ok(Service {
        model: Some(name.clone()),
        name,
        kind: ServiceKind::Generation,
        weights: Weights {
            stall: fields.field("stall")?,
            preempt: fields.field("preempt")?,
        },
        response_timeout: fields.millis("patience_ms")?,
        max_tokens: fields.field("max_tokens")?,
        retry_percent: fields.field("retry_percent")?,
    })
}

fn account(fields: &mut LineFields<'_>) -> Result<Account, LineError> {
    Ok(Account {
        name: fields.positional("account")?,
        key_hash: [0; 32],
        weight: fields.field("share")?,
        max_requests: fields.field("max_open")?,
        services: SmallVec::new(),
    })
}

fn upstream(fields: &mut LineFields<'_>) -> Result<Upstream, LineError> {
    let model = Model {
        memory: fields.field("memory")?,
        slots: fields.field("slots")?,
        step_us: fields.field("step_us")?,
        answer_us: fields.field("answer_us")?,
        token_us: fields.field("token_us")?,
        prefill_us: fields.field("prefill_us")?,
        chunk: fields.field("chunk")?,
    };
    Ok(Upstream {
        name: fields.positional("upstream")?,
        service: fields.field("service")?,
        domain: fields.field("domain")?,
        region: fields.field("region")?,
        model,
    })
}

fn instance(fields: &mut LineFields<'_>) -> Result<Instance, LineError> {
    Ok(Instance {
        name: fields.positional("instance")?,
        domain: fields.field("domain")?,
        region: fields.field("region")?,
    })
}

fn request(trace: &Trace, fields: &mut LineFields<'_>) -> Result<Arrival, LineError> {
    let at = Time::from_micros(fields.positional("time")?);
    let instance: Name = fields.positional("instance")?;
    let found = trace.instances.iter().position(|other| other.name == instance);
    Ok(Arrival {
        at,
        instance: found.ok_or_else(|| LineError::InvalidValue("instance", instance.to_string()))?,
        service: fields.positional("service")?,
        account: fields.positional("account")?,
        prompt: fields.positional("prompt")?,
        output: fields.positional("output")?,
        prefix: prefix(fields)?,
    })
}

fn prefix(fields: &mut LineFields<'_>) -> Result<SmallVec<[(u64, u32); 4]>, LineError> {
    let text: String = fields.positional("prefix")?;
    if text == "-" {
        return Ok(SmallVec::new());
    }
    let parse_pair = |text: &str| {
        let (hash, length) = text
            .split_once(':')
            .ok_or_else(|| LineError::InvalidValue("prefix", text.to_owned()))?;
        Ok((parse_value("prefix", hash)?, parse_value("prefix", length)?))
    };
    text.split(',').map(parse_pair).collect()
}

fn fault(fields: &mut LineFields<'_>) -> Result<Fault, LineError> {
    let at = Time::from_micros(fields.positional("time")?);
    let kind: String = fields.positional("fault")?;
    let kind = match kind.as_str() {
        "lose" => FaultKind::Crash {
            upstream: fields.field("upstream")?,
            duration: fields.millis("away_ms")?,
        },
        "fail" => FaultKind::Fail {
            upstream: fields.field("upstream")?,
            duration: fields.millis("away_ms")?,
        },
        "lag" => FaultKind::ReportDelay(fields.millis("lag_ms")?),
        "forget" => FaultKind::Restart {
            instance: fields.field("instance")?,
        },
        _ => return Err(LineError::InvalidValue("fault", kind)),
    };
    Ok(Fault { at, kind })
}

fn expectation(fields: &mut LineFields<'_>) -> Result<Expectation, LineError> {
    let metric: String = fields.positional("metric")?;
    let sign: String = fields.positional("bound")?;
    let bound = match sign.as_str() {
        "<=" => Bound::AtMost,
        ">=" => Bound::AtLeast,
        _ => return Err(LineError::InvalidValue("bound", sign)),
    };
    let metric = Metric::parse(&metric).ok_or(LineError::InvalidValue("metric", metric))?;
    Ok(Expectation {
        metric,
        bound,
        value: fields.positional("value")?,
    })
}

/// Formats a trace as text for [`parse`]; leaves out what the format has no field for, such as the accounts'
/// key hashes.
pub fn write(trace: &Trace) -> String {
    let mut text = format!("{HEADER}\ntitle {}\n", trace.title);
    // Formatting into a `String` cannot fail.
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
        let timeout = s.response_timeout.as_millis();
        writeln!(
            text,
            "service {} stall={stall} preempt={preempt} patience_ms={timeout} max_tokens={} retry_percent={}",
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
            FaultKind::ReportDelay(delay) => writeln!(text, "lag lag_ms={}", delay.as_millis())?,
            FaultKind::Restart { instance } => writeln!(text, "forget instance={instance}")?,
        }
    }
    for e in &trace.expectations {
        writeln!(text, "expect {e}")?;
    }
    Ok(())
}
