//! The calls and their outcomes, as values that pure state machines emit and take in.
//!
//! State machines never touch the network: they emit a [`Call`], and the driver, a fake or a replay feeds the
//! `Result<Reply, Failure>` back in.

use std::time::Duration;

use bytes::Bytes;

carob_base::plain! {
    /// Id of a lease; keys put under it vanish when it lapses.
    pub struct Lease(pub i64);

    /// What a compare-and-swap expects of the key.
    pub enum Expect {
        /// The key does not exist.
        Absent,
        /// The key was last changed at this store revision.
        At(u64),
    }

    /// Why a call has no reply.
    #[derive(thiserror::Error)]
    pub enum Failure {
        /// The call was certainly not carried out.
        #[error("the store could not be reached; the call was not carried out")]
        NotSent,
        /// The call may or may not have been carried out.
        #[error("the store's reply was lost; the call may have been carried out")]
        Unknown,
        /// The store answered that it cannot serve now; the call was not carried out.
        #[error("the store refused the call for now")]
        Unavailable,
        /// The lease has lapsed or never existed.
        #[error("the lease has lapsed")]
        LeaseLapsed,
    }
}

carob_base::value! {
    /// A key with its value.
    pub struct Entry {
        /// The key.
        pub key: Bytes,
        /// The value.
        pub value: Bytes,
        /// Store revision of the key's last change.
        pub revision: u64,
    }

    /// One call. Each counts towards the platform's rate limits.
    pub enum Call {
        /// Reads one key.
        Get {
            /// The key.
            key: Bytes,
        },
        /// Reads every key that starts with `prefix`.
        Scan {
            /// Start of the keys.
            prefix: Bytes,
        },
        /// Puts `value` if the key is as expected; a read of the present entry otherwise.
        Swap {
            /// The key.
            key: Bytes,
            /// What the key must be like.
            expect: Expect,
            /// The new value.
            value: Bytes,
            /// Lease under which the key lives.
            lease: Option<Lease>,
        },
        /// Deletes the key if it was last changed at `revision`.
        Delete {
            /// The key.
            key: Bytes,
            /// Store revision of the last change.
            revision: u64,
        },
        /// Grants a lease.
        Grant {
            /// How long the lease lasts without renewal.
            ttl: Duration,
        },
        /// Renews a lease.
        Renew {
            /// The lease.
            lease: Lease,
        },
        /// Gives a lease up; its keys vanish.
        Revoke {
            /// The lease.
            lease: Lease,
        },
    }

    /// Reply to a call that was carried out.
    pub enum Reply {
        /// Entries read by [`Call::Get`] (at most one) or [`Call::Scan`], with the store's revision.
        Entries {
            /// The entries, in the order of their keys.
            entries: Vec<Entry>,
            /// The store's revision at the read.
            revision: u64,
        },
        /// A swap or delete took effect at this store revision.
        Applied {
            /// The store's revision after the change.
            revision: u64,
        },
        /// A swap or delete did not take effect; the key as it is now.
        Conflict {
            /// The present entry, if the key exists.
            current: Option<Entry>,
        },
        /// A lease was granted or renewed.
        Leased {
            /// The lease.
            lease: Lease,
            /// How long it lasts from the moment the call was sent.
            ttl: Duration,
        },
    }
}
