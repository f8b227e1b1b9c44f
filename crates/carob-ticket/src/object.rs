//! Parses one object from its section.

use std::time::Duration;

use carob_base::Name;
use carob_config::{Account, Fencing, Route, Service, ServiceKind, Upstream, Weights};
use carob_ini::{Error, Section};
use smallvec::SmallVec;

use crate::{
    field::{self, Fields, NAME},
    ticket::Change,
};

/// Default of a service's `patience`.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of a service's `max-tokens`.
const MAX_TOKENS: u32 = 32_768;
/// Default of a service's `retry-percent`.
const RETRY_PERCENT: u16 = 10;
/// Default of an account's `max-open`.
const MAX_REQUESTS: u32 = 1_000;

/// What is expected of a section's title.
const SECTION_TITLE: &str = "[ticket], [service NAME], [account NAME], [route NAME] or [upstream NAME], NAME of a-z, 0-9, '-', '_' and '.'";

/// Parses the new state of one object; `state = absent` removes it.
pub(crate) fn change(section: &Section, file: &str) -> Result<Change, Error> {
    let (kind, name) = field::split_title(section);
    let unknown = || field::section_error(section, file, SECTION_TITLE);
    if !matches!(kind, "service" | "account" | "route" | "upstream") {
        return Err(unknown());
    }
    let name = Name::new(name).ok().ok_or_else(unknown)?;
    let mut fields = Fields::new(section, file)?;
    let present = fields.optional("state", true, "present or absent", |text| match text {
        "present" => Some(true),
        "absent" => Some(false),
        _ => None,
    })?;
    if !present {
        fields.finish()?;
        return Ok(match kind {
            "service" => Change::Service(name, None),
            "account" => Change::Account(name, None),
            "route" => Change::Route(name, None),
            _ => Change::Upstream(name, None),
        });
    }
    let key = name.clone();
    let change = match kind {
        "service" => Change::Service(key, Some(service(name, &mut fields)?)),
        "account" => Change::Account(key, Some(account(name, &mut fields)?)),
        "route" => Change::Route(key, Some(route(name, &mut fields)?)),
        _ => Change::Upstream(key, Some(upstream(name, &mut fields)?)),
    };
    fields.finish()?;
    Ok(change)
}

fn service(name: Name, fields: &mut Fields<'_>) -> Result<Service, Error> {
    let kind = fields.required("kind", "generation or plain", kind)?;
    let model = match kind {
        ServiceKind::Generation => Some(fields.name("model")?),
        ServiceKind::Plain => None,
    };
    let response_timeout = fields.optional(
        "patience",
        RESPONSE_TIMEOUT,
        "a time such as 10s or 250ms",
        field::parse_duration,
    )?;
    let weights = Weights {
        stall: fields.number_or("stall", 1)?,
        preempt: fields.number_or("preempt", 1)?,
    };
    Ok(Service {
        name,
        kind,
        model,
        weights,
        response_timeout,
        max_tokens: fields.number_or("max-tokens", MAX_TOKENS)?,
        retry_percent: fields.number_or("retry-percent", RETRY_PERCENT)?,
    })
}

fn account(name: Name, fields: &mut Fields<'_>) -> Result<Account, Error> {
    let names = |text: &str| field::parse_list(text, |item| Name::new(item).ok());
    Ok(Account {
        name,
        key_hash: fields.required("key-sha256", "64 hexadecimal digits", field::parse_digest)?,
        weight: fields.number_or("share", 1)?,
        max_requests: fields.number_or("max-open", MAX_REQUESTS)?,
        services: fields.optional("services", SmallVec::new(), "names between commas", names)?,
    })
}

fn route(name: Name, fields: &mut Fields<'_>) -> Result<Route, Error> {
    Ok(Route {
        name,
        path: fields.required(
            "path",
            "a path that starts with '/', without blanks, '?' and '#'",
            path,
        )?,
        methods: fields.optional(
            "methods",
            SmallVec::new(),
            "upper-case methods between commas",
            |text| field::parse_list(text, method),
        )?,
        service: fields.name("service")?,
        idempotent: fields.required("idempotent", "yes or no", parse_bool)?,
    })
}

fn upstream(name: Name, fields: &mut Fields<'_>) -> Result<Upstream, Error> {
    Ok(Upstream {
        name,
        service: fields.name("service")?,
        address: fields.required("address", "an IP address with a port", |text| text.parse().ok())?,
        domain: fields.required("domain", NAME, |text| Name::new(text).ok())?,
        region: fields.name("region")?,
        fencing: fields.optional("fencing", Fencing::Ignores, "checks or ignores", fencing)?,
        memory: fields.number_or("memory", 0)?,
        slots: fields.number_or("slots", 0)?,
    })
}

fn kind(text: &str) -> Option<ServiceKind> {
    match text {
        "generation" => Some(ServiceKind::Generation),
        "plain" => Some(ServiceKind::Plain),
        _ => None,
    }
}

fn fencing(text: &str) -> Option<Fencing> {
    match text {
        "checks" => Some(Fencing::Checks),
        "ignores" => Some(Fencing::Ignores),
        _ => None,
    }
}

fn parse_bool(text: &str) -> Option<bool> {
    match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    }
}

fn path(text: &str) -> Option<String> {
    let valid = text.starts_with('/') && !text.contains([' ', '\t', '?', '#']);
    valid.then(|| text.to_owned())
}

fn method(text: &str) -> Option<String> {
    let valid = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_uppercase());
    valid.then(|| text.to_owned())
}
