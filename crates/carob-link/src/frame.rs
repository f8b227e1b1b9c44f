//! Seals and opens one frame.

use std::collections::HashMap;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;

use crate::window::ReplayWindow;

/// Version of the layout.
pub const VERSION: u8 = 1;
/// Bytes that a frame has besides its body.
pub const OVERHEAD: usize = HEAD + TAG;
/// Longest body of a datagram, in bytes; with the overhead and IP's headers it fits an Ethernet frame.
pub const MAX_DATAGRAM_BODY: usize = 1_200;

const HEAD: usize = 1 + 4 + 8 + 4;
const TAG: usize = 16;

/// The key that all instances share, from their settings.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// Why a frame was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is shorter than a frame without a body.
    #[error("the frame is too short")]
    TooShort,
    /// Its layout is another one.
    #[error("frame version {0} is not known")]
    Version(u8),
    /// Its tag is wrong: another key, another receiver, or changed on the way.
    #[error("the frame's tag is wrong")]
    Tag,
    /// It was received before.
    #[error("the frame was received before")]
    Replayed,
    /// A later incarnation of the sender is known. If the sender is alive, its clock went back before it started.
    #[error("the frame is of an older incarnation")]
    OldIncarnation {
        /// The sender's short id.
        from: u32,
        /// The known incarnation.
        known: u64,
    },
}

/// A frame that was opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Opened {
    /// The sender's short id.
    pub from: u32,
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The body.
    pub body: Bytes,
}

impl Key {
    /// The key in `secret`, of any length.
    ///
    /// # Panics
    ///
    /// Never: HMAC takes keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    fn tag(&self, to: u32, text: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&to.to_be_bytes());
        mac.update(text);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Seals the frames of one sender.
#[derive(Clone, Debug)]
pub struct Sealer {
    key: Key,
    id: u32,
    incarnation: u64,
    sequence: u32,
}

impl Sealer {
    /// A sealer for the instance with the short id `id`, started as `incarnation`.
    pub fn new(key: Key, id: u32, incarnation: u64) -> Self {
        Self {
            key,
            id,
            incarnation,
            sequence: 0,
        }
    }

    /// Goes on as a later incarnation.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.sequence = 0;
    }

    /// Seals `body` for the instance with the short id `to`.
    pub fn seal(&mut self, to: u32, body: &[u8]) -> Bytes {
        if self.sequence == u32::MAX {
            self.set_incarnation(self.incarnation + 1);
        }
        self.sequence += 1;
        let mut frame = BytesMut::with_capacity(body.len() + OVERHEAD);
        frame.put_u8(VERSION);
        frame.put_u32(self.id);
        frame.put_u64(self.incarnation);
        frame.put_u32(self.sequence);
        frame.put_slice(body);
        let tag = self.key.tag(to, &frame).finalize().into_bytes();
        frame.put_slice(&tag[..TAG]);
        frame.freeze()
    }
}

/// Opens frames for one receiver, and refuses those that it has seen.
///
/// The windows live in memory: after a restart, frames of before are taken once more. What they carry is ordered
/// by incarnations and versions of its own, so an old frame changes nothing once a newer one has arrived.
#[derive(Clone, Debug)]
pub struct Opener {
    key: Key,
    id: u32,
    senders: HashMap<u32, (u64, ReplayWindow)>,
}

impl Opener {
    /// An opener for the instance with the short id `id`.
    pub fn new(key: Key, id: u32) -> Self {
        Self {
            key,
            id,
            senders: HashMap::new(),
        }
    }

    /// Opens `frame`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`]; nothing of the frame may be used then.
    pub fn open(&mut self, frame: &Bytes) -> Result<Opened, Error> {
        if frame.len() < OVERHEAD {
            return Err(Error::TooShort);
        }
        if frame[0] != VERSION {
            return Err(Error::Version(frame[0]));
        }
        let (text, tag) = frame.split_at(frame.len() - TAG);
        let checked = self.key.tag(self.id, text).verify_truncated_left(tag);
        checked.map_err(|_wrong| Error::Tag)?;
        let mut head = &frame[1..HEAD];
        let from = head.get_u32();
        let incarnation = head.get_u64();
        self.accept(from, incarnation, head.get_u32())?;
        Ok(Opened {
            from,
            incarnation,
            body: frame.slice(HEAD..frame.len() - TAG),
        })
    }

    /// Forgets a sender that is no longer a member.
    pub fn remove(&mut self, id: u32) {
        self.senders.remove(&id);
    }

    fn accept(&mut self, from: u32, incarnation: u64, sequence: u32) -> Result<(), Error> {
        let (known, window) = self.senders.entry(from).or_default();
        if incarnation < *known {
            return Err(Error::OldIncarnation { from, known: *known });
        }
        if incarnation > *known {
            (*known, *window) = (incarnation, ReplayWindow::default());
        }
        window.accept(sequence).then_some(()).ok_or(Error::Replayed)
    }
}
