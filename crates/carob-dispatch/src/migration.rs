//! The steps of moving a running generation to another upstream.
//!
//! The bulk of a generation's memory is copied while it goes on; then it stops, what is new is copied, and the
//! other upstream continues it. Copies from one upstream queue on its link, so that the final copy of one
//! generation would wait behind the bulk of others and show as a pause: final copies begin only after the time
//! that all bulk copies from the upstream take. An upstream that leaves before then has given at least a bulk
//! copy, from which the generation continues with a few tokens computed anew.

use std::time::Duration;

use carob_base::Time;

use crate::table::Engine;

/// When final copies begin, after the notice, at the earliest and at the latest: bulk copies of two generations
/// take the first, and the shortest notice is 1.5 s.
pub const FINAL_EARLIEST: Duration = Duration::from_millis(450);
/// See [`FINAL_EARLIEST`].
pub const FINAL_LATEST: Duration = Duration::from_millis(1_300);

/// A generation that is expected to end within this time is not copied at first, so that others' copies are not
/// held up; if it is still there then, it is.
pub const ENDS_SOON: Duration = Duration::from_millis(700);

/// Other upstreams that are asked for the copy of one generation before the first ones are asked again.
pub const TARGETS: usize = 6;

/// When no copy is begun any more, after the notice: one takes 0.2 s, and the shortest notice is 1.5 s.
pub const COPY_LATEST: Duration = Duration::from_millis(1_300);

/// Pause before a call is repeated that found no such generation, or another call in progress.
pub const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The most retries of one call for these reasons.
pub const RETRIES: u32 = 12;

/// How long a copy call may take: the copies of a full engine on one link, between failure domains, twice over.
pub const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// When the final copy of a generation may begin whose own bulk copy ended at `copied`.
///
/// Its upstream was known to leave at `left`, with generations of all instances that hold `tokens` together: their
/// bulk copies queue on its link, and a final copy among them would show as a pause.
pub fn finale(engine: &Engine, tokens: u64, left: Time, copied: Time) -> Time {
    let bulk = copy_time(engine, tokens).clamp(FINAL_EARLIEST, FINAL_LATEST);
    copied.max(left + bulk)
}

/// How long copying `tokens` takes on an idle link within a failure domain.
pub fn copy_time(engine: &Engine, tokens: u64) -> Duration {
    let bits = tokens as f64 * engine.token_bytes as f64 * 8.0;
    Duration::from_secs_f64(bits / (f64::from(engine.link_mbps.max(1)) * 1e6))
}
