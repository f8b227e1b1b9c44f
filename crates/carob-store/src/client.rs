//! Carries out calls over the JSON gateway of etcd v3.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use serde::de::DeserializeOwned;

use crate::{
    call::{Call, Failure, Lease, Reply},
    gateway,
    watch::Watch,
};

/// Endpoints, timeout and limit.
#[derive(Clone, Debug)]
pub struct Options {
    /// Endpoints. The next one is tried if one refuses the connection or answers that it is unavailable.
    pub addresses: Vec<SocketAddr>,
    /// Maximum duration of a call, in whole seconds. Default: 2 s.
    pub timeout: Duration,
    /// Maximum size of a reply, in bytes. Default: 16 MiB.
    pub reply_limit: u64,
}

impl Options {
    /// Creates the default options for a store at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            timeout: Duration::from_secs(2),
            reply_limit: 16 << 20,
        }
    }
}

/// A client of the store. Calls block. Threads can share a client through an `Arc`.
#[derive(Debug)]
pub struct Client {
    options: Options,
    /// Index of the endpoint that was used last; calls start with it.
    endpoint: AtomicUsize,
}

impl Client {
    /// Creates a client. Nothing is sent before the first call.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            endpoint: AtomicUsize::new(0),
        }
    }

    /// Carries out `call`.
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] if there is no usable reply. After [`Failure::Unknown`], a change may have taken
    /// effect.
    pub fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let kind = kind_label(call);
        metrics::counter!("carob_store_calls_total", "kind" => kind).increment(1);
        let result = self.exchange(call);
        if let Err(failure) = &result {
            let reason = reason_label(*failure);
            metrics::counter!("carob_store_failures_total", "kind" => kind, "reason" => reason).increment(1);
        }
        result
    }

    /// Watches all keys that start with `prefix`, for changes from the store revision `from` on.
    ///
    /// The watch ends after `lifetime` (in whole seconds). The next one should start at
    /// [`Watch::next_revision`].
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] if the watch could not be opened.
    pub fn watch(&self, prefix: &[u8], from: u64, lifetime: Duration) -> Result<Watch, Failure> {
        metrics::counter!("carob_store_calls_total", "kind" => "watch").increment(1);
        let body = gateway::watch(prefix, from).to_string();
        let response = self.try_endpoints(|address| {
            post(address, "/v3/watch", &body, lifetime)
                .send_lazy()
                .map_err(|err| send_failure(&err))
        })?;
        check_status(response.status_code, "")?;
        Ok(Watch::new(response, from, self.options.reply_limit))
    }

    fn exchange(&self, call: &Call) -> Result<Reply, Failure> {
        let (path, body) = gateway::request(call);
        let body = body.to_string();
        let text = self.try_endpoints(|address| self.send(address, path, &body))?;
        parse_reply(call, &text)
    }

    /// Tries the endpoints in turn, until one accepts the request.
    fn try_endpoints<T>(&self, mut send: impl FnMut(SocketAddr) -> Result<T, Failure>) -> Result<T, Failure> {
        let start = self.endpoint.load(Ordering::Relaxed);
        let count = self.options.addresses.len();
        for index in (start..start + count).map(|index| index % count) {
            match send(self.options.addresses[index]) {
                Err(Failure::NotSent | Failure::Unavailable) if count > 1 => {}
                result => {
                    self.endpoint.store(index, Ordering::Relaxed);
                    return result;
                }
            }
        }
        Err(Failure::NotSent)
    }

    fn send(&self, address: SocketAddr, path: &str, body: &str) -> Result<String, Failure> {
        let response = post(address, path, body, self.options.timeout)
            .send_lazy()
            .map_err(|err| send_failure(&err))?;
        let status = response.status_code;
        let mut text = String::new();
        let mut limited = io::Read::take(response, self.options.reply_limit);
        io::Read::read_to_string(&mut limited, &mut text).map_err(|err| read_failure(&err))?;
        check_status(status, &text)?;
        Ok(text)
    }
}

fn post(address: SocketAddr, path: &str, body: &str, timeout: Duration) -> minreq::Request {
    minreq::post(format!("http://{address}{path}"))
        .with_header("Content-Type", "application/json")
        .with_body(body)
        .with_timeout(timeout.as_secs().max(1))
}

fn read_failure(err: &io::Error) -> Failure {
    log::debug!("store: reply lost: {err}");
    Failure::Unknown
}

/// Classifies an error. Only a refused connection proves that nothing was sent.
fn send_failure(err: &minreq::Error) -> Failure {
    log::debug!("store: call failed: {err}");
    match err {
        minreq::Error::IoError(err) if err.kind() == io::ErrorKind::ConnectionRefused => Failure::NotSent,
        _ => Failure::Unknown,
    }
}

fn check_status(status: u16, text: &str) -> Result<(), Failure> {
    match status {
        200 => Ok(()),
        404 if text.contains("lease not found") => Err(Failure::LeaseLapsed),
        429 | 503 => Err(Failure::Unavailable),
        _ => {
            log::warn!("store: unexpected status {status}: {text:.200}");
            Err(Failure::Unknown)
        }
    }
}

fn parse_reply(call: &Call, text: &str) -> Result<Reply, Failure> {
    match call {
        Call::Get { .. } | Call::Scan { .. } => {
            let range = parse::<gateway::Range>(text)?;
            Ok(Reply::Entries {
                entries: range.kvs.into_iter().map(Into::into).collect(),
                revision: range.header.revision,
            })
        }
        Call::Swap { .. } | Call::Delete { .. } => parse_transaction(text),
        Call::Grant { .. } => lease_reply(&parse(text)?),
        Call::Renew { .. } => {
            let line =
                parse::<gateway::StreamLine<gateway::LeaseReply>>(text.lines().next().unwrap_or_default())?;
            lease_reply(&line.result.ok_or(Failure::Unknown)?)
        }
        Call::Revoke { .. } => Ok(Reply::Applied { revision: 0 }),
    }
}

fn parse_transaction(text: &str) -> Result<Reply, Failure> {
    let txn = parse::<gateway::Txn>(text)?;
    if txn.succeeded {
        let revision = txn.header.revision;
        return Ok(Reply::Applied { revision });
    }
    let range = txn.responses.into_iter().find_map(|r| r.response_range);
    let current = range.and_then(|range| range.kvs.into_iter().next());
    Ok(Reply::Conflict {
        current: current.map(Into::into),
    })
}

/// Converts the reply to a grant or a renewal. A lease without remaining time has lapsed.
fn lease_reply(leased: &gateway::LeaseReply) -> Result<Reply, Failure> {
    if leased.ttl == 0 {
        return Err(Failure::LeaseLapsed);
    }
    Ok(Reply::Leased {
        lease: Lease(leased.id as i64),
        ttl: Duration::from_secs(leased.ttl),
    })
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Failure> {
    serde_json::from_str(text).map_err(|err| {
        log::warn!("store: reply cannot be parsed: {err}");
        Failure::Unknown
    })
}

/// Value of the metric label `kind`.
fn kind_label(call: &Call) -> &'static str {
    match call {
        Call::Get { .. } => "get",
        Call::Scan { .. } => "scan",
        Call::Swap { .. } => "swap",
        Call::Delete { .. } => "delete",
        Call::Grant { .. } => "grant",
        Call::Renew { .. } => "renew",
        Call::Revoke { .. } => "revoke",
    }
}

/// Value of the metric label `reason`.
fn reason_label(failure: Failure) -> &'static str {
    match failure {
        Failure::NotSent => "not-sent",
        Failure::Unknown => "unknown",
        Failure::Unavailable => "unavailable",
        Failure::LeaseLapsed => "lease-lapsed",
    }
}
