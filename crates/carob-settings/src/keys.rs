//! The declarations of all keys.

use std::{path::Path, time::Duration};

use carob_http::listen::Tls;

use crate::{
    Settings,
    value::{self, Parsed},
};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

carob_base::plain! {
    /// The value of a key that the file lacks.
    pub(crate) enum DefaultValue {
        /// The key is required: its absence is an error.
        Required,
        /// The key stays without a value.
        Unset,
        /// The key has this value, which passes the same check as one in the file.
        Value(&'static str),
    }
}

/// The declaration of one key.
pub(crate) struct Key {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) default: DefaultValue,
    /// Type of the value, one of the forms that the reference page explains.
    pub(crate) form: &'static str,
    /// Description for the reference page.
    pub(crate) description: &'static str,
    /// Checks a value and stores it in the settings. Relative paths in it start at the given directory.
    pub(crate) parse: fn(&mut Settings, &str, &Path) -> Parsed<()>,
}

impl Key {
    const fn new(
        section: &'static str,
        name: &'static str,
        default: DefaultValue,
        form: &'static str,
        description: &'static str,
        parse: fn(&mut Settings, &str, &Path) -> Parsed<()>,
    ) -> Self {
        Self {
            section,
            name,
            default,
            form,
            description,
            parse,
        }
    }
}

fn set<T>(field: &mut T, value: Parsed<T>) -> Parsed<()> {
    *field = value?;
    Ok(())
}

fn set_count(field: &mut usize, text: &str, min: u64, max: u64) -> Parsed<()> {
    set(field, value::count(text, min..=max).map(|count| count as usize))
}

fn set_size(field: &mut usize, text: &str, min: u64, max: u64) -> Parsed<()> {
    set(field, value::size(text, min..=max).map(|size| size as usize))
}

fn set_duration(field: &mut Duration, text: &str, min: Duration, max: Duration) -> Parsed<()> {
    set(field, value::duration(text, min..=max))
}

/// The paths of the TLS files. The one that was not read yet, or is absent, is empty.
fn tls(settings: &mut Settings) -> &mut Tls {
    settings.callers.tls.get_or_insert_with(|| Tls {
        cert: std::path::PathBuf::new(),
        key: std::path::PathBuf::new(),
    })
}

const REQUIRED: DefaultValue = DefaultValue::Required;
const UNSET: DefaultValue = DefaultValue::Unset;

const fn default(text: &'static str) -> DefaultValue {
    DefaultValue::Value(text)
}

/// All keys, in the order of the reference page.
pub(crate) const KEYS: &[Key] = &[
    Key::new(
        "instance",
        "name",
        REQUIRED,
        "name",
        "Name of the instance, unique in the fleet.",
        |s, text, _| set(&mut s.instance.name, value::name(text)),
    ),
    Key::new(
        "instance",
        "domain",
        REQUIRED,
        "name",
        "Failure domain that the instance runs in.",
        |s, text, _| set(&mut s.instance.domain, value::name(text)),
    ),
    Key::new(
        "instance",
        "region",
        REQUIRED,
        "name",
        "Region of the failure domain.",
        |s, text, _| set(&mut s.instance.region, value::name(text)),
    ),
    Key::new(
        "instance",
        "leave_delay",
        default("5s"),
        "duration",
        "How long requests are still accepted after SIGTERM, while the load balancer learns of the shutdown.",
        |s, text, _| set_duration(&mut s.instance.leave_delay, text, Duration::ZERO, HOUR),
    ),
    Key::new(
        "callers",
        "address",
        default("0.0.0.0:8080"),
        "address",
        "Address of the callers' listener.",
        |s, text, _| set(&mut s.callers.address, value::address(text)),
    ),
    Key::new(
        "callers",
        "max_connections",
        default("4096"),
        "number",
        "Maximum number of open connections of callers; further ones are refused with status 503.",
        |s, text, _| set_count(&mut s.callers.max_connections, text, 1, 1_000_000),
    ),
    Key::new(
        "callers",
        "max_requests",
        default("1024"),
        "number",
        "Maximum number of requests in progress, queued ones included; further ones are refused with status 503.",
        |s, text, _| set_count(&mut s.callers.max_requests, text, 1, 100_000),
    ),
    Key::new(
        "callers",
        "head_limit",
        default("16KiB"),
        "size",
        "Maximum size of a request head.",
        |s, text, _| set_size(&mut s.callers.head_limit, text, KIB, MIB),
    ),
    Key::new(
        "callers",
        "body_limit",
        default("4MiB"),
        "size",
        "Maximum size of a request body.",
        |s, text, _| set_size(&mut s.callers.body_limit, text, KIB, 1024 * MIB),
    ),
    Key::new(
        "callers",
        "head_timeout",
        default("10s"),
        "duration",
        "Maximum time from the first byte of a request head to its last; also for a TLS handshake.",
        |s, text, _| set_duration(&mut s.callers.head_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "body_timeout",
        default("30s"),
        "duration",
        "Maximum time from the end of the request head to the end of the body.",
        |s, text, _| set_duration(&mut s.callers.body_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "idle_timeout",
        default("60s"),
        "duration",
        "Time without a request after which a caller's connection is closed.",
        |s, text, _| set_duration(&mut s.callers.idle_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "send_bytes",
        default("256KiB"),
        "size",
        "Maximum number of bytes of one response that are buffered for a slow caller.",
        |s, text, _| set_size(&mut s.callers.send_bytes, text, KIB, 1024 * MIB),
    ),
    Key::new(
        "callers",
        "send_chunks",
        default("256"),
        "number",
        "Maximum number of chunks of one response that are buffered for a slow caller.",
        |s, text, _| set_count(&mut s.callers.send_chunks, text, 1, 1_000_000),
    ),
    Key::new(
        "callers",
        "send_timeout",
        default("30s"),
        "duration",
        "Time for which a caller may read none of the buffered bytes before its connection is closed.",
        |s, text, _| set_duration(&mut s.callers.send_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "tls_cert",
        UNSET,
        "path",
        "PEM file with the certificate chain. Together with `tls_key` it enables TLS.",
        |s, text, base| set(&mut tls(s).cert, value::path(text, base)),
    ),
    Key::new(
        "callers",
        "tls_key",
        UNSET,
        "path",
        "PEM file with the certificate's private key.",
        |s, text, base| set(&mut tls(s).key, value::path(text, base)),
    ),
    Key::new(
        "admin",
        "address",
        default("127.0.0.1:9090"),
        "address",
        "Address of the operators' listener. Its connections are not limited: keep it off the callers' network.",
        |s, text, _| set(&mut s.admin.address, value::address(text)),
    ),
    Key::new(
        "admin",
        "key",
        UNSET,
        "key",
        "Key that operators send with change tickets. Without one, no tickets are accepted at this address.",
        |s, text, base| set(&mut s.admin.key, value::secret(text, base).map(Some)),
    ),
    Key::new(
        "peers",
        "address",
        REQUIRED,
        "address",
        "Address at which other instances reach this one, by TCP and UDP.",
        |s, text, _| set(&mut s.peers.address, value::reachable(text)),
    ),
    Key::new(
        "peers",
        "key",
        REQUIRED,
        "key",
        "Key that authenticates instances to each other; the same on every instance.",
        |s, text, base| set(&mut s.peers.key, value::secret(text, base)),
    ),
    Key::new(
        "store",
        "endpoints",
        REQUIRED,
        "addresses",
        "The platform's key-value service; the next endpoint is tried when one refuses the connection.",
        |s, text, _| set(&mut s.store.endpoints, value::addresses(text)),
    ),
    Key::new(
        "store",
        "timeout",
        default("2s"),
        "duration",
        "Timeout of one call to the service.",
        |s, text, _| set_duration(&mut s.store.timeout, text, SECOND, HOUR),
    ),
    Key::new(
        "list",
        "address",
        UNSET,
        "address",
        "The platform's instance list. Without one, only instances that contact this one are found.",
        |s, text, _| set(&mut s.list.address, value::address(text).map(Some)),
    ),
    Key::new(
        "answers",
        "key",
        REQUIRED,
        "key",
        "Key that authenticates the ids of answers; the same on every instance.",
        |s, text, base| set(&mut s.answers.key, value::secret(text, base)),
    ),
    Key::new(
        "upstreams",
        "poll_interval",
        default("1s"),
        "duration",
        "Time between two requests for the load report of an upstream.",
        |s, text, _| set_duration(&mut s.upstreams.poll_interval, text, 10 * MILLISECOND, HOUR),
    ),
    Key::new(
        "log",
        "level",
        default("info"),
        "level",
        "Least severe level that is written to standard error.",
        |s, text, _| set(&mut s.log.level, value::level(text)),
    ),
];
