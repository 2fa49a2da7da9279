//! Standing parts: most of the reserve, handed out by each forwarder's usual need for longer than planners are mostly
//! away. A planner has its part of them, its *standing escrow*, apart from what it leases and lends, and each forwarder
//! asks every planner for its share.
//!
//! The invariant is the leases' own: what forwarders hold of a planner's standing escrow is at most that escrow, at every
//! moment and by their own clocks. What the module's text says of ends, of the last one asked for and of balanced books
//! holds here likewise. Two things are more:
//!
//! - **A planner that starts doesn't wait with what is held.** For the hold of a standing part it makes no share greater.
//!   But whoever tells it, in an ask to this very life of it, what it holds of an earlier one, is granted as much again.
//!   Let m be the most that each forwarder may come to hold of what earlier lives granted, when this life starts: the
//!   sum of all m is within the escrow, since that was so at the end of the life before. An ask that names this life was
//!   written after it began, so what it tells is within its forwarder's m; and the forwarder uses the new grant in
//!   place of the old one, never both. So no m becomes greater while the wait lasts, and after it what lives is what
//!   this life granted and has in its book. Without the name an ask from before could come to a later life yet, when
//!   others were granted what had ended in between.
//! - **A later life of a forwarder ends what earlier ones were granted**, at its first ask. So here it is taken for
//!   granted that one process at a time bears a forwarder's name. A process that goes on under a new life has told its
//!   loop so before any letter of that life goes out.
//!
//! Nothing is a step: a holder uses all of a part for three quarters of its time, and from then on evenly less, down to
//! nothing at its end.

use std::collections::BTreeMap;

use granitelb_balancer::time::{Span, Time};

use super::book::Pool;
use super::{LeaseError, Need, Resource, Settings};
use crate::member::{Incarnation, Member, PlannerId, Sender};

/// Asks come so often: in the time of a part one of them is answered though most letters are lost.
pub const ASKS: Span = Span::from_millis(1000);
/// A need is what was wanted over so long, by an exponential mean.
const USUAL: f64 = 10.0;
/// The last part of its time in which a part falls.
const FALLS: f64 = 0.25;
/// Asks that are remembered.
const MOST_ASKED: usize = 256;
/// Who was not heard for so long has what it was granted, and no more is set aside for it.
const RECENT: Span = Span::from_millis(4000);
/// What is left when all have what they usually need goes by the chance in it, up to so many times its deviation.
const CHANCE: f64 = 4.0;

/// An ask for a share: what is usually needed, and what is held of the planner's, whichever life granted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ask {
    pub ask: u64,
    pub need: u32,
    pub using: u64,
    /// The life of the planner that this is to.
    pub to: Incarnation,
    pub has: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Part {
    incarnation: Incarnation,
    ask: u64,
    amount: u32,
    asked: Time,
    ends: Time,
    /// The last of which the loop was told: an earlier one may be in use until then.
    using: u64,
}

/// A forwarder's standing parts, one of each planner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Parts {
    last: u64,
    asked: BTreeMap<u64, (PlannerId, Time)>,
    parts: BTreeMap<PlannerId, Part>,
    lives: BTreeMap<PlannerId, Incarnation>,
}

impl Parts {
    /// The planner has written, under this life.
    pub fn on_message(&mut self, planner: PlannerId, incarnation: Incarnation) {
        let known = self.lives.entry(planner).or_insert(incarnation);
        *known = incarnation.max(*known);
    }

    pub fn ask(&mut self, now: Time, planner: PlannerId, need: u32) -> Ask {
        self.last += 1;
        self.asked.insert(self.last, (planner, now));
        while self.asked.len() > MOST_ASKED {
            self.asked.pop_first();
        }
        let part = self.parts.get(&planner).filter(|p| p.ends > now);
        Ask {
            ask: self.last,
            need,
            using: part.map_or(0, |p| p.using),
            to: self.lives.get(&planner).copied().unwrap_or(Incarnation(0)),
            has: part.map_or(0, |p| p.amount),
        }
    }

    /// A share was granted. It counts from when its ask was sent, and takes the place of the one before.
    ///
    /// # Errors
    /// Says why it is void.
    pub fn granted(
        &mut self,
        now: Time,
        (planner, incarnation): (PlannerId, Incarnation),
        ask: u64,
        amount: u32,
        lasts: Span,
    ) -> Result<(), LeaseError> {
        if self.lives.get(&planner).is_some_and(|l| *l > incarnation) {
            return Err(LeaseError::Old);
        }
        let known = self.asked.get(&ask).filter(|(of, _)| *of == planner);
        let Some((_, asked)) = known.copied() else { return Err(LeaseError::Unasked) };
        self.on_message(planner, incarnation);
        self.asked.retain(|n, (of, _)| *of != planner || *n > ask);
        let using = self.parts.get(&planner).filter(|p| p.ends > now).map_or(0, |p| p.using);
        self.parts.insert(planner, Part { incarnation, ask, amount, asked, ends: asked + lasts, using });
        self.pass(now);
        Ok(())
    }

    pub fn pass(&mut self, now: Time) {
        self.parts.retain(|_, p| p.ends > now);
    }

    /// From now on the loop goes by what is held now.
    pub fn tell(&mut self) {
        self.parts.values_mut().for_each(|p| p.using = p.ask);
    }

    /// All that may be used now.
    pub fn holds(&self, now: Time) -> u32 {
        let eased = |p: &Part| {
            let (left, lasts) = ((p.ends - now).as_secs_f64(), (p.ends - p.asked).as_secs_f64());
            (f64::from(p.amount) * (left / (lasts * FALLS)).min(1.0)) as u32
        };
        let live = self.parts.values().filter(|p| p.ends > now);
        live.fold(0, |sum, p| sum.saturating_add(eased(p)))
    }

    /// All that was granted and has not ended, without the easing.
    pub fn grants(&self, now: Time) -> u32 {
        self.parts.values().filter(|p| p.ends > now).fold(0, |sum, p| sum.saturating_add(p.amount))
    }

    /// When the first of them ends.
    pub fn ends(&self, now: Time) -> Option<Time> {
        self.parts.values().filter(|p| p.ends > now && p.amount > 0).map(|p| p.ends).min()
    }

    /// Uses nothing more, nor what may yet be granted, and says whom to tell so, with the last ask.
    pub fn give_back(&mut self) -> (Vec<PlannerId>, u64) {
        let mut whom: Vec<_> = self.parts.keys().copied().collect();
        whom.extend(self.asked.values().map(|(p, _)| *p));
        whom.sort_unstable();
        whom.dedup();
        self.parts.clear();
        self.asked.clear();
        (whom, self.last)
    }

    pub fn entries(&self) -> usize {
        self.asked.len() + self.parts.len() + self.lives.len()
    }
}

/// What a forwarder usually needs, in thousandths a second: what it sent and what it had to turn away.
#[derive(Clone, Debug)]
pub struct Usual {
    rate: f64,
    since: f64,
    at: Time,
}

impl Usual {
    /// Until anything is known it is an even part.
    pub fn new(now: Time, even: f64) -> Usual {
        Usual { rate: even, since: 0.0, at: now }
    }

    pub fn add(&mut self, amount: f64) {
        self.since += amount;
    }

    pub fn need(&mut self, now: Time) -> u32 {
        let passed = (now - self.at).as_secs_f64();
        if passed > 0.0 {
            self.rate += (1.0 - (-passed / USUAL).exp()) * (self.since / passed - self.rate);
            (self.since, self.at) = (0.0, now);
        }
        self.rate as u32
    }
}

/// How shares are parted: each has its usual need and so much for its chance; where that is not there, up to a level.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Shares {
    at: Time,
    level: u32,
    chance: f64,
    gaps: u64,
}

impl Shares {
    fn due(&self, need: u32) -> u32 {
        let more = self.chance * deviation(need);
        ((f64::from(need.min(self.level)) + more) as u32).max(1)
    }
}

/// Of what comes by chance in a second, in thousandths.
fn deviation(need: u32) -> f64 {
    (f64::from(need) * 1000.0).sqrt()
}

/// A planner's side: its standing escrow and who may hold what of it.
#[derive(Clone, Debug)]
pub struct Granter {
    incarnation: Incarnation,
    pool: Pool,
    /// Until then what an earlier life granted may still be held.
    quiet: Option<Time>,
    shares: Option<Shares>,
}

impl Granter {
    pub fn new(settings: &Settings, incarnation: Incarnation, now: Time) -> Granter {
        let quiet = Some(now + settings.hold(settings.standing_lasts));
        Granter { incarnation, pool: Pool::new(settings.standing_escrow()), quiet, shares: None }
    }

    /// Takes up other settings, after the wait of a start. What is held is in the book.
    pub fn set(&mut self, settings: &Settings, now: Time) {
        self.quiet = Some(now + settings.hold(settings.standing_lasts));
        self.pool.escrow = settings.standing_escrow();
        // Who tells of what an earlier life granted is not heard now, since asks of before this moment name this life.
        self.incarnation = Incarnation(u64::MAX);
    }

    /// Grants a share; none where there is nothing to answer.
    ///
    /// # Errors
    /// Says why the ask is void.
    pub fn asked(
        &mut self,
        now: Time,
        from: Sender,
        ask: Ask,
        settings: &Settings,
    ) -> Result<Option<u32>, LeaseError> {
        let holding = (from.member, from.incarnation);
        if !matches!(from.member, Member::Forwarder(_)) {
            return Err(LeaseError::NotForUs);
        }
        self.quiet = self.quiet.filter(|until| *until > now);
        self.pool.pass(now);
        self.pool.sweep(now, settings.hold(settings.standing_lasts));
        if self.pool.incarnations_after(holding) {
            return Err(LeaseError::Old);
        }
        if self.pool.claims.len() >= settings.most_forwarders && !self.pool.claims.contains_key(&holding) {
            return Err(LeaseError::TooMany);
        }
        self.pool.end_before(holding);
        // As much is asked of each planner.
        let amount = ask.need / settings.planners.len().max(1) as u32;
        let need = Need { resource: Resource::Origin, amount, using: ask.using, heads: 1, has: 0 };
        if !self.pool.asked(now, holding, ask.ask, need) {
            return Err(LeaseError::Old);
        }
        let hold = settings.hold(settings.standing_lasts);
        if self.quiet.is_some() {
            let known = self.pool.claims.get(&holding).map_or(0, |c| c.counts());
            let told = if ask.to == self.incarnation { ask.has } else { 0 };
            let again = known.min(ask.has).max(told);
            // What is not told of to this life is not answered: the forwarder goes on with what it holds.
            return Ok((again > 0).then(|| self.pool.give(now, holding, (again, 0, 0), hold)));
        }
        let shares = match self.shares {
            Some(shares) if now - shares.at < settings.fresh => shares,
            _ => self.part(now),
        };
        let due = shares.due(amount);
        Ok(Some(self.pool.give(now, holding, (due, shares.gaps, 0), hold)))
    }

    /// Each has its usual need, and of what is left by its chance; where needs are more than there is, max-min.
    fn part(&mut self, now: Time) -> Shares {
        let recent = |heard: Time| now - heard < RECENT;
        let claims = || self.pool.claims.values();
        let gone: u64 = claims().filter(|c| !recent(c.heard)).map(|c| u64::from(c.counts())).sum();
        let there = u64::from(self.pool.escrow).saturating_sub(gone);
        let needs: Vec<Need> = claims().filter(|c| recent(c.heard)).map(|c| c.need).collect();
        let level = super::book::level(&needs, there);
        let sum: u64 = needs.iter().map(|n| u64::from(n.amount.min(level))).sum();
        let chances: f64 = needs.iter().map(|n| deviation(n.amount)).sum();
        let chance = (there.saturating_sub(sum) as f64 / chances.max(1.0)).min(CHANCE);
        let mut shares = Shares { at: now, level, chance, gaps: 0 };
        let gap = |c: &super::book::Claim| u64::from(shares.due(c.need.amount).saturating_sub(c.counts()));
        shares.gaps = claims().filter(|c| recent(c.heard)).map(gap).sum();
        self.shares = Some(shares);
        shares
    }

    pub fn returned(&mut self, from: Sender, ask: u64) {
        self.pool.returned((from.member, from.incarnation), ask);
    }

    pub fn entries(&self) -> usize {
        self.pool.entries()
    }

    pub fn is_idle(&self) -> bool {
        self.pool.claims.is_empty()
    }

    /// All that may be held of it.
    pub fn counted(&self) -> u64 {
        self.pool.leased()
    }

    /// All that decides what it will do, for a search over states.
    pub fn state(&self) -> impl std::hash::Hash + '_ {
        let shares = self.shares.map(|s| (s.at, s.level, s.chance.to_bits(), s.gaps));
        (self.incarnation, &self.pool, self.quiet, shares)
    }
}
