//! A store that comes back from a copy gives revisions out again; what is known of its earlier history never wins.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use carob_gateway::{
    Mirror,
    era::{AnswerEra, Eras, Position, Span, Unusable},
};
use carob_platform::store::EraError;
use rand::{RngExt, SeedableRng, rngs::StdRng};

#[test]
fn an_item_at_a_lower_revision_of_a_later_era_is_missed() {
    let mut mirror = Mirror::new();
    let value = |text: &'static str| Some(Bytes::from_static(text.as_bytes()));
    mirror.apply("k", Position::new(1, 900), value("lost"));
    mirror.advance_to(Position::new(1, 1_000));
    assert!(mirror.apply("k", Position::new(2, 40), value("copy")).is_some());
    mirror.advance_to(Position::new(2, 50));
    assert_eq!(mirror.apply("k", Position::new(1, 1_001), value("late")), None);
    assert_eq!(mirror.get("k").map(|item| &*item.value), Some(&b"copy"[..]));
    assert_eq!(mirror.position(), Position::new(2, 50));
}

/// The copy has the same revision with another value.
#[test]
fn an_item_at_the_known_revision_of_a_later_era_is_missed() {
    let mut mirror = Mirror::new();
    mirror.apply("k", Position::new(1, 7), Some(Bytes::from_static(b"a")));
    assert!(
        mirror
            .apply("k", Position::new(2, 7), Some(Bytes::from_static(b"b")))
            .is_some()
    );
}

#[test]
fn a_list_of_a_later_era_keeps_what_only_the_earlier_one_had() {
    let mut mirror = Mirror::new();
    mirror.apply("s/lost", Position::new(1, 900), Some(Bytes::new()));
    let gone = mirror.retain("s/", Position::new(2, 3), &BTreeSet::new());
    assert_eq!(gone, ["s/lost"]);
}

#[test]
fn a_later_era_is_followed_before_its_content_is_known() {
    let mut eras = Eras::new();
    assert_eq!(eras.judge(Ok(Some(3))), (AnswerEra::Later(3), None));
    assert_eq!(eras.follow(3), None, "the first era replaces none");
    assert_eq!(eras.judge(Ok(Some(4))), (AnswerEra::Later(4), None));
    assert_eq!((eras.followed(), eras.pending()), (3, Some(4)));
    assert_eq!(eras.judge(Ok(Some(2))), (AnswerEra::Earlier(2), None));
    assert_eq!(eras.judge(Ok(None)), (AnswerEra::Unnamed, None));
    assert_eq!(eras.follow(4), Some(3));
    assert_eq!((eras.followed(), eras.pending()), (4, None));
    assert_eq!(eras.follow(3), None, "an earlier era is never followed");
    assert_eq!(eras.followed(), 4);
}

/// A process took its first content from an instance of a build that knows no eras.
#[test]
fn the_first_era_that_is_named_counts_as_a_return_from_a_copy() {
    let mut eras = Eras::new();
    assert_eq!(eras.follow(0), None);
    assert_eq!(eras.judge(Ok(Some(7))), (AnswerEra::Later(7), None));
    assert_eq!(eras.follow(7), None);
    assert_eq!(eras.follow(8), Some(7));
}

#[test]
fn an_era_far_ahead_keeps_all_later_ones_out() {
    let mut eras = Eras::new();
    eras.follow(3);
    let ahead = Unusable::Ahead {
        found: 1_000_000,
        known: 3,
    };
    assert_eq!(eras.judge(Ok(Some(1_000_000))), (AnswerEra::Unnamed, Some(ahead)));
    assert_eq!(
        eras.judge(Ok(Some(1_000_000))),
        (AnswerEra::Unnamed, None),
        "it is reported once"
    );
    let several = EraError::Several(2);
    assert_eq!(
        eras.judge(Err(several.clone())),
        (AnswerEra::Unnamed, Some(Unusable::Header(several)))
    );
    assert_eq!(eras.judge(Ok(Some(4))), (AnswerEra::Later(4), None));
}

#[test]
fn an_era_that_only_one_answer_named_is_waited_for() {
    let mut eras = Eras::new();
    eras.follow(3);
    assert_eq!(eras.judge(Ok(Some(5))), (AnswerEra::Later(5), None));
    assert!(eras.refute(5));
    assert_eq!(eras.pending(), None);
    assert!(!eras.refute(5));
    assert_eq!(eras.see_peer(5), Err(Unusable::Refuted(5)));
    assert_eq!(eras.judge(Ok(Some(5))), (AnswerEra::Later(5), None));
}

/// Revisions and values by key.
type Items = BTreeMap<String, (u64, u64)>;

/// A store with its copies, and instances that read it, watch it and pass on what they know, over many eras.
struct Model {
    rng: StdRng,
    era: u64,
    revision: u64,
    items: Items,
    history: Vec<(u64, String, Option<u64>)>,
    /// Revision, items and length of the history of the latest copy.
    copy: Option<(u64, Items, usize)>,
    /// Answers that are still on their way: the receiver, and a full read or changes up to a position.
    late: Vec<(usize, Message)>,
    instances: Vec<Instance>,
    /// Values rise with each write.
    next_value: u64,
}

struct Instance {
    mirror: Mirror,
    eras: Eras,
    /// Highest value of the key `version` that was in force.
    version: u64,
}

#[derive(Clone)]
enum Message {
    Full(Position, Vec<(String, u64, u64)>),
    Changes(u64, Position, Vec<(u64, String, Option<u64>)>),
}

const KEYS: usize = 5;
const INSTANCES: usize = 4;

impl Model {
    fn new(seed: u64) -> Self {
        let instance = || Instance {
            mirror: Mirror::new(),
            eras: Eras::new(),
            version: 0,
        };
        Self {
            rng: StdRng::seed_from_u64(seed),
            era: 1,
            revision: 1,
            items: BTreeMap::new(),
            history: Vec::new(),
            copy: None,
            late: Vec::new(),
            instances: (0..INSTANCES).map(|_| instance()).collect(),
            next_value: 0,
        }
    }

    fn write(&mut self, key: String, is_removal: bool) {
        self.revision += 1;
        self.next_value += 1;
        let value = (!is_removal).then_some(self.next_value);
        match value {
            Some(value) => self.items.insert(key.clone(), (self.revision, value)),
            None => self.items.remove(&key),
        };
        self.history.push((self.revision, key, value));
    }

    fn full(&self) -> Message {
        let items = self.items.iter();
        let items = items.map(|(key, (revision, value))| (key.clone(), *revision, *value));
        Message::Full(Position::new(self.era, self.revision), items.collect())
    }

    /// What a watch from the instance's position returns.
    fn watch(&self, at: usize) -> Message {
        let after = self.instances[at].mirror.position().revision;
        if after > self.revision {
            return self.full();
        }
        let changes = self.history.iter().filter(|(revision, ..)| *revision > after);
        Message::Changes(
            after,
            Position::new(self.era, self.revision),
            changes.cloned().collect(),
        )
    }

    /// All that another instance knows.
    fn peer(&self, at: usize) -> Message {
        let mirror = &self.instances[at].mirror;
        let number =
            |value: &Bytes| u64::from_be_bytes((**value).try_into().expect("values have eight bytes"));
        let items = mirror.items();
        let items = items.map(|(key, item)| (key.to_owned(), item.position.revision, number(&item.value)));
        Message::Full(mirror.position(), items.collect())
    }

    /// Delivers an answer, as the control thread handles it.
    fn deliver(&mut self, to: usize, message: Message) {
        let instance = &mut self.instances[to];
        let before = instance.mirror.position();
        let bytes = |value: u64| Bytes::copy_from_slice(&value.to_be_bytes());
        match message {
            Message::Full(position, items) => {
                if position < before || position == Position::START {
                    return;
                }
                instance.eras.see_peer(position.era).expect("eras rise by one");
                instance.eras.follow(position.era);
                let present: BTreeSet<String> = items.iter().map(|(key, ..)| key.clone()).collect();
                for (key, revision, value) in items {
                    instance
                        .mirror
                        .apply(&key, Position::new(position.era, revision), Some(bytes(value)));
                }
                instance.mirror.retain("", position, &present);
                instance.mirror.advance_to(position);
            }
            Message::Changes(base, position, changes) => {
                let judged = instance.eras.judge(Ok(Some(position.era))).0;
                if judged != AnswerEra::Followed || base > before.revision {
                    return;
                }
                for (revision, key, value) in changes {
                    instance
                        .mirror
                        .apply(&key, Position::new(position.era, revision), value.map(bytes));
                }
                instance.mirror.advance_to(position);
            }
        }
        assert!(instance.mirror.position() >= before, "the position never falls");
        assert!(instance.mirror.position().era <= self.era, "no era is made up");
        let found = instance.mirror.get("version");
        let found = found.map_or(0, |item| {
            u64::from_be_bytes((*item.value).try_into().expect("values have eight bytes"))
        });
        instance.version = instance.version.max(found);
    }

    fn step(&mut self) {
        match self.rng.random_range(0..100) {
            0..30 => {
                let key = format!("k{}", self.rng.random_range(0..KEYS));
                let is_removal = self.rng.random_bool(0.3);
                self.write(key, is_removal);
            }
            30..36 => self.write("version".to_owned(), false),
            36..40 => {
                self.copy = Some((self.revision, self.items.clone(), self.history.len()));
            }
            40..43 => {
                if let Some((revision, items, length)) = self.copy.clone() {
                    (self.revision, self.items) = (revision, items);
                    self.history.truncate(length);
                    self.era += 1;
                }
            }
            43..75 => {
                let at = self.rng.random_range(0..INSTANCES);
                let message = match self.rng.random_range(0..3) {
                    0 => self.full(),
                    1 => self.watch(at),
                    _ => {
                        let from = self.rng.random_range(0..INSTANCES);
                        self.peer(from)
                    }
                };
                self.late.push((at, message));
            }
            _ => {
                if !self.late.is_empty() {
                    let at = self.rng.random_range(0..self.late.len());
                    let (to, message) = self.late.swap_remove(at);
                    if !self.rng.random_bool(0.2) {
                        self.deliver(to, message);
                    }
                }
            }
        }
    }

    /// After quiet, all instances have what the store has.
    fn settle(&mut self) {
        for (to, message) in std::mem::take(&mut self.late) {
            self.deliver(to, message);
        }
        for to in 0..INSTANCES {
            let message = if self.instances[to].mirror.position().era == self.era {
                self.watch(to)
            } else {
                self.full()
            };
            self.deliver(to, message);
            let found: BTreeMap<String, (Position, Bytes)> = self.instances[to]
                .mirror
                .items()
                .map(|(key, item)| (key.to_owned(), (item.position, item.value.clone())))
                .collect();
            let expected = self.items.iter().map(|(key, (revision, value))| {
                let value = Bytes::copy_from_slice(&value.to_be_bytes());
                (key.clone(), (Position::new(self.era, *revision), value))
            });
            assert_eq!(found, expected.collect(), "instance {to} in era {}", self.era);
        }
    }
}

/// Seeds and steps of a longer run: `CAROB_MODEL_SEED` and `CAROB_MODEL_STEPS`.
#[test]
fn instances_differ_from_the_store_after_quiet() {
    let number =
        |name: &str, usual: u64| std::env::var(name).map_or(usual, |text| text.parse().expect("a number"));
    let first = number("CAROB_MODEL_SEED", 1);
    let steps = number("CAROB_MODEL_STEPS", 20_000);
    for seed in first..first + 5 {
        let mut model = Model::new(seed);
        for step in 0..steps / 5 {
            model.step();
            if step % 200 == 199 {
                model.settle();
            }
        }
    }
}

/// Changes that waited to be sent were joined with later ones although some were missing between the two; who took the joined
/// message believed to know those as well.
#[test]
fn spans_with_a_gap_between_them_are_joined() {
    let span = |era, base, revision| Span { era, base, revision };
    let first = span(1, 10, 14);
    assert_eq!(first.join(span(1, 14, 20)), Some(span(1, 10, 20)), "the next one");
    assert_eq!(first.join(span(1, 12, 20)), Some(span(1, 10, 20)), "they overlap");
    assert_eq!(
        first.join(span(1, 8, 20)),
        Some(span(1, 8, 20)),
        "it holds the first"
    );
    assert_eq!(first.join(span(1, 15, 20)), None, "a change is missing");
    assert_eq!(first.join(span(1, 9, 12)), None, "it leads back");
    assert_eq!(first.join(span(2, 14, 20)), None, "another era");
}
