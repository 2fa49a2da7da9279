//! Which zones are silent, judged from how shots at many caches ended. A node with a call now and then at
//! each cache meets every cache of a lost zone anew; of the zone as a whole it knows after a few.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{EndpointId, ZoneId};
use crate::time::{Span, Time};

/// So many caches in a row without an answer, and none of their zone heard between, tell that the zone is
/// silent: one ill cache, or two, are no zone.
const CACHES: usize = 3;
/// A silent zone is tried again so often: less than one cache of it would have got.
const TRIAL: Span = Span::from_millis(1000);

#[derive(Default)]
struct Zone {
    /// The caches that gave no answer since anything of the zone was heard, each once, `CACHES` at the most.
    unanswered: Vec<EndpointId>,
    since: Time,
    heard: Time,
    next_trial: Time,
}

/// What is known of each zone that the list names.
#[derive(Default)]
pub struct Zones(BTreeMap<ZoneId, Zone>);

impl Zones {
    /// Forgets zones that nothing is in any more: a list may name new ones for as long as the node lives.
    pub fn keep(&mut self, listed: &BTreeSet<ZoneId>) {
        self.0.retain(|zone, _| listed.contains(zone));
    }

    /// A cache of the zone answered in any way.
    pub fn heard(&mut self, now: Time, zone: ZoneId) {
        let zone = self.0.entry(zone).or_default();
        zone.heard = now;
        zone.unanswered.clear();
    }

    /// A shot at a cache of the zone was left without an answer, or no connection came up.
    pub fn unanswered(&mut self, now: Time, zone: ZoneId, cache: EndpointId) {
        let zone = self.0.entry(zone).or_default();
        if zone.unanswered.is_empty() {
            zone.since = now;
        }
        if zone.unanswered.len() < CACHES && !zone.unanswered.contains(&cache) {
            zone.unanswered.push(cache);
            zone.next_trial = now + TRIAL;
        }
    }

    /// Whether nothing of the zone answers, while another zone has: where none does, it is the node that is
    /// cut off or all are in trouble, and leaving out all would help nobody.
    pub fn is_silent(&self, zone: ZoneId) -> bool {
        let Some(known) = self.0.get(&zone).filter(|z| z.unanswered.len() >= CACHES) else { return false };
        self.0.iter().any(|(id, other)| *id != zone && other.heard >= known.since)
    }

    /// Whether a shot may be sent there: the zone is not silent, or a trial of it is due.
    pub fn may_try(&self, now: Time, zone: ZoneId) -> bool {
        !self.is_silent(zone) || self.0.get(&zone).is_none_or(|z| z.next_trial <= now)
    }

    /// A shot goes there: while the zone is silent it is a trial, and the next one is due later.
    pub fn tried(&mut self, now: Time, zone: ZoneId) {
        self.0.get_mut(&zone).into_iter().for_each(|z| z.next_trial = z.next_trial.max(now + TRIAL));
    }
}

#[cfg(test)]
mod tests;
