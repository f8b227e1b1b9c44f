//! Regions in which requests may run.

use std::sync::Arc;

/// The regions in which a request may be served, cached and stored. Copies share the names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(Option<Arc<[Box<str>]>>);

impl Regions {
    /// All regions.
    pub const fn any() -> Self {
        Self(None)
    }

    /// The regions that a configuration lists, in any order; an empty list permits all.
    pub fn listed(mut names: Vec<Box<str>>) -> Self {
        names.sort_unstable();
        names.dedup();
        Self((!names.is_empty()).then(|| names.into()))
    }

    /// Exactly these regions; an empty list permits none.
    pub fn only(names: impl IntoIterator<Item = Box<str>>) -> Self {
        Self(Some(names.into_iter().collect()))
    }

    /// The permitted regions; `None` if all are.
    pub fn names(&self) -> Option<&[Box<str>]> {
        self.0.as_deref()
    }

    /// Whether all regions are permitted, also unknown ones.
    pub const fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Whether `region` is permitted; `None` is an unknown region.
    pub fn permits(&self, region: Option<&str>) -> bool {
        match &self.0 {
            None => true,
            Some(names) => region.is_some_and(|region| names.iter().any(|name| **name == *region)),
        }
    }

    /// The regions that both permit, which may be none at all.
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(names), Some(_)) => Self(Some(
                names
                    .iter()
                    .filter(|name| other.permits(Some(name)))
                    .cloned()
                    .collect(),
            )),
        }
    }
}

impl std::fmt::Display for Regions {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            None => f.write_str("any"),
            Some(names) if names.is_empty() => f.write_str("none"),
            Some(names) => f.write_str(&names.join(",")),
        }
    }
}
