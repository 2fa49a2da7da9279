//! Limits how many messages a planner reads from each sender.
//!
//! Handling a message is expensive: its authentication tag is computed, a component processes it, and a
//! message that must not be shed delays all messages behind it. A flood from one sender must not prevent
//! messages of other senders from being read. The limits are token buckets:
//!
//! - **Before authentication**, by source address: [`MEMBER_RATE_PER_S`] for a known address, from which a
//!   member's message was received recently, [`UNKNOWN_ADDRESS_RATE_PER_S`] for any other address, and
//!   [`UNKNOWN_TOTAL_RATE_PER_S`] for all other addresses together. A known address has its own token bucket,
//!   which unknown senders can't drain.
//! - **After authentication**, by the member that signed the message: [`MEMBER_RATE_PER_S`] for the messages
//!   of one member from all addresses.
//!
//! A message over a limit is dropped, which is equivalent to its loss in the network; every component
//! tolerates such losses. An address becomes known only by a message that was signed and not received before,
//! so that a replayed message makes no address known.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};
use granitelb_coordination::Member;
use granitelb_coordination::component::Remediation;
use thiserror::Error;

use super::token_bucket::TokenBucket;

/// The limit for one member, in messages a second, and the size of its burst, in messages. A forwarder in a
/// fleet of 2,000 cache servers sends some hundreds a second.
const MEMBER_RATE_PER_S: f64 = 1000.0;
/// The limit for one unknown address, in messages a second. The limit suffices to receive one message of a
/// new member, even over a network that loses half of the messages.
const UNKNOWN_ADDRESS_RATE_PER_S: f64 = 20.0;
/// The limit for all unknown addresses together, in messages a second. All forwarders that a planner tracks
/// may start at the same time.
const UNKNOWN_TOTAL_RATE_PER_S: f64 = 5000.0;
/// The maximum number of unknown addresses with a bucket of their own. Further unknown addresses are limited
/// only by [`UNKNOWN_TOTAL_RATE_PER_S`].
const MAX_UNKNOWN_ADDRESSES: usize = 1024;
/// The maximum number of known addresses, and also of members, that are tracked.
const MAX_KNOWN: usize = 8192;
/// The time without a member's message after which a known address is unknown again.
const KNOWN_ADDRESS_EXPIRY: Span = Span::from_millis(10_000);
/// The interval at which addresses and members without recent messages are removed.
const REMOVAL_INTERVAL: Span = Span::from_millis(1000);
/// The time after which an unused bucket is full again. It equals a new bucket then, and is removed.
const BUCKET_REFILL_TIME: Span = Span::from_millis(1000);

/// The limit that a message exceeds, for which it is dropped before it is processed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RateLimitError {
    /// A known address sends more messages than a member does.
    #[error("the address {0} sends more messages in a second than a member does")]
    Address(SocketAddr),
    /// Unknown addresses, from which no member's message was received recently, send too many messages.
    #[error("addresses that no known member uses send too many messages; the last address is {0}")]
    UnknownAddresses(SocketAddr),
    /// One member signed too many messages, over all addresses.
    #[error("{0} signs more messages in a second than a member sends")]
    Member(Member),
}

impl RateLimitError {
    /// The stable name under which the log counts this error.
    pub fn name(&self) -> &'static str {
        match self {
            RateLimitError::Address(_) => "flood",
            RateLimitError::UnknownAddresses(_) => "flood_of_strangers",
            RateLimitError::Member(_) => "flood_of_member",
        }
    }
}

impl Remediation for RateLimitError {
    fn remediation(&self) -> &'static str {
        match self {
            RateLimitError::Address(_) | RateLimitError::UnknownAddresses(_) => {
                "Find out who sends from there, and close the planner's port to all addresses but those of members. \
                 Known members are not affected; new members may take some seconds to join."
            }
            RateLimitError::Member(_) => {
                "Find the process that runs under this name and stop it; if the process is no member of this fleet, \
                 rotate the secret."
            }
        }
    }
}

/// An address from which a member's message was received recently.
struct KnownAddress {
    bucket: TokenBucket,
    last_heard_at: Time,
}

/// The token buckets of a planner's socket.
pub(super) struct IngressLimiter {
    known_addresses: BTreeMap<SocketAddr, KnownAddress>,
    unknown_addresses: BTreeMap<SocketAddr, TokenBucket>,
    unknown_total: TokenBucket,
    members: BTreeMap<Member, TokenBucket>,
    last_removal_at: Time,
}

impl IngressLimiter {
    pub(super) fn new(now: Time) -> IngressLimiter {
        IngressLimiter {
            known_addresses: BTreeMap::new(),
            unknown_addresses: BTreeMap::new(),
            unknown_total: TokenBucket::full(now, UNKNOWN_TOTAL_RATE_PER_S),
            members: BTreeMap::new(),
            last_removal_at: now,
        }
    }

    /// Admits a datagram by its source address, before the datagram is authenticated.
    ///
    /// # Errors
    /// Returns the limit that the datagram exceeds.
    pub(super) fn admit_address(&mut self, now: Time, from: SocketAddr) -> Result<(), RateLimitError> {
        self.remove_unused(now);
        if let Some(known) = self.known_addresses.get_mut(&from) {
            if known.bucket.try_take(now) {
                return Ok(());
            }
            return Err(RateLimitError::Address(from));
        }
        if self.admit_unknown_address(now, from) && self.unknown_total.try_take(now) {
            return Ok(());
        }
        Err(RateLimitError::UnknownAddresses(from))
    }

    fn admit_unknown_address(&mut self, now: Time, from: SocketAddr) -> bool {
        if let Some(bucket) = self.unknown_addresses.get_mut(&from) {
            return bucket.try_take(now);
        }
        if self.unknown_addresses.len() >= MAX_UNKNOWN_ADDRESSES {
            return true;
        }
        let mut bucket = TokenBucket::full(now, UNKNOWN_ADDRESS_RATE_PER_S);
        let is_admitted = bucket.try_take(now);
        self.unknown_addresses.insert(from, bucket);
        is_admitted
    }

    /// Admits an authenticated message by the member that signed it.
    ///
    /// # Errors
    /// Returns the limit that the message exceeds.
    pub(super) fn admit_member(&mut self, now: Time, member: Member) -> Result<(), RateLimitError> {
        if self.members.len() >= MAX_KNOWN && !self.members.contains_key(&member) {
            // Membership has no capacity for so many members either, and rejects and counts the message.
            return Ok(());
        }
        let bucket = self.members.entry(member).or_insert_with(|| TokenBucket::full(now, MEMBER_RATE_PER_S));
        if bucket.try_take(now) { Ok(()) } else { Err(RateLimitError::Member(member)) }
    }

    /// Marks an address as known after it sent an authentic message that was not received before.
    pub(super) fn on_message(&mut self, now: Time, from: SocketAddr) {
        self.unknown_addresses.remove(&from);
        if let Some(known) = self.known_addresses.get_mut(&from) {
            known.last_heard_at = now;
            return;
        }
        if self.known_addresses.len() < MAX_KNOWN {
            let bucket = TokenBucket::full(now, MEMBER_RATE_PER_S);
            self.known_addresses.insert(from, KnownAddress { bucket, last_heard_at: now });
        }
    }

    /// Removes addresses and members whose state equals that of new ones.
    fn remove_unused(&mut self, now: Time) {
        if now - self.last_removal_at < REMOVAL_INTERVAL {
            return;
        }
        self.last_removal_at = now;
        self.unknown_addresses.retain(|_, bucket| now - bucket.last_used_at() < BUCKET_REFILL_TIME);
        self.members.retain(|_, bucket| now - bucket.last_used_at() < BUCKET_REFILL_TIME);
        self.known_addresses.retain(|_, known| now - known.last_heard_at < KNOWN_ADDRESS_EXPIRY);
    }
}

#[cfg(test)]
mod tests;
