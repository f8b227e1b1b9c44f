//! Learned lengths of answers: discrete hazards over log-spaced buckets.
//!
//! Each group keeps, per bucket of lengths, how many answers entered it (`entered`) and how many ended in it
//! (`ended`). The product of `1 - ended / entered` is the Kaplan-Meier estimate of survival, so an interrupted
//! answer counts for the buckets that it passed and for nothing beyond. Answers in progress are counted as they pass
//! a bucket: a shift towards longer answers shows before the first long one has ended. Old observations fade.
//! A group with little data leans on its parent, bucket by bucket; see Kaplan and Meier, "Nonparametric Estimation
//! from Incomplete Observations" (1958).

use carob_base::{AccountKey, ServiceKey};
use slotmap::SlotMap;
use std::collections::HashMap;

/// Buckets in all; the last one starts at 7 * 2^15 tokens.
const BUCKETS: usize = 68;
/// Observations of the parent that count as much as all of the group's own in a bucket, in answers.
const PRIOR: f32 = 4.0;
/// Part of a group's weight that fades with each ended answer: about 300 answers are remembered.
const FADE: f32 = 1.0 / 300.0;
/// Changes of a group, in answers passing a bucket, after which its survival table is computed anew.
const REFRESH: u32 = 48;
/// Most groups; further ones use their parent.
const GROUP_LIMIT: usize = 8_192;
/// Hazard of the prior in its first buckets.
const PRIOR_SHORT: f32 = 0.01;
/// Bucket from which the prior expects answers to end.
const PRIOR_FIRST: usize = 12;
/// Hazard of the prior there: a median near 200 tokens.
const PRIOR_MIDDLE: f32 = 0.05;
/// Growth of the prior's hazard with each further bucket.
const PRIOR_GROWTH: f32 = 0.008;

slotmap::new_key_type! {
    /// A group of answers whose lengths are learned together.
    pub struct GroupKey;
}

/// Classes of prompt sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Class(u8);

/// Hazard of each bucket.
type Hazards = [f32; BUCKETS];

/// A group within the hierarchy: the service, the account within it, the class within that.
type Path = (ServiceKey, Option<(AccountKey, Option<Class>)>);

/// Learned lengths of all services.
#[derive(Debug)]
pub struct LengthModel {
    groups: SlotMap<GroupKey, Group>,
    by_path: HashMap<Path, GroupKey>,
    learning: bool,
}

#[derive(Debug)]
struct Group {
    parent: Option<GroupKey>,
    entered: [f32; BUCKETS],
    ended: [f32; BUCKETS],
    /// Weight of a new observation; grows instead of fading the old ones.
    weight: f32,
    changes: u32,
    /// Survival at each bucket's start.
    survival: [f32; BUCKETS + 1],
}

/// The survival table of a group, for a run of look-ups.
#[derive(Clone, Copy, Debug)]
pub struct SurvivalTable<'a> {
    survival: &'a [f32; BUCKETS + 1],
}

impl LengthModel {
    /// Nothing learned yet; without `learning` it stays so.
    pub fn new(learning: bool) -> Self {
        Self {
            groups: SlotMap::with_key(),
            by_path: HashMap::new(),
            learning,
        }
    }

    /// The group for a request.
    pub fn group(&mut self, service: ServiceKey, account: AccountKey, prompt: u32) -> GroupKey {
        let class = Class((prompt.max(64).ilog2() / 2) as u8);
        let top = self.find_or_insert((service, None), None);
        let middle = self.find_or_insert((service, Some((account, None))), Some(top));
        self.find_or_insert((service, Some((account, Some(class)))), Some(middle))
    }

    fn find_or_insert(&mut self, path: Path, parent: Option<GroupKey>) -> GroupKey {
        if let Some(&key) = self.by_path.get(&path) {
            return key;
        }
        if let Some(parent) = parent.filter(|_| self.groups.len() >= GROUP_LIMIT) {
            return parent;
        }
        let mut group = Group::new(parent);
        let hazards = parent
            .and_then(|parent| self.groups.get(parent))
            .map(Group::hazards);
        group.refresh(hazards.as_ref());
        let key = self.groups.insert(group);
        self.by_path.insert(path, key);
        key
    }

    /// Forgets what was learned of an account.
    pub fn remove_account(&mut self, account: AccountKey) {
        let groups = &mut self.groups;
        self.by_path.retain(|(_, rest), group| {
            let keep = rest.is_none_or(|(owner, _)| owner != account);
            if !keep {
                groups.remove(*group);
            }
            keep
        });
    }

    /// An answer has grown from `before` to `after` tokens.
    pub fn record_growth(&mut self, group: GroupKey, before: u32, after: u32) {
        let (from, to) = (bucket(before), bucket(after));
        if from == to || !self.learning {
            return;
        }
        self.for_chain(group, |group| {
            for b in from..to {
                group.entered[b] += group.weight;
            }
            group.changes += 1;
        });
    }

    /// An answer has ended by itself at `length` tokens.
    pub fn record_end(&mut self, group: GroupKey, length: u32) {
        if !self.learning {
            return;
        }
        let b = bucket(length);
        self.for_chain(group, |group| {
            group.entered[b] += group.weight;
            group.ended[b] += group.weight;
            group.changes += 1;
            group.fade();
        });
    }

    /// An answer was cut off at `length` tokens; it counts as half a survivor of its last bucket.
    pub fn record_censored(&mut self, group: GroupKey, length: u32) {
        if !self.learning {
            return;
        }
        let b = bucket(length);
        self.for_chain(group, |group| {
            group.entered[b] += group.weight * 0.5;
            group.changes += 1;
        });
    }

    fn for_chain(&mut self, group: GroupKey, change: impl Fn(&mut Group)) {
        let mut next = Some(group);
        while let Some(key) = next {
            let Some(group) = self.groups.get_mut(key) else {
                return;
            };
            change(group);
            next = group.parent;
        }
    }

    /// Brings the table of `group` up to date if it has changed enough.
    pub fn refresh(&mut self, group: GroupKey) {
        let Some(parent) = self.groups.get(group).map(|group| group.parent) else {
            return;
        };
        if let Some(parent) = parent {
            self.refresh(parent);
        }
        let due = self
            .groups
            .get(group)
            .is_some_and(|group| group.changes >= REFRESH);
        if !due {
            return;
        }
        let hazards = parent
            .and_then(|parent| self.groups.get(parent))
            .map(Group::hazards);
        if let Some(group) = self.groups.get_mut(group) {
            group.refresh(hazards.as_ref());
        }
    }

    /// The survival table of all answers of `service`.
    pub fn service_table(&mut self, service: ServiceKey) -> SurvivalTable<'_> {
        let key = self.find_or_insert((service, None), None);
        self.refresh(key);
        self.table(key)
    }

    /// The survival table of `group`.
    ///
    /// # Panics
    ///
    /// Panics if the group is not one of this value's.
    pub fn table(&self, group: GroupKey) -> SurvivalTable<'_> {
        SurvivalTable {
            survival: &self.groups[group].survival,
        }
    }
}

impl Group {
    fn new(parent: Option<GroupKey>) -> Self {
        Self {
            parent,
            entered: [0.0; BUCKETS],
            ended: [0.0; BUCKETS],
            weight: 1.0,
            changes: 0,
            survival: [1.0; BUCKETS + 1],
        }
    }

    /// Lets old observations weigh less by letting new ones weigh more.
    fn fade(&mut self) {
        const RESCALE_AT: f32 = 1e6;
        self.weight *= 1.0 + FADE;
        if self.weight < RESCALE_AT {
            return;
        }
        for value in self.entered.iter_mut().chain(&mut self.ended) {
            *value /= self.weight;
        }
        self.weight = 1.0;
    }

    /// Hazard per bucket out of the survival table.
    fn hazards(&self) -> Hazards {
        std::array::from_fn(|b| {
            let start = self.survival[b].max(f32::MIN_POSITIVE);
            (1.0 - self.survival[b + 1] / start).clamp(0.0, 1.0)
        })
    }

    fn refresh(&mut self, parent: Option<&Hazards>) {
        let parent = parent.map_or_else(prior, |parent| *parent);
        let mut alive = 1.0;
        for (b, prior) in parent.into_iter().enumerate() {
            self.survival[b] = alive;
            let entered = self.entered[b] / self.weight;
            let ended = self.ended[b] / self.weight;
            let hazard = (PRIOR * prior + ended) / (entered + PRIOR);
            alive *= 1.0 - hazard.clamp(0.0, 1.0);
        }
        self.survival[BUCKETS] = alive;
        self.changes = 0;
    }
}

impl SurvivalTable<'_> {
    /// Probability that an answer has more than `length` tokens.
    pub fn survival(&self, length: u32) -> f32 {
        let b = bucket(length);
        let (start, end) = (edge(b), edge(b + 1));
        let part = (length - start) as f32 / (end - start) as f32;
        let (high, low) = (self.survival[b], self.survival[b + 1]);
        high + (low - high) * part.min(1.0)
    }

    /// The length that an answer of `produced` tokens so far exceeds with probability `part`.
    pub fn survival_quantile(&self, produced: u32, part: f32) -> u32 {
        let target = self.survival(produced) * part;
        let first = bucket(produced);
        let found = (first..BUCKETS).find(|&b| self.survival[b + 1] <= target);
        let Some(b) = found else {
            return edge(BUCKETS);
        };
        let (high, low) = (self.survival[b], self.survival[b + 1]);
        let share = if high > low {
            (high - target) / (high - low)
        } else {
            1.0
        };
        let (start, end) = (edge(b) as f32, edge(b + 1) as f32);
        ((start + (end - start) * share.clamp(0.0, 1.0)) as u32).max(produced + 1)
    }
}

/// The bucket of `length`: four to each doubling.
fn bucket(length: u32) -> usize {
    if length < 4 {
        return length as usize;
    }
    let log = length.ilog2();
    let quarter = (length >> (log - 2)) & 3;
    ((log as usize - 1) * 4 + quarter as usize).min(BUCKETS - 1)
}

/// The first length of bucket `b`.
fn edge(b: usize) -> u32 {
    if b < 4 {
        return b as u32;
    }
    let log = b / 4 + 1;
    ((4 + b % 4) as u32) << (log - 2)
}

fn prior() -> Hazards {
    let hazard = |b: usize| match b.checked_sub(PRIOR_FIRST) {
        Some(further) => PRIOR_MIDDLE + PRIOR_GROWTH * further as f32,
        None => PRIOR_SHORT,
    };
    std::array::from_fn(hazard)
}
