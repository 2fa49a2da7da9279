//! The settings of the lease component, and the quantities that are computed from them.

use std::collections::BTreeSet;

use granitelb_balancer::time::Span;

use super::{LeaseError, Resource};
use crate::component::HEARTBEAT_INTERVAL;
use crate::member::PlannerId;

/// The number of thousandths in a whole.
const PER_MILLE: u32 = 1000;
/// The upper limit on [`Settings::max_duration`], which a planner that starts waits out before it grants
/// anything.
const MAX_DURATION_LIMIT: Span = Span::from_millis(60_000);

/// The settings of the lease component. All members of a fleet must have the same ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Fetches a second that the origin can serve, in thousandths.
    pub origin_capacity: u32,
    /// Work that a warm cache server of size 1 can do, in millionths of a second of work a second.
    pub warming_cache_capacity: u32,
    /// Thousandths of each capacity that are divided into guaranteed shares, which never expire.
    pub guaranteed_per_mille: u32,
    /// Thousandths of the origin's capacity that are granted as long-term allocations; 0 disables long-term
    /// allocations.
    pub long_term_per_mille: u32,
    /// How long a long-term allocation lasts. The duration must be the same at all members at all times,
    /// because a planner that starts waits this long before it increases any allocation.
    pub long_term_duration: Span,
    /// The maximum number of forwarders that run at a time.
    pub forwarder_count: u32,
    /// All planners of the fleet.
    pub planners: BTreeSet<PlannerId>,
    /// How long a lease to a forwarder lasts.
    pub lease_duration: Span,
    /// How long a loan to another planner lasts.
    pub loan_duration: Span,
    /// An upper bound on every lease and loan duration that was ever set. A planner that starts waits this
    /// long, plus a margin, before it grants anything.
    pub max_duration: Span,
    /// The maximum difference between the rates of two clocks, in thousandths.
    pub clock_drift_per_mille: u32,
    /// A fixed margin that is added to the margin for clock drift.
    pub clock_margin: Span,
    /// The interval between two requests of a member.
    pub request_interval: Span,
    /// How long a planner uses its targets before it recomputes them.
    pub target_refresh_interval: Span,
    /// The share of its warm capacity that a cache server has when it starts, from 0 to 1.
    pub initial_warmup_factor: f64,
    /// The maximum number of warming cache servers that are tracked.
    pub max_warming_caches: usize,
    /// The maximum number of claims in one ledger.
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

    /// Each forwarder's guaranteed share, in the resource's amounts. It is rounded down, so that the sum of
    /// all shares is within the guaranteed part.
    pub fn guaranteed_share(&self, resource: Resource) -> u32 {
        let guaranteed = per_mille_of(self.capacity(resource), self.guaranteed_per_mille);
        (guaranteed / u64::from(self.forwarder_count.max(1))) as u32
    }

    /// Each planner's escrow, in the resource's amounts: its part of the capacity that remains without the
    /// guaranteed shares and the long-term allocations.
    pub fn escrow(&self, resource: Resource) -> u32 {
        let guaranteed = u64::from(self.guaranteed_share(resource)) * u64::from(self.forwarder_count.max(1));
        let taken = guaranteed + self.long_term_capacity(resource);
        let remaining = u64::from(self.capacity(resource)).saturating_sub(taken);
        (remaining / self.planner_count()) as u32
    }

    /// Each planner's long-term escrow, in thousandths of a fetch a second: its part of the capacity for
    /// long-term allocations.
    pub fn long_term_escrow(&self) -> u32 {
        (self.long_term_capacity(Resource::Origin) / self.planner_count()) as u32
    }

    /// How long a grantor counts a grant that its holder may use for `duration`: the duration plus the
    /// margins for clock drift.
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
        // A lease is granted from a loan only if the loan lasts at least as long as the lease, so a shorter
        // loan is useless.
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
