//! The encoding of messages as signed datagrams, one message each.
//!
//! A datagram consists of the magic `GL`, a version, a kind, the sender and the message in postcard's format,
//! and a tag over all of these: an HMAC-SHA-256 truncated to 16 bytes, as in RFC 4868.
//!
//! - The tag is verified before any part of the body is decoded, so only datagrams of members that hold the
//!   secret reach the decoders. A malformed datagram from such a member is still rejected as a whole.
//! - An unsupported version and an unknown kind are separate errors, so that a fleet in the middle of an
//!   update can be distinguished from an attack.
//! - This module reads no clock and keeps no state: [`crate::membership`] rejects duplicates by the sender's
//!   sequence number.
//! - Two secrets may be valid at a time. Datagrams are sealed with the current secret and opened with either
//!   one, so that members never reject each other during a rotation: first the new secret is distributed
//!   while the previous one stays valid, then the previous one is removed.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use thiserror::Error;

use crate::component::Remediation;
use crate::member::Sender;
use crate::message::{ComponentKind, Message};

/// The maximum size of a datagram, in bytes. Datagrams of this size pass any usual link without
/// fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The minimum length of a secret, in bytes: a shorter one can be guessed.
pub const MIN_SECRET_BYTES: usize = 16;

const MAGIC: [u8; 2] = *b"GL";
const VERSION: u8 = 2;
/// The length of the header in bytes: magic, version and kind.
const HEADER_BYTES: usize = 4;
/// The length in bytes to which the HMAC-SHA-256 is truncated.
const TAG_BYTES: usize = 16;

/// The key that all members share and with which each datagram is signed.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// Creates a secret from its bytes.
    ///
    /// Returns [`EnvelopeError::ShortSecret`] if there are fewer than [`MIN_SECRET_BYTES`] bytes.
    pub fn new(bytes: &[u8]) -> Result<Secret, EnvelopeError> {
        if bytes.len() < MIN_SECRET_BYTES {
            return Err(EnvelopeError::ShortSecret);
        }
        Hmac::new_from_slice(bytes).map(Secret).map_err(|_| EnvelopeError::ShortSecret)
    }

    fn verifies(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        self.0.clone().chain_update(bytes).verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The secrets that are currently valid.
#[derive(Clone, Debug)]
pub struct Secrets {
    /// The secret with which datagrams are sealed and opened.
    pub current: Secret,
    /// The secret with which datagrams are only opened, during a rotation.
    pub previous: Option<Secret>,
}

impl Secrets {
    /// Creates secrets of which only one is valid, as outside of rotations.
    pub fn single(secret: Secret) -> Secrets {
        Secrets { current: secret, previous: None }
    }

    fn verify(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        if self.current.verifies(bytes, tag) {
            return true;
        }
        self.previous.as_ref().is_some_and(|secret| secret.verifies(bytes, tag))
    }
}

/// The reason why bytes are not a valid datagram, why a message can't be sealed, or why a secret is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum EnvelopeError {
    /// The secret has fewer than [`MIN_SECRET_BYTES`] bytes.
    #[error("the secret is too short: it must have at least {MIN_SECRET_BYTES} bytes")]
    ShortSecret,
    /// The datagram is too short or does not begin with the magic.
    #[error("the datagram is not a message of the control plane's protocol")]
    UnknownProtocol,
    /// The datagram has this version of the protocol, which the program does not support.
    #[error(
        "the datagram has version {0} of the message protocol, and this program supports only version {VERSION}"
    )]
    UnsupportedVersion(u8),
    /// The tag matches none of the valid secrets.
    #[error("the datagram is not signed with a valid secret, or was modified in transit")]
    InvalidSignature,
    /// The datagram is signed correctly, but its kind belongs to no component.
    #[error("the datagram is signed correctly, but holds a message of unknown kind {0}")]
    UnknownKind(u8),
    /// The datagram is signed correctly, but its body can't be decoded; or a message can't be encoded.
    #[error("the message's content can't be decoded from a correctly signed datagram, or can't be encoded")]
    Malformed,
    /// The datagram has this many bytes, which is more than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram has {0} bytes, and at most {MAX_DATAGRAM_BYTES} are allowed")]
    TooLong(usize),
}

impl EnvelopeError {
    /// The stable name of the error, by which it is counted in the log.
    pub fn name(&self) -> &'static str {
        match self {
            EnvelopeError::ShortSecret => "short_secret",
            EnvelopeError::UnknownProtocol => "stranger",
            EnvelopeError::UnsupportedVersion(_) => "other_version",
            EnvelopeError::InvalidSignature => "forged",
            EnvelopeError::UnknownKind(_) => "unknown_kind",
            EnvelopeError::Malformed => "unreadable",
            EnvelopeError::TooLong(_) => "too_long",
        }
    }
}

impl Remediation for EnvelopeError {
    fn remediation(&self) -> &'static str {
        match self {
            EnvelopeError::ShortSecret => "Generate a longer secret: `openssl rand -hex 32` writes 32 bytes.",
            EnvelopeError::UnknownProtocol => {
                "Find out who sends to the control-plane port, and close the port to everyone but members."
            }
            EnvelopeError::UnsupportedVersion(_) | EnvelopeError::UnknownKind(_) => {
                "Run the same version of the program at all members; until then, members of different versions decide \
                 independently of each other."
            }
            EnvelopeError::InvalidSignature => {
                "Give all members the same fleet configuration file and send them SIGHUP; if it continues, find out \
                 who sends these datagrams."
            }
            EnvelopeError::Malformed => {
                "Run the same version of the program at all members; if they do already, report a bug."
            }
            EnvelopeError::TooLong(_) => {
                "Report a bug: a component created a message that is too long for one datagram."
            }
        }
    }
}

/// Encodes and signs a message as a datagram.
///
/// Returns [`EnvelopeError::TooLong`] if the datagram is longer than [`MAX_DATAGRAM_BYTES`], and
/// [`EnvelopeError::Malformed`] if the message can't be encoded.
pub fn seal(sender: Sender, message: &Message, secrets: &Secrets) -> Result<Vec<u8>, EnvelopeError> {
    let header = [MAGIC[0], MAGIC[1], VERSION, message.kind() as u8];
    let mut bytes = match message {
        Message::Membership(body) => encode(header, sender, body),
        Message::EndpointHealth(body) => encode(header, sender, body),
        Message::Leases(body) => encode(header, sender, body),
        Message::ShardGrowth(body) => encode(header, sender, body),
        Message::Counterfactual(body) => encode(header, sender, body),
    }?;
    let tag = secrets.current.0.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend(&tag[..TAG_BYTES]);
    check_length(&bytes)?;
    Ok(bytes)
}

/// Verifies and decodes a datagram. Returns its sender and its message.
///
/// # Errors
/// Returns the reason why the bytes are not exactly one message that is signed with a valid secret.
pub fn open(bytes: &[u8], secrets: &Secrets) -> Result<(Sender, Message), EnvelopeError> {
    check_length(bytes)?;
    let (signed, tag) = bytes.split_last_chunk::<TAG_BYTES>().ok_or(EnvelopeError::UnknownProtocol)?;
    let (header, body) = signed.split_first_chunk::<HEADER_BYTES>().ok_or(EnvelopeError::UnknownProtocol)?;
    let [magic_0, magic_1, version, kind] = *header;
    if [magic_0, magic_1] != MAGIC {
        return Err(EnvelopeError::UnknownProtocol);
    }
    if version != VERSION {
        return Err(EnvelopeError::UnsupportedVersion(version));
    }
    if !secrets.verify(signed, tag) {
        return Err(EnvelopeError::InvalidSignature);
    }
    match kind_of_byte(kind)? {
        ComponentKind::Membership => decode(body, Message::Membership),
        ComponentKind::EndpointHealth => decode(body, Message::EndpointHealth),
        ComponentKind::Leases => decode(body, Message::Leases),
        ComponentKind::ShardGrowth => decode(body, Message::ShardGrowth),
        ComponentKind::Counterfactual => decode(body, Message::Counterfactual),
    }
}

fn kind_of_byte(byte: u8) -> Result<ComponentKind, EnvelopeError> {
    let kind = ComponentKind::ALL.into_iter().find(|kind| *kind as u8 == byte);
    kind.ok_or(EnvelopeError::UnknownKind(byte))
}

fn check_length(bytes: &[u8]) -> Result<(), EnvelopeError> {
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(EnvelopeError::TooLong(bytes.len()));
    }
    Ok(())
}

fn encode(
    header: [u8; HEADER_BYTES],
    sender: Sender,
    body: &impl Serialize,
) -> Result<Vec<u8>, EnvelopeError> {
    let encoded = postcard::to_extend(&(sender, body), header.to_vec());
    let bytes = encoded.map_err(|_| EnvelopeError::Malformed)?;
    check_length(&bytes)?;
    Ok(bytes)
}

fn decode<M: DeserializeOwned>(
    bytes: &[u8],
    wrap: impl Fn(M) -> Message,
) -> Result<(Sender, Message), EnvelopeError> {
    match postcard::take_from_bytes::<(Sender, M)>(bytes) {
        Ok(((sender, body), [])) => Ok((sender, wrap(body))),
        // Bytes after the end of the body mean that the sender uses another format.
        Ok(_) | Err(_) => Err(EnvelopeError::Malformed),
    }
}
