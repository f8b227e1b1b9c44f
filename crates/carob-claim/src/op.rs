//! Changes to a stored value, and their effects.
//!
//! A change refers to its claim by the nonce, so applying it repeatedly has the same effect as applying it
//! once.

use crate::{
    Options, Outcome,
    record::{DONE, Page, RESERVED, Record, UNKNOWN},
};

carob_base::plain! {
    /// Identity of one claim; never reused.
    pub struct Nonce {
        /// The process that creates the claim.
        pub holder: u64,
        /// Number of the claim at that process.
        pub serial: u64,
    }
}

carob_base::value! {
    /// A change to a claim.
    pub enum Change {
        /// Creates the claim.
        Reserve {
            /// Digest of the request.
            fingerprint: u64,
        },
        /// Records the outcome.
        Finish(Outcome),
        /// Records that the call was sent and that its outcome is not known.
        MarkUnknown,
        /// Removes the claim, whose call was certainly never sent.
        Release,
    }

    /// A change to the claim on one key.
    pub struct Op {
        /// Digest of the key.
        pub id: u128,
        /// Identity of the claim.
        pub nonce: Nonce,
        /// What to do with the claim.
        pub change: Change,
    }

    /// The effect of a change on a page.
    pub enum Effect {
        /// The page has been changed and must be stored.
        Changed,
        /// The change was already made, or there is nothing left to change.
        Unchanged,
        /// Another call holds the claim on the key.
        HeldByOther(Record),
        /// The page is full.
        Full,
    }
}

impl Op {
    /// Applies the change to `page`.
    pub fn apply(&self, page: &mut Page, options: &Options) -> Effect {
        match &self.change {
            Change::Reserve { fingerprint } => self.reserve(*fingerprint, page, options),
            Change::Finish(outcome) => self.finish(outcome, page, options),
            Change::MarkUnknown => self.update_reserved(page, |record| record.state = UNKNOWN),
            Change::Release => self.release(page),
        }
    }

    fn reserve(&self, fingerprint: u64, page: &mut Page, options: &Options) -> Effect {
        if let Some(record) = page.find(self.id) {
            return if self.owns(record) {
                Effect::Unchanged
            } else {
                Effect::HeldByOther(record.clone())
            };
        }
        if prost::Message::encoded_len(page) >= options.value_limit {
            return Effect::Full;
        }
        page.records.push(Record {
            id_high: (self.id >> 64) as u64,
            id_low: self.id as u64,
            holder: self.nonce.holder,
            serial: self.nonce.serial,
            fingerprint,
            state: RESERVED,
            ..Record::default()
        });
        Effect::Changed
    }

    fn finish(&self, outcome: &Outcome, page: &mut Page, options: &Options) -> Effect {
        // The status is always stored, the body only if the value has room for it.
        let room = options
            .value_limit
            .saturating_sub(prost::Message::encoded_len(page));
        let outcome = outcome.clone().with_body_limit(room.min(options.body_limit));
        self.update_reserved(page, |record| {
            record.state = DONE;
            record.status = u32::from(outcome.status);
            record.media = outcome.media;
            record.body = outcome.body;
        })
    }

    /// Changes the claim if it is still reserved. A claim that is missing has expired together with its
    /// value, so there is nothing left to record.
    fn update_reserved(&self, page: &mut Page, change: impl FnOnce(&mut Record)) -> Effect {
        let found = page.find_mut(self.id).filter(|record| self.owns(record));
        let Some(record) = found.filter(|record| record.state == RESERVED) else {
            return Effect::Unchanged;
        };
        change(record);
        Effect::Changed
    }

    fn release(&self, page: &mut Page) -> Effect {
        let before = page.records.len();
        page.records
            .retain(|record| !(record.is_for(self.id) && self.owns(record)));
        if page.records.len() < before {
            Effect::Changed
        } else {
            Effect::Unchanged
        }
    }

    const fn owns(&self, record: &Record) -> bool {
        record.holder == self.nonce.holder && record.serial == self.nonce.serial
    }
}
