//! How many try each failing cache, and who.

use std::collections::BTreeMap;

use granitelb_balancer::ids::EndpointId;
use granitelb_balancer::time::{Span, Time};

use super::rank::{Duty, Window, holders};
use crate::member::ForwarderId;

#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Turns last so long. Long enough that a holder is told, waits its second and has tried; short, since a holder that
    /// died unnoticed keeps it.
    pub window: Span,
    /// Trials of a cache in a window, over the fleet.
    pub wanted: f64,
    /// More failing caches than these have no turns: all forwarders leave them to their own trials' clock.
    pub most_caches: usize,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { window: Span::from_millis(2000), wanted: 1.5, most_caches: 2048 }
    }
}

/// Until all have been told, shots go to an ill cache that are no trials: in so many windows, the one in which it fell
/// ill included, they are not counted.
const BLIND: u64 = 1;
/// A planner behind another gives turns after so many windows without a trial, for each that is before it.
const STANDS_BACK: u64 = 2;
/// At first no more than this share holds a turn, whatever is reckoned from what came before.
const FIRST_SHARE: f64 = 0.125;
/// Of what was seen of turns so much counts in the next window.
const KEEPS: f64 = 0.8;
/// An answer of an ill cache makes so many times as many try it: one more is wanted to be sure.
const ON_ANSWER: usize = 4;

struct Sick {
    since: Window,
    /// How many hold the turn, and how many did first.
    many: usize,
    first: usize,
    /// Turns held and trials, over windows, fading: what one turn brings.
    held: f64,
    brought: f64,
    /// Trials of this window, and whether one was answered.
    sent: f64,
    answered: bool,
    /// Windows in a row without a trial.
    quiet: u64,
    /// In order.
    holders: Vec<ForwarderId>,
}

pub struct Trials {
    settings: Settings,
    window: Window,
    members: Vec<ForwarderId>,
    /// Planners before this one.
    before: u64,
    sick: BTreeMap<EndpointId, Sick>,
}

impl Trials {
    pub fn new(settings: Settings, now: Time) -> Trials {
        let window = Window(now.0 / settings.window.0.max(1));
        Trials { settings, window, members: Vec::new(), before: 0, sick: BTreeMap::new() }
    }

    /// The forwarders that live, in order, and how many planners that live are before this one.
    pub fn on_membership_change(&mut self, members: Vec<ForwarderId>, before: usize) {
        (self.members, self.before) = (members, before as u64);
        for (cache, sick) in &mut self.sick {
            if self.before == 0 {
                sick.many = sick.many.max(sick.first);
            }
            pick(self.window, &self.members, *cache, sick);
        }
    }

    /// A cache is held to fail; before that it got so many shots a second of all forwarders.
    pub fn fell_ill(&mut self, now: Time, cache: EndpointId, rate: f64) {
        self.advance(now);
        if self.sick.len() >= self.settings.most_caches || self.sick.contains_key(&cache) {
            return;
        }
        let live = self.members.len() as f64;
        let a_window = (rate * self.settings.window.as_secs_f64()).max(1e-3);
        // Where each forwarder would send it this share of a shot in a window, it takes so many for one.
        let first = (live * self.settings.wanted / a_window).ceil().min((live * FIRST_SHARE).ceil()).max(1.0);
        let many = if self.before == 0 { first as usize } else { 0 };
        let mut sick = Sick {
            since: self.window,
            many,
            first: first as usize,
            held: first,
            brought: self.settings.wanted,
            sent: 0.0,
            answered: false,
            quiet: 0,
            holders: Vec::new(),
        };
        pick(self.window, &self.members, cache, &mut sick);
        self.sick.insert(cache, sick);
    }

    pub fn healed(&mut self, cache: EndpointId) {
        self.sick.remove(&cache);
    }

    /// So many shots were sent to a failing cache; whether some were answered.
    pub fn tried(&mut self, now: Time, cache: EndpointId, sent: f64, answered: bool) {
        self.advance(now);
        let Some(sick) = self.sick.get_mut(&cache) else { return };
        sick.sent += sent;
        if answered && !sick.answered {
            sick.answered = true;
            sick.many = (sick.many * ON_ANSWER).min(self.members.len()).max(sick.many);
            pick(self.window, &self.members, cache, sick);
        }
    }

    /// Whether it is this forwarder's turn to try a failing cache.
    pub fn has(&mut self, now: Time, cache: EndpointId, forwarder: ForwarderId) -> bool {
        self.advance(now);
        self.sick.get(&cache).is_some_and(|s| s.holders.binary_search(&forwarder).is_ok())
    }

    pub fn entries(&self) -> usize {
        self.members.len() + self.sick.values().map(|s| 1 + s.holders.len()).sum::<usize>()
    }

    fn advance(&mut self, now: Time) {
        let window = Window(now.0 / self.settings.window.0.max(1));
        if window <= self.window {
            return;
        }
        self.window = window;
        for (cache, sick) in &mut self.sick {
            if window.0 - sick.since.0 > BLIND {
                judge(sick, self.settings.wanted, self.before, self.members.len());
            }
            (sick.sent, sick.answered) = (0.0, false);
            pick(window, &self.members, *cache, sick);
        }
    }
}

/// How many hold the next window's turn, by what turns brought so far.
fn judge(sick: &mut Sick, wanted: f64, before: u64, live: usize) {
    sick.quiet = if sick.sent > 0.0 { 0 } else { sick.quiet + 1 };
    sick.held = sick.held * KEEPS + sick.many as f64;
    sick.brought = sick.brought * KEEPS + sick.sent;
    let twice = (sick.many * 2).max(1);
    let enough = (wanted * sick.held / sick.brought.max(1e-3)).round().min(twice as f64) as usize;
    sick.many = match (before, sick.many) {
        (0, _) => enough.max(1),
        // Behind another that gives turns, as far as trials tell.
        (_, 0) if sick.quiet < STANDS_BACK * before => 0,
        (_, 0) => sick.first,
        (_, _) if sick.sent >= 2.0 * wanted => 0,
        (_, _) => enough,
    };
    sick.many = sick.many.min(live);
}

fn pick(window: Window, members: &[ForwarderId], cache: EndpointId, sick: &mut Sick) {
    sick.holders = holders(Duty::Try(cache), window, members, sick.many);
    sick.holders.sort_unstable();
}
