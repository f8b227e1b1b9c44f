//! Every key, declared once.

use std::{path::Path, time::Duration};

use carob_http::listen::Tls;

use crate::{
    Settings,
    value::{self, Checked},
};

const MILLISECOND: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_hours(1);
const KIB: u64 = 1 << 10;
const MIB: u64 = 1 << 20;

carob_base::plain! {
    /// What holds if a key is left out.
    pub(crate) enum Absent {
        /// The file is refused.
        Refused,
        /// The key has no value.
        Unset,
        /// The key has this value.
        Text(&'static str),
    }
}

/// The declaration of a key.
pub(crate) struct Key {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    pub(crate) absent: Absent,
    /// What a value looks like, for the reference page.
    pub(crate) form: &'static str,
    pub(crate) about: &'static str,
    /// Checks a value and puts it into the settings; paths in it are taken from the given directory.
    pub(crate) read: fn(&mut Settings, &str, &Path) -> Checked<()>,
}

impl Key {
    const fn new(
        section: &'static str,
        name: &'static str,
        absent: Absent,
        form: &'static str,
        about: &'static str,
        read: fn(&mut Settings, &str, &Path) -> Checked<()>,
    ) -> Self {
        Self {
            section,
            name,
            absent,
            form,
            about,
            read,
        }
    }
}

fn set<T>(field: &mut T, value: Checked<T>) -> Checked<()> {
    *field = value?;
    Ok(())
}

fn set_count(field: &mut usize, text: &str, least: u64, most: u64) -> Checked<()> {
    set(
        field,
        value::count(text, least..=most).map(|count| count as usize),
    )
}

fn set_size(field: &mut usize, text: &str, least: u64, most: u64) -> Checked<()> {
    set(field, value::size(text, least..=most).map(|size| size as usize))
}

fn set_duration(field: &mut Duration, text: &str, least: Duration, most: Duration) -> Checked<()> {
    set(field, value::duration(text, least..=most))
}

/// The TLS files; one of them may still be missing.
fn tls(settings: &mut Settings) -> &mut Tls {
    settings.callers.tls.get_or_insert_with(|| Tls {
        cert: std::path::PathBuf::new(),
        key: std::path::PathBuf::new(),
    })
}

const REFUSED: Absent = Absent::Refused;
const UNSET: Absent = Absent::Unset;

const fn or(text: &'static str) -> Absent {
    Absent::Text(text)
}

/// The keys in the order of the reference page.
pub(crate) const KEYS: &[Key] = &[
    Key::new(
        "instance",
        "name",
        REFUSED,
        "name",
        "Name of the instance, unique in the fleet.",
        |s, text, _| set(&mut s.instance.name, value::name(text)),
    ),
    Key::new(
        "instance",
        "domain",
        REFUSED,
        "name",
        "Failure domain that the instance runs in.",
        |s, text, _| set(&mut s.instance.domain, value::name(text)),
    ),
    Key::new(
        "instance",
        "region",
        REFUSED,
        "name",
        "Region of the failure domain.",
        |s, text, _| set(&mut s.instance.region, value::name(text)),
    ),
    Key::new(
        "instance",
        "leave_delay",
        or("5s"),
        "duration",
        "How long requests are still taken after SIGTERM, until the balancer has learnt of it.",
        |s, text, _| set_duration(&mut s.instance.leave_delay, text, Duration::ZERO, HOUR),
    ),
    Key::new(
        "callers",
        "address",
        or("0.0.0.0:8080"),
        "address",
        "Where callers are served.",
        |s, text, _| set(&mut s.callers.address, value::address(text)),
    ),
    Key::new(
        "callers",
        "max_connections",
        or("4096"),
        "number",
        "Most open connections of callers; more are refused with status 503.",
        |s, text, _| set_count(&mut s.callers.max_connections, text, 1, 1_000_000),
    ),
    Key::new(
        "callers",
        "max_requests",
        or("1024"),
        "number",
        "Most requests in progress, queued ones included; more are refused with status 503.",
        |s, text, _| set_count(&mut s.callers.max_requests, text, 1, 100_000),
    ),
    Key::new(
        "callers",
        "head_limit",
        or("16KiB"),
        "size",
        "Largest request head.",
        |s, text, _| set_size(&mut s.callers.head_limit, text, KIB, MIB),
    ),
    Key::new(
        "callers",
        "body_limit",
        or("4MiB"),
        "size",
        "Largest request body.",
        |s, text, _| set_size(&mut s.callers.body_limit, text, KIB, 1024 * MIB),
    ),
    Key::new(
        "callers",
        "head_timeout",
        or("10s"),
        "duration",
        "Time from the first byte of a request head to its last; also for a TLS handshake.",
        |s, text, _| set_duration(&mut s.callers.head_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "body_timeout",
        or("30s"),
        "duration",
        "Time from the end of the head to the end of the body.",
        |s, text, _| set_duration(&mut s.callers.body_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "idle_timeout",
        or("60s"),
        "duration",
        "Time without a request after which a caller's connection is closed.",
        |s, text, _| set_duration(&mut s.callers.idle_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "send_bytes",
        or("256KiB"),
        "size",
        "Most bytes of one response that wait for a slow caller.",
        |s, text, _| set_size(&mut s.callers.send_bytes, text, KIB, 1024 * MIB),
    ),
    Key::new(
        "callers",
        "send_chunks",
        or("256"),
        "number",
        "Most pieces of one response that wait for a slow caller.",
        |s, text, _| set_count(&mut s.callers.send_chunks, text, 1, 1_000_000),
    ),
    Key::new(
        "callers",
        "send_timeout",
        or("30s"),
        "duration",
        "Time for which a caller may take nothing of what waits for it before it is cut off.",
        |s, text, _| set_duration(&mut s.callers.send_timeout, text, MILLISECOND, HOUR),
    ),
    Key::new(
        "callers",
        "tls_cert",
        UNSET,
        "path",
        "PEM file with the certificate chain. Together with `tls_key` it turns TLS on.",
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
        or("127.0.0.1:9090"),
        "address",
        "Where operators are served. It bounds no connections: keep it off the callers' network.",
        |s, text, _| set(&mut s.admin.address, value::address(text)),
    ),
    Key::new(
        "admin",
        "key",
        UNSET,
        "key",
        "Key that operators send with change tickets. Without one, none are taken at this address.",
        |s, text, base| set(&mut s.admin.key, value::secret(text, base).map(Some)),
    ),
    Key::new(
        "peers",
        "address",
        REFUSED,
        "address",
        "Where other instances reach this one, by TCP and UDP.",
        |s, text, _| set(&mut s.peers.address, value::reachable(text)),
    ),
    Key::new(
        "peers",
        "key",
        REFUSED,
        "key",
        "Key that authenticates instances to each other; the same on every instance.",
        |s, text, base| set(&mut s.peers.key, value::secret(text, base)),
    ),
    Key::new(
        "store",
        "endpoints",
        REFUSED,
        "addresses",
        "The platform's key-value service; the next endpoint is tried when one refuses the connection.",
        |s, text, _| set(&mut s.store.endpoints, value::addresses(text)),
    ),
    Key::new(
        "store",
        "timeout",
        or("2s"),
        "duration",
        "Time for one call to the service.",
        |s, text, _| set_duration(&mut s.store.timeout, text, SECOND, HOUR),
    ),
    Key::new(
        "list",
        "address",
        UNSET,
        "address",
        "The platform's instance list. Without one, only instances that make themselves known are found.",
        |s, text, _| set(&mut s.list.address, value::address(text).map(Some)),
    ),
    Key::new(
        "answers",
        "key",
        REFUSED,
        "key",
        "Key that authenticates the ids of answers; the same on every instance.",
        |s, text, base| set(&mut s.answers.key, value::secret(text, base)),
    ),
    Key::new(
        "upstreams",
        "poll_interval",
        or("1s"),
        "duration",
        "Time between two load reports that are asked of an upstream.",
        |s, text, _| set_duration(&mut s.upstreams.poll_interval, text, 10 * MILLISECOND, HOUR),
    ),
    Key::new(
        "log",
        "level",
        or("info"),
        "level",
        "Least severe level that is written to standard error.",
        |s, text, _| set(&mut s.log.level, value::level(text)),
    ),
];
