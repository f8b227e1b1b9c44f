//! Decides which upstreams a request may go to, whatever their load.
//!
//! Placement, migrations, load queries and the demand for permits all ask here, so that a condition on where requests may
//! run holds for each of them.

use std::collections::BTreeSet;

use carob_base::Time;

use super::{Fleet, Requirements, Upstream, UpstreamKey, UpstreamState};
use crate::{limits::Access, regions::Regions};

carob_base::plain! {
    /// Why a request does not go to an upstream.
    pub enum Exclusion {
        /// It provides another service.
        OtherService,
        /// It accepts no new requests.
        Leaving,
        /// The request was sent to it already, or is being stopped there.
        Tried,
        /// The request may not run in its region.
        Region,
        /// Operators have taken its failure domain out of service.
        Evacuated,
        /// The request may run in some regions only, and these may have changed without this instance knowing.
        Outdated,
        /// It is cold, and this instance has no permit for a request to it.
        Cold,
        /// It asks for a pause.
        Paused,
        /// It takes a bounded number of requests, and this instance has no permit for one.
        NoPermit,
        /// Its slots or its memory are taken.
        Full,
    }
}

impl Exclusion {
    /// Whether waiting does not end it, as far as is known.
    pub const fn is_lasting(self) -> bool {
        match self {
            Self::OtherService | Self::Leaving | Self::Tried | Self::Region | Self::Evacuated => true,
            Self::Outdated | Self::Cold | Self::Paused | Self::NoPermit | Self::Full => false,
        }
    }

    /// Name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::OtherService => "other-service",
            Self::Leaving => "leaving",
            Self::Tried => "tried",
            Self::Region => "region",
            Self::Evacuated => "evacuated",
            Self::Outdated => "outdated",
            Self::Cold => "cold",
            Self::Paused => "paused",
            Self::NoPermit => "no-permit",
            Self::Full => "full",
        }
    }

    /// The reason in words, for operators.
    pub const fn text(self) -> &'static str {
        match self {
            Self::OtherService => "it provides another service",
            Self::Leaving => "it accepts no new requests",
            Self::Tried => "the request was sent to it already",
            Self::Region => "the request may not run in its region",
            Self::Evacuated => "its failure domain is out of service",
            Self::Outdated => "the regions in which the request may run may have changed",
            Self::Cold => "it is cold, and there is no permit for a request to it",
            Self::Paused => "it asks for a pause",
            Self::NoPermit => "it limits its requests, and there is no permit for one",
            Self::Full => "its slots, its memory or the prompts that it may have pending are used up",
        }
    }
}

impl Fleet {
    /// Replaces the failure domains that operators have taken out of service. Returns whether they have changed.
    pub fn set_evacuated(&mut self, domains: BTreeSet<Box<str>>) -> bool {
        let before = std::mem::replace(&mut self.evacuated, domains);
        before != self.evacuated
    }

    /// Whether operators have taken the upstream's failure domain out of service.
    pub fn is_evacuated(&self, key: UpstreamKey) -> bool {
        self.upstreams
            .get(key)
            .is_some_and(|upstream| self.evacuated.contains(&upstream.entry.domain))
    }

    /// Region of a failure domain; `None` if the settings do not name it.
    pub fn region(&self, domain: &str) -> Option<&str> {
        self.topology.regions.get(domain).map(|region| &**region)
    }

    /// Checks that a request restricted to `regions` may still be sent to an upstream that was chosen for it earlier.
    ///
    /// # Errors
    ///
    /// Returns the [`Exclusion`] if the upstream's region or failure domain does not permit it any more, or if another
    /// upstream has its address.
    pub fn check_destination(&self, key: UpstreamKey, regions: &Regions) -> Result<(), Exclusion> {
        let Some(upstream) = self.upstreams.get(key) else {
            return Err(Exclusion::Leaving);
        };
        if upstream.address_taken {
            return Err(Exclusion::Leaving);
        }
        self.location_exclusion(upstream, regions).map_or(Ok(()), Err)
    }

    /// Checks that an upstream that was chosen for a request earlier still accepts requests.
    ///
    /// # Errors
    ///
    /// Returns [`Exclusion::Leaving`] if it does not.
    pub fn check_ready(&self, key: UpstreamKey) -> Result<(), Exclusion> {
        let found = self.upstreams.get(key);
        if found.is_some_and(|upstream| upstream.entry.state == UpstreamState::Ready) {
            Ok(())
        } else {
            Err(Exclusion::Leaving)
        }
    }

    /// Why a request may not go to an upstream now; `None` if it may.
    pub fn exclusion(&self, key: UpstreamKey, requirements: &Requirements, now: Time) -> Option<Exclusion> {
        let upstream = self.upstreams.get(key)?;
        self.evaluate(key, upstream, requirements, now).err()
    }

    /// Whether an upstream could run a request, were it not for its load, a limit or a pause.
    pub(super) fn is_candidate(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        requirements: &Requirements,
    ) -> bool {
        self.lasting_exclusion(key, upstream, requirements).is_none()
    }

    /// Why an upstream cannot run a request however long that waits.
    pub(super) fn lasting_exclusion(
        &self,
        key: UpstreamKey,
        upstream: &Upstream,
        requirements: &Requirements,
    ) -> Option<Exclusion> {
        if *upstream.entry.service != *requirements.service {
            Some(Exclusion::OtherService)
        } else if upstream.entry.state != UpstreamState::Ready || upstream.address_taken {
            Some(Exclusion::Leaving)
        } else if requirements.excluded.contains(&key) {
            Some(Exclusion::Tried)
        } else {
            self.location_exclusion(upstream, &requirements.regions)
        }
    }

    /// Why a request restricted to `regions` may not run where an upstream is.
    fn location_exclusion(&self, upstream: &Upstream, regions: &Regions) -> Option<Exclusion> {
        let domain = &upstream.entry.domain;
        if !regions.is_any() && !regions.permits(self.region(domain)) {
            Some(Exclusion::Region)
        } else if self.evacuated.contains(domain) {
            Some(Exclusion::Evacuated)
        } else {
            None
        }
    }

    /// Why an upstream takes no request from this instance at present.
    pub(super) fn access_exclusion(&self, upstream: &Upstream, now: Time) -> Option<Exclusion> {
        if self.is_cold_held(upstream, now) {
            Some(Exclusion::Cold)
        } else if upstream.is_paused(now) {
            Some(Exclusion::Paused)
        } else if self.access(upstream, now) == Access::Held {
            Some(Exclusion::NoPermit)
        } else {
            None
        }
    }
}
