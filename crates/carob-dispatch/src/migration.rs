//! The steps of moving a running generation to another upstream.
//!
//! A generation's memory is copied while it goes on; then the other upstream continues it from the copy and computes
//! the few tokens since anew, and the source is told to stop once the other has answered. Copies from one upstream
//! queue on its link, so that one begins at once for each generation and none is made of what is computed as fast.

use std::time::Duration;

/// A generation that is expected to end within this time is not copied at first, so that others' copies are not
/// held up; if it is still there then, it is.
pub const SHORT_REMAINING: Duration = Duration::from_millis(700);

/// Other upstreams that are asked for the copy of one generation before the first ones are asked again.
pub const MAX_TARGETS: usize = 6;

/// When no copy is begun any more, after the notice: one takes 0.2 s, and the shortest notice is 1.5 s.
pub const COPY_CUTOFF: Duration = Duration::from_millis(1_300);

/// A copy that took less than this left little to compute anew: some ten tokens.
pub const CAUGHT_UP_THRESHOLD: Duration = Duration::from_millis(100);

/// When no further copy of what is new is begun, after the notice; the shortest notice is 1.5 s.
pub const CATCH_UP_CUTOFF: Duration = Duration::from_millis(1_100);

/// How long the source goes on while the other upstream, which has answered, makes its first event. Both may work on
/// a generation for 400 ms.
pub const OVERLAP: Duration = Duration::from_millis(200);

/// Pause before a call is repeated that found no such generation, or another call in progress.
pub const RETRY_DELAY: Duration = Duration::from_millis(60);

/// The most retries of one call for these reasons.
pub const MAX_RETRIES: u32 = 12;

/// How long a copy call may take: the copies of a full engine on one link, between failure domains, twice over.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(4);
