//! A forwarder's long-term allocations, one from each planner.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use crate::leases::holdings::{MAX_PENDING_REQUESTS, PendingRequest};
use crate::leases::{LeaseError, LongTermRequest, PlannerIncarnation};
use crate::member::{Incarnation, PlannerId};

/// The interval between requests to a planner. It is much shorter than an allocation's duration, so that one
/// request is answered in time even if most messages are lost.
pub const REQUEST_INTERVAL: Span = Span::from_millis(1000);
/// The part at the end of an allocation's duration in which its usable amount falls linearly to zero.
const RAMP_DOWN_FRACTION: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Allocation {
    incarnation: Incarnation,
    request_id: u64,
    amount: u32,
    requested_at: Time,
    expires_at: Time,
    /// The number of the last request whose grant the balancer was notified of. Until the next notification
    /// the balancer may use that grant.
    request_in_use: u64,
}

impl Allocation {
    fn is_live(&self, now: Time) -> bool {
        self.expires_at > now
    }

    /// The amount that may be used now: the whole amount, or linearly less in the last part of the duration.
    fn usable(&self, now: Time) -> u32 {
        let remaining = (self.expires_at - now).as_secs_f64();
        let duration = (self.expires_at - self.requested_at).as_secs_f64();
        let ramp = (remaining / (duration * RAMP_DOWN_FRACTION)).min(1.0);
        (f64::from(self.amount) * ramp) as u32
    }
}

/// A forwarder's long-term allocations, one from each planner, and its pending requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LongTermAllocations {
    last_request_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    allocations: BTreeMap<PlannerId, Allocation>,
    incarnations: BTreeMap<PlannerId, Incarnation>,
}

impl LongTermAllocations {
    /// Records that a planner sent a message under this incarnation.
    pub fn on_planner_message(&mut self, from: PlannerIncarnation) {
        let known = self.incarnations.entry(from.planner).or_insert(from.incarnation);
        *known = from.incarnation.max(*known);
    }

    /// Returns a new request to the planner. `demand` is in thousandths of a fetch a second.
    pub fn request(&mut self, now: Time, planner: PlannerId, demand: u32) -> LongTermRequest {
        self.last_request_id += 1;
        self.pending.insert(self.last_request_id, PendingRequest { planner, sent_at: now });
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        let allocation = self.allocations.get(&planner).filter(|allocation| allocation.is_live(now));
        LongTermRequest {
            request_id: self.last_request_id,
            demand,
            request_in_use: allocation.map_or(0, |allocation| allocation.request_in_use),
            planner_incarnation: self.incarnations.get(&planner).copied().unwrap_or(Incarnation(0)),
            already_held: allocation.map_or(0, |allocation| allocation.amount),
        }
    }

    /// Records a grant, which replaces the previous allocation from its planner. It lasts for `duration` from
    /// when the request that it answers was sent.
    ///
    /// Returns the reason if the grant is ignored.
    pub fn on_grant(
        &mut self,
        now: Time,
        from: PlannerIncarnation,
        request_id: u64,
        amount: u32,
        duration: Span,
    ) -> Result<(), LeaseError> {
        let PlannerIncarnation { planner, incarnation } = from;
        if self.incarnations.get(&planner).is_some_and(|known| *known > incarnation) {
            return Err(LeaseError::Outdated);
        }
        let request = self.pending.get(&request_id).filter(|request| request.planner == planner);
        let Some(PendingRequest { sent_at, .. }) = request.copied() else {
            return Err(LeaseError::UnsolicitedGrant);
        };
        self.on_planner_message(from);
        self.pending.retain(|id, other| other.planner != planner || *id > request_id);
        let replaced = self.allocations.get(&planner).filter(|allocation| allocation.is_live(now));
        let allocation = Allocation {
            incarnation,
            request_id,
            amount,
            requested_at: sent_at,
            expires_at: sent_at + duration,
            request_in_use: replaced.map_or(0, |allocation| allocation.request_in_use),
        };
        self.allocations.insert(planner, allocation);
        self.expire(now);
        Ok(())
    }

    /// Removes the allocations that have expired.
    pub fn expire(&mut self, now: Time) {
        self.allocations.retain(|_, allocation| allocation.is_live(now));
    }

    /// Records that the balancer uses the allocations that are held now.
    pub fn mark_applied(&mut self) {
        for allocation in self.allocations.values_mut() {
            allocation.request_in_use = allocation.request_id;
        }
    }

    /// The amount that may be used now, in thousandths of a fetch a second.
    pub fn usable(&self, now: Time) -> u32 {
        self.live(now).fold(0, |sum, allocation| sum.saturating_add(allocation.usable(now)))
    }

    /// The granted amount that has not expired, in thousandths of a fetch a second. The linear decrease at
    /// the end is not applied.
    pub fn granted(&self, now: Time) -> u32 {
        self.live(now).fold(0, |sum, allocation| sum.saturating_add(allocation.amount))
    }

    /// The time at which the first of the allocations expires.
    pub fn first_expiry(&self, now: Time) -> Option<Time> {
        self.live(now)
            .filter(|allocation| allocation.amount > 0)
            .map(|allocation| allocation.expires_at)
            .min()
    }

    fn live(&self, now: Time) -> impl Iterator<Item = &Allocation> {
        self.allocations.values().filter(move |allocation| allocation.is_live(now))
    }

    /// Gives up all allocations, including those that pending requests may yet be granted. Returns the
    /// planners that must be notified, and the last request.
    pub fn release_all(&mut self) -> ReleasedAllocations {
        let mut planners: Vec<_> = self.allocations.keys().copied().collect();
        planners.extend(self.pending.values().map(|request| request.planner));
        planners.sort_unstable();
        planners.dedup();
        self.allocations.clear();
        self.pending.clear();
        ReleasedAllocations { planners, last_request_id: self.last_request_id }
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.pending.len() + self.allocations.len() + self.incarnations.len()
    }
}

/// What a forwarder must report to planners when it releases its long-term allocations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedAllocations {
    /// The planners whose allocations were held or requested.
    pub planners: Vec<PlannerId>,
    /// The number of the last request whose grant is released.
    pub last_request_id: u64,
}
