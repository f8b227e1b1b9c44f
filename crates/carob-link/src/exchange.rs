//! A request and its response over a TCP connection.
//!
//! Each side seals one frame. The request contains a nonce that the response repeats, so that the response to
//! an earlier request cannot be replayed.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};

use crate::{
    frame::{Key, Opener, Sealer},
    stream::Frames,
};

/// Maximum length of a request's frame, in bytes.
const MAX_REQUEST_BYTES: usize = 16 << 10;

/// Time in which a whole request has to arrive. It fits into one segment, and a lost one is sent again within a second.
const REQUEST_TIME: Duration = Duration::from_secs(2);

/// One side of an exchange.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The key that all instances share.
    pub key: Key,
    /// This side's short id.
    pub id: u32,
    /// This side's incarnation.
    pub incarnation: u64,
}

/// Sends `body` to the instance `peer` at `address` and returns the body of the response. Connecting and each
/// read and write may take up to `timeout`.
///
/// # Errors
///
/// Returns an error if the connection breaks, a step times out, or the response is not authentic or is for
/// another request.
pub fn request(
    endpoint: &Endpoint,
    peer: u32,
    address: SocketAddr,
    nonce: u64,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Bytes> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut frames = Frames::new(stream);
    frames.write(endpoint.seal(peer, nonce, body))?;
    let (from, echoed_nonce, response) = endpoint.open(&mut frames)?;
    if (from, echoed_nonce) == (peer, nonce) {
        return Ok(response);
    }
    Err(io::Error::other("the answer belongs to another question"))
}

/// Serves one request on `stream` with `handler`, which gets the sender's short id and the body. The timeouts
/// of each step are those that are set on `stream`; the request has to arrive within two seconds and one step.
///
/// # Errors
///
/// Returns an error if the connection breaks, or the request is too long, takes too long or is not authentic.
pub fn respond<S: Read + Write>(
    endpoint: &Endpoint,
    stream: S,
    handler: impl FnOnce(u32, Bytes) -> Bytes,
) -> io::Result<()> {
    let mut frames = Frames::new(stream)
        .with_max_length(MAX_REQUEST_BYTES)
        .with_read_time(REQUEST_TIME);
    let (from, nonce, body) = endpoint.open(&mut frames)?;
    let response = handler(from, body);
    frames.write(endpoint.seal(from, nonce, &response))
}

impl Endpoint {
    fn seal(&self, to: u32, nonce: u64, body: &[u8]) -> Bytes {
        let mut content = BytesMut::with_capacity(size_of::<u64>() + body.len());
        content.put_u64(nonce);
        content.put_slice(body);
        Sealer::new(self.key.clone(), self.id, self.incarnation).seal(to, &content)
    }

    /// Reads and opens a frame. Returns its sender, nonce and body.
    fn open<S: Read + Write>(&self, frames: &mut Frames<S>) -> io::Result<(u32, u64, Bytes)> {
        let Some(frame) = frames.read()? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        let opened = Opener::new(self.key.clone(), self.id).open(&frame);
        let mut opened = opened.map_err(io::Error::other)?;
        if opened.body.len() < size_of::<u64>() {
            return Err(io::Error::other("the frame has no nonce"));
        }
        let nonce = opened.body.get_u64();
        Ok((opened.from, nonce, opened.body))
    }
}
