//! The gateway's settings file (INI).
//!
//! | section | key | meaning |
//! | --- | --- | --- |
//! | `instance` | `name`, `domain` | this instance and its failure domain |
//! | | `memory` | memory of the instance, such as `88MB`; may be absent |
//! | | `regions` | `domain:region` for each failure domain, separated by commas |
//! | `callers` | `address`, `ready` | listeners for requests and for readiness checks |
//! | | `connections` | maximum number of open client connections |
//! | | `bodies` | maximum number of bytes of all bodies held in memory; a quarter of `memory` if absent |
//! | `admin` | `address` | listener for metrics |
//! | `peers` | `address` | UDP datagrams and TCP transfers between instances |
//! | | `seeds` | initially known instances, separated by commas; their port is that of `address` |
//! | `upstreams` | `source` | own IP address that connections to upstreams are made from; may be absent |
//! | `store` | `address` | the platform's key-value store |
//! | `leaving` | `upstream` | how long an upstream keeps serving after it announced that it leaves |
//! | | `grace` | time from the signal to shut down until the instance is killed |
//! | `cold` | `overage`, `slack` | requests that a cold upstream may get in a second: its rate times `overage`, plus `slack`; may be absent |
//! | `retries` | `ratio`, `extra`, `window` | retry budget per service, shared by all instances |

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    path::Path,
    time::Duration,
};

use carob_dispatch::limits::ColdOptions;
use carob_ini::{Error, Errors};

use crate::memory::{body_share, memory_of_bodies};

/// The settings of a gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the instance; the key of its registration in the store ends with it.
    pub name: Box<str>,
    /// Failure domain of the instance.
    pub domain: Box<str>,
    /// Region of each failure domain.
    pub regions: HashMap<Box<str>, Box<str>>,
    /// Memory of the instance in bytes; four times `body_memory` if the file does not state it.
    pub memory: usize,
    /// Listener for client requests.
    pub caller_address: SocketAddr,
    /// Listener for the platform's readiness checks.
    pub ready_address: SocketAddr,
    /// Maximum number of open client connections.
    pub max_connections: usize,
    /// Maximum number of bytes of request bodies and buffered responses held in memory, all together.
    pub body_memory: usize,
    /// Listener for metrics.
    pub admin_address: SocketAddr,
    /// Address of this instance for UDP datagrams and TCP transfers between instances.
    pub peer_address: SocketAddr,
    /// Hosts of the initially known instances; their port is that of `peer_address`.
    pub seeds: Vec<IpAddr>,
    /// Own address that connections to upstreams are made from; `None` leaves the choice to the system.
    pub source: Option<IpAddr>,
    /// Address of the platform's key-value store.
    pub store_address: SocketAddr,
    /// How long an upstream keeps serving after it announced that it leaves.
    pub drain: Duration,
    /// Time from the signal to shut down until the instance is killed.
    pub grace: Duration,
    /// How far a second may exceed the rate of a cold upstream.
    pub cold: ColdOptions,
    /// Retries permitted per request, from 0 to 1, over all instances.
    pub retry_ratio: f64,
    /// Retries permitted per window in addition to the ratio, over all instances.
    pub extra_retries: f64,
    /// Length of the window over which the retry budget is counted.
    pub retry_window: Duration,
}

struct Reader<'a> {
    file: &'a str,
    sections: Vec<carob_ini::Section>,
    /// Sections and keys that were read.
    used: Vec<(&'static str, &'static str)>,
    errors: Vec<Error>,
}

impl Settings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file, or a single one if it cannot be read.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|error| {
            Errors(vec![Error {
                file: file.clone(),
                line: 1,
                section: String::new(),
                key: String::new(),
                expected: format!("a file that can be read: {error}"),
            }])
        })?;
        Self::parse(&text, &file)
    }

    /// Parses `text`; `file` is the name of its file in errors.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text.
    pub fn parse(text: &str, file: &str) -> Result<Self, Errors> {
        let sections = carob_ini::sections(text, file).map_err(Errors)?;
        let mut reader = Reader {
            file,
            sections,
            used: Vec::new(),
            errors: Vec::new(),
        };
        let settings = reader.settings();
        reader.report_unknown();
        match settings {
            Some(settings) if reader.errors.is_empty() => Ok(settings),
            _ => Err(Errors(reader.errors)),
        }
    }
}

impl Reader<'_> {
    fn settings(&mut self) -> Option<Settings> {
        let name = self.read("instance", "name", "a name", word);
        let domain = self.read("instance", "domain", "a failure domain", word);
        let regions = self.read(
            "instance",
            "regions",
            "`domain:region`, separated by commas",
            regions,
        );
        let callers = self.read("callers", "address", "IP:PORT", address);
        let ready = self.read("callers", "ready", "IP:PORT", address);
        let count = |text: &str| text.parse().ok().filter(|count| *count > 0);
        let connections = self.read("callers", "connections", "a number above 0", count);
        let memory = self.read_optional(
            "instance",
            "memory",
            "a number of megabytes such as `88MB`",
            megabytes,
        );
        let bodies = match memory {
            Some(memory) => self
                .read_optional("callers", "bodies", BODIES, count)
                .or(Some(body_share(memory))),
            None => self.read("callers", "bodies", BODIES, count),
        };
        let admin = self.read("admin", "address", "IP:PORT", address);
        let peers = self.read("peers", "address", "IP:PORT", address);
        let seeds = self.read("peers", "seeds", "IP:PORT, separated by commas", seeds);
        let source = self.read_optional("upstreams", "source", "an IP address", |text| text.parse().ok());
        let store = self.read("store", "address", "IP:PORT", address);
        let drain = self.read("leaving", "upstream", DURATION, duration);
        let grace = self.read("leaving", "grace", DURATION, duration);
        let overage = self.read_optional("cold", "overage", "a number above 1", |text| {
            number(text).filter(|overage| *overage > 1.0)
        });
        let slack = self.read_optional("cold", "slack", "a number", number);
        let cold = ColdOptions::default();
        let ratio = self.read("retries", "ratio", "a number from 0 to 1", |text| {
            number(text).filter(|ratio| *ratio <= 1.0)
        });
        let extra = self.read("retries", "extra", "a number", number);
        let window = self.read("retries", "window", DURATION, |text| {
            duration(text).filter(|window| !window.is_zero())
        });
        Some(Settings {
            name: name?,
            domain: domain?,
            regions: regions?,
            memory: memory.unwrap_or(memory_of_bodies(bodies?)),
            caller_address: callers?,
            ready_address: ready?,
            max_connections: connections?,
            body_memory: bodies?,
            admin_address: admin?,
            peer_address: peers?,
            seeds: seeds?,
            source,
            store_address: store?,
            drain: drain?,
            grace: grace?,
            cold: ColdOptions {
                overage: overage.unwrap_or(cold.overage),
                slack: slack.unwrap_or(cold.slack),
            },
            retry_ratio: ratio?,
            extra_retries: extra?,
            retry_window: window?,
        })
    }

    fn read<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        self.used.push((section, key));
        let pairs = self.sections.iter().filter(|found| found.title == section);
        let found = pairs.flat_map(|found| &found.pairs).find(|pair| pair.key == key);
        let line = found.map_or(1, |pair| pair.line);
        let value = found.and_then(|pair| parse(pair.value.trim()));
        if value.is_none() {
            self.fail(line, section, key, expected);
        }
        value
    }

    fn read_optional<T>(
        &mut self,
        section: &'static str,
        key: &'static str,
        expected: &str,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let mut pairs = self.sections.iter().filter(|found| found.title == section);
        if pairs.any(|found| found.pairs.iter().any(|pair| pair.key == key)) {
            return self.read(section, key, expected, parse);
        }
        None
    }

    /// Reports keys that belong to no setting, since a misspelled one would silently have no effect.
    fn report_unknown(&mut self) {
        let mut unknown = Vec::new();
        for section in &self.sections {
            for pair in &section.pairs {
                let known = self
                    .used
                    .iter()
                    .any(|(title, key)| *title == section.title && *key == pair.key);
                if !known {
                    unknown.push((pair.line, section.title.clone(), pair.key.clone()));
                }
            }
        }
        for (line, section, key) in unknown {
            self.fail(line, &section, &key, "a key that is known");
        }
    }

    fn fail(&mut self, line: usize, section: &str, key: &str, expected: &str) {
        self.errors.push(Error {
            file: self.file.to_owned(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            expected: expected.to_owned(),
        });
    }
}

const BODIES: &str = "a number of bytes above 0";

const DURATION: &str = "a duration such as `8s` or `2500ms`";

fn word(text: &str) -> Option<Box<str>> {
    (!text.is_empty()).then(|| text.into())
}

fn address(text: &str) -> Option<SocketAddr> {
    text.parse().ok()
}

fn number(text: &str) -> Option<f64> {
    text.parse()
        .ok()
        .filter(|number: &f64| number.is_finite() && *number >= 0.0)
}

fn megabytes(text: &str) -> Option<usize> {
    let megabytes = number(text.strip_suffix("MB")?.trim())?;
    (megabytes >= 1.0).then_some((megabytes * 1e6) as usize)
}

fn duration(text: &str) -> Option<Duration> {
    let seconds = match text.strip_suffix("ms") {
        Some(millis) => number(millis.trim())? / 1e3,
        None => number(text.strip_suffix('s')?.trim())?,
    };
    Duration::try_from_secs_f64(seconds).ok()
}

fn regions(text: &str) -> Option<HashMap<Box<str>, Box<str>>> {
    let pair = |part: &str| {
        let (domain, region) = part.split_once(':')?;
        Some((domain.trim().into(), region.trim().into()))
    };
    text.split(',').map(pair).collect()
}

fn seeds(text: &str) -> Option<Vec<IpAddr>> {
    let parts = text.split(',').map(str::trim).filter(|part| !part.is_empty());
    parts
        .map(|part| address(part).map(|address| address.ip()))
        .collect()
}
