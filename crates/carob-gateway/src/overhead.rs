//! Limits the bytes of a response that carry nothing: interim responses, framing and trailers.
//!
//! The HTTP library limits the size of a head, of chunk extensions and of trailers, but not the number of
//! interim responses, nor the zeros and spaces around the size of a chunk.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of a response's head in bytes, and of a piece of its body.
pub(crate) const MAX_HEAD: usize = 64 << 10;

/// Maximum number of bytes that are read without a head or a piece of a body; the last read may take one
/// piece more than was used.
const MAX_OVERHEAD: usize = 2 * MAX_HEAD;

/// Maximum number of bytes of one read. The HTTP library enlarges its buffer with the reads, up to [`MAX_HEAD`]; what is
/// read and not passed on yet is bounded by this for each connection.
const MAX_READ: usize = 8 << 10;

/// Bytes that were read since the last head or piece of a body; clones share the count.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overhead(Rc<Cell<usize>>);

impl Overhead {
    /// Counts `bytes` more.
    ///
    /// # Errors
    ///
    /// Returns an error if [`MAX_OVERHEAD`] is exceeded.
    fn add(&self, bytes: usize) -> io::Result<()> {
        let count = self.0.get() + bytes;
        self.0.set(count);
        if count > MAX_OVERHEAD {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("expected a head or a piece of a body within {MAX_OVERHEAD} bytes, received {count}"),
            ));
        }
        Ok(())
    }

    /// Records that a head or a piece of a body was received.
    pub(crate) fn reset(&self) {
        self.0.set(0);
    }
}

/// A connection that fails when too many bytes carry nothing.
#[derive(Debug)]
pub(crate) struct CountedStream<S> {
    stream: S,
    overhead: Overhead,
}

impl<S> CountedStream<S> {
    pub(crate) const fn new(stream: S, overhead: Overhead) -> Self {
        Self { stream, overhead }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if buf.remaining() > MAX_READ {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(MAX_READ));
            ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
            let count = part.filled().len();
            buf.advance(count);
        } else {
            ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        }
        Poll::Ready(self.overhead.add(buf.filled().len() - before))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
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

/// Body of a response on a [`CountedStream`].
#[derive(Debug)]
pub(crate) struct ReceivedBody {
    body: Incoming,
    overhead: Overhead,
}

impl ReceivedBody {
    pub(crate) const fn new(body: Incoming, overhead: Overhead) -> Self {
        Self { body, overhead }
    }
}

impl Body for ReceivedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if matches!(&frame, Some(Ok(frame)) if frame.is_data()) {
            self.overhead.reset();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
