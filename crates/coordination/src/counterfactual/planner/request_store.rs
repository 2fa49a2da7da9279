//! The requests that forwarders reported within the window, within bounds.
//!
//! Invariant: what is stored depends only on which reports arrived, not on their order or repetition. A forwarder's report of a
//! request is stored once, with the earlier of its times; and of too many those of the lowest ranks stay, whenever they arrived.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::{Span, Time};

use crate::counterfactual::sampled_request::SampledRequest;
use crate::counterfactual::sampling::sampling_rank;
use crate::member::ForwarderId;

/// A request's place in the order by which the store is thinned out.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RequestKey {
    rank: u64,
    request_hash: u64,
}

/// A request as it is stored.
pub(super) struct StoredRequest {
    /// The report, with an age of 0.
    pub request: SampledRequest,
    /// When the request ended, by the planner's clock.
    pub ended_at: Time,
}

type RequestsOfForwarder = BTreeMap<RequestKey, StoredRequest>;

/// The bounds of the store.
#[derive(Clone, Copy)]
pub(super) struct StoreLimits {
    pub requests: usize,
    pub requests_per_forwarder: usize,
}

/// The stored requests, by forwarder and rank.
pub(super) struct RequestStore {
    limits: StoreLimits,
    by_forwarder: BTreeMap<ForwarderId, RequestsOfForwarder>,
    count: usize,
    /// Requests whose rank is not below this are left out; it halves when there are too many.
    rank_limit: u64,
}

impl RequestStore {
    /// An empty store.
    pub fn new(limits: StoreLimits) -> RequestStore {
        RequestStore { limits, by_forwarder: BTreeMap::new(), count: 0, rank_limit: u64::MAX }
    }

    /// How many requests are stored.
    pub fn len(&self) -> usize {
        self.count
    }

    /// How many forwarders reported any of them.
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

    /// Whether at least `count` forwarders reported a request that they sent to the cache.
    pub fn is_chosen_by(&self, cache: u64, count: usize) -> bool {
        let chose = |requests: &&RequestsOfForwarder| {
            requests.values().any(|stored| stored.request.chosen_cache() == cache)
        };
        self.by_forwarder.values().filter(chose).take(count).count() == count
    }

    /// Stores a request that ended at `ended_at`.
    pub fn insert(&mut self, forwarder: ForwarderId, mut request: SampledRequest, ended_at: Time) {
        let rank = sampling_rank(request.request_hash);
        if rank >= self.rank_limit {
            return;
        }
        request.age_ms = 0;
        let key = RequestKey { rank, request_hash: request.request_hash };
        let of_forwarder = self.by_forwarder.entry(forwarder).or_default();
        if let Some(known) = of_forwarder.get_mut(&key) {
            known.ended_at = known.ended_at.min(ended_at);
            return;
        }
        of_forwarder.insert(key, StoredRequest { request, ended_at });
        self.count += 1;
        // A forwarder that floods, or lies, has a bounded part of the store.
        if of_forwarder.len() > self.limits.requests_per_forwarder {
            of_forwarder.pop_last();
            self.count -= 1;
        }
        while self.count > self.limits.requests && self.rank_limit > 1 {
            self.rank_limit /= 2;
            let rank_limit = self.rank_limit;
            self.retain_keyed(|key, _| key.rank < rank_limit);
        }
    }

    /// Removes requests that are older than the window, and takes in more of them again if there is capacity.
    pub fn expire(&mut self, now: Time, window: Span) {
        const MIN_LOAD_DIVISOR: usize = 4;
        self.retain(|stored| now - stored.ended_at <= window);
        if self.count < self.limits.requests / MIN_LOAD_DIVISOR {
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
