//! A planner's side: merges what forwarders tell, and says from time to time how caches stand.
//!
//! Invariant: what is kept hangs only on which observations came, not on their order or how often; a lost letter costs
//! support and nothing else. It holds since a call of a forwarder's is kept once, with the earlier of its times; since
//! those kept when there are too many are the ones least by a hash, whenever they came; and since what is older than a
//! cache's start is refused by its own time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use granitelb_balancer::time::{Span, Time};

use super::book::{Book, Measure};
use super::estimate::{Estimate, NoSupport, Policy};
use super::lottery::Lottery;
use super::observation::{CounterfactualMessage, Said, SampledRequest, Scale, Standing};
use super::standing::{Track, event_of, found, found_by_bets, sentence};
use super::{CounterfactualError, Settings, is_sampled, rank};
use crate::component::{Component, Event};
use crate::member::{ForwarderId, Incarnation, Member, PlannerId, Sender};

/// Standings in a letter: about 30 bytes each.
const SAID: usize = 36;

struct Kept {
    seen: SampledRequest,
    at: Time,
}

/// A cache, a product, and what it is held against others by.
type Of = (u64, u16, Scale);

/// An estimate, and whether it is in the list of those found.
type Finding = (Of, Result<Estimate, NoSupport>, bool);

pub struct PlannerComponent {
    settings: Settings,
    /// By forwarder, and by the call's hash.
    kept: BTreeMap<ForwarderId, BTreeMap<(u64, u64), Kept>>,
    count: usize,
    /// Calls whose hash is not below this are passed over; it halves when there are too many.
    bar: u64,
    /// What was seen before is void: the planner's start, or the last new table.
    since: Time,
    starts: BTreeMap<u64, Time>,
    tracks: BTreeMap<Of, Track>,
    forwarders: Vec<ForwarderId>,
    judged: Time,
    valued: Time,
    repeated: Time,
    out: VecDeque<(Member, CounterfactualMessage)>,
    /// Standings to be told with the next round.
    news: Vec<(Scale, Said)>,
    remarks: VecDeque<Event>,
}

fn is_bold(standing: Standing) -> bool {
    matches!(standing, Standing::Worse | Standing::Better)
}

impl PlannerComponent {
    pub fn new(settings: Settings, _me: PlannerId, _life: Incarnation, now: Time) -> PlannerComponent {
        PlannerComponent {
            settings,
            kept: BTreeMap::new(),
            count: 0,
            bar: u64::MAX,
            since: Time(0),
            starts: BTreeMap::new(),
            tracks: BTreeMap::new(),
            forwarders: Vec::new(),
            judged: now,
            valued: now,
            repeated: now,
            out: VecDeque::new(),
            news: Vec::new(),
            remarks: VecDeque::new(),
        }
    }

    /// Keys have other candidates from now on: what was seen by the old table says nothing of the new one.
    pub fn new_table(&mut self, now: Time) {
        self.since = now;
        self.kept.clear();
        self.count = 0;
        let tracks = std::mem::take(&mut self.tracks);
        self.forget(tracks);
    }

    /// Whoever was told that a cache is worse or better is told that nothing is known of it now.
    fn forget(&mut self, tracks: BTreeMap<Of, Track>) {
        for ((cache, request_class, scale), _) in tracks.into_iter().filter(|(_, t)| is_bold(t.standing)) {
            self.news(scale, Track::default().said(cache, request_class, scale));
        }
    }

    fn news(&mut self, scale: Scale, said: Said) {
        let (event, warns) = event_of(said.standing);
        if self.remarks.len() < self.settings.most_remarks {
            self.remarks.push_back(Event { name: event, message: sentence(&said, scale), is_warning: warns });
        }
        if self.news.len() < self.settings.most_standings {
            self.news.push((scale, said));
        }
    }

    /// Products of which anything is known.
    pub fn request_classes(&self) -> BTreeSet<u16> {
        self.kept.values().flatten().map(|(_, k)| k.seen.request_class).collect()
    }

    fn calls(&self, request_class: u16) -> impl Iterator<Item = (&SampledRequest, ForwarderId, u64)> {
        let bucket = self.settings.bucket.0.max(1);
        let all = self.kept.iter().flat_map(|(from, of)| of.values().map(move |k| (from, k)));
        let of = all.filter(move |(_, k)| k.seen.request_class == request_class);
        of.map(move |(from, k)| (&k.seen, *from, k.at.0 / bucket))
    }

    /// All that is kept of a product, made ready to be asked.
    pub fn book(&self, request_class: u16) -> Book {
        Book::of(self.calls(request_class))
    }

    /// The same, by the lottery of keys.
    pub fn lottery(&self, request_class: u16) -> Lottery {
        Lottery::of(self.calls(request_class))
    }

    pub fn standing(&self, cache: u64, request_class: u16, scale: Scale) -> Standing {
        self.tracks.get(&(cache, request_class, scale)).map_or(Standing::NoSupport, |t| t.standing)
    }

    /// Calls kept now.
    pub fn support(&self) -> usize {
        self.count
    }

    fn is_void(&self, seen: &SampledRequest, at: Time) -> bool {
        at < self.since || seen.candidates.iter().any(|c| self.starts.get(c).is_some_and(|s| at < *s))
    }

    fn keep(&mut self, now: Time, from: ForwarderId, mut seen: SampledRequest) {
        let at = Time(now.0.saturating_sub(u64::from(seen.ago) * 1000));
        let rank = rank(seen.call);
        if now - at > self.settings.window || self.is_void(&seen, at) || rank >= self.bar {
            return;
        }
        seen.ago = 0;
        let of = self.kept.entry(from).or_default();
        let id = (rank, seen.call);
        if let Some(known) = of.get_mut(&id) {
            known.at = known.at.min(at);
            return;
        }
        of.insert(id, Kept { seen, at });
        self.count += 1;
        // One that floods, or lies, has a bounded part in all.
        if of.len() > self.settings.most_from_one {
            of.pop_last();
            self.count -= 1;
        }
        while self.count > self.settings.most_kept && self.bar > 1 {
            self.bar /= 2;
            let bar = self.bar;
            self.retain(|id, _| id.0 < bar);
        }
    }

    fn retain(&mut self, stays: impl Fn(&(u64, u64), &Kept) -> bool) {
        self.kept.retain(|_, of| {
            of.retain(|id, kept| stays(id, kept));
            !of.is_empty()
        });
        self.count = self.kept.values().map(BTreeMap::len).sum();
    }

    fn started(&mut self, now: Time, cache: u64, ago: Span) {
        let at = Time(now.0.saturating_sub(ago.0));
        let known = self.starts.get(&cache).copied();
        // Forwarders hear of one start at times that differ a little.
        if now - at > self.settings.window || known.is_some_and(|k| at <= k + self.settings.same_start) {
            return;
        }
        if known.is_none() && self.starts.len() >= self.settings.most_caches {
            return;
        }
        self.starts.insert(cache, at);
        self.retain(|_, k| k.at >= at || !k.seen.candidates.contains(&cache));
        let (gone, stay) = std::mem::take(&mut self.tracks).into_iter().partition(|((c, ..), _)| *c == cache);
        self.tracks = stay;
        self.forget(gone);
    }

    /// Forgets what is old, and judges anew if it is time.
    fn turn(&mut self, now: Time) {
        if now - self.judged < self.settings.judges_every {
            return;
        }
        self.judged = now;
        let window = self.settings.window;
        self.retain(|_, k| now - k.at <= window);
        self.starts.retain(|_, at| now - *at <= window);
        if self.count < self.settings.most_kept / 4 {
            self.bar = self.bar.saturating_mul(2);
        }
        let values = now - self.valued >= self.settings.values_every;
        if values {
            self.valued = now;
        }
        let (mut shares, mut times) = (Vec::new(), Vec::new());
        let (mut chances, mut yields) = (Vec::new(), Vec::new());
        let least = self.settings.least(Scale::Times);
        for request_class in self.request_classes().into_iter().take(self.settings.most_products) {
            let book = self.book(request_class);
            let room = self.settings.most_standings.saturating_sub(shares.len() + times.len()) / 2;
            for cache in book.caches().into_iter().take(room) {
                let estimate = book.beside_others(cache, Measure::Waited);
                chances.extend(estimate.as_ref().ok().map(|e| e.by_chance));
                shares.push(((cache, request_class, Scale::Share), estimate));
            }
            let lottery = self.lottery(request_class);
            for cache in lottery.caches().take(room) {
                let beside = lottery.beside_others(cache, least);
                yields.extend(beside.as_ref().ok().map(|b| b.evidence));
                times.push(((cache, request_class, Scale::Times), beside.map(|b| b.estimate)));
            }
            if values {
                self.remark_values(request_class, &book);
            }
        }
        let q = self.settings.false_share;
        let mut named = found(&chances, q).into_iter().chain(found_by_bets(&yields, q));
        let findings = shares.into_iter().chain(times).map(|(of, estimate)| {
            let named = estimate.is_ok() && named.next().unwrap_or(false);
            (of, estimate, named)
        });
        self.judge(now, findings.collect());
    }

    fn judge(&mut self, now: Time, findings: Vec<Finding>) {
        let mut tracks = BTreeMap::new();
        for (of, estimate, named) in findings {
            let named = named && estimate.as_ref().is_ok_and(|e| e.shared && self.several_saw(of.0));
            let mut track = self.tracks.remove(&of).unwrap_or_default();
            let was = track.standing;
            // That there is or isn't evidence of a cache of which nothing was said is no news.
            if track.judge(&self.settings, of.2, estimate, named) && (is_bold(was) || is_bold(track.standing))
            {
                self.news(of.2, track.said(of.0, of.1, of.2));
            }
            tracks.insert(of, track);
        }
        let unheard_of = std::mem::replace(&mut self.tracks, tracks);
        self.forget(unheard_of);
        let mut told = std::mem::take(&mut self.news);
        if now - self.repeated >= self.settings.repeats_every {
            // A letter may have been lost, and forwarders come new.
            self.repeated = now;
            let bold = self.tracks.iter().filter(|(_, t)| is_bold(t.standing));
            told.extend(
                bold.map(|((cache, request_class, scale), t)| {
                    (*scale, t.said(*cache, *request_class, *scale))
                }),
            );
        }
        self.out.clear();
        let by = |scale: Scale| told.iter().filter(|t| t.0 == scale).map(|t| t.1).collect::<Vec<Said>>();
        let (shares, times) = (by(Scale::Share), by(Scale::Times));
        let shares = shares.chunks(SAID).map(|said| CounterfactualMessage::Standing(said.to_vec()));
        let letters =
            shares.chain(times.chunks(SAID).map(|said| CounterfactualMessage::Times(said.to_vec())));
        for message in letters.take(self.settings.most_letters) {
            let to = self.forwarders.iter().map(|f| (Member::Forwarder(*f), message.clone()));
            self.out.extend(to);
        }
    }

    /// One forwarder may be cut off from a cache by itself, or lie: another has to have been there, however few they are.
    fn several_saw(&self, cache: u64) -> bool {
        let saw = |of: &BTreeMap<(u64, u64), Kept>| of.values().any(|k| k.seen.chosen() == cache);
        self.kept.len() < 2 || self.kept.values().filter(|of| saw(of)).take(2).count() == 2
    }

    fn remark_values(&mut self, request_class: u16, book: &Book) {
        let told = self.settings.policies.iter().map(|policy| {
            let name = match policy {
                Policy::First => "the table's first".to_owned(),
                Policy::RandomOfThree => "one of three by chance".to_owned(),
                Policy::AsPlayed => "as played".to_owned(),
                Policy::LeavesFirstAt(out) => format!("leaving the first at {out} out"),
            };
            match book.value(*policy, Measure::InTime) {
                Ok(e) => {
                    let [mean, low, high] = [e.mean, e.low, e.high].map(|f| 100.0 * f);
                    format!("{name} {mean:.1}% ({low:.1} to {high:.1})")
                }
                Err(NoSupport) => format!("{name}: no support"),
            }
        });
        let told: Vec<String> = told.collect();
        let text = format!("product {request_class}, first choices fulfilled in time: {}", told.join(", "));
        if self.remarks.len() < self.settings.most_remarks {
            self.remarks.push_back(Event { name: "hindsight_values", message: text, is_warning: false });
        }
    }
}

impl Component for PlannerComponent {
    type Message = CounterfactualMessage;
    type Error = CounterfactualError;

    fn on_message(
        &mut self,
        now: Time,
        from: Sender,
        message: CounterfactualMessage,
    ) -> Result<(), CounterfactualError> {
        let Member::Forwarder(forwarder) = from.member else { return Err(CounterfactualError::WrongSide) };
        match message {
            CounterfactualMessage::Seen(seen) => {
                if !seen.iter().all(SampledRequest::is_sound) {
                    return Err(CounterfactualError::Figure);
                }
                if !seen.iter().all(|o| is_sampled(o.call)) {
                    return Err(CounterfactualError::NotSampled);
                }
                seen.into_iter().for_each(|o| self.keep(now, forwarder, o));
                Ok(())
            }
            CounterfactualMessage::Started(starts) => {
                for (cache, ago) in starts {
                    self.started(now, cache, Span::from_millis(u64::from(ago)));
                }
                Ok(())
            }
            CounterfactualMessage::Standing(_) | CounterfactualMessage::Times(_) => {
                Err(CounterfactualError::WrongSide)
            }
        }
    }

    fn on_membership_change(&mut self, _now: Time, alive: &[Member]) {
        let forwarder = |m: &Member| if let Member::Forwarder(id) = m { Some(*id) } else { None };
        self.forwarders = alive.iter().filter_map(forwarder).collect();
    }

    fn poll_message(&mut self, now: Time) -> Option<(Member, CounterfactualMessage)> {
        self.turn(now);
        self.out.pop_front()
    }

    fn poll_timeout(&self, now: Time) -> Option<Time> {
        let due = self.judged + self.settings.judges_every;
        Some(if self.out.is_empty() { due.max(now) } else { now })
    }

    fn poll_event(&mut self) -> Option<Event> {
        self.remarks.pop_front()
    }

    fn entries(&self) -> usize {
        self.count
            + self.starts.len()
            + self.tracks.len()
            + self.out.len()
            + self.news.len()
            + self.remarks.len()
    }
}
