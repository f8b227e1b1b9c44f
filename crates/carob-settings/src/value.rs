//! Parsers of values. A parser's error describes what was expected.

use std::{
    fmt::Debug,
    fs,
    net::SocketAddr,
    ops::RangeInclusive,
    path::{Path, PathBuf},
    time::Duration,
};

use bytes::Bytes;
use carob_base::Name;
use log::LevelFilter;

use crate::Secret;

/// A value, or what was expected in its place.
pub(crate) type Parsed<T> = Result<T, String>;

/// Prefix of the value of a secret that is read from a file; the file's path follows.
const FILE_PREFIX: &str = "file:";

pub(crate) const NAME: &str =
    "a name: 1 to 63 of `a-z`, `0-9`, `-`, `_` and `.`, starting with a letter or digit";
pub(crate) const ADDRESS: &str = "an IP address and a port, such as `10.1.2.3:8080`";
pub(crate) const ADDRESSES: &str = "IP addresses with ports, separated by commas";
pub(crate) const SECRET: &str = "a key of at least 16 bytes, or `file:PATH` for the content of a file";
pub(crate) const PATH: &str = "the path of a file that can be read";
pub(crate) const LEVEL: &str = "`error`, `warn`, `info`, `debug` or `trace`";
pub(crate) const DURATION: &str = "a duration such as `250ms`, `10s`, `5m` or `1h`";
pub(crate) const SIZE: &str = "a size such as `512B`, `64KiB` or `4MiB`";

pub(crate) fn name(text: &str) -> Parsed<Name> {
    Name::new(text).map_err(|_invalid| NAME.to_owned())
}

pub(crate) fn address(text: &str) -> Parsed<SocketAddr> {
    text.parse().map_err(|_invalid| ADDRESS.to_owned())
}

/// An address at which other hosts can reach this process: neither the unspecified address nor port 0.
pub(crate) fn reachable(text: &str) -> Parsed<SocketAddr> {
    let address = address(text)?;
    if address.ip().is_unspecified() || address.port() == 0 {
        return Err("an address at which others reach this instance, not `0.0.0.0` or port 0".to_owned());
    }
    Ok(address)
}

pub(crate) fn addresses(text: &str) -> Parsed<Vec<SocketAddr>> {
    let each = text.split(',').map(|part| part.trim().parse());
    each.collect::<Result<_, _>>()
        .map_err(|_invalid| ADDRESSES.to_owned())
}

pub(crate) fn level(text: &str) -> Parsed<LevelFilter> {
    let level = text.parse().ok().filter(|level| *level != LevelFilter::Off);
    level.ok_or_else(|| LEVEL.to_owned())
}

/// A duration within `range`.
pub(crate) fn duration(text: &str, range: RangeInclusive<Duration>) -> Parsed<Duration> {
    const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    let millis = with_unit(text, &UNITS).map(Duration::from_millis);
    within(millis, &range).ok_or_else(|| format!("{DURATION}, from {:?} to {:?}", range.start(), range.end()))
}

/// A size in bytes within `range`.
pub(crate) fn size(text: &str, range: RangeInclusive<u64>) -> Parsed<u64> {
    const UNITS: [(&str, u64); 3] = [("KiB", 1 << 10), ("MiB", 1 << 20), ("B", 1)];
    let bytes = with_unit(text, &UNITS);
    within(bytes, &range).ok_or_else(|| format!("{SIZE}, from {}B to {}B", range.start(), range.end()))
}

/// A count within `range`.
pub(crate) fn count(text: &str, range: RangeInclusive<u64>) -> Parsed<u64> {
    within(text.parse().ok(), &range)
        .ok_or_else(|| format!("a whole number from {} to {}", range.start(), range.end()))
}

/// A key: the value itself, or the content of a file; a relative path is relative to `base`.
pub(crate) fn secret(text: &str, base: &Path) -> Parsed<Secret> {
    let bytes = match text.strip_prefix(FILE_PREFIX) {
        Some(path) => read_key(&base.join(path.trim()))?,
        None => Bytes::copy_from_slice(text.as_bytes()),
    };
    if bytes.len() < Secret::MIN_BYTES {
        return Err(SECRET.to_owned());
    }
    Ok(Secret::new(bytes))
}

/// The path of a readable file; a relative one is relative to `base`.
pub(crate) fn path(text: &str, base: &Path) -> Parsed<PathBuf> {
    let path = base.join(text);
    match fs::File::open(&path) {
        Ok(_) => Ok(path),
        Err(error) => Err(format!("{PATH}; {}: {error}", path.display())),
    }
}

/// The content of a file without trailing white space, such as the final line end.
fn read_key(path: &Path) -> Parsed<Bytes> {
    let content = fs::read(path).map_err(|error| format!("{SECRET}; {}: {error}", path.display()))?;
    Ok(Bytes::copy_from_slice(content.trim_ascii_end()))
}

/// A whole number with one of `units`, converted by the unit's factor.
fn with_unit(text: &str, units: &[(&str, u64)]) -> Option<u64> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit())?;
    let (number, unit) = text.split_at(unit_start);
    let (_, factor) = units.iter().find(|(name, _)| *name == unit.trim())?;
    number.parse::<u64>().ok()?.checked_mul(*factor)
}

fn within<T: PartialOrd + Debug>(value: Option<T>, range: &RangeInclusive<T>) -> Option<T> {
    value.filter(|value| range.contains(value))
}
