//! The incarnation of this member itself, and what invalidates it.

use std::collections::BTreeMap;

use granitelb_balancer::time::Time;

use crate::component::FAILURE_TIMEOUT;
use crate::member::{Incarnation, Member};

/// With fewer other planners alive than this, no planner is declared failed: of two planners that are cut off
/// from each other, each considers the other failed although neither is.
const MIN_PLANNERS_FOR_MAJORITY: usize = 2;

/// This member's incarnation. An invalid incarnation stays invalid until the member continues under a greater
/// one.
pub struct OwnIncarnation {
    current: Incarnation,
    needs_renewal: bool,
    /// The greatest incarnation under this member's identity of which this member was notified.
    superseded_by: Incarnation,
    /// When a greater incarnation last invalidated the current one.
    superseded_at: Option<Time>,
    /// The planners that have declared this member failed, with the time of each declaration.
    declared_failed_by: BTreeMap<Member, Time>,
}

impl OwnIncarnation {
    /// Creates a valid incarnation.
    pub fn new(current: Incarnation) -> OwnIncarnation {
        OwnIncarnation {
            current,
            needs_renewal: false,
            superseded_by: Incarnation(0),
            superseded_at: None,
            declared_failed_by: BTreeMap::new(),
        }
    }

    /// The current incarnation.
    pub fn current(&self) -> Incarnation {
        self.current
    }

    /// Whether the current incarnation is invalid, so that the member must continue under a greater one.
    pub fn needs_renewal(&self) -> bool {
        self.needs_renewal
    }

    /// Invalidates the current incarnation.
    pub fn invalidate(&mut self) {
        self.needs_renewal = true;
    }

    /// The lowest incarnation that may follow the current one.
    pub fn min_next(&self) -> Incarnation {
        Incarnation(self.current.0.max(self.superseded_by.0).saturating_add(1))
    }

    /// Continues under a new incarnation.
    pub fn renew(&mut self, incarnation: Incarnation) {
        self.current = self.current.max(incarnation);
        self.needs_renewal = false;
        self.declared_failed_by.clear();
    }

    /// Whether the given incarnation is the current one and still valid.
    pub fn is_valid(&self, incarnation: Incarnation) -> bool {
        incarnation == self.current && !self.needs_renewal
    }

    /// Handles the notice that an incarnation of this member is superseded by the incarnation `by`. Returns
    /// whether the notice invalidates the current incarnation, which happens at most once within a failure
    /// timeout.
    pub fn on_superseded(&mut self, now: Time, incarnation: Incarnation, by: Incarnation) -> bool {
        let was_superseded_recently = self.superseded_at.is_some_and(|at| now - at < FAILURE_TIMEOUT);
        if !self.is_valid(incarnation) || by <= incarnation || was_superseded_recently {
            return false;
        }
        self.superseded_by = by;
        self.superseded_at = Some(now);
        self.needs_renewal = true;
        true
    }

    /// Records that a planner has declared this member failed. Returns whether more than half of the other
    /// planners that are alive have done so within the last failure timeout.
    pub fn record_failure_declaration(&mut self, now: Time, by: Member, live_planners: usize) -> bool {
        self.declared_failed_by.insert(by, now);
        self.declared_failed_by.retain(|_, at| now - *at < FAILURE_TIMEOUT);
        live_planners >= MIN_PLANNERS_FOR_MAJORITY && self.declared_failed_by.len() * 2 > live_planners
    }

    /// Removes the declaration of a member.
    pub fn remove_declaration(&mut self, member: Member) {
        self.declared_failed_by.remove(&member);
    }

    /// The number of entries in memory.
    pub fn entries(&self) -> usize {
        self.declared_failed_by.len()
    }
}
