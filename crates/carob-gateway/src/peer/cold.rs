//! What instances tell each other about cold upstreams.

use std::time::Duration;

use carob_base::Time;
use carob_dispatch::limits::{self, ColdContent, ColdMessage, ColdReport, Origin};
use prost::Message;

use super::{Announcement, Permits, Want};

/// An upstream that is cold.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct Cold {
    /// Stable hash that identifies the upstream and its incarnation.
    #[prost(fixed64, tag = "1")]
    pub upstream_hash: u64,
    /// Milliseconds for which it stays cold.
    #[prost(uint64, tag = "2")]
    pub left_ms: u64,
    /// Random number drawn at the start of the process that learned of it; zero if it is from a directory entry.
    #[prost(fixed64, tag = "3")]
    pub origin: u64,
    /// Sequence number of the statement within that process, or of the entry.
    #[prost(uint64, tag = "4")]
    pub number: u64,
    /// Hash of the address of the instance that issues permits, as far as the sender knows.
    #[prost(fixed64, tag = "5")]
    pub issuer: u64,
}

/// Permits for a cold upstream that an instance wants.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ColdWant {
    /// For requests that wait.
    #[prost(uint32, tag = "1")]
    pub waiting: u32,
    /// For requests that are expected.
    #[prost(uint32, tag = "2")]
    pub expected: u32,
    /// Microseconds on the sender's clock.
    #[prost(uint64, tag = "3")]
    pub sent_us: u64,
}

/// Permits for a cold upstream: what they answer.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct ColdPermits {
    /// [`ColdWant::sent_us`] of the receiver.
    #[prost(uint64, tag = "1")]
    pub asked_us: u64,
    /// Microseconds from the arrival of that message until the permits were issued.
    #[prost(uint64, tag = "2")]
    pub kept_us: u64,
}

impl From<ColdReport> for Cold {
    fn from(report: ColdReport) -> Self {
        Self {
            upstream_hash: report.incarnation,
            left_ms: report.left.as_millis() as u64,
            origin: report.origin.boot_id,
            number: report.origin.number,
            issuer: report.issuer,
        }
    }
}

impl From<&Cold> for ColdReport {
    fn from(cold: &Cold) -> Self {
        Self {
            incarnation: cold.upstream_hash,
            left: Duration::from_millis(cold.left_ms),
            origin: Origin {
                boot_id: cold.origin,
                number: cold.number,
            },
            issuer: cold.issuer,
        }
    }
}

impl From<&ColdMessage> for Announcement {
    fn from(message: &ColdMessage) -> Self {
        let upstream_hash = message.incarnation;
        let mut announcement = Self::default();
        match message.content {
            ColdContent::Want(want) => announcement.wants.push(Want {
                upstream_hash,
                count: 0,
                cold: Some(ColdWant {
                    waiting: want.waiting,
                    expected: want.expected,
                    sent_us: want.sent.as_micros(),
                }),
            }),
            ColdContent::Permits(permits) => announcement.permits.push(Permits {
                upstream_hash,
                count: permits.count,
                cold: Some(ColdPermits {
                    asked_us: permits.asked.as_micros(),
                    kept_us: permits.kept.as_micros() as u64,
                }),
            }),
        }
        announcement
    }
}

impl Announcement {
    /// What the message says about permits for cold upstreams, by the hash of the upstream.
    pub(crate) fn cold_contents(&self) -> impl Iterator<Item = (u64, ColdContent)> {
        let wants = self.wants.iter().filter_map(|want| {
            let cold = want.cold?;
            let content = ColdContent::Want(limits::ColdWant {
                waiting: cold.waiting.min(limits::MAX_WANTED),
                expected: cold.expected.min(limits::MAX_WANTED),
                sent: Time::from_micros(cold.sent_us),
            });
            Some((want.upstream_hash, content))
        });
        let permits = self.permits.iter().filter_map(|permits| {
            let cold = permits.cold?;
            let content = ColdContent::Permits(limits::ColdPermits {
                count: permits.count.min(limits::MAX_WANTED),
                asked: Time::from_micros(cold.asked_us),
                kept: Duration::from_micros(cold.kept_us),
            });
            Some((permits.upstream_hash, content))
        });
        wants.chain(permits)
    }
}
