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

/// Progress of the requests on a connection.
#[derive(Debug, Default)]
pub(super) struct Requests {
    /// Number of requests whose heads have arrived.
    pub(super) count: Cell<u32>,
    /// Number of these that are being handled.
    pub(super) active: Cell<u32>,
}

/// A client's connection that fails when a head takes too long. Its idle time before a head is not limited.
pub(super) struct CallerStream {
    stream: ClientStream,
    requests: Rc<Requests>,
    /// Value of [`Requests::count`] when bytes were last read.
    seen: u32,
    /// Whether a part of the next head was read.
    begun: bool,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    /// Limits each head on `stream` to the time `limit`.
    pub(super) const fn new(stream: ClientStream, requests: Rc<Requests>, limit: Duration) -> Self {
        Self {
            stream,
            requests,
            seen: 0,
            begun: false,
            limit,
            timer: None,
        }
    }

    /// Whether a head took too long.
    pub(super) fn is_late(&self) -> bool {
        self.timer.as_ref().is_some_and(|timer| timer.is_elapsed())
    }

    pub(super) fn into_inner(self) -> ClientStream {
        self.stream
    }

    /// Whether the bytes that are read belong to a head.
    fn expects_head(&mut self) -> bool {
        let count = self.requests.count.get();
        if count != self.seen {
            (self.seen, self.begun, self.timer) = (count, false, None);
        }
        self.requests.active.get() == 0
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let expects_head = self.expects_head();
        if expects_head && self.begun {
            let limit = self.limit;
            let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(limit)));
            if timer.as_mut().poll(cx).is_ready() {
                let text = format!("expected the whole head of a request within {limit:?}");
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, text)));
            }
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.begun |= expects_head && buf.filled().len() > before;
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
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
