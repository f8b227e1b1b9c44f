//! Inputs and outputs of the membership state machine.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use carob_base::Name;
use smallvec::SmallVec;

use crate::{load::Load, load::UpstreamHealth};

carob_base::value! {
    /// An entry of the platform's instance list.
    pub struct ListEntry {
        /// Name of the instance.
        pub name: Name,
        /// Failure domain of the instance.
        pub domain: Name,
        /// Region of the failure domain.
        pub region: Name,
        /// UDP address for membership datagrams.
        pub address: SocketAddr,
        /// Whether the platform lists the instance as leaving.
        pub leaving: bool,
    }

    /// Receiver of a datagram.
    pub struct Target {
        /// Short id, for which the frame is sealed.
        pub id: u32,
        /// UDP address.
        pub address: SocketAddr,
    }

    /// A received datagram whose frame has been authenticated.
    pub struct Datagram {
        /// Sender's short id.
        pub from: u32,
        /// Sender's incarnation.
        pub incarnation: u64,
        /// Source address of the UDP packet.
        pub source: SocketAddr,
        /// The frame's body.
        pub body: Bytes,
    }

    /// An input of the state machine.
    pub enum Event {
        /// Lets timers run; the driver sends one about every 100 ms.
        Tick,
        /// The platform's instance list, which may lag behind the running instances.
        List(Vec<ListEntry>),
        /// A datagram was received.
        Datagram(Datagram),
        /// An authentic frame carried an older incarnation than the highest one known of its sender.
        OldIncarnation {
            /// Sender's short id.
            from: u32,
            /// Highest incarnation known of the sender.
            known: u64,
        },
    }

    /// A change of the view of other instances or failure domains, or of this process; each is logged.
    pub enum Change {
        /// First contact with an instance in its current incarnation.
        Joined(Name),
        /// An instance did not answer a probe.
        Suspected(Name),
        /// An instance that was suspected or counted as failed is alive.
        Alive(Name),
        /// A suspicion was not refuted in time; the instance counts as failed.
        Failed(Name),
        /// An instance announced its shutdown.
        Left(Name),
        /// No summary of a failure domain arrived within [`Options::domain_timeout`](crate::Options).
        Cut(Name),
        /// A summary of a failure domain that was cut off has arrived.
        Joint(Name),
        /// This process was paused for about this long; its view and whatever it holds may be stale.
        Woke(Duration),
    }

    /// An action that the driver has to carry out.
    pub enum Action {
        /// Seal this body for the target and send it.
        Send {
            /// Receiver.
            to: Target,
            /// The frame's body.
            body: Bytes,
        },
        /// The view has changed.
        Changed(Change),
        /// Seal all further frames with this incarnation.
        SetIncarnation(u64),
        /// Another instance polled an upstream and shared its load.
        LoadReported {
            /// The upstream's short id.
            upstream: u32,
            /// Load at the time of the poll; the time itself is not shared.
            load: Load,
        },
        /// Another instance observed a change of an upstream's health.
        HealthReported {
            /// The upstream's short id.
            upstream: u32,
            /// Low 32 bits of the upstream's incarnation; 0 if it is not known.
            incarnation: u32,
            /// The observed health.
            health: UpstreamHealth,
        },
        /// Evidence from another instance on requests suspected of crashing upstreams; opaque to membership.
        CrashEvidence(Bytes),
        /// A caller has resumed an answer at another instance, so this one must not cancel its generation.
        Resumed {
            /// Name of the upstream that generates the answer.
            upstream: String,
            /// The answer's id at the engine.
            answer_id: String,
        },
    }
}

/// Actions returned by one step, in the order in which they have to be carried out.
pub type Actions = SmallVec<[Action; 4]>;
