//! What a forwarder holds: the asks that are out, and of each planner the last grant asked for, by its own clock.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use super::{LeaseError, LeaseMessage, MOST_NEEDS, Need, Resource};
use crate::member::{Incarnation, PlannerId};

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Held {
    ask: u64,
    amount: u32,
    ends: Time,
    /// Whether the loop was told of it: until then it may still go by the one before.
    told: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Holder {
    last: u64,
    asked: BTreeMap<u64, (PlannerId, Time)>,
    held: BTreeMap<(Resource, PlannerId, Incarnation), Held>,
    lives: BTreeMap<PlannerId, Incarnation>,
}

/// Asks that are remembered; an answer to an older one is void.
const MOST_ASKED: usize = 256;

impl Holder {
    /// Letters that ask one planner for these amounts; each is one whole ask.
    pub fn ask(&mut self, now: Time, planner: PlannerId, amounts: &[(Resource, u32)]) -> Vec<LeaseMessage> {
        let mut letters = Vec::new();
        for part in amounts.chunks(MOST_NEEDS) {
            self.last += 1;
            self.asked.insert(self.last, (planner, now));
            let needs = part.iter().map(|(resource, amount)| {
                let ours = self.held.iter().filter(|((r, p, _), _)| (r, p) == (resource, &planner));
                let using = ours.filter(|(_, h)| h.told).map(|(_, h)| h.ask).max().unwrap_or(0);
                Need { resource: *resource, amount: *amount, using, heads: 1, has: 0 }
            });
            letters.push(LeaseMessage::Ask { ask: self.last, needs: needs.collect() });
        }
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
        letters
    }

    /// A grant came. It counts from when its ask was sent.
    ///
    /// # Errors
    /// Says why it is void.
    pub fn granted(
        &mut self,
        now: Time,
        (planner, incarnation): (PlannerId, Incarnation),
        ask: u64,
        granted: &[(Resource, u32)],
        lasts: Span,
    ) -> Result<(), LeaseError> {
        if self.lives.get(&planner).is_some_and(|l| *l > incarnation) {
            return Err(LeaseError::Old);
        }
        let known = self.asked.get(&ask).filter(|(of, _)| *of == planner);
        let Some((_, sent)) = known.copied() else { return Err(LeaseError::Unasked) };
        self.lives.insert(planner, incarnation);
        // What was asked before is not used once this is: the planner will be told so.
        self.asked.retain(|n, (of, at)| *of != planner || *at >= sent && *n != ask);
        let ends = sent + lasts;
        for (resource, amount) in granted.iter().take(MOST_NEEDS) {
            self.held
                .insert((*resource, planner, incarnation), Held { ask, amount: *amount, ends, told: false });
        }
        self.pass(now);
        Ok(())
    }

    /// Forgets what has ended.
    pub fn pass(&mut self, now: Time) {
        self.held.retain(|_, h| h.ends > now);
    }

    /// From now on the loop goes by what is held now.
    pub fn tell(&mut self) {
        self.held.values_mut().for_each(|h| h.told = true);
    }

    /// All that may be used of a resource now, beside the own part.
    pub fn holds(&self, now: Time, resource: Resource) -> u32 {
        self.of(now, resource).fold(0, |sum, h| sum.saturating_add(h.amount))
    }

    /// When the first part of it ends.
    pub fn ends(&self, now: Time, resource: Resource) -> Option<Time> {
        self.of(now, resource).filter(|h| h.amount > 0).map(|h| h.ends).min()
    }

    fn of(&self, now: Time, resource: Resource) -> impl Iterator<Item = &Held> {
        self.held.iter().filter(move |((r, _, _), h)| *r == resource && h.ends > now).map(|(_, h)| h)
    }

    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        self.held.keys().map(|(r, _, _)| *r)
    }

    /// Uses nothing more of any planner's, nor of what may yet be granted, and says whom to tell so.
    pub fn give_back(&mut self) -> Vec<(PlannerId, LeaseMessage)> {
        let held = self.held.keys().map(|(_, p, _)| *p);
        let mut whom: Vec<_> = held.chain(self.asked.values().map(|(p, _)| *p)).collect();
        whom.sort_unstable();
        whom.dedup();
        self.held.clear();
        self.asked.clear();
        whom.into_iter().map(|p| (p, LeaseMessage::Return { ask: self.last })).collect()
    }

    pub fn entries(&self) -> usize {
        self.asked.len() + self.held.len() + self.lives.len()
    }
}
