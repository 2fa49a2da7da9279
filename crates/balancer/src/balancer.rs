//! All decisions of one node. Make a [`Balancer`] from the settings; tell it what happens (that only updates
//! what is known); then pull `next_shot`, `next_answer`, `next_recall` and `wants_watch` until none is left,
//! and call again by `next_wake`. The ordinary path is `ranked` in `choosing`: the highest weight among a
//! key's three candidates. Rules are kept in `may_send` there, which every shot passes, and in `answer` in
//! `ending`, which every final answer passes. Where this leaves its design: `docs/design.md`.

mod caches;
mod choosing;
mod ending;
mod known;
mod learning;
mod zones;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Bound::{Excluded, Unbounded};

use self::zones::Zones;
use crate::calls::{
    Attempt, AttemptOutcome, AttemptResult, ControlPlaneUpdate, EndpointUpdate, Lease, LoadReport,
    LocalReply, Request,
};
use crate::decaying::{FadingLevel, FadingMean, FadingSum};
use crate::ids::{AttemptNumber, EndpointId, Key, RequestClassId, RequestId};
use crate::pending_request::{InFlightAttempt, PendingRequest};
use crate::seeded_hash::{hash_of, unit};
use crate::settings::{DedupScope, Effect, RequestClass, Settings};
use crate::slot_table::SlotTable;
use crate::time::{Span, Time};

// The mechanism. Its source leaves these figures open.
/// Candidates of a key.
const CANDIDATES: usize = 3;
/// A cold cache's part of the slots grows in so many steps: each moves keys, at every node alike.
const WARM_STEPS: f64 = 8.0;
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
/// Those of caches grow slowly: where one works worse the more it holds, quicker ones keep it crowded.
const LIMIT_GROWS: f64 = 0.1;
const ORIGIN_GROWS: f64 = 0.3;
/// Low enough to let a crowd of several nodes drain, high enough to notice soon that it has.
const MIN_LIMIT: f64 = 0.25;
/// An answer slower than this share of its SLO tells of a queue.
const SLOW_SHARE: f64 = 0.4;
/// A reported wait under this share of the tightest SLO is no queue.
const SHORT_WAIT: f64 = 0.1;
/// Share of an SLO that an API call may wait here, with nothing out, for room.
const PATIENCE: f64 = 0.4;
/// A turned-away client is asked to stay away for this many SLOs: a repeat soon after would come too late.
const COME_BACK: f64 = 4.0;
/// A shot unanswered for less than this share of its SLO says nothing of the cache. One left for longer is
/// called off where nothing was heard from its cache since: what is left of the SLO serves elsewhere.
const SILENCE_SHARE: f64 = 0.5;
/// Nor does one not out for so many times its own work: a large one behind two others takes that long.
const PATIENT_WORK: f64 = 8.0;
/// Where its work is not told: so many typical answers' times, which have waits in them.
const PATIENT_TYPICAL: f64 = 2.5;
/// A deduplicated call is repeated in this share of its window: the shot has to arrive and wait its turn there.
const REPEATED_IN: f64 = 0.5;
/// Advice leaves out so great a part of the caches at the most.
const MINORITY: f64 = 0.34;
/// Cold caches are sent at most so many times what warm size carried of late, where calls ask for more.
const COLD_GROWS: f64 = 1.5;
/// Reads that caches turned away may fill this part of the origin's limit, misses and writes all of it.
const SPARE_PART: f64 = 0.5;
/// A cache that the list dropped is remembered for so long, where only draining binds.
pub const REMEMBERED: Span = Span::from_millis(60_000);
/// How often waiting calls are looked at when nothing happens.
const RECHECK: Span = Span::from_millis(20);
/// A refused watch is asked for again after this, doubled up to the last, with jitter by half either way.
/// What discovery has to tell counts as told 6 s after it is back: so there is time for a refusal then and an
/// answer that takes three seconds, or for two and one that takes half of that.
const FIRST_REASK: Span = Span::from_millis(500);
const LAST_REASK: Span = Span::from_millis(1000);
/// A watch that was asked for and has neither come nor failed by then is asked for again.
const UNANSWERED: Span = Span::from_millis(2500);

/// A limit on what is in flight: grows by one each time it was filled and served, cut by a share. Under one
/// it is the share of the time that a shot may be out, or many nodes together would keep a crowd up for good.
struct Limit {
    in_flight: f64,
    most: f64,
    last_cut: Time,
    rest_until: Time,
}

struct Cache {
    listing: EndpointUpdate,
    is_origin: bool,
    /// A bit each, the last one lowest; successes are ones.
    outcomes: u32,
    /// While it fails: when one shot may try it again, and the wait after that.
    trial: Option<(Time, Span)>,
    limit: Limit,
    usage: FadingLevel,
    /// While cold or leased: work saved up for it and when, and the share of a call's that the next takes.
    saved: (f64, Time),
    lease: Option<Lease>,
    draw: f64,
    push: f64,
    /// The quickest answer of late, and when the last of the shots was sent that were answered soon.
    quickest: Span,
    overtook: Time,
    /// When anything was heard from it last.
    heard: Time,
    /// What it reported of its load last, and when.
    told: Option<(Time, LoadReport)>,
    /// When the list dropped it, though it was not seen to drain.
    dropped: Option<Time>,
}

struct KeyWeights {
    table: u64,
    slot: u64,
    slots: [Option<(EndpointId, f64)>; CANDIDATES],
    asked: FadingSum,
}

pub struct Balancer {
    settings: Settings,
    seed: u64,
    chances: u64,
    caches: BTreeMap<EndpointId, Cache>,
    /// The serving caches, and the three best of them in each slot.
    table: SlotTable<CANDIDATES>,
    keys: HashMap<Key, KeyWeights>,
    asked: FadingSum,
    learned: Time,
    /// For each product, how long an answer takes in seconds: a cache's without a fetch, and the origin's.
    latencies: Vec<[FadingMean; 2]>,
    open: HashMap<RequestId, PendingRequest>,
    ready: BTreeMap<(u64, u64), RequestId>,
    cursor: Option<(u64, u64)>,
    alarms: BTreeSet<(Time, RequestId)>,
    /// The reads that have a fetch of their key out, and those that wait for it.
    fetching: HashMap<Key, (RequestId, Vec<RequestId>)>,
    /// Every shot whose end was not heard yet, also of calls that have ended.
    out: HashMap<(RequestId, AttemptNumber), InFlightAttempt>,
    answers: VecDeque<(RequestId, LocalReply)>,
    recalls: VecDeque<(RequestId, AttemptNumber)>,
    calls_seen: u64,
    reask: Option<(Time, Span)>,
    /// Work sent to caches in the fall window, and its part for each unit of warm size over a warm-up's time.
    sent: FadingSum,
    carried: FadingMean,
    /// Work that calls asked of caches, over the fall window, and the warm size at the last learning step.
    wanted: FadingSum,
    warm_size: f64,
    zones: Zones,
    now: Time,
}

/// What is expected of a product's answers before any came.
fn unknown_latencies(request_class: &RequestClass, now: Time) -> [FadingMean; 2] {
    [FadingMean::new(RATE_MEMORY, now, request_class.slo.as_secs_f64() / 8.0); 2]
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Balancer {
        Balancer {
            sent: FadingSum::new(settings.fall_window.max(LEARNING_STEP), now),
            wanted: FadingSum::new(settings.fall_window.max(LEARNING_STEP), now),
            warm_size: 0.0,
            carried: FadingMean::new(settings.warm_after.max(LEARNING_STEP), now, 0.0),
            latencies: settings.request_classes.iter().map(|p| unknown_latencies(p, now)).collect(),
            reask: settings.list_on_request.then_some((now, FIRST_REASK)),
            settings,
            seed,
            chances: 0,
            caches: BTreeMap::new(),
            table: SlotTable::new(),
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
            zones: Zones::default(),
            now,
        }
    }

    /// Other settings hold from now on; products keep their places, new ones follow. Calls that are open keep
    /// their terms. What was learnt of caches stands where it still means the same; the rest starts anew.
    pub fn on_settings_update(&mut self, now: Time, settings: Settings) {
        self.heard(now);
        let old = std::mem::replace(&mut self.settings, settings);
        let s = &self.settings;
        let new = s.request_classes.iter().skip(self.latencies.len()).map(|p| unknown_latencies(p, now));
        self.latencies.extend(new);
        for c in self.caches.values_mut() {
            // Usage may be of another kind now, and limits start by the number of nodes; shots that are out
            // still count. The time until now saves no work at the rate of from now on.
            (c.push, c.told, c.saved.1) = (0.0, None, now);
            if s.nodes != old.nodes {
                c.limit = Limit { in_flight: c.limit.in_flight, ..Limit::new(s.nodes, now) };
            }
        }
        // Sums over other windows, or by other sizes, would grant cold caches work that they can't take.
        let terms = |s: &Settings| (s.fall_window, s.warm_after, s.steady_sizes);
        if terms(s) != terms(&old) {
            self.sent = FadingSum::new(s.fall_window.max(LEARNING_STEP), now);
            self.wanted = self.sent;
            self.carried = FadingMean::new(s.warm_after.max(LEARNING_STEP), now, 0.0);
        }
        self.renew_table();
    }

    /// The list that an earlier life of this node last saw; it may be old.
    pub fn on_endpoints_restored(&mut self, now: Time, listings: &[EndpointUpdate]) {
        self.take_list(now, listings, true);
    }

    /// The list of caches, or its changed lines. Where it only comes on request, the watch stands.
    pub fn on_endpoints_update(&mut self, now: Time, listings: &[EndpointUpdate], complete: bool) {
        self.reask = None;
        self.take_list(now, listings, complete);
    }

    /// The list could not be had, or the watch was lost.
    pub fn on_endpoints_watch_failed(&mut self, now: Time) {
        self.heard(now);
        let wait = self.reask.map_or(FIRST_REASK, |r| Span(r.1.0 * 2).min(LAST_REASK));
        self.reask = Some((now + wait.scaled(0.5 + self.chance()), wait));
    }

    pub fn on_request(&mut self, now: Time, id: RequestId, call: Request) {
        self.heard(now);
        let Some(request_class) = self.settings.request_classes.get(call.request_class.0 as usize) else {
            return self.answers.push_back((id, LocalReply::Errored));
        };
        let slo = request_class.slo.min(call.budget);
        let work =
            if self.settings.value_by_work { 1.0 } else { self.latency(now, call.request_class, false) };
        let value = request_class.billed_value / work.max(1e-6);
        self.calls_seen += 1;
        let rank = (u64::MAX - value.to_bits(), self.calls_seen);
        let open = PendingRequest {
            call,
            rank,
            slo_end: now + slo,
            worth_end: now + if request_class.value_after_slo > 0.0 { call.budget } else { slo },
            end: now + call.budget,
            patience_end: now + slo.scaled(PATIENCE),
            shots: Vec::new(),
            most_shots: self.settings.max_attempts as usize,
            retry_after: request_class.slo.scaled(COME_BACK).min(self.settings.max_retry_after),
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
    pub fn on_client_disconnect(&mut self, now: Time, id: RequestId) {
        self.heard(now);
        self.close(id);
    }

    pub fn on_attempt_finished(&mut self, now: Time, id: RequestId, end: &AttemptResult) {
        self.heard(now);
        let AttemptResult { number, cache, outcome, latency, answered } = *end;
        let Some(sent) = self.out.remove(&(id, number)).filter(|s| s.cache == cache) else { return };
        self.judge(now, &sent, outcome, latency);
        let (origin, lost) = (self.is_origin(cache), self.is_overtaken(&sent));
        let typical = Span::from_secs_f64(self.latency(now, sent.call.request_class, false));
        let Some(open) = self.open.get_mut(&id) else { return };
        open.shots.iter_mut().skip(number.0 as usize).take(1).for_each(|shot| shot.out = false);
        if !outcome.proves_not_executed() && open.may_have_run.is_none_or(|n| n > number.0 as usize) {
            open.may_have_run = Some(number.0 as usize);
        }
        open.lacking |= outcome == AttemptOutcome::CacheMiss && !origin;
        // A first reset may be its connection's alone: the cache that holds the key is asked once more.
        let again =
            outcome == AttemptOutcome::Reset && open.shots.iter().filter(|s| s.cache == cache).count() == 1;
        let stays = matches!(outcome, AttemptOutcome::Rejected | AttemptOutcome::NotSent)
            || outcome == AttemptOutcome::Cancelled && lost;
        open.passed.extend((!origin && !stays && !again).then_some(cache));
        self.release_joined(id);
        if answered {
            self.close(id);
        } else if !self.settings.is_cache_aside() && outcome == AttemptOutcome::Errored && latency > typical {
            // An error slower than an answer tells of a failed fetch: another would only ask for it too.
            self.give_up(id);
        } else if self.open.get(&id).is_some_and(|o| o.first_out().is_none()) {
            self.set_waiting(id);
        }
    }

    /// A cache's load report, told with an answer; told before what became of the shot.
    pub fn on_load_report(&mut self, now: Time, cache: EndpointId, report: &LoadReport) {
        self.heard(now);
        if let Some(c) = self.caches.get_mut(&cache) {
            c.told = Some((now, *report));
        }
    }

    /// What planners say of caches. Own evidence that is fresher stands; and since all may lie, no more
    /// caches are left out by it than a third, and none is taken back in but by a trial.
    pub fn on_control_plane_update(&mut self, now: Time, advice: &ControlPlaneUpdate) {
        self.heard(now);
        let most = (self.table.len() as f64 * MINORITY).max(1.0) as usize;
        let mut out = self.caches.values().filter(|c| c.trial.is_some()).count();
        for &(id, at) in &advice.failing {
            let news = |c: &&mut Cache| c.heard < at && !c.is_origin && (c.trial.is_some() || out < most);
            let Some(c) = self.caches.get_mut(&id).filter(news) else { continue };
            out += usize::from(c.trial.is_none());
            let (due, wait) = c.trial.unwrap_or((now, FIRST_TRIAL));
            c.trial = Some((due.max(now + FIRST_TRIAL), wait));
        }
        for (id, _) in &advice.answering {
            let Some(c) = self.caches.get_mut(id) else { continue };
            c.trial = c.trial.map(|(due, _)| (due.min(now), FIRST_TRIAL));
        }
        advice.table.iter().for_each(|form| self.table.reform(form));
        for (id, lease) in &advice.leases {
            self.caches.get_mut(id).into_iter().for_each(|c| c.lease = Some(*lease));
        }
    }

    pub fn poll_attempt(&mut self, now: Time) -> Option<Attempt> {
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

    pub fn poll_response(&mut self, now: Time) -> Option<(RequestId, LocalReply)> {
        self.advance(now);
        self.answers.pop_front()
    }

    pub fn poll_cancellation(&mut self) -> Option<(RequestId, AttemptNumber)> {
        self.recalls.pop_front()
    }

    /// Whether to ask for a watch on the list now.
    pub fn poll_watch_request(&mut self, now: Time) -> bool {
        let Some((_, wait)) = self.reask.filter(|(at, _)| *at <= now) else { return false };
        // Settings under which nobody has to ask name no time for it.
        let most = Some(self.settings.max_poll_interval).filter(|most| *most > Span::ZERO);
        self.reask = Some((now + most.unwrap_or(UNANSWERED).min(UNANSWERED), wait));
        true
    }

    /// How many entries are kept of calls, keys and caches; however long it lives, this has a bound.
    pub fn entries(&self) -> usize {
        let sent = self.alarms.len() + self.out.len() + self.fetching.len() + self.recalls.len();
        sent + self.open.len() + self.ready.len() + self.answers.len() + self.keys.len() + self.caches.len()
    }

    /// When to pull again if nothing happens before.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        let alarm = self.alarms.first().map(|a| a.0);
        let recheck = (!self.ready.is_empty()).then_some(now + RECHECK);
        [alarm, recheck, self.reask.map(|r| r.0)].into_iter().flatten().min().map(|w| w.max(now))
    }
}
