//! A bounded store of the requests that forwarders reported and that ended within the window.
//!
//! Invariant: the stored requests depend only on which reports arrived, not on the order or repetition of
//! reports. A forwarder's report of a request is stored once, with the earliest of its times. If there are
//! too many requests, those with the lowest ranks are kept, whenever their reports arrived.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::{Span, Time};

use crate::counterfactual::sampled_request::SampledRequest;
use crate::counterfactual::sampling::sampling_rank;
use crate::member::ForwarderId;

/// Identifies a stored request. Requests are kept in the order of their keys: at capacity, the greatest are
/// removed.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    rank: u64,
    request_hash: u64,
}

/// A stored request.
pub(super) struct StoredRequest {
    /// The report, with its age set to 0.
    pub request: SampledRequest,
    /// When the request ended, by the planner's clock.
    pub ended_at: Time,
}

/// The stored requests of one forwarder.
type RequestsOfForwarder = BTreeMap<RequestKey, StoredRequest>;

/// The most requests that the store holds.
#[derive(Clone, Copy)]
pub(super) struct StoreLimits {
    /// The most requests in all.
    pub requests: usize,
    /// The most requests of one forwarder.
    pub requests_per_forwarder: usize,
}

/// The stored requests, by forwarder and rank.
pub(super) struct RequestStore {
    limits: StoreLimits,
    by_forwarder: BTreeMap<ForwarderId, RequestsOfForwarder>,
    count: usize,
    /// Only requests of a rank below this limit are stored. The limit is halved when there are too many
    /// requests.
    rank_limit: u64,
}

impl RequestStore {
    /// Creates an empty store.
    pub fn new(limits: StoreLimits) -> RequestStore {
        RequestStore { limits, by_forwarder: BTreeMap::new(), count: 0, rank_limit: u64::MAX }
    }

    /// The number of stored requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// The number of forwarders that reported any of the stored requests.
    pub fn forwarder_count(&self) -> usize {
        self.by_forwarder.len()
    }

    /// The stored requests with their forwarders.
    pub fn iter(&self) -> impl Iterator<Item = (ForwarderId, &StoredRequest)> {
        self.by_forwarder
            .iter()
            .flat_map(|(forwarder, requests)| requests.values().map(move |stored| (*forwarder, stored)))
    }

    /// The request classes of the stored requests.
    pub fn request_classes(&self) -> BTreeSet<u16> {
        self.iter().map(|(_, stored)| stored.request.request_class).collect()
    }

    /// Whether at least `count` forwarders reported a request that they sent first to the cache.
    pub fn is_chosen_by_forwarders(&self, cache: u64, count: usize) -> bool {
        let has_chosen = |requests: &&RequestsOfForwarder| {
            requests.values().any(|stored| stored.request.chosen_cache() == cache)
        };
        self.by_forwarder.values().filter(has_chosen).take(count).count() == count
    }

    /// Stores a request that ended at `ended_at`.
    pub fn insert(&mut self, forwarder: ForwarderId, mut request: SampledRequest, ended_at: Time) {
        let rank = sampling_rank(request.request_hash);
        if rank >= self.rank_limit {
            return;
        }
        request.age_ms = 0;
        let key = RequestKey { rank, request_hash: request.request_hash };
        let forwarder_requests = self.by_forwarder.entry(forwarder).or_default();
        if let Some(stored) = forwarder_requests.get_mut(&key) {
            stored.ended_at = stored.ended_at.min(ended_at);
            return;
        }
        forwarder_requests.insert(key, StoredRequest { request, ended_at });
        self.count += 1;
        // The limit bounds the part of the store that a forwarder can fill with a flood of requests, or with
        // false ones.
        if forwarder_requests.len() > self.limits.requests_per_forwarder {
            forwarder_requests.pop_last();
            self.count -= 1;
        }
        while self.count > self.limits.requests && self.rank_limit > 1 {
            self.rank_limit /= 2;
            let rank_limit = self.rank_limit;
            self.retain_keyed(|key, _| key.rank < rank_limit);
        }
    }

    /// Removes requests that are older than the window, and doubles the rank limit if less than a quarter of
    /// the capacity is used, so that more requests are stored again.
    pub fn expire(&mut self, now: Time, window: Span) {
        const MOSTLY_EMPTY_DIVISOR: usize = 4;
        self.retain(|stored| now - stored.ended_at <= window);
        if self.count < self.limits.requests / MOSTLY_EMPTY_DIVISOR {
            self.rank_limit = self.rank_limit.saturating_mul(2);
        }
    }

    /// Retains only the requests for which the predicate holds.
    pub fn retain(&mut self, predicate: impl Fn(&StoredRequest) -> bool) {
        self.retain_keyed(|_, stored| predicate(stored));
    }

    fn retain_keyed(&mut self, predicate: impl Fn(&RequestKey, &StoredRequest) -> bool) {
        self.by_forwarder.retain(|_, requests| {
            requests.retain(|key, stored| predicate(key, stored));
            !requests.is_empty()
        });
        self.count = self.by_forwarder.values().map(BTreeMap::len).sum();
    }

    /// Removes all requests.
    pub fn clear(&mut self) {
        self.by_forwarder.clear();
        self.count = 0;
    }
}
