//! Decides whether a request is sent at once, waits in the queue or is refused.

use std::time::Duration;

use carob_base::Time;

use super::{Fleet, Forecast, Held, Placement, Requirements, UpstreamKey};

carob_base::plain! {
    /// How a request may stay at this instance until it has a place.
    pub struct Stay {
        /// Its priority; 0 goes first.
        pub priority: u8,
        /// Longest time in the queue, counted from its arrival or the end of its previous run.
        pub longest: Duration,
        /// What is left of that, and of its deadline.
        pub left: Duration,
        /// Whether it was sent to an upstream before: it goes before those in the queue.
        pub is_repeat: bool,
        /// Whether it is refused at once if it is expected to wait in vain.
        pub is_forecast: bool,
    }
}

/// What is done with a request.
#[derive(Clone, Copy, Debug)]
pub enum Decision {
    /// It is sent to this upstream.
    Send(UpstreamKey),
    /// It joins the queue.
    Wait(Cause),
    /// The gateway answers that it has not run.
    Refuse(Cause),
}

/// Why a request is not sent at once.
#[derive(Clone, Copy, Debug)]
pub enum Cause {
    /// No upstream of the service is known that could run it, whatever its load.
    NoUpstream,
    /// All upstreams that could run it are full.
    Full,
    /// An upstream has room, but other requests wait.
    Queue,
    /// An engine has room, but patient requests wait at other instances, and all take turns.
    Turns,
    /// All engines are taken for longer than it may wait.
    Scarce(Forecast),
    /// Every upstream that could run it names a limit, is cold or asks for a pause.
    Held(Held),
}

impl Cause {
    /// Name in answers to operators.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::Full => "full",
            Self::Queue => "queue",
            Self::Turns => "turns",
            Self::Scarce(_) => "scarce",
            Self::Held(_) => "held",
        }
    }

    /// The reason in words, for operators.
    pub const fn text(&self) -> &'static str {
        match self {
            Self::NoUpstream => "no upstream of the service is known that it may go to",
            Self::Full => "all upstreams that it may go to are full",
            Self::Queue => "an upstream has room, but other requests wait",
            Self::Turns => {
                "an engine has room, but patient requests wait at other instances, and all take turns"
            }
            Self::Scarce(_) => "all engines are taken for longer than it may wait",
            Self::Held(_) => {
                "all upstreams that it may go to limit their requests, are cold or ask for a pause"
            }
        }
    }

    /// Time for which it is expected to wait, if that is known.
    pub const fn expected_wait(&self) -> Option<Duration> {
        match self {
            Self::Scarce(forecast) => forecast.wait,
            Self::Held(held) => Some(held.wait),
            Self::NoUpstream | Self::Full | Self::Queue | Self::Turns => None,
        }
    }
}

impl Fleet {
    /// Decides what is done with a request now. `instances` returns the number of instances that share permits, this one
    /// included.
    pub fn decide(
        &self,
        requirements: &Requirements,
        stay: &Stay,
        instances: impl FnOnce() -> usize,
        now: Time,
    ) -> Decision {
        let service = &*requirements.service;
        let placement = self.place(requirements, now);
        let cause = match placement {
            Placement::Upstream(upstream) if stay.is_repeat || stay.longest.is_zero() => {
                return Decision::Send(upstream);
            }
            Placement::Upstream(_) if self.queue_length(service) > 0 => Cause::Queue,
            // Patient requests join the queue although an engine has room.
            Placement::Upstream(_)
                if requirements.patience.is_some() && self.waiting_instances(service, now) > 0 =>
            {
                Cause::Turns
            }
            Placement::Upstream(upstream) => return Decision::Send(upstream),
            Placement::NoUpstream => return Decision::Refuse(Cause::NoUpstream),
            Placement::Full => Cause::Full,
        };
        if stay.left.is_zero() {
            return Decision::Refuse(Cause::Full);
        }
        if placement == Placement::Full && stay.is_forecast {
            let forecast = self.forecast(service, stay.priority, now);
            if forecast.refusal(stay.longest).is_some() {
                return Decision::Refuse(Cause::Scarce(forecast));
            }
        }
        match self.held(requirements, instances(), now) {
            Some(held) if held.wait > stay.left && !held.may_ask => Decision::Refuse(Cause::Held(held)),
            Some(held) => Decision::Wait(Cause::Held(held)),
            None => Decision::Wait(cause),
        }
    }
}
