//! Evidence on requests that crash upstreams, shared with the other instances.

use std::time::Duration;

use bytes::Bytes;
use carob_base::Time;
use carob_peer::suspect;
use carob_suspect::{Cleared, Crash, Fingerprint, Report};

use super::Control;

/// Most deaths that are told to an instance that has just started.
const TOLD_LIMIT: usize = 16;

impl Control {
    /// Reports a death and tells the others.
    pub(super) fn died(&mut self, id: u64, running: &[Fingerprint], isolated: bool, now: Time) {
        self.suspects.on_crash(id, running, isolated, now);
        let report = self.suspects.export(now);
        if let Some(death) = report.crashes.iter().rev().find(|death| death.id == id) {
            self.share_suspect(&encode_death(death));
        }
    }

    /// Reports a request that finished; if that clears a suspect, the others are told.
    pub(super) fn finished_well(&mut self, fingerprint: Fingerprint, now: Time) {
        let before = self.suspects.export(now).cleared.len();
        self.suspects.on_finish(fingerprint, now);
        let report = self.suspects.export(now);
        let cleared = report
            .cleared
            .iter()
            .find(|cleared| cleared.fingerprint == fingerprint);
        if let Some(cleared) = cleared.filter(|_| report.cleared.len() > before) {
            self.share_suspect(&encode_cleared(cleared));
        }
    }

    /// Tells everything that is remembered.
    pub(super) fn share_all_suspects(&mut self, now: Time) {
        let report = self.suspects.export(now);
        for death in report.crashes.iter().rev().take(TOLD_LIMIT) {
            self.share_suspect(&encode_death(death));
        }
        for cleared in &report.cleared {
            self.share_suspect(&encode_cleared(cleared));
        }
    }

    /// Takes in evidence of another instance.
    pub(super) fn take_suspect(&mut self, bytes: Bytes, now: Time) {
        let Ok(message) = carob_peer::decode::<suspect::CrashEvidence>(bytes) else {
            log::warn!("suspect: another instance's evidence is no message");
            return;
        };
        let report = Report {
            crashes: message.crash.into_iter().map(death_of).collect(),
            cleared: message.cleared.into_iter().map(cleared_of).collect(),
        };
        self.suspects.merge(&report, now);
    }
}

fn encode_death(death: &Crash) -> Bytes {
    let death = suspect::Crash {
        id: death.id,
        reporter: death.reporter,
        running: death.running.iter().map(|fingerprint| fingerprint.0).collect(),
        isolated: death.isolated,
        age: death.age.as_millis() as u64,
    };
    suspect::CrashEvidence {
        crash: Some(death),
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

fn death_of(death: suspect::Crash) -> Crash {
    Crash {
        id: death.id,
        reporter: death.reporter,
        running: death.running.into_iter().map(Fingerprint).collect(),
        isolated: death.isolated,
        age: Duration::from_millis(death.age),
    }
}

fn cleared_of(cleared: suspect::Cleared) -> Cleared {
    Cleared {
        fingerprint: Fingerprint(cleared.fingerprint),
        age: Duration::from_millis(cleared.age),
    }
}
