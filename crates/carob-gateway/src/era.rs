//! The era of the store's history that this instance follows, and later ones that it has seen.
//!
//! A store that comes back from a copy gives revisions out again, in a later era. Nothing of two eras is mixed: a later
//! era is followed once all content of it has been read, and what comes from an earlier one is dropped.

use std::cmp::Ordering;

use carob_platform::store::EraError;

/// Number of eras by which a store may be ahead of the known one. A larger number is a damaged header.
const MAX_ERA_STEP: u64 = 1_000;

carob_base::plain! {
    /// A point in the history of the store. Any point of a later era is later, whatever its revision.
    #[derive(Default)]
    pub struct Position {
        /// Era of the history; zero with a store that names none.
        pub era: u64,
        /// Revision of the store within the era.
        pub revision: u64,
    }
}

impl Position {
    /// The point before the first change.
    pub const START: Self = Self::new(0, 0);

    /// Creates the point `revision` of `era`.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

carob_base::plain! {
    /// What an answer's era says about the content in it.
    pub enum AnswerEra {
        /// It belongs to the era that is followed.
        Followed,
        /// It names no era that can be used, and counts as one of the era that was followed when it was asked for.
        Unnamed,
        /// It belongs to this later era, which is not followed yet.
        Later(u64),
        /// It belongs to this earlier era, or to that of another store.
        Earlier(u64),
    }
}

carob_base::value! {
    /// Why an answer's era is not used.
    #[derive(thiserror::Error)]
    pub enum Unusable {
        /// The header cannot be read.
        #[error("{0}")]
        Header(EraError),
        /// It is too far ahead of the known era.
        #[error("expected an era of at most {}, found {found}", known + MAX_ERA_STEP)]
        Ahead {
            /// The era that the answer names.
            found: u64,
            /// The latest era that was seen.
            known: u64,
        },
        /// The store has been read since and was in an earlier one.
        #[error("expected an era that the store names itself, found {0}")]
        Refuted(u64),
    }
}

/// The followed era and the latest one that was seen. The first answer decides which era is followed.
#[derive(Clone, Debug, Default)]
pub struct Eras {
    followed: Option<u64>,
    latest: u64,
    /// A later era that a read has refuted, so that only the store itself can name it again.
    refuted: Option<u64>,
    /// What was last reported as unusable, so that it is reported once.
    reported: Option<Unusable>,
}

impl Eras {
    /// Creates the state before the first answer.
    pub const fn new() -> Self {
        Self {
            followed: None,
            latest: 0,
            refuted: None,
            reported: None,
        }
    }

    /// The era that is followed; zero before the first, and with a store that names none.
    pub fn followed(&self) -> u64 {
        self.followed.unwrap_or(0)
    }

    /// The later era that was seen and is not followed yet, if any.
    pub fn pending(&self) -> Option<u64> {
        (self.latest > self.followed()).then_some(self.latest)
    }

    /// Judges an answer of the store by the era that it names. The reason why that is not used is returned as well, unless
    /// it was returned for the answer before.
    pub fn judge(&mut self, named: Result<Option<u64>, EraError>) -> (AnswerEra, Option<Unusable>) {
        let judged = match named {
            Ok(Some(era)) => self.see(era),
            // A store that names no era, or an answer whose header is lost.
            Ok(None) => return (AnswerEra::Unnamed, None),
            Err(error) => Err(Unusable::Header(error)),
        };
        match judged {
            Ok(era) => {
                self.reported = None;
                (era, None)
            }
            Err(unusable) => {
                let is_new = self.reported.as_ref() != Some(&unusable);
                self.reported = Some(unusable.clone());
                (AnswerEra::Unnamed, is_new.then_some(unusable))
            }
        }
    }

    /// Records an era that another instance follows.
    ///
    /// # Errors
    ///
    /// Returns [`Unusable`] if it is too far ahead of the known era, or a read has refuted it.
    pub fn see_peer(&mut self, era: u64) -> Result<AnswerEra, Unusable> {
        if self.refuted == Some(era) {
            return Err(Unusable::Refuted(era));
        }
        self.see(era)
    }

    /// Records an era that the store names.
    fn see(&mut self, era: u64) -> Result<AnswerEra, Unusable> {
        let known = self.latest.max(self.followed());
        if self.followed() > 0 && era > known + MAX_ERA_STEP {
            return Err(Unusable::Ahead { found: era, known });
        }
        self.latest = known.max(era);
        Ok(match era.cmp(&self.followed()) {
            Ordering::Less => AnswerEra::Earlier(era),
            Ordering::Equal => AnswerEra::Followed,
            Ordering::Greater => AnswerEra::Later(era),
        })
    }

    /// Records that all content of `era` is known. Returns the era that was followed before; `None` if that is the same or a
    /// later one, if there was none, or if it was not known, since content came from an instance that knows no eras.
    pub fn follow(&mut self, era: u64) -> Option<u64> {
        let before = self.followed;
        if before.is_some_and(|before| before >= era) {
            return None;
        }
        self.followed = Some(era);
        self.latest = self.latest.max(era);
        before.filter(|before| *before > 0)
    }

    /// Records that a read of all content which began after `pending` was seen belongs to the followed era, so that the
    /// store is not in that later one.
    pub fn refute(&mut self, pending: u64) -> bool {
        let refuted = pending > self.followed() && self.latest == pending;
        if refuted {
            self.latest = self.followed();
            self.refuted = Some(pending);
        }
        refuted
    }
}

carob_base::plain! {
    /// A span of the store's history.
    pub struct Span {
        /// Era of both ends.
        pub era: u64,
        /// Revision that it begins after.
        pub base: u64,
        /// Revision that it leads to, inclusive.
        pub revision: u64,
    }
}

impl Span {
    /// Joins this span with a `later` one; `None` if that is of another era or leaves out changes between the two.
    pub fn join(self, later: Self) -> Option<Self> {
        let is_next = self.era == later.era && later.base <= self.revision && later.revision >= self.revision;
        is_next.then_some(Self {
            base: self.base.min(later.base),
            ..later
        })
    }
}
