//! Accounts for answers that wait for their clients, and cuts off those that are not read; see [`crate::memory`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    task::{Context, Waker},
    time::Duration,
};

use bytes::Bytes;
use slotmap::SlotMap;
use tokio::{sync::Notify, time::Instant};

use super::{call::Call, shared::Shared};
use crate::memory::{Budget, CutReason, Holder, Kind};

/// How often readers are checked: a fraction of the shortest time after which one is cut off, 1 s.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of bytes that are handed to a client's connection before it has sent any, beyond one piece. The HTTP
/// library alone buffers 32 KiB and more for each.
const MAX_UNSENT: usize = 8 << 10;

slotmap::new_key_type! {
    /// Key of an answer that waits.
    struct WaitingKey;
}

/// Answers that wait for their clients.
#[derive(Default)]
pub(super) struct Waiting {
    answers: RefCell<SlotMap<WaitingKey, Answer>>,
    held: Cell<usize>,
}

struct Answer {
    kind: Kind,
    request: Bytes,
    /// Bytes that the client may take.
    bytes: usize,
    /// Bytes of an event, or of an answer that is read completely, before all of it has come.
    partial: usize,
    last_read: Instant,
    behind_since: Instant,
    cut: Rc<Cut>,
}

/// Tells the parts of an answer that it is cut off.
#[derive(Default)]
pub(super) struct Cut {
    reason: Cell<Option<CutReason>>,
    /// Notified when the answer is cut off, or when its client has taken some of it or has gone.
    pub(super) changed: Notify,
    /// Closes the client's connection.
    connection: RefCell<Option<Rc<Notify>>>,
}

impl Cut {
    pub(super) fn reason(&self) -> Option<CutReason> {
        self.reason.get()
    }

    /// Lets `connection` know when the answer is cut off.
    pub(super) fn attach(&self, connection: &Rc<Notify>) {
        if self.reason.get().is_some() {
            connection.notify_one();
        }
        *self.connection.borrow_mut() = Some(Rc::clone(connection));
    }

    fn set(&self, reason: CutReason) {
        self.reason.set(Some(reason));
        self.changed.notify_one();
        if let Some(connection) = &*self.connection.borrow() {
            connection.notify_one();
        }
    }
}

impl Waiting {
    /// Bytes that all answers hold.
    pub(super) const fn held(&self) -> usize {
        self.held.get()
    }
}

/// Bytes that were handed to a client's connection and that the kernel has not taken yet. They count as held.
pub(super) struct Unsent {
    shared: Rc<Shared>,
    bytes: Cell<usize>,
    /// Wakes the connection when the kernel has taken some.
    waker: RefCell<Option<Waker>>,
}

impl Unsent {
    pub(super) fn new(shared: &Rc<Shared>) -> Self {
        Self {
            shared: Rc::clone(shared),
            bytes: Cell::new(0),
            waker: RefCell::default(),
        }
    }

    /// Whether another piece may be handed over; if not, the task of `cx` is woken when one may.
    pub(super) fn poll_room(&self, cx: &Context<'_>) -> bool {
        let has_room = self.bytes.get() < MAX_UNSENT;
        if !has_room {
            *self.waker.borrow_mut() = Some(cx.waker().clone());
        }
        has_room
    }

    /// Counts nothing as handed over any more.
    pub(super) fn clear(&self) {
        self.remove(self.bytes.get());
    }

    /// Counts a piece that is handed over.
    pub(super) fn add(&self, bytes: usize) {
        let held = &self.shared.waiting.held;
        held.set(held.get() + bytes);
        self.bytes.set(self.bytes.get() + bytes);
    }

    /// Records that the kernel has taken `bytes`, among them heads and framing, which are not counted.
    pub(super) fn remove(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        let held = &self.shared.waiting.held;
        held.set(held.get().saturating_sub(bytes));
        self.bytes.set(self.bytes.get() - bytes);
        if let Some(waker) = self.waker.borrow_mut().take() {
            waker.wake();
        }
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        self.clear();
    }
}

/// What one answer holds, until it is dropped.
pub(super) struct Held {
    shared: Rc<Shared>,
    key: WaitingKey,
    kind: Kind,
    pub(super) cut: Rc<Cut>,
}

impl Held {
    pub(super) fn new(call: &Call, kind: Kind) -> Self {
        let cut = Rc::<Cut>::default();
        let now = Instant::now();
        let answer = Answer {
            kind,
            request: call.head.id.clone(),
            bytes: 0,
            partial: 0,
            last_read: now,
            behind_since: now,
            cut: Rc::clone(&cut),
        };
        let shared = Rc::clone(&call.shared);
        let key = shared.waiting.answers.borrow_mut().insert(answer);
        Self {
            shared,
            key,
            kind,
            cut,
        }
    }

    pub(super) const fn kind(&self) -> Kind {
        self.kind
    }

    /// Counts `bytes` that wait for the client.
    pub(super) fn add(&self, bytes: usize) {
        self.change(|answer| {
            if answer.bytes == 0 {
                answer.last_read = Instant::now();
                answer.behind_since = answer.last_read;
            }
            answer.bytes += bytes;
        });
    }

    /// Records that the client has taken `bytes`.
    pub(super) fn take(&self, bytes: usize) {
        self.change(|answer| {
            answer.last_read = Instant::now();
            answer.bytes = answer.bytes.saturating_sub(bytes);
        });
    }

    /// Sets how many bytes are held that the client may not take yet.
    pub(super) fn set_partial(&self, bytes: usize) {
        self.change(|answer| answer.partial = bytes);
    }

    /// Whether more of the answer may be read from its upstream.
    pub(super) fn has_room(&self) -> bool {
        let budget = budget(&self.shared);
        let answers = self.shared.waiting.answers.borrow();
        let bytes = answers.get(self.key).map_or(0, |answer| answer.bytes);
        bytes <= budget.allowance(self.shared.waiting.held())
    }

    /// Whether an answer that is being read completely may grow.
    pub(super) fn may_collect(&self) -> bool {
        let budget = budget(&self.shared);
        let answers = self.shared.waiting.answers.borrow();
        let partial = answers.get(self.key).map_or(0, |answer| answer.partial);
        partial <= budget.allowance(self.shared.waiting.held())
    }

    fn change(&self, change: impl FnOnce(&mut Answer)) {
        let waiting = &self.shared.waiting;
        if let Some(answer) = waiting.answers.borrow_mut().get_mut(self.key) {
            let before = answer.bytes + answer.partial;
            change(answer);
            let after = answer.bytes + answer.partial;
            waiting
                .held
                .set((waiting.held.get() + after).saturating_sub(before));
        }
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.change(|answer| (answer.bytes, answer.partial) = (0, 0));
        self.shared.waiting.answers.borrow_mut().remove(self.key);
    }
}

fn budget(shared: &Shared) -> Budget {
    Budget::of_memory(shared.settings().memory)
}

/// Whether answers that wait leave little memory.
pub(super) fn is_short(shared: &Shared) -> bool {
    budget(shared).is_short(shared.waiting.held())
}

/// Whether answers that wait leave no memory for another request.
pub(super) fn is_exhausted(shared: &Shared) -> bool {
    budget(shared).is_exhausted(shared.waiting.held())
}

/// Counts a request that is refused because `what` holds its share of the memory.
pub(super) fn count_refusal(what: &'static str) {
    metrics::counter!("carobhaven_memory_refusals_total", "held_by" => what).increment(1);
}

/// Cuts off answers that are not read, for as long as the process runs.
pub(super) async fn check_readers(shared: Rc<Shared>) {
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        cut_unread(&shared);
        let answers = shared.waiting.answers.borrow();
        let mut unsent = shared.waiting.held();
        for kind in Kind::ALL {
            let found = answers.values().filter(|answer| answer.kind == kind);
            let bytes: usize = found.map(|answer| answer.bytes + answer.partial).sum();
            unsent = unsent.saturating_sub(bytes);
            metrics::gauge!("carobhaven_waiting_bytes", "kind" => kind.name()).set(bytes as f64);
        }
        metrics::gauge!("carobhaven_waiting_bytes", "kind" => "unsent").set(unsent as f64);
        metrics::gauge!("carobhaven_waiting_limit_bytes").set(budget(&shared).total() as f64);
    }
}

fn cut_unread(shared: &Shared) {
    let budget = budget(shared);
    let held = shared.waiting.held();
    let now = Instant::now();
    let answers = shared.waiting.answers.borrow();
    let alive = answers.values().filter(|answer| answer.cut.reason().is_none());
    let (alive, holders): (Vec<&Answer>, Vec<Holder>) = alive
        .map(|answer| {
            let holder = Holder {
                bytes: answer.bytes,
                unread: now - answer.last_read,
                behind: now - answer.behind_since,
            };
            (answer, holder)
        })
        .unzip();
    for (index, reason) in budget.choose_cut(held, &holders) {
        let (answer, holder) = (alive[index], holders[index]);
        metrics::counter!(
            "carobhaven_unread_answers_cut_total", "kind" => answer.kind.name(), "reason" => reason.name()
        )
        .increment(1);
        log::warn!(
            request:% = String::from_utf8_lossy(&answer.request), kind = answer.kind.name(), reason = reason.name(),
            bytes = holder.bytes, unread_ms = holder.unread.as_millis() as u64,
            behind_ms = holder.behind.as_millis() as u64,
            held, limit = budget.total(), answers = alive.len(); "answer cut off: its client does not read"
        );
        answer.cut.set(reason);
    }
}
