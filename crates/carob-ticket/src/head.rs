//! The values in which the store and peers hold the order of tickets.
//!
//! The *head* is one small value that every accepted ticket changes by compare-and-swap, so there is one order. It
//! holds the last tickets, and names the revision that the *snapshot*, a second and larger value, has at least.
//! An instance that is only a few tickets behind needs the head alone.

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
/// Text of the tail's tickets from which a new snapshot is due, in bytes.
pub const SNAPSHOT_THRESHOLD: usize = 8 * 1024;
/// Text of the tickets that stay in the tail after a snapshot, in bytes; the last ticket always stays.
const TAIL_KEEP: usize = 4 * 1024;
/// Version of both formats. A reader refuses newer ones and keeps the configuration that it has.
const VERSION: u16 = 1;

carob_base::value! {
    /// One accepted ticket.
    pub struct Entry {
        /// Revision that it made.
        pub revision: Revision,
        /// Digest of the configuration at that revision.
        pub digest: Digest,
        /// The ticket.
        pub ticket: Ticket,
    }

    /// The head; empty before the first ticket.
    #[derive(Default)]
    pub struct Head {
        /// The last accepted tickets, oldest first, without gaps.
        pub tail: VecDeque<Entry>,
        /// Revision that the snapshot has at least; 0 if none is needed.
        pub snapshot_revision: Revision,
    }
}

/// Why the entries of a head could not be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The tail starts after the next revision: the snapshot is needed.
    #[error("the tail starts after the next revision")]
    Gap,
    /// An accepted ticket cannot be applied here; the binary differs from the one that accepted it.
    #[error("ticket {number} does not apply: {refusal}")]
    Refused {
        /// The ticket's number.
        number: u64,
        /// Why it does not apply.
        refusal: Refusal,
    },
    /// The configuration has another digest than the one recorded; the binary differs.
    #[error("{revision} has another digest than the one recorded")]
    DigestMismatch {
        /// The revision.
        revision: Revision,
    },
}

impl Head {
    /// The last accepted revision.
    pub fn revision(&self) -> Revision {
        self.tail
            .back()
            .map_or(self.snapshot_revision, |entry| entry.revision)
    }

    /// Applies the entries that `ledger` does not have yet.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`]; the ledger then stands before the entry that could not be applied.
    pub fn apply_to(&self, ledger: &mut Ledger) -> Result<(), ApplyError> {
        for entry in &self.tail {
            let next = Revision(ledger.revision().0 + 1);
            if entry.revision < next {
                continue;
            }
            if entry.revision > next {
                return Err(ApplyError::Gap);
            }
            *ledger = entry.applied(ledger)?;
        }
        if ledger.revision() < self.revision() {
            return Err(ApplyError::Gap);
        }
        Ok(())
    }

    /// Adds the ticket that made `ledger`'s revision.
    pub fn push(&mut self, ticket: Ticket, ledger: &Ledger) {
        self.tail.push_back(Entry {
            revision: ledger.revision(),
            digest: ledger.config().digest(),
            ticket,
        });
    }

    /// Whether a snapshot is due before the next ticket.
    pub fn needs_snapshot(&self) -> bool {
        self.tail.iter().map(Entry::size).sum::<usize>() > SNAPSHOT_THRESHOLD
    }

    /// Drops the older entries; the snapshot has to have at least the present revision.
    pub fn compact(&mut self) {
        self.snapshot_revision = self.revision();
        let mut kept: usize = self.tail.iter().map(Entry::size).sum();
        while kept > TAIL_KEEP && self.tail.len() > 1 {
            kept -= self.tail.pop_front().map_or(0, |entry| entry.size());
        }
    }

    /// The entries after `revision`, if the tail has them all.
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

    /// The head as a value of the store.
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

    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the value is none, or one of a newer version.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let sections = sections(bytes, HEAD_FILE)?;
        let Some((first, rest)) = sections.split_first() else {
            return Err(not_text(HEAD_FILE));
        };
        let mut fields = Fields::new(first, HEAD_FILE)?;
        version(&mut fields)?;
        let snapshot_revision = Revision(fields.number("snapshot")?);
        let mut head = Self {
            snapshot_revision,
            ..Self::default()
        };
        for entry in rest.chunk_by(|_, next| split_title(next).0 != "entry") {
            head.tail.push_back(Entry::read(entry)?);
        }
        Ok(head)
    }
}

impl Entry {
    fn applied(&self, ledger: &Ledger) -> Result<Ledger, ApplyError> {
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

    fn size(&self) -> usize {
        self.ticket.canonical_text().len()
    }

    fn read(sections: &[Section]) -> Result<Self, Error> {
        let [first, ticket, objects @ ..] = sections else {
            return Err(not_text(HEAD_FILE));
        };
        let mut fields = Fields::new(first, HEAD_FILE)?;
        let digest = fields.need("digest", "a digest", digest)?;
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
    /// The whole ledger as a value of the store.
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
        for answer in &self.recent {
            let value = format!("{} {:016x}", answer.revision.0, answer.digest);
            writer.key(&answer.number.to_string(), value);
        }
        writer.line(self.config.canonical_text().trim_end());
        Bytes::from(writer.finish())
    }

    /// Reads a ledger.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the value is none, is of a newer version or does not have its digest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, Error> {
        let sections = sections(bytes, SNAPSHOT_FILE)?;
        let [first, numbers, recent, objects @ ..] = sections.as_slice() else {
            return Err(not_text(SNAPSHOT_FILE));
        };
        let mut fields = Fields::new(first, SNAPSHOT_FILE)?;
        version(&mut fields)?;
        let mut config = Config {
            revision: Revision(fields.number("revision")?),
            ..Config::default()
        };
        let digest = fields.need("digest", "a digest", digest)?;
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
            numbers: pairs(numbers, object_number)?,
            floor,
            recent: pairs(recent, answer)?,
        })
    }
}

/// Names of the values in errors.
const HEAD_FILE: &str = "carob/config/head";
const SNAPSHOT_FILE: &str = "carob/config/snapshot";

fn sections(bytes: &[u8], file: &str) -> Result<Vec<Section>, Error> {
    let text = std::str::from_utf8(bytes).ok().ok_or_else(|| not_text(file))?;
    field::sections(text, file)
}

fn not_text(file: &str) -> Error {
    Error {
        file: file.to_owned(),
        line: 1,
        section: String::new(),
        key: String::new(),
        expected: "a value that this system wrote".to_owned(),
    }
}

fn version(fields: &mut Fields<'_>) -> Result<(), Error> {
    fields.need("version", "a version that this binary knows", |text| {
        (text.parse() == Ok(VERSION)).then_some(())
    })
}

fn digest(text: &str) -> Option<Digest> {
    u64::from_str_radix(text, 16).ok().map(Digest)
}

fn pairs<T: FromIterator<U>, U>(
    section: &Section,
    convert: impl Fn(&str, &str) -> Option<U>,
) -> Result<T, Error> {
    let wrong = || section_error(section, SNAPSHOT_FILE, "entries that this system wrote");
    let convert = |pair: &Pair| convert(&pair.key, &pair.value).ok_or_else(wrong);
    section.pairs.iter().map(convert).collect()
}

fn object_number(key: &str, value: &str) -> Option<(ObjectId, u64)> {
    let (kind, name) = key.split_once(' ')?;
    let object = ObjectId(ObjectKind::parse(kind)?, Name::new(name).ok()?);
    Some((object, value.parse().ok()?))
}

fn answer(key: &str, value: &str) -> Option<Accepted> {
    let (revision, digest) = value.split_once(' ')?;
    Some(Accepted {
        number: key.parse().ok()?,
        revision: Revision(revision.parse().ok()?),
        digest: u64::from_str_radix(digest, 16).ok()?,
    })
}
