//! Model of answer lengths: discrete hazards over logarithmically spaced buckets.
//!
//! Each group keeps, per bucket of lengths, how many answers entered it (`entered`) and how many ended in it
//! (`ended`). The product of `1 - ended / entered` is the Kaplan-Meier estimate of survival (Kaplan and
//! Meier, "Nonparametric Estimation from Incomplete Observations", 1958), so an interrupted answer counts for
//! the buckets that it passed and for none beyond. Running answers are counted whenever they pass a bucket,
//! so a shift towards longer answers shows before the first long one has ended. Old observations decay
//! exponentially. A group with little data is shrunk towards its parent, bucket by bucket.

use carob_base::{AccountKey, ServiceKey};
use slotmap::SlotMap;
use std::collections::HashMap;

/// Number of buckets; the last one starts at 7 * 2^15 tokens.
const BUCKETS: usize = 68;
/// Number of the group's own answers that the parent's hazard counts as, in each bucket.
const PRIOR_WEIGHT: f32 = 4.0;
/// Relative decay of old observations per ended answer; the effective number of remembered answers is about
/// 300.
const DECAY: f32 = 1.0 / 300.0;
/// Number of observations after which the survival table of a group is recomputed.
const REFRESH_CHANGES: u32 = 48;
/// Number of groups from which on only groups of whole services are added; a request that would need another
/// one uses the parent group.
const GROUP_LIMIT: usize = 8_192;
/// Hazard assumed before any observation, in buckets below [`PRIOR_LONG_BUCKET`].
const PRIOR_SHORT_HAZARD: f32 = 0.01;
/// First bucket in which the prior expects a sizeable share of answers to end.
const PRIOR_LONG_BUCKET: usize = 12;
/// Hazard of the prior in [`PRIOR_LONG_BUCKET`]; gives a median near 200 tokens.
const PRIOR_LONG_HAZARD: f32 = 0.05;
/// Increase of the prior's hazard with each further bucket.
const PRIOR_HAZARD_GROWTH: f32 = 0.008;

slotmap::new_key_type! {
    /// A group of answers with a common length distribution.
    pub struct GroupKey;
}

/// Size class of a prompt: half the binary logarithm of its length in tokens (at least 64), rounded down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct PromptClass(u8);

/// Hazard of each bucket.
type Hazards = [f32; BUCKETS];

/// Position of a group in the hierarchy: service, account within it, prompt class within that.
type GroupPath = (ServiceKey, Option<(AccountKey, Option<PromptClass>)>);

/// Length distributions of all services.
#[derive(Debug)]
pub struct LengthModel {
    groups: SlotMap<GroupKey, Group>,
    by_path: HashMap<GroupPath, GroupKey>,
    /// Whether observations are recorded; otherwise every group keeps the prior.
    learning: bool,
}

#[derive(Debug)]
struct Group {
    parent: Option<GroupKey>,
    entered: [f32; BUCKETS],
    ended: [f32; BUCKETS],
    /// Weight of a new observation; it grows, which saves scaling down the old ones.
    weight: f32,
    /// Observations since the survival table was computed.
    changes: u32,
    /// Survival at the start of each bucket.
    survival: [f32; BUCKETS + 1],
}

/// Survival table of a group, borrowed for several look-ups.
#[derive(Clone, Copy, Debug)]
pub struct SurvivalTable<'a> {
    survival: &'a [f32; BUCKETS + 1],
}

impl LengthModel {
    /// A model without observations; it records observations only if `learning`.
    pub fn new(learning: bool) -> Self {
        Self {
            groups: SlotMap::with_key(),
            by_path: HashMap::new(),
            learning,
        }
    }

    /// The group of a request with a prompt of `prompt` tokens; creates it if necessary.
    pub fn group(&mut self, service: ServiceKey, account: AccountKey, prompt: u32) -> GroupKey {
        let class = PromptClass((prompt.max(64).ilog2() / 2) as u8);
        let by_service = self.find_or_insert((service, None), None);
        let by_account = self.find_or_insert((service, Some((account, None))), Some(by_service));
        self.find_or_insert((service, Some((account, Some(class)))), Some(by_account))
    }

    fn find_or_insert(&mut self, path: GroupPath, parent: Option<GroupKey>) -> GroupKey {
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

    /// Removes the groups of an account.
    pub fn remove_account(&mut self, account: AccountKey) {
        let groups = &mut self.groups;
        self.by_path.retain(|(_, account_path), group| {
            let keep = account_path.is_none_or(|(owner, _)| owner != account);
            if !keep {
                groups.remove(*group);
            }
            keep
        });
    }

    /// Records that a running answer has grown from `before` to `after` tokens.
    pub fn record_growth(&mut self, group: GroupKey, before: u32, after: u32) {
        let (from, to) = (bucket(before), bucket(after));
        if from == to || !self.learning {
            return;
        }
        self.for_each_ancestor(group, |group| {
            for b in from..to {
                group.entered[b] += group.weight;
            }
            group.changes += 1;
        });
    }

    /// Records that an answer has ended at `length` tokens without being cut off.
    pub fn record_end(&mut self, group: GroupKey, length: u32) {
        if !self.learning {
            return;
        }
        let b = bucket(length);
        self.for_each_ancestor(group, |group| {
            group.entered[b] += group.weight;
            group.ended[b] += group.weight;
            group.changes += 1;
            group.decay();
        });
    }

    /// Records that an answer was cut off at `length` tokens; it counts as half an answer that
    /// entered that bucket and did not end in it.
    pub fn record_censored(&mut self, group: GroupKey, length: u32) {
        if !self.learning {
            return;
        }
        let b = bucket(length);
        self.for_each_ancestor(group, |group| {
            group.entered[b] += group.weight * 0.5;
            group.changes += 1;
        });
    }

    /// Applies `change` to a group and all its ancestors.
    fn for_each_ancestor(&mut self, group: GroupKey, change: impl Fn(&mut Group)) {
        let mut next = Some(group);
        while let Some(key) = next {
            let Some(group) = self.groups.get_mut(key) else {
                return;
            };
            change(group);
            next = group.parent;
        }
    }

    /// Recomputes the survival tables of `group` and its ancestors where enough observations have been added.
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
            .is_some_and(|group| group.changes >= REFRESH_CHANGES);
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

    /// Up-to-date survival table of all answers of `service`.
    pub fn service_table(&mut self, service: ServiceKey) -> SurvivalTable<'_> {
        let key = self.find_or_insert((service, None), None);
        self.refresh(key);
        self.table(key)
    }

    /// Survival table of `group` as of its last refresh.
    ///
    /// # Panics
    ///
    /// Panics if the group is unknown or was removed.
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

    /// Decays old observations by raising the weight of new ones. Rescales the counts and the weight once the
    /// weight is large.
    fn decay(&mut self) {
        const RESCALE_AT: f32 = 1e6;
        self.weight *= 1.0 + DECAY;
        if self.weight < RESCALE_AT {
            return;
        }
        for value in self.entered.iter_mut().chain(&mut self.ended) {
            *value /= self.weight;
        }
        self.weight = 1.0;
    }

    /// Hazard of each bucket, derived from the survival table.
    fn hazards(&self) -> Hazards {
        std::array::from_fn(|b| {
            let start = self.survival[b].max(f32::MIN_POSITIVE);
            (1.0 - self.survival[b + 1] / start).clamp(0.0, 1.0)
        })
    }

    /// Recomputes the survival table, shrunk towards the parent's hazards, or the prior's without a parent.
    fn refresh(&mut self, parent: Option<&Hazards>) {
        let parent = parent.map_or_else(prior, |parent| *parent);
        let mut survival = 1.0;
        for (b, parent_hazard) in parent.into_iter().enumerate() {
            self.survival[b] = survival;
            let entered = self.entered[b] / self.weight;
            let ended = self.ended[b] / self.weight;
            let hazard = (PRIOR_WEIGHT * parent_hazard + ended) / (entered + PRIOR_WEIGHT);
            survival *= 1.0 - hazard.clamp(0.0, 1.0);
        }
        self.survival[BUCKETS] = survival;
        self.changes = 0;
    }
}

impl SurvivalTable<'_> {
    /// Probability that an answer has more than `length` tokens.
    pub fn survival(&self, length: u32) -> f32 {
        let b = bucket(length);
        let (start, end) = (bucket_start(b), bucket_start(b + 1));
        let fraction = (length - start) as f32 / (end - start) as f32;
        let (high, low) = (self.survival[b], self.survival[b + 1]);
        high + (low - high) * fraction.min(1.0)
    }

    /// The length that an answer, having `produced` tokens so far, exceeds with `probability`.
    pub fn survival_quantile(&self, produced: u32, probability: f32) -> u32 {
        let target = self.survival(produced) * probability;
        let first = bucket(produced);
        let found = (first..BUCKETS).find(|&b| self.survival[b + 1] <= target);
        let Some(b) = found else {
            return bucket_start(BUCKETS);
        };
        let (high, low) = (self.survival[b], self.survival[b + 1]);
        let fraction = if high > low {
            (high - target) / (high - low)
        } else {
            1.0
        };
        let (start, end) = (bucket_start(b) as f32, bucket_start(b + 1) as f32);
        ((start + (end - start) * fraction.clamp(0.0, 1.0)) as u32).max(produced + 1)
    }
}

/// Bucket of a length; each doubling has four buckets.
fn bucket(length: u32) -> usize {
    if length < 4 {
        return length as usize;
    }
    let log = length.ilog2();
    let quarter = (length >> (log - 2)) & 3;
    ((log as usize - 1) * 4 + quarter as usize).min(BUCKETS - 1)
}

/// First length in bucket `b`.
fn bucket_start(b: usize) -> u32 {
    if b < 4 {
        return b as u32;
    }
    let log = b / 4 + 1;
    ((4 + b % 4) as u32) << (log - 2)
}

/// Hazards of a service before any observation.
fn prior() -> Hazards {
    let hazard = |b: usize| match b.checked_sub(PRIOR_LONG_BUCKET) {
        Some(further) => PRIOR_LONG_HAZARD + PRIOR_HAZARD_GROWTH * further as f32,
        None => PRIOR_SHORT_HAZARD,
    };
    std::array::from_fn(hazard)
}
