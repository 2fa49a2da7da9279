//! Plays the scenarios: text files in a notation of our own, on the decision module alone.
//!
//! A line is a comment (`#`), a setting (`settings k=v ...`, `request_class NAME EFFECT k=v ...`), something that
//! happens (`MS WHAT ...`), or a decision that must follow (`> WHAT ...`). All decisions up to the next
//! thing that happens must be named, in order; `> ...` passes over any number of them. A cache is called
//! by any name; an upper-case name stands for whichever cache it is first seen as.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::balancer::Balancer;
use granitelb_balancer::calls::{
    AttemptOutcome, AttemptResult, ControlPlaneUpdate, EndpointUpdate, LoadReport, LocalReply, Request,
};
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::settings::{DedupScope, Effect, RequestClass, Settings};
use granitelb_balancer::time::{Span, Time};
use test_case::test_case;

/// The clock does not start at zero.
const START: u64 = 1_000_000_000;

struct Stage {
    settings: Settings,
    request_classes: Vec<String>,
    /// Each product's client timeout in milliseconds.
    timeouts: Vec<f64>,
    balancer: Option<Balancer>,
    now: u64,
    caches: Vec<String>,
    bound: BTreeMap<String, usize>,
    calls: Vec<String>,
    /// For each call, where its shots went.
    shots: BTreeMap<usize, Vec<EndpointId>>,
    decided: VecDeque<(u64, String)>,
    /// What each cache reports with its answers.
    reports: BTreeMap<EndpointId, LoadReport>,
    /// Shots by cache since the last count.
    counts: BTreeMap<EndpointId, usize>,
}

fn option<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|w| w.strip_prefix(name)?.strip_prefix('='))
}

fn number(words: &[&str], name: &str, otherwise: f64) -> f64 {
    option(words, name).map_or(otherwise, |v| v.parse().unwrap_or_else(|_| panic!("{name}={v}")))
}

fn span(ms: f64) -> Span {
    Span::from_secs_f64(ms / 1e3)
}

fn settings(words: &[&str]) -> Settings {
    Settings {
        origin: (!words.contains(&"through")).then_some(KindId(1)),
        request_classes: Vec::new(),
        nodes: number(words, "nodes", 1.0),
        list_on_request: words.contains(&"ask"),
        max_poll_interval: span(number(words, "must-ask", 10_000.0)),
        only_draining_binds: words.contains(&"only-draining"),
        cold_from: 0.2,
        warm_after: span(20_000.0),
        fall_multiple: 3.0,
        fall_window: span(2000.0),
        max_attempts: number(words, "shots", 4.0) as u8,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: span(1500.0),
        value_by_work: false,
        steady_sizes: false,
    }
}

fn effect(word: &str) -> Effect {
    let (kind, window) = word.split_once(':').unwrap_or((word, "0"));
    let window = span(window.parse().expect("a window"));
    match kind {
        "idempotent" => Effect::Idempotent,
        "non-idempotent" => Effect::NonIdempotent,
        "dedup-all" => Effect::Deduplicated { scope: DedupScope::All, window },
        "dedup-zone" => Effect::Deduplicated { scope: DedupScope::Zone, window },
        "dedup-cell" => Effect::Deduplicated { scope: DedupScope::Cell, window },
        _ => panic!("no effect {word}"),
    }
}

fn outcome(word: &str) -> AttemptOutcome {
    match word {
        "fulfilled" => AttemptOutcome::Fulfilled,
        "lacking" => AttemptOutcome::CacheMiss,
        "full" => AttemptOutcome::Rejected,
        "unreachable" => AttemptOutcome::Unreachable,
        "moot" => AttemptOutcome::NotSent,
        "timed-out" => AttemptOutcome::TimedOut,
        "errored" => AttemptOutcome::Errored,
        "reset" => AttemptOutcome::Reset,
        "recalled" => AttemptOutcome::Cancelled,
        _ => panic!("no outcome {word}"),
    }
}

impl Stage {
    fn balancer(&mut self) -> &mut Balancer {
        let settings = &self.settings;
        self.balancer.get_or_insert_with(|| Balancer::new(settings.clone(), 7, Time(START)))
    }

    /// The number behind a cache's name.
    fn cache(&mut self, name: &str) -> EndpointId {
        if let Some(n) = self.bound.get(name) {
            return EndpointId(*n as u64);
        }
        let n = self.caches.iter().position(|c| c == name).unwrap_or_else(|| {
            self.caches.push(name.to_string());
            self.caches.len() - 1
        });
        EndpointId(n as u64)
    }

    fn call(&mut self, name: &str) -> usize {
        self.calls.iter().position(|c| c == name).unwrap_or_else(|| {
            self.calls.push(name.to_string());
            self.calls.len() - 1
        })
    }

    /// Pulls all decisions.
    fn pull(&mut self) {
        let now = Time(self.now);
        let mut decided = Vec::new();
        let balancer = self.balancer();
        while let Some(shot) = balancer.poll_attempt(now) {
            decided.push((Some((shot.request.0 as usize, shot.cache)), "shot".to_string()));
        }
        while let Some((id, answer)) = balancer.poll_response(now) {
            let word = if answer == LocalReply::Errored { "errored" } else { "rate-limited" };
            decided.push((Some((id.0 as usize, EndpointId(u64::MAX))), word.to_string()));
        }
        while let Some((id, number)) = balancer.poll_cancellation() {
            decided.push((Some((id.0 as usize, EndpointId(u64::MAX))), format!("recall {}", number.0)));
        }
        if balancer.poll_watch_request(now) {
            decided.push((None, "watch".to_string()));
        }
        for (subject, word) in decided {
            let Some((call, cache)) = subject else {
                self.decided.push_back((self.now, word));
                continue;
            };
            let mut text = format!("{word} {}", self.calls[call]);
            if word == "shot" {
                self.shots.entry(call).or_default().push(cache);
                *self.counts.entry(cache).or_default() += 1;
                text += &format!(" {}", self.caches[cache.0 as usize]);
            }
            self.decided.push_back((self.now, text));
        }
    }

    /// Lets time pass, pulling whenever the module asked for it.
    fn advance(&mut self, until: u64) {
        while let Some(wake) = self.balancer.as_ref().and_then(|b| b.poll_timeout(Time(self.now))) {
            if wake.0 > until {
                break;
            }
            self.now = wake.0.max(self.now + 1000);
            self.pull();
        }
        self.now = self.now.max(until);
    }

    fn list(&mut self, words: &[&str], complete: bool, remembered: bool) {
        let now = Time(self.now);
        let listing = |stage: &mut Stage, word: &&str| {
            let mut parts = word.split(':');
            let name = parts.next().expect("a name");
            let options: Vec<&str> = parts.collect();
            EndpointUpdate {
                cache: stage.cache(name),
                kind: KindId(u16::from(name.starts_with("origin"))),
                size: number(&options, "size", 1.0),
                zone: ZoneId(number(&options, "zone", 0.0) as u32),
                cell: CellId(0),
                ready: !options.contains(&"draining") && !options.contains(&"gone"),
                draining: options.contains(&"draining"),
                started: options.contains(&"new").then_some(now),
            }
        };
        let listings: Vec<EndpointUpdate> = words.iter().map(|w| listing(self, w)).collect();
        match remembered {
            true => self.balancer().on_endpoints_restored(now, &listings),
            false => self.balancer().on_endpoints_update(now, &listings, complete),
        }
    }

    fn ask(&mut self, name: &str, words: &[&str]) {
        let request_class = self.request_classes.iter().position(|p| p == words[0]).expect("a product");
        let budget = span(number(words, "budget", self.timeouts[request_class]));
        let call = Request {
            request_class: RequestClassId(request_class as u16),
            key: Key(words[1].parse().expect("a key")),
            budget,
            work: option(words, "work").map(|ms| span(ms.parse().expect("a work"))),
            write: words.contains(&"write"),
        };
        let (id, now) = (self.call(name), Time(self.now));
        self.balancer().on_request(now, RequestId(id as u64), call);
    }

    fn end(&mut self, name: &str, words: &[&str]) {
        let id = self.call(name);
        let shots = &self.shots[&id];
        let shot = number(words, "shot", shots.len() as f64 - 1.0) as usize;
        let outcome = outcome(words[0]);
        let answered = outcome == AttemptOutcome::Fulfilled;
        let latency = span(number(words, "after", 50.0));
        let end = AttemptResult {
            number: AttemptNumber(shot as u8),
            cache: shots[shot],
            outcome,
            latency,
            answered,
        };
        let now = Time(self.now);
        if let Some(report) = self.reports.get(&end.cache).copied() {
            self.balancer().on_load_report(now, end.cache, &report);
        }
        self.balancer().on_attempt_finished(now, RequestId(id as u64), &end);
    }

    /// Calls for many keys, one at a time, each ended as said; one at the cache to `hold` only with the next there.
    fn load(&mut self, words: &[&str]) {
        let (calls, every) = (number(words, "calls", 0.0) as u64, number(words, "every", 10.0));
        let keys = number(words, "keys", 100.0) as u64;
        let mut held: Option<String> = None;
        // Calls that had no shot at once: one that has it by the next end is ended then.
        let mut waiting: Vec<String> = Vec::new();
        for n in 0..calls {
            let name = format!("load{}", self.calls.len());
            let key = (n % keys).to_string();
            self.ask(&name, &[&[words[0], &key], &words[1..]].concat());
            self.pull();
            let id = self.call(&name);
            self.now += span(every).0;
            self.pull();
            for name in std::mem::take(&mut waiting) {
                let id = self.call(&name);
                if self.shots.contains_key(&id) {
                    self.end(&name, &words[1..]);
                    self.pull();
                }
            }
            let Some(shots) = self.shots.get(&id) else {
                waiting.push(name);
                continue;
            };
            let holds = option(words, "hold").is_some_and(|c| self.caches[shots[0].0 as usize] == c);
            let due = if holds { held.replace(name) } else { Some(name) };
            if let Some(name) = due {
                self.end(&name, &words[1..]);
                self.pull();
            }
        }
        if let Some(name) = held {
            self.end(&name, &words[1..]);
        }
        self.decided.clear();
    }

    /// Ends all shots of the calls of late that are out in this way, and those that follow from that. That one is
    /// told of twice changes nothing.
    fn end_all(&mut self, how: &str) {
        let mut told = 0;
        loop {
            let recent = self.shots.range(self.calls.len().saturating_sub(60)..);
            let shots: Vec<_> = recent.flat_map(|(c, s)| (0..s.len()).map(|n| (*c, n))).collect();
            if shots.len() == told {
                return;
            }
            told = shots.len();
            for (call, shot) in shots {
                let name = self.calls[call].clone();
                self.end(&name, &[how, "after=2", &format!("shot={shot}")]);
                self.pull();
            }
        }
    }

    /// Time and again all caches and the origin are replaced, and calls come whose shots end in each way there is.
    fn generations(&mut self, words: &[&str]) {
        let ends = ["fulfilled", "lacking", "timed-out", "errored", "reset", "full", "unreachable", "moot"];
        let (count, keys) = (number(words, "count", 0.0) as usize, number(words, "keys", 1.0) as usize);
        for n in 0..count * 32 {
            if n % 32 == 0 {
                let generation = self.caches.len();
                let names = ["a", "b", "c", "origin"].map(|name| format!("{name}{generation}"));
                self.list(&names.each_ref().map(|name| name.as_str()), true, false);
            }
            let name = format!("call{}", self.calls.len());
            self.ask(&name, &["read", &(n % keys).to_string()]);
            self.advance(self.now + 2000);
            self.pull();
            self.end_all(ends[n % ends.len()]);
        }
        self.advance(self.now + 5_000_000);
        self.end_all("timed-out");
        self.decided.clear();
    }

    fn happen(&mut self, at: u64, words: &[&str]) {
        let (&what, rest) = words.split_first().unwrap_or((&"wait", &[]));
        self.advance(START + at * 1000);
        let now = Time(self.now);
        match what {
            "wait" => {}
            "list" => self.list(rest, true, false),
            "remembered" => self.list(rest, true, true),
            "change" => self.list(rest, false, false),
            "list-failed" => self.balancer().on_endpoints_watch_failed(now),
            "call" => self.ask(rest[0], &rest[1..]),
            "end" => self.end(rest[0], &rest[1..]),
            "generations" => self.generations(rest),
            "load" => {
                self.counts.clear();
                self.load(rest);
            }
            // From now on with each answer; nothing more where no figure is named.
            "reports" => {
                let figure = |name| option(rest, name).map(|v| v.parse::<f64>().expect("a figure"));
                let (held, waiting, per_s) = (figure("held"), figure("waiting"), figure("per_s"));
                let report = LoadReport { held, waiting, per_s, service: figure("service").map(span) };
                let cache = self.cache(rest[0]);
                self.reports.insert(cache, report);
                if report == LoadReport::default() {
                    self.reports.remove(&cache);
                }
            }
            // Other settings hold from now on, for the same products.
            "moved" => {
                let request_classes = self.settings.request_classes.clone();
                let moved = Settings { request_classes, ..settings(rest) };
                self.settings = moved.clone();
                self.balancer().on_settings_update(now, moved);
            }
            "advised" => {
                let mut advice = ControlPlaneUpdate::default();
                for (said, of) in rest.iter().filter_map(|w| w.split_once('=')) {
                    let (name, ago) = of.split_once(':').unwrap_or((of, "0"));
                    let at = Time(self.now - span(ago.parse().expect("an age")).0);
                    let cache = self.cache(name);
                    (if said == "fails" { &mut advice.failing } else { &mut advice.answering })
                        .push((cache, at));
                }
                self.balancer().on_control_plane_update(now, &advice);
            }
            "left" => {
                let id = RequestId(self.call(rest[0]) as u64);
                self.balancer().on_client_disconnect(now, id);
            }
            _ => panic!("nothing happens by {what}"),
        }
        self.pull();
    }

    /// Checks one decision, or what a load counted.
    fn expect(&mut self, words: &[&str]) {
        if words[0] == "..." {
            return self.decided.clear();
        }
        if let ["entries", "<", most] = words {
            let (entries, most) = (self.balancer().entries(), most.parse().expect("a count"));
            assert!(entries < most, "{entries} entries, not under {most}");
            return;
        }
        if let ["count", cache, relation, most] = words {
            let cache = self.cache(cache);
            let (count, most) =
                (self.counts.get(&cache).copied().unwrap_or(0), most.parse().expect("a count"));
            let holds = if *relation == "<" { count < most } else { count > most };
            assert!(holds, "{count} shots, not {relation} {most}; all: {:?}", self.counts);
            return;
        }
        let (at, text) = self.decided.pop_front().unwrap_or_else(|| panic!("nothing decided"));
        let said: Vec<&str> = text.split(' ').collect();
        for (n, word) in words.iter().filter(|w| !w.starts_with("at=")).enumerate() {
            let name = word.starts_with(|c: char| c.is_ascii_uppercase());
            if n == 2 && name && !self.bound.contains_key(*word) {
                let cache = self.cache(said[2]);
                assert!(said[2] != "origin" && self.bound.values().all(|b| *b as u64 != cache.0), "{text}");
                self.bound.insert(word.to_string(), cache.0 as usize);
            }
            let meant = self.bound.get(*word).map_or(word.to_string(), |n| self.caches[*n].clone());
            assert_eq!(said.get(n), Some(&&*meant), "decided: {text}");
        }
        if let Some(due) = option(words, "at") {
            assert_eq!(((at - START) / 1000).to_string(), due, "decided at: {text}");
        }
    }
}

fn play(text: &str) {
    let mut stage = Stage {
        settings: settings(&[]),
        request_classes: Vec::new(),
        timeouts: Vec::new(),
        balancer: None,
        now: START,
        caches: Vec::new(),
        bound: BTreeMap::new(),
        calls: Vec::new(),
        shots: BTreeMap::new(),
        decided: VecDeque::new(),
        reports: BTreeMap::new(),
        counts: BTreeMap::new(),
    };
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().take_while(|w| !w.starts_with('#')).collect();
        let Some((&first, rest)) = words.split_first() else { continue };
        println!("{line}");
        match first {
            "settings" => stage.settings = settings(rest),
            "product" => {
                stage.request_classes.push(rest[0].to_string());
                stage.timeouts.push(number(rest, "timeout", 1200.0));
                stage.settings.request_classes.push(RequestClass {
                    slo: span(number(rest, "slo", 600.0)),
                    billed_value: number(rest, "value", 1.0),
                    value_after_slo: number(rest, "late", 0.0),
                    offered: true,
                    effect: effect(rest[1]),
                });
            }
            ">" => stage.expect(rest),
            _ => {
                assert!(stage.decided.is_empty(), "not foreseen: {:?}", stage.decided);
                stage.happen(first.parse().expect("a time"), rest);
            }
        }
    }
    assert!(stage.decided.is_empty(), "not foreseen: {:?}", stage.decided);
}

macro_rules! scenario {
    ($name:literal) => {
        include_str!(concat!("scenarios/", $name, ".txt"))
    };
}

#[test_case(scenario!("ordinary-path"); "ordinary path")]
#[test_case(scenario!("outcomes"); "outcomes")]
#[test_case(scenario!("one-answer"); "one answer")]
#[test_case(scenario!("effects"); "effects")]
#[test_case(scenario!("drains"); "drains")]
#[test_case(scenario!("cold"); "cold")]
#[test_case(scenario!("many-nodes"); "many nodes")]
#[test_case(scenario!("restart"); "restart")]
#[test_case(scenario!("joined"); "joined")]
#[test_case(scenario!("hang"); "hang")]
#[test_case(scenario!("learning"); "learning")]
#[test_case(scenario!("reask"); "reask")]
#[test_case(scenario!("reask-untimed"); "reask untimed")]
#[test_case(scenario!("reported-held"); "reported held")]
#[test_case(scenario!("reported-waiting"); "reported waiting")]
#[test_case(scenario!("reported-stale"); "reported stale")]
#[test_case(scenario!("reported-wait"); "reported wait")]
#[test_case(scenario!("slow-rest"); "slow rest")]
#[test_case(scenario!("slow-growth"); "slow growth")]
#[test_case(scenario!("generations"); "generations")]
#[test_case(scenario!("heavy"); "heavy")]
#[test_case(scenario!("hopeless"); "hopeless")]
#[test_case(scenario!("late"); "late")]
#[test_case(scenario!("tightest"); "tightest")]
#[test_case(scenario!("list"); "list")]
#[test_case(scenario!("moved"); "moved")]
#[test_case(scenario!("crowd"); "crowd")]
#[test_case(scenario!("lost-answers"); "lost answers")]
#[test_case(scenario!("silence"); "silence")]
#[test_case(scenario!("silent-zone"); "silent zone")]
#[test_case(scenario!("last-shot"); "last shot")]
#[test_case(scenario!("all-fail"); "all fail")]
#[test_case(scenario!("advice"); "advice")]
#[test_case(scenario!("short-slo"); "short slo")]
#[test_case(scenario!("through"); "through")]
#[test_case(scenario!("wrong-list"); "wrong list")]
#[test_case(scenario!("empty-list"); "empty list")]
#[test_case(scenario!("untold-work"); "untold work")]
fn scenario(text: &str) {
    play(text);
}
