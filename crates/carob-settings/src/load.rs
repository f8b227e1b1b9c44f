//! Reads a settings file.

use std::{fs, path::Path};

use carob_ini::{Error, Errors, Pair, Section};

use crate::{
    Settings,
    keys::{Absent, KEYS, Key},
};

impl Settings {
    /// Reads and checks the file at `path`. Paths in it are taken from its directory.
    ///
    /// # Errors
    ///
    /// Returns [`Errors`] with everything that is wrong.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let file = path.display().to_string();
        let base = path.parent().unwrap_or(Path::new(""));
        let whole = |expected: String| {
            Errors(vec![Error {
                file: file.clone(),
                line: 1,
                section: String::new(),
                key: String::new(),
                expected,
            }])
        };
        let bytes = fs::read(path).map_err(|error| whole(format!("a file that can be read: {error}")))?;
        let text = String::from_utf8(bytes).map_err(|_invalid| whole("a file in UTF-8".to_owned()))?;
        Self::parse(&text, &file, base)
    }

    /// Checks the content of the file called `file`. Paths in it are taken from `base`.
    ///
    /// # Errors
    ///
    /// Returns [`Errors`] with everything that is wrong.
    pub fn parse(text: &str, file: &str, base: &Path) -> Result<Self, Errors> {
        let sections = carob_ini::sections(text, file).map_err(Errors)?;
        let mut reader = Reader::new(file, base);
        for section in &sections {
            reader.section(section);
        }
        reader.missing(text.lines().count().max(1));
        reader.together(&sections);
        let mut errors = reader.errors;
        if errors.is_empty() {
            return Ok(reader.settings);
        }
        errors.sort_by_key(|error| error.line);
        Err(Errors(errors))
    }
}

struct Reader<'a> {
    file: &'a str,
    base: &'a Path,
    settings: Settings,
    errors: Vec<Error>,
    /// Which of [`KEYS`] were in the file.
    seen: Vec<bool>,
}

impl<'a> Reader<'a> {
    /// A reader whose settings are the defaults.
    fn new(file: &'a str, base: &'a Path) -> Self {
        let mut settings = Settings::blank();
        for key in KEYS {
            if let Absent::Text(text) = key.absent {
                (key.read)(&mut settings, text, base).expect("defaults pass their own checks");
            }
        }
        Self {
            file,
            base,
            settings,
            errors: Vec::new(),
            seen: vec![false; KEYS.len()],
        }
    }

    fn section(&mut self, section: &Section) {
        let title = section.title.as_str();
        if !KEYS.iter().any(|key| key.section == title) {
            let known = names(KEYS.iter().map(|key| key.section));
            return self.fail(section.line, "", title, format!("one of the sections {known}"));
        }
        for pair in &section.pairs {
            self.pair(title, pair);
        }
    }

    fn pair(&mut self, title: &str, pair: &Pair) {
        let place = KEYS
            .iter()
            .position(|key| key.section == title && key.name == pair.key);
        let Some(place) = place else {
            let known = KEYS.iter().filter(|key| key.section == title);
            let known = names(known.map(|key| key.name));
            return self.fail(pair.line, title, &pair.key, format!("one of the keys {known}"));
        };
        if std::mem::replace(&mut self.seen[place], true) {
            return self.fail(pair.line, title, &pair.key, "each key once".to_owned());
        }
        let outcome = (KEYS[place].read)(&mut self.settings, pair.value.trim(), self.base);
        if let Err(expected) = outcome {
            // The value is left out: it may be a secret.
            self.fail(pair.line, title, &pair.key, expected);
        }
    }

    /// Reports the keys that must be there but are not, at the file's `end`.
    fn missing(&mut self, end: usize) {
        let required = |(key, seen): &(&Key, &bool)| key.absent == Absent::Refused && !**seen;
        let missing: Vec<&Key> = KEYS
            .iter()
            .zip(&self.seen)
            .filter(required)
            .map(|(key, _)| key)
            .collect();
        for key in missing {
            self.fail(end, key.section, key.name, format!("a value ({})", key.form));
        }
    }

    /// Checks keys against each other.
    fn together(&mut self, sections: &[Section]) {
        let tls = self.settings.callers.tls.as_ref();
        let half = tls.is_some_and(|tls| tls.cert.as_os_str().is_empty() != tls.key.as_os_str().is_empty());
        if half && self.errors.is_empty() {
            let line = line_of(sections, "callers", "tls_");
            self.fail(
                line,
                "callers",
                "tls_cert",
                "both `tls_cert` and `tls_key`, or neither".to_owned(),
            );
        }
        let (callers, admin) = (self.settings.callers.address, self.settings.admin.address);
        if callers == admin && callers.port() != 0 {
            let line = line_of(sections, "admin", "address");
            self.fail(
                line,
                "admin",
                "address",
                "an address other than that of callers".to_owned(),
            );
        }
    }

    fn fail(&mut self, line: usize, section: &str, key: &str, expected: String) {
        self.errors.push(Error {
            file: self.file.to_owned(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            expected,
        });
    }
}

/// The line of the first key of `section` that starts with `prefix`.
fn line_of(sections: &[Section], section: &str, prefix: &str) -> usize {
    let mut pairs = sections
        .iter()
        .filter(|found| found.title == section)
        .flat_map(|found| &found.pairs);
    pairs
        .find(|pair| pair.key.starts_with(prefix))
        .map_or(1, |pair| pair.line)
}

/// The different `names`, in their order.
fn names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut known: Vec<String> = names.map(|name| format!("`{name}`")).collect();
    known.dedup();
    known.join(", ")
}
