//! The way of one upstream to its desired state.

use bytes::Bytes;
use carob_base::Time;
use carob_config::Fencing;
use carob_store::{Call, Entry, Expect, Failure, Reply};

use crate::{FencingNumber, Intent, Options, Order, Outcome, Target, limit, order::intent_key};

/// Doublings of the delay after a failure.
const DOUBLINGS: u32 = 6;

/// The surroundings of one step.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    pub options: Options,
    pub fence: FencingNumber,
    /// Whether the lease lasts long enough for an order to be sent now.
    pub may_send: bool,
    pub now: Time,
    /// Milliseconds since 1970.
    pub wall: u64,
}

/// What has to be done for an upstream.
#[derive(Debug)]
pub enum Request {
    Store(Call),
    Send(Order),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Reads the last intent; also the way back after every failure.
    ReadIntent,
    /// Reads the time of the next permitted load.
    ReadLimit,
    /// Takes the turn to load.
    TakeTurn(Option<Entry>),
    /// Records the intent.
    Record(Order),
    /// The intent is recorded; sends the order when nothing speaks against it.
    Ready(Order),
    /// Waits for the result of sending.
    Sent(Order),
    /// Waits for the upstream to show the effect.
    Working { order: Order, until: Time },
    /// Records that nothing is under way any more.
    Settle(Order),
    /// Has what it should.
    Rest,
}

/// One upstream.
#[derive(Debug)]
pub struct Progress {
    pub target: Target,
    observed: Option<(Option<String>, Time)>,
    stage: Stage,
    busy: bool,
    next_at: Time,
    failures: u32,
    /// Fencing number for which the present stage holds.
    fence: Option<FencingNumber>,
    /// The stored intent.
    intent: Option<Entry>,
    /// Until when an order of an earlier holder may still arrive.
    wait_out: Time,
    /// The turn to load, in milliseconds since 1970.
    turn: Option<u64>,
}

impl Progress {
    pub fn new(target: Target) -> Self {
        Self {
            target,
            observed: None,
            stage: Stage::ReadIntent,
            busy: false,
            next_at: Time::ZERO,
            failures: 0,
            fence: None,
            intent: None,
            wait_out: Time::ZERO,
            turn: None,
        }
    }

    pub fn observe(&mut self, model: Option<String>, now: Time) {
        self.observed = Some((model, now));
    }

    /// The next thing to do, if anything is due.
    pub fn poll(&mut self, cx: &Context) -> Option<Request> {
        if self.busy || self.observed.is_none() {
            return None;
        }
        if self.fence != Some(cx.fence) {
            self.restart(cx.fence);
        }
        if let Some(stage) = self.advance(self.wanted(), cx) {
            self.stage = stage;
        }
        if cx.now < self.next_at {
            return None;
        }
        let request = self.request(cx)?;
        self.busy = true;
        Some(request)
    }

    pub fn on_store(&mut self, result: Result<Reply, Failure>, cx: &Context) {
        self.busy = false;
        let Ok(reply) = result else {
            self.fail(cx);
            return;
        };
        let next = match (&self.stage, reply) {
            (Stage::ReadIntent, Reply::Found { entries, .. }) => {
                Some(self.on_intent(entries.into_iter().next(), cx))
            }
            (Stage::ReadLimit, Reply::Found { entries, .. }) => {
                Some(Stage::TakeTurn(entries.into_iter().next()))
            }
            (Stage::TakeTurn(_), Reply::Done { .. }) => {
                Some(self.wanted().map_or(Stage::Rest, Stage::Record))
            }
            (Stage::TakeTurn(_), Reply::Conflict { current }) => Some(Stage::TakeTurn(current)),
            (Stage::Record(order), Reply::Done { revision }) => {
                let order = order.clone();
                self.note_stored(revision);
                Some(Stage::Ready(order))
            }
            (Stage::Settle(_), Reply::Done { .. }) => {
                self.intent = None;
                Some(Stage::Rest)
            }
            _ => None,
        };
        match next {
            Some(stage) => self.stage = stage,
            None => self.fail(cx),
        }
    }

    pub fn on_outcome(&mut self, outcome: Outcome, cx: &Context) {
        let Stage::Sent(order) = &self.stage else {
            return;
        };
        self.busy = false;
        let order = order.clone();
        match outcome {
            Outcome::Accepted | Outcome::Unknown => {
                // An order that may have arrived is not given again before its effect had time to show.
                let until = cx.now + cx.options.effect_timeout;
                self.stage = Stage::Working { order, until };
                self.turn = None;
                self.failures = 0;
            }
            Outcome::NotSent => {
                self.stage = Stage::Ready(order);
                self.delay(cx);
            }
            Outcome::OldFence | Outcome::Refused => self.fail(cx),
        }
    }

    /// The order that brings the upstream to its desired state; `None` if it is there or has not been observed.
    fn wanted(&self) -> Option<Order> {
        let (model, _) = self.observed.as_ref()?;
        self.target.order(model.as_deref())
    }

    /// Changes of stage that need no store call.
    fn advance(&mut self, wanted: Option<Order>, cx: &Context) -> Option<Stage> {
        let needless = wanted.is_none();
        match (&self.stage, wanted) {
            (Stage::ReadIntent, None) if self.intent.is_none() => Some(Stage::Rest),
            // As long as nothing has been recorded, an upstream that needs no order is left alone.
            (Stage::ReadLimit | Stage::TakeTurn(_) | Stage::Record(_), None) => Some(Stage::Rest),
            (Stage::Working { order, .. } | Stage::Ready(order), None) => Some(Stage::Settle(order.clone())),
            (Stage::Ready(order), Some(wanted)) if *order != wanted => Some(Stage::ReadIntent),
            (Stage::Working { until, .. }, _) if cx.now >= *until => Some(Stage::ReadIntent),
            (Stage::Rest, _) if !needless => Some(Stage::ReadIntent),
            _ => None,
        }
    }

    fn request(&mut self, cx: &Context) -> Option<Request> {
        let call = match &self.stage {
            Stage::ReadIntent => Call::Get { key: self.key() },
            Stage::ReadLimit => limit::read_next_load(),
            Stage::TakeTurn(entry) => {
                let (turn, call) = limit::reserve_load(entry.as_ref(), cx.options.load_interval, cx.wall);
                self.turn = Some(turn);
                call
            }
            Stage::Record(order) => self.put(&Intent::new(cx.fence, order.clone())),
            Stage::Settle(order) => self.put(&Intent {
                settled: true,
                ..Intent::new(cx.fence, order.clone())
            }),
            Stage::Ready(order) => return self.send(order.clone(), cx),
            Stage::Sent(_) | Stage::Working { .. } | Stage::Rest => return None,
        };
        Some(Request::Store(call))
    }

    fn send(&mut self, order: Order, cx: &Context) -> Option<Request> {
        // What an earlier holder may have sent must have arrived, and the upstream must have been seen since.
        let seen = self.observed.as_ref().is_some_and(|(_, at)| *at >= self.wait_out);
        let turn_come = self.turn.is_none_or(|turn| cx.wall >= turn);
        if cx.now < self.wait_out || !seen || !turn_come || !cx.may_send {
            return None;
        }
        self.stage = Stage::Sent(order.clone());
        Some(Request::Send(order))
    }

    fn on_intent(&mut self, entry: Option<Entry>, cx: &Context) -> Stage {
        let stored = entry
            .as_ref()
            .map(|entry| serde_json::from_slice::<Intent>(&entry.value));
        self.intent = entry;
        let own = matches!(&stored, Some(Ok(intent)) if intent.fence == cx.fence.0 && !intent.settled);
        let settled = matches!(&stored, None | Some(Ok(Intent { settled: true, .. })));
        // An intent that cannot be read may be under way as well.
        if !own && !settled && self.target.fencing == Fencing::Ignores {
            self.wait_out = self
                .wait_out
                .max(cx.now + cx.options.send_timeout + cx.options.send_margin);
        }
        let recorded = stored
            .and_then(Result::ok)
            .map(|intent| intent.order)
            .filter(|_| own);
        match (self.wanted(), recorded) {
            (None, Some(order)) => Stage::Settle(order),
            (None, None) => {
                self.intent = None;
                Stage::Rest
            }
            (Some(wanted), Some(order)) if wanted == order && self.turn.is_some() => Stage::Ready(wanted),
            (Some(wanted), _) if wanted.loads_weights() => Stage::ReadLimit,
            (Some(wanted), _) => Stage::Record(wanted),
        }
    }

    /// Notes the revision of the intent that has just been recorded.
    fn note_stored(&mut self, revision: u64) {
        self.intent = Some(Entry {
            key: self.key(),
            value: Bytes::new(),
            revision,
        });
    }

    fn put(&self, intent: &Intent) -> Call {
        Call::Swap {
            key: self.key(),
            expect: self
                .intent
                .as_ref()
                .map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
            value: Bytes::from(serde_json::to_vec(intent).unwrap_or_default()),
            lease: None,
        }
    }

    fn key(&self) -> Bytes {
        Bytes::from(intent_key(&self.target.upstream))
    }

    fn restart(&mut self, fence: FencingNumber) {
        self.fence = Some(fence);
        self.stage = Stage::ReadIntent;
        self.turn = None;
        self.intent = None;
        self.failures = 0;
    }

    fn fail(&mut self, cx: &Context) {
        self.stage = Stage::ReadIntent;
        self.delay(cx);
    }

    fn delay(&mut self, cx: &Context) {
        self.next_at = cx.now + cx.options.retry_delay * (1 << self.failures.min(DOUBLINGS));
        self.failures += 1;
    }
}
