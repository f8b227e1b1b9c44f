//! Frames on a TCP connection, each after its length in four bytes.

use std::io::{self, Read, Write};

use bytes::{Bytes, BytesMut};
use tokio_util::codec::{Decoder as _, Encoder as _, LengthDelimitedCodec};

/// Longest frame on a connection, in bytes: a whole configuration fits.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Bytes asked of the connection at once.
const READ_SIZE: usize = 16 * 1024;

/// Frames on one blocking connection. Deadlines are those of the connection.
#[derive(Debug)]
pub struct Frames<S> {
    stream: S,
    codec: LengthDelimitedCodec,
    input: BytesMut,
}

impl<S: Read + Write> Frames<S> {
    /// Frames on `stream`.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            codec: LengthDelimitedCodec::builder()
                .max_frame_length(MAX_FRAME_BYTES)
                .new_codec(),
            input: BytesMut::new(),
        }
    }

    /// The next frame; `None` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks, ends within a frame or announces one that is too long.
    pub fn read(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(frame) = self.codec.decode(&mut self.input)? {
                return Ok(Some(frame.freeze()));
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

    /// Gives the connection back.
    pub fn close(self) -> S {
        self.stream
    }
}
