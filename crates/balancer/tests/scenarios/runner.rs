//! The scenarios' notation, and the runner that plays them on a balancer.
//!
//! A line is a comment (`#`), settings (`settings OPTION ...`, `request-class NAME EFFECT OPTION ...`), an
//! event (`MS EVENT ...`), or a decision that must follow (`> DECISION ...`). All decisions up to the next
//! event must be named, in their order; `> ...` skips any number of them. An endpoint has any name; an
//! upper-case name stands for the endpoint that it is first seen with.

use std::collections::{BTreeMap, VecDeque};

use granitelb_balancer::ids::{AttemptNumber, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId};
use granitelb_balancer::settings::Settings;
use granitelb_balancer::time::Time;
use granitelb_balancer::{
    AttemptOutcome, AttemptResult, Balancer, ControlPlaneUpdate, EndpointUpdate, LoadReport, LocalReply,
    Request,
};

use crate::parse::{millis, number, option, outcome, request_class, settings};
use crate::support::{CACHE_KIND, ORIGIN_KIND, listed};

/// The clock does not start at zero.
const START: u64 = 1_000_000_000;
const MICROS_PER_MILLI: u64 = 1000;
/// Requests of a load whose attempts may still be in flight.
const RECENT_REQUESTS: usize = 60;
/// Requests before each new list of endpoints in `generations`.
const REQUESTS_PER_GENERATION: usize = 32;
const DEFAULT_CLIENT_TIMEOUT_MS: f64 = 1200.0;
const DEFAULT_LATENCY_MS: f64 = 50.0;

/// A decision of the balancer, in words as a scenario names it.
struct Decision {
    at: u64,
    text: String,
}

struct Runner {
    settings: Settings,
    request_classes: Vec<String>,
    /// The client timeout of each request class in milliseconds.
    timeouts: Vec<f64>,
    balancer: Option<Balancer>,
    now: u64,
    /// The names of endpoints, by their ids.
    endpoints: Vec<String>,
    /// The endpoints that upper-case names stand for.
    bindings: BTreeMap<String, usize>,
    /// The names of requests, by their ids.
    requests: Vec<String>,
    /// For each request, where its attempts went.
    attempts: BTreeMap<usize, Vec<EndpointId>>,
    decisions: VecDeque<Decision>,
    /// What each endpoint reports with its answers.
    reports: BTreeMap<EndpointId, LoadReport>,
    /// Attempts by endpoint since the last load began.
    counts: BTreeMap<EndpointId, usize>,
}

impl Runner {
    fn new() -> Runner {
        Runner {
            settings: settings(&[]),
            request_classes: Vec::new(),
            timeouts: Vec::new(),
            balancer: None,
            now: START,
            endpoints: Vec::new(),
            bindings: BTreeMap::new(),
            requests: Vec::new(),
            attempts: BTreeMap::new(),
            decisions: VecDeque::new(),
            reports: BTreeMap::new(),
            counts: BTreeMap::new(),
        }
    }

    fn balancer(&mut self) -> &mut Balancer {
        let settings = &self.settings;
        self.balancer.get_or_insert_with(|| Balancer::new(settings.clone(), 7, Time(START)))
    }

    /// The endpoint of a name.
    fn endpoint(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.bindings.get(name) {
            return EndpointId(*id as u64);
        }
        EndpointId(position_or_push(&mut self.endpoints, name) as u64)
    }

    fn request_index(&mut self, name: &str) -> usize {
        position_or_push(&mut self.requests, name)
    }

    /// Polls all decisions.
    fn poll(&mut self) {
        let now = Time(self.now);
        while let Some(attempt) = self.balancer().poll_attempt(now) {
            let request = attempt.request.0 as usize;
            self.attempts.entry(request).or_default().push(attempt.endpoint);
            *self.counts.entry(attempt.endpoint).or_default() += 1;
            let endpoint = self.endpoints[attempt.endpoint.0 as usize].clone();
            self.push_decision(format!("attempt {} {endpoint}", self.requests[request]));
        }
        while let Some((id, reply)) = self.balancer().poll_response(now) {
            let word = if reply == LocalReply::Errored { "errored" } else { "rate-limited" };
            self.push_decision(format!("{word} {}", self.requests[id.0 as usize]));
        }
        while let Some((id, number)) = self.balancer().poll_cancellation() {
            self.push_decision(format!("cancel {} {}", number.0, self.requests[id.0 as usize]));
        }
        if self.balancer().poll_watch_request(now) {
            self.push_decision("watch".to_string());
        }
    }

    fn push_decision(&mut self, text: String) {
        self.decisions.push_back(Decision { at: self.now, text });
    }

    /// Lets time pass, and polls whenever the balancer asked for it.
    fn advance(&mut self, until: u64) {
        while let Some(timeout) = self.balancer.as_ref().and_then(|b| b.poll_timeout(Time(self.now))) {
            if timeout.0 > until {
                break;
            }
            self.now = timeout.0.max(self.now + MICROS_PER_MILLI);
            self.poll();
        }
        self.now = self.now.max(until);
    }

    /// Decodes the entries of an endpoint list.
    fn endpoint_updates(&mut self, words: &[&str]) -> Vec<EndpointUpdate> {
        words.iter().map(|word| self.endpoint_update(word)).collect()
    }

    fn endpoint_update(&mut self, word: &str) -> EndpointUpdate {
        let mut parts = word.split(':');
        let name = parts.next().expect("a name");
        let options: Vec<&str> = parts.collect();
        let kind: KindId = if name.starts_with("origin") { ORIGIN_KIND } else { CACHE_KIND };
        let is_new = options.contains(&"new");
        EndpointUpdate {
            size: number(&options, "size", 1.0),
            zone: ZoneId(number(&options, "zone", 0.0) as u32),
            ready: !options.contains(&"draining") && !options.contains(&"gone"),
            draining: options.contains(&"draining"),
            started: is_new.then_some(Time(self.now)),
            ..listed(self.endpoint(name), kind)
        }
    }

    fn update_endpoints(&mut self, words: &[&str], complete: bool) {
        let updates = self.endpoint_updates(words);
        let now = Time(self.now);
        self.balancer().on_endpoints_update(now, &updates, complete);
    }

    /// `NAME CLASS KEY OPTION ...`
    fn request(&mut self, name: &str, words: &[&str]) {
        let class = self.request_classes.iter().position(|class| class == words[0]).expect("a class");
        let request = Request {
            request_class: RequestClassId(class as u16),
            key: Key(words[1].parse().expect("a key")),
            client_timeout: millis(number(words, "budget", self.timeouts[class])),
            work: option(words, "work").map(|ms| millis(ms.parse().expect("a work"))),
            write: words.contains(&"write"),
        };
        let id = RequestId(self.request_index(name) as u64);
        let now = Time(self.now);
        self.balancer().on_request(now, id, request);
    }

    /// `NAME OUTCOME OPTION ...`: the request's last attempt ends, or the one that an option names.
    fn finish(&mut self, name: &str, words: &[&str]) {
        let id = self.request_index(name);
        let attempts = &self.attempts[&id];
        let attempt = number(words, "attempt", attempts.len() as f64 - 1.0) as usize;
        let endpoint = attempts[attempt];
        let outcome = outcome(words[0]);
        let result = AttemptResult {
            number: AttemptNumber(attempt as u8),
            endpoint,
            outcome,
            latency: millis(number(words, "after", DEFAULT_LATENCY_MS)),
            answered: outcome == AttemptOutcome::Fulfilled,
        };
        let now = Time(self.now);
        if let Some(report) = self.reports.get(&endpoint).copied() {
            self.balancer().on_load_report(now, endpoint, &report);
        }
        self.balancer().on_attempt_finished(now, RequestId(id as u64), &result);
    }

    fn finish_and_poll(&mut self, name: &str, words: &[&str]) {
        self.finish(name, words);
        self.poll();
    }

    /// Requests for many keys, one at a time, each finished with the same outcome; one at the cache to `hold`
    /// only when the next one is there.
    fn load(&mut self, words: &[&str]) {
        let requests = number(words, "requests", 0.0) as u64;
        let interval = millis(number(words, "every", 10.0));
        let keys = number(words, "keys", 100.0) as u64;
        let mut held: Option<String> = None;
        // Requests that had no attempt at once: one that has it by the next end is finished then.
        let mut waiting: Vec<String> = Vec::new();
        for n in 0..requests {
            let name = format!("load{}", self.requests.len());
            let key = (n % keys).to_string();
            self.request(&name, &[&[words[0], &key], &words[1..]].concat());
            self.poll();
            let id = self.request_index(&name);
            self.now += interval.0;
            self.poll();
            for name in std::mem::take(&mut waiting) {
                let id = self.request_index(&name);
                if self.attempts.contains_key(&id) {
                    self.finish_and_poll(&name, &words[1..]);
                }
            }
            let Some(attempts) = self.attempts.get(&id) else {
                waiting.push(name);
                continue;
            };
            let endpoint = &self.endpoints[attempts[0].0 as usize];
            let is_held = option(words, "hold").is_some_and(|held| endpoint == held);
            let due = if is_held { held.replace(name) } else { Some(name) };
            if let Some(name) = due {
                self.finish_and_poll(&name, &words[1..]);
            }
        }
        if let Some(name) = held {
            self.finish(&name, &words[1..]);
        }
        self.decisions.clear();
    }

    /// Finishes all attempts of recent requests with one outcome, and those that follow from that. A second
    /// result of an attempt changes nothing.
    fn finish_all(&mut self, outcome: &str) {
        let mut finished = 0;
        loop {
            let recent = self.attempts.range(self.requests.len().saturating_sub(RECENT_REQUESTS)..);
            let attempts: Vec<(usize, usize)> = recent
                .flat_map(|(request, attempts)| (0..attempts.len()).map(|attempt| (*request, attempt)))
                .collect();
            if attempts.len() == finished {
                return;
            }
            finished = attempts.len();
            for (request, attempt) in attempts {
                let name = self.requests[request].clone();
                self.finish_and_poll(&name, &[outcome, "after=2", &format!("attempt={attempt}")]);
            }
        }
    }

    /// Time and again all caches and the origin are replaced, and requests come whose attempts end in each
    /// possible way.
    fn generations(&mut self, words: &[&str]) {
        const OUTCOMES: [&str; 8] = [
            "fulfilled",
            "cache-miss",
            "timed-out",
            "errored",
            "reset",
            "rejected",
            "unreachable",
            "not-sent",
        ];
        let count = number(words, "count", 0.0) as usize;
        let keys = number(words, "keys", 1.0) as usize;
        for n in 0..count * REQUESTS_PER_GENERATION {
            if n % REQUESTS_PER_GENERATION == 0 {
                let generation = self.endpoints.len();
                let names = ["a", "b", "c", "origin"].map(|name| format!("{name}{generation}"));
                self.update_endpoints(&names.each_ref().map(|name| name.as_str()), true);
            }
            let name = format!("request{}", self.requests.len());
            self.request(&name, &["read", &(n % keys).to_string()]);
            self.advance(self.now + 2 * MICROS_PER_MILLI);
            self.poll();
            self.finish_all(OUTCOMES[n % OUTCOMES.len()]);
        }
        self.advance(self.now + 5000 * MICROS_PER_MILLI);
        self.finish_all("timed-out");
        self.decisions.clear();
    }

    /// `ENDPOINT FIGURE=VALUE ...`: it reports this with each answer from now on; nothing more if no figure
    /// is named.
    fn set_load_report(&mut self, words: &[&str]) {
        let figure = |name| option(words, name).map(|value| value.parse::<f64>().expect("a figure"));
        let report = LoadReport {
            requests_held: figure("held"),
            requests_queued: figure("waiting"),
            requests_per_s: figure("per_s"),
            service_time: figure("service").map(millis),
        };
        let endpoint = self.endpoint(words[0]);
        if report == LoadReport::default() {
            self.reports.remove(&endpoint);
        } else {
            self.reports.insert(endpoint, report);
        }
    }

    /// Other settings hold from now on, for the same request classes.
    fn update_settings(&mut self, words: &[&str]) {
        let request_classes = self.settings.request_classes.clone();
        self.settings = Settings { request_classes, ..settings(words) };
        let (now, settings) = (Time(self.now), self.settings.clone());
        self.balancer().on_settings_update(now, settings);
    }

    /// `failing=ENDPOINT:AGE_MS answering=ENDPOINT:AGE_MS ...`
    fn update_control_plane(&mut self, words: &[&str]) {
        let mut update = ControlPlaneUpdate::default();
        for (health, value) in words.iter().filter_map(|word| word.split_once('=')) {
            let (name, age) = value.split_once(':').unwrap_or((value, "0"));
            let observed_at = Time(self.now - millis(age.parse().expect("an age")).0);
            let report = (self.endpoint(name), observed_at);
            match health {
                "failing" => update.failing.push(report),
                "answering" => update.answering.push(report),
                _ => panic!("no health {health}"),
            }
        }
        let now = Time(self.now);
        self.balancer().on_control_plane_update(now, &update);
    }

    fn on_event(&mut self, at_ms: u64, words: &[&str]) {
        let (&event, rest) = words.split_first().expect("an event");
        self.advance(START + at_ms * MICROS_PER_MILLI);
        let now = Time(self.now);
        match event {
            "wait" => {}
            "endpoints" => self.update_endpoints(rest, true),
            "endpoints-changed" => self.update_endpoints(rest, false),
            "endpoints-restored" => {
                let updates = self.endpoint_updates(rest);
                self.balancer().on_endpoints_restored(now, &updates);
            }
            "watch-failed" => self.balancer().on_endpoints_watch_failed(now),
            "request" => self.request(rest[0], &rest[1..]),
            "finish" => self.finish(rest[0], &rest[1..]),
            "generations" => self.generations(rest),
            "load" => {
                self.counts.clear();
                self.load(rest);
            }
            "load-report" => self.set_load_report(rest),
            "settings-update" => self.update_settings(rest),
            "control-plane" => self.update_control_plane(rest),
            "disconnect" => {
                let id = RequestId(self.request_index(rest[0]) as u64);
                self.balancer().on_client_disconnect(now, id);
            }
            _ => panic!("no event {event}"),
        }
        self.poll();
    }

    /// Checks one decision, or a count.
    fn expect(&mut self, words: &[&str]) {
        match words {
            ["..."] => self.decisions.clear(),
            ["entries", "<", limit] => {
                let entries = self.balancer().entry_count();
                let limit = limit.parse().expect("a count");
                assert!(entries < limit, "{entries} entries, not under {limit}");
            }
            ["count", endpoint, relation, limit] => self.expect_count(endpoint, relation, limit),
            _ => self.expect_decision(words),
        }
    }

    /// Checks how many attempts of the last load went to an endpoint.
    fn expect_count(&mut self, endpoint: &str, relation: &str, limit: &str) {
        let endpoint = self.endpoint(endpoint);
        let count = self.counts.get(&endpoint).copied().unwrap_or(0);
        let limit = limit.parse().expect("a count");
        let holds = match relation {
            "<" => count < limit,
            ">" => count > limit,
            _ => panic!("no relation {relation}"),
        };
        assert!(holds, "{count} attempts, not {relation} {limit}; all: {:?}", self.counts);
    }

    fn expect_decision(&mut self, expected: &[&str]) {
        let decision = self.decisions.pop_front().unwrap_or_else(|| panic!("nothing decided"));
        let text = &decision.text;
        let decided: Vec<&str> = text.split(' ').collect();
        for (position, word) in expected.iter().filter(|word| !word.starts_with("at=")).enumerate() {
            let is_binding = word.starts_with(|c: char| c.is_ascii_uppercase());
            if position == 2 && is_binding && !self.bindings.contains_key(*word) {
                self.bind(word, decided[position], text);
            }
            let name = match self.bindings.get(*word) {
                Some(endpoint) => self.endpoints[*endpoint].as_str(),
                None => word,
            };
            assert_eq!(decided.get(position), Some(&name), "decided: {text}");
        }
        if let Some(due) = option(expected, "at") {
            let at_ms = (decision.at - START) / MICROS_PER_MILLI;
            assert_eq!(at_ms.to_string(), due, "decided at: {text}");
        }
    }

    /// Lets an upper-case name stand for an endpoint that no other such name stands for.
    fn bind(&mut self, name: &str, endpoint: &str, text: &str) {
        let id = self.endpoint(endpoint).0 as usize;
        let is_unbound = self.bindings.values().all(|bound| *bound != id);
        assert!(endpoint != "origin" && is_unbound, "{text}");
        self.bindings.insert(name.to_string(), id);
    }

    fn expect_no_decision(&self) {
        let texts: Vec<&str> = self.decisions.iter().map(|decision| decision.text.as_str()).collect();
        assert!(texts.is_empty(), "not expected: {texts:?}");
    }
}

/// The position of a name, which is added if it is new.
fn position_or_push(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(position) = names.iter().position(|known| known == name) {
        return position;
    }
    names.push(name.to_string());
    names.len() - 1
}

/// Runs a scenario.
pub fn run(text: &str) {
    let mut runner = Runner::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().take_while(|word| !word.starts_with('#')).collect();
        let Some((&first, rest)) = words.split_first() else { continue };
        println!("{line}");
        match first {
            "settings" => runner.settings = settings(rest),
            "request-class" => {
                runner.request_classes.push(rest[0].to_string());
                runner.timeouts.push(number(rest, "timeout", DEFAULT_CLIENT_TIMEOUT_MS));
                runner.settings.request_classes.push(request_class(rest[1], rest));
            }
            ">" => runner.expect(rest),
            _ => {
                runner.expect_no_decision();
                runner.on_event(first.parse().expect("a time"), rest);
            }
        }
    }
    runner.expect_no_decision();
}
