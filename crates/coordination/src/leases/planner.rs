//! A planner's side: grants leases to forwarders and loans to other planners, and borrows where forwarders go short.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::time::{Span, Time};

use super::book::{Loan, Pool, Terms};
use super::standing::{Ask, Granter};
use super::{LeaseError, LeaseMessage, MOST_NEEDS, Need, Resource, Settings};
use crate::component::{Component, Event};
use crate::member::{Incarnation, Member, PlannerId, Sender};

/// Answers that wait for the host; with more the next ask is refused, as if its letter were lost.
const MOST_WAITING: usize = 8192;
/// Asks of this planner's that are remembered: a letter or a few for each other planner and beat.
const MOST_ASKED: usize = 1024;

#[derive(Clone, Debug)]
pub struct PlannerComponent {
    settings: Settings,
    me: PlannerId,
    /// Until then what an earlier life granted may still be held.
    quiet: Option<Time>,
    pools: BTreeMap<Resource, Pool>,
    standing: Granter,
    alive: BTreeSet<PlannerId>,
    letters: VecDeque<(Member, LeaseMessage)>,
    last: u64,
    asked: BTreeMap<u64, (PlannerId, Time)>,
    next_borrow: Time,
    remarks: VecDeque<Event>,
}

impl PlannerComponent {
    /// Settings are to be checked before. A life has to be greater than each before it.
    pub fn new(settings: Settings, me: PlannerId, incarnation: Incarnation, now: Time) -> PlannerComponent {
        let quiet = Some(now + settings.hold(settings.longest));
        let standing = Granter::new(&settings, incarnation, now);
        PlannerComponent {
            settings,
            me,
            quiet,
            pools: BTreeMap::new(),
            standing,
            alive: BTreeSet::new(),
            letters: VecDeque::new(),
            last: 0,
            asked: BTreeMap::new(),
            next_borrow: now,
            remarks: VecDeque::new(),
        }
    }

    /// Takes up other settings, after the same wait as at a start: others may go by the former for a while.
    pub fn set(&mut self, now: Time, settings: Settings) {
        let longest = self.settings.longest.max(settings.longest);
        self.quiet = Some(now + self.settings.hold(longest).max(settings.hold(longest)));
        self.settings = settings;
        self.standing.set(&self.settings, now);
        self.pools.values_mut().for_each(|p| p.escrow = 0);
    }

    fn pass(&mut self, now: Time) {
        if self.quiet.is_some_and(|until| until <= now) {
            self.quiet = None;
            for (resource, pool) in &mut self.pools {
                pool.escrow = self.settings.escrow(*resource);
            }
            let text = "the wait after the start is over: grants its own part".to_string();
            self.remarks.push_back(Event { name: "leases_ready", message: text, is_warning: false });
        }
    }

    /// The book of a resource, made if there is room.
    fn pool(&mut self, resource: Resource) -> Result<&mut Pool, LeaseError> {
        if !self.pools.contains_key(&resource) && self.pools.len() > self.settings.most_cold {
            return Err(LeaseError::TooMany);
        }
        let escrow = if self.quiet.is_some() { 0 } else { self.settings.escrow(resource) };
        Ok(self.pools.entry(resource).or_insert_with(|| Pool::new(escrow)))
    }

    fn asked(&mut self, now: Time, from: Sender, ask: u64, needs: &[Need]) -> Result<(), LeaseError> {
        if self.letters.len() >= MOST_WAITING {
            return Err(LeaseError::TooMany);
        }
        let lasts = match from.member {
            Member::Planner(id) if id == self.me || !self.settings.planners.contains(&id) => {
                return Err(LeaseError::Stranger);
            }
            Member::Planner(_) => self.settings.loan,
            Member::Forwarder(_) => self.settings.lease,
        };
        let (hold, recent) = (self.settings.hold(lasts), self.settings.lease);
        let hold_lease = self.settings.hold(self.settings.lease);
        let terms = Terms { hold, hold_lease, recent, fresh: self.settings.fresh };
        let most = self.settings.most_forwarders;
        let holding = (from.member, from.incarnation);
        let mut granted = Vec::new();
        let mut fault = None;
        for need in needs.iter().take(MOST_NEEDS) {
            let pool = match self.pool(need.resource) {
                Ok(pool) if pool.claims.len() < most || pool.claims.contains_key(&holding) => pool,
                _ => {
                    fault = Some(LeaseError::TooMany);
                    continue;
                }
            };
            if pool.asked(now, holding, ask, *need) {
                granted.push((need.resource, pool.grant(now, holding, terms)));
            } else {
                fault = Some(LeaseError::Old);
            }
        }
        // An ask that was answered is not answered again: its grant may have been given back since.
        match fault {
            Some(fault) if granted.is_empty() => Err(fault),
            _ => {
                let grant = LeaseMessage::Grant { ask, granted, lasts: lasts.0 as u32 };
                self.letters.push_back((from.member, grant));
                Ok(())
            }
        }
    }

    fn lent(
        &mut self,
        from: Sender,
        ask: u64,
        granted: &[(Resource, u32)],
        lasts: Span,
    ) -> Result<(), LeaseError> {
        let Member::Planner(lender) = from.member else { return Err(LeaseError::NotForUs) };
        let known = self.asked.get(&ask).filter(|(of, _)| *of == lender);
        let Some((_, sent)) = known.copied() else { return Err(LeaseError::Unasked) };
        // What was asked before is given up with the next ask, so it must not be taken up after this.
        self.asked.retain(|n, (of, at)| *of != lender || *at >= sent && *n != ask);
        for (resource, amount) in granted.iter().take(MOST_NEEDS) {
            if let Some(pool) = self.pools.get_mut(resource) {
                pool.lent((lender, from.incarnation), Loan { ask, amount: *amount, ends: sent + lasts });
            }
        }
        Ok(())
    }

    /// Asks each other planner for what forwarders go short of here, and gives back what they don't.
    fn borrow(&mut self, now: Time) {
        let (recent, hold) = (self.settings.lease, self.settings.hold(self.settings.lease));
        self.pools.retain(|_, p| {
            p.pass(now);
            p.sweep(now, self.settings.hold(self.settings.longest))
        });
        let others: Vec<_> = self.alive.iter().filter(|p| **p != self.me).copied().collect();
        for lender in others {
            let mut needs = Vec::new();
            for (resource, pool) in &mut self.pools {
                let wants = pool.wants(now, recent, lender);
                let using = pool.uses(now, lender, hold);
                if wants.is_none() && using == 0 {
                    continue;
                }
                let (amount, heads, has) = wants.unwrap_or((0, 1, 0));
                needs.push(Need { resource: *resource, amount, using, heads, has });
            }
            for part in needs.chunks(MOST_NEEDS) {
                self.last += 1;
                self.asked.insert(self.last, (lender, now));
                let ask = LeaseMessage::Ask { ask: self.last, needs: part.to_vec() };
                if self.letters.len() < MOST_WAITING {
                    self.letters.push_back((Member::Planner(lender), ask));
                }
            }
        }
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
    }
}

impl Component for PlannerComponent {
    type Message = LeaseMessage;
    type Error = LeaseError;

    fn on_message(&mut self, now: Time, from: Sender, message: LeaseMessage) -> Result<(), LeaseError> {
        self.pass(now);
        match message {
            LeaseMessage::Ask { ask, needs } => self.asked(now, from, ask, &needs),
            LeaseMessage::Grant { ask, granted, lasts } => {
                self.lent(from, ask, &granted, Span(u64::from(lasts)).min(self.settings.longest))
            }
            LeaseMessage::Return { ask } => {
                let holding = (from.member, from.incarnation);
                self.pools.values_mut().for_each(|p| p.returned(holding, ask));
                Ok(())
            }
            LeaseMessage::AskStanding { .. } if self.letters.len() >= MOST_WAITING => {
                Err(LeaseError::TooMany)
            }
            LeaseMessage::AskStanding { ask, need, using, to, has } => {
                let asked = Ask { ask, need, using, to, has };
                let lasts = self.settings.standing_lasts.0 as u32;
                // In the wait after a start an ask to an earlier life gets nothing but this life's name, to ask again by.
                let granted = self.standing.asked(now, from, asked, &self.settings)?;
                let (amount, lasts) = granted.map_or((0, 0), |amount| (amount, lasts));
                self.letters.push_back((from.member, LeaseMessage::Standing { ask, amount, lasts }));
                Ok(())
            }
            LeaseMessage::ReturnStanding { ask } => {
                self.standing.returned(from, ask);
                Ok(())
            }
            LeaseMessage::Standing { .. } => Err(LeaseError::NotForUs),
        }
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        let planners = alive.iter().filter_map(|m| match m {
            Member::Planner(id) if self.settings.planners.contains(id) => Some(*id),
            _ => None,
        });
        self.alive = planners.collect();
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, LeaseMessage)> {
        self.pass(now);
        if now >= self.next_borrow {
            self.next_borrow = now + self.settings.beat;
            self.borrow(now);
        }
        self.letters.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        if !self.letters.is_empty() {
            return Some(now);
        }
        let quiet = self.quiet.unwrap_or(self.next_borrow);
        (!self.pools.is_empty()).then(|| self.next_borrow.min(quiet).max(now))
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        let pools: usize = self.pools.values().map(|p| 1 + p.entries()).sum();
        pools + self.standing.entries() + self.letters.len() + self.asked.len()
    }
}

/// What the origin could do beyond what is leased, as one planner knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spare {
    /// Fetches a second.
    pub per_s: f64,
    /// Whether any forwarder goes short of what it needs.
    pub short: bool,
}

impl PlannerComponent {
    /// What is free of this planner's own part and of loans to it. Others' parts and forwarders' own ones are not seen from
    /// here, so it is too little and never too much. None while it is not known what an earlier life granted.
    pub fn spare(&self, now: Time) -> Option<Spare> {
        if self.quiet.is_some_and(|until| until > now) {
            return None;
        }
        let Some(pool) = self.pools.get(&Resource::Origin) else {
            let free = f64::from(self.settings.escrow(Resource::Origin));
            return Some(Spare { per_s: free / 1000.0, short: false });
        };
        let short = pool.wants(now, self.settings.lease, self.me).is_some();
        Some(Spare { per_s: if short { 0.0 } else { pool.free() as f64 / 1000.0 }, short })
    }

    /// All that decides what it will do, for a search over states.
    pub fn state(&self) -> impl std::hash::Hash + '_ {
        (
            self.quiet,
            &self.pools,
            self.standing.state(),
            &self.alive,
            &self.letters,
            &self.asked,
            self.next_borrow,
        )
    }

    /// The part of all that may be held that this planner counts, for each resource, loans apart.
    pub fn counted(&self) -> impl Iterator<Item = (Resource, u64, u64)> + '_ {
        self.pools.iter().map(|(r, p)| (*r, p.leased(), p.lent_out()))
    }
}
