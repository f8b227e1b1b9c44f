//! A response on its way to the caller.

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

use super::{Options, socket::OpenGuard};

/// Why a piece could not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The caller has closed the connection, or was cut off.
    #[error("the caller has gone")]
    Disconnected,
    /// The caller has taken nothing for the permitted time while the buffer was full.
    #[error("the caller reads too slowly")]
    Slow,
}

/// Sends a response piece by piece, from a worker thread.
///
/// Dropping it without [`close`](Self::close) aborts the connection, so that the caller never takes a part for
/// the whole.
pub struct Writer {
    line: Arc<Line>,
    /// Gets a message whenever the network thread has taken something; disconnected when the caller has gone.
    room: Receiver<()>,
    limits: Limits,
    closed: bool,
}

#[derive(Clone, Copy, Debug)]
struct Limits {
    bytes: usize,
    chunks: usize,
    timeout: Duration,
}

/// What lies between the worker and the network thread.
#[derive(Default)]
struct Line {
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    chunks: VecDeque<Bytes>,
    bytes: usize,
    end: Option<End>,
    /// Whether the library has had the occasion to flush before an abort.
    flushed: bool,
    waker: Option<Waker>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Clean,
    Aborted,
}

impl Line {
    fn lock(&self) -> MutexGuard<'_, State> {
        // No code that holds the lock can leave the state half changed.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the state and wakes the network thread.
    fn change(&self, change: impl FnOnce(&mut State)) {
        let waker = {
            let mut state = self.lock();
            change(&mut state);
            state.waker.take()
        };
        if let Some(waker) = waker {
            waker.wake();
        }
    }
}

impl State {
    fn has_room(&self, more: usize, limits: &Limits) -> bool {
        self.chunks.is_empty() || (self.chunks.len() < limits.chunks && self.bytes + more <= limits.bytes)
    }
}

impl Writer {
    /// Hands `chunk` to the caller's connection, which sends it at once.
    ///
    /// Waits while the buffer is full, at most for the permitted time.
    ///
    /// # Errors
    ///
    /// Returns [`SendError`] if the caller has gone or reads too slowly. The response cannot be continued then.
    pub fn send(&mut self, chunk: Bytes) -> Result<(), SendError> {
        if chunk.is_empty() {
            return self.alive();
        }
        let mut deadline = Instant::now() + self.limits.timeout;
        while !self.line.lock().has_room(chunk.len(), &self.limits) {
            match self.room.recv_deadline(deadline) {
                Ok(()) => deadline = Instant::now() + self.limits.timeout,
                Err(RecvTimeoutError::Timeout) => return Err(SendError::Slow),
                Err(RecvTimeoutError::Disconnected) => return Err(SendError::Disconnected),
            }
        }
        self.alive()?;
        self.line.change(|state| {
            state.bytes += chunk.len();
            state.chunks.push_back(chunk);
        });
        Ok(())
    }

    /// Whether the caller has closed the connection, noticed also while nothing is sent.
    pub fn is_disconnected(&self) -> bool {
        self.room.is_disconnected()
    }

    /// Ends the response cleanly. What has been sent still reaches the caller.
    pub fn close(mut self) {
        self.closed = true;
        self.line.change(|state| state.end = Some(End::Clean));
    }

    fn alive(&self) -> Result<(), SendError> {
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
            self.line.change(|state| state.end = Some(End::Aborted));
        }
    }
}

impl fmt::Debug for Writer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Writer")
            .field("limits", &self.limits)
            .field("gone", &self.is_disconnected())
            .finish_non_exhaustive()
    }
}

/// A response's body as the HTTP library takes it.
pub(super) struct Body {
    content: Content,
    /// Dropping the body ends the request.
    _open: OpenGuard,
}

enum Content {
    Whole(Option<Bytes>),
    Pieces { line: Arc<Line>, room: Sender<()> },
}

impl Body {
    /// A body that is there already.
    pub(super) const fn whole(bytes: Bytes, open: OpenGuard) -> Self {
        Self {
            content: Content::Whole(Some(bytes)),
            _open: open,
        }
    }

    /// A body that a [`Writer`] sends.
    pub(super) fn pieces(open: OpenGuard, options: &Options) -> (Writer, Self) {
        let line = Arc::new(Line::default());
        let (room_tx, room) = flume::bounded(1);
        let writer = Writer {
            line: Arc::clone(&line),
            room,
            limits: Limits {
                bytes: options.send_bytes,
                chunks: options.send_chunks,
                timeout: options.send_timeout,
            },
            closed: false,
        };
        let content = Content::Pieces { line, room: room_tx };
        (writer, Self { content, _open: open })
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
            Content::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Content::Pieces { line, room } => poll_piece(line, room, cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Content::Pieces { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Content::Pieces { .. } => SizeHint::default(),
        }
    }
}

fn poll_piece(
    line: &Line,
    room: &Sender<()>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
    let mut state = line.lock();
    if let Some(chunk) = state.chunks.pop_front() {
        state.bytes -= chunk.len();
        drop(state);
        // A message that is still unread tells the worker the same.
        let _told = room.try_send(());
        return Poll::Ready(Some(Ok(Frame::data(chunk))));
    }
    match state.end {
        Some(End::Clean) => Poll::Ready(None),
        Some(End::Aborted) if state.flushed => {
            Poll::Ready(Some(Err(io::ErrorKind::ConnectionAborted.into())))
        }
        Some(End::Aborted) => {
            // The library flushes what was sent before when there is nothing more for the moment.
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
