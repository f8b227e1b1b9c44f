//! Failure domains that operators have taken out of service, as the keys of the store say.

use std::collections::BTreeSet;

/// The failure domains that are out of service.
///
/// While a missing key may be written again, after an outage of the store or in a new era, a removal is put off: a request
/// that is sent to a failure domain which is still out of service does harm, one that is sent elsewhere does not.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    in_force: BTreeSet<Box<str>>,
    /// Those of `in_force` whose keys are missing and may be written again.
    lapsed: BTreeSet<Box<str>>,
}

impl Evacuations {
    /// Creates the state of an instance that knows of none.
    pub fn new() -> Self {
        Self::default()
    }

    /// The failure domains that are out of service.
    pub const fn in_force(&self) -> &BTreeSet<Box<str>> {
        &self.in_force
    }

    /// Records that the key of `domain` exists. Returns whether that changes what is in force.
    pub fn set(&mut self, domain: &str) -> bool {
        self.lapsed.remove(domain);
        self.in_force.insert(domain.into())
    }

    /// Records that the key of `domain` is missing. Returns whether that changes what is in force: not if it may be written
    /// again.
    pub fn remove(&mut self, domain: &str, may_reappear: bool) -> bool {
        if may_reappear && self.in_force.contains(domain) {
            self.lapsed.insert(domain.into());
            return false;
        }
        self.lapsed.remove(domain);
        self.in_force.remove(domain)
    }

    /// Ends the time in which missing keys may be written again. Returns whether that changes what is in force.
    pub fn end_reappearance(&mut self) -> bool {
        let lapsed = std::mem::take(&mut self.lapsed);
        let before = self.in_force.len();
        self.in_force.retain(|domain| !lapsed.contains(domain));
        self.in_force.len() < before
    }
}
