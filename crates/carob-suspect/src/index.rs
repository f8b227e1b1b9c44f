//! Computes the standing of each suspect from the known crashes.

use std::collections::{HashMap, HashSet};

use carob_base::Time;

use crate::{Fingerprint, Options, report::TimedCrash};

/// The restrictions on one suspect.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Until when it may run only isolated.
    pub isolated_until: Time,
    /// Until when it is refused; [`Time::ZERO`] if it is not.
    pub refused_until: Time,
}

/// The crash of one upstream, merged from the reports of all instances.
struct CrashGroup {
    at: Time,
    running: HashSet<Fingerprint>,
    isolated: bool,
}

/// Returns the standing of every suspect: each request that was running when an upstream crashed and that has
/// not been cleared since.
pub fn build(
    crashes: &[TimedCrash],
    cleared: &HashMap<Fingerprint, Time>,
    options: &Options,
) -> HashMap<Fingerprint, Standing> {
    let groups = group(crashes);
    let mut counts = HashMap::<Fingerprint, usize>::new();
    let mut standings = HashMap::<Fingerprint, Standing>::new();
    let attributable: Vec<_> = groups
        .iter()
        .filter(|group| !is_mass_failure(group, &groups, options))
        .collect();
    for group in &attributable {
        for fingerprint in uncleared(group, cleared) {
            *counts.entry(fingerprint).or_default() += 1;
        }
    }
    for group in &attributable {
        for fingerprint in uncleared(group, cleared) {
            let standing = standings.entry(fingerprint).or_default();
            if group.running.len() <= options.isolation_limit || counts[&fingerprint] > 1 {
                standing.isolated_until = standing.isolated_until.max(group.at + options.retention);
            }
            // A refusal takes at least two crashes: the one that made it a suspect and the one while
            // isolated.
            if group.isolated && group.running.len() == 1 && counts[&fingerprint] > 1 {
                standing.refused_until = standing.refused_until.max(group.at + options.refusal_duration);
            }
        }
    }
    standings.retain(|_, standing| standing.isolated_until > Time::ZERO);
    standings
}

/// The requests of `group` that have not been cleared since that crash.
fn uncleared<'a>(
    group: &'a CrashGroup,
    cleared: &'a HashMap<Fingerprint, Time>,
) -> impl Iterator<Item = Fingerprint> + 'a {
    let at = group.at;
    let running = group.running.iter().copied();
    running.filter(move |fingerprint| cleared.get(fingerprint).is_none_or(|cleared| *cleared < at))
}

/// Merges the reports of the same crash; the earliest time counts.
fn group(crashes: &[TimedCrash]) -> Vec<CrashGroup> {
    let mut groups = HashMap::<u64, CrashGroup>::new();
    for report in crashes {
        let group = groups.entry(report.crash.id).or_insert_with(|| CrashGroup {
            at: report.at,
            running: HashSet::new(),
            isolated: false,
        });
        group.running.extend(&report.crash.running);
        group.isolated |= report.crash.isolated;
        group.at = group.at.min(report.at);
    }
    groups.into_values().collect()
}

/// Whether the upstream crashed at the same time as others and no request ran on all of them, as when a rack
/// fails.
fn is_mass_failure(group: &CrashGroup, groups: &[CrashGroup], options: &Options) -> bool {
    let nearby: Vec<_> = groups
        .iter()
        .filter(|other| within_window(group.at, other.at, options))
        .collect();
    let shared = |fingerprint: &Fingerprint| nearby.iter().all(|other| other.running.contains(fingerprint));
    nearby.len() >= options.mass_threshold && !group.running.iter().any(shared)
}

fn within_window(one: Time, other: Time, options: &Options) -> bool {
    one.since(other).max(other.since(one)) <= options.mass_window
}
