//! The settings of the lease component, and the quantities that follow from them.

use std::collections::BTreeSet;

use granitelb_balancer::time::Span;

use super::{LeaseError, Resource};
use crate::component::HEARTBEAT_INTERVAL;
use crate::member::PlannerId;

/// A whole, where parts are given in thousandths.
const PER_MILLE: u32 = 1000;
/// No lease or loan may last longer: a planner that starts has to wait this out.
const MAX_DURATION_LIMIT: Span = Span::from_millis(60_000);

/// The settings of the lease component. All members of a fleet must have the same ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Fetches a second that the origin can serve, in thousandths.
    pub origin_capacity: u32,
    /// Work a second that a warm cache server of size 1 can do, in millionths of a second.
    pub warming_cache_capacity: u32,
    /// Thousandths of each capacity that are divided into guaranteed shares, which never expire.
    pub guaranteed_per_mille: u32,
    /// Thousandths of the origin's capacity that are handed out as long-term allocations; 0 turns these off.
    pub long_term_per_mille: u32,
    /// How long a long-term allocation lasts. It has to be the same at all members at all times, because it is what a
    /// planner that starts waits out.
    pub long_term_duration: Span,
    /// The greatest number of forwarders that are ever up.
    pub forwarder_count: u32,
    /// All planners.
    pub planners: BTreeSet<PlannerId>,
    /// How long a lease to a forwarder lasts.
    pub lease_duration: Span,
    /// How long a loan to another planner lasts.
    pub loan_duration: Span,
    /// No lease or loan was ever set to last longer: a planner that starts waits this out.
    pub max_duration: Span,
    /// Thousandths by which the rates of two clocks may differ.
    pub clock_drift_per_mille: u32,
    /// A fixed margin on top of the clock drift.
    pub clock_margin: Span,
    /// The interval between requests.
    pub request_interval: Span,
    /// How long a planner uses its targets before it computes them anew.
    pub target_refresh_interval: Span,
    /// The share of its capacity that a cache server has when it starts.
    pub initial_warmup_factor: f64,
    /// The greatest number of warming cache servers that are tracked.
    pub max_warming_caches: usize,
    /// The greatest number of claims in one ledger.
    pub max_claims: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            origin_capacity: 100_000,
            warming_cache_capacity: 1_000_000,
            guaranteed_per_mille: 250,
            long_term_per_mille: 0,
            long_term_duration: Span::from_millis(20_000),
            forwarder_count: 300,
            planners: BTreeSet::from([PlannerId(1)]),
            lease_duration: Span::from_millis(2000),
            loan_duration: Span::from_millis(4000),
            max_duration: Span::from_millis(5000),
            clock_drift_per_mille: 10,
            clock_margin: Span::from_millis(50),
            request_interval: HEARTBEAT_INTERVAL,
            target_refresh_interval: Span::from_millis(100),
            initial_warmup_factor: 0.25,
            max_warming_caches: 256,
            max_claims: 4096,
        }
    }
}

impl Settings {
    /// The capacity of a resource, in the resource's amounts.
    pub fn capacity(&self, resource: Resource) -> u32 {
        match resource {
            Resource::Origin => self.origin_capacity,
            Resource::WarmingCache(_) => self.warming_cache_capacity,
        }
    }

    /// Each forwarder's guaranteed share. It is rounded down, so that the sum of all shares is within the guaranteed part.
    pub fn guaranteed_share(&self, resource: Resource) -> u32 {
        let guaranteed = per_mille_of(self.capacity(resource), self.guaranteed_per_mille);
        (guaranteed / u64::from(self.forwarder_count.max(1))) as u32
    }

    /// Each planner's escrow: its part of what neither guaranteed shares nor long-term allocations take.
    pub fn escrow(&self, resource: Resource) -> u32 {
        let guaranteed = u64::from(self.guaranteed_share(resource)) * u64::from(self.forwarder_count.max(1));
        let taken = guaranteed + self.long_term_capacity(resource);
        let remaining = u64::from(self.capacity(resource)).saturating_sub(taken);
        (remaining / self.planner_count()) as u32
    }

    /// Each planner's long-term escrow: its part of what is handed out as long-term allocations.
    pub fn long_term_escrow(&self) -> u32 {
        (self.long_term_capacity(Resource::Origin) / self.planner_count()) as u32
    }

    /// How long a grantor counts a grant that lasts for `duration` at its holder.
    pub fn grantor_duration(&self, duration: Span) -> Span {
        let drift = Span(duration.0 * u64::from(self.clock_drift_per_mille) / u64::from(PER_MILLE));
        duration + drift + self.clock_margin
    }

    /// Checks that the settings are consistent.
    ///
    /// # Errors
    /// Returns the first group of settings that contradict each other.
    pub fn check(&self) -> Result<(), LeaseError> {
        if self.planners.is_empty() || self.forwarder_count == 0 {
            return Err(LeaseError::NoMembers);
        }
        if self.guaranteed_per_mille > PER_MILLE
            || self.long_term_per_mille > PER_MILLE - self.guaranteed_per_mille
        {
            return Err(LeaseError::SharesExceedCapacity);
        }
        let exceeds_maximum =
            self.lease_duration > self.max_duration || self.loan_duration > self.max_duration;
        // A loan that is shorter than the leases granted from it would never be of use.
        let is_loan_too_short = self.loan_duration <= self.grantor_duration(self.lease_duration);
        if self.max_duration > MAX_DURATION_LIMIT
            || exceeds_maximum
            || self.lease_duration == Span::ZERO
            || is_loan_too_short
        {
            return Err(LeaseError::InvalidDurations);
        }
        Ok(())
    }

    fn long_term_capacity(&self, resource: Resource) -> u64 {
        match resource {
            Resource::Origin => per_mille_of(self.origin_capacity, self.long_term_per_mille),
            Resource::WarmingCache(_) => 0,
        }
    }

    fn planner_count(&self) -> u64 {
        self.planners.len().max(1) as u64
    }
}

fn per_mille_of(capacity: u32, per_mille: u32) -> u64 {
    u64::from(capacity) * u64::from(per_mille.min(PER_MILLE)) / u64::from(PER_MILLE)
}
