//! Decisions of an instance from the signal to shut down until its process ends.
//!
//! A process that is told to end is killed after its grace. Until then it answers what it has accepted, and a
//! request that is still open at the end is lost. [`Shutdown`] therefore accepts a request only if its answer
//! is known to be out before the process exits, and decides when the process may exit. It does no I/O, and
//! the current time is always an argument.
//!
//! ```text
//! signal            closes                                 exit    grace is over
//!   |---- Notice ------|------------- Drain -----------------|-- Over --|
//! ```

use std::time::Duration;

use carob_base::Time;

/// Time before the end of the grace at which the process exits by itself, so that what it has written still
/// leaves the machine.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Largest part of the grace that [`EXIT_MARGIN`] may take; a longer margin would cut off requests that a
/// short grace leaves enough time for.
const MAX_MARGIN_SHARE: u32 = 8;

/// Least time from a request's deadline to the exit: timers may be late, and the final answer at the deadline
/// has to leave the process.
const ANSWER_MARGIN: Duration = Duration::from_millis(100);

carob_base::plain! {
    /// Times that apply to a shutdown.
    pub struct Options {
        /// How long the load balancer may still send connections after the signal.
        pub notice: Duration,
        /// Time from the signal until the process is killed; `None` if it may take as long as it needs.
        pub grace: Option<Duration>,
    }
}

impl Options {
    /// A shutdown without a time limit, with connections arriving for `notice` after the signal.
    pub const fn new(notice: Duration) -> Self {
        Self { notice, grace: None }
    }

    /// Limits the shutdown to `grace` after the signal.
    #[must_use]
    pub const fn with_grace(mut self, grace: Duration) -> Self {
        self.grace = Some(grace);
        self
    }
}

carob_base::plain! {
    /// How far a shutdown has got.
    pub enum Stage {
        /// The load balancer may not know of the shutdown yet: connections and requests are accepted.
        Notice,
        /// Connections are refused, and open ones end after the request that they carry.
        Drain,
        /// The process exits, whatever is still open.
        Over,
    }

    /// How long a request may take from now on.
    pub struct Bounds {
        /// Time after which it gets its final answer in any case.
        pub deadline: Duration,
        /// Time that its longest permitted answer takes at the usual speed of the upstreams.
        pub longest: Duration,
    }

    /// A shutdown in progress.
    ///
    /// Its times are fixed at the signal. What was accepted by them must not lose its time when the settings
    /// change.
    pub struct Shutdown {
        signal: Time,
        closes: Time,
        exit: Time,
        margin: Duration,
    }
}

impl Shutdown {
    /// A shutdown whose signal arrived at `signal`.
    pub fn new(signal: Time, options: Options) -> Self {
        let margin = options
            .grace
            .map_or(EXIT_MARGIN, |grace| EXIT_MARGIN.min(grace / MAX_MARGIN_SHARE));
        let exit = options
            .grace
            .map_or(Time::NEVER, |grace| signal + grace.saturating_sub(margin));
        Self {
            signal,
            closes: (signal + options.notice).min(exit),
            exit,
            margin,
        }
    }

    /// When the signal arrived.
    pub const fn signal(self) -> Time {
        self.signal
    }

    /// When the listener and the idle connections are closed.
    pub const fn closes(self) -> Time {
        self.closes
    }

    /// When the process exits at the latest; [`Time::NEVER`] without a grace.
    pub const fn exit(self) -> Time {
        self.exit
    }

    /// When a process that still runs has failed to exit by itself.
    pub fn overdue(self) -> Time {
        self.exit + self.margin / 4
    }

    /// When a process that has failed to exit by itself is ended, whatever its threads do. On a machine that has
    /// more work than processors, its end takes a part of the margin too.
    pub fn forced(self) -> Time {
        self.exit + self.margin / 2
    }

    /// When an accepted request gets its final answer at the latest, so that the answer leaves before the exit.
    pub fn answer_by(self) -> Time {
        self.exit - ANSWER_MARGIN
    }

    /// Time until the process exits at the latest.
    pub const fn left(self, now: Time) -> Duration {
        self.exit.since(now)
    }

    /// The stage at `now`.
    pub fn stage(self, now: Time) -> Stage {
        if now >= self.exit {
            Stage::Over
        } else if now >= self.closes {
            Stage::Drain
        } else {
            Stage::Notice
        }
    }

    /// Whether a request with these bounds is accepted, sent or sent again at `now`.
    ///
    /// During the notice the load balancer has no better choice yet than this instance, so the usual speed of
    /// the upstreams counts. Later only the deadline does: an upstream may be slower than usual, while a
    /// request past its deadline has got its final answer.
    pub fn admits(self, now: Time, bounds: Bounds) -> bool {
        let needed = match self.stage(now) {
            Stage::Notice => bounds.deadline.min(bounds.longest),
            Stage::Drain => bounds.deadline,
            Stage::Over => return false,
        };
        needed + ANSWER_MARGIN < self.left(now)
    }

    /// When a queued request whose longest answer takes `longest` is to be judged again: from then on its
    /// longest answer does not end in time, or does not count any more.
    pub fn recheck(self, longest: Duration) -> Time {
        self.closes.min(self.answer_by() - longest)
    }

    /// Whether the process may exit at `now`, with `open` connections and requests that are not finished.
    pub fn may_exit(self, now: Time, open: usize) -> bool {
        match self.stage(now) {
            Stage::Notice => false,
            Stage::Drain => open == 0,
            Stage::Over => true,
        }
    }
}
