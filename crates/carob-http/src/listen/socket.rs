//! The caller's socket, with limits that the HTTP library does not enforce.
//!
//! The HTTP library reads requests through this socket. While no request is open, the socket limits the size
//! and the duration of the next head and the time for which the connection may be idle. It always limits the
//! time for which the caller may read nothing of what is sent. A violated limit ends the connection with an
//! I/O error, and [`Fault`] says why, so that a typed refusal can be sent in place of the library's empty
//! one.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, Sleep, sleep_until},
};

use super::Options;

/// Start of the response by which the HTTP library refuses a malformed head.
const LIBRARY_REFUSAL: &[u8] = b"HTTP/1.1 4";

/// Why the socket ended the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The head exceeds its size limit.
    HeadTooLarge,
    /// The head did not arrive in time.
    HeadTooSlow,
    /// The head is not valid HTTP.
    Malformed,
    /// No request arrived within the idle timeout.
    Idle,
    /// The caller read nothing within the send timeout.
    SlowCaller,
}

/// Counts the starts and ends of requests on a connection. It is shared with the code that serves them.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestCounter(Arc<Counts>);

#[derive(Debug, Default)]
struct Counts {
    /// Starts and ends; odd while a request is open.
    requests: AtomicU64,
    /// Whether a part of the next head has been read.
    head_begun: AtomicBool,
    /// Whether only the end of the connection ends the present response.
    unframed: AtomicBool,
}

impl RequestCounter {
    /// Counts the start of a request. Its end is counted when the returned guard is dropped.
    pub(super) fn begin(&self) -> RequestGuard {
        self.0.head_begun.store(false, Ordering::Release);
        self.0.requests.fetch_add(1, Ordering::AcqRel);
        RequestGuard(self.clone())
    }

    /// Whether a request's head has arrived in part.
    pub(super) fn is_reading_head(&self) -> bool {
        self.0.head_begun.load(Ordering::Acquire)
    }

    /// Records that only the end of the connection ends the present response, which is then its last.
    pub(super) fn set_unframed(&self) {
        self.0.unframed.store(true, Ordering::Release);
    }

    /// Whether only the end of the connection ends the present response.
    pub(super) fn is_unframed(&self) -> bool {
        self.0.unframed.load(Ordering::Acquire)
    }

    fn count(&self) -> u64 {
        self.0.requests.load(Ordering::Acquire)
    }
}

/// Counts the end of a request when it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard(RequestCounter);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.requests.fetch_add(1, Ordering::AcqRel);
    }
}

/// A socket that enforces limits.
pub(super) struct Socket<S> {
    inner: S,
    counter: RequestCounter,
    /// The value of `counter` when it was last read.
    last_count: u64,
    limits: Limits,
    /// Bytes of the current head that have been read.
    head_bytes: usize,
    /// Limits the wait for a head while no request is open.
    read_timer: Option<Pin<Box<Sleep>>>,
    /// Limits the time for which the caller may read nothing.
    write_timer: Option<Pin<Box<Sleep>>>,
    fault: Option<Fault>,
}

#[derive(Clone, Copy)]
struct Limits {
    head_bytes: usize,
    head_timeout: Duration,
    idle_timeout: Duration,
    send_timeout: Duration,
}

impl<S> Socket<S> {
    pub(super) fn new(inner: S, counter: RequestCounter, options: &Options) -> Self {
        let limits = Limits {
            head_bytes: options.head_limit,
            head_timeout: options.head_timeout,
            idle_timeout: options.idle_timeout,
            send_timeout: options.send_timeout,
        };
        Self {
            inner,
            counter,
            last_count: 0,
            limits,
            head_bytes: 0,
            read_timer: None,
            write_timer: None,
            fault: None,
        }
    }

    pub(super) const fn fault(&self) -> Option<Fault> {
        self.fault
    }

    /// The underlying socket, on which a refusal can be sent.
    pub(super) fn into_inner(self) -> S {
        self.inner
    }

    fn fail<T>(&mut self, fault: Fault) -> Poll<io::Result<T>> {
        self.fault = Some(fault);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Whether a request is open. After the start or the end of a request, the count of the head starts
    /// again.
    fn is_request_open(&mut self) -> bool {
        let count = self.counter.count();
        if count != self.last_count {
            self.last_count = count;
            self.head_bytes = 0;
            self.read_timer = None;
        }
        count % 2 == 1
    }

    /// Checks the limits of a head that is not complete yet. Ready with the fault if one is violated.
    fn poll_head_limits(&mut self, cx: &mut Context<'_>) -> Poll<Fault> {
        if self.head_bytes >= self.limits.head_bytes {
            return Poll::Ready(Fault::HeadTooLarge);
        }
        let limit = if self.head_bytes == 0 {
            self.limits.idle_timeout
        } else {
            self.limits.head_timeout
        };
        let timer = self
            .read_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(if self.head_bytes == 0 {
            Fault::Idle
        } else {
            Fault::HeadTooSlow
        })
    }

    /// Counts bytes that were read while no request was open.
    fn add_head_bytes(&mut self, count: usize) {
        if self.head_bytes == 0 && count > 0 {
            // The idle timeout is replaced by the head's timeout.
            self.read_timer = None;
            self.counter.0.head_begun.store(true, Ordering::Release);
        }
        self.head_bytes += count;
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Socket<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.is_request_open() {
            return Pin::new(&mut this.inner).poll_read(cx, buf);
        }
        if let Poll::Ready(fault) = this.poll_head_limits(cx) {
            return this.fail(fault);
        }
        let room = buf.remaining().min(this.limits.head_bytes - this.head_bytes);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(room));
        ready!(Pin::new(&mut this.inner).poll_read(cx, &mut part))?;
        let count = part.filled().len();
        buf.advance(count);
        this.add_head_bytes(count);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> Socket<S> {
    /// Limits the time for which a write may be pending.
    fn limit_write<T>(&mut self, cx: &mut Context<'_>, result: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.write_timer = None;
            return result;
        }
        let limit = self.limits.send_timeout;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(timer.as_mut().poll(cx));
        self.fail(Fault::SlowCaller)
    }

    /// Whether `buf` is the library's response to a malformed head.
    fn is_library_refusal(&mut self, buf: &[u8]) -> bool {
        !self.is_request_open() && self.head_bytes > 0 && buf.starts_with(LIBRARY_REFUSAL)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Socket<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        if this.is_library_refusal(buf) {
            return this.fail(Fault::Malformed);
        }
        let result = Pin::new(&mut this.inner).poll_write(cx, buf);
        this.limit_write(cx, result)
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
            .is_some_and(|buf| this.is_library_refusal(buf))
        {
            return this.fail(Fault::Malformed);
        }
        let result = Pin::new(&mut this.inner).poll_write_vectored(cx, bufs);
        this.limit_write(cx, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_flush(cx);
        this.limit_write(cx, result)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let result = Pin::new(&mut this.inner).poll_shutdown(cx);
        this.limit_write(cx, result)
    }
}
