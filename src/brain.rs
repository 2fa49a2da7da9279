//! All decisions of one node. How to call it: make a [`Brain`] from the settings; tell it what happens
//! (`caches_listed`, `list_failed`, `api_call`, `client_left`, `shot_ended`: they only update what is known);
//! then pull `next_shot`, `next_answer`, `next_recall` and `wants_watch` until none is left, and call again
//! by `next_wake`. The interface is the block `impl Brain` headed "Interface". The ordinary path is `ranked`:
//! the highest learned weight among a key's three candidates. Rules are kept in `may_send`, which every shot
//! passes, and `answer`, which every final answer passes. Where this leaves its design: `docs/design.md`.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher, Hash};
use std::ops::Bound::{Excluded, Unbounded};

use crate::calls::{Answer, ApiCall, Listing, Outcome, Shot, ShotEnd};
use crate::decay::{FadingLevel, FadingMean, FadingSum};
use crate::ids::{ApiCallId, CacheId, Key, KindId, ProductId, ShotNumber, TenantId};
use crate::settings::{DedupScope, Effect, Mode, Product, Settings};
use crate::units::{Span, Time};

// The mechanism. Its source leaves these figures open.
/// Candidates of a key.
const CANDIDATES: usize = 3;
/// Enough that one slot holds about a thousandth of the keys.
const SLOTS: u64 = 1024;
/// Starting weights by place, raised by up to `START_SPREAD` by the key's hash: a push moves keys one by one.
const START: [f64; CANDIDATES] = [0.6, 0.4, 0.2];
const START_SPREAD: f64 = 0.3;
/// The pull's rate η and the width λe^(−f) + β of its neighbourhood.
const PULL: f64 = 0.05;
const WIDTH_SHARE: f64 = 0.2;
const WIDTH_BASE: f64 = 0.15;
/// The push: α, its memory K (under one, so that it dies out), d, and the weight it drives towards.
const PUSH: f64 = 0.01;
const PUSH_KEPT: f64 = 0.5;
const PUSH_STEEPNESS: f64 = 1.0;
const PUSH_TARGET: f64 = 0.9;
/// A cache's part of its keys is cut so at a step while its listed load means a late answer, and grows else.
const PART_CUT: f64 = 0.9;
const PART_GROWS: f64 = 0.025;
const LEARNING_STEP: Span = Span::from_millis(250);
/// Keys with stored weights; past it the half that was asked for least of late goes.
const MAX_KEYS: usize = 4096;
/// A key's count is taken to be this many standard deviations lower, lest chance make it look heavy.
const SURE: f64 = 1.5;
/// How long usage is remembered: a few learning steps, many API calls.
const USAGE_MEMORY: Span = Span::from_millis(3000);
/// How long a key's share and answer times are remembered: they move more slowly than usage.
const RATE_MEMORY: Span = Span::from_millis(12_000);

// Around it.
/// Of its last five outcomes, a healthy cache has so many successes.
const ALL_GOOD: u32 = 0b11111;
const SUCCESSES_NEEDED: u32 = 3;
/// First wait before a failing cache is tried again, doubled up to the last.
const FIRST_TRIAL: Span = Span::from_millis(1000);
const LAST_TRIAL: Span = Span::from_millis(8000);
/// In-flight limits start so high over all nodes together, and are cut to this share.
const FIRST_LIMIT: f64 = 12.0;
const LIMIT_CUT: f64 = 0.7;
/// Low limits grow by this share at most: small limits of many nodes settle where few shots meet a crowd.
const LIMIT_GROWS: f64 = 0.3;
/// Low enough to let a crowd of several nodes drain, high enough to notice soon that it has.
const MIN_LIMIT: f64 = 0.25;
/// An answer slower than this share of its SLO tells of a queue.
const SLOW_SHARE: f64 = 0.4;
/// Share of an SLO that an API call may wait here, with nothing out, for room.
const PATIENCE: f64 = 0.4;
/// A turned-away client is asked to stay away for this many SLOs: a repeat soon after would come too late.
const COME_BACK: f64 = 4.0;
/// A shot left without an answer for less than this share of its SLO says nothing of the cache.
const SILENCE_SHARE: f64 = 0.5;
/// So many shots at a through cache that are out for long, with nothing heard from it since, tell that it is silent;
/// unless more than this share of all caches keep some so: then it is the origin that keeps them.
const SILENT_SHOTS: u32 = 3;
const SILENT_CACHES: f64 = 0.34;
/// A tenant's unused quota is kept for this long, but so many calls of it at the least: few come in groups.
const QUOTA_MEMORY_S: f64 = 1.0;
const QUOTA_SAVED: f64 = 8.0;
/// Cold caches are sent at most so many times what warm size carried of late, where calls ask for more.
const COLD_GROWS: f64 = 1.5;
/// How often waiting calls are looked at when nothing happens.
const RECHECK: Span = Span::from_millis(20);
/// A refused or unanswered watch is asked for again after this, growing, with jitter.
const FIRST_REASK: Span = Span::from_millis(500);
/// Asking waits at most this share of the time after which a node counts as not asking.
const REASK_SHARE: f64 = 0.25;

/// A limit on what is in flight: grows by one each time it was filled and served, cut by a share. Under one
/// it is the share of the time that a shot may be out, or many nodes together would keep a crowd up for good.
struct Limit {
    in_flight: f64,
    most: f64,
    least: f64,
    last_cut: Time,
    rest_until: Time,
}

struct Cache {
    listing: Listing,
    is_origin: bool,
    /// A bit each, the last one lowest; successes are ones.
    outcomes: u32,
    /// While it fails: when one shot may try it again, and the wait after that.
    trial: Option<(Time, Span)>,
    limit: Limit,
    usage: FadingLevel,
    /// While cold: work saved up for it and when, and the share of a call's that the next one takes.
    saved: (f64, Time),
    draw: f64,
    /// The part of its keys that it may take, by its listed load.
    part: f64,
    push: f64,
    /// The quickest answer of late, and when the last of the shots was sent that were answered soon.
    quickest: Span,
    overtook: Time,
    /// When anything was heard from it last, and how many shots have been out for long since.
    heard: Time,
    silent: u32,
}

struct KeyWeights {
    table: u64,
    slot: u64,
    slots: [Option<(CacheId, f64)>; CANDIDATES],
    asked: FadingSum,
    /// The cache that answered last, and so holds it unless it was voided or dropped.
    held_by: Option<CacheId>,
}

/// A shot that was sent.
#[derive(Clone, Copy)]
struct Sent {
    call: ApiCall,
    cache: CacheId,
    at: Time,
    out: bool,
    /// How likely it was to make the cache fetch.
    fetch: f64,
    over_quota: bool,
}

struct Open {
    call: ApiCall,
    over_quota: bool,
    rank: (u64, u64),
    slo_end: Time,
    end: Time,
    patience_end: Time,
    shots: Vec<Sent>,
    /// The first shot that may have run.
    may_have_run: Option<usize>,
    /// Caches that lacked the key or did not serve it.
    passed: Vec<CacheId>,
    lacking: bool,
}

impl Open {
    fn first_out(&self) -> Option<usize> {
        self.shots.iter().position(|s| s.out)
    }

    /// The first shot that may have run, or yet may.
    fn first_risky(&self) -> Option<usize> {
        [self.may_have_run, self.first_out()].into_iter().flatten().min()
    }
}

pub struct Brain {
    settings: Settings,
    seed: u64,
    chances: u64,
    caches: BTreeMap<CacheId, Cache>,
    /// The serving caches with their sizes, and the three best in each slot used since they changed.
    serving: Vec<(CacheId, f64)>,
    table: Vec<Option<[Option<CacheId>; CANDIDATES]>>,
    table_version: u64,
    keys: HashMap<Key, KeyWeights>,
    asked: FadingSum,
    learned: Time,
    /// For each product, how long an answer takes in seconds: a cache's without a fetch, and the origin's.
    latencies: Vec<[FadingMean; 2]>,
    /// Each tenant's unused quota and when it was reckoned.
    quotas: Vec<(f64, Time)>,
    open: HashMap<ApiCallId, Open>,
    ready: BTreeMap<(u64, u64), ApiCallId>,
    cursor: Option<(u64, u64)>,
    alarms: BTreeSet<(Time, ApiCallId)>,
    /// The reads that have a fetch of their key out, and those that wait for it.
    fetching: HashMap<Key, (ApiCallId, Vec<ApiCallId>)>,
    /// Every shot whose end was not heard yet, also of calls that have ended.
    out: HashMap<(ApiCallId, ShotNumber), Sent>,
    /// Fetches that through caches are held to make for this node's calls.
    fetches: Limit,
    /// How often a shot that might make a through cache fetch did so of late.
    fetch_odds: FadingMean,
    answers: VecDeque<(ApiCallId, Answer)>,
    recalls: VecDeque<(ApiCallId, ShotNumber)>,
    calls_seen: u64,
    nominal: BTreeMap<KindId, f64>,
    /// Shots of calls beyond their quota, at all caches together.
    spare: Limit,
    reask: Option<(Time, Span)>,
    /// Work sent to caches in the fall window, and its part for each unit of warm size over a warm-up's time.
    sent: FadingSum,
    carried: FadingMean,
    /// Work that calls asked of caches, over the fall window, and the warm size at the last learning step.
    wanted: FadingSum,
    warm_size: f64,
    now: Time,
}

fn hash_of(parts: impl Hash) -> u64 {
    BuildHasherDefault::<DefaultHasher>::default().hash_one(parts)
}

/// A hash as a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1u64 << 53) as f64
}

/// The most calls of a quota that a node with this rate of it saves up.
fn most_quota(per_s: f64) -> f64 {
    (per_s * QUOTA_MEMORY_S).max(QUOTA_SAVED)
}

/// Interface.
impl Brain {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Brain {
        let latencies = |p: &Product| [FadingMean::new(RATE_MEMORY, now, p.slo.as_secs_f64() / 8.0); 2];
        let quota = |per_s: &f64| (most_quota(per_s / settings.nodes), now);
        Brain {
            sent: FadingSum::new(settings.fall_window.max(LEARNING_STEP), now),
            wanted: FadingSum::new(settings.fall_window.max(LEARNING_STEP), now),
            warm_size: 0.0,
            carried: FadingMean::new(settings.warm_after.max(LEARNING_STEP), now, 0.0),
            latencies: settings.products.iter().map(latencies).collect(),
            quotas: settings.quotas_per_s.iter().map(quota).collect(),
            reask: settings.list_on_request.then_some((now, FIRST_REASK)),
            fetch_odds: FadingMean::new(USAGE_MEMORY, now, 1.0),
            fetches: Limit::new(settings.nodes, MIN_LIMIT, now),
            spare: Limit::new(settings.nodes, MIN_LIMIT / settings.nodes, now),
            settings,
            seed,
            chances: 0,
            caches: BTreeMap::new(),
            serving: Vec::new(),
            table: vec![None; SLOTS as usize],
            table_version: 0,
            keys: HashMap::new(),
            asked: FadingSum::new(RATE_MEMORY, now),
            learned: now,
            open: HashMap::new(),
            ready: BTreeMap::new(),
            cursor: None,
            alarms: BTreeSet::new(),
            fetching: HashMap::new(),
            out: HashMap::new(),
            answers: VecDeque::new(),
            recalls: VecDeque::new(),
            calls_seen: 0,
            nominal: BTreeMap::new(),
            now,
        }
    }

    /// The list that an earlier life of this node last saw; it may be old.
    pub fn caches_remembered(&mut self, now: Time, listings: &[Listing]) {
        self.take_list(now, listings, true);
    }

    /// The list of caches, or its changed lines. Where it only comes on request, the watch stands.
    pub fn caches_listed(&mut self, now: Time, listings: &[Listing], complete: bool) {
        self.reask = None;
        self.take_list(now, listings, complete);
    }

    /// The list could not be had, or the watch was lost.
    pub fn list_failed(&mut self, now: Time) {
        self.heard(now);
        let most = self.settings.must_ask_in.scaled(REASK_SHARE);
        let wait = self.reask.map_or(FIRST_REASK, |r| Span(r.1.0 * 2).min(most).max(FIRST_REASK));
        self.reask = Some((now + wait.scaled(0.5 + self.chance()), wait));
    }

    pub fn api_call(&mut self, now: Time, id: ApiCallId, call: ApiCall) {
        self.heard(now);
        let Some(product) = self.settings.products.get(call.product.0 as usize) else {
            return self.answers.push_back((id, Answer::Errored));
        };
        let slo = product.slo.min(call.budget);
        let work = if self.settings.value_by_work { 1.0 } else { self.latency(now, call.product, false) };
        let value = product.billed_value / work.max(1e-6);
        let over_quota = !self.within_quota(now, call.tenant);
        self.calls_seen += 1;
        let rank = ((u64::from(over_quota) << 63) | (u64::MAX / 2 - value.to_bits() / 2), self.calls_seen);
        let patience = if over_quota { Span::ZERO } else { slo.scaled(PATIENCE) };
        let open = Open {
            call,
            over_quota,
            rank,
            slo_end: now + slo,
            end: now + call.budget,
            patience_end: now + patience,
            shots: Vec::new(),
            may_have_run: None,
            passed: Vec::new(),
            lacking: false,
        };
        self.open.insert(id, open);
        self.ready.insert(rank, id);
        self.alarms.insert((now + call.budget, id));
        self.note_asked(now, &call);
    }

    /// The client no longer waits for this call, or was answered otherwise.
    pub fn client_left(&mut self, now: Time, id: ApiCallId) {
        self.heard(now);
        self.close(id);
    }

    pub fn shot_ended(&mut self, now: Time, id: ApiCallId, end: &ShotEnd) {
        self.heard(now);
        let ShotEnd { number, cache, outcome, latency, answered } = *end;
        let Some(sent) = self.out.remove(&(id, number)).filter(|s| s.cache == cache) else { return };
        // An error slower than a hit tells of a fetch behind the cache.
        let slower = latency.as_secs_f64() > self.latency(now, sent.call.product, false);
        let fetch_failed = self.settings.mode == Mode::Through && outcome == Outcome::Errored && slower;
        self.judge(now, &sent, outcome, latency, fetch_failed);
        let (origin, lost) = (self.is_origin(cache), self.is_overtaken(&sent));
        let Some(open) = self.open.get_mut(&id) else { return };
        open.shots.iter_mut().skip(number.0 as usize).take(1).for_each(|shot| shot.out = false);
        if !outcome.proves_it_never_ran() && open.may_have_run.is_none_or(|n| n > number.0 as usize) {
            open.may_have_run = Some(number.0 as usize);
        }
        open.lacking |= outcome == Outcome::Lacking && !origin;
        // A first reset may be its connection's alone: the cache that holds the key is asked once more.
        let again = outcome == Outcome::Reset && open.shots.iter().filter(|s| s.cache == cache).count() == 1;
        let stays = matches!(outcome, Outcome::Full | Outcome::Moot) || outcome == Outcome::Recalled && lost;
        open.passed.extend((!origin && !stays && !again).then_some(cache));
        self.release_joined(id);
        if answered {
            self.close(id);
        } else if fetch_failed {
            // Another cache would only ask the origin, which is in trouble, once more.
            self.give_up(id);
        } else if self.open.get(&id).is_some_and(|o| o.first_out().is_none()) {
            self.set_waiting(id);
        }
    }

    /// The next shot to send now.
    pub fn next_shot(&mut self, now: Time) -> Option<Shot> {
        self.advance(now);
        loop {
            let after = self.cursor.map_or(Unbounded, Excluded);
            let (&rank, &id) = self.ready.range((after, Unbounded)).next()?;
            self.cursor = Some(rank);
            if let Some(shot) = self.place(now, id) {
                return Some(shot);
            }
        }
    }

    /// The next final answer to give.
    pub fn next_answer(&mut self, now: Time) -> Option<(ApiCallId, Answer)> {
        self.advance(now);
        self.answers.pop_front()
    }

    /// The next shot to call off.
    pub fn next_recall(&mut self) -> Option<(ApiCallId, ShotNumber)> {
        self.recalls.pop_front()
    }

    /// Whether to ask for a watch on the list now.
    pub fn wants_watch(&mut self, now: Time) -> bool {
        let Some((_, wait)) = self.reask.filter(|(at, _)| *at <= now) else { return false };
        self.reask = Some((now + self.settings.must_ask_in.scaled(REASK_SHARE).max(wait), wait));
        true
    }

    /// How many entries are kept of calls, keys and caches; however long it lives, this has a bound.
    pub fn entries(&self) -> usize {
        let sent = self.alarms.len() + self.out.len() + self.fetching.len() + self.recalls.len();
        sent + self.open.len() + self.ready.len() + self.answers.len() + self.keys.len() + self.caches.len()
    }

    /// When to pull again if nothing happens before.
    pub fn next_wake(&self, now: Time) -> Option<Time> {
        let alarm = self.alarms.first().map(|a| a.0);
        let recheck = (!self.ready.is_empty()).then_some(now + RECHECK);
        [alarm, recheck, self.reask.map(|r| r.0)].into_iter().flatten().min().map(|w| w.max(now))
    }
}

/// Choosing a cache.
impl Brain {
    /// The shot for a call that waits, if one can be sent; else it may be given up or go on waiting.
    fn place(&mut self, now: Time, id: ApiCallId) -> Option<Shot> {
        let open = self.open.get(&id)?;
        let asks_origin = self.settings.mode != Mode::Through && (open.call.write || open.lacking);
        let typical = Span::from_secs_f64(self.latency(now, open.call.product, asks_origin));
        // Nothing can come of a call that may have run and must not run twice: it is not sat upon.
        let possible =
            |c: &Cache| !open.passed.contains(&c.listing.cache) && self.may_repeat(now, open, &c.listing);
        let barred = open.may_have_run.is_some() && !self.caches.values().any(possible);
        if now + typical > open.slo_end || barred || open.shots.len() >= self.settings.max_shots as usize {
            self.give_up(id);
            return None;
        }
        let fetch = self.fetching.get_mut(&open.call.key).filter(|f| f.0 != id && !open.call.write);
        if let Some((_, waiting)) = fetch {
            waiting.push(id);
            self.ready.remove(&open.rank);
            // A joined call whose fetch drags on is given up at its SLO.
            self.alarms.insert((open.slo_end, id));
            return None;
        }
        let target = match (!asks_origin).then(|| self.best_candidate(now, id)).flatten() {
            None if asks_origin || self.all_fail(id) => self.free_origin(now, id),
            cache => cache,
        };
        if target.is_none() && now >= self.open[&id].patience_end && self.open[&id].shots.is_empty() {
            self.give_up(id);
        }
        Some(self.send(now, id, target?))
    }

    /// A key's candidates that the list holds, the highest weight first.
    fn ranked(&self, key: Key) -> Vec<CacheId> {
        let slots = match self.keys.get(&key) {
            Some(weights) if weights.table == self.table_version => weights.slots,
            known => self.start_weights(key, known.map_or_else(|| self.slot_of(key, 0.0), |k| k.slot)),
        };
        let mut ranked: Vec<_> = slots.into_iter().flatten().collect();
        ranked.sort_by(|a, b| b.1.total_cmp(&a.1));
        ranked.into_iter().map(|r| r.0).collect()
    }

    /// The candidate of highest weight that may be sent to.
    fn best_candidate(&self, now: Time, id: ApiCallId) -> Option<CacheId> {
        let key = self.open[&id].call.key;
        // A cold cache takes a part of its keys, the same at every node, and all if all are cold. A crowded
        // one takes a part too, but not the same ones at each node, so that a heavy key is shared out.
        let takes = |c: &Cache, by: u64, part: f64| unit(hash_of((key, c.listing.cache, by))) < part;
        let ranked = self.ranked(key).into_iter().filter_map(|c| self.caches.get(&c));
        let (warm, cold): (Vec<_>, Vec<_>) = ranked.partition(|c| takes(c, 0, self.warmth(now, c)));
        let pool = if warm.is_empty() { cold } else { warm }.into_iter();
        let mut open = pool.filter(|c| takes(c, self.seed, c.part)).map(|c| c.listing.cache);
        open.find(|c| self.is_free(now, id, *c))
    }

    fn free_origin(&self, now: Time, id: ApiCallId) -> Option<CacheId> {
        self.caches.keys().copied().find(|c| self.is_origin(*c) && self.is_free(now, id, *c))
    }

    /// Whether all candidates of a read fail or failed it, so that nobody is left but the origin, under its limit.
    fn all_fail(&self, id: ApiCallId) -> bool {
        let open = &self.open[&id];
        let fails = |c| open.passed.contains(c) || self.caches.get(c).is_some_and(|c| c.trial.is_some());
        let ranked = self.ranked(open.call.key);
        !ranked.is_empty() && ranked.iter().all(fails)
    }

    fn is_free(&self, now: Time, id: ApiCallId, cache: CacheId) -> bool {
        self.may_send(now, id, cache) && self.has_room(now, id, cache)
    }

    /// Whether health and the in-flight limit leave room at this cache.
    fn has_room(&self, now: Time, id: ApiCallId, cache: CacheId) -> bool {
        let open = &self.open[&id];
        let Some(c) = self.caches.get(&cache) else { return false };
        // Only what may run again is risked on a cache that fails.
        let tried = |at| at <= now && c.limit.in_flight < 1.0 && self.effect(open) == Effect::Idempotent;
        let barred = open.passed.contains(&cache) || c.trial.is_some_and(|(at, _)| !tried(at));
        let fetch_fits = || self.fetches.has_room(now) || self.fetch_odds(now, &open.call, cache) == 0.0;
        !barred && (!open.over_quota || self.spare.has_room(now)) && c.limit.has_room(now) && fetch_fits()
    }

    /// How likely a through cache will have to ask the origin. With many nodes it mostly holds what another
    /// asked for: counted as fetches in full, hits would be refused whenever the origin has no room.
    fn fetch_odds(&self, now: Time, call: &ApiCall, cache: CacheId) -> f64 {
        let held = || self.keys.get(&call.key).is_some_and(|k| k.held_by == Some(cache));
        let possible = self.settings.mode == Mode::Through && (call.write || !held());
        if possible { self.fetch_odds.read(now) } else { 0.0 }
    }

    /// The present share of its capacity that a cache has at least.
    fn warmth(&self, now: Time, c: &Cache) -> f64 {
        let s = &self.settings;
        let Some(started) = c.listing.started.filter(|_| s.warm_after > Span::ZERO) else { return 1.0 };
        let age = (now - started).as_secs_f64() / s.warm_after.as_secs_f64();
        s.cold_from + (1.0 - s.cold_from) * age.min(1.0)
    }

    /// The gate of the rules that every shot passes.
    fn may_send(&self, now: Time, id: ApiCallId, cache: CacheId) -> bool {
        let (Some(open), Some(c)) = (self.open.get(&id), self.caches.get(&cache)) else { return false };
        // Rule 1: nothing for a call that has ended.
        let lives = now < open.end && open.shots.len() < self.settings.max_shots as usize;
        // Rule 2: no effect twice, and no two shots out where the site forbids it.
        let single = self.settings.second_copies || open.first_out().is_none();
        let harmless = single && self.may_repeat(now, open, &c.listing);
        // Rule 3: nothing new from the moment the node knows, well within the grace.
        let ready = c.listing.ready;
        // Rule 4: the node's part of what a cold cache stands.
        let work = self.work_of(now, &open.call);
        let stands = self.warmth(now, c) >= 1.0 || self.cold_savings(now, c, work) >= c.draw * work;
        lives && harmless && ready && stands
    }

    /// Whether an effect is safe from happening twice if the call goes to this cache too.
    fn may_repeat(&self, now: Time, open: &Open, listing: &Listing) -> bool {
        let Some(first) = open.first_risky().map(|n| open.shots[n]) else { return true };
        match self.effect(open) {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::Deduplicated { scope, window } => {
                let old = self.caches.get(&first.cache).map(|c| c.listing);
                let same = match scope {
                    DedupScope::All => true,
                    DedupScope::Zone => old.is_some_and(|l| l.zone == listing.zone),
                    DedupScope::Cell => old.is_some_and(|l| l.cell == listing.cell),
                };
                // Half the window, since the shot still has to arrive and wait its turn there.
                same && now < first.at + window.scaled(0.5)
            }
        }
    }

    /// The work a second that this node may send a cold cache: its part, by warmth and size, of what caches
    /// got from it of late, so that all nodes stay near the cache's part of the load; but not under one call
    /// at a time from all nodes together, or a fleet cold throughout would never be found out to work.
    fn cold_rate(&self, now: Time, c: &Cache) -> f64 {
        let warmth = self.warmth(now, c);
        // Twice the part may come together by chance; where even that would topple it, it gets less.
        let part = (self.settings.fall_multiple * 0.5).min(1.0) / self.settings.fall_window.as_secs_f64();
        // Where the fleet grows colder the same calls fall to less warm size: the mean of before would refuse them.
        let (carried, wanted) = (self.carried.read(now), self.wanted.read(now) / self.warm_size.max(1e-9));
        let carried = wanted.min(carried * COLD_GROWS).max(carried);
        (carried * self.size_of(&c.listing) * part).max(1.0 / self.settings.nodes) * warmth
    }

    /// The work saved up for a cold cache. Far less than a call's at each of many nodes: it is sent once
    /// a part of it, drawn by chance, is saved, so that nodes neither all wait nor all send at once.
    fn cold_savings(&self, now: Time, c: &Cache, work: f64) -> f64 {
        let rate = self.cold_rate(now, c);
        let most = (rate * self.settings.fall_window.as_secs_f64() * 0.5).max(work);
        (c.saved.0 + rate * (now - c.saved.1).as_secs_f64()).min(most)
    }

    fn send(&mut self, now: Time, id: ApiCallId, cache: CacheId) -> Shot {
        let origin = self.is_origin(cache);
        let work = self.work_of(now, &self.open[&id].call);
        let fetch = self.fetch_odds(now, &self.open[&id].call, cache);
        let open = self.open.get_mut(&id).expect("placed calls are open");
        let (call, over_quota, end) = (open.call, open.over_quota, open.end);
        let sent = Sent { call, cache, at: now, out: true, fetch, over_quota };
        self.out.insert((id, ShotNumber(open.shots.len() as u8)), sent);
        open.shots.push(sent);
        self.ready.remove(&open.rank);
        if (origin || fetch > 0.0) && !open.call.write {
            self.fetching.entry(open.call.key).or_insert((id, Vec::new()));
        }
        let (draw, saved) = (self.chance(), self.cold_savings(now, &self.caches[&cache], work) - work);
        let c = self.caches.get_mut(&cache).expect("candidates are listed");
        (c.draw, c.saved) = (draw, (saved, now));
        c.limit.in_flight += 1.0;
        self.fetches.in_flight += fetch;
        self.spare.in_flight += if over_quota { 1.0 } else { 0.0 };
        c.usage.step_by(now, 1.0);
        self.sent.add(now, if origin { 0.0 } else { work });
        c.trial = c.trial.map(|(_, wait)| (now + wait, Span(wait.0 * 2).min(LAST_TRIAL)));
        self.alarms.insert((now + self.product(call.product).slo.scaled(SLOW_SHARE), id));
        Shot { api_call: id, cache, give_up_after: end - now }
    }
}

/// Ending calls.
impl Brain {
    /// Ends a call at once: rate-limited where that promise holds, else errored.
    fn give_up(&mut self, id: ApiCallId) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = match self.effect(open) {
            Effect::Idempotent | Effect::Deduplicated { scope: DedupScope::All, .. } => true,
            _ => open.first_risky().is_none(),
        };
        let come_back =
            self.product(open.call.product).slo.scaled(COME_BACK).min(self.settings.max_come_back);
        self.answer(id, if harmless { Answer::RateLimited { come_back } } else { Answer::Errored });
    }

    /// The gate that every final answer of ours passes: one for each open call, and nothing after it.
    fn answer(&mut self, id: ApiCallId, answer: Answer) {
        let Some(open) = self.open.get(&id) else { return };
        if self.settings.may_recall {
            let out = open.shots.iter().enumerate().filter(|(_, s)| s.out);
            self.recalls.extend(out.map(|(n, _)| (id, ShotNumber(n as u8))));
        }
        self.close(id);
        self.answers.push_back((id, answer));
    }

    /// Calls off a slow shot that a later one to its cache has overtaken, and not by chance of their ways: in
    /// a queue none passes the other, so its answer is lost. Waited for, it would cost the call its SLO.
    fn call_off_lost(&mut self, now: Time, id: ApiCallId) {
        let open = &self.open[&id];
        let may = self.settings.may_recall && self.effect(open) == Effect::Idempotent;
        // Calls differ in work most at the origin: there one may pass another.
        let Some(n) = open.first_out().filter(|n| may && !self.is_origin(open.shots[*n].cache)) else {
            return;
        };
        let shot = open.shots[n];
        if self.is_overtaken(&shot) || self.note_silence(now, &shot) {
            self.recalls.push_back((id, ShotNumber(n as u8)));
        } else {
            self.alarms.insert((now + LEARNING_STEP.scaled(0.5), id));
        }
    }

    /// Whether a through cache is silent, by a shot that has been out for long: it says neither hits nor fetches,
    /// and not for the origin's sake, since others do. Then it is out for all calls until a trial succeeds.
    fn note_silence(&mut self, now: Time, shot: &Sent) -> bool {
        let first = now < shot.at + self.product(shot.call.product).slo.scaled(SLOW_SHARE) + RECHECK;
        let Some(c) = self.caches.get_mut(&shot.cache).filter(|c| c.heard < shot.at) else { return false };
        c.silent += u32::from(first);
        if self.settings.mode != Mode::Through || c.silent < SILENT_SHOTS {
            return false;
        }
        let quiet = self.caches.values().filter(|c| c.silent > 0).count();
        if quiet as f64 > (self.serving.len() as f64 * SILENT_CACHES).max(1.0) {
            return false;
        }
        let c = self.caches.get_mut(&shot.cache).expect("looked at above");
        c.trial = c.trial.or(Some((now + FIRST_TRIAL, FIRST_TRIAL)));
        true
    }

    fn is_overtaken(&self, sent: &Sent) -> bool {
        self.caches.get(&sent.cache).is_some_and(|c| c.overtook > sent.at + RECHECK)
    }

    fn close(&mut self, id: ApiCallId) {
        self.release_joined(id);
        let Some(open) = self.open.remove(&id) else { return };
        self.ready.remove(&open.rank);
        self.alarms.remove(&(open.end, id));
    }

    /// Lets the calls go on that waited for this call's fetch.
    fn release_joined(&mut self, id: ApiCallId) {
        let Some(key) = self.open.get(&id).map(|o| o.call.key) else { return };
        if self.fetching.get(&key).is_some_and(|f| f.0 == id) {
            self.fetching.remove(&key).into_iter().flat_map(|f| f.1).for_each(|w| self.set_waiting(w));
        }
    }

    fn set_waiting(&mut self, id: ApiCallId) {
        self.ready.extend(self.open.get(&id).map(|open| (open.rank, id)));
    }
}

/// What is known.
impl Brain {
    fn take_list(&mut self, now: Time, listings: &[Listing], complete: bool) {
        self.heard(now);
        if complete {
            let named: BTreeSet<CacheId> = listings.iter().map(|l| l.cache).collect();
            self.caches.values_mut().for_each(|c| c.listing.ready &= named.contains(&c.listing.cache));
        }
        for listing in listings {
            self.nominal.entry(listing.kind).and_modify(|n| *n = n.max(listing.size)).or_insert(listing.size);
            let draw = self.chance();
            match self.caches.get_mut(&listing.cache) {
                // A restart under the same id begins cold and with a clean slate.
                Some(cache) if cache.listing.started == listing.started => cache.listing = *listing,
                known => {
                    let in_flight = known.map_or(0.0, |c| c.limit.in_flight);
                    let mut cache = Cache::new(*listing, &self.settings, draw, now);
                    cache.limit.in_flight = in_flight;
                    cache.usage.step_by(now, in_flight);
                    self.caches.insert(listing.cache, cache);
                }
            }
        }
        self.caches.retain(|_, c| c.listing.ready || c.limit.in_flight > 0.0);
        self.renew_table();
    }

    fn heard(&mut self, now: Time) {
        self.advance(now);
        self.cursor = None;
    }

    /// Brings everything up to date that moves with time alone.
    fn advance(&mut self, now: Time) {
        if now > self.now {
            self.now = now;
            self.cursor = None;
        }
        while let Some(&(at, id)) = self.alarms.first().filter(|a| a.0 <= now) {
            self.alarms.remove(&(at, id));
            let Some(open) = self.open.get(&id) else { continue };
            if at >= open.end {
                self.answer(id, Answer::Errored);
            } else if at >= open.slo_end && open.first_out().is_none() {
                self.give_up(id);
            } else {
                self.call_off_lost(now, id);
            }
        }
        let steps = (now - self.learned).0 / LEARNING_STEP.0;
        if steps > 0 {
            self.learned = self.learned + Span(steps * LEARNING_STEP.0);
            self.learn(now);
        }
    }

    /// One learning step: the push on every stored weight, by its cache's usage against the mean.
    fn learn(&mut self, now: Time) {
        let warm_size = |c: &Cache| self.size_of(&c.listing) * self.warmth(now, c);
        let size: f64 = self.caches.values().filter(|c| c.serves()).map(warm_size).sum();
        self.carried.add(now, self.sent.read(now) / size.max(1e-9));
        self.warm_size = size;
        let usage = |c: &Cache| match self.settings.live_sizes {
            true => self.held(&c.listing),
            false => c.usage.read(now) / self.size_of(&c.listing),
        };
        let serving = self.caches.values().filter(|c| c.serves());
        let usages: Vec<_> = serving.map(|c| (c.listing.cache, usage(c), self.listed_wait(now, c))).collect();
        let mean = usages.iter().map(|u| u.1).sum::<f64>() / usages.len().max(1) as f64;
        for (id, usage, wait) in usages {
            let cache = self.caches.get_mut(&id).expect("listed above");
            cache.part = if wait > 1.0 { cache.part * PART_CUT } else { (cache.part + PART_GROWS).min(1.0) };
            cache.push = PUSH * (1.0 - if mean > 0.0 { usage / mean } else { 1.0 }) + PUSH_KEPT * cache.push;
        }
        let psi = |b: f64| (1.0 - (-PUSH_STEEPNESS * b).exp()) / (1.0 + (-PUSH_STEEPNESS * b).exp());
        let pushes: BTreeMap<CacheId, f64> = self.caches.iter().map(|(id, c)| (*id, psi(c.push))).collect();
        for (id, w) in self.keys.values_mut().flat_map(|k| k.slots.iter_mut().flatten()) {
            let push = pushes.get(id).copied().unwrap_or(0.0);
            *w += push * if push >= 0.0 { PUSH_TARGET - *w } else { *w };
        }
    }

    /// Stores a key's weights and pulls them towards the candidates that rank high.
    fn note_asked(&mut self, now: Time, call: &ApiCall) {
        self.asked.add(now, 1.0);
        if call.write && self.settings.mode != Mode::Through {
            return;
        }
        self.wanted.add(now, self.work_of(now, call));
        let total = self.asked.read(now).max(1.0);
        let asked = self.keys.get(&call.key).map_or(0.0, |k| k.asked.read(now)) + 1.0;
        let slot = self.slot_of(call.key, (asked - SURE * asked.sqrt()) / total);
        self.table[slot as usize] = self.table[slot as usize].or_else(|| Some(self.rank(slot)));
        let fresh = self.start_weights(call.key, slot);
        let asked = FadingSum::new(RATE_MEMORY, now);
        let new = KeyWeights { table: self.table_version, slot, slots: fresh, asked, held_by: None };
        let weights = self.keys.entry(call.key).or_insert(new);
        if (weights.table, weights.slot) != (self.table_version, slot) {
            let old = weights.slots;
            // Where another cache is first all nodes start anew: keys clinging to others would leave it idle.
            let same_first = fresh[0].map(|f| f.0) == old[0].map(|f| f.0);
            let kept = |c: CacheId| old.iter().flatten().find(|o| same_first && o.0 == c).map(|o| o.1);
            weights.slots = fresh.map(|slot| slot.map(|(c, w)| (c, kept(c).unwrap_or(w))));
            (weights.table, weights.slot) = (self.table_version, slot);
        }
        weights.asked.add(now, 1.0);
        let width = WIDTH_SHARE * (-weights.asked.read(now) / total).exp() + WIDTH_BASE;
        let before = weights.slots;
        for (id, w) in weights.slots.iter_mut().flatten() {
            let rank = before.iter().flatten().filter(|o| o.1 > *w || o.1 == *w && o.0 < *id).count() as f64;
            *w += PULL * (-rank * rank / (2.0 * width * width)).exp() * (1.0 - *w);
        }
        if self.keys.len() > MAX_KEYS {
            let mut asked: Vec<f64> = self.keys.values().map(|k| k.asked.read(now)).collect();
            let middle = *asked.select_nth_unstable_by(MAX_KEYS / 2, f64::total_cmp).1;
            self.keys.retain(|_, k| k.asked.read(now) > middle);
        }
    }

    /// The slot of a key with this share of the calls: at every node the same, unless the key is heavier than
    /// one cache's part. Then nodes are split evenly over so many slots that each has about such a part.
    fn slot_of(&self, key: Key, share: f64) -> u64 {
        let parts = (share * self.serving.len() as f64).min(self.settings.nodes).max(1.0);
        let part = hash_of((key, self.seed)) % (parts as u64).next_power_of_two();
        if part == 0 { hash_of(key) % SLOTS } else { hash_of((key, part)) % SLOTS }
    }

    fn start_weights(&self, key: Key, slot: u64) -> [Option<(CacheId, f64)>; CANDIDATES] {
        let ranked = self.table[slot as usize].unwrap_or_else(|| self.rank(slot));
        std::array::from_fn(|place| {
            ranked[place].map(|cache| (cache, START[place] + START_SPREAD * unit(hash_of((key, place)))))
        })
    }

    /// Each slot ranks the serving caches by a hash of both, stretched by size where sizes are capacities.
    fn rank(&self, slot: u64) -> [Option<CacheId>; CANDIDATES] {
        let mut best = [(f64::INFINITY, None); CANDIDATES];
        for (cache, size) in &self.serving {
            let mut next = (-unit(hash_of((slot, cache))).max(1e-18).ln() / size, Some(*cache));
            for place in best.iter_mut() {
                if next.0 < place.0 {
                    std::mem::swap(place, &mut next);
                }
            }
        }
        best.map(|b| b.1)
    }

    /// Slots are ranked when they are next used: ranking all at each change would cost a large fleet dearly.
    fn renew_table(&mut self) {
        let serving = self.caches.values().filter(|c| c.serves());
        let serving: Vec<_> = serving.map(|c| (c.listing.cache, self.size_of(&c.listing))).collect();
        if serving != self.serving {
            self.serving = serving;
            self.table = vec![None; SLOTS as usize];
            self.table_version += 1;
        }
    }

    /// Judges a cache by an outcome: its health, its in-flight limit, and how long answers take.
    fn judge(&mut self, now: Time, sent: &Sent, outcome: Outcome, latency: Span, fetch_failed: bool) {
        let (origin, chance) = (self.is_origin(sent.cache), self.chance());
        // Every answer of the origin's own is a fetch.
        let outcome = if origin && outcome == Outcome::Fetched { Outcome::Fulfilled } else { outcome };
        let slo = self.product(sent.call.product).slo;
        let service = Span::from_secs_f64(self.latency(now, sent.call.product, origin) * (0.5 + chance));
        // A cache's queue serves all products: it must be short enough for the one with the least time.
        let quickest = self.caches.get(&sent.cache).filter(|_| origin).map_or(Span::ZERO, |c| c.quickest);
        // Where the quickest answers take much of the SLO, only six times as long tells of a queue.
        let least = if origin { slo } else { self.settings.tightest_slo() }.scaled(SLOW_SHARE);
        let slow = latency > least.max(quickest.scaled(6.0).min(slo.scaled(0.7)));
        if sent.fetch > 0.0 {
            let crowded = match outcome {
                Outcome::Fetched | Outcome::TimedOut => Some(slow),
                Outcome::Errored => Some(true),
                // A hit after all, for one, says nothing of the origin.
                _ => None,
            };
            self.fetches.learn(now, latency, crowded, service, sent.fetch);
            if crowded.is_some() || outcome == Outcome::Fulfilled {
                self.fetch_odds.add(now, if crowded.is_some() { 1.0 } else { 0.0 });
            }
        }
        if let Some(weights) = self.keys.get_mut(&sent.call.key) {
            match outcome {
                Outcome::Fulfilled | Outcome::Fetched if !origin => weights.held_by = Some(sent.cache),
                Outcome::Errored | Outcome::Lacking | Outcome::TimedOut => weights.held_by = None,
                _ => {}
            }
        }
        // What came too late, or by a fetch, does not count: it would make every call look hopeless.
        if outcome == Outcome::Fulfilled && latency <= slo {
            let mean = &mut self.latencies[sent.call.product.0 as usize][usize::from(origin)];
            mean.add(now, latency.as_secs_f64());
        }
        let overtaken = self.is_overtaken(sent);
        let Some(c) = self.caches.get_mut(&sent.cache) else { return };
        c.usage.step_by(now, -1.0);
        if !matches!(outcome, Outcome::TimedOut | Outcome::Recalled | Outcome::Moot) {
            (c.heard, c.silent) = (now, 0);
        }
        let answered = if outcome == Outcome::Fulfilled { latency } else { c.quickest };
        c.quickest = c.quickest.scaled(1.001).min(answered);
        // Behind a through cache a fetch may keep one call longer than others.
        let soon = !slow && matches!(outcome, Outcome::Fulfilled | Outcome::Lacking);
        let overtakes = soon && self.settings.mode != Mode::Through;
        c.overtook = if overtakes { c.overtook.max(sent.at) } else { c.overtook };
        let crowded = match outcome {
            Outcome::Full | Outcome::Unreachable => Some(true),
            // Queues show in slow answers first; cut for silence, a cache that loses some would get no work.
            Outcome::TimedOut | Outcome::Recalled if origin && !overtaken => Some(slow),
            Outcome::Fulfilled => Some(slow),
            // That a key is lacking is soon said, crowd or none.
            Outcome::Lacking if slow => Some(true),
            _ => None,
        };
        c.limit.learn(now, latency, crowded, service, 1.0);
        if sent.over_quota {
            self.spare.learn(now, latency, crowded, service, 1.0);
        } else if crowded == Some(true) {
            // Wherever a crowd is met, what is beyond its quota gives way first.
            self.spare.cut(now, latency);
        }
        if outcome == Outcome::Full {
            // Repeated at once, shots that are turned away would become a crowded cache's whole work.
            c.limit.rest_until = c.limit.rest_until.max(now + service);
        }
        let healthy = match outcome {
            // The origin's trouble bars no cache: its hits are needed then more than ever.
            Outcome::Errored if fetch_failed => return,
            Outcome::TimedOut if sent.fetch > 0.0 => return,
            // Nor does a shot whose client had little time left, or whose answer alone was lost.
            Outcome::TimedOut | Outcome::Recalled if overtaken || latency < slo.scaled(SILENCE_SHARE) => {
                return;
            }
            Outcome::Moot => return,
            Outcome::Fulfilled | Outcome::Fetched | Outcome::Lacking | Outcome::Full => true,
            _ => false,
        };
        c.outcomes = (c.outcomes << 1 | u32::from(healthy)) & ALL_GOOD;
        match c.trial {
            _ if origin => {}
            Some(_) if healthy => {
                c.trial = None;
                c.outcomes = ALL_GOOD;
            }
            None if c.outcomes.count_ones() < SUCCESSES_NEEDED => {
                c.trial = Some((now + FIRST_TRIAL, FIRST_TRIAL))
            }
            _ => {}
        }
    }

    /// Takes one call from its tenant's quota, of which each node counts on an even part.
    fn within_quota(&mut self, now: Time, tenant: Option<TenantId>) -> bool {
        let Some(n) = tenant.map(|t| t.0 as usize).filter(|n| *n < self.quotas.len()) else { return true };
        let rate = self.settings.quotas_per_s[n] / self.settings.nodes;
        let (left, at) = &mut self.quotas[n];
        *left = (*left + (now - *at).as_secs_f64() * rate).min(most_quota(rate));
        *at = now;
        let within = *left >= 1.0;
        *left -= if within { 1.0 } else { 0.0 };
        within
    }

    fn work_of(&self, now: Time, call: &ApiCall) -> f64 {
        call.work.map_or_else(|| self.latency(now, call.product, false), |w| w.as_secs_f64())
    }

    fn latency(&self, now: Time, product: ProductId, origin: bool) -> f64 {
        self.latencies[product.0 as usize][usize::from(origin)].read(now)
    }

    fn product(&self, id: ProductId) -> &Product {
        &self.settings.products[id.0 as usize]
    }

    fn effect(&self, open: &Open) -> Effect {
        self.product(open.call.product).effect
    }

    fn size_of(&self, listing: &Listing) -> f64 {
        if self.settings.steady_sizes { listing.size.max(1e-3) } else { 1.0 }
    }

    /// The calls that a cache holds on each core, where the list lets that be told.
    fn held(&self, l: &Listing) -> f64 {
        let nominal = self.nominal.get(&l.kind).filter(|_| self.settings.live_sizes);
        nominal.map_or(0.0, |n| n / l.size.max(1e-6) - 1.0)
    }

    /// How long a call would wait at a cache by its listed load, in parts of the tightest SLO.
    fn listed_wait(&self, now: Time, c: &Cache) -> f64 {
        let latencies = self.latencies.iter().map(|l| l[0].read(now));
        self.held(&c.listing) * latencies.fold(f64::INFINITY, f64::min)
            / self.settings.tightest_slo().as_secs_f64()
    }

    fn is_origin(&self, cache: CacheId) -> bool {
        self.caches.get(&cache).is_some_and(|c| c.is_origin)
    }

    fn chance(&mut self) -> f64 {
        self.chances += 1;
        unit(hash_of((self.seed, self.chances)))
    }
}

impl Limit {
    fn new(nodes: f64, least: f64, now: Time) -> Limit {
        Limit { in_flight: 0.0, most: (FIRST_LIMIT / nodes).max(1.0), least, last_cut: now, rest_until: now }
    }

    fn has_room(&self, now: Time) -> bool {
        now >= self.rest_until && self.in_flight < self.most.max(1.0)
    }

    /// One that counted so much ended after `latency`, having met a crowd, none, or neither. `service` is how
    /// long one should take, give or take by chance.
    fn learn(&mut self, now: Time, latency: Span, crowded: Option<bool>, service: Span, counted: f64) {
        let filled = self.in_flight >= self.most * 0.5;
        self.in_flight -= counted;
        match crowded {
            Some(true) => self.cut(now, latency),
            Some(false) if filled => self.most += (self.most * LIMIT_GROWS).min(1.0 / self.most),
            _ => {}
        }
        if self.most < 1.0 {
            self.rest_until = now + service.scaled(1.0 / self.most - 1.0);
        }
    }

    /// One cut for one crowd: only shots sent after the last cut tell of the limit it set.
    fn cut(&mut self, now: Time, latency: Span) {
        if now - self.last_cut >= latency {
            self.most = (self.most * LIMIT_CUT).max(self.least);
            self.last_cut = now;
        }
    }
}

impl Cache {
    /// Whether it stands in the slot table.
    fn serves(&self) -> bool {
        self.listing.ready && !self.is_origin
    }

    fn new(listing: Listing, settings: &Settings, draw: f64, now: Time) -> Cache {
        let is_origin = matches!(settings.mode, Mode::Aside { origin } if origin == listing.kind);
        Cache {
            listing,
            is_origin,
            outcomes: ALL_GOOD,
            trial: None,
            limit: Limit::new(settings.nodes, MIN_LIMIT, now),
            usage: FadingLevel::new(USAGE_MEMORY, now),
            saved: (0.0, now),
            draw,
            part: 1.0,
            push: 0.0,
            quickest: Span(1 << 40),
            overtook: now,
            heard: now,
            silent: 0,
        }
    }
}
