//! The state machine that brings one upstream to its desired state.

use bytes::Bytes;
use carob_base::Time;
use carob_config::Fencing;
use carob_store::{Call, Entry, Expect, Failure, Reply};

use crate::{FencingNumber, Intent, Options, Order, Outcome, Target, limit, order::intent_key};

/// Maximum number of doublings of the delay after failures.
const MAX_DOUBLINGS: u32 = 6;

/// Inputs to one step of the state machine.
#[derive(Clone, Copy, Debug)]
pub struct Context {
    pub options: Options,
    pub fence: FencingNumber,
    /// The lease lasts long enough for an order to be sent now.
    pub may_send: bool,
    pub now: Time,
    /// Unix time in milliseconds.
    pub wall: u64,
}

/// What the caller has to do for an upstream.
#[derive(Debug)]
pub enum Request {
    Store(Call),
    Send(Order),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Reads the stored intent. Every failure leads back here.
    ReadIntent,
    /// Reads the start time of the next permitted load.
    ReadNextLoad,
    /// Reserves the start time of a load; the entry is the one read or found in conflict.
    ReserveLoad(Option<Entry>),
    /// Writes the intent to the store.
    RecordIntent(Order),
    /// The intent is recorded; sends the order once all conditions are met.
    Ready(Order),
    /// Waits for the result of sending the order.
    AwaitOutcome(Order),
    /// Waits until the upstream shows the effect of the order.
    AwaitEffect { order: Order, until: Time },
    /// Writes to the store that no order is outstanding any more.
    Settle(Order),
    /// The upstream is in its desired state.
    Idle,
}

/// Progress of one upstream towards its target.
#[derive(Debug)]
pub struct Progress {
    pub target: Target,
    /// Model that the upstream last reported, if any, and when.
    observed: Option<(Option<String>, Time)>,
    stage: Stage,
    /// A store call or an order has been handed out and its result is awaited.
    in_flight: bool,
    retry_at: Time,
    failures: u32,
    /// Fencing number under which the current stage was reached.
    fence: Option<FencingNumber>,
    /// The store's entry of the intent, if there is one.
    intent: Option<Entry>,
    /// No order is sent before this, since one that an earlier holder sent may still arrive.
    earliest_send: Time,
    /// Reserved start time of the load, as Unix time in milliseconds.
    load_at: Option<u64>,
}

impl Progress {
    pub fn new(target: Target) -> Self {
        Self {
            target,
            observed: None,
            stage: Stage::ReadIntent,
            in_flight: false,
            retry_at: Time::ZERO,
            failures: 0,
            fence: None,
            intent: None,
            earliest_send: Time::ZERO,
            load_at: None,
        }
    }

    pub fn observe(&mut self, model: Option<String>, now: Time) {
        self.observed = Some((model, now));
    }

    /// Returns what is due now, if anything.
    pub fn poll(&mut self, cx: &Context) -> Option<Request> {
        if self.in_flight || self.observed.is_none() {
            return None;
        }
        if self.fence != Some(cx.fence) {
            self.restart(cx.fence);
        }
        if let Some(stage) = self.advance(self.needed_order(), cx) {
            self.stage = stage;
        }
        if cx.now < self.retry_at {
            return None;
        }
        let request = self.request(cx)?;
        self.in_flight = true;
        Some(request)
    }

    pub fn on_reply(&mut self, result: Result<Reply, Failure>, cx: &Context) {
        self.in_flight = false;
        let Ok(reply) = result else {
            self.fail(cx);
            return;
        };
        let next = match (&self.stage, reply) {
            (Stage::ReadIntent, Reply::Entries { entries, .. }) => {
                Some(self.on_intent(entries.into_iter().next(), cx))
            }
            (Stage::ReadNextLoad, Reply::Entries { entries, .. }) => {
                Some(Stage::ReserveLoad(entries.into_iter().next()))
            }
            (Stage::ReserveLoad(_), Reply::Applied { .. }) => {
                Some(self.needed_order().map_or(Stage::Idle, Stage::RecordIntent))
            }
            (Stage::ReserveLoad(_), Reply::Conflict { current }) => Some(Stage::ReserveLoad(current)),
            (Stage::RecordIntent(order), Reply::Applied { revision }) => {
                let order = order.clone();
                self.set_stored_revision(revision);
                Some(Stage::Ready(order))
            }
            (Stage::Settle(_), Reply::Applied { .. }) => {
                self.intent = None;
                Some(Stage::Idle)
            }
            _ => None,
        };
        match next {
            Some(stage) => self.stage = stage,
            None => self.fail(cx),
        }
    }

    pub fn on_outcome(&mut self, outcome: Outcome, cx: &Context) {
        let Stage::AwaitOutcome(order) = &self.stage else {
            return;
        };
        self.in_flight = false;
        let order = order.clone();
        match outcome {
            Outcome::Accepted | Outcome::Unknown => {
                // An order that may have arrived is not sent again before its effect had time to show.
                let until = cx.now + cx.options.effect_timeout;
                self.stage = Stage::AwaitEffect { order, until };
                self.load_at = None;
                self.failures = 0;
            }
            Outcome::NotSent => {
                self.stage = Stage::Ready(order);
                self.back_off(cx);
            }
            Outcome::OldFence | Outcome::Refused => self.fail(cx),
        }
    }

    /// The order that brings the upstream to its desired state; `None` if it is there or has not reported
    /// yet.
    fn needed_order(&self) -> Option<Order> {
        let (model, _) = self.observed.as_ref()?;
        self.target.order(model.as_deref())
    }

    /// Returns the next stage if it can be entered without a store call.
    fn advance(&mut self, needed_order: Option<Order>, cx: &Context) -> Option<Stage> {
        let needless = needed_order.is_none();
        match (&self.stage, needed_order) {
            (Stage::ReadIntent, None) if self.intent.is_none() => Some(Stage::Idle),
            // While no intent has been recorded, an upstream that needs no order any more needs no settling
            // either.
            (Stage::ReadNextLoad | Stage::ReserveLoad(_) | Stage::RecordIntent(_), None) => Some(Stage::Idle),
            (Stage::AwaitEffect { order, .. } | Stage::Ready(order), None) => {
                Some(Stage::Settle(order.clone()))
            }
            (Stage::Ready(order), Some(needed_order)) if *order != needed_order => Some(Stage::ReadIntent),
            (Stage::AwaitEffect { until, .. }, _) if cx.now >= *until => Some(Stage::ReadIntent),
            (Stage::Idle, _) if !needless => Some(Stage::ReadIntent),
            _ => None,
        }
    }

    fn request(&mut self, cx: &Context) -> Option<Request> {
        let call = match &self.stage {
            Stage::ReadIntent => Call::Get { key: self.key() },
            Stage::ReadNextLoad => limit::read_next_load(),
            Stage::ReserveLoad(entry) => {
                let (load_at, call) = limit::reserve_load(entry.as_ref(), cx.options.load_interval, cx.wall);
                self.load_at = Some(load_at);
                call
            }
            Stage::RecordIntent(order) => self.write_intent(&Intent::new(cx.fence, order.clone())),
            Stage::Settle(order) => self.write_intent(&Intent {
                settled: true,
                ..Intent::new(cx.fence, order.clone())
            }),
            Stage::Ready(order) => return self.send(order.clone(), cx),
            Stage::AwaitOutcome(_) | Stage::AwaitEffect { .. } | Stage::Idle => return None,
        };
        Some(Request::Store(call))
    }

    /// Sends the order if it may be sent now.
    fn send(&mut self, order: Order, cx: &Context) -> Option<Request> {
        // Any order of an earlier holder must have arrived by now, and the upstream must have reported since.
        let reported = self
            .observed
            .as_ref()
            .is_some_and(|(_, at)| *at >= self.earliest_send);
        let load_due = self.load_at.is_none_or(|load_at| cx.wall >= load_at);
        if cx.now < self.earliest_send || !reported || !load_due || !cx.may_send {
            return None;
        }
        self.stage = Stage::AwaitOutcome(order.clone());
        Some(Request::Send(order))
    }

    /// Chooses the next stage from the stored intent.
    fn on_intent(&mut self, entry: Option<Entry>, cx: &Context) -> Stage {
        let stored = entry
            .as_ref()
            .map(|entry| serde_json::from_slice::<Intent>(&entry.value));
        self.intent = entry;
        let is_own = matches!(&stored, Some(Ok(intent)) if intent.fence == cx.fence.0 && !intent.settled);
        let is_settled = matches!(&stored, None | Some(Ok(Intent { settled: true, .. })));
        // An intent that cannot be decoded may be outstanding as well.
        if !is_own && !is_settled && self.target.fencing == Fencing::Ignores {
            self.earliest_send = self
                .earliest_send
                .max(cx.now + cx.options.send_timeout + cx.options.send_margin);
        }
        let recorded = stored
            .and_then(Result::ok)
            .map(|intent| intent.order)
            .filter(|_| is_own);
        match (self.needed_order(), recorded) {
            (None, Some(order)) => Stage::Settle(order),
            (None, None) => {
                self.intent = None;
                Stage::Idle
            }
            (Some(needed_order), Some(order)) if needed_order == order && self.load_at.is_some() => {
                Stage::Ready(needed_order)
            }
            (Some(needed_order), _) if needed_order.loads_weights() => Stage::ReadNextLoad,
            (Some(needed_order), _) => Stage::RecordIntent(needed_order),
        }
    }

    /// Stores the revision of the intent that has just been written.
    fn set_stored_revision(&mut self, revision: u64) {
        self.intent = Some(Entry {
            key: self.key(),
            value: Bytes::new(),
            revision,
        });
    }

    fn write_intent(&self, intent: &Intent) -> Call {
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

    /// Starts over under a new fencing number.
    fn restart(&mut self, fence: FencingNumber) {
        self.fence = Some(fence);
        self.stage = Stage::ReadIntent;
        self.load_at = None;
        self.intent = None;
        self.failures = 0;
    }

    /// Starts over from the stored intent after a delay.
    fn fail(&mut self, cx: &Context) {
        self.stage = Stage::ReadIntent;
        self.back_off(cx);
    }

    /// Delays the next request, twice as long after each failure.
    fn back_off(&mut self, cx: &Context) {
        self.retry_at = cx.now + cx.options.retry_delay * (1 << self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
    }
}
