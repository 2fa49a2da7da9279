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

use crate::component::Help;
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
pub enum Letter {
    Members(membership::Message),
    Verdicts(endpoint_health::Message),
    Leases(leases::Message),
    Growth(shard_growth::Message),
    Hindsight(counterfactual::Message),
}

/// Which faculty a letter is of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Members = 1,
    Verdicts = 2,
    Leases = 3,
    Growth = 4,
    Hindsight = 5,
}

impl Kind {
    pub const ALL: [Kind; 5] = [Kind::Members, Kind::Verdicts, Kind::Leases, Kind::Growth, Kind::Hindsight];

    pub fn name(self) -> &'static str {
        match self {
            Kind::Members => "members",
            Kind::Verdicts => "verdicts",
            Kind::Leases => "leases",
            Kind::Growth => "growth",
            Kind::Hindsight => "hindsight",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Letter {
    pub fn kind(&self) -> Kind {
        match self {
            Letter::Members(_) => Kind::Members,
            Letter::Verdicts(_) => Kind::Verdicts,
            Letter::Leases(_) => Kind::Leases,
            Letter::Growth(_) => Kind::Growth,
            Letter::Hindsight(_) => Kind::Hindsight,
        }
    }
}

/// What all members know and nobody else: it signs each letter.
#[derive(Clone)]
pub struct Secret(Hmac<Sha256>);

impl Secret {
    /// # Errors
    /// Where it is too short.
    pub fn new(bytes: &[u8]) -> Result<Secret, Fault> {
        let sound = Some(bytes).filter(|b| b.len() >= LEAST_SECRET);
        sound.and_then(|b| Hmac::new_from_slice(b).ok()).map(Secret).ok_or(Fault::ShortSecret)
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
pub enum Fault {
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

impl Fault {
    /// A name that stays the same, for counts in the log.
    pub fn name(&self) -> &'static str {
        match self {
            Fault::ShortSecret => "short_secret",
            Fault::Stranger => "stranger",
            Fault::OtherVersion(_) => "other_version",
            Fault::Forged => "forged",
            Fault::UnknownKind(_) => "unknown_kind",
            Fault::Unreadable => "unreadable",
            Fault::TooLong(_) => "too_long",
        }
    }
}

impl Help for Fault {
    fn help(&self) -> &'static str {
        match self {
            Fault::ShortSecret => "Make a longer one: `openssl rand -hex 32` writes 32 bytes.",
            Fault::Stranger => "Find out who sends to the letters' port, and close it to all but members.",
            Fault::OtherVersion(_) | Fault::UnknownKind(_) => {
                "Bring all members to one version of the program; until then they decide without each other."
            }
            Fault::Forged => {
                "Give all members the same operator's file and send SIGHUP; if it lasts, find out who sends."
            }
            Fault::Unreadable => "Bring all members to one version of the program; if they are, report it.",
            Fault::TooLong(_) => "Report it: a faculty wrote more than goes into one datagram.",
        }
    }
}

/// # Errors
/// Where it would be longer than a letter may be.
pub fn seal(sender: Sender, letter: &Letter, secrets: &Secrets) -> Result<Vec<u8>, Fault> {
    let head = [MAGIC[0], MAGIC[1], VERSION, letter.kind() as u8];
    let mut bytes = match letter {
        Letter::Members(message) => written(head, sender, message),
        Letter::Verdicts(message) => written(head, sender, message),
        Letter::Leases(message) => written(head, sender, message),
        Letter::Growth(message) => written(head, sender, message),
        Letter::Hindsight(message) => written(head, sender, message),
    }?;
    let tag = secrets.new.0.clone().chain_update(&bytes).finalize().into_bytes();
    bytes.extend(&tag[..TAG]);
    if bytes.len() > MOST_BYTES { Err(Fault::TooLong(bytes.len())) } else { Ok(bytes) }
}

/// # Errors
/// Whatever keeps the bytes from being one whole letter, signed with one of the secrets.
pub fn open(bytes: &[u8], secrets: &Secrets) -> Result<(Sender, Letter), Fault> {
    if bytes.len() > MOST_BYTES {
        return Err(Fault::TooLong(bytes.len()));
    }
    let (signed, tag) = bytes.split_last_chunk::<TAG>().ok_or(Fault::Stranger)?;
    let (head, body) = signed.split_first_chunk::<HEAD>().ok_or(Fault::Stranger)?;
    let [m0, m1, version, kind] = *head;
    if [m0, m1] != MAGIC {
        return Err(Fault::Stranger);
    }
    if version != VERSION {
        return Err(Fault::OtherVersion(version));
    }
    let mut known = [Some(&secrets.new), secrets.old.as_ref()].into_iter().flatten();
    if !known.any(|secret| secret.signed(signed, tag)) {
        return Err(Fault::Forged);
    }
    let kind = Kind::ALL.into_iter().find(|k| *k as u8 == kind).ok_or(Fault::UnknownKind(kind))?;
    match kind {
        Kind::Members => read(body, Letter::Members),
        Kind::Verdicts => read(body, Letter::Verdicts),
        Kind::Leases => read(body, Letter::Leases),
        Kind::Growth => read(body, Letter::Growth),
        Kind::Hindsight => read(body, Letter::Hindsight),
    }
}

fn written(head: [u8; HEAD], sender: Sender, message: &impl Serialize) -> Result<Vec<u8>, Fault> {
    let bytes = postcard::to_extend(&(sender, message), head.to_vec()).map_err(|_| Fault::Unreadable)?;
    if bytes.len() > MOST_BYTES { Err(Fault::TooLong(bytes.len())) } else { Ok(bytes) }
}

fn read<M: DeserializeOwned>(body: &[u8], of: impl Fn(M) -> Letter) -> Result<(Sender, Letter), Fault> {
    match postcard::take_from_bytes::<(Sender, M)>(body) {
        Ok(((sender, message), [])) => Ok((sender, of(message))),
        // Whoever sent what goes on after its end meant something else by it.
        _ => Err(Fault::Unreadable),
    }
}
