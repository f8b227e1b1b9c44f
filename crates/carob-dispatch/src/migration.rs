//! Limits and timeouts of migrating a running generation to another upstream.
//!
//! The generation's memory (its KV cache) is copied while it keeps running at the source. The target then
//! continues from the copy and recomputes the few tokens generated since; the source is told to stop once the
//! target has answered. Copies from one upstream queue on its link. Therefore the copy of each generation is
//! requested at once, and nothing is copied that can be recomputed as fast.

use std::time::Duration;

/// A generation that is expected to end within this time is not copied at first, so that it does not hold up
/// the copies of others. If it is still running after this time, it is copied.
pub const SHORT_REMAINING: Duration = Duration::from_millis(700);

/// Number of targets that are tried for one generation before the first ones are tried again.
pub const MAX_TARGETS: usize = 6;

/// No copy is started later than this after the notice of leaving: a copy takes 0.2 s, and the shortest notice
/// is 1.5 s.
pub const COPY_CUTOFF: Duration = Duration::from_millis(1_300);

/// A copy that took less than this leaves only about ten tokens to recompute, so no further copy is made.
pub const CAUGHT_UP_THRESHOLD: Duration = Duration::from_millis(100);

/// No further catch-up copy is started later than this after the notice of leaving; the shortest notice is
/// 1.5 s.
pub const CATCH_UP_CUTOFF: Duration = Duration::from_millis(1_100);

/// How long the source keeps running after the target has answered and until the target's first event. Both
/// may work on one generation for at most 400 ms.
pub const OVERLAP: Duration = Duration::from_millis(200);

/// Delay before a copy call is repeated because the source ran no such generation yet or had another copy
/// call in progress.
pub const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum number of tries of one copy call that is repeated after [`RETRY_DELAY`].
pub const COPY_ATTEMPTS: u32 = 12;

/// Timeout of a copy call: twice the time to copy the memory of a full engine over one link between failure
/// domains.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(4);
