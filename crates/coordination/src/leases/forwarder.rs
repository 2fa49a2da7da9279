//! A forwarder's side: knows what it needs from what its loop does, asks one planner at a time for it, and tells the
//! loop what it may use.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::calls::{AttemptOutcome, Lease};
use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::need::Use;
use super::standing::{ASKS, Ask, Parts, Usual};
use super::{Holder, LeaseError, LeaseMessage, Resource, Settings};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};
use crate::observation::{Observation, ObservedEndpoint};

/// A planner that leaves so many asks unanswered is passed over for `PASSED_OVER`.
const UNANSWERED: u8 = 2;
const PASSED_OVER: Span = Span::from_millis(5000);
/// How soon to look again whether the loop was told.
const UNTOLD: Span = Span::from_millis(50);
/// A lease's last moment, in which the loop goes over to what is left without it; and a beat, in which it is not told anew.
const LAST: Span = Span::from_millis(750);
/// Work of a call, in seconds, until one was seen; and how much each new one counts.
const FIRST_WORK: f64 = 0.005;
const NEW_WORK: f64 = 0.05;

struct Origin {
    servers: BTreeSet<EndpointId>,
    used: Use,
}

struct Cold {
    server: ObservedEndpoint,
    used: Use,
}

/// Asks that a planner left unanswered in a row, and when the last was sent.
#[derive(Clone, Copy)]
struct Silent {
    asks: u8,
    since: Time,
}

pub struct ForwarderComponent {
    settings: Settings,
    me: ForwarderId,
    holder: Holder,
    alive: BTreeSet<PlannerId>,
    silent: BTreeMap<PlannerId, Silent>,
    origin: Origin,
    /// All servers but origins that may become or be cold, bounded by the settings.
    cold: BTreeMap<EndpointId, Cold>,
    work: f64,
    letters: VecDeque<(Member, LeaseMessage)>,
    next_ask: Time,
    parts: Parts,
    usual: Usual,
    next_standing: Time,
    /// Whether the loop was told what it may use of the origin in this life. Until then it may go by what an earlier one
    /// held, and the first ask for a standing part ends that at planners.
    told: bool,
    /// Whether leases are held now, for the log.
    leased: bool,
    remarks: VecDeque<Event>,
}

impl ForwarderComponent {
    pub fn new(settings: Settings, me: ForwarderId, _life: Incarnation, now: Time) -> ForwarderComponent {
        let beat = settings.beat.0.max(1);
        // Not all at one moment, though all start at once.
        let first = now + Span(xxh3_64_with_seed(&[], me.0) % beat);
        let even = f64::from(settings.whole_origin) / f64::from(settings.forwarders.max(1));
        let no_standing = settings.standing_escrow() == 0;
        ForwarderComponent {
            settings,
            me,
            holder: Holder::default(),
            alive: BTreeSet::new(),
            silent: BTreeMap::new(),
            origin: Origin { servers: BTreeSet::new(), used: Use::new(now, Some(1000.0)) },
            cold: BTreeMap::new(),
            work: FIRST_WORK,
            letters: VecDeque::new(),
            next_ask: first,
            parts: Parts::default(),
            usual: Usual::new(now, even),
            told: false,
            next_standing: if no_standing { Time(u64::MAX) } else { first },
            leased: false,
            remarks: VecDeque::new(),
        }
    }

    /// What the loop did or was told.
    pub fn seen(&mut self, now: Time, sight: &Observation) {
        match sight {
            Observation::EndpointsChanged(servers) => self.listed(now, servers),
            // Known by what was sent alone, a need far over what is allowed would be found out step by step.
            Observation::AttemptSent { is_origin: true, write: false, .. } | Observation::FetchDenied => {
                self.origin.used.add(1000.0);
                self.usual.add(1000.0);
            }
            Observation::AttemptSent { cache, is_origin: false, .. } => {
                if let Some(cold) = self.cold.get_mut(cache) {
                    // As if the cache were warm and of size 1, as leases are.
                    let by = warmth(&self.settings, now, &cold.server) * cold.server.size.max(1e-3);
                    cold.used.add(self.work * Resource::Cold(*cache).parts() / by);
                }
            }
            Observation::AttemptFinished(ended)
                if !ended.is_origin && ended.outcome == AttemptOutcome::Fulfilled =>
            {
                let work = ended.work.unwrap_or(ended.latency).as_secs_f64();
                self.work += NEW_WORK * (work - self.work);
            }
            Observation::AttemptSent { .. } | Observation::AttemptFinished(_) => {}
        }
    }

    fn listed(&mut self, now: Time, servers: &[ObservedEndpoint]) {
        self.origin.servers = servers.iter().filter(|s| s.is_origin).map(|s| s.cache).collect();
        let is_cold = |s: &&ObservedEndpoint| !s.is_origin && warmth(&self.settings, now, s) < 1.0;
        let cold: Vec<ObservedEndpoint> =
            servers.iter().filter(is_cold).take(self.settings.most_cold).copied().collect();
        let mut before = std::mem::take(&mut self.cold);
        for server in cold {
            let used = before.remove(&server.cache).map(|c| c.used);
            if used.is_none() {
                // Others see it too: not all at one moment.
                let beat = self.settings.beat.0.max(1);
                self.next_ask = self.next_ask.min(now + Span(self.me.0 % beat));
            }
            self.cold
                .insert(server.cache, Cold { server, used: used.unwrap_or_else(|| Use::new(now, None)) });
        }
    }

    /// What the loop may use now, of each origin and each cold cache. The loop has to be given it before any letter
    /// that is pulled after.
    pub fn advice(&mut self, now: Time) -> Vec<(EndpointId, Lease)> {
        self.holder.pass(now);
        self.holder.tell();
        self.parts.pass(now);
        self.parts.tell();
        self.told |= !self.origin.servers.is_empty();
        let origins = self.origin.servers.len().max(1) as f64;
        let origin = self.lease(now, Resource::Origin, 1.0 / origins);
        let mut advice: Vec<_> = self.origin.servers.iter().map(|id| (*id, origin)).collect();
        let cold = self.cold.values().map(|c| c.server);
        advice.extend(cold.map(|s| (s.cache, self.lease(now, Resource::Cold(s.cache), s.size))));
        advice
    }

    fn lease(&self, now: Time, of: Resource, times: f64) -> Lease {
        let own = self.settings.own(of);
        let amount = |n: u32| f64::from(n) / of.parts() * times;
        let leased = (self.holder.holds(now, of), self.holder.ends(now, of));
        let stands = match of {
            Resource::Origin => (self.parts.holds(now), self.parts.ends(now)),
            Resource::Cold(_) => (0, None),
        };
        // A lease that ends takes nothing of the standing part with it: its last moment is left out.
        let leased = match (leased.1, stands.1) {
            (Some(ends), Some(_)) if ends - now <= LAST => (0, None),
            _ => leased,
        };
        let most = amount(own.saturating_add(leased.0).saturating_add(stands.0));
        let until = leased.1.into_iter().chain(stands.1).min().unwrap_or(now);
        Lease { most, until, then: amount(own) }
    }

    /// What it may use of a resource for longer than a lease lasts.
    fn sure(&self, now: Time, of: Resource) -> u32 {
        let own = self.settings.own(of);
        if of == Resource::Origin { own.saturating_add(self.parts.holds(now)) } else { own }
    }

    /// Asks each planner that lives for its standing part.
    fn ask_standing(&mut self, now: Time) {
        self.parts.pass(now);
        let need = self.usual.need(now);
        for planner in self.alive.iter().filter(|p| self.settings.planners.contains(p)) {
            let Ask { ask, need, using, to, has } = self.parts.ask(now, *planner, need);
            let message = LeaseMessage::AskStanding { ask, need, using, to, has };
            self.letters.push_back((Member::Planner(*planner), message));
        }
    }

    /// It ends: gives everything back, so that others need not wait. The loop must be sending nothing more.
    pub fn leave(&mut self) {
        let back = self.holder.give_back();
        self.letters.extend(back.into_iter().map(|(p, m)| (Member::Planner(p), m)));
        let (whom, ask) = self.parts.give_back();
        let back = whom.into_iter().map(|p| (Member::Planner(p), LeaseMessage::ReturnStanding { ask }));
        self.letters.extend(back);
        (self.next_ask, self.next_standing) = (Time(u64::MAX), Time(u64::MAX));
    }

    /// The planner to ask: the first for this forwarder that answers. If none does, the one that was asked longest ago.
    fn planner(&mut self, now: Time) -> Option<PlannerId> {
        self.silent.retain(|_, s| now - s.since < PASSED_OVER);
        let known = self.alive.iter().filter(|p| self.settings.planners.contains(p));
        let mut order: Vec<_> = known.map(|p| (xxh3_64_with_seed(&[p.0], self.me.0), *p)).collect();
        order.sort_unstable();
        let speaks = |p: &PlannerId| self.silent.get(p).is_none_or(|s| s.asks < UNANSWERED);
        let first = order.iter().map(|(_, p)| *p).find(speaks);
        let since = |p: &PlannerId| self.silent.get(p).map(|s| s.since);
        first.or_else(|| order.iter().map(|(_, p)| *p).min_by_key(since))
    }

    fn ask(&mut self, now: Time) {
        self.cold.retain(|_, c| warmth(&self.settings, now, &c.server) < 1.0);
        self.holder.pass(now);
        let mut amounts = BTreeMap::new();
        let (settings, holder) = (&self.settings, &self.holder);
        let sure = self.sure(now, Resource::Origin);
        let mut need = |of: Resource, used: &mut Use| {
            let own = if of == Resource::Origin { sure } else { settings.own(of) };
            let allowed = f64::from(own.saturating_add(holder.holds(now, of)));
            let whole = f64::from(settings.whole(of));
            let even = whole / f64::from(settings.forwarders.max(1));
            let need = used.need(now, allowed, even).min(whole);
            let beyond = (need - f64::from(own)).max(0.0) as u32;
            // A need that is over is said once more, so that the planner knows.
            if beyond > 0 || holder.holds(now, of) > 0 {
                amounts.insert(of, beyond);
            }
        };
        need(Resource::Origin, &mut self.origin.used);
        for (id, cold) in &mut self.cold {
            need(Resource::Cold(*id), &mut cold.used);
        }
        let gone: Vec<_> = self.holder.resources().filter(|r| !amounts.contains_key(r)).collect();
        amounts.extend(gone.into_iter().map(|r| (r, 0)));
        if amounts.is_empty() {
            return;
        }
        let Some(planner) = self.planner(now) else { return };
        let silent = self.silent.entry(planner).or_insert(Silent { asks: 0, since: now });
        (silent.asks, silent.since) = (silent.asks.saturating_add(1), now);
        let amounts: Vec<_> = amounts.into_iter().collect();
        for message in self.holder.ask(now, planner, &amounts) {
            self.letters.push_back((Member::Planner(planner), message));
        }
    }

    /// Says in the log when leases begin and when they are over.
    fn remark(&mut self, now: Time) {
        let leased = self.holder.resources().any(|r| self.holder.holds(now, r) > 0);
        let asks = self.silent.values().any(|s| s.asks >= UNANSWERED) || self.alive.is_empty();
        if leased == self.leased || !leased && !asks {
            return;
        }
        self.leased = leased;
        let text =
            if leased { "uses leases of planners" } else { "no planner grants leases: goes by its own part" };
        self.remarks.push_back(Event { name: "leases", message: text.to_string(), is_warning: !leased });
    }
}

/// The share of its capacity that a server has.
fn warmth(settings: &Settings, now: Time, server: &ObservedEndpoint) -> f64 {
    let Some(started) = server.started.filter(|_| server.warm_after > Span::ZERO) else { return 1.0 };
    let age = (now - started).as_secs_f64() / server.warm_after.as_secs_f64();
    settings.cold_from + (1.0 - settings.cold_from) * age.min(1.0)
}

impl Component for ForwarderComponent {
    type Message = LeaseMessage;
    type Error = LeaseError;

    fn on_message(&mut self, now: Time, from: Sender, message: LeaseMessage) -> Result<(), LeaseError> {
        let Member::Planner(planner) = from.member else { return Err(LeaseError::NotForUs) };
        if !self.settings.planners.contains(&planner) {
            return Err(LeaseError::Stranger);
        }
        self.parts.on_message(planner, from.incarnation);
        if let LeaseMessage::Standing { ask, amount, lasts } = message {
            if lasts == 0 {
                // Nothing is granted or taken back: what is held is told to this life with the next ask.
                return Ok(());
            }
            let lasts = Span(u64::from(lasts)).min(self.settings.standing_lasts);
            return self.parts.granted(now, (planner, from.incarnation), ask, amount, lasts);
        }
        let LeaseMessage::Grant { ask, granted, lasts } = message else { return Err(LeaseError::NotForUs) };
        let lasts = Span(u64::from(lasts)).min(self.settings.longest);
        self.holder.granted(now, (planner, from.incarnation), ask, &granted, lasts)?;
        self.silent.remove(&planner);
        self.remark(now);
        Ok(())
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        let planners = |m: &Member| match m {
            Member::Planner(id) => Some(*id),
            Member::Forwarder(_) => None,
        };
        let alive: BTreeSet<_> = alive.iter().filter_map(planners).collect();
        self.silent.retain(|p, _| self.alive.contains(p) && alive.contains(p));
        self.alive = alive;
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, LeaseMessage)> {
        if now >= self.next_ask {
            self.next_ask = now + self.settings.beat;
            self.ask(now);
            self.remark(now);
        }
        if now >= self.next_standing {
            self.next_standing = now + if self.told { ASKS } else { UNTOLD };
            if self.told {
                self.ask_standing(now);
            }
        }
        self.letters.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        let next = self.next_ask.min(self.next_standing);
        Some(if self.letters.is_empty() { next.max(now) } else { now })
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        self.holder.entries()
            + self.parts.entries()
            + self.cold.len()
            + self.silent.len()
            + self.origin.servers.len()
            + self.letters.len()
    }
}
