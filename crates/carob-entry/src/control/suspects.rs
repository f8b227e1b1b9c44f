//! Evidence on requests that crash upstreams, exchanged with the other instances.

use std::time::Duration;

use bytes::Bytes;
use carob_base::Time;
use carob_peer::suspect;
use carob_suspect::{Cleared, Crash, Fingerprint, Report};

use super::Control;

/// Maximum number of crashes that are shared again when an instance joins.
const MAX_SHARED_CRASHES: usize = 16;

impl Control {
    /// Records a crash and shares it with the other instances.
    pub(super) fn record_crash(&mut self, id: u64, running: &[Fingerprint], isolated: bool, now: Time) {
        self.suspects.on_crash(id, running, isolated, now);
        let report = self.suspects.export(now);
        if let Some(crash) = report.crashes.iter().rev().find(|crash| crash.id == id) {
            self.share_evidence(&encode_crash(crash));
        }
    }

    /// Records that a request finished; if that clears a suspect, the clearing is shared with the other
    /// instances.
    pub(super) fn record_completion(&mut self, fingerprint: Fingerprint, now: Time) {
        let before = self.suspects.export(now).cleared.len();
        self.suspects.on_finish(fingerprint, now);
        let report = self.suspects.export(now);
        let cleared = report
            .cleared
            .iter()
            .find(|cleared| cleared.fingerprint == fingerprint);
        if let Some(cleared) = cleared.filter(|_| report.cleared.len() > before) {
            self.share_evidence(&encode_cleared(cleared));
        }
    }

    /// Shares the latest crashes and all clearings.
    pub(super) fn share_all_evidence(&mut self, now: Time) {
        let report = self.suspects.export(now);
        for crash in report.crashes.iter().rev().take(MAX_SHARED_CRASHES) {
            self.share_evidence(&encode_crash(crash));
        }
        for cleared in &report.cleared {
            self.share_evidence(&encode_cleared(cleared));
        }
    }

    /// Merges evidence from another instance.
    pub(super) fn merge_evidence(&mut self, bytes: Bytes, now: Time) {
        let Ok(message) = carob_peer::decode::<suspect::CrashEvidence>(bytes) else {
            log::warn!("suspect: crash evidence from another instance cannot be decoded");
            return;
        };
        let report = Report {
            crashes: message.crash.into_iter().map(crash_from_message).collect(),
            cleared: message.cleared.into_iter().map(cleared_from_message).collect(),
        };
        self.suspects.merge(&report, now);
    }
}

fn encode_crash(crash: &Crash) -> Bytes {
    let crash = suspect::Crash {
        id: crash.id,
        reporter: crash.reporter,
        running: crash.running.iter().map(|fingerprint| fingerprint.0).collect(),
        isolated: crash.isolated,
        age: crash.age.as_millis() as u64,
    };
    suspect::CrashEvidence {
        crash: Some(crash),
        cleared: None,
    }
    .to_bytes()
}

fn encode_cleared(cleared: &Cleared) -> Bytes {
    let cleared = suspect::Cleared {
        fingerprint: cleared.fingerprint.0,
        age: cleared.age.as_millis() as u64,
    };
    suspect::CrashEvidence {
        crash: None,
        cleared: Some(cleared),
    }
    .to_bytes()
}

fn crash_from_message(crash: suspect::Crash) -> Crash {
    Crash {
        id: crash.id,
        reporter: crash.reporter,
        running: crash.running.into_iter().map(Fingerprint).collect(),
        isolated: crash.isolated,
        age: Duration::from_millis(crash.age),
    }
}

fn cleared_from_message(cleared: suspect::Cleared) -> Cleared {
    Cleared {
        fingerprint: Fingerprint(cleared.fingerprint),
        age: Duration::from_millis(cleared.age),
    }
}
