//! Reference codec for the messages between fleet members.
//!
//! The codec is written from the published wire format and shares no code with the program under test, so
//! that the audit does not inherit the program's defects. A message is an envelope with a header, the sender,
//! a body and an HMAC tag. The bodies that the testbed judges or forges are decoded: membership, endpoint
//! health, leases and counterfactual reports ([`crate::shard_map_reference`] has those about shard growth).
//!
//! Bodies are encoded with postcard: the order of fields and of enum variants is the wire format and must not
//! change.

mod counterfactual;
mod health;
mod leases;
mod membership;

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

pub use counterfactual::{Comparison, ComparisonReport, CounterfactualMessage};
pub use health::{AttemptCounts, Fragment, HealthMessage, HealthStatus};
pub use leases::{Demand, LeaseMessage, Resource};
pub use membership::MembershipMessage;

/// Magic bytes and the version of the format.
const HEADER: [u8; 3] = [b'G', b'L', 2];
/// Length in bytes of the truncated HMAC-SHA-256 at the end of a message.
const TAG_BYTES: usize = 16;

/// The component that a message belongs to; the envelope contains the component's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum MessageKind {
    /// Heartbeats and notices about incarnations: [`MembershipMessage`].
    Membership = 1,
    /// Endpoint health: [`HealthMessage`].
    EndpointHealth = 2,
    /// Leases of shared resources: [`LeaseMessage`].
    Leases = 3,
    /// Shard maps and their accounting: [`crate::shard_map_reference::ShardGrowthMessage`].
    ShardGrowth = 4,
    /// Comparisons of endpoints: [`CounterfactualMessage`].
    Counterfactual = 5,
}

/// The member that signs a message, as the wire names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Signer {
    /// A planner, by its number in the fleet's configuration.
    Planner(u8),
    /// A node, by the hash of its name.
    Node(u64),
}

/// The sender in the envelope of each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// The member that signs the message.
    pub member: Signer,
    /// The sender's incarnation, which increases when the process restarts.
    pub incarnation: u64,
    /// The sequence number, which increases with each message of an incarnation.
    pub sequence: u64,
}

/// The endpoint number of a cache in messages: the FNV-1a hash of the cache's name in the endpoint list, with
/// a final mix.
pub fn endpoint_number(name: &str) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    const MIX: u64 = 0x9e37_79b9_7f4a_7c15;
    let mut hash = FNV_OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    hash = (hash ^ (hash >> 32)).wrapping_mul(MIX);
    hash ^ (hash >> 29)
}

/// The truncated HMAC-SHA-256 tag of the signed part of a message; `None` where the secret is not a valid
/// key.
fn tag(secret: &[u8], signed: &[u8]) -> Option<[u8; TAG_BYTES]> {
    let mac = Hmac::<Sha256>::new_from_slice(secret).ok()?.chain_update(signed);
    mac.finalize().into_bytes().first_chunk().copied()
}

/// The signed part of a message; `None` where the tag is wrong or the message too short.
fn verified<'a>(secret: &[u8], bytes: &'a [u8]) -> Option<&'a [u8]> {
    let (signed, signature) = bytes.split_last_chunk::<TAG_BYTES>()?;
    if tag(secret, signed)? != *signature {
        return None;
    }
    Some(signed)
}

/// Encodes and signs a message; `None` where the body cannot be encoded.
pub fn encode(secret: &[u8], kind: MessageKind, sender: Sender, message: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = HEADER.to_vec();
    bytes.push(kind as u8);
    bytes.extend(postcard::to_allocvec(&(sender, message)).ok()?);
    let tag = tag(secret, &bytes)?;
    bytes.extend(tag);
    Some(bytes)
}

/// The sender of a message of any kind; `None` where the message is malformed or not signed with the secret.
pub fn decode_sender(secret: &[u8], bytes: &[u8]) -> Option<Sender> {
    let signed = verified(secret, bytes)?;
    let body = signed.strip_prefix(&HEADER)?.get(1..)?;
    let (sender, _rest) = postcard::take_from_bytes(body).ok()?;
    Some(sender)
}

/// The sender and the body of a message of `kind`; `None` where the message is of another kind, malformed, or
/// not signed with the secret.
pub fn decode<M: DeserializeOwned>(secret: &[u8], kind: MessageKind, bytes: &[u8]) -> Option<(Sender, M)> {
    let signed = verified(secret, bytes)?;
    let body = signed.strip_prefix(&HEADER)?.strip_prefix(&[kind as u8])?;
    postcard::from_bytes(body).ok()
}
