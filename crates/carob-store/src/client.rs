//! Carries calls out over etcd v3's JSON gateway.

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

/// How to reach the store.
#[derive(Clone, Debug)]
pub struct Options {
    /// Endpoints; the next one is tried when a connection is refused.
    pub addresses: Vec<SocketAddr>,
    /// Longest time for a call, in whole seconds. Default: 2 s.
    pub timeout: Duration,
    /// Longest reply, in bytes. Default: 16 MiB.
    pub reply_limit: u64,
}

impl Options {
    /// Defaults for a store at `addresses`.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self {
            addresses,
            timeout: Duration::from_secs(2),
            reply_limit: 16 << 20,
        }
    }
}

/// A client of the store. Calls block; threads share it behind an `Arc`.
#[derive(Debug)]
pub struct Client {
    options: Options,
    /// Index of the endpoint that answered last.
    endpoint: AtomicUsize,
}

impl Client {
    /// A client; nothing is sent before the first call.
    pub fn new(options: Options) -> Self {
        Self {
            options,
            endpoint: AtomicUsize::new(0),
        }
    }

    /// Carries `call` out.
    ///
    /// # Errors
    ///
    /// See [`Failure`]: after [`Failure::Unknown`] a change may have taken effect.
    pub fn call(&self, call: &Call) -> Result<Reply, Failure> {
        let kind = kind(call);
        metrics::counter!("carob_store_calls_total", "kind" => kind).increment(1);
        let result = self.exchange(call);
        if let Err(failure) = &result {
            let reason = reason(*failure);
            metrics::counter!("carob_store_failures_total", "kind" => kind, "reason" => reason).increment(1);
        }
        result
    }

    /// Opens a watch of every key that starts with `prefix`, from the store's revision `from` on.
    ///
    /// The watch ends after `deadline` (whole seconds); open the next one from [`Watch::next_revision`].
    ///
    /// # Errors
    ///
    /// Returns [`Failure`] if the watch could not be opened.
    pub fn watch(&self, prefix: &[u8], from: u64, deadline: Duration) -> Result<Watch, Failure> {
        metrics::counter!("carob_store_calls_total", "kind" => "watch").increment(1);
        let body = gateway::watch(prefix, from).to_string();
        let response = self.each_endpoint(|address| {
            post(address, "/v3/watch", &body, deadline)
                .send_lazy()
                .map_err(|err| failure(&err))
        })?;
        check_status(response.status_code, "")?;
        Ok(Watch::new(response, from))
    }

    fn exchange(&self, call: &Call) -> Result<Reply, Failure> {
        let (path, body) = gateway::request(call);
        let body = body.to_string();
        let text = self.each_endpoint(|address| self.send(address, path, &body))?;
        reply(call, &text)
    }

    /// Tries the endpoints in turn until one takes the request.
    fn each_endpoint<T>(&self, mut send: impl FnMut(SocketAddr) -> Result<T, Failure>) -> Result<T, Failure> {
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
            .map_err(|err| failure(&err))?;
        let status = response.status_code;
        let mut text = String::new();
        let mut limited = io::Read::take(response, self.options.reply_limit);
        io::Read::read_to_string(&mut limited, &mut text).map_err(|err| lost(&err))?;
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

fn lost(err: &io::Error) -> Failure {
    log::debug!("store: reply lost: {err}");
    Failure::Unknown
}

/// Only a refused connection proves that nothing was sent.
fn failure(err: &minreq::Error) -> Failure {
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

fn reply(call: &Call, text: &str) -> Result<Reply, Failure> {
    match call {
        Call::Get { .. } | Call::Scan { .. } => {
            let range = parse::<gateway::Range>(text)?;
            Ok(Reply::Entries {
                entries: range.kvs.into_iter().map(Into::into).collect(),
                revision: range.header.revision,
            })
        }
        Call::Swap { .. } | Call::Delete { .. } => transaction(text),
        Call::Grant { .. } => leased(&parse(text)?),
        Call::Renew { .. } => {
            let line = parse::<gateway::Line<gateway::Leased>>(text.lines().next().unwrap_or_default())?;
            leased(&line.result.ok_or(Failure::Unknown)?)
        }
        Call::Revoke { .. } => Ok(Reply::Applied { revision: 0 }),
    }
}

fn transaction(text: &str) -> Result<Reply, Failure> {
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

/// A renewed lease with no time left has lapsed.
fn leased(leased: &gateway::Leased) -> Result<Reply, Failure> {
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
        log::warn!("store: reply is not understood: {err}");
        Failure::Unknown
    })
}

fn kind(call: &Call) -> &'static str {
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

fn reason(failure: Failure) -> &'static str {
    match failure {
        Failure::NotSent => "not-sent",
        Failure::Unknown => "unknown",
        Failure::Unavailable => "unavailable",
        Failure::LeaseLapsed => "lease-lapsed",
    }
}
