//! Reference codec for the messages between fleet members.
//!
//! It is written from the published wire format and shares no code with the program, so that the auditor does not
//! inherit the program's faults. A message is an envelope with a header, the sender, a body and an HMAC tag. The bodies
//! that the testbed judges or forges are decoded: membership, endpoint health, leases and counterfactual reports
//! ([`crate::shard_map_reference`] has those about shard growth).
//!
//! Bodies are encoded with postcard: the order of fields and of enum variants is the wire format and must not change.

#![warn(missing_docs)]

use hmac::{Hmac, KeyInit, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;

/// Magic bytes and the version of the format.
const HEADER: [u8; 3] = [b'G', b'L', 2];
/// Length in bytes of the truncated HMAC-SHA-256 at the end of a message.
const TAG_BYTES: usize = 16;

/// The component that a message belongs to; its number stands in the envelope.
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
    /// Who signs the message.
    pub member: Signer,
    /// The sender's incarnation: a process that starts again has a greater one.
    pub incarnation: u64,
    /// Rises with each message of an incarnation.
    pub sequence: u64,
}

/// A resource that leases divide among nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Resource {
    /// Fetches from the origin.
    Origin,
    /// Work at a cache that is warming up, by its endpoint number.
    WarmingCache(u64),
}

/// What a member asks for of one resource. Amounts are thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// What is asked for.
    pub resource: Resource,
    /// How much of it.
    pub amount: u32,
    /// The request whose grant is in use; earlier grants are returned by this.
    pub request_in_use: u64,
    /// The number of members in need, where a planner asks for several.
    pub claimants: u32,
    /// What they hold already without this lender.
    pub held: u32,
}

/// Leases between nodes and planners. Amounts are thousandths, durations microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum LeaseMessage {
    /// Asks for leases.
    Request {
        /// The number of the request; rises within an incarnation.
        request: u64,
        /// What is asked for, by resource.
        demands: Vec<Demand>,
    },
    /// Grants leases, from the time at which the request was sent.
    Grant {
        /// The request that is answered.
        request: u64,
        /// The amount of each resource.
        granted: Vec<(Resource, u32)>,
        /// How long the leases last.
        duration: u32,
    },
    /// Returns all that was granted up to this request.
    Return {
        /// The last request whose grant is returned.
        request: u64,
    },
    /// Asks for a long-term allocation of the origin.
    RequestAllocation {
        /// The number of the request; rises within an incarnation.
        request: u64,
        /// The amount that is asked for.
        demand: u32,
        /// The request whose grant is in use.
        request_in_use: u64,
        /// When the allocation is to end.
        until: u64,
        /// What the sender holds already without this lender.
        held: u32,
    },
    /// Grants a long-term allocation; a duration of zero refuses it.
    Allocation {
        /// The request that is answered.
        request: u64,
        /// The amount that is granted.
        amount: u32,
        /// How long the allocation lasts.
        duration: u32,
    },
    /// Returns the long-term allocations granted up to this request.
    ReturnAllocation {
        /// The last request whose grant is returned.
        request: u64,
    },
}

/// The place of a fragment among those of a report that does not fit into one message.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fragment {
    /// Which fragment this is, from 0.
    pub index: u8,
    /// How many fragments there are.
    pub count: u8,
}

/// A node's recent attempts at one cache.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// The cache's endpoint number.
    pub cache: u64,
    /// Attempts that were answered, in whatever way.
    pub answered: f32,
    /// Attempts that were not answered.
    pub failed: f32,
    /// Attempts in flight at the time of the report.
    pub in_flight: f32,
}

/// A planner's view of a cache's health. Ages are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthStatus {
    /// The cache does not answer.
    Failing {
        /// The age of the last failure.
        ago: u64,
    },
    /// The cache was failing, and the receiver is to probe it.
    Probe {
        /// The age of the last failure.
        ago: u64,
    },
    /// The cache answers again.
    Recovered {
        /// The time since the recovery.
        ago: u64,
    },
}

/// Endpoint health between nodes and planners.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum HealthMessage {
    /// From a node: what it has seen of caches.
    Report {
        /// The number of the report; its fragments share it.
        number: u64,
        /// Which part of the report this is.
        fragment: Fragment,
        /// The counts of each cache.
        caches: Vec<AttemptCounts>,
    },
    /// From a planner: the caches that are not plainly healthy.
    Plan {
        /// The version of the plan; its fragments share it.
        version: u64,
        /// Which part of the plan this is.
        fragment: Fragment,
        /// The number of nodes that the plan rests on.
        nodes: u64,
        /// The status of caches by endpoint number.
        statuses: Vec<(u64, HealthStatus)>,
    },
}

/// The outcome of a comparison of one cache with the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// The data do not support a comparison.
    NoSupport,
    /// The cache is as good as the others.
    AsGood,
    /// The cache is worse than the others.
    Worse,
    /// The cache is better than the others.
    Better,
}

/// A comparison with its effect and the interval around it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ComparisonReport {
    /// The cache's endpoint number.
    pub cache: u64,
    /// The index of the request class in the settings.
    pub request_class: u16,
    /// The outcome.
    pub comparison: Comparison,
    /// The middle of the interval.
    pub effect: f32,
    /// Its lower end.
    pub low: f32,
    /// Its upper end.
    pub high: f32,
}

/// Counterfactual reports. The bodies of what nodes send are not decoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CounterfactualMessage {
    /// From a node: sampled requests.
    Samples,
    /// From a node: caches that started.
    Started,
    /// From a planner: effects as shares of the latency objective.
    Comparisons(Vec<ComparisonReport>),
    /// From a planner: effects as multiples of the latency.
    LatencyRatios(Vec<ComparisonReport>),
}

/// Heartbeats and notices about incarnations.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// The sender is alive.
    Heartbeat,
    /// The receiver was taken for failed under this incarnation.
    DeclaredFailed {
        /// The incarnation whose messages are ignored from now on.
        incarnation: u64,
    },
    /// A greater incarnation of the receiver was seen.
    Superseded {
        /// The older incarnation, whose messages are ignored.
        incarnation: u64,
        /// The incarnation that replaces it.
        by: u64,
    },
}

/// The endpoint number of a cache in messages, from its name in the endpoint list: FNV-1a with a final mix.
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

fn tag(secret: &[u8], signed: &[u8]) -> Option<[u8; TAG_BYTES]> {
    let mac = Hmac::<Sha256>::new_from_slice(secret).ok()?.chain_update(signed);
    mac.finalize().into_bytes().first_chunk().copied()
}

/// The part of a message that is signed, if its tag is right.
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

/// The sender of a message of any kind; `None` where it is malformed or not signed with the secret.
pub fn decode_sender(secret: &[u8], bytes: &[u8]) -> Option<Sender> {
    let signed = verified(secret, bytes)?;
    let body = signed.strip_prefix(&HEADER)?.get(1..)?;
    let (sender, _rest) = postcard::take_from_bytes(body).ok()?;
    Some(sender)
}

/// A message of this kind with its sender; `None` where it is of another kind, malformed or not signed with the secret.
pub fn decode<M: DeserializeOwned>(secret: &[u8], kind: MessageKind, bytes: &[u8]) -> Option<(Sender, M)> {
    let signed = verified(secret, bytes)?;
    let body = signed.strip_prefix(&HEADER)?.strip_prefix(&[kind as u8])?;
    postcard::from_bytes(body).ok()
}
