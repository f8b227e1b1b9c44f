//! Decides how many bytes of answers wait for their clients, and which slow readers are cut off.
//!
//! The rules are pure functions of byte counts and times. The thread that handles requests applies them.

use std::time::Duration;

/// Share of an instance's memory for the bodies of requests, if the settings do not state their limit: half of it is left
/// for what the process holds besides, at 88 MB some 40 MB.
const BODY_SHARE: usize = 4;

/// Share of an instance's memory for answers that wait for their clients.
const ANSWER_SHARE: usize = 8;

/// Minimum memory for answers that wait; settings files without a `memory` may state bodies of a few kilobytes.
const MIN_TOTAL: usize = 4 << 20;

/// Share of the free memory that one answer may hold. With `n` slow readers, `FREE_SHARE / (n + FREE_SHARE)` of the total
/// stays free, so that one more answer is not stopped by those that wait already.
const FREE_SHARE: usize = 8;

/// Time without a read after which an answer is cut off. Clients bear a pause of at least 2 s, and after 3 s the kernel resets
/// the connection (`TCP_USER_TIMEOUT`), which would look like a client that has disconnected.
const UNREAD_TIME: Duration = Duration::from_millis(2_500);

/// Time for which a client is left alone when memory is short: far above the round trip to clients (6 ms), and below every
/// pause after which clients give up (2 s).
const PRESSED_TIME: Duration = Duration::from_secs(1);

/// Maximum number of bytes of an answer that wait for its client. One round trip to a client takes 6 ms, in which a link of
/// 200 Mbit/s carries 150 kB. Streams of some hundred bytes for each event fit whole, so that a pause of their clients ends
/// none of them early.
const MAX_WAITING: usize = 256 << 10;

/// What an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A stream of events.
    Stream,
    /// A plain answer that is passed on as it arrives.
    Plain,
    /// A plain answer that was read completely.
    Whole,
}

impl Kind {
    /// All kinds.
    pub const ALL: [Self; 3] = [Self::Stream, Self::Plain, Self::Whole];

    /// Name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stream => "stream",
            Self::Plain => "plain",
            Self::Whole => "whole",
        }
    }
}

/// An answer of which bytes wait for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Bytes that wait.
    pub bytes: usize,
    /// Time since the client last took some, or since they began to wait.
    pub unread: Duration,
    /// Time since none waited.
    pub behind: Duration,
}

/// Why an answer is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutReason {
    /// Its client has read nothing for too long.
    Unread,
    /// Its client has read nothing for a while, and memory is short.
    UnreadWhileShort,
    /// Its client reads slowly, and memory is exhausted.
    SlowWhileFull,
}

impl CutReason {
    /// Name in log lines and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unread => "unread",
            Self::UnreadWhileShort => "unread-while-short",
            Self::SlowWhileFull => "slow-while-full",
        }
    }
}

/// Memory for answers that wait for their clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    total: usize,
}

impl Budget {
    /// The budget of an instance with `memory` bytes.
    pub const fn of_memory(memory: usize) -> Self {
        let total = memory / ANSWER_SHARE;
        Self {
            total: if total < MIN_TOTAL { MIN_TOTAL } else { total },
        }
    }

    /// Bytes for all answers together.
    pub const fn total(self) -> usize {
        self.total
    }

    /// Number of bytes of one answer that may wait before its upstream is read further, while all hold `held`. Those that
    /// hold most are stopped first; one that holds nothing is read on.
    pub fn allowance(self, held: usize) -> usize {
        MAX_WAITING.min(self.total.saturating_sub(held) / FREE_SHARE)
    }

    /// Whether readers are cut off earlier: a quarter of the memory is left.
    pub const fn is_short(self, held: usize) -> bool {
        held > self.total / 4 * 3
    }

    /// Whether requests are refused: slow readers are cut off well before.
    pub const fn is_exhausted(self, held: usize) -> bool {
        held > self.total / 4 * 5
    }

    /// Decides which of the `holders` are cut off while all hold `held`; returns their indices.
    ///
    /// Of those that may be cut off, the largest go first, and only until memory is not short any more. A client that reads
    /// everything at once is never cut off.
    pub fn choose_cut(self, held: usize, holders: &[Holder]) -> Vec<(usize, CutReason)> {
        let mut left = held;
        let mut cut = Vec::new();
        let mut waiting = Vec::new();
        for (index, holder) in holders.iter().enumerate().filter(|(_, holder)| holder.bytes > 0) {
            if holder.unread >= UNREAD_TIME {
                left = left.saturating_sub(holder.bytes);
                cut.push((index, CutReason::Unread));
            } else {
                waiting.push((index, holder));
            }
        }
        waiting.sort_by_key(|(_, holder)| std::cmp::Reverse((holder.bytes, holder.unread)));
        for (index, holder) in &waiting {
            if self.is_short(left) && holder.unread >= PRESSED_TIME {
                left = left.saturating_sub(holder.bytes);
                cut.push((*index, CutReason::UnreadWhileShort));
            }
        }
        for (index, holder) in &waiting {
            if left > self.total && holder.unread < PRESSED_TIME && holder.behind >= PRESSED_TIME {
                left = left.saturating_sub(holder.bytes);
                cut.push((*index, CutReason::SlowWhileFull));
            }
        }
        cut
    }
}

/// Bytes of request bodies that an instance with `memory` bytes holds, unless its settings say otherwise.
pub const fn body_share(memory: usize) -> usize {
    memory / BODY_SHARE
}

/// Memory of an instance whose settings state only the limit for bodies.
pub const fn memory_of_bodies(bodies: usize) -> usize {
    bodies.saturating_mul(BODY_SHARE)
}
