//! What goes into membership and what comes out.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carob_base::Name;
use smallvec::SmallVec;

use crate::{load::Load, load::UpstreamHealth};

carob_base::value! {
    /// An entry of the platform's instance list.
    pub struct ListEntry {
        /// Name.
        pub name: Name,
        /// Failure domain.
        pub domain: Name,
        /// Region.
        pub region: Name,
        /// Address for datagrams.
        pub address: SocketAddr,
        /// Whether the platform says that it is leaving.
        pub leaving: bool,
    }

    /// Where a datagram goes.
    pub struct Target {
        /// Short id, for which the frame is sealed.
        pub id: u32,
        /// Address.
        pub address: SocketAddr,
    }

    /// A datagram whose frame was authentic.
    pub struct Datagram {
        /// Sender's short id.
        pub from: u32,
        /// Sender's incarnation.
        pub incarnation: u64,
        /// Address that it came from.
        pub source: SocketAddr,
        /// The frame's body.
        pub body: Bytes,
    }

    /// What has happened.
    pub enum Event {
        /// Time has passed; send one about every 100 ms.
        Tick,
        /// The platform's instance list, which lags.
        List(Vec<ListEntry>),
        /// A datagram.
        Datagram(Datagram),
        /// A frame was authentic but of an older incarnation than the known one.
        OldIncarnation {
            /// Sender's short id.
            from: u32,
            /// The known incarnation.
            known: u64,
        },
    }

    /// A change of what is known; the log line of each says why.
    pub enum Change {
        /// An instance was heard of for the first time in this incarnation.
        Joined(Name),
        /// An instance did not answer.
        Suspected(Name),
        /// A suspected or failed instance is alive.
        Alive(Name),
        /// An instance counts as failed.
        Failed(Name),
        /// An instance has shut down.
        Left(Name),
        /// A failure domain has not been heard of for a while.
        Cut(Name),
        /// A failure domain that was cut off is heard of again.
        Joint(Name),
        /// This process was paused for about this long; what it knows and holds is old.
        Woke(Duration),
    }

    /// What the driver has to do.
    pub enum Action {
        /// Seal this body for the target and send it.
        Send {
            /// Where to.
            to: Target,
            /// The frame's body.
            body: Bytes,
        },
        /// Something has changed.
        Changed(Change),
        /// Seal all further frames with this incarnation.
        SetIncarnation(u64),
        /// A report of an upstream that another instance polled.
        LoadReported {
            /// The upstream's short id.
            upstream: u32,
            /// The report.
            load: Load,
        },
        /// Another instance saw a sign of an upstream.
        HealthReported {
            /// The upstream's short id.
            upstream: u32,
            /// Low 32 bits of the upstream's incarnation; 0 if it is not known.
            incarnation: u32,
            /// The sign.
            health: UpstreamHealth,
        },
        /// Another instance suspects requests of crashing upstreams.
        CrashEvidence(Bytes),
        /// A caller has resumed an answer at another instance.
        Resumed {
            /// Name of the upstream that generates it.
            upstream: String,
            /// The engine's id of it.
            answer: String,
        },
    }
}

/// The actions of one step.
pub type Actions = SmallVec<[Action; 4]>;
