//! Authenticated frames between instances over TCP and UDP.
//!
//! * [`frame`]: seals and opens one frame: version, sender, incarnation, sequence, body, authentication tag.
//! * [`window`]: refuses frames that were seen before.
//! * [`stream`]: frames on a TCP connection.
//! * [`exchange`]: one question and its answer over a TCP connection.
//!
//! # Layout of a frame
//!
//! | Bytes | Content |
//! |---|---|
//! | 1 | version of the layout |
//! | 4 | sender's short id |
//! | 8 | sender's incarnation |
//! | 4 | sequence, from 1 within the incarnation |
//! | any | body |
//! | 16 | HMAC-SHA256 over all of it and the receiver's short id, cut to 16 bytes |
//!
//! Numbers are big-endian. The receiver's id is not sent: a frame for one instance does not open at another one.

pub mod exchange;
pub mod frame;
pub mod stream;
pub mod window;

pub use exchange::Endpoint;
pub use frame::{Error, Key, Opened, Opener, Sealer};
pub use stream::Frames;
pub use window::ReplayWindow;
