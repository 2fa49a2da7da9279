//! The leases that a forwarder holds: its pending requests and, for each planner and resource, the grant that
//! it requested last. Expiry is measured by the forwarder's own clock.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use super::{
    Demand, LeaseError, LeaseMessage, MAX_DEMANDS_PER_MESSAGE, PlannerIncarnation, Resource, ResourceAmount,
};
use crate::member::{Incarnation, PlannerId};

/// The maximum number of pending requests. The oldest ones beyond it are forgotten, and grants that answer
/// them are ignored.
pub(super) const MAX_PENDING_REQUESTS: usize = 256;

/// A request that was sent to a planner and may still be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingRequest {
    pub(super) planner: PlannerId,
    pub(super) sent_at: Time,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct LeaseKey {
    resource: Resource,
    planner: PlannerId,
    incarnation: Incarnation,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct HeldLease {
    request_id: u64,
    amount: u32,
    expires_at: Time,
    /// Whether the balancer was notified of this lease. Until then the balancer may still use the previous
    /// grant.
    is_applied: bool,
}

/// The leases that a forwarder holds, and its pending requests for more.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holdings {
    last_request_id: u64,
    pending: BTreeMap<u64, PendingRequest>,
    leases: BTreeMap<LeaseKey, HeldLease>,
    incarnations: BTreeMap<PlannerId, Incarnation>,
}

impl Holdings {
    /// Returns the messages that request these amounts from one planner. Each message is a request with its
    /// own number.
    pub fn request(
        &mut self,
        now: Time,
        planner: PlannerId,
        amounts: &[ResourceAmount],
    ) -> Vec<LeaseMessage> {
        let mut messages = Vec::new();
        for chunk in amounts.chunks(MAX_DEMANDS_PER_MESSAGE) {
            self.last_request_id += 1;
            self.pending.insert(self.last_request_id, PendingRequest { planner, sent_at: now });
            let demands = chunk.iter().map(|requested| self.demand(planner, requested)).collect();
            messages.push(LeaseMessage::Request { request_id: self.last_request_id, demands });
        }
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        messages
    }

    fn demand(&self, planner: PlannerId, requested: &ResourceAmount) -> Demand {
        let held = self.leases.iter().filter(|(key, lease)| {
            key.resource == requested.resource && key.planner == planner && lease.is_applied
        });
        Demand {
            resource: requested.resource,
            amount: requested.amount,
            request_in_use: held.map(|(_, lease)| lease.request_id).max().unwrap_or(0),
            requesters: 1,
            already_held: 0,
        }
    }

    /// Records a grant. It lasts for `duration` from when the request that it answers was sent.
    ///
    /// Returns the reason if the grant is ignored.
    pub fn on_grant(
        &mut self,
        now: Time,
        from: PlannerIncarnation,
        request_id: u64,
        granted: &[ResourceAmount],
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
        self.incarnations.insert(planner, incarnation);
        // From now on this grant is used in place of grants of earlier requests; the next request reports
        // that to the planner.
        self.pending.retain(|id, pending| {
            pending.planner != planner || pending.sent_at >= sent_at && *id != request_id
        });
        let expires_at = sent_at + duration;
        for ResourceAmount { resource, amount } in granted.iter().take(MAX_DEMANDS_PER_MESSAGE).copied() {
            let key = LeaseKey { resource, planner, incarnation };
            self.leases.insert(key, HeldLease { request_id, amount, expires_at, is_applied: false });
        }
        self.expire(now);
        Ok(())
    }

    /// Removes the leases that have expired.
    pub fn expire(&mut self, now: Time) {
        self.leases.retain(|_, lease| lease.expires_at > now);
    }

    /// Records that the balancer uses the leases that are held now.
    pub fn mark_applied(&mut self) {
        for lease in self.leases.values_mut() {
            lease.is_applied = true;
        }
    }

    /// The leased amount of a resource that may be used now, in the resource's amounts. The guaranteed share
    /// is not included.
    pub fn usable(&self, now: Time, resource: Resource) -> u32 {
        self.live(now, resource).fold(0, |sum, lease| sum.saturating_add(lease.amount))
    }

    /// The time at which the first of the resource's leases expires.
    pub fn first_expiry(&self, now: Time, resource: Resource) -> Option<Time> {
        self.live(now, resource).filter(|lease| lease.amount > 0).map(|lease| lease.expires_at).min()
    }

    fn live(&self, now: Time, resource: Resource) -> impl Iterator<Item = &HeldLease> {
        self.leases
            .iter()
            .filter(move |(key, lease)| key.resource == resource && lease.expires_at > now)
            .map(|(_, lease)| lease)
    }

    /// The resources that are leased. A resource that several planners lease is repeated.
    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        self.leases.keys().map(|key| key.resource)
    }

    /// Gives up all leases, including those that pending requests may yet be granted. Returns the messages
    /// that release them.
    pub fn release_all(&mut self) -> Vec<(PlannerId, LeaseMessage)> {
        let holders = self.leases.keys().map(|key| key.planner);
        let requested_from = self.pending.values().map(|request| request.planner);
        let mut planners: Vec<_> = holders.chain(requested_from).collect();
        planners.sort_unstable();
        planners.dedup();
        self.leases.clear();
        self.pending.clear();
        let request_id = self.last_request_id;
        planners.into_iter().map(|planner| (planner, LeaseMessage::Release { request_id })).collect()
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.pending.len() + self.leases.len() + self.incarnations.len()
    }
}
