//! Events of the simulation.

use carob_base::Time;
use carob_route::{UnreportedLoad, cache};
use carob_wire::load;

use crate::engine::Job;

/// A scheduled event; positions refer to the lists of the trace.
#[derive(Debug)]
pub(crate) enum Event {
    /// A request arrives at its instance.
    Arrive(usize),
    /// A fault of the trace starts.
    Fault(usize),
    /// An upstream recovers from a crash or from failing.
    Recover(usize),
    /// An attempt of a request reaches its engine.
    Start {
        upstream: usize,
        attempt: u32,
        job: Box<Job>,
    },
    /// An engine's step ends, unless the upstream has crashed since (`restarts` no longer matches).
    StepEnd { upstream: usize, restarts: u32 },
    /// An upstream samples its load and publishes its cache events.
    SampleLoad(usize),
    /// A load report reaches an instance.
    LoadReport {
        instance: usize,
        upstream: usize,
        report: load::Report,
        sampled: Time,
    },
    /// Cache events reach an instance.
    CacheEvents {
        instance: usize,
        upstream: usize,
        events: Vec<cache::Event>,
    },
    /// An instance sends its unreported load to its peers.
    SendPeerLoad(usize),
    /// The unreported load of a peer reaches an instance.
    PeerLoad {
        instance: usize,
        peer: usize,
        loads: Vec<UnreportedLoad>,
    },
    /// An instance's router is polled at its deadline.
    Poll(usize),
    /// The response timeout of a request ends; its caller gives up unless a token was delivered.
    ResponseTimeout(usize),
}
