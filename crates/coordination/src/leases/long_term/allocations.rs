//! A forwarder's long-term allocations, one of each planner.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use crate::leases::holdings::{MAX_PENDING_REQUESTS, PendingRequest};
use crate::leases::{LeaseError, LongTermRequest, PlannerIncarnation};
use crate::member::{Incarnation, PlannerId};

/// The interval between requests. It is short against the duration of an allocation: one request is answered in time even
/// if most messages are lost.
pub const REQUEST_INTERVAL: Span = Span::from_millis(1000);
/// The last part of an allocation's duration, in which it falls to nothing.
const RAMP_DOWN_FRACTION: f64 = 0.25;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Allocation {
    incarnation: Incarnation,
    request_id: u64,
    amount: u32,
    requested_at: Time,
    expires_at: Time,
    /// The last request whose grant the balancer was notified of. Until the next notification it may use that grant.
    request_in_use: u64,
}

impl Allocation {
    fn is_live(&self, now: Time) -> bool {
        self.expires_at > now
    }

    /// What may be used now: all of the amount, and linearly less in the last part of the duration.
    fn usable(&self, now: Time) -> u32 {
        let remaining = (self.expires_at - now).as_secs_f64();
        let duration = (self.expires_at - self.requested_at).as_secs_f64();
        let ramp = (remaining / (duration * RAMP_DOWN_FRACTION)).min(1.0);
        (f64::from(self.amount) * ramp) as u32
    }
}

/// A forwarder's long-term allocations, one of each planner, and its pending requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct LongTermAllocations {
    last_request_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    allocations: BTreeMap<PlannerId, Allocation>,
    incarnations: BTreeMap<PlannerId, Incarnation>,
}

impl LongTermAllocations {
    /// Records that the planner sent a message under this incarnation.
    pub fn on_planner_message(&mut self, from: PlannerIncarnation) {
        let known = self.incarnations.entry(from.planner).or_insert(from.incarnation);
        *known = from.incarnation.max(*known);
    }

    /// Returns a new request to the planner. The demand is in thousandths of a fetch a second.
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

    /// Takes up a grant. It lasts for `duration` from when its request was sent, and replaces the one before.
    ///
    /// # Errors
    /// Returns why the grant is ignored.
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

    /// Records that the balancer goes by what is held now.
    pub fn mark_applied(&mut self) {
        for allocation in self.allocations.values_mut() {
            allocation.request_in_use = allocation.request_id;
        }
    }

    /// The amount that may be used now.
    pub fn usable(&self, now: Time) -> u32 {
        self.live(now).fold(0, |sum, allocation| sum.saturating_add(allocation.usable(now)))
    }

    /// The amount that was granted and has not expired, without the ramp at the end.
    pub fn granted(&self, now: Time) -> u32 {
        self.live(now).fold(0, |sum, allocation| sum.saturating_add(allocation.amount))
    }

    /// When the first of the allocations expires.
    pub fn first_expiry(&self, now: Time) -> Option<Time> {
        self.live(now)
            .filter(|allocation| allocation.amount > 0)
            .map(|allocation| allocation.expires_at)
            .min()
    }

    fn live(&self, now: Time) -> impl Iterator<Item = &Allocation> {
        self.allocations.values().filter(move |allocation| allocation.is_live(now))
    }

    /// Stops using all allocations, and those that may yet be granted. Returns the planners that must be told so, and the
    /// last request.
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

/// What a forwarder has to report when it releases its long-term allocations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleasedAllocations {
    /// The planners whose allocations were held or requested.
    pub planners: Vec<PlannerId>,
    /// The last request that is covered.
    pub last_request_id: u64,
}
