//! The text form of a workload.
//!
//! A small INI file with one `[workload]` section and any number of `[phase NAME]`, `[class NAME]` and
//! `[account NAME]` sections. Unknown sections and keys are errors.

use std::{str::FromStr, time::Duration};

use ini::{Ini, ParseOption, Properties};

use super::{Account, BehaviourMix, Class, ClassKey, Kind, LengthDistribution, Phase, VERSION, Workload};

/// Most arrivals of a run, unless the workload says otherwise.
const LIMIT: u32 = 10_000;
/// Most exchanges in progress, unless the workload says otherwise.
const OPEN: u32 = 256;
/// Stall threshold, unless the workload says otherwise.
const STALL: Duration = Duration::from_millis(200);
/// A caller's patience, unless the class says otherwise.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Longest wait for a refusal, unless the class says otherwise.
const REFUSAL: Duration = Duration::from_secs(10);
/// Path of generations.
const RESPONSES: &str = "/v1/responses";
/// Most phases, classes or accounts, so that their keys fit.
const SECTION_LIMIT: usize = 1_000;

/// The text is no workload.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not INI.
    #[error("line {line}: {text}")]
    Syntax {
        /// Line, counted from 1.
        line: usize,
        /// What the parser found.
        text: String,
    },
    /// A section is unknown, missing or repeated.
    #[error("section [{section}]: {text}")]
    Section {
        /// The section.
        section: String,
        /// What is wrong with it.
        text: &'static str,
    },
    /// A key is unknown, or its value is not what was expected.
    #[error("section [{section}], key `{key}`: expected {expected}")]
    Key {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// What was expected.
        expected: &'static str,
    },
}

impl FromStr for Workload {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| Error::Syntax {
            line: error.line,
            text: error.msg.into_owned(),
        })?;
        from_ini(&ini)
    }
}

fn from_ini(ini: &Ini) -> Result<Workload, Error> {
    check_names(ini)?;
    let mut workload = head(&Section::single(ini, "workload")?)?;
    for section in Section::all(ini, "phase") {
        workload.phases.push(phase(&section)?);
    }
    for section in Section::all(ini, "class") {
        workload.classes.push(class(&section)?);
    }
    for section in Section::all(ini, "account") {
        let account = account(&section, &workload.classes)?;
        workload.accounts.push(account);
    }
    for (kind, count) in [
        ("phase", workload.phases.len()),
        ("class", workload.classes.len()),
        ("account", workload.accounts.len()),
    ] {
        if !(1..=SECTION_LIMIT).contains(&count) {
            return Err(Section::error(kind, "expected between 1 and 1,000 of these"));
        }
    }
    Ok(workload)
}

/// Refuses unknown and repeated sections.
fn check_names(ini: &Ini) -> Result<(), Error> {
    if !ini.general_section().is_empty() {
        return Err(Section::error("", "keys before the first section"));
    }
    for name in ini.sections().flatten() {
        let kinds = ["phase ", "class ", "account "];
        if name != "workload" && !kinds.iter().any(|kind| name.starts_with(kind)) {
            return Err(Section::error(name, "expected workload, phase, class or account"));
        }
        if ini.section_all(Some(name)).count() > 1 {
            return Err(Section::error(name, "the section is repeated"));
        }
    }
    Ok(())
}

fn head(section: &Section<'_>) -> Result<Workload, Error> {
    section.permit(&["version", "name", "rate", "limit", "open", "stall_ms"])?;
    let version = section.number("version", None)?;
    if version != u64::from(VERSION) {
        return Err(section.key_error("version", "1"));
    }
    let rate = section.float("rate")?;
    Ok(Workload {
        name: section.text("name")?.to_owned(),
        rate: (rate * 1e3).round() as u64,
        max_arrivals: section.count("limit", LIMIT)?,
        max_open: section.count("open", OPEN)?,
        stall_threshold: section.millis("stall_ms", STALL)?,
        phases: Vec::new(),
        classes: Vec::new(),
        accounts: Vec::new(),
    })
}

fn phase(section: &Section<'_>) -> Result<Phase, Error> {
    section.permit(&["seconds", "factor"])?;
    Ok(Phase {
        name: section.own.to_owned(),
        duration: Duration::from_secs_f64(section.float("seconds")?),
        rate_percent: (section.float("factor")? * 100.0).round() as u32,
    })
}

fn class(section: &Section<'_>) -> Result<Class, Error> {
    section.permit(&[
        "kind",
        "method",
        "path",
        "model",
        "prompt",
        "output",
        "patience_ms",
        "refusal_ms",
        "vanish_percent",
        "slow_percent",
        "pause_ms",
        "resume_percent",
        "repeat_percent",
        "twin_percent",
    ])?;
    let kind = match section.text("kind")? {
        "generation" => Kind::Generation,
        "lookup" => Kind::Lookup,
        "order" => Kind::Order,
        _ => return Err(section.key_error("kind", "generation, lookup or order")),
    };
    let method = if kind == Kind::Lookup { "GET" } else { "POST" };
    let path = section.text_or("path", RESPONSES);
    if !path.starts_with('/') || (kind != Kind::Generation && path == RESPONSES) {
        return Err(section.key_error("path", "a path that starts with `/`"));
    }
    Ok(Class {
        name: section.own.to_owned(),
        kind,
        method: section.text_or("method", method).to_owned(),
        path: path.to_owned(),
        model: section.properties.get("model").map(str::to_owned),
        prompt: section.size("prompt")?,
        output: section.size("output")?,
        timeout: section.millis("patience_ms", DEFAULT_TIMEOUT)?,
        refusal_timeout: section.millis("refusal_ms", REFUSAL)?,
        behaviours: behaviour_mix(section, kind)?,
    })
}

/// Reads the shares of misbehaving callers; a class takes those that its kind allows, 100 percent in all.
fn behaviour_mix(section: &Section<'_>, kind: Kind) -> Result<BehaviourMix, Error> {
    const SHARES: [(&str, Kind); 5] = [
        ("vanish_percent", Kind::Generation),
        ("slow_percent", Kind::Generation),
        ("resume_percent", Kind::Generation),
        ("repeat_percent", Kind::Order),
        ("twin_percent", Kind::Order),
    ];
    let mut total = 0;
    for (key, allowed) in SHARES {
        let share = section.percent(key)?;
        if share > 0 && kind != allowed {
            return Err(section.key_error(key, "0 for a class of this kind"));
        }
        total += u32::from(share);
        if total > 100 {
            return Err(section.key_error(key, "at most 100 percent with the other habits"));
        }
    }
    Ok(BehaviourMix {
        vanish: section.percent("vanish_percent")?,
        slow: section.percent("slow_percent")?,
        pause: section.millis("pause_ms", Duration::ZERO)?,
        resume: section.percent("resume_percent")?,
        repeat: section.percent("repeat_percent")?,
        duplicate: section.percent("twin_percent")?,
    })
}

fn account(section: &Section<'_>, classes: &[Class]) -> Result<Account, Error> {
    const MIX: &str = "known classes with weights, such as `draft 3, stock 10`";
    section.permit(&["key", "share", "mix"])?;
    let mut mix = Vec::new();
    for part in section.text("mix")?.split(',') {
        let pair = part
            .trim()
            .split_once(' ')
            .ok_or_else(|| section.key_error("mix", MIX))?;
        let class = classes.iter().position(|class| class.name == pair.0);
        let weight = pair.1.trim().parse().ok().filter(|weight| *weight > 0);
        let (Some(class), Some(weight)) = (class, weight) else {
            return Err(section.key_error("mix", MIX));
        };
        mix.push((ClassKey(class as u16), weight));
    }
    Ok(Account {
        name: section.own.to_owned(),
        key: section.text("key")?.to_owned(),
        weight: section.count("share", 1)?,
        mix,
    })
}

/// One section with its readers.
struct Section<'a> {
    /// The whole name, such as `class draft`.
    name: &'a str,
    /// The part of the name after the kind.
    own: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    fn single(ini: &'a Ini, name: &'a str) -> Result<Self, Error> {
        let properties = ini
            .section(Some(name))
            .ok_or_else(|| Self::error(name, "the section is missing"))?;
        Ok(Self {
            name,
            own: name,
            properties,
        })
    }

    fn all(ini: &'a Ini, kind: &'a str) -> impl Iterator<Item = Self> {
        ini.iter().filter_map(move |(name, properties)| {
            let name = name?;
            let own = name.strip_prefix(kind)?.strip_prefix(' ')?.trim();
            Some(Self {
                name,
                own,
                properties,
            })
        })
    }

    fn error(section: &str, text: &'static str) -> Error {
        Error::Section {
            section: section.to_owned(),
            text,
        }
    }

    fn key_error(&self, key: &str, expected: &'static str) -> Error {
        Error::Key {
            section: self.name.to_owned(),
            key: key.to_owned(),
            expected,
        }
    }

    /// Refuses keys other than `keys`.
    fn permit(&self, keys: &[&str]) -> Result<(), Error> {
        let unknown = self.properties.iter().find(|(key, _)| !keys.contains(key));
        let Some((key, _)) = unknown else {
            return Ok(());
        };
        Err(self.key_error(key, "no such key here"))
    }

    fn text(&self, key: &str) -> Result<&'a str, Error> {
        self.properties
            .get(key)
            .filter(|text| !text.is_empty())
            .ok_or_else(|| self.key_error(key, "a value"))
    }

    fn text_or(&self, key: &str, default: &'a str) -> &'a str {
        self.properties.get(key).unwrap_or(default)
    }

    fn number(&self, key: &str, default: Option<u64>) -> Result<u64, Error> {
        let found = self.properties.get(key).map(str::parse);
        match (found, default) {
            (Some(Ok(number)), _) | (None, Some(number)) => Ok(number),
            _ => Err(self.key_error(key, "a whole number")),
        }
    }

    fn count(&self, key: &str, default: u32) -> Result<u32, Error> {
        let number = self.number(key, Some(u64::from(default)))?;
        u32::try_from(number)
            .ok()
            .filter(|count| *count > 0)
            .ok_or_else(|| self.key_error(key, "a whole number from 1 to 4,294,967,295"))
    }

    fn millis(&self, key: &str, default: Duration) -> Result<Duration, Error> {
        let millis = self.number(key, Some(default.as_millis() as u64))?;
        Ok(Duration::from_millis(millis))
    }

    fn percent(&self, key: &str) -> Result<u8, Error> {
        let percent = self.number(key, Some(0))?;
        if percent > 100 {
            return Err(self.key_error(key, "a percentage from 0 to 100"));
        }
        Ok(percent as u8)
    }

    fn float(&self, key: &str) -> Result<f64, Error> {
        self.text(key)?
            .parse()
            .ok()
            .filter(|number: &f64| number.is_finite() && *number > 0.0 && *number < 1e6)
            .ok_or_else(|| self.key_error(key, "a number between 0 and 1,000,000"))
    }

    fn size(&self, key: &str) -> Result<LengthDistribution, Error> {
        let text = self.text_or(key, "fixed 1");
        text.parse().map_err(|()| {
            self.key_error(
                key,
                "fixed N, uniform LOW HIGH, lognormal MEDIAN SIGMA MOST or pareto LEAST SHAPE MOST",
            )
        })
    }
}
