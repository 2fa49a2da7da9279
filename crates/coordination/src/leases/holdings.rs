//! The leases that a forwarder holds: its pending requests and, for each planner and resource, the grant that was
//! requested last. Expiry is measured by the forwarder's own clock.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use super::{
    Demand, LeaseError, LeaseMessage, MAX_DEMANDS_PER_MESSAGE, PlannerIncarnation, Resource, ResourceAmount,
};
use crate::member::{Incarnation, PlannerId};

/// The number of pending requests that are remembered; a grant that answers an older one is ignored.
pub(super) const MAX_PENDING_REQUESTS: usize = 256;

/// A request that was sent and may still be answered.
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
    /// Whether the balancer was notified of it. Until then it may still use the grant before.
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
    /// Returns the messages that request these amounts of one planner; each message is a request of its own.
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
            let demands = chunk.iter().map(|wanted| self.demand(planner, wanted)).collect();
            messages.push(LeaseMessage::Request { request_id: self.last_request_id, demands });
        }
        while self.pending.len() > MAX_PENDING_REQUESTS {
            self.pending.pop_first();
        }
        messages
    }

    fn demand(&self, planner: PlannerId, wanted: &ResourceAmount) -> Demand {
        let held = self.leases.iter().filter(|(key, lease)| {
            key.resource == wanted.resource && key.planner == planner && lease.is_applied
        });
        Demand {
            resource: wanted.resource,
            amount: wanted.amount,
            request_in_use: held.map(|(_, lease)| lease.request_id).max().unwrap_or(0),
            requesters: 1,
            already_held: 0,
        }
    }

    /// Takes up a grant. It lasts for `duration` from when its request was sent.
    ///
    /// # Errors
    /// Returns why the grant is ignored.
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
        // Grants of earlier requests are not used once this one is: the next request reports this.
        self.pending
            .retain(|id, other| other.planner != planner || other.sent_at >= sent_at && *id != request_id);
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

    /// Records that the balancer goes by what is held now.
    pub fn mark_applied(&mut self) {
        for lease in self.leases.values_mut() {
            lease.is_applied = true;
        }
    }

    /// The amount of a resource that may be used now, without the guaranteed share.
    pub fn usable(&self, now: Time, resource: Resource) -> u32 {
        self.live(now, resource).fold(0, |sum, lease| sum.saturating_add(lease.amount))
    }

    /// When the first of the leases of a resource expires.
    pub fn first_expiry(&self, now: Time, resource: Resource) -> Option<Time> {
        self.live(now, resource).filter(|lease| lease.amount > 0).map(|lease| lease.expires_at).min()
    }

    fn live(&self, now: Time, resource: Resource) -> impl Iterator<Item = &HeldLease> {
        self.leases
            .iter()
            .filter(move |(key, lease)| key.resource == resource && lease.expires_at > now)
            .map(|(_, lease)| lease)
    }

    /// The resources of which leases are held. One that is leased from several planners is repeated.
    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        self.leases.keys().map(|key| key.resource)
    }

    /// Stops using all leases, and those that may yet be granted. Returns the messages that release them.
    pub fn release_all(&mut self) -> Vec<(PlannerId, LeaseMessage)> {
        let holders = self.leases.keys().map(|key| key.planner);
        let asked = self.pending.values().map(|request| request.planner);
        let mut planners: Vec<_> = holders.chain(asked).collect();
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
