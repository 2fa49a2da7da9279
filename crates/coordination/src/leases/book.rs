//! A planner's book of one resource: who asked for what, and all that may still be held by anyone.
//!
//! `leases` and `loans` are always the sums of what each claim counts, and a claim counts the greatest of its grants
//! that have not ended. They can therefore only be too great, never too small.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound::{Excluded, Included};

use granitelb_balancer::time::{Span, Time};

use super::Need;
use crate::member::{Incarnation, Member, PlannerId};

/// A life of a member's: what an earlier one was granted may still be held.
pub type Holding = (Member, Incarnation);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Granted {
    ask: u64,
    amount: u32,
    ends: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    pub need: Need,
    pub ask: u64,
    pub heard: Time,
    /// Amounts fall and ends rise: what is no greater than a later one doesn't count.
    live: VecDeque<Granted>,
}

/// Grants that are kept apart; more than these are counted as one, of the greater amount and the later end.
const MOST_APART: usize = 16;

impl Claim {
    pub fn counts(&self) -> u32 {
        self.live.front().map_or(0, |g| g.amount)
    }

    fn grant(&mut self, new: Granted) {
        if new.amount == 0 {
            return;
        }
        while self.live.back().is_some_and(|g| g.amount <= new.amount) {
            self.live.pop_back();
        }
        let full = self.live.len() >= MOST_APART;
        match self.live.back_mut().filter(|_| full) {
            Some(last) => (last.ask, last.ends) = (new.ask, new.ends),
            _ => self.live.push_back(new),
        }
    }

    fn drop_if(&mut self, gone: impl Fn(&Granted) -> bool) {
        while self.live.front().is_some_and(&gone) {
            self.live.pop_front();
        }
    }
}

/// A loan from another planner, by this one's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Loan {
    pub ask: u64,
    pub amount: u32,
    pub ends: Time,
}

/// A lender's loans that this planner has not given up, the newest last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Lender {
    loans: Vec<Loan>,
}

impl Lender {
    /// What it surely lends up to that moment.
    fn until(&self, at: Time, from_ask: u64) -> u32 {
        let lasting = self.loans.iter().filter(|l| l.ends >= at && l.ask >= from_ask);
        lasting.map(|l| l.amount).max().unwrap_or(0)
    }

    fn newest(&self) -> Option<&Loan> {
        self.loans.last()
    }
}

/// Who goes short has as much as others who do: what that is for planners that borrow, and for forwarders.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Levels {
    loans: u32,
    leases: u32,
    /// By how much forwarders have less than they are due, in sum.
    gaps: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Pool {
    pub escrow: u32,
    pub claims: BTreeMap<Holding, Claim>,
    pub lenders: BTreeMap<(PlannerId, Incarnation), Lender>,
    leases: u64,
    loans: u64,
    /// When each claim has something that ends: else an ask would cost more the more forwarders there are.
    ends: BTreeSet<(Time, Holding)>,
    levels: Option<(Time, Levels)>,
}

/// How a planner reckons: what it grants counts for `hold`, needs of the last `recent` count, and targets are made anew
/// after `fresh`, since with each ask they would cost more the more forwarders there are.
#[derive(Clone, Copy)]
pub struct Terms {
    pub hold: Span,
    pub hold_lease: Span,
    pub recent: Span,
    pub fresh: Span,
}

impl Pool {
    pub fn new(escrow: u32) -> Pool {
        Pool { escrow, ..Pool::default() }
    }

    fn total(&mut self, who: Member) -> &mut u64 {
        match who {
            Member::Forwarder(_) => &mut self.leases,
            Member::Planner(_) => &mut self.loans,
        }
    }

    /// Changes a claim and keeps the sums and the order of ends true.
    fn change(&mut self, holding: Holding, by: impl FnOnce(&mut Claim)) {
        let Some(claim) = self.claims.get_mut(&holding) else { return };
        let (counted, end) = (claim.counts(), claim.live.front().map(|g| g.ends));
        by(claim);
        let (counts, ends) = (claim.counts(), claim.live.front().map(|g| g.ends));
        end.map(|at| self.ends.remove(&(at, holding)));
        ends.map(|at| self.ends.insert((at, holding)));
        let total = self.total(holding.0);
        *total = (*total + u64::from(counts)).saturating_sub(u64::from(counted));
    }

    /// Takes note of an ask. Whether it is newer than those before.
    pub fn asked(&mut self, now: Time, holding: Holding, ask: u64, need: Need) -> bool {
        if self.claims.get(&holding).is_some_and(|c| c.ask >= ask) {
            return false;
        }
        let new = || Claim { need, ask, heard: now, live: VecDeque::new() };
        let claim = self.claims.entry(holding).or_insert_with(new);
        (claim.need, claim.ask, claim.heard) = (need, ask, now);
        self.change(holding, |c| c.drop_if(|g| g.ask < need.using));
        true
    }

    pub fn returned(&mut self, holding: Holding, ask: u64) {
        self.change(holding, |c| {
            c.drop_if(|g| g.ask <= ask);
            (c.need.amount, c.ask) = (0, c.ask.max(ask));
        });
        self.levels = None;
    }

    /// Forgets what has ended.
    pub fn pass(&mut self, now: Time) {
        while let Some((_, holding)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.change(holding, |c| c.drop_if(|g| g.ends <= now));
        }
        for lender in self.lenders.values_mut() {
            lender.loans.retain(|l| l.ends > now);
        }
        self.lenders.retain(|_, l| !l.loans.is_empty());
    }

    /// Forgets who asks no more. Whether anything is left to know.
    pub fn sweep(&mut self, now: Time, after: Span) -> bool {
        self.claims.retain(|_, c| !c.live.is_empty() || now - c.heard < after);
        !self.claims.is_empty() || !self.lenders.is_empty()
    }

    /// Grants what the claim is due, as far as the books allow, and says how much.
    pub fn grant(&mut self, now: Time, holding: Holding, terms: Terms) -> u32 {
        self.pass(now);
        let target = self.target(now, holding, terms);
        let lent = match holding.0 {
            Member::Forwarder(_) => self.borrowed(now + terms.hold, |_| 0),
            // What is lent is not lent on.
            Member::Planner(_) => 0,
        };
        let gaps = self.levels.map_or(0, |(_, l)| l.gaps);
        self.give(now, holding, (target, gaps, lent), terms.hold)
    }

    /// Grants a target as far as the escrow and what is lent allow, of which all together lack `gaps`.
    pub fn give(
        &mut self,
        now: Time,
        holding: Holding,
        (target, gaps, lent): (u32, u64, u64),
        hold: Span,
    ) -> u32 {
        let Some(claim) = self.claims.get(&holding) else { return 0 };
        let (ask, counted) = (claim.ask, u64::from(claim.counts()));
        let taken = self.leases + self.loans - counted;
        // An amount that was counted before is counted still: it may be granted again, and no more.
        let room = (u64::from(self.escrow) + lent).saturating_sub(taken);
        // What others have given up is free later than it is due: while it is, those who lack more get more of it, or
        // whoever asks first after each return would have it all.
        let gap = u64::from(target).saturating_sub(counted);
        let gaps = gaps.max(gap).max(1);
        let more = (room.saturating_sub(counted) * gap).div_ceil(gaps);
        let amount = u64::from(target).min(room).min(counted + more) as u32;
        self.change(holding, |c| c.grant(Granted { ask, amount, ends: now + hold }));
        amount
    }

    /// Whether a later life of the member has a claim.
    pub fn incarnations_after(&self, (member, incarnation): Holding) -> bool {
        self.claims
            .range((Excluded((member, incarnation)), Included((member, Incarnation(u64::MAX)))))
            .next()
            .is_some()
    }

    /// Takes back what earlier lives of the member were granted.
    pub fn end_before(&mut self, (member, incarnation): Holding) {
        let earlier =
            self.claims.range((member, Incarnation(0))..(member, incarnation)).map(|(holding, _)| *holding);
        for holding in earlier.collect::<Vec<_>>() {
            self.change(holding, |c| c.live.clear());
            self.claims.remove(&holding);
        }
    }

    /// What others lend up to that moment, of loans from the asks given on.
    fn borrowed(&self, at: Time, from: impl Fn(&(PlannerId, Incarnation)) -> u64) -> u64 {
        self.lenders.iter().map(|(id, l)| u64::from(l.until(at, from(id)))).sum()
    }

    /// What others lend by their last word, which is what to plan with.
    fn lent_now(&self, but: Option<PlannerId>) -> u64 {
        let others = self.lenders.iter().filter(|((id, _), _)| Some(*id) != but);
        others.filter_map(|(_, l)| l.newest()).map(|l| u64::from(l.amount)).sum()
    }

    fn recent(&self, now: Time, recent: Span) -> impl Iterator<Item = (&Holding, &Claim)> {
        self.claims.iter().filter(move |(_, c)| now - c.heard < recent)
    }

    /// What a claim is due: all of its need, or as much as the others who go short.
    fn target(&mut self, now: Time, holding: Holding, terms: Terms) -> u32 {
        let levels = match self.levels {
            Some((at, levels)) if now - at < terms.fresh => levels,
            _ => self.find_levels(now, terms),
        };
        let Some(claim) = self.claims.get(&holding) else { return 0 };
        match holding.0 {
            Member::Forwarder(_) => due(&claim.need, levels.leases),
            Member::Planner(_) => due(&claim.need, levels.loans),
        }
    }

    /// The level for loans is that of all who ask. Loans come back slowly: until they do the forwarders here share what
    /// is left evenly.
    fn find_levels(&mut self, now: Time, terms: Terms) -> Levels {
        let (theirs, ours): (Vec<_>, Vec<_>) =
            self.recent(now, terms.recent).partition(|((who, _), _)| matches!(who, Member::Planner(_)));
        let needs = |claims: &[(&Holding, &Claim)]| claims.iter().map(|(_, c)| c.need).collect::<Vec<_>>();
        let (theirs, ours) = (needs(&theirs), needs(&ours));
        let all: Vec<_> = theirs.iter().chain(&ours).copied().collect();
        let there = u64::from(self.escrow) + self.lent_now(None);
        let loans = level(&all, there);
        let lent: u64 = theirs.iter().map(|n| u64::from(due(n, loans))).sum();
        let sure = u64::from(self.escrow) + self.borrowed(now + terms.hold_lease, |_| 0);
        let left = there.min(sure).saturating_sub(self.loans.max(lent));
        let leases = level(&ours, left);
        let gap = |c: &Claim| u64::from(due(&c.need, leases).saturating_sub(c.counts()));
        let ours = self.recent(now, terms.recent).filter(|((who, _), _)| matches!(who, Member::Forwarder(_)));
        let gaps = ours.map(|(_, c)| gap(c)).sum();
        let levels = Levels { loans, leases, gaps };
        self.levels = Some((now, levels));
        levels
    }

    /// What to ask of another planner, if forwarders go short here: in sum, how many, and what they have without it.
    pub fn wants(&self, now: Time, recent: Span, lender: PlannerId) -> Option<(u32, u32, u32)> {
        let there = u64::from(self.escrow) + self.lent_now(Some(lender));
        let mut needs: Vec<u64> = self
            .recent(now, recent)
            .filter(|((who, _), _)| matches!(who, Member::Forwarder(_)))
            .map(|(_, c)| u64::from(c.need.amount))
            .collect();
        needs.sort_unstable();
        let (mut left, mut short) = (there, needs.len() as u64);
        for need in &needs {
            if *need * short > left {
                break;
            }
            (left, short) = (left - need, short - 1);
        }
        let wanted: u64 = needs.iter().rev().take(short as usize).sum();
        let to_u32 = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
        (short > 0).then(|| (to_u32(wanted - left), to_u32(short), to_u32(left)))
    }

    /// Takes in a loan. An older one than is known may have been given up, and is void.
    pub fn lent(&mut self, lender: (PlannerId, Incarnation), loan: Loan) {
        let loans = &mut self.lenders.entry(lender).or_default().loans;
        if loans.len() < MOST_APART && loans.last().is_none_or(|l| l.ask < loan.ask) {
            loans.push(loan);
        }
    }

    /// The loan that is used from now on: the newest, if the books balance without earlier ones.
    pub fn uses(&mut self, now: Time, lender: PlannerId, hold: Span) -> u64 {
        self.pass(now);
        let newest = |l: &Lender| l.newest().map_or(0, |l| l.ask);
        let drops = |id: &(PlannerId, Incarnation)| {
            if id.0 == lender { self.lenders.get(id).map_or(0, newest) } else { 0 }
        };
        let without = u64::from(self.escrow) + self.borrowed(now + hold, drops);
        if self.leases + self.loans <= without {
            for (_, l) in self.lenders.iter_mut().filter(|((id, _), _)| *id == lender) {
                let keep = newest(l);
                l.loans.retain(|loan| loan.ask >= keep);
            }
        }
        let lives = self.lenders.iter().filter(|((id, _), _)| *id == lender);
        // Numbers are of this planner's own life, so one for all lives of the lender is right if it is the least.
        lives.filter_map(|(_, l)| l.loans.first()).map(|l| l.ask).min().unwrap_or(0)
    }

    /// What is neither leased nor lent, with what others lend here.
    pub fn free(&self) -> u64 {
        (u64::from(self.escrow) + self.lent_now(None)).saturating_sub(self.leases + self.loans)
    }

    pub fn leased(&self) -> u64 {
        self.leases
    }

    pub fn lent_out(&self) -> u64 {
        self.loans
    }

    pub fn entries(&self) -> usize {
        let live: usize = self.claims.values().map(|c| 1 + c.live.len()).sum();
        live + self.lenders.values().map(|l| l.loans.len()).sum::<usize>()
    }
}

/// What is due to a need at a level. Those that go short at another planner have something there already.
fn due(need: &Need, level: u32) -> u32 {
    let up_to = (u64::from(level) * u64::from(need.heads.max(1))).saturating_sub(u64::from(need.has));
    u64::from(need.amount).min(up_to) as u32
}

/// The greatest level at which all that is due is there: max-min fair. Found by halving, in whole thousandths.
pub fn level(needs: &[Need], there: u64) -> u32 {
    let fits = |level| needs.iter().map(|n| u64::from(due(n, level))).sum::<u64>() <= there;
    let most = needs.iter().map(|n| n.amount.saturating_add(n.has)).max().unwrap_or(0);
    let (mut low, mut high) = (0, most);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if fits(middle) { low = middle } else { high = middle - 1 }
    }
    // Where nobody goes short there is no level.
    if low == most { u32::MAX } else { low }
}
