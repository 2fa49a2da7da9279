//! The claim of one incarnation of a member at a planner: what it requested, and what it may still hold.

use std::collections::VecDeque;

use granitelb_balancer::time::Time;

use super::{Demand, MAX_SEPARATE_GRANTS};
use crate::member::{Incarnation, Member, Sender};

/// Identifies a claim. Each incarnation of a member has a claim of its own, because the grants to an earlier
/// incarnation may still be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// The member that requests leases or loans.
    pub member: Member,
    /// The member's incarnation.
    pub incarnation: Incarnation,
}

impl ClaimId {
    /// The claim of a message's sender.
    pub fn of(sender: Sender) -> ClaimId {
        ClaimId { member: sender.member, incarnation: sender.incarnation }
    }

    /// Whether this is a forwarder's claim, and not another planner's.
    pub fn is_forwarder(&self) -> bool {
        matches!(self.member, Member::Forwarder(_))
    }
}

/// A grant. Its expiry is measured by the planner's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Grant {
    /// The number of the request that the grant answers.
    pub request_id: u64,
    /// The granted amount, in the resource's amounts.
    pub amount: u32,
    /// The time until which the planner counts the grant.
    pub expires_at: Time,
}

/// The last request of one incarnation of a member, and the grants to it that may still be in use.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The demand in the last request.
    pub demand: Demand,
    /// The number of the last request.
    pub request_id: u64,
    /// When the last request arrived.
    pub requested_at: Time,
    /// The grants that count, from the oldest to the newest. Amounts decrease and expiries increase: a grant
    /// is removed when a later one of at least its amount is added.
    grants: VecDeque<Grant>,
}

impl Claim {
    /// Creates a claim without grants.
    pub fn new(now: Time, request_id: u64, demand: Demand) -> Claim {
        Claim { demand, request_id, requested_at: now, grants: VecDeque::new() }
    }

    /// The most that the claimant may hold, in the resource's amounts: the greatest grant that has not
    /// expired.
    pub fn outstanding(&self) -> u32 {
        self.grants.front().map_or(0, |grant| grant.amount)
    }

    /// The amount by which the claim is below a target.
    pub fn shortfall(&self, target: u32) -> u64 {
        u64::from(target.saturating_sub(self.outstanding()))
    }

    /// The time at which the greatest grant expires.
    pub fn first_expiry(&self) -> Option<Time> {
        self.grants.front().map(|grant| grant.expires_at)
    }

    /// Whether no grant of the claim counts.
    pub fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    /// The number of grants that are counted separately.
    pub fn grant_count(&self) -> usize {
        self.grants.len()
    }

    /// Adds a grant. If there would be too many to count separately, it is merged with the newest one: the
    /// merged grant has the greater amount and the later expiry.
    pub fn add(&mut self, grant: Grant) {
        if grant.amount == 0 {
            return;
        }
        while self.grants.back().is_some_and(|newest| newest.amount <= grant.amount) {
            self.grants.pop_back();
        }
        let is_full = self.grants.len() >= MAX_SEPARATE_GRANTS;
        match self.grants.back_mut() {
            Some(newest) if is_full => {
                newest.request_id = grant.request_id;
                newest.expires_at = grant.expires_at;
            }
            _ => self.grants.push_back(grant),
        }
    }

    /// Removes grants from the oldest on, as long as the predicate holds.
    pub fn remove_while(&mut self, predicate: impl Fn(&Grant) -> bool) {
        while self.grants.front().is_some_and(&predicate) {
            self.grants.pop_front();
        }
    }

    /// Removes all grants.
    pub fn clear(&mut self) {
        self.grants.clear();
    }
}
