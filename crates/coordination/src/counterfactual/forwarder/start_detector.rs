//! Detects starts of caches in the endpoint list, so that each is reported once.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::time::{Span, Time};

use super::age_ms;
use crate::counterfactual::message::CacheStart;
use crate::observation::ObservedEndpoint;

/// A start of a cache that is not reported yet.
struct UnreportedStart {
    cache: u64,
    started_at: Time,
}

/// The known starts of caches, and those that are not reported yet.
#[derive(Default)]
pub(super) struct StartDetector {
    /// The last start of each cache of the endpoint list.
    known_starts: BTreeMap<u64, Time>,
    unreported: VecDeque<UnreportedStart>,
}

impl StartDetector {
    /// Whether all starts are reported.
    pub fn are_all_reported(&self) -> bool {
        self.unreported.is_empty()
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.known_starts.len() + self.unreported.len()
    }

    /// The number of starts that are not reported yet.
    pub fn unreported_count(&self) -> usize {
        self.unreported.len()
    }

    /// Handles a new endpoint list, of which only the first `capacity` caches are tracked. The list states a
    /// start by its age, which varies a little: a start is new only if it is more than `tolerance` later than
    /// the known one.
    pub fn on_endpoints(&mut self, endpoints: &[ObservedEndpoint], capacity: usize, tolerance: Span) {
        let mut starts = BTreeMap::new();
        for endpoint in endpoints.iter().filter(|endpoint| !endpoint.is_origin).take(capacity) {
            let Some(started_at) = endpoint.started else { continue };
            let cache = endpoint.cache.0;
            let known = self.known_starts.get(&cache).copied();
            let same_start = known.filter(|known| started_at - *known <= tolerance);
            if same_start.is_none() {
                self.unreported.push_back(UnreportedStart { cache, started_at });
            }
            starts.insert(cache, same_start.unwrap_or(started_at));
        }
        self.known_starts = starts;
        let excess = self.unreported.len().saturating_sub(capacity);
        self.unreported.drain(..excess);
    }

    /// Removes the `count` oldest unreported starts and returns them with their ages at `now`.
    pub fn take(&mut self, now: Time, count: usize) -> Vec<CacheStart> {
        let taken = self.unreported.drain(..count);
        taken.map(|start| CacheStart { cache: start.cache, age_ms: age_ms(now, start.started_at) }).collect()
    }
}
