//! The start times of caches. Requests that a cache served before its start tell nothing about the cache now.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

/// The last start of each cache, within the window.
#[derive(Default)]
pub(super) struct CacheStarts {
    by_cache: BTreeMap<u64, Time>,
}

impl CacheStarts {
    /// The number of caches that are tracked.
    pub fn len(&self) -> usize {
        self.by_cache.len()
    }

    /// Records a start of a cache. Returns whether the start is new and was recorded. A start no
    /// more than `tolerance` later than the known one is not new, since forwarders report slightly different
    /// times for one start. If `capacity` caches are tracked, no other cache is added.
    pub fn record(&mut self, cache: u64, started_at: Time, tolerance: Span, capacity: usize) -> bool {
        let known = self.by_cache.get(&cache).copied();
        let is_known = known.is_some_and(|known| started_at <= known + tolerance);
        let is_full = known.is_none() && self.by_cache.len() >= capacity;
        if is_known || is_full {
            return false;
        }
        self.by_cache.insert(cache, started_at);
        true
    }

    /// Whether the cache started after `at`.
    pub fn started_after(&self, cache: u64, at: Time) -> bool {
        self.by_cache.get(&cache).is_some_and(|started_at| at < *started_at)
    }

    /// Removes starts that are older than the window.
    pub fn expire(&mut self, now: Time, window: Span) {
        self.by_cache.retain(|_, started_at| now - *started_at <= window);
    }
}
