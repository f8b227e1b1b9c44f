//! Limits the time that the head of a client's request takes.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

use super::client::ClientStream;

/// Response to a request whose head takes too long.
const LATE_HEAD_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Progress of the requests on a connection.
#[derive(Debug, Default)]
pub(super) struct Requests {
    /// Number of requests whose heads have arrived.
    pub(super) count: Cell<u32>,
    /// Number of these that are being handled.
    pub(super) active: Cell<u32>,
    /// Whether a part of the next head was read.
    pub(super) reading: Cell<bool>,
}

/// A client's connection that fails when a head takes too long. Its idle time before a head is not limited.
pub(super) struct TimedStream {
    stream: ClientStream,
    requests: Rc<Requests>,
    /// Value of [`Requests::count`] when bytes were last read.
    seen: u32,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl TimedStream {
    /// Limits each head on `stream` to the time `limit`.
    pub(super) const fn new(stream: ClientStream, requests: Rc<Requests>, limit: Duration) -> Self {
        Self {
            stream,
            requests,
            seen: 0,
            limit,
            timer: None,
        }
    }

    /// Closes the connection, with a response to a head that took too long. If an answer was `cut` off, the
    /// connection ends as one that is dropped.
    pub(super) fn close(self, cut: bool) {
        let is_late = self.timer.as_ref().is_some_and(|timer| timer.is_elapsed());
        if is_late {
            self.stream.refuse(LATE_HEAD_RESPONSE);
        } else if !cut {
            self.stream.close();
        }
    }

    /// Whether the bytes that are read belong to a head.
    fn expects_head(&mut self) -> bool {
        let count = self.requests.count.get();
        if count != self.seen {
            (self.seen, self.timer) = (count, None);
        }
        self.requests.active.get() == 0
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let expects_head = self.expects_head();
        if expects_head && self.requests.reading.get() {
            let limit = self.limit;
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
            if timer.as_mut().poll(cx).is_ready() {
                let text = format!("expected the whole head of a request within {limit:?}");
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, text)));
            }
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        if expects_head && buf.filled().len() > before {
            self.requests.reading.set(true);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
