//! A response that is being sent to the caller.

use std::{
    collections::VecDeque,
    fmt, io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use bytes::Bytes;
use flume::{Receiver, RecvTimeoutError, Sender};
use hyper::body::{Frame, SizeHint};

use super::{Options, socket::RequestGuard};

/// Why a piece could not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The caller has closed the connection, or it was aborted.
    #[error("the caller has gone")]
    Disconnected,
    /// The caller has read nothing within the send timeout while the buffer was full.
    #[error("the caller reads too slowly")]
    Slow,
}

/// Sends a response piece by piece, from a worker thread.
///
/// Dropping it without [`close`](Self::close) aborts the connection, so that the caller never mistakes a
/// truncated response for a complete one.
pub struct Writer {
    buffer: Arc<Buffer>,
    /// Receives a message when the network thread has taken a piece. It is disconnected when the caller's
    /// connection has ended.
    space: Receiver<()>,
    limits: Limits,
    closed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Limits {
    bytes: usize,
    chunks: usize,
    timeout: Duration,
}

/// Buffer between the worker and the network thread.
#[derive(Default)]
struct Buffer {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    chunks: VecDeque<Bytes>,
    bytes: usize,
    end: Option<End>,
    /// Whether the HTTP library has had a chance to flush before the abort.
    flushed: bool,
    waker: Option<Waker>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Clean,
    Aborted,
}

impl Buffer {
    fn lock(&self) -> MutexGuard<'_, State> {
        // The lock can be used after a panic, since no code that holds it leaves the state inconsistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Updates the state and wakes the network thread.
    fn update(&self, update: impl FnOnce(&mut State)) {
        let waker = {
            let mut state = self.lock();
            update(&mut state);
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl State {
    /// Whether a piece of `bytes` fits. An empty buffer takes a piece of any size.
    fn has_space(&self, bytes: usize, limits: &Limits) -> bool {
        self.chunks.is_empty() || (self.chunks.len() < limits.chunks && self.bytes + bytes <= limits.bytes)
    }
}

impl Writer {
    /// Passes `chunk` to the caller's connection, which sends it immediately.
    ///
    /// Blocks while the buffer is full. Fails once the caller has read nothing for the send timeout.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the caller has disconnected or reads too slowly. The response cannot be
    /// continued then.
    pub fn send(&mut self, chunk: Bytes) -> Result<(), SendError> {
        if chunk.is_empty() {
            return self.check_connected();
        }
        let mut deadline = Instant::now() + self.limits.timeout;
        while !self.buffer.lock().has_space(chunk.len(), &self.limits) {
            match self.space.recv_deadline(deadline) {
                Ok(()) => deadline = Instant::now() + self.limits.timeout,
                Err(RecvTimeoutError::Timeout) => return Err(SendError::Slow),
                Err(RecvTimeoutError::Disconnected) => return Err(SendError::Disconnected),
            }
        }
        self.check_connected()?;
        self.buffer.update(|state| {
            state.bytes += chunk.len();
            state.chunks.push_back(chunk);
        });
        Ok(())
    }

    /// Whether the caller has closed the connection. This is noticed even while nothing is sent.
    pub fn is_disconnected(&self) -> bool {
        self.space.is_disconnected()
    }

    /// Completes the response. Pieces that are still buffered are sent first.
    pub fn close(mut self) {
        self.closed = true;
        self.buffer.update(|state| state.end = Some(End::Clean));
    }

    fn check_connected(&self) -> Result<(), SendError> {
        if self.is_disconnected() {
            Err(SendError::Disconnected)
        } else {
            Ok(())
        }
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if !self.closed {
            self.buffer.update(|state| state.end = Some(End::Aborted));
        }
    }
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer")
            .field("limits", &self.limits)
            .field("disconnected", &self.is_disconnected())
            .finish_non_exhaustive()
    }
}

/// A response's body, for the HTTP library.
pub(super) struct Body {
    content: Content,
    /// Dropped with the body, which ends the request.
    _guard: RequestGuard,
}

enum Content {
    Complete(Option<Bytes>),
    Streamed { buffer: Arc<Buffer>, space: Sender<()> },
}

impl Body {
    /// Creates a complete body.
    pub(super) const fn complete(bytes: Bytes, guard: RequestGuard) -> Self {
        Self {
            content: Content::Complete(Some(bytes)),
            _guard: guard,
        }
    }

    /// Creates a body that is sent through the returned [`Writer`].
    pub(super) fn streamed(guard: RequestGuard, options: &Options) -> (Writer, Self) {
        let buffer = Arc::new(Buffer::default());
        let (space_tx, space) = flume::bounded(1);
        let writer = Writer {
            buffer: Arc::clone(&buffer),
            space,
            limits: Limits {
                bytes: options.send_bytes,
                chunks: options.send_chunks,
                timeout: options.send_timeout,
            },
            closed: false,
        };
        let content = Content::Streamed {
            buffer,
            space: space_tx,
        };
        (
            writer,
            Self {
                content,
                _guard: guard,
            },
        )
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut self.get_mut().content {
            Content::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Streamed { buffer, space } => poll_chunk(buffer, space, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Complete(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Streamed { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Streamed { .. } => SizeHint::default(),
        }
    }
}

fn poll_chunk(
    buffer: &Buffer,
    space: &Sender<()>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
    let mut state = buffer.lock();
    if let Some(chunk) = state.chunks.pop_front() {
        state.bytes -= chunk.len();
        drop(state);
        // If the channel is full, its unread message already notifies the worker.
        let _notified = space.try_send(());
        return Poll::Ready(Some(Ok(Frame::data(chunk))));
    }
    match state.end {
        Some(End::Clean) => Poll::Ready(None),
        Some(End::Aborted) if state.flushed => {
            Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
        }
        Some(End::Aborted) => {
            // The HTTP library flushes earlier pieces when the body is pending, so that they still reach the
            // caller.
            state.flushed = true;
            cx.waker().wake_by_ref();
            Poll::Pending
        }
        None => {
            state.waker = Some(cx.waker().clone());
            Poll::Pending
        }
    }
}
