//! Load and health of upstreams, as shared between instances.

carob_base::plain! {
    /// Load that an upstream reported when an instance polled it.
    #[derive(Default)]
    pub struct Load {
        /// Low 32 bits of the upstream's incarnation.
        pub incarnation: u32,
        /// Requests in the running batch.
        pub running: u32,
        /// Requests that are queued until KV-cache memory is free.
        pub waiting: u32,
        /// KV-cache memory in use, in tokens.
        pub used: u32,
        /// KV-cache memory in total, in tokens; up to 1,023 below the reported figure if another instance
        /// shared it.
        pub memory: u32,
        /// Low 16 bits of the preemption counter.
        pub preemptions: u16,
        /// Whether the upstream has announced that it is leaving.
        pub leaving: bool,
    }

    /// Requests that one instance, or several in sum, has in flight at an upstream.
    #[derive(Default)]
    pub struct InFlight {
        /// Requests in flight.
        pub running: u32,
        /// Prompt tokens and tokens generated so far of those requests.
        pub tokens: u32,
        /// Requests sent since the upstream's last load report.
        pub sent: u32,
    }

    /// Health of an upstream as an instance observed it.
    pub enum UpstreamHealth {
        /// The upstream serves again.
        Serving,
        /// The upstream is leaving and gets no new requests.
        Leaving,
        /// The upstream does not answer.
        Down,
    }
}

impl UpstreamHealth {
    pub(crate) fn to_wire(self) -> u32 {
        match self {
            Self::Serving => 0,
            Self::Leaving => 1,
            Self::Down => 2,
        }
    }

    /// Unknown values, which a newer binary may send, count as leaving, so that the upstream gets no new
    /// requests.
    pub(crate) fn from_wire(kind: u32) -> Self {
        match kind {
            0 => Self::Serving,
            2 => Self::Down,
            _ => Self::Leaving,
        }
    }
}
