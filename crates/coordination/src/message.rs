//! Letters between members as bytes: one datagram each.
//!
//! `GL`, a version, a kind, then the sender and the message in postcard's form, then a tag over all before it: an
//! HMAC-SHA-256 cut to 16 bytes, as RFC 4868 does. The tag is checked before anything of the body is read, so that only
//! a holder of the secret reaches the decoders; what a holder gets wrong is refused whole all the same. A version or a
//! kind that this program does not know is refused by its own name, so that a fleet in mid-update can be told from an
//! attack. Nothing here knows of time: whether a letter came before is the members' to say, by its sender's number.
//!
//! There may be two secrets at a time. Letters are sealed with the new one and opened with either, so a key is turned
//! over without a moment in which members refuse each other: first the new one is given to all as well, then the old
//! one is taken away.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;
use thiserror::Error;

use crate::component::Remediation;
use crate::member::Sender;
use crate::{counterfactual, endpoint_health, leases, membership, shard_growth};

/// More than these go into no letter: a datagram of as many passes through any usual link whole.
pub const MOST_BYTES: usize = 1400;
/// Fewer bytes than these can be guessed.
pub const LEAST_SECRET: usize = 16;

const MAGIC: [u8; 2] = *b"GL";
const VERSION: u8 = 2;
const HEAD: usize = 4;
/// Of the HMAC-SHA-256.
const TAG: usize = 16;

/// What passes between members, by faculty.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Membership(membership::MembershipMessage),
    EndpointHealth(endpoint_health::HealthMessage),
    Leases(leases::LeaseMessage),
    ShardGrowth(shard_growth::GrowthMessage),
    Counterfactual(counterfactual::CounterfactualMessage),
}

/// Which faculty a letter is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ComponentKind {
    Membership = 1,
    EndpointHealth = 2,
    Leases = 3,
    ShardGrowth = 4,
    Counterfactual = 5,
}

impl ComponentKind {
    pub const ALL: [ComponentKind; 5] = [
        ComponentKind::Membership,
        ComponentKind::EndpointHealth,
        ComponentKind::Leases,
        ComponentKind::ShardGrowth,
        ComponentKind::Counterfactual,
    ];

    pub fn name(self) -> &'static str {
        match self {
            ComponentKind::Membership => "members",
            ComponentKind::EndpointHealth => "verdicts",
            ComponentKind::Leases => "leases",
            ComponentKind::ShardGrowth => "growth",
            ComponentKind::Counterfactual => "hindsight",
        }
    }
}

impl fmt::Display for ComponentKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Message {
    pub fn kind(&self) -> ComponentKind {
        match self {
            Message::Membership(_) => ComponentKind::Membership,
            Message::EndpointHealth(_) => ComponentKind::EndpointHealth,
            Message::Leases(_) => ComponentKind::Leases,
            Message::ShardGrowth(_) => ComponentKind::ShardGrowth,
            Message::Counterfactual(_) => ComponentKind::Counterfactual,
        }
    }
}

/// What all members know and nobody else: it signs each letter.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// # Errors
    /// Where it is too short.
    pub fn new(bytes: &[u8]) -> Result<Secret, EnvelopeError> {
        let sound = Some(bytes).filter(|b| b.len() >= LEAST_SECRET);
        sound.and_then(|b| Hmac::new_from_slice(b).ok()).map(Secret).ok_or(EnvelopeError::ShortSecret)
    }

    fn signed(&self, bytes: &[u8], tag: &[u8; TAG]) -> bool {
        self.0.clone().chain_update(bytes).verify_truncated_left(tag).is_ok()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}

/// The secrets in force: letters are sealed with the new one and opened with either.
#[derive(Clone, Debug)]
pub struct Secrets {
    pub new: Secret,
    pub old: Option<Secret>,
}

impl Secrets {
    pub fn one(secret: Secret) -> Secrets {
        Secrets { new: secret, old: None }
    }
}

/// Why bytes are no letter, or a letter can't be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum EnvelopeError {
    #[error("a secret has at least {LEAST_SECRET} bytes")]
    ShortSecret,
    #[error("no letter of this protocol")]
    Stranger,
    #[error("version {0} of letters, not {VERSION}")]
    OtherVersion(u8),
    #[error("not signed with the secret, or changed on its way")]
    Forged,
    #[error("no letter of kind {0} is known")]
    UnknownKind(u8),
    #[error("signed, but what it holds can't be read")]
    Unreadable,
    #[error("{0} bytes, {MOST_BYTES} at most")]
    TooLong(usize),
}

impl EnvelopeError {
    /// A name that stays the same, for counts in the log.
    pub fn name(&self) -> &'static str {
        match self {
            EnvelopeError::ShortSecret => "short_secret",
            EnvelopeError::Stranger => "stranger",
            EnvelopeError::OtherVersion(_) => "other_version",
            EnvelopeError::Forged => "forged",
            EnvelopeError::UnknownKind(_) => "unknown_kind",
            EnvelopeError::Unreadable => "unreadable",
            EnvelopeError::TooLong(_) => "too_long",
        }
    }
}

impl Remediation for EnvelopeError {
    fn remediation(&self) -> &'static str {
        match self {
            EnvelopeError::ShortSecret => "Make a longer one: `openssl rand -hex 32` writes 32 bytes.",
            EnvelopeError::Stranger => {
                "Find out who sends to the letters' port, and close it to all but members."
            }
            EnvelopeError::OtherVersion(_) | EnvelopeError::UnknownKind(_) => {
                "Bring all members to one version of the program; until then they decide without each other."
            }
            EnvelopeError::Forged => {
                "Give all members the same operator's file and send SIGHUP; if it lasts, find out who sends."
            }
            EnvelopeError::Unreadable => {
                "Bring all members to one version of the program; if they are, report it."
            }
            EnvelopeError::TooLong(_) => "Report it: a faculty wrote more than goes into one datagram.",
        }
    }
}

/// # Errors
/// Where it would be longer than a letter may be.
pub fn seal(sender: Sender, letter: &Message, secrets: &Secrets) -> Result<Vec<u8>, EnvelopeError> {
    let head = [MAGIC[0], MAGIC[1], VERSION, letter.kind() as u8];
    let mut bytes = match letter {
        Message::Membership(message) => written(head, sender, message),
        Message::EndpointHealth(message) => written(head, sender, message),
        Message::Leases(message) => written(head, sender, message),
        Message::ShardGrowth(message) => written(head, sender, message),
        Message::Counterfactual(message) => written(head, sender, message),
    }?;
    let tag = secrets.new.0.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend(&tag[..TAG]);
    if bytes.len() > MOST_BYTES { Err(EnvelopeError::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// Whatever keeps the bytes from being one whole letter, signed with one of the secrets.
pub fn open(bytes: &[u8], secrets: &Secrets) -> Result<(Sender, Message), EnvelopeError> {
    if bytes.len() > MOST_BYTES {
        return Err(EnvelopeError::TooLong(bytes.len()));
    }
    let (signed, tag) = bytes.split_last_chunk::<TAG>().ok_or(EnvelopeError::Stranger)?;
    let (head, body) = signed.split_first_chunk::<HEAD>().ok_or(EnvelopeError::Stranger)?;
    let [m0, m1, version, kind] = *head;
    if [m0, m1] != MAGIC {
        return Err(EnvelopeError::Stranger);
    }
    if version != VERSION {
        return Err(EnvelopeError::OtherVersion(version));
    }
    let mut known = [Some(&secrets.new), secrets.old.as_ref()].into_iter().flatten();
    if !known.any(|secret| secret.signed(signed, tag)) {
        return Err(EnvelopeError::Forged);
    }
    let kind =
        ComponentKind::ALL.into_iter().find(|k| *k as u8 == kind).ok_or(EnvelopeError::UnknownKind(kind))?;
    match kind {
        ComponentKind::Membership => read(body, Message::Membership),
        ComponentKind::EndpointHealth => read(body, Message::EndpointHealth),
        ComponentKind::Leases => read(body, Message::Leases),
        ComponentKind::ShardGrowth => read(body, Message::ShardGrowth),
        ComponentKind::Counterfactual => read(body, Message::Counterfactual),
    }
}

fn written(head: [u8; HEAD], sender: Sender, message: &impl Serialize) -> Result<Vec<u8>, EnvelopeError> {
    let bytes =
        postcard::to_extend(&(sender, message), head.to_vec()).map_err(|_| EnvelopeError::Unreadable)?;
    if bytes.len() > MOST_BYTES { Err(EnvelopeError::TooLong(bytes.len())) } else { Ok(bytes) }
}

fn read<M: DeserializeOwned>(
    body: &[u8],
    of: impl Fn(M) -> Message,
) -> Result<(Sender, Message), EnvelopeError> {
    match postcard::take_from_bytes::<(Sender, M)>(body) {
        Ok(((sender, message), [])) => Ok((sender, of(message))),
        // Whoever sent what goes on after its end meant something else by it.
        _ => Err(EnvelopeError::Unreadable),
    }
}
