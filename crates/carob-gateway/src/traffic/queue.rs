//! The bytes of an answer on their way to its client.
//!
//! The queue is bounded in bytes, by its own limit and by what all answers hold. A sender waits for room before it reads more
//! from the upstream, so that nothing is dropped.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    rc::Rc,
    task::{Context, Poll, Waker},
};

use bytes::Bytes;

use super::{
    answer::Truncated,
    call::Call,
    waiting::{Cut, Held},
};
use crate::memory::{CutReason, Kind};

/// Maximum size of a piece that is handed to the client's connection, in bytes: between two pieces other connections get
/// their turn.
pub(super) const MAX_PIECE: usize = 8 << 10;

struct Queue {
    held: Held,
    chunks: RefCell<VecDeque<Bytes>>,
    /// Whether the answer ends after `chunks`, and whether it is whole.
    end: Cell<Option<Result<(), Truncated>>>,
    reader: RefCell<Option<Waker>>,
    reader_gone: Cell<bool>,
}

impl Queue {
    fn wake_reader(&self) {
        if let Some(waker) = self.reader.borrow_mut().take() {
            waker.wake();
        }
    }
}

/// The client's connection takes no more of the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closed {
    /// The client has disconnected.
    Gone,
    /// The answer was cut off, since its client does not read it.
    Cut(CutReason),
}

/// The end into which an answer is written. The answer is whole when it is dropped.
pub(super) struct QueueSender(Rc<Queue>);

/// The end from which the client's connection takes an answer.
pub(super) struct QueueReceiver(Rc<Queue>);

/// Creates the queue of an answer to `call`.
pub(super) fn channel(call: &Call, kind: Kind) -> (QueueSender, QueueReceiver) {
    let queue = Rc::new(Queue {
        held: Held::new(call, kind),
        chunks: RefCell::default(),
        end: Cell::new(None),
        reader: RefCell::default(),
        reader_gone: Cell::new(false),
    });
    (QueueSender(Rc::clone(&queue)), QueueReceiver(queue))
}

impl QueueSender {
    /// Adds bytes without waiting; to be followed by [`QueueSender::ready`] before more is read.
    pub(super) fn push(&self, bytes: Bytes) {
        if bytes.is_empty() || self.closed_by().is_some() {
            return;
        }
        self.0.held.add(bytes.len());
        self.0.chunks.borrow_mut().push_back(bytes);
        self.0.wake_reader();
    }

    /// Sets how many bytes of an incomplete event are held.
    pub(super) fn set_partial(&self, bytes: usize) {
        self.0.held.set_partial(bytes);
    }

    /// Waits until more may be added.
    pub(super) async fn ready(&self) -> Result<(), Closed> {
        let mut paused = false;
        loop {
            if let Some(closed) = self.closed_by() {
                return Err(closed);
            }
            if self.0.held.has_room() {
                return Ok(());
            }
            if !paused {
                paused = true;
                let kind = self.0.held.kind().name();
                metrics::counter!("carobhaven_readers_paused_total", "kind" => kind).increment(1);
            }
            self.0.held.cut.changed.notified().await;
        }
    }

    /// Waits until the client's connection takes no more.
    pub(super) async fn closed(&self) {
        while self.closed_by().is_none() {
            self.0.held.cut.changed.notified().await;
        }
    }

    /// Why the client's connection takes no more; `None` if it does.
    pub(super) fn closed_by(&self) -> Option<Closed> {
        let cut = self.0.held.cut.reason().map(Closed::Cut);
        cut.or_else(|| self.0.reader_gone.get().then_some(Closed::Gone))
    }

    /// Ends the answer as one that is cut off, after what was added.
    pub(super) fn fail(self) {
        self.0.end.set(Some(Err(Truncated)));
    }
}

impl Drop for QueueSender {
    fn drop(&mut self) {
        if self.0.end.get().is_none() {
            self.0.end.set(Some(Ok(())));
        }
        self.0.held.set_partial(0);
        self.0.wake_reader();
    }
}

impl QueueReceiver {
    /// Tells when the answer is cut off.
    pub(super) fn cut(&self) -> &Cut {
        &self.0.held.cut
    }

    /// Takes the next piece; `None` is the end of a whole answer.
    pub(super) fn poll_piece(&self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Truncated>>> {
        let queue = &self.0;
        if queue.held.cut.reason().is_some() {
            return Poll::Ready(Some(Err(Truncated)));
        }
        let mut chunks = queue.chunks.borrow_mut();
        let Some(mut chunk) = chunks.pop_front() else {
            let Some(end) = queue.end.get() else {
                *queue.reader.borrow_mut() = Some(cx.waker().clone());
                return Poll::Pending;
            };
            return Poll::Ready(end.err().map(Err));
        };
        let piece = chunk.split_to(chunk.len().min(MAX_PIECE));
        if !chunk.is_empty() {
            chunks.push_front(chunk);
        }
        queue.held.take(piece.len());
        queue.held.cut.changed.notify_one();
        Poll::Ready(Some(Ok(piece)))
    }
}

impl Drop for QueueReceiver {
    fn drop(&mut self) {
        let chunks = std::mem::take(&mut *self.0.chunks.borrow_mut());
        self.0.held.take(chunks.iter().map(Bytes::len).sum());
        self.0.reader_gone.set(true);
        self.0.held.cut.changed.notify_one();
    }
}
