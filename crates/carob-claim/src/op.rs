//! Changes to a value and what they come to.
//!
//! A change names the claim by its nonce, so that it takes effect once however often it is applied.

use crate::{
    Options, Outcome,
    record::{DONE, Page, RESERVED, Record, UNKNOWN},
};

carob_base::plain! {
    /// Identity of one claim, never used twice.
    pub struct Nonce {
        /// The process that makes the claim.
        pub holder: u64,
        /// Number of the claim at that process.
        pub serial: u64,
    }
}

carob_base::value! {
    /// What a change does.
    pub enum Change {
        /// Makes the claim.
        Reserve {
            /// Digest of the request.
            fingerprint: u64,
        },
        /// Records the outcome.
        Finish(Outcome),
        /// Records that the call was sent and that its outcome is not known.
        MarkUnknown,
        /// Removes the claim, which was certainly never used to send.
        Release,
    }

    /// A change to the claim on one key.
    pub struct Op {
        /// Digest of the key.
        pub id: u128,
        /// The claim.
        pub nonce: Nonce,
        /// The change.
        pub change: Change,
    }

    /// What a change comes to on a given page.
    pub enum Effect {
        /// The page has been changed and must be stored.
        Changed,
        /// The page already says so.
        Unchanged,
        /// Another claim stands in the way.
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
            Change::MarkUnknown => self.settle(page, |record| record.state = UNKNOWN),
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
        // The status is always kept; the body only while the value has room.
        let room = options
            .value_limit
            .saturating_sub(prost::Message::encoded_len(page));
        let outcome = outcome.clone().with_body_limit(room.min(options.body_limit));
        self.settle(page, |record| {
            record.state = DONE;
            record.status = u32::from(outcome.status);
            record.media = outcome.media;
            record.body = outcome.body;
        })
    }

    /// Changes the claim once; a claim that is gone has outlived its value, and there is nothing left to record.
    fn settle(&self, page: &mut Page, change: impl FnOnce(&mut Record)) -> Effect {
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
