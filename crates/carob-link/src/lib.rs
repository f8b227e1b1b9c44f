//! Authenticated frames between instances over TCP and UDP.
//!
//! * [`frame`]: seals and opens one frame: version, sender, incarnation, sequence, body, authentication tag.
//! * [`window`]: detects frames that were received before.
//! * [`stream`]: frames on a TCP connection.
//! * [`exchange`]: a request and its response over a TCP connection.
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
//! | 16 | HMAC-SHA256 over the receiver's short id and all of the above, truncated to 16 bytes |
//!
//! Integers are big-endian. The receiver's id is not sent. It is authenticated, so that a frame for one
//! instance is rejected by all others.

pub mod exchange;
pub mod frame;
pub mod stream;
pub mod window;

pub use exchange::Endpoint;
pub use frame::{Error, Key, Opened, Opener, Sealer};
pub use stream::Frames;
pub use window::ReplayWindow;
