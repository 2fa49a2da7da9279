//! The clients' request identifiers that were used.
//!
//! A client uses a new identifier for each request, also when it retries. So an identifier is used up as soon as its
//! request was read, whatever becomes of the request: what comes under it later is a copy. Identifiers are
//! remembered as long as memory allows.
//!
//! A cache server may execute a request after its client has disconnected or was answered. A copy of a request that
//! must not be repeated would be executed a second time. So the identifier of such a request is held as soon as the
//! request is accepted, until no cache server can have executed the request, or for a time.
//!
//! Invariants: an identifier is used by at most one pending request; a held identifier is not forgotten before
//! its time, however many there are: a request whose identifier can't be held is not accepted. Other identifiers
//! take no room from held ones, and no request is refused because there are many of them.

mod id_hash;
mod used_ids;

use std::collections::VecDeque;

use granitelb_balancer::ids::{RequestClassId, RequestId};
use granitelb_balancer::settings::{Effect, Settings};
use granitelb_balancer::time::{Span, Time};

use self::id_hash::{IdHash, IdHashMap, IdHashSet, IdHasher};
use self::used_ids::UsedIds;
use super::client_request_id::ClientRequestId;

/// The share of the memory limit that held identifiers may take.
const MEMORY_DIVISOR: usize = 64;
/// The memory that a held identifier takes at most, in bytes: an entry of the map and one of the queue, both with
/// the capacity that is reserved for growth.
const BYTES_PER_HELD_ID: usize = 96;
const MIN_HELD_IDS: usize = 256;
const MAX_HELD_IDS: usize = 65_536;
/// An identifier is held for this many times the longest client timeout. A client waits that long in all, and
/// the request that it sends last may be pending for as long again.
const HOLD_TIMEOUTS: u64 = 2;

/// Why an identifier cannot be used by a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdError {
    /// A request with this identifier is pending, or waits for its turn on its connection.
    Pending,
    /// A request with this identifier must not be repeated, and may have been executed.
    Held,
    /// A request with this identifier was read before and is over.
    Used,
    /// The request must not be repeated, and no further identifier can be held now.
    NoCapacity,
}

/// Which request classes may be repeated, and how long the identifiers of the others are held.
#[derive(Clone, Debug, Default)]
pub struct RepeatPolicy {
    /// Whether requests may be repeated, by request class.
    is_repeatable: Vec<bool>,
    hold_time: Span,
}

impl RepeatPolicy {
    /// Derives the policy from the settings and the longest client timeout of all classes. Requests whose
    /// repeats are dropped only in a group and for a time are not repeatable under all circumstances, so that
    /// their identifiers are held too.
    pub fn new(settings: &Settings, longest_client_timeout: Span) -> RepeatPolicy {
        let is_repeatable = settings.request_classes.iter().map(|class| class.effect == Effect::Idempotent);
        RepeatPolicy {
            is_repeatable: is_repeatable.collect(),
            hold_time: Span(longest_client_timeout.0.saturating_mul(HOLD_TIMEOUTS)),
        }
    }

    fn is_repeatable(&self, class: RequestClassId) -> bool {
        self.is_repeatable.get(usize::from(class.0)).copied().unwrap_or(false)
    }
}

/// The identifier of a request that was read and waits for its turn on its connection.
#[derive(Debug, PartialEq, Eq)]
pub struct ReservedId {
    hash: IdHash,
}

/// A held identifier, in the order in which the requests were accepted.
struct HeldId {
    hash: IdHash,
    request: RequestId,
    held_until: Time,
}

/// The identifiers that are in use, held or used up.
///
/// Hashes stand for identifiers and bound the memory, whatever the length of the identifiers. Identifiers with the same
/// hash count as the same, which refuses a request and never repeats one.
#[derive(Default)]
pub(super) struct RequestIds {
    /// The identifiers of pending requests.
    pending: IdHashSet,
    /// The identifiers of requests that wait for their turn. As many wait as clients may send ahead.
    reserved: IdHashSet,
    /// The requests that hold an identifier.
    held: IdHashMap<RequestId>,
    /// All entries of `held`, and entries whose identifier was released.
    order: VecDeque<HeldId>,
    /// The identifiers of requests that are over and hold no identifier.
    used: UsedIds,
    hasher: IdHasher,
    policy: RepeatPolicy,
    capacity: HeldCapacity,
}

/// The number of identifiers that may be held.
struct HeldCapacity(usize);

impl Default for HeldCapacity {
    fn default() -> HeldCapacity {
        HeldCapacity(MIN_HELD_IDS)
    }
}

impl RequestIds {
    /// Sets the policy for requests that are accepted from now on.
    pub(super) fn set_policy(&mut self, policy: RepeatPolicy) {
        self.policy = policy;
    }

    /// Sets the memory limit of the node, in bytes, from which the numbers of identifiers are derived.
    pub(super) fn set_memory(&mut self, bytes: usize) {
        self.used.set_memory(bytes);
        let capacity = bytes / MEMORY_DIVISOR / BYTES_PER_HELD_ID;
        self.capacity = HeldCapacity(capacity.clamp(MIN_HELD_IDS, MAX_HELD_IDS));
    }

    /// The number of identifiers of pending requests.
    pub(super) fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Records that a request with this identifier is pending.
    ///
    /// # Errors
    ///
    /// Fails if the identifier was used before, or if it would have to be held and there is no capacity.
    pub(super) fn insert(
        &mut self,
        now: Time,
        id: &ClientRequestId,
        request: RequestId,
        class: RequestClassId,
    ) -> Result<(), RequestIdError> {
        let hash = self.check_unused(id)?;
        if !self.policy.is_repeatable(class)
            && let Err(error) = self.hold(now, hash, request)
        {
            self.used.insert(hash);
            return Err(error);
        }
        self.pending.insert(hash);
        Ok(())
    }

    /// Reserves an identifier for a request that was read and waits for its turn; `None` if it was used before.
    pub(super) fn reserve(&mut self, id: &ClientRequestId) -> Option<ReservedId> {
        let hash = self.check_unused(id).ok()?;
        self.reserved.insert(hash);
        Some(ReservedId { hash })
    }

    /// Ends a reservation, since the request has its turn, or has none as its connection has ended.
    pub(super) fn end_reservation(&mut self, reserved: &ReservedId) {
        self.reserved.remove(&reserved.hash);
    }

    /// Records that a request with this identifier was read and is not accepted, so that nothing is forwarded for it.
    ///
    /// # Errors
    ///
    /// Fails if the identifier was used before.
    pub(super) fn use_up(&mut self, id: &ClientRequestId) -> Result<(), RequestIdError> {
        let hash = self.check_unused(id)?;
        self.used.insert(hash);
        Ok(())
    }

    /// Returns the hash of an identifier that was not used before.
    fn check_unused(&self, id: &ClientRequestId) -> Result<IdHash, RequestIdError> {
        let hash = self.hasher.hash(id);
        if self.pending.contains(&hash) || self.reserved.contains(&hash) {
            return Err(RequestIdError::Pending);
        }
        if self.held.contains_key(&hash) {
            return Err(RequestIdError::Held);
        }
        if self.used.contains(hash) {
            return Err(RequestIdError::Used);
        }
        Ok(hash)
    }

    fn hold(&mut self, now: Time, hash: IdHash, request: RequestId) -> Result<(), RequestIdError> {
        self.forget_released();
        while self.held.len() >= self.capacity.0 {
            if !self.forget_oldest(now) {
                return Err(RequestIdError::NoCapacity);
            }
        }
        self.held.insert(hash, request);
        self.order.push_back(HeldId { hash, request, held_until: now + self.policy.hold_time });
        Ok(())
    }

    /// Stops holding the oldest identifier if its time is over, and returns whether it was.
    fn forget_oldest(&mut self, now: Time) -> bool {
        let Some(oldest) = self.order.front() else { return false };
        if now < oldest.held_until {
            return false;
        }
        if let Some(oldest) = self.order.pop_front() {
            self.stop_holding(oldest.hash, oldest.request);
        }
        true
    }

    /// Removes entries of released identifiers once they are as many as may be held.
    fn forget_released(&mut self) {
        if self.order.len() >= self.held.len() + self.capacity.0 {
            self.order.retain(|entry| self.held.get(&entry.hash) == Some(&entry.request));
        }
    }

    /// Stops holding an identifier if this request holds it. The identifier stays used up.
    fn stop_holding(&mut self, hash: IdHash, request: RequestId) {
        if self.held.get(&hash) == Some(&request) {
            self.held.remove(&hash);
            self.used.insert(hash);
        }
    }

    /// Records that the request with this identifier has its final response. If it must not be repeated, its
    /// identifier stays held.
    pub(super) fn on_finished(&mut self, id: &ClientRequestId) {
        let hash = self.hasher.hash(id);
        self.pending.remove(&hash);
        if !self.held.contains_key(&hash) {
            self.used.insert(hash);
        }
    }

    /// Stops holding the identifier of a request that no cache server can have executed, or will.
    pub(super) fn release(&mut self, id: &ClientRequestId, request: RequestId) {
        let hash = self.hasher.hash(id);
        self.stop_holding(hash, request);
    }
}

#[cfg(test)]
mod tests;
