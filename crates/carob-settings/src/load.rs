//! Loads a settings file.

use std::{fs, path::Path};

use carob_ini::{Error, Errors, Pair, Section};

use crate::{
    Settings,
    keys::{DefaultValue, KEYS, Key},
};

impl Settings {
    /// Loads and checks the file at `path`. Relative paths in it start at the file's directory.
    ///
    /// # Errors
    ///
    /// Returns [`Errors`] with everything that is wrong.
    pub fn load(path: &Path) -> Result<Self, Errors> {
        let file = path.display().to_string();
        let base = path.parent().unwrap_or(Path::new(""));
        let file_error = |expected: String| {
            Errors(vec![Error {
                file: file.clone(),
                line: 1,
                section: String::new(),
                key: String::new(),
                expected,
            }])
        };
        let bytes =
            fs::read(path).map_err(|error| file_error(format!("a file that can be read: {error}")))?;
        let text = String::from_utf8(bytes).map_err(|_invalid| file_error("a file in UTF-8".to_owned()))?;
        Self::parse(&text, &file, base)
    }

    /// Checks the content of a settings file. `file` is its name in errors; relative paths in it start at
    /// `base`.
    ///
    /// # Errors
    ///
    /// Returns [`Errors`] with everything that is wrong.
    pub fn parse(text: &str, file: &str, base: &Path) -> Result<Self, Errors> {
        let sections = carob_ini::sections(text, file).map_err(Errors)?;
        let mut loader = Loader::new(file, base);
        for section in &sections {
            loader.load_section(section);
        }
        loader.report_missing(text.lines().count().max(1));
        loader.check_combinations(&sections);
        let mut errors = loader.errors;
        if errors.is_empty() {
            return Ok(loader.settings);
        }
        errors.sort_by_key(|error| error.line);
        Err(Errors(errors))
    }
}

/// The settings read so far and the errors found in them.
struct Loader<'a> {
    file: &'a str,
    base: &'a Path,
    settings: Settings,
    errors: Vec<Error>,
    /// For each of [`KEYS`] whether the file contains it.
    seen: Vec<bool>,
}

impl<'a> Loader<'a> {
    /// A loader whose settings are the defaults.
    fn new(file: &'a str, base: &'a Path) -> Self {
        let mut settings = Settings::placeholder();
        for key in KEYS {
            if let DefaultValue::Value(text) = key.default {
                (key.parse)(&mut settings, text, base).expect("defaults pass the checks of their keys");
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

    fn load_section(&mut self, section: &Section) {
        let title = section.title.as_str();
        if !KEYS.iter().any(|key| key.section == title) {
            let known = list_names(KEYS.iter().map(|key| key.section));
            return self.add_error(section.line, "", title, format!("one of the sections {known}"));
        }
        for pair in &section.pairs {
            self.load_pair(title, pair);
        }
    }

    fn load_pair(&mut self, title: &str, pair: &Pair) {
        let index = KEYS
            .iter()
            .position(|key| key.section == title && key.name == pair.key);
        let Some(index) = index else {
            let known = KEYS.iter().filter(|key| key.section == title);
            let known = list_names(known.map(|key| key.name));
            return self.add_error(pair.line, title, &pair.key, format!("one of the keys {known}"));
        };
        if std::mem::replace(&mut self.seen[index], true) {
            return self.add_error(pair.line, title, &pair.key, "each key once".to_owned());
        }
        let result = (KEYS[index].parse)(&mut self.settings, pair.value.trim(), self.base);
        if let Err(expected) = result {
            // The error does not contain the value, which may be a secret.
            self.add_error(pair.line, title, &pair.key, expected);
        }
    }

    /// Reports the required keys that the file lacks; the errors name its last line, `end`.
    fn report_missing(&mut self, end: usize) {
        let required = |(key, seen): &(&Key, &bool)| key.default == DefaultValue::Required && !**seen;
        let missing: Vec<&Key> = KEYS
            .iter()
            .zip(&self.seen)
            .filter(required)
            .map(|(key, _)| key)
            .collect();
        for key in missing {
            self.add_error(end, key.section, key.name, format!("a value ({})", key.form));
        }
    }

    /// Checks the rules that concern several keys.
    fn check_combinations(&mut self, sections: &[Section]) {
        let tls = self.settings.callers.tls.as_ref();
        let is_partial =
            tls.is_some_and(|tls| tls.cert.as_os_str().is_empty() != tls.key.as_os_str().is_empty());
        if is_partial && self.errors.is_empty() {
            let line = line_of(sections, "callers", "tls_");
            self.add_error(
                line,
                "callers",
                "tls_cert",
                "both `tls_cert` and `tls_key`, or neither".to_owned(),
            );
        }
        let (callers, admin) = (self.settings.callers.address, self.settings.admin.address);
        if callers == admin && callers.port() != 0 {
            let line = line_of(sections, "admin", "address");
            self.add_error(
                line,
                "admin",
                "address",
                "an address other than that of callers".to_owned(),
            );
        }
    }

    fn add_error(&mut self, line: usize, section: &str, key: &str, expected: String) {
        self.errors.push(Error {
            file: self.file.to_owned(),
            line,
            section: section.to_owned(),
            key: key.to_owned(),
            expected,
        });
    }
}

/// The line of the first key in `section` whose name starts with `prefix`; 1 if there is none.
fn line_of(sections: &[Section], section: &str, prefix: &str) -> usize {
    let mut pairs = sections
        .iter()
        .filter(|found| found.title == section)
        .flat_map(|found| &found.pairs);
    pairs
        .find(|pair| pair.key.starts_with(prefix))
        .map_or(1, |pair| pair.line)
}

/// The `names` as a comma-separated list, without adjacent repetitions.
fn list_names<'a>(names: impl Iterator<Item = &'a str>) -> String {
    let mut known: Vec<String> = names.map(|name| format!("`{name}`")).collect();
    known.dedup();
    known.join(", ")
}
