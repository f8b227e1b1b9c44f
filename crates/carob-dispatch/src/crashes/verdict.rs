//! Derives verdicts from the evidence.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
};

use carob_base::Time;

use super::{Crash, Options, Part, Verdict};

/// The crashes of which a part may be the cause.
struct Candidate {
    part: Part,
    rank: u8,
    /// Whether answers were written under it before these crashes.
    was_sound: bool,
    crashes: Vec<u64>,
    /// Those of them that no verdict explains yet.
    unexplained: Vec<u64>,
}

/// Returns the verdicts: again and again the part that explains most of the crashes that are left, while it explains
/// enough of them. Parts under which no answer was ever written go first; of parts that explain equally many, it is the
/// one that fewest requests have.
///
/// While many requests begin on each upstream, a part that is often among them may explain the crashes of another one.
/// With enough crashes and without any answer a part is therefore condemned whatever explains them.
pub(super) fn derive(
    crashes: &BTreeMap<u64, Crash>,
    sound: &HashMap<Part, Time>,
    options: &Options,
) -> Vec<Verdict> {
    let mut candidates = candidates(crashes, sound);
    let mut verdicts = Vec::new();
    loop {
        let is_enough = |candidate: &&Candidate| candidate.unexplained.len() >= candidate.threshold(options);
        let most = candidates.iter().filter(is_enough).max_by_key(|candidate| {
            (
                Reverse(candidate.was_sound),
                candidate.unexplained.len(),
                candidate.rank,
                candidate.part,
            )
        });
        let Some(most) = most else { break };
        let explained = most.unexplained.clone();
        verdicts.push(most.verdict(crashes));
        for candidate in &mut candidates {
            candidate
                .unexplained
                .retain(|incarnation| !explained.contains(incarnation));
        }
    }
    let is_certain =
        |candidate: &&Candidate| !candidate.was_sound && candidate.crashes.len() >= options.sound_crashes;
    for candidate in candidates.iter().filter(is_certain) {
        if verdicts.iter().all(|verdict| verdict.part != candidate.part) {
            verdicts.push(candidate.verdict(crashes));
        }
    }
    mark_doubtful(&mut verdicts, &candidates);
    verdicts
}

/// Marks the verdicts of which another one explains most of the crashes: one of the two may be innocent.
fn mark_doubtful(verdicts: &mut [Verdict], candidates: &[Candidate]) {
    let condemned: Vec<&Candidate> = candidates
        .iter()
        .filter(|candidate| verdicts.iter().any(|verdict| verdict.part == candidate.part))
        .collect();
    for verdict in verdicts {
        let Some(own) = condemned.iter().find(|candidate| candidate.part == verdict.part) else {
            continue;
        };
        verdict.is_doubtful = condemned.iter().any(|other| {
            let shared = own
                .crashes
                .iter()
                .filter(|incarnation| other.crashes.contains(incarnation));
            other.part != own.part && shared.count() * 2 > own.crashes.len()
        });
    }
}

impl Candidate {
    fn verdict(&self, crashes: &BTreeMap<u64, Crash>) -> Verdict {
        let times = self
            .crashes
            .iter()
            .filter_map(|incarnation| crashes.get(incarnation))
            .map(|crash| crash.at);
        Verdict {
            part: self.part,
            crashes: self.crashes.len() as u32,
            last_crash: times.max().unwrap_or(Time::ZERO),
            is_doubtful: false,
        }
    }

    const fn threshold(&self, options: &Options) -> usize {
        if self.was_sound {
            options.sound_crashes
        } else {
            options.crashes
        }
    }
}

fn candidates(crashes: &BTreeMap<u64, Crash>, sound: &HashMap<Part, Time>) -> Vec<Candidate> {
    let mut found: BTreeMap<Part, Candidate> = BTreeMap::new();
    for (incarnation, crash) in crashes {
        for suspect in &crash.suspects {
            let sound_at = sound.get(&suspect.part);
            if sound_at.is_some_and(|at| *at >= crash.at) {
                continue;
            }
            let candidate = found.entry(suspect.part).or_insert_with(|| Candidate {
                part: suspect.part,
                rank: suspect.rank,
                was_sound: sound_at.is_some(),
                crashes: Vec::new(),
                unexplained: Vec::new(),
            });
            candidate.rank = candidate.rank.max(suspect.rank);
            candidate.crashes.push(*incarnation);
            candidate.unexplained.push(*incarnation);
        }
    }
    found.into_values().collect()
}
