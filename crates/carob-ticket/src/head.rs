//! Encoding of the ticket order in the store and between peers.
//!
//! The *head* is a small value that every accepted ticket replaces by compare-and-swap, which makes the order
//! total. It holds the latest tickets, the *tail*, and a lower bound of the revision of the *snapshot*, a
//! second and larger value with the whole ledger. An instance that is only a few tickets behind needs the
//! head alone.

use std::collections::VecDeque;

use bytes::Bytes;
use carob_base::Name;
use carob_config::{Config, Digest, Revision, canonical::Writer};
use carob_ini::{Error, Pair, Section};

use crate::{
    check,
    field::{self, Fields, section_error, split_title},
    ledger::{Accepted, Ledger, Refusal, set},
    parse,
    ticket::{ObjectId, ObjectKind, Ticket},
};

/// Key of the head.
pub const HEAD_KEY: &[u8] = b"carob/config/head";
/// Key of the snapshot.
pub const SNAPSHOT_KEY: &[u8] = b"carob/config/snapshot";
/// Size of the tail's tickets, in bytes of canonical text, above which the next ticket first takes a
/// snapshot.
pub const SNAPSHOT_THRESHOLD: usize = 8 * 1024;
/// Maximum size of the tickets that stay in the tail after a snapshot, in bytes of canonical text. The last
/// ticket stays whatever its size.
const RETAINED_TAIL: usize = 4 * 1024;
/// Version of both formats. A reader rejects any other version and keeps the configuration that it has.
const VERSION: u16 = 1;

carob_base::value! {
    /// One accepted ticket.
    pub struct Entry {
        /// Revision of the configuration after the ticket.
        pub revision: Revision,
        /// Digest of the configuration at that revision.
        pub digest: Digest,
        /// The ticket.
        pub ticket: Ticket,
    }

    /// The latest accepted tickets; the default value is the head before the first ticket.
    #[derive(Default)]
    pub struct Head {
        /// The last accepted tickets, oldest first, without gaps.
        pub tail: VecDeque<Entry>,
        /// Lower bound of the snapshot's revision; 0 if the tail reaches back to the first ticket.
        pub snapshot_revision: Revision,
    }
}

/// Why the entries of a head cannot be applied to a ledger.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The tail is empty or starts after the ledger's next revision, so the snapshot has to be read first.
    #[error("the tail starts after the next revision")]
    Gap,
    /// This binary refuses a ticket that another version has accepted.
    #[error("ticket {number} does not apply: {refusal}")]
    Refused {
        /// The ticket's number.
        number: u64,
        /// The reason.
        refusal: Refusal,
    },
    /// The ticket leads to another digest than the recorded one: a binary of another version accepted it.
    #[error("{revision} has another digest than the one recorded")]
    DigestMismatch {
        /// Revision of the entry.
        revision: Revision,
    },
}

impl Head {
    /// Revision of the last accepted ticket.
    pub fn revision(&self) -> Revision {
        self.tail
            .back()
            .map_or(self.snapshot_revision, |entry| entry.revision)
    }

    /// Applies the entries after the revision of `ledger`.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] for the first entry that cannot be applied; the earlier ones stay applied.
    pub fn apply_to(&self, ledger: &mut Ledger) -> Result<(), ApplyError> {
        for entry in &self.tail {
            let next = Revision(ledger.revision().0 + 1);
            if entry.revision < next {
                continue;
            }
            if entry.revision > next {
                return Err(ApplyError::Gap);
            }
            *ledger = entry.next_ledger(ledger)?;
        }
        if ledger.revision() < self.revision() {
            return Err(ApplyError::Gap);
        }
        Ok(())
    }

    /// Appends `ticket`, which must be the last one applied to `ledger`.
    pub fn push(&mut self, ticket: Ticket, ledger: &Ledger) {
        self.tail.push_back(Entry {
            revision: ledger.revision(),
            digest: ledger.config().digest(),
            ticket,
        });
    }

    /// Whether a snapshot has to be written before the next ticket is appended.
    pub fn needs_snapshot(&self) -> bool {
        self.tail.iter().map(Entry::size).sum::<usize>() > SNAPSHOT_THRESHOLD
    }

    /// Drops older entries. The stored snapshot must already have at least the revision of this head.
    pub fn compact(&mut self) {
        self.snapshot_revision = self.revision();
        let mut size: usize = self.tail.iter().map(Entry::size).sum();
        while size > RETAINED_TAIL && self.tail.len() > 1 {
            size -= self.tail.pop_front().map_or(0, |entry| entry.size());
        }
    }

    /// A head with the entries after `revision`, or `None` if the tail does not reach back to it.
    pub fn entries_after(&self, revision: Revision) -> Option<Self> {
        let first = self.tail.front()?.revision;
        if revision.0 + 1 < first.0 {
            return None;
        }
        let tail = self.tail.iter().filter(|entry| entry.revision > revision);
        Some(Self {
            tail: tail.cloned().collect(),
            snapshot_revision: self.snapshot_revision,
        })
    }

    /// Encodes the head for the store and for peers.
    pub fn to_bytes(&self) -> Bytes {
        let mut writer = Writer::new();
        writer.line("[head]");
        writer.key("version", VERSION);
        writer.key("snapshot", self.snapshot_revision.0);
        for entry in &self.tail {
            writer.section("entry", entry.revision.0);
            writer.key("digest", entry.digest);
            writer.line(entry.ticket.canonical_text().trim_end());
        }
        Bytes::from(writer.finish())
    }

    /// Decodes a head.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the value is malformed or has another format version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let sections = parse_sections(bytes, HEAD_FILE)?;
        let Some((first, rest)) = sections.split_first() else {
            return Err(malformed(HEAD_FILE));
        };
        let mut fields = Fields::new(first, HEAD_FILE)?;
        check_version(&mut fields)?;
        let snapshot_revision = Revision(fields.number("snapshot")?);
        let mut head = Self {
            snapshot_revision,
            ..Self::default()
        };
        for entry in rest.chunk_by(|_, next| split_title(next).0 != "entry") {
            head.tail.push_back(Entry::parse(entry)?);
        }
        Ok(head)
    }
}

impl Entry {
    /// A copy of `ledger` with this entry applied, checked against the recorded revision and digest.
    fn next_ledger(&self, ledger: &Ledger) -> Result<Ledger, ApplyError> {
        let mut next = ledger.clone();
        let refused = |refusal| ApplyError::Refused {
            number: self.ticket.number,
            refusal,
        };
        next.apply(&self.ticket).map_err(refused)?;
        if next.revision() != self.revision || next.config().digest() != self.digest {
            let revision = self.revision;
            return Err(ApplyError::DigestMismatch { revision });
        }
        Ok(next)
    }

    /// Length of the canonical text, in bytes.
    fn size(&self) -> usize {
        self.ticket.canonical_text().len()
    }

    fn parse(sections: &[Section]) -> Result<Self, Error> {
        let [first, ticket, objects @ ..] = sections else {
            return Err(malformed(HEAD_FILE));
        };
        let mut fields = Fields::new(first, HEAD_FILE)?;
        let digest = fields.required("digest", "a digest", parse_digest)?;
        let revision = split_title(first).1.parse().ok();
        let number = Fields::new(ticket, HEAD_FILE)?.number("number")?;
        let changes = parse::changes(objects, HEAD_FILE)?;
        Ok(Self {
            revision: Revision(revision.ok_or_else(|| section_error(first, HEAD_FILE, "a revision"))?),
            digest,
            ticket: Ticket { number, changes },
        })
    }
}

impl Ledger {
    /// Encodes the ledger as a snapshot for the store and for peers.
    pub fn to_bytes(&self) -> Bytes {
        let mut writer = Writer::new();
        writer.line("[snapshot]");
        writer.key("version", VERSION);
        writer.key("revision", self.revision().0);
        writer.key("digest", self.config.digest());
        writer.key("floor", self.floor);
        writer.line("[numbers]");
        for (object, number) in &self.numbers {
            writer.key(&object.to_string(), number);
        }
        writer.line("[recent]");
        for accepted in &self.recent {
            let value = format!("{} {:016x}", accepted.revision.0, accepted.digest);
            writer.key(&accepted.number.to_string(), value);
        }
        writer.line(self.config.canonical_text().trim_end());
        Bytes::from(writer.finish())
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the value is malformed, has another format version, or if its configuration is
    /// invalid or does not have the recorded digest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let sections = parse_sections(bytes, SNAPSHOT_FILE)?;
        let [first, numbers, recent, objects @ ..] = sections.as_slice() else {
            return Err(malformed(SNAPSHOT_FILE));
        };
        let mut fields = Fields::new(first, SNAPSHOT_FILE)?;
        check_version(&mut fields)?;
        let mut config = Config {
            revision: Revision(fields.number("revision")?),
            ..Config::default()
        };
        let digest = fields.required("digest", "a digest", parse_digest)?;
        let floor = fields.number("floor")?;
        for change in parse::changes(objects, SNAPSHOT_FILE)? {
            set(&mut config, &change);
        }
        if config.digest() != digest || check::config(&config).is_err() {
            return Err(section_error(
                first,
                SNAPSHOT_FILE,
                "the configuration that the digest belongs to",
            ));
        }
        Ok(Self {
            config: config.into(),
            numbers: parse_pairs(numbers, parse_number)?,
            floor,
            recent: parse_pairs(recent, parse_accepted)?,
        })
    }
}

/// File names of the two values in errors.
const HEAD_FILE: &str = "carob/config/head";
const SNAPSHOT_FILE: &str = "carob/config/snapshot";

fn parse_sections(bytes: &[u8], file: &str) -> Result<Vec<Section>, Error> {
    let text = std::str::from_utf8(bytes).ok().ok_or_else(|| malformed(file))?;
    field::sections(text, file)
}

fn malformed(file: &str) -> Error {
    Error {
        file: file.to_owned(),
        line: 1,
        section: String::new(),
        key: String::new(),
        expected: "a value that this system wrote".to_owned(),
    }
}

fn check_version(fields: &mut Fields<'_>) -> Result<(), Error> {
    fields.required("version", "a version that this binary knows", |text| {
        (text.parse() == Ok(VERSION)).then_some(())
    })
}

fn parse_digest(text: &str) -> Option<Digest> {
    u64::from_str_radix(text, 16).ok().map(Digest)
}

fn parse_pairs<T: FromIterator<U>, U>(
    section: &Section,
    convert: impl Fn(&str, &str) -> Option<U>,
) -> Result<T, Error> {
    let malformed = || section_error(section, SNAPSHOT_FILE, "entries that this system wrote");
    let convert = |pair: &Pair| convert(&pair.key, &pair.value).ok_or_else(malformed);
    section.pairs.iter().map(convert).collect()
}

fn parse_number(key: &str, value: &str) -> Option<(ObjectId, u64)> {
    let (kind, name) = key.split_once(' ')?;
    let object = ObjectId(ObjectKind::parse(kind)?, Name::new(name).ok()?);
    Some((object, value.parse().ok()?))
}

fn parse_accepted(key: &str, value: &str) -> Option<Accepted> {
    let (revision, digest) = value.split_once(' ')?;
    Some(Accepted {
        number: key.parse().ok()?,
        revision: Revision(revision.parse().ok()?),
        digest: u64::from_str_radix(digest, 16).ok()?,
    })
}
