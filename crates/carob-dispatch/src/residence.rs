//! The regions in which one request may run, followed through changes of the configuration.

use crate::{
    regions::Regions,
    table::{Account, RouteMatch, RoutingTable},
};

/// The regions that the route and the account of a request permit, each by the newest configuration that has them.
///
/// Requests match routes by host and longest prefix, so that a later configuration may give a request another route. What it
/// does not have any more keeps the regions that it had last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Residence {
    route: Regions,
    account: Regions,
    /// Name of the account, by which it is found once the key is gone.
    owner: Option<Box<str>>,
    version: u64,
}

impl Residence {
    /// What the configuration of `version` says of a request with the route and account `found`.
    pub fn new(found: &RouteMatch<'_>, version: u64) -> Self {
        let account = found.account.map(|account| account.regions.clone());
        let owner = found.account.map(|account| account.name.clone());
        Self::with_regions(found.route.regions.clone(), account.unwrap_or_default(), version)
            .with_owner(owner)
    }

    /// The regions that a route and an account permit by the configuration of `version`.
    pub const fn with_regions(route: Regions, account: Regions, version: u64) -> Self {
        Self {
            route,
            account,
            owner: None,
            version,
        }
    }

    /// Names the account.
    #[must_use]
    pub fn with_owner(self, owner: Option<Box<str>>) -> Self {
        Self { owner, ..self }
    }

    /// Applies `table` to the request for `path` of `host`, whose key belongs to `account` there. An earlier configuration
    /// than the one known changes nothing. Returns whether the request may run in other regions than before.
    pub fn update(
        &mut self,
        table: &RoutingTable,
        (host, path): (&str, &str),
        account: Option<&Account>,
    ) -> bool {
        if table.version() <= self.version {
            return false;
        }
        let before = self.regions();
        self.version = table.version();
        if let Some(route) = table.route(host, path) {
            self.route = route.regions.clone();
        }
        if let Some(account) = account.or_else(|| table.account_named(self.owner()?)) {
            self.account = account.regions.clone();
            self.owner = Some(account.name.clone());
        }
        self.regions() != before
    }

    /// Regions that the route permits.
    pub const fn route_regions(&self) -> &Regions {
        &self.route
    }

    /// Regions that the account permits; all for a request without an account.
    pub const fn account_regions(&self) -> &Regions {
        &self.account
    }

    /// Name of the account; `None` for a request without one.
    pub fn owner(&self) -> Option<&str> {
        self.owner.as_deref()
    }

    /// Regions in which the request may run: those that route and account both permit.
    pub fn regions(&self) -> Regions {
        self.route.intersection(&self.account)
    }

    /// Version of the newest configuration that was applied.
    pub const fn version(&self) -> u64 {
        self.version
    }
}
