//! The standing of each suspect, computed from the known deaths.

use std::collections::{HashMap, HashSet};

use carob_base::Time;

use crate::{Fingerprint, Options, report::TimedCrash};

/// What is known against one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Standing {
    /// Until when it runs alone.
    pub alone: Time,
    /// Until when it is refused.
    pub refused: Time,
}

/// One dead upstream, as all reporters saw it.
struct Group {
    at: Time,
    running: HashSet<Fingerprint>,
    isolated: bool,
}

/// The standing of every request on a dead upstream that has not been cleared since.
pub fn build(
    deaths: &[TimedCrash],
    cleared: &HashMap<Fingerprint, Time>,
    options: &Options,
) -> HashMap<Fingerprint, Standing> {
    let groups = group(deaths);
    let mut counts = HashMap::<Fingerprint, usize>::new();
    let mut standings = HashMap::<Fingerprint, Standing>::new();
    let telling: Vec<_> = groups
        .iter()
        .filter(|group| !is_mass_failure(group, &groups, options))
        .collect();
    for group in &telling {
        for fingerprint in fresh(group, cleared) {
            *counts.entry(fingerprint).or_default() += 1;
        }
    }
    for group in &telling {
        for fingerprint in fresh(group, cleared) {
            let standing = standings.entry(fingerprint).or_default();
            if group.running.len() <= options.isolation_limit || counts[&fingerprint] > 1 {
                standing.alone = standing.alone.max(group.at + options.retention);
            }
            // Two deaths at least: the one that made it a suspect and the one alone.
            if group.isolated && group.running.len() == 1 && counts[&fingerprint] > 1 {
                standing.refused = standing.refused.max(group.at + options.refusal_duration);
            }
        }
    }
    standings.retain(|_, standing| standing.alone > Time::ZERO);
    standings
}

fn fresh<'a>(
    group: &'a Group,
    cleared: &'a HashMap<Fingerprint, Time>,
) -> impl Iterator<Item = Fingerprint> + 'a {
    let at = group.at;
    let running = group.running.iter().copied();
    running.filter(move |fingerprint| cleared.get(fingerprint).is_none_or(|cleared| *cleared < at))
}

fn group(deaths: &[TimedCrash]) -> Vec<Group> {
    let mut groups = HashMap::<u64, Group>::new();
    for dated in deaths {
        let group = groups.entry(dated.crash.id).or_insert_with(|| Group {
            at: dated.at,
            running: HashSet::new(),
            isolated: false,
        });
        group.running.extend(&dated.crash.running);
        group.isolated |= dated.crash.isolated;
        group.at = group.at.min(dated.at);
    }
    groups.into_values().collect()
}

/// Whether the upstream died together with others without any request in common, as when a rack fails.
fn is_mass_failure(group: &Group, groups: &[Group], options: &Options) -> bool {
    let near: Vec<_> = groups
        .iter()
        .filter(|other| near(group.at, other.at, options))
        .collect();
    let shared = |fingerprint: &Fingerprint| near.iter().all(|other| other.running.contains(fingerprint));
    near.len() >= options.mass_threshold && !group.running.iter().any(shared)
}

fn near(one: Time, other: Time, options: &Options) -> bool {
    one.since(other).max(other.since(one)) <= options.mass_window
}
