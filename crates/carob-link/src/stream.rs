//! Frames on a TCP connection, each preceded by its length in four bytes.

use std::{
    io::{self, Read, Write},
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder as _, Encoder as _, LengthDelimitedCodec};

/// Maximum length of a frame on a connection, in bytes; a complete configuration fits.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Size of the buffer of each read from the connection, in bytes.
const READ_SIZE: usize = 16 * 1024;

/// Reads and writes frames on a blocking connection. Timeouts are those that are set on the connection.
#[derive(Debug)]
pub struct Frames<S> {
    stream: S,
    codec: LengthDelimitedCodec,
    input: BytesMut,
    /// Time in which a frame has to arrive, in addition to the last read; `None` without a limit.
    read_time: Option<Duration>,
}

impl<S: Read + Write> Frames<S> {
    /// Wraps `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            codec: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
            input: BytesMut::new(),
            read_time: None,
        }
    }

    /// Limits the length of frames that are read, in bytes.
    #[must_use]
    pub fn with_max_length(mut self, bytes: usize) -> Self {
        self.codec.set_max_frame_length(bytes);
        self
    }

    /// Limits the time in which a frame has to arrive. A read that has begun may take longer, up to the connection's own
    /// timeout.
    #[must_use]
    pub const fn with_read_time(mut self, time: Duration) -> Self {
        self.read_time = Some(time);
        self
    }

    /// Reads the next frame; `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or ends within a frame, or if a frame is too long or takes too long.
    pub fn read(&mut self) -> io::Result<Option<Bytes>> {
        let begun = Instant::now();
        loop {
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                return Ok(Some(frame.freeze()));
            }
            if self.read_time.is_some_and(|time| begun.elapsed() >= time) {
                let missing = format!(
                    "expected a frame within {:?}, got {} bytes",
                    begun.elapsed(),
                    self.input.len()
                );
                return Err(io::Error::new(io::ErrorKind::TimedOut, missing));
            }
            let mut buffer = [0; READ_SIZE];
            let count = self.stream.read(&mut buffer)?;
            if count == 0 {
                if self.input.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.input.extend_from_slice(&buffer[..count]);
        }
    }

    /// Writes one frame.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the frame is too long.
    pub fn write(&mut self, frame: Bytes) -> io::Result<()> {
        let mut output = BytesMut::new();
        self.codec.encode(frame, &mut output)?;
        self.stream.write_all(&output)?;
        self.stream.flush()
    }

    /// Returns the connection.
    pub fn close(self) -> S {
        self.stream
    }
}
