//! One question and its answer over a TCP connection.
//!
//! Both sides seal one frame. The question carries a nonce that the answer repeats, so an answer that was recorded
//! earlier is not taken for this one's.

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

/// One end of an exchange.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The key that all instances share.
    pub key: Key,
    /// The own short id.
    pub id: u32,
    /// The own incarnation.
    pub incarnation: u64,
}

/// Asks the instance `peer` at `address`; each step may take `timeout`.
///
/// # Errors
///
/// Returns an error if the connection breaks or the answer is not authentic.
pub fn request(
    party: &Endpoint,
    peer: u32,
    address: SocketAddr,
    nonce: u64,
    question: &[u8],
    timeout: Duration,
) -> io::Result<Bytes> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut frames = Frames::new(stream);
    frames.write(party.seal(peer, nonce, question))?;
    let (from, answered, answer) = party.open(&mut frames)?;
    if (from, answered) == (peer, nonce) {
        return Ok(answer);
    }
    Err(io::Error::other("the answer belongs to another question"))
}

/// Answers the question that comes over `stream`, whose deadlines are the caller's.
///
/// # Errors
///
/// Returns an error if the connection breaks or the question is not authentic.
pub fn respond<S: Read + Write>(
    party: &Endpoint,
    stream: S,
    answer: impl FnOnce(u32, Bytes) -> Bytes,
) -> io::Result<()> {
    let mut frames = Frames::new(stream);
    let (from, nonce, question) = party.open(&mut frames)?;
    let answer = answer(from, question);
    frames.write(party.seal(from, nonce, &answer))
}

impl Endpoint {
    fn seal(&self, to: u32, nonce: u64, body: &[u8]) -> Bytes {
        let mut text = BytesMut::with_capacity(size_of::<u64>() + body.len());
        text.put_u64(nonce);
        text.put_slice(body);
        Sealer::new(self.key.clone(), self.id, self.incarnation).seal(to, &text)
    }

    /// The sender, the nonce and the body of the next frame.
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
