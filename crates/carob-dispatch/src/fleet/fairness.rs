//! Fair shares of client accounts in the queue.
//!
//! Each account has a flow, and within it each shared part of a prompt. Flows are served by start-time fair queueing: the
//! virtual time of a flow grows by the tokens that it is granted, and the flow with the lowest one goes first (Goyal, Vin and
//! Cheng, "Start-time Fair Queuing", 1996). One account, or one part within an account, that has many requests waiting
//! therefore gets no more than others that wait. An account that was refused is not charged, so that its callers who return
//! go before those of accounts that were served.

use std::{collections::HashMap, hash::Hash};

use carob_base::Time;

carob_base::plain! {
    /// What a queued request shares its turn by; only where the requests of its service differ in priority.
    pub struct Share {
        /// Hash of its client account.
        pub account: u64,
        /// Hash of the last part of its prompt that other requests may share.
        pub part: u64,
        /// When it is given up if it still waits.
        pub until: Time,
    }
}

/// Share of its longest wait that is left when a request goes before others of its priority, and in turn with more urgent
/// ones.
const AGED_SHARE: f64 = 0.25;

impl Share {
    /// Whether a request that is queued since `queued_at` has nearly used its time.
    pub(super) fn is_aged(&self, queued_at: Time, now: Time) -> bool {
        let left = self.until.since(now);
        left < self.until.since(queued_at).mul_f64(AGED_SHARE)
    }
}

/// Virtual times of flows.
#[derive(Debug)]
struct Flows<K> {
    /// Virtual start time of the last request that was granted.
    virtual_time: u64,
    /// Virtual times at which flows go on, in tokens; those that are past are left out.
    ends: HashMap<K, u64>,
}

impl<K: Copy + Eq + Hash> Flows<K> {
    fn start(&self, flow: K) -> u64 {
        let end = self.ends.get(&flow).copied().unwrap_or(0);
        end.max(self.virtual_time)
    }

    fn charge(&mut self, flow: K, tokens: u64) {
        let start = self.start(flow);
        self.virtual_time = start;
        self.ends.insert(flow, start + tokens);
        self.ends.retain(|_, end| *end > start);
    }
}

/// The flows of accounts, and of prompt parts within accounts.
#[derive(Debug, Default)]
pub(super) struct Shares {
    accounts: Flows<u64>,
    parts: Flows<(u64, u64)>,
}

impl<K> Default for Flows<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            ends: HashMap::new(),
        }
    }
}

impl Shares {
    /// Virtual start times of a request; the lowest goes first.
    pub(super) fn starts(&self, share: &Share) -> (u64, u64) {
        (
            self.accounts.start(share.account),
            self.parts.start((share.account, share.part)),
        )
    }

    /// Charges a request that is granted.
    pub(super) fn charge(&mut self, share: &Share, tokens: u64) {
        self.accounts.charge(share.account, tokens);
        self.parts.charge((share.account, share.part), tokens);
    }
}
