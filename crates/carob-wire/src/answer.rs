//! The authenticated id by which a caller resumes or cancels an answer.
//!
//! The id contains everything that any other instance needs to find the answer after the first one has
//! crashed. Its message authentication code, under a key from the settings, prevents callers from forging ids
//! and accounts from using the answers of other accounts.

use base64::{Engine as _, engine::general_purpose::URL_SAFE_NO_PAD};
use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Prefix of every id, as in the Responses API.
pub const PREFIX: &str = "resp_";
/// Length of the truncated message authentication code, in bytes.
const MAC_BYTES: usize = 16;
/// Version of the encoding. Ids of other versions are rejected.
const VERSION: u8 = 1;

carob_base::value! {
    /// Content of an answer's id.
    pub struct AnswerId {
        /// Name of the upstream that generates the answer.
        pub upstream: String,
        /// The upstream's incarnation when the answer was started; 0 if the upstream does not report one.
        pub incarnation: u64,
        /// The engine's own id of the answer.
        pub engine_id: String,
        /// Name of the account that owns the answer.
        pub account: String,
    }
}

/// Why a text is not accepted as an answer's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It is not an id in the known encoding.
    #[error("the id is malformed")]
    Malformed,
    /// Its message authentication code does not match.
    #[error("the id is not authentic")]
    Forged,
}

impl AnswerId {
    /// Encodes the id and authenticates it with `key`.
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

    /// Decodes an id after checking that it was authenticated with `key`.
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
