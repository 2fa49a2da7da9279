//! The choice of the planner from which a forwarder requests leases.

use std::collections::{BTreeMap, BTreeSet};

use granitelb_balancer::time::{Span, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::leases::Settings;
use crate::member::{ForwarderId, Member, PlannerId};

/// A planner that has left this many consecutive requests unanswered is avoided for [`AVOIDANCE_TIME`].
const MAX_UNANSWERED_REQUESTS: u8 = 2;
/// How long an unresponsive planner is avoided, from the last request that was sent to it.
const AVOIDANCE_TIME: Span = Span::from_millis(5000);

/// The consecutive requests that a planner has left unanswered.
#[derive(Clone, Copy)]
struct UnansweredRequests {
    count: u8,
    last_sent_at: Time,
}

/// Chooses the planner from which a forwarder requests leases, by rendezvous hashing among the planners that
/// answer.
pub struct PlannerSelector {
    me: ForwarderId,
    alive: BTreeSet<PlannerId>,
    unanswered: BTreeMap<PlannerId, UnansweredRequests>,
}

impl PlannerSelector {
    /// Creates a selector without planners.
    pub fn new(me: ForwarderId) -> PlannerSelector {
        PlannerSelector { me, alive: BTreeSet::new(), unanswered: BTreeMap::new() }
    }

    /// Replaces the set of planners that are alive.
    pub fn on_membership_change(&mut self, alive: &[Member]) {
        let planners = alive.iter().filter_map(|member| match member {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        });
        let alive: BTreeSet<_> = planners.collect();
        self.unanswered.retain(|id, _| self.alive.contains(id) && alive.contains(id));
        self.alive = alive;
    }

    /// Records that a request was sent to a planner.
    pub fn on_request_sent(&mut self, now: Time, planner: PlannerId) {
        let none = UnansweredRequests { count: 0, last_sent_at: now };
        let unanswered = self.unanswered.entry(planner).or_insert(none);
        unanswered.count = unanswered.count.saturating_add(1);
        unanswered.last_sent_at = now;
    }

    /// Records that a planner has answered.
    pub fn on_answer(&mut self, planner: PlannerId) {
        self.unanswered.remove(&planner);
    }

    /// The planners of the settings that are alive, in ascending order.
    pub fn candidates<'a>(&'a self, settings: &'a Settings) -> impl Iterator<Item = PlannerId> + 'a {
        self.alive.iter().filter(|id| settings.planners.contains(id)).copied()
    }

    /// Returns the first planner that answers, in this forwarder's order of preference. If no planner
    /// answers, returns the one whose last request is the oldest.
    pub fn select(&mut self, now: Time, settings: &Settings) -> Option<PlannerId> {
        self.unanswered.retain(|_, requests| now - requests.last_sent_at < AVOIDANCE_TIME);
        let mut order: Vec<_> = self.candidates(settings).collect();
        order.sort_unstable_by_key(|id| (xxh3_64_with_seed(&[id.0], self.me.0), *id));
        if let Some(answering) = order.iter().find(|id| !self.is_unresponsive(**id)) {
            return Some(*answering);
        }
        order.into_iter().min_by_key(|id| self.unanswered.get(id).map(|requests| requests.last_sent_at))
    }

    /// Whether any planner is unresponsive, or no planner is alive.
    pub fn has_unavailable_planner(&self) -> bool {
        self.alive.is_empty() || self.unanswered.keys().any(|id| self.is_unresponsive(*id))
    }

    /// The number of planners that have not answered their last request.
    pub fn unanswered_count(&self) -> usize {
        self.unanswered.len()
    }

    fn is_unresponsive(&self, planner: PlannerId) -> bool {
        self.unanswered.get(&planner).is_some_and(|requests| requests.count >= MAX_UNANSWERED_REQUESTS)
    }
}
