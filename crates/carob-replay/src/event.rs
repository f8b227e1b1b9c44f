//! What happens at the points in time of a replay.

use carob_base::Time;
use carob_route::{UnreportedLoad, cache};
use carob_wire::load;

use crate::engine::Job;

/// Something that happens at a point in time.
#[derive(Debug)]
pub(crate) enum Event {
    /// A request comes.
    Arrive(usize),
    /// A fault of the trace begins.
    Fault(usize),
    /// An upstream is well again.
    Mend(usize),
    /// A request reaches its engine.
    Start {
        upstream: usize,
        attempt: u32,
        job: Box<Job>,
    },
    /// The end of an engine's step.
    Step { upstream: usize, generation: u32 },
    /// An engine makes a load report and publishes its cache events.
    Sample(usize),
    /// A load report reaches an instance.
    Load {
        instance: usize,
        upstream: usize,
        report: load::Report,
        sampled: Time,
    },
    /// Cache events reach an instance.
    Cache {
        instance: usize,
        upstream: usize,
        events: Vec<cache::Event>,
    },
    /// An instance tells the others its load.
    Tell(usize),
    /// An instance's load reaches another.
    Told {
        instance: usize,
        from: usize,
        shares: Vec<UnreportedLoad>,
    },
    /// An instance looks at its queues.
    Poll(usize),
    /// A caller's patience ends.
    GiveUp(usize),
}
