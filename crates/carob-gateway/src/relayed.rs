//! A connection to an upstream through another instance.
//!
//! The other instance sends what the upstream answers in frames: four bytes with the length, big-endian, then as many
//! bytes. A frame of length zero says that the upstream has ended its side in order. The end of the connection alone
//! does not: the other instance may have been killed.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Size of the buffer for what is received, in bytes.
const BUFFER: usize = 16 << 10;

/// Bytes of the length before each frame.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Reads frames; what is written is sent as it is.
#[derive(Debug)]
pub(crate) struct RelayedStream {
    stream: TcpStream,
    received: Box<[u8]>,
    /// Range of the bytes in `received` that are not read yet.
    unread: std::ops::Range<usize>,
    length: [u8; LENGTH_BYTES],
    /// Bytes of `length` that are known.
    length_known: usize,
    /// Bytes that are left of the present frame.
    left: usize,
    /// Whether the upstream has ended its side.
    ended: bool,
}

impl RelayedStream {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: vec![0; BUFFER].into_boxed_slice(),
            unread: 0..0,
            length: [0; LENGTH_BYTES],
            length_known: 0,
            left: 0,
            ended: false,
        }
    }

    /// Moves what was received of the present frame to `buf`; returns how many bytes these are.
    fn take(&mut self, buf: &mut ReadBuf<'_>) -> usize {
        while !self.ended && !self.unread.is_empty() {
            if self.left > 0 {
                let count = self.left.min(self.unread.len()).min(buf.remaining());
                let start = self.unread.start;
                buf.put_slice(&self.received[start..start + count]);
                self.unread.start += count;
                self.left -= count;
                return count;
            }
            self.length[self.length_known] = self.received[self.unread.start];
            self.unread.start += 1;
            self.length_known += 1;
            if self.length_known == LENGTH_BYTES {
                self.length_known = 0;
                self.left = u32::from_be_bytes(self.length) as usize;
                self.ended = self.left == 0;
            }
        }
        0
    }
}

impl AsyncRead for RelayedStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if buf.remaining() == 0 || this.take(buf) > 0 || this.ended {
                return Poll::Ready(Ok(()));
            }
            let mut received = ReadBuf::new(&mut this.received);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut received))?;
            this.unread = 0..received.filled().len();
            if this.unread.is_empty() {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "expected the end of the answer, the instance that relays it ended first",
                )));
            }
        }
    }
}

impl AsyncWrite for RelayedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
