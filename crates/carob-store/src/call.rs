//! Calls and their results, as values that state machines without I/O return and accept.
//!
//! State machines do not access the network. They return a [`Call`]; the driver, a fake store or a replay
//! carries it out and passes the `Result<Reply, Failure>` back.

use std::time::Duration;

use bytes::Bytes;

carob_base::plain! {
    /// Id of a lease. Keys that are attached to it are deleted when it lapses.
    pub struct Lease(pub i64);

    /// State of the key that a compare-and-swap expects.
    pub enum Expect {
        /// The key does not exist.
        Absent,
        /// The key exists and was last changed at this store revision.
        At(u64),
    }

    /// Why a call failed.
    #[derive(thiserror::Error)]
    pub enum Failure {
        /// The call was certainly not carried out.
        #[error("the store could not be reached; the call was not carried out")]
        NotSent,
        /// The call may or may not have been carried out.
        #[error("the store's reply was lost; the call may have been carried out")]
        Unknown,
        /// The store answered that it cannot serve the call now; the call was not carried out.
        #[error("the store refused the call for now")]
        Unavailable,
        /// The lease has lapsed or never existed.
        #[error("the lease has lapsed")]
        LeaseLapsed,
    }
}

carob_base::value! {
    /// A key and its value.
    pub struct Entry {
        /// The key.
        pub key: Bytes,
        /// The value.
        pub value: Bytes,
        /// Store revision of the key's last change.
        pub revision: u64,
    }

    /// A call to the store. Every call counts towards the platform's rate limits.
    pub enum Call {
        /// Reads one key.
        Get {
            /// The key.
            key: Bytes,
        },
        /// Reads all keys that start with `prefix`.
        Scan {
            /// Common start of the keys.
            prefix: Bytes,
        },
        /// Compare-and-swap: puts `value` if the key is in the expected state, and reads the current entry
        /// otherwise.
        Swap {
            /// The key.
            key: Bytes,
            /// Expected state of the key.
            expect: Expect,
            /// The new value.
            value: Bytes,
            /// Lease to which the key is attached; `None` if it stays until it is deleted.
            lease: Option<Lease>,
        },
        /// Deletes the key if it was last changed at `revision`.
        Delete {
            /// The key.
            key: Bytes,
            /// Store revision of the expected last change.
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
        /// Revokes a lease; its keys are deleted.
        Revoke {
            /// The lease.
            lease: Lease,
        },
    }

    /// Reply to a call.
    pub enum Reply {
        /// Result of [`Call::Get`], with at most one entry, or of [`Call::Scan`].
        Entries {
            /// The entries, in the order of their keys.
            entries: Vec<Entry>,
            /// The store's revision at the time of the read.
            revision: u64,
        },
        /// A swap, delete or revocation took effect.
        Applied {
            /// The store's revision after the change; 0 after a revocation.
            revision: u64,
        },
        /// A swap or delete did not take effect, since the key was not in the expected state.
        Conflict {
            /// The current entry; `None` if the key does not exist.
            current: Option<Entry>,
        },
        /// A lease was granted or renewed.
        Leased {
            /// The lease.
            lease: Lease,
            /// Time for which it lasts, counted by the holder from when it sent the call.
            ttl: Duration,
        },
    }
}
