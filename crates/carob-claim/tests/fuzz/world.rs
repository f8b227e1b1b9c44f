//! Instances and callers around the fake store, in virtual time.

use std::{collections::BTreeMap, sync::Mutex, time::Duration};

use bytes::Bytes;
use carob_base::{Name, Time};
use carob_claim::{Claims, Key, Options, Outcome, Ticket, Verdict};
use carob_wire::Execution;

use crate::{
    Fault,
    store::{Delivery, Store},
};

const INSTANCES: usize = 3;
/// Wall clock at the start, in milliseconds since 1970.
const WALL_CLOCK_START: u64 = 0x0190_0000_0000;
/// How long the upstream takes for a call.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time between the confirmation of a claim and the first byte to the upstream.
const SEND_DELAY: Duration = Duration::from_millis(1);
/// Time after the last fault within which every attempt must be answered; longer than every limit of an
/// attempt.
const QUIESCE_TIME: Duration = Duration::from_secs(40);

/// Time before its maximum age, in milliseconds, from which a key need no longer be usable at the end of a
/// case.
const AGE_MARGIN: u64 = 200_000;

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Outcome,
    Refused(Execution),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Requested,
    /// The worker has the claim and will call `may_send` at this time.
    Granted(Time),
    /// The worker has permission and sends the first byte once its instance runs.
    Permitted,
    /// The upstream is working until this time.
    Running(Time),
    Ended,
}

/// One attempt of a caller to make a call.
#[derive(Debug)]
pub struct Attempt {
    /// Index of its key in the world.
    pub key_index: usize,
    pub runs: u32,
    pub answer: Option<Answer>,
    instance: usize,
    holder: u64,
    ticket: Ticket,
    state: State,
    /// The connection to the upstream breaks before the answer arrives.
    connection_breaks: bool,
    /// The first connection is refused; another is tried after a further `may_send`.
    connection_refused: bool,
}

#[derive(Debug)]
struct Instance {
    claims: Claims,
    holder: u64,
    paused_until: Time,
    /// Store results that the process has not processed yet, such as during a pause.
    inbox: Vec<Delivery>,
    /// Milliseconds by which its wall clock is ahead; negative if behind.
    skew: i64,
}

#[derive(Debug)]
pub struct World {
    pub attempts: Vec<Attempt>,
    pub store: Store,
    instances: Vec<Instance>,
    keys: Vec<Key>,
    holder_count: u64,
    now: Time,
    break_next: bool,
    refuse_next: bool,
    /// Indexes of the keys whose claim may still be reserved by an instance that died.
    possibly_reserved: Vec<usize>,
    faults: BTreeMap<String, u64>,
}

impl World {
    pub fn new() -> Self {
        let mut world = Self {
            attempts: Vec::new(),
            store: Store::default(),
            instances: Vec::new(),
            keys: Vec::new(),
            holder_count: 0,
            now: Time::ZERO,
            break_next: false,
            refuse_next: false,
            possibly_reserved: Vec::new(),
            faults: BTreeMap::new(),
        };
        for skew in [0, 90_000, -90_000] {
            let instance = world.new_instance(skew);
            world.instances.push(instance);
        }
        world
    }

    fn new_instance(&mut self, skew: i64) -> Instance {
        self.holder_count += 1;
        let options = Options {
            shards: 2,
            ..Options::new()
        };
        Instance {
            claims: Claims::new(options, self.holder_count),
            holder: self.holder_count,
            paused_until: Time::ZERO,
            inbox: Vec::new(),
            skew,
        }
    }

    fn wall(&self, instance: usize) -> u64 {
        (WALL_CLOCK_START + self.now.as_millis()).saturating_add_signed(self.instances[instance].skew)
    }

    /// A caller sends a call under a new key.
    pub fn new_call(&mut self, instance: usize) {
        let name = |text| Name::new(text).expect("a valid name");
        let created_at = WALL_CLOCK_START + self.now.as_millis();
        let (high, low, count) = (created_at >> 16, created_at & 0xffff, self.keys.len());
        let text = format!("{high:08x}-{low:04x}-7000-8000-{count:012x}");
        let key = Key::new(&name("parish"), &name("orders"), &text).expect("a valid key");
        self.keys.push(key);
        self.send(count, instance);
    }

    /// A caller, or a load balancer on its behalf, repeats a call.
    pub fn repeat_call(&mut self, random: usize, instance: usize) {
        if !self.keys.is_empty() {
            self.send(random % self.keys.len(), instance);
        }
    }

    fn send(&mut self, key_index: usize, index: usize) {
        let index = index % INSTANCES;
        if self.now < self.instances[index].paused_until {
            return;
        }
        let wall = self.wall(index);
        let instance = &mut self.instances[index];
        let ticket = instance.claims.begin(self.keys[key_index], 1, self.now, wall);
        self.attempts.push(Attempt {
            key_index,
            runs: 0,
            answer: None,
            instance: index,
            holder: instance.holder,
            ticket,
            state: State::Requested,
            connection_breaks: std::mem::take(&mut self.break_next),
            connection_refused: std::mem::take(&mut self.refuse_next),
        });
        self.settle();
    }

    /// Lets `time` go by and does everything that falls due meanwhile.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self
                .next_event()
                .max(self.now + Duration::from_millis(1))
                .min(until);
            self.settle();
        }
    }

    /// Stops all faults and checks that every attempt is answered, and that a key whose call never ran can
    /// still be used unless its claim was left reserved or the key is nearly too old.
    pub fn quiesce(&mut self) {
        self.store.down_until = Time::ZERO;
        (self.store.lost_replies, self.store.late_swaps) = (0, 0);
        for instance in &mut self.instances {
            instance.paused_until = Time::ZERO;
        }
        self.advance(QUIESCE_TIME);
        for attempt in &self.attempts {
            assert!(
                attempt.answer.is_some() || attempt.state == State::Ended,
                "no answer: {attempt:?}"
            );
        }
        let usable_age = Options::new().max_age.as_millis() as u64 - AGE_MARGIN;
        for key_index in 0..self.keys.len() {
            let ran = self
                .attempts
                .iter()
                .any(|attempt| attempt.key_index == key_index && attempt.runs > 0);
            let age =
                (WALL_CLOCK_START + self.now.as_millis()).saturating_sub(self.keys[key_index].created_at);
            if !ran && !self.possibly_reserved.contains(&key_index) && age < usable_age {
                self.send(key_index, 0);
                self.advance(Duration::from_secs(2));
                let last = self.attempts.last().expect("an attempt was just made");
                assert_eq!(last.runs, 1, "a key that never ran cannot be used: {last:?}");
            }
        }
    }

    /// Injects the fault; the arbitrary number `random` selects its instance and its extent.
    pub fn inject(&mut self, fault: Fault, random: usize) {
        let instance = random % INSTANCES;
        let pause_seconds = [3, 30, 900, 2_000][random % 4];
        match fault {
            Fault::LoseReplies => self.store.lost_replies += 1 + random as u32 % 4,
            Fault::LateEffects => self.store.late_swaps += 1 + random as u32 % 4,
            Fault::Outage => self.store.down_until = self.now + Duration::from_secs(pause_seconds.min(60)),
            Fault::Pause => {
                self.instances[instance].paused_until = self.now + Duration::from_secs(pause_seconds);
            }
            Fault::Crash => self.crash(instance),
            Fault::Break => self.break_next = true,
            Fault::Refuse => self.refuse_next = true,
        }
        *self.faults.entry(format!("{fault:?}")).or_default() += 1;
    }

    fn crash(&mut self, index: usize) {
        let skew = self.instances[index].skew;
        let fresh = self.new_instance(skew);
        let old = std::mem::replace(&mut self.instances[index], fresh);
        for attempt in self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.holder == old.holder)
        {
            self.possibly_reserved.push(attempt.key_index);
            attempt.state = State::Ended;
        }
        // The other instances see in the list of instances that the holder has ended.
        for instance in &mut self.instances {
            instance.claims.on_holder_ended(old.holder);
        }
    }

    fn next_event(&self) -> Time {
        let running = |index: usize| self.now >= self.instances[index].paused_until;
        let wake = self
            .instances
            .iter()
            .map(|instance| instance.paused_until)
            .filter(|time| *time > self.now);
        let due = (0..INSTANCES)
            .filter(|index| running(*index))
            .map(|index| self.instances[index].claims.deadline());
        let work = self
            .attempts
            .iter()
            .filter(|attempt| running(attempt.instance))
            .map(|attempt| match attempt.state {
                State::Granted(time) | State::Running(time) => time,
                State::Permitted => self.now,
                State::Requested | State::Ended => Time::NEVER,
            });
        wake.chain(due)
            .chain(work)
            .chain([self.store.deadline()])
            .min()
            .unwrap_or(Time::NEVER)
    }

    /// Does everything that is due now.
    fn settle(&mut self) {
        for delivery in self.store.run(self.now) {
            let instance = &mut self.instances[delivery.instance];
            if instance.holder == delivery.holder {
                instance.inbox.push(delivery);
            }
        }
        for index in 0..INSTANCES {
            let instance = &mut self.instances[index];
            if self.now < instance.paused_until {
                continue;
            }
            for delivery in instance.inbox.drain(..) {
                instance.claims.on_reply(delivery.id, delivery.result, self.now);
            }
            self.run_attempts(index);
            self.poll(index);
        }
    }

    fn poll(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        let holder = instance.holder;
        let step = instance.claims.poll(self.now);
        for call in step.calls {
            self.store.send(index, holder, call, self.now);
        }
        for (ticket, verdict) in step.verdicts {
            let own = |attempt: &&mut Attempt| attempt.holder == holder && attempt.ticket == ticket;
            let Some(attempt) = self.attempts.iter_mut().find(own) else {
                continue;
            };
            match verdict {
                Verdict::Granted { .. } => attempt.state = State::Granted(self.now + SEND_DELAY),
                Verdict::Replay(_) => attempt.end(Answer::Outcome),
                Verdict::Refused(problem) => attempt.end(Answer::Refused(problem.outcome)),
            }
        }
    }

    fn run_attempts(&mut self, index: usize) {
        let (now, wall) = (self.now, self.wall(index));
        let Instance { claims, holder, .. } = &mut self.instances[index];
        for attempt in self
            .attempts
            .iter_mut()
            .filter(|attempt| attempt.holder == *holder)
        {
            match attempt.state {
                State::Granted(due) if due <= now => match claims.may_send(attempt.ticket, now, wall) {
                    Ok(()) => attempt.state = State::Permitted,
                    Err(problem) => attempt.end(Answer::Refused(problem.outcome)),
                },
                State::Permitted if attempt.connection_refused => {
                    // Nothing was sent, so the worker asks again.
                    attempt.connection_refused = false;
                    attempt.state = State::Granted(now + SEND_DELAY);
                }
                State::Permitted => {
                    attempt.runs += 1;
                    attempt.state = State::Running(now + RUN_TIME);
                }
                State::Running(due) if due <= now && attempt.connection_breaks => {
                    claims.mark_unknown(attempt.ticket, now);
                    attempt.end(Answer::Refused(Execution::Unknown));
                }
                State::Running(due) if due <= now => {
                    let outcome = Outcome::new(201, "text/plain", Bytes::from("booked"));
                    claims.finish(attempt.ticket, outcome, now);
                    attempt.end(Answer::Outcome);
                }
                _ => {}
            }
        }
    }
}

impl Attempt {
    fn end(&mut self, answer: Answer) {
        self.answer = Some(answer);
        self.state = State::Ended;
    }
}

/// Totals over all fuzz cases, for the printed summary.
#[derive(Debug, Default)]
pub struct Stats {
    cases: u64,
    keys: u64,
    attempts: u64,
    runs: u64,
    swaps: u64,
    answers: BTreeMap<String, u64>,
    faults: BTreeMap<String, u64>,
}

static STATS: Mutex<Option<Stats>> = Mutex::new(None);

impl Stats {
    pub fn add(world: &World) {
        let mut guard = STATS.lock().expect("no test panics while it counts");
        let stats = guard.get_or_insert_default();
        stats.cases += 1;
        stats.keys += world.keys.len() as u64;
        stats.swaps += world.store.swaps;
        for attempt in &world.attempts {
            stats.attempts += 1;
            stats.runs += u64::from(attempt.runs);
            *stats.answers.entry(format!("{:?}", attempt.answer)).or_default() += 1;
        }
        for (fault, count) in &world.faults {
            *stats.faults.entry(fault.clone()).or_default() += count;
        }
    }

    pub fn print() {
        println!("{:#?}", STATS.lock().expect("no test panics while it counts"));
    }
}
