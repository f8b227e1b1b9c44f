//! The text format of a workload.
//!
//! An INI file with one `[workload]` section and any number of `[phase NAME]`, `[class NAME]` and
//! `[account NAME]` sections. Unknown sections and keys are errors.

use std::{str::FromStr, time::Duration};

use ini::{Ini, ParseOption, Properties};

use super::{Account, BehaviourMix, Class, ClassKey, Kind, LengthDistribution, Phase, VERSION, Workload};

/// Default maximum number of arrivals in a run.
const DEFAULT_MAX_ARRIVALS: u32 = 10_000;
/// Default maximum number of exchanges in progress.
const DEFAULT_MAX_OPEN: u32 = 256;
/// Default stall threshold.
const DEFAULT_STALL_THRESHOLD: Duration = Duration::from_millis(200);
/// Default time after which a caller gives up on an exchange.
const DEFAULT_TIMEOUT: Duration = Duration::from_mins(1);
/// Default maximum time to a refusal.
const DEFAULT_REFUSAL_TIMEOUT: Duration = Duration::from_secs(10);
/// Default path, permitted for generations only.
const RESPONSES_PATH: &str = "/v1/responses";
/// Maximum number of phases, of classes and of accounts, so that their keys fit into 16 bits.
const MAX_SECTIONS: usize = 1_000;

/// The text is not a valid workload.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not valid INI.
    #[error("line {line}: {text}")]
    Syntax {
        /// Line number, counted from 1.
        line: usize,
        /// Message of the INI parser.
        text: String,
    },
    /// A section is unknown, missing or repeated.
    #[error("section [{section}]: {text}")]
    Section {
        /// Full name of the section.
        section: String,
        /// Reason why the section is refused.
        text: &'static str,
    },
    /// A key is unknown, missing or has an invalid value.
    #[error("section [{section}], key `{key}`: expected {expected}")]
    Key {
        /// Full name of the section.
        section: String,
        /// Name of the key.
        key: String,
        /// Description of the valid values.
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
    check_sections(ini)?;
    let mut workload = workload_section(&Section::single(ini, "workload")?)?;
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
        if !(1..=MAX_SECTIONS).contains(&count) {
            return Err(Section::error(kind, "expected between 1 and 1,000 of these"));
        }
    }
    Ok(workload)
}

/// Refuses unknown and repeated sections, and keys outside of any section.
fn check_sections(ini: &Ini) -> Result<(), Error> {
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

fn workload_section(section: &Section<'_>) -> Result<Workload, Error> {
    section.check_keys(&["version", "name", "rate", "limit", "open", "stall_ms"])?;
    let version = section.number("version", None)?;
    if version != u64::from(VERSION) {
        return Err(section.key_error("version", "1"));
    }
    let rate = section.float("rate")?;
    Ok(Workload {
        name: section.text("name")?.to_owned(),
        rate: (rate * 1e3).round() as u64,
        max_arrivals: section.count("limit", DEFAULT_MAX_ARRIVALS)?,
        max_open: section.count("open", DEFAULT_MAX_OPEN)?,
        stall_threshold: section.millis("stall_ms", DEFAULT_STALL_THRESHOLD)?,
        phases: Vec::new(),
        classes: Vec::new(),
        accounts: Vec::new(),
    })
}

fn phase(section: &Section<'_>) -> Result<Phase, Error> {
    section.check_keys(&["seconds", "factor"])?;
    Ok(Phase {
        name: section.short_name.to_owned(),
        duration: Duration::from_secs_f64(section.float("seconds")?),
        rate_percent: (section.float("factor")? * 100.0).round() as u32,
    })
}

fn class(section: &Section<'_>) -> Result<Class, Error> {
    section.check_keys(&[
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
    let path = section.text_or("path", RESPONSES_PATH);
    if !path.starts_with('/') || (kind != Kind::Generation && path == RESPONSES_PATH) {
        return Err(section.key_error("path", "a path that starts with `/`"));
    }
    Ok(Class {
        name: section.short_name.to_owned(),
        kind,
        method: section.text_or("method", method).to_owned(),
        path: path.to_owned(),
        model: section.properties.get("model").map(str::to_owned),
        prompt: section.size("prompt")?,
        output: section.size("output")?,
        timeout: section.millis("patience_ms", DEFAULT_TIMEOUT)?,
        refusal_timeout: section.millis("refusal_ms", DEFAULT_REFUSAL_TIMEOUT)?,
        behaviours: behaviour_mix(section, kind)?,
    })
}

/// Reads the percentages of caller behaviours: a class may set those that its kind allows, up to a sum of
/// 100.
fn behaviour_mix(section: &Section<'_>, kind: Kind) -> Result<BehaviourMix, Error> {
    const PERCENTAGES: [(&str, Kind); 5] = [
        ("vanish_percent", Kind::Generation),
        ("slow_percent", Kind::Generation),
        ("resume_percent", Kind::Generation),
        ("repeat_percent", Kind::Order),
        ("twin_percent", Kind::Order),
    ];
    let mut total = 0;
    for (key, allowed) in PERCENTAGES {
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
    section.check_keys(&["key", "share", "mix"])?;
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
        name: section.short_name.to_owned(),
        key: section.text("key")?.to_owned(),
        weight: section.count("share", 1)?,
        mix,
    })
}

/// One section, with methods that read its values.
struct Section<'a> {
    /// The full name, such as `class draft`.
    name: &'a str,
    /// The name without the kind, such as `draft`.
    short_name: &'a str,
    properties: &'a Properties,
}

impl<'a> Section<'a> {
    fn single(ini: &'a Ini, name: &'a str) -> Result<Self, Error> {
        let properties = ini
            .section(Some(name))
            .ok_or_else(|| Self::error(name, "the section is missing"))?;
        Ok(Self {
            name,
            short_name: name,
            properties,
        })
    }

    fn all(ini: &'a Ini, kind: &'a str) -> impl Iterator<Item = Self> {
        ini.iter().filter_map(move |(name, properties)| {
            let name = name?;
            let short_name = name.strip_prefix(kind)?.strip_prefix(' ')?.trim();
            Some(Self {
                name,
                short_name,
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
    fn check_keys(&self, keys: &[&str]) -> Result<(), Error> {
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
