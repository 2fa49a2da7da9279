//! Letters as this lab reads and writes them, from the published form and by code of its own: an envelope that is
//! signed, and of what is in it leases and verdicts.

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

const HEAD: [u8; 3] = [b'G', b'L', 2];
const TAG: usize = 16;
pub const MEMBERS: u8 = 1;
pub const VERDICTS: u8 = 2;
pub const LEASES: u8 = 3;
pub const HINDSIGHT: u8 = 5;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Signer {
    Planner(u8),
    Forwarder(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    pub member: Signer,
    pub life: u64,
    pub number: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Resource {
    Origin,
    Cold(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Need {
    pub resource: Resource,
    pub amount: u32,
    pub using: u64,
    pub heads: u32,
    pub has: u32,
}

/// Amounts are thousandths, spans microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Lease {
    Ask { ask: u64, needs: Vec<Need> },
    Grant { ask: u64, granted: Vec<(Resource, u32)>, lasts: u32 },
    Return { ask: u64 },
    AskStanding { ask: u64, need: u32, using: u64, to: u64, has: u32 },
    Standing { ask: u64, amount: u32, lasts: u32 },
    ReturnStanding { ask: u64 },
}

/// A part of what is too long for one letter: which one, from 0, and of how many.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part(pub u8, pub u8);

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Seen {
    pub cache: u64,
    pub answered: f32,
    pub failed: f32,
    pub out: f32,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AuditResult {
    Fails { ago: u64 },
    ClientAttempt { ago: u64 },
    Answers { ago: u64 },
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Health {
    Report { number: u64, part: Part, caches: Vec<Seen> },
    Plan { version: u64, part: Part, forwarders: u64, verdicts: Vec<(u64, AuditResult)> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Standing {
    NoSupport,
    AsGood,
    Worse,
    Better,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Said {
    pub cache: u64,
    pub product: u16,
    pub standing: Standing,
    pub more: f32,
    pub low: f32,
    pub high: f32,
}

/// What forwarders tell is not read here.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Hindsight {
    Seen,
    Started,
    Standing(Vec<Said>),
    Times(Vec<Said>),
}

/// A cache's number in letters, by its name in the list: FNV-1a, stirred once more.
pub fn cache_number(name: &str) -> u64 {
    let fnv = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
    let hash = name.bytes().fold(0xcbf2_9ce4_8422_2325, fnv);
    let hash = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash ^ (hash >> 29)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Beat {
    Beat,
    YouWereGone { life: u64 },
    YouWereSucceeded { life: u64, by: u64 },
}

fn tag(secret: &[u8], bytes: &[u8]) -> Option<[u8; TAG]> {
    let whole = Hmac::<Sha256>::new_from_slice(secret).ok()?.chain_update(bytes).finalize().into_bytes();
    whole.first_chunk().copied()
}

pub fn write(secret: &[u8], kind: u8, sender: Sender, message: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = vec![HEAD[0], HEAD[1], HEAD[2], kind];
    bytes.extend(postcard::to_allocvec(&(sender, message)).ok()?);
    let tag = tag(secret, &bytes)?;
    bytes.extend(tag);
    Some(bytes)
}

/// Who signed a letter, of whatever kind.
pub fn sender(secret: &[u8], bytes: &[u8]) -> Option<Sender> {
    let (signed, signature) = bytes.split_last_chunk::<TAG>()?;
    let body = signed.strip_prefix(&HEAD)?.get(1..)?;
    let (sender, _) = postcard::take_from_bytes(body).ok()?;
    (tag(secret, signed)? == *signature).then_some(sender)
}

/// A letter of this kind; none where it is of another or not signed.
pub fn read<M: DeserializeOwned>(secret: &[u8], kind: u8, bytes: &[u8]) -> Option<(Sender, M)> {
    let (signed, signature) = bytes.split_last_chunk::<TAG>()?;
    let body = signed.strip_prefix(&HEAD)?.strip_prefix(&[kind])?;
    if tag(secret, signed)? != *signature {
        return None;
    }
    postcard::from_bytes(body).ok()
}
