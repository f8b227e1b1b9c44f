//! Seals and opens single frames.

use std::collections::HashMap;

use bytes::{Buf as _, BufMut as _, Bytes, BytesMut};
use hmac::{Hmac, Mac as _};
use sha2::Sha256;

use crate::window::ReplayWindow;

/// Version of the frame layout.
pub const VERSION: u8 = 1;
/// Length of a frame without its body, in bytes.
pub const OVERHEAD: usize = HEAD_BYTES + TAG_BYTES;
/// Maximum length of a datagram's body, in bytes. With [`OVERHEAD`] and the headers of IP and UDP, it fits
/// into an Ethernet frame.
pub const MAX_DATAGRAM_BODY: usize = 1_200;

/// Length of version, sender, incarnation and sequence, in bytes.
const HEAD_BYTES: usize = 1 + 4 + 8 + 4;
/// Length of the truncated authentication tag, in bytes.
const TAG_BYTES: usize = 16;

/// The key that all instances share, from their settings.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

/// Why a frame was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is shorter than [`OVERHEAD`].
    #[error("the frame is too short")]
    TooShort,
    /// It has another version of the layout.
    #[error("frame version {0} is not known")]
    Version(u8),
    /// Its tag is wrong: it was sealed with another key or for another receiver, or it was modified.
    #[error("the frame's tag is wrong")]
    Tag,
    /// It was received before, or it is too old to tell.
    #[error("the frame was received before")]
    Replayed,
    /// A later incarnation of the sender is known. If the sender is alive, its clock was set back before it
    /// started.
    #[error("the frame is of an older incarnation")]
    OldIncarnation {
        /// The sender's short id.
        from: u32,
        /// The highest known incarnation of the sender.
        known: u64,
    },
}

/// Content of an authentic frame.
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
    /// Creates the key from `secret`, which may have any length.
    ///
    /// # Panics
    ///
    /// Never, since HMAC accepts keys of any length.
    pub fn new(secret: &[u8]) -> Self {
        Self(Hmac::new_from_slice(secret).expect("HMAC accepts keys of any length"))
    }

    /// Authenticates `content` for the receiver `to`.
    fn tag(&self, to: u32, content: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(&to.to_be_bytes());
        mac.update(content);
        mac
    }
}

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Seals the frames of one sender and numbers them.
#[derive(Clone, Debug)]
pub struct Sealer {
    key: Key,
    id: u32,
    incarnation: u64,
    sequence: u32,
}

impl Sealer {
    /// Creates a sealer for the instance with the short id `id` and its current incarnation.
    pub fn new(key: Key, id: u32, incarnation: u64) -> Self {
        Self {
            key,
            id,
            incarnation,
            sequence: 0,
        }
    }

    /// Sets a later incarnation, in which sequence numbers start again.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.sequence = 0;
    }

    /// Seals `body` for the instance with the short id `to`. The incarnation is raised when the sequence
    /// numbers are used up.
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
        frame.put_slice(&tag[..TAG_BYTES]);
        frame.freeze()
    }
}

/// Opens frames for one receiver and rejects those that were received before.
///
/// The windows are kept in memory only, so after a restart earlier frames are accepted once more. Their
/// content is ordered by incarnations and versions of its own, so an old frame has no effect once a newer one
/// has arrived.
#[derive(Clone, Debug)]
pub struct Opener {
    key: Key,
    id: u32,
    senders: HashMap<u32, (u64, ReplayWindow)>,
}

impl Opener {
    /// Creates an opener for the instance with the short id `id`.
    pub fn new(key: Key, id: u32) -> Self {
        Self {
            key,
            id,
            senders: HashMap::new(),
        }
    }

    /// Checks `frame` and returns its content.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the frame is rejected.
    pub fn open(&mut self, frame: &Bytes) -> Result<Opened, Error> {
        if frame.len() < OVERHEAD {
            return Err(Error::TooShort);
        }
        if frame[0] != VERSION {
            return Err(Error::Version(frame[0]));
        }
        let (content, tag) = frame.split_at(frame.len() - TAG_BYTES);
        let checked = self.key.tag(self.id, content).verify_truncated_left(tag);
        checked.map_err(|_wrong| Error::Tag)?;
        let mut head = &frame[1..HEAD_BYTES];
        let from = head.get_u32();
        let incarnation = head.get_u64();
        self.accept(from, incarnation, head.get_u32())?;
        Ok(Opened {
            from,
            incarnation,
            body: frame.slice(HEAD_BYTES..frame.len() - TAG_BYTES),
        })
    }

    /// Removes the state of a sender that is no longer a member.
    pub fn remove(&mut self, id: u32) {
        self.senders.remove(&id);
    }

    /// Rejects the frame if it is of an older incarnation or was received before.
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
