//! The parsed ticket and its canonical text.

use std::fmt;

use carob_base::Name;
use carob_config::{Account, Route, Service, Upstream, canonical::Writer};

carob_base::plain! {
    /// Kind of a configured object. The canonical text lists objects in the order of the variants.
    pub enum ObjectKind {
        /// A service.
        Service,
        /// A client account.
        Account,
        /// A route.
        Route,
        /// An upstream.
        Upstream,
    }
}

/// The kind and name of a configured object, as in `service chat`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ObjectId(pub ObjectKind, pub Name);

carob_base::value! {
    /// The complete new state of one object, or `None` to remove it.
    pub enum Change {
        /// A service.
        Service(Name, Option<Service>),
        /// A client account.
        Account(Name, Option<Account>),
        /// A route.
        Route(Name, Option<Route>),
        /// An upstream.
        Upstream(Name, Option<Upstream>),
    }

    /// A numbered change ticket.
    pub struct Ticket {
        /// The number that the operators gave the ticket, from 1.
        pub number: u64,
        /// The changes, sorted by object; each object occurs once.
        pub changes: Vec<Change>,
    }
}

impl Ticket {
    /// The canonical text, which does not depend on the order, blanks and comments of the ticket's file.
    pub fn canonical_text(&self) -> String {
        let mut writer = Writer::new();
        writer.line("[ticket]");
        writer.key("number", self.number);
        self.changes.iter().for_each(|change| change.write(&mut writer));
        writer.finish()
    }

    /// XXH3 digest of the canonical text.
    pub fn digest(&self) -> u64 {
        xxhash_rust::xxh3::xxh3_64(self.canonical_text().as_bytes())
    }
}

impl Change {
    /// Kind and name of the changed object.
    pub fn object(&self) -> ObjectId {
        match self {
            Self::Service(name, _) => ObjectId(ObjectKind::Service, name.clone()),
            Self::Account(name, _) => ObjectId(ObjectKind::Account, name.clone()),
            Self::Route(name, _) => ObjectId(ObjectKind::Route, name.clone()),
            Self::Upstream(name, _) => ObjectId(ObjectKind::Upstream, name.clone()),
        }
    }

    /// Whether the change removes its object.
    pub fn is_removal(&self) -> bool {
        matches!(
            self,
            Self::Service(_, None) | Self::Account(_, None) | Self::Route(_, None) | Self::Upstream(_, None)
        )
    }

    pub(crate) fn write(&self, writer: &mut Writer) {
        match self {
            Self::Service(_, Some(service)) => writer.service(service),
            Self::Account(_, Some(account)) => writer.account(account),
            Self::Route(_, Some(route)) => writer.route(route),
            Self::Upstream(_, Some(upstream)) => writer.upstream(upstream),
            _ => {
                let ObjectId(kind, name) = self.object();
                writer.section(kind.as_str(), name);
                writer.key("state", "absent");
            }
        }
    }
}

impl ObjectKind {
    /// The first word in the title of a section of this kind.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Account => "account",
            Self::Route => "route",
            Self::Upstream => "upstream",
        }
    }

    pub(crate) fn parse(text: &str) -> Option<Self> {
        [Self::Service, Self::Account, Self::Route, Self::Upstream]
            .into_iter()
            .find(|kind| kind.as_str() == text)
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.0.as_str(), self.1)
    }
}
