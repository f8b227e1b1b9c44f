//! The caller's socket with the limits that the HTTP library does not keep.
//!
//! The library reads heads from here. While no request is open, this bounds the head's size and its duration
//! and the time for which the connection may be idle; at all times it bounds how long the caller may take
//! nothing. A limit that is hit ends the connection with an I/O error, and [`Fault`] says why, so that a typed
//! refusal can be sent in place of the library's empty one.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

use super::Options;

/// Start of the refusal that the HTTP library sends for a malformed head.
const REFUSAL: &[u8] = b"HTTP/1.1 4";

/// Why the connection was ended from here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// The head is no valid one.
    Malformed,
    /// No request came for long.
    Idle,
    /// The caller took nothing for long.
    SlowCaller,
}

/// Counts the beginnings and ends of requests on a connection; shared with the part that serves them.
///
/// An odd count means that a request is open.
#[derive(Clone, Debug, Default)]
pub(super) struct Open(Arc<AtomicU64>);

impl Open {
    /// Takes note of a request's beginning; its end is noted when the returned value is dropped.
    pub(super) fn begin(&self) -> OpenGuard {
        self.0.fetch_add(1, Ordering::AcqRel);
        OpenGuard(self.clone())
    }

    fn count(&self) -> u64 {
        self.0.load(Ordering::Acquire)
    }
}

/// Notes the end of a request when it is dropped.
#[derive(Debug)]
pub(super) struct OpenGuard(Open);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.0.fetch_add(1, Ordering::AcqRel);
    }
}

/// A socket `S` with its limits.
pub(super) struct Socket<S> {
    inner: S,
    open: Open,
    /// The count of `open` when it was last looked at.
    count: u64,
    limits: Limits,
    /// Bytes of the present head that have been read.
    seen: usize,
    /// Ends the wait for a head, while no request is open.
    read_timer: Option<Pin<Box<Sleep>>>,
    /// Ends the wait for the caller to take something.
    write_timer: Option<Pin<Box<Sleep>>>,
    fault: Option<Fault>,
}

#[derive(Clone, Copy)]
struct Limits {
    head: usize,
    head_timeout: Duration,
    idle: Duration,
    send: Duration,
}

impl<S> Socket<S> {
    pub(super) fn new(inner: S, open: Open, options: &Options) -> Self {
        let limits = Limits {
            head: options.head_limit,
            head_timeout: options.head_timeout,
            idle: options.idle_timeout,
            send: options.send_timeout,
        };
        Self {
            inner,
            open,
            count: 0,
            limits,
            seen: 0,
            read_timer: None,
            write_timer: None,
            fault: None,
        }
    }

    pub(super) const fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// The bare socket, for the last refusal.
    pub(super) fn into_inner(self) -> S {
        self.inner
    }

    fn fail<T>(&mut self, fault: Fault) -> Poll<io::Result<T>> {
        self.fault = Some(fault);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether a request is open; a request's beginning or end also begins a new head.
    fn sync(&mut self) -> bool {
        let count = self.open.count();
        if count != self.count {
            self.count = count;
            self.seen = 0;
            self.read_timer = None;
        }
        count % 2 == 1
    }

    /// Checks the limits of a head that is not complete yet.
    fn poll_head(&mut self, cx: &mut Context<'_>) -> Poll<Fault> {
        if self.seen >= self.limits.head {
            return Poll::Ready(Fault::HeadTooLarge);
        }
        let limit = if self.seen == 0 {
            self.limits.idle
        } else {
            self.limits.head_timeout
        };
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(if self.seen == 0 {
            Fault::Idle
        } else {
            Fault::HeadTooSlow
        })
    }

    /// Takes note of `count` bytes read while no request was open.
    fn count_head(&mut self, count: usize) {
        if self.seen == 0 && count > 0 {
            // From here on the head's own timeout runs.
            self.read_timer = None;
        }
        self.seen += count;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.sync() {
            return Pin::new(&mut this.inner).poll_read(cx, buf);
        }
        if let Poll::Ready(fault) = this.poll_head(cx) {
            return this.fail(fault);
        }
        let room = buf.remaining().min(this.limits.head - this.seen);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        ready!(Pin::new(&mut this.inner).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        this.count_head(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> Socket<S> {
    /// Bounds how long a write may wait.
    fn guard_write<T>(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let limit = self.limits.send;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(timer.as_mut().poll(cx));
        self.fail(Fault::SlowCaller)
    }

    /// Whether `buf` is the library's own refusal of a malformed head.
    fn is_refusal(&mut self, buf: &[u8]) -> bool {
        !self.sync() && self.seen > 0 && buf.starts_with(REFUSAL)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.is_refusal(buf) {
            return this.fail(Fault::Malformed);
        }
        let result = Pin::new(&mut this.inner).poll_write(cx, buf);
        this.guard_write(cx, result)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if bufs
            .iter()
            .find(|buf| !buf.is_empty())
            .is_some_and(|buf| this.is_refusal(buf))
        {
            return this.fail(Fault::Malformed);
        }
        let result = Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        this.guard_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_flush(cx);
        this.guard_write(cx, result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(cx)
    }
}
