//! A client's connection.

use std::{
    cell::Cell,
    io::{self, IoSlice},
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::waiting::Unsent;

/// A client's connection, which is reset when it is dropped while an answer without a length is under way on it.
///
/// The client of such an answer takes the end of the connection for the end of the answer. The kernel is told
/// before the answer's first byte, since it closes the connection of a process that is killed.
pub(super) struct ClientStream {
    stream: TcpStream,
    /// Whether the end of the present answer is the end of the connection.
    unframed: Rc<Cell<bool>>,
    /// Whether the kernel resets the connection when it is closed.
    resets: bool,
    unsent: Rc<Unsent>,
}

impl ClientStream {
    /// Takes over a connection; `unframed` is set before an answer whose end is the end of the connection. What is written
    /// is not `unsent` any more.
    pub(super) const fn new(stream: TcpStream, unframed: Rc<Cell<bool>>, unsent: Rc<Unsent>) -> Self {
        Self {
            stream,
            unframed,
            resets: false,
            unsent,
        }
    }

    /// Closes the connection after a complete answer.
    pub(super) fn close(mut self) {
        self.set_resets(false);
    }

    /// Sends `response`, if it can be sent at once, and closes the connection, on which no answer is under way.
    pub(super) fn refuse(self, response: &[u8]) {
        // Fails only if the client has disconnected or has not read an earlier answer.
        let _sent = self.stream.try_write(response);
        self.close();
    }

    fn count(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if let Poll::Ready(Ok(bytes)) = &written {
            self.unsent.remove(*bytes);
        }
        written
    }

    fn set_resets(&mut self, resets: bool) {
        if self.resets == resets {
            return;
        }
        self.resets = resets;
        let linger = resets.then_some(Duration::ZERO);
        if let Err(error) = SockRef::from(&self.stream).set_linger(linger) {
            log::warn!(error:% = error, resets; "whether a client connection ends with a reset not set");
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.set_resets(this.unframed.get());
        let written = Pin::new(&mut this.stream).poll_write(cx, buf);
        this.count(written)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.set_resets(this.unframed.get());
        let written = Pin::new(&mut this.stream).poll_write_vectored(cx, bufs);
        this.count(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().stream).poll_shutdown(cx)
    }
}
