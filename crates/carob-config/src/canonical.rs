//! The canonical text of objects: one INI section per object, with its keys in a fixed order.
//!
//! Digests are computed over this text and tickets are stored in it, so it must not change. A key that is
//! added later has to be left out while it has its default value: then binaries of different versions agree
//! on the digest of every configuration that both of them understand.

use std::{
    fmt::{Display, Write},
    time::Duration,
};

use crate::object::{Account, Fencing, Route, Service, ServiceKind, Upstream};

/// Builds INI text section by section.
#[derive(Clone, Debug, Default)]
pub struct Writer {
    text: String,
}

impl Writer {
    /// A writer whose text is empty.
    pub fn new() -> Self {
        Self::default()
    }

    /// Writes the title of a section, `[kind name]`.
    pub fn section(&mut self, kind: &str, name: impl Display) {
        self.line(format_args!("[{kind} {name}]"));
    }

    /// Writes the line `key = value`.
    pub fn key(&mut self, key: &str, value: impl Display) {
        self.line(format_args!("{key} = {value}"));
    }

    /// Writes a key with comma-separated values, or nothing if there are none.
    pub fn list<T: Display>(&mut self, key: &str, values: &[T]) {
        if values.is_empty() {
            return;
        }
        let values: Vec<_> = values.iter().map(ToString::to_string).collect();
        self.key(key, values.join(","));
    }

    /// Writes `line` as it is, with a line end.
    pub fn line(&mut self, line: impl Display) {
        writeln!(self.text, "{line}").expect("writing to a string cannot fail");
    }

    /// Writes the section of a service.
    pub fn service(&mut self, service: &Service) {
        self.section("service", &service.name);
        self.key("kind", kind_text(service.kind));
        if let Some(model) = &service.model {
            self.key("model", model);
        }
        self.key("stall", service.weights.stall);
        self.key("preempt", service.weights.preempt);
        self.key("patience", duration_text(service.response_timeout));
        self.key("max-tokens", service.max_tokens);
        self.key("retry-percent", service.retry_percent);
    }

    /// Writes the section of a client account.
    pub fn account(&mut self, account: &Account) {
        self.section("account", &account.name);
        self.key("key-sha256", hex_text(&account.key_hash));
        self.key("share", account.weight);
        self.key("max-open", account.max_requests);
        self.list("services", &account.services);
    }

    /// Writes the section of a route.
    pub fn route(&mut self, route: &Route) {
        self.section("route", &route.name);
        self.key("path", &route.path);
        self.list("methods", &route.methods);
        self.key("service", &route.service);
        self.key("idempotent", if route.idempotent { "yes" } else { "no" });
    }

    /// Writes the section of an upstream.
    pub fn upstream(&mut self, upstream: &Upstream) {
        self.section("upstream", &upstream.name);
        self.key("service", &upstream.service);
        self.key("address", upstream.address);
        self.key("domain", &upstream.domain);
        self.key("region", &upstream.region);
        self.key("fencing", fencing_text(upstream.fencing));
        self.key("memory", upstream.memory);
        self.key("slots", upstream.slots);
    }

    /// The text written so far.
    pub fn finish(self) -> String {
        self.text
    }
}

/// The value of the key `kind` in tickets.
pub fn kind_text(kind: ServiceKind) -> &'static str {
    match kind {
        ServiceKind::Generation => "generation",
        ServiceKind::Plain => "plain",
    }
}

/// The value of the key `fencing` in tickets.
pub fn fencing_text(fencing: Fencing) -> &'static str {
    match fencing {
        Fencing::Checks => "checks",
        Fencing::Ignores => "ignores",
    }
}

/// `duration` in whole milliseconds, rounded down, such as `250ms`.
pub fn duration_text(duration: Duration) -> String {
    format!("{}ms", duration.as_millis())
}

/// `bytes` in lower-case hexadecimal digits.
pub fn hex_text(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a string cannot fail");
        text
    })
}
