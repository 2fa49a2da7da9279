//! Starts of caches, as the endpoint list shows them, each reported once.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::time::{Span, Time};

use super::age_ms;
use crate::counterfactual::message::CacheStart;
use crate::observation::ObservedEndpoint;

struct UnreportedStart {
    cache: u64,
    started_at: Time,
}

#[derive(Default)]
pub(super) struct StartDetector {
    /// The start of each cache of the endpoint list.
    known: BTreeMap<u64, Time>,
    unreported: VecDeque<UnreportedStart>,
}

impl StartDetector {
    /// Whether no start waits to be reported.
    pub fn is_idle(&self) -> bool {
        self.unreported.is_empty()
    }

    /// How many entries are held.
    pub fn entries(&self) -> usize {
        self.known.len() + self.unreported.len()
    }

    /// How many starts wait to be reported.
    pub fn unreported(&self) -> usize {
        self.unreported.len()
    }

    /// Takes in the endpoint list, of which the first `capacity` caches count. The list gives a start by its age, which
    /// varies a little: starts within `tolerance` of each other are the same.
    pub fn on_endpoints(&mut self, endpoints: &[ObservedEndpoint], capacity: usize, tolerance: Span) {
        let mut starts = BTreeMap::new();
        for endpoint in endpoints.iter().filter(|endpoint| !endpoint.is_origin).take(capacity) {
            let Some(started_at) = endpoint.started else { continue };
            let cache = endpoint.cache.0;
            let known = self.known.get(&cache).copied();
            let same = known.filter(|known| started_at - *known <= tolerance);
            if same.is_none() {
                self.unreported.push_back(UnreportedStart { cache, started_at });
            }
            starts.insert(cache, same.unwrap_or(started_at));
        }
        self.known = starts;
        let excess = self.unreported.len().saturating_sub(capacity);
        self.unreported.drain(..excess);
    }

    /// Removes the oldest unreported starts, with their ages as of now.
    pub fn take(&mut self, now: Time, count: usize) -> Vec<CacheStart> {
        let taken = self.unreported.drain(..count);
        taken.map(|start| CacheStart { cache: start.cache, age_ms: age_ms(now, start.started_at) }).collect()
    }
}
