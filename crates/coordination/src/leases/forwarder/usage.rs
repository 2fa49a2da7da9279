//! The balancer's usage of each resource.

use std::collections::{BTreeMap, BTreeSet};
use std::iter;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use crate::leases::demand_estimator::{DemandEstimator, UsageReporting};
use crate::leases::{Resource, Settings};
use crate::observation::{FinishedAttempt, ObservedEndpoint};

/// The assumed mean work of an attempt before any attempt has finished, in seconds.
const INITIAL_MEAN_WORK: f64 = 0.005;
/// The weight of each finished attempt in the exponential mean of the work.
const MEAN_WORK_WEIGHT: f64 = 0.05;
/// The minimum size of a cache server in calculations; it keeps divisors above zero.
const MIN_SIZE: f64 = 1e-3;

/// A cache server that is warming up.
struct WarmingCache {
    endpoint: ObservedEndpoint,
    demand: DemandEstimator,
}

/// The endpoints whose use leases limit, and the balancer's usage of each resource.
pub struct ResourceUsage {
    origins: BTreeSet<EndpointId>,
    origin_demand: DemandEstimator,
    /// The cache servers that are warming up, up to the limit of the settings. Some may have become warm
    /// since the last update.
    warming: BTreeMap<EndpointId, WarmingCache>,
    /// The mean work of an attempt at a cache server, in seconds.
    mean_work: f64,
}

impl ResourceUsage {
    /// Creates a state without endpoints.
    pub fn new(now: Time) -> ResourceUsage {
        let amount_per_attempt = Resource::Origin.amounts_per_unit();
        let reporting = UsageReporting::IncludesRejected { amount_per_attempt };
        ResourceUsage {
            origins: BTreeSet::new(),
            origin_demand: DemandEstimator::new(now, reporting),
            warming: BTreeMap::new(),
            mean_work: INITIAL_MEAN_WORK,
        }
    }

    /// Replaces the endpoints. Returns whether a warming cache server is new.
    pub fn on_endpoints_changed(
        &mut self,
        now: Time,
        endpoints: &[ObservedEndpoint],
        settings: &Settings,
    ) -> bool {
        self.origins =
            endpoints.iter().filter(|endpoint| endpoint.is_origin).map(|endpoint| endpoint.cache).collect();
        let warming = endpoints
            .iter()
            .filter(|endpoint| !endpoint.is_origin && warmup_factor(settings, now, endpoint) < 1.0)
            .take(settings.max_warming_caches);
        let mut previous = std::mem::take(&mut self.warming);
        let mut has_new = false;
        for endpoint in warming {
            let demand = match previous.remove(&endpoint.cache) {
                Some(known) => known.demand,
                None => {
                    has_new = true;
                    DemandEstimator::new(now, UsageReporting::SentOnly)
                }
            };
            self.warming.insert(endpoint.cache, WarmingCache { endpoint: *endpoint, demand });
        }
        has_new
    }

    /// Records a fetch at the origin that was sent or rejected.
    pub fn record_fetch(&mut self, amount: f64) {
        self.origin_demand.record_usage(amount);
    }

    /// Records an attempt that was sent to a cache server. Its usage is the mean work of an attempt.
    pub fn record_cache_attempt(&mut self, now: Time, endpoint: EndpointId, settings: &Settings) {
        let Some(cache) = self.warming.get_mut(&endpoint) else { return };
        // Usage is scaled as if the cache server were warm and of size 1, because leases are.
        let scale = warmup_factor(settings, now, &cache.endpoint) * cache.endpoint.size.max(MIN_SIZE);
        let amounts_per_second = Resource::WarmingCache(endpoint).amounts_per_unit();
        cache.demand.record_usage(self.mean_work * amounts_per_second / scale);
    }

    /// Updates the mean work by a finished attempt, if a cache server fulfilled it.
    pub fn record_finished_attempt(&mut self, attempt: &FinishedAttempt) {
        if attempt.is_origin || attempt.outcome != AttemptOutcome::Fulfilled {
            return;
        }
        let work = attempt.work.unwrap_or(attempt.latency).as_secs_f64();
        self.mean_work += MEAN_WORK_WEIGHT * (work - self.mean_work);
    }

    /// Removes the cache servers that have become warm.
    pub fn forget_warm_caches(&mut self, now: Time, settings: &Settings) {
        self.warming.retain(|_, cache| warmup_factor(settings, now, &cache.endpoint) < 1.0);
    }

    /// The demand estimators of all resources, in the order of the resources.
    pub fn estimators(&mut self) -> impl Iterator<Item = (Resource, &mut DemandEstimator)> {
        let warming =
            self.warming.iter_mut().map(|(id, cache)| (Resource::WarmingCache(*id), &mut cache.demand));
        iter::once((Resource::Origin, &mut self.origin_demand)).chain(warming)
    }

    /// All origins.
    pub fn origins(&self) -> &BTreeSet<EndpointId> {
        &self.origins
    }

    /// All cache servers that are tracked as warming up.
    pub fn warming_endpoints(&self) -> impl Iterator<Item = &ObservedEndpoint> {
        self.warming.values().map(|cache| &cache.endpoint)
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.origins.len() + self.warming.len()
    }
}

/// The share of its warm capacity that a cache server has now, by the time since its start; 1 for a warm one.
fn warmup_factor(settings: &Settings, now: Time, endpoint: &ObservedEndpoint) -> f64 {
    let Some(started) = endpoint.started.filter(|_| endpoint.warm_after > Span::ZERO) else { return 1.0 };
    let progress = (now - started).as_secs_f64() / endpoint.warm_after.as_secs_f64();
    settings.initial_warmup_factor + (1.0 - settings.initial_warmup_factor) * progress.min(1.0)
}
