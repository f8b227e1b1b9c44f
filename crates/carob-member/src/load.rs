//! Load of upstreams as the instances share it.

carob_base::plain! {
    /// What an instance has polled from an upstream.
    #[derive(Default)]
    pub struct Load {
        /// Low 32 bits of the upstream's incarnation.
        pub incarnation: u32,
        /// Requests in the running batch.
        pub running: u32,
        /// Requests that wait for memory.
        pub waiting: u32,
        /// Tokens of memory in use.
        pub used: u32,
        /// Tokens of memory in all; up to 1,023 below the reported figure after travelling.
        pub memory: u32,
        /// Low 16 bits of the count of preemptions.
        pub preemptions: u16,
        /// Whether the upstream has announced that it is leaving.
        pub leaving: bool,
    }

    /// What one instance has under way at an upstream.
    #[derive(Default)]
    pub struct InFlight {
        /// Its running requests.
        pub running: u32,
        /// Tokens of prompts and answers of those requests so far.
        pub tokens: u32,
        /// Requests sent since the upstream's last report.
        pub sent: u32,
    }

    /// A sign of an upstream's state.
    pub enum UpstreamHealth {
        /// It serves again.
        Serving,
        /// It is leaving: no new work.
        Leaving,
        /// It does not answer.
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

    /// An unknown sign of a newer binary keeps new work away.
    pub(crate) fn from_wire(kind: u32) -> Self {
        match kind {
            0 => Self::Serving,
            2 => Self::Down,
            _ => Self::Leaving,
        }
    }
}
