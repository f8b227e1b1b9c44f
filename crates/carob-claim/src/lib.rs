//! At-most-once execution of non-idempotent calls.
