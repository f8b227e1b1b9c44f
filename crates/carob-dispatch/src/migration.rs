//! Limits and timeouts of migrating a running generation to another upstream.
//!
//! The generation's memory (its KV cache) is copied while it keeps running at the source. The target then
//! continues from the copy and recomputes the few tokens generated since; the source is told to stop once the
//! target has answered, or has not answered for [`OVERLAP`]: from the request on it may run the generation. Before the
//! target continues, the copy is repeated to catch up with what was generated during the previous copy.
//!
//! Copies from one upstream queue on its link. Therefore the copy of each generation is requested as soon as
//! it is known that the source leaves, except of those that are about to end ([`SHORT_REMAINING`]), and it is
//! not repeated for tokens that can be recomputed as fast ([`CAUGHT_UP_THRESHOLD`]).

use std::time::Duration;

/// A generation that is expected to end within this time is not copied at first, so that it does not hold up
/// the copies of others. If it is still running after this time, it is copied.
pub const SHORT_REMAINING: Duration = Duration::from_millis(700);

/// Number of targets that are tried for one generation before the first ones are tried again.
pub const MAX_TARGETS: usize = 6;

/// Time after the notice of leaving from which the migration fails once no target with room is left to try:
/// a copy takes 0.2 s, and the shortest notice is 1.5 s. A target with room is still tried after this time.
pub const COPY_CUTOFF: Duration = Duration::from_millis(1_300);

/// A catch-up copy that took less than this leaves only about ten tokens to recompute, so no further one is
/// made.
pub const CAUGHT_UP_THRESHOLD: Duration = Duration::from_millis(100);

/// No further catch-up copy is started later than this after the notice of leaving; the shortest notice is
/// 1.5 s.
pub const CATCH_UP_CUTOFF: Duration = Duration::from_millis(1_100);

/// Time from the request to the target until the source is called to stop, unless the target has answered. Both may work
/// on one generation for at most 400 ms, the way of the stop to the source included; most targets answer in less.
pub const OVERLAP: Duration = Duration::from_millis(200);

/// Time for calls that stop the source and keep its memory. If none could be sent by then, or they are refused for lack of
/// room, its connection is closed.
pub const HOLD_TIMEOUT: Duration = Duration::from_millis(120);

/// Time limit of a call that stops a generation, of which the next one follows after [`STOP_INTERVAL`].
pub const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the confirmation that an upstream has stopped a generation is awaited before it goes on elsewhere; an
/// upstream that can be reached confirms it in less.
pub const CONFIRM_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause between calls to stop a generation at an upstream that has not confirmed it. Once such an upstream can be
/// reached again, it is stopped within the time for which two may work on one generation.
pub const STOP_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which an upstream that may run a generation is called to stop it; it has forgotten the copy by then.
pub const STOP_PERIOD: Duration = Duration::from_secs(20);

/// How often a call that waits for its turn at an upstream which cannot be reached checks whether it may be made. All that
/// wait are made as soon as one of them could be sent.
pub const TURN_INTERVAL: Duration = Duration::from_millis(20);

/// Number of answers in a row that an upstream runs no such generation after which it is taken to run none later either,
/// if the request may still have been on its way.
pub const QUIET_ANSWERS: u32 = 3;

/// Time limit for the first bytes of the target, from the request on. A sound upstream may be silent for a second or so.
pub const TARGET_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Largest part of the pause that clients bear which [`TARGET_TIMEOUT`] may take; the rest is for going on from the source's
/// memory.
pub const TARGET_SHARE: f64 = 0.5;

/// Delay before a copy call is repeated because the source ran no such generation yet or had another copy
/// call in progress.
pub const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of tries of one copy call that is repeated after [`RETRY_DELAY`].
pub const COPY_ATTEMPTS: u32 = 12;

/// Timeout of a copy call: twice the time to copy the memory of a full engine over one link between failure
/// domains.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(4);
