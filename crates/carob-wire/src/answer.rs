//! The authenticated id under which a caller resumes or cancels an answer.
//!
//! The id carries all that any instance needs to find the answer after the first instance has died, and a
//! message authentication code under a key of the settings, so that no caller can make one up and no account
//! can use another's.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Prefix of every id, as in the Responses API.
pub const PREFIX: &str = "resp_";
/// Length of the truncated message authentication code, in bytes.
const MAC_BYTES: usize = 16;
/// Version of the encoding; other versions are refused.
const VERSION: u8 = 1;

carob_base::value! {
    /// What an answer's id says.
    pub struct AnswerId {
        /// Name of the upstream that generates it.
        pub upstream: String,
        /// The upstream's incarnation at the start; 0 if it does not say.
        pub incarnation: u64,
        /// The engine's own id.
        pub engine_id: String,
        /// Name of the account that owns it.
        pub account: String,
    }
}

/// The text is no id of this system.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Not an id of a known version.
    #[error("the id is malformed")]
    Malformed,
    /// The message authentication code does not match.
    #[error("the id is not authentic")]
    Forged,
}

impl AnswerId {
    /// The id, authenticated with `key`.
    pub fn encode(&self, key: &[u8]) -> String {
        let mut bytes = vec![VERSION];
        bytes.extend_from_slice(&self.incarnation.to_be_bytes());
        for part in [&self.upstream, &self.account, &self.engine_id] {
            bytes.extend_from_slice(&(part.len() as u16).to_be_bytes());
            bytes.extend_from_slice(part.as_bytes());
        }
        let code = mac(key, &bytes).finalize().into_bytes();
        bytes.extend_from_slice(&code[..MAC_BYTES]);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(bytes))
    }

    /// Reads an id and checks that it was made with `key`.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the id is malformed or not authentic.
    pub fn decode(id: &str, key: &[u8]) -> Result<Self, Error> {
        let text = id.strip_prefix(PREFIX).ok_or(Error::Malformed)?;
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_decode| Error::Malformed)?;
        let (content, code) = bytes.split_last_chunk::<MAC_BYTES>().ok_or(Error::Malformed)?;
        mac(key, content)
            .verify_truncated_left(code)
            .map_err(|_mismatch| Error::Forged)?;
        parse(content).ok_or(Error::Malformed)
    }
}

fn mac(key: &[u8], content: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("HMAC takes keys of any length");
    mac.update(content);
    mac
}

fn parse(content: &[u8]) -> Option<AnswerId> {
    let (version, rest) = content.split_first()?;
    if *version != VERSION {
        return None;
    }
    let (incarnation, rest) = rest.split_first_chunk::<8>()?;
    let (upstream, rest) = take_text(rest)?;
    let (account, rest) = take_text(rest)?;
    let (engine_id, rest) = take_text(rest)?;
    let incarnation = u64::from_be_bytes(*incarnation);
    rest.is_empty().then_some(AnswerId {
        upstream,
        incarnation,
        engine_id,
        account,
    })
}

fn take_text(bytes: &[u8]) -> Option<(String, &[u8])> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let (text, rest) = rest.split_at_checked(usize::from(u16::from_be_bytes(*length)))?;
    Some((String::from_utf8(text.to_vec()).ok()?, rest))
}
