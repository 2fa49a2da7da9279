//! The syntax of scenario files, and the runner that executes them on a balancer.
//!
//! A line is a comment (`#`), settings (`settings OPTION ...`, `request-class NAME EFFECT OPTION ...`), an
//! event (`MS EVENT ...`), or an expected decision (`> DECISION ...`). The expected decisions after an event
//! must be all decisions up to the next event, in order; `> ...` skips any number of decisions. An endpoint
//! may have any name. An upper-case name in an expected decision stands for the endpoint of the first
//! decision that it is matched with.

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

/// The time of the scenarios' millisecond zero, in microseconds; above zero, so that earlier times can be
/// expressed.
const START: u64 = 1_000_000_000;
const MICROS_PER_MILLI: u64 = 1000;
/// The number of the latest requests whose attempts `finish_all` finishes.
const RECENT_REQUESTS: usize = 60;
/// The number of requests between two endpoint lists in `generations`.
const REQUESTS_PER_GENERATION: usize = 32;
const DEFAULT_CLIENT_TIMEOUT_MS: f64 = 1200.0;
const DEFAULT_LATENCY_MS: f64 = 50.0;

/// A decision of the balancer, in the words of an expected decision, and its time in microseconds.
struct Decision {
    at: u64,
    text: String,
}

/// The state of a scenario that is being run.
struct Runner {
    settings: Settings,
    request_classes: Vec<String>,
    /// The client timeout of each request class in milliseconds.
    client_timeouts_ms: Vec<f64>,
    balancer: Option<Balancer>,
    /// The present time, in microseconds.
    now: u64,
    /// The names of endpoints, by their ids.
    endpoints: Vec<String>,
    /// The endpoints that upper-case names stand for.
    bindings: BTreeMap<String, usize>,
    /// The names of requests, by their ids.
    requests: Vec<String>,
    /// The endpoints of each request's attempts, in order.
    attempts: BTreeMap<usize, Vec<EndpointId>>,
    /// The decisions that no expected decision has been compared with yet.
    decisions: VecDeque<Decision>,
    /// The load report that each endpoint sends with its answers.
    reports: BTreeMap<EndpointId, LoadReport>,
    /// The number of attempts at each endpoint since the last `load` event.
    counts: BTreeMap<EndpointId, usize>,
}

impl Runner {
    fn new() -> Runner {
        Runner {
            settings: settings(&[]),
            request_classes: Vec::new(),
            client_timeouts_ms: Vec::new(),
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

    /// The endpoint with a name; a new name adds an endpoint.
    fn endpoint(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.bindings.get(name) {
            return EndpointId(*id as u64);
        }
        EndpointId(position_or_push(&mut self.endpoints, name) as u64)
    }

    fn request_index(&mut self, name: &str) -> usize {
        position_or_push(&mut self.requests, name)
    }

    /// Polls the balancer until it has no decisions left.
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

    /// Advances the time to `until`, and polls the balancer at each of its timeouts on the way.
    fn advance(&mut self, until: u64) {
        while let Some(timeout) =
            self.balancer.as_ref().and_then(|balancer| balancer.poll_timeout(Time(self.now)))
        {
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
            client_timeout: millis(number(words, "budget", self.client_timeouts_ms[class])),
            work: option(words, "work").map(|ms| millis(ms.parse().expect("a work"))),
            write: words.contains(&"write"),
        };
        let id = RequestId(self.request_index(name) as u64);
        let now = Time(self.now);
        self.balancer().on_request(now, id, request);
    }

    /// `NAME OUTCOME OPTION ...`: the request's last attempt ends, or the attempt that the option `attempt`
    /// numbers.
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

    /// `CLASS OUTCOME OPTION ...`: sends requests for many keys, one after the other, and finishes each with
    /// the same outcome. A request at the cache that the option `hold` names is finished only when the next
    /// request is sent to that cache.
    fn load(&mut self, words: &[&str]) {
        let requests = number(words, "requests", 0.0) as u64;
        let interval = millis(number(words, "every", 10.0));
        let keys = number(words, "keys", 100.0) as u64;
        let mut held: Option<String> = None;
        // Requests without an attempt in the interval after their arrival. Each is finished after the next
        // interval, if it has an attempt by then.
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

    /// Finishes all attempts of recent requests with one outcome, including the attempts that the balancer
    /// then sends. The balancer ignores second results of attempts that have already ended.
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

    /// `OPTION ...`: replaces all caches and the origin `count` times. Between two lists it sends requests,
    /// whose attempts end with each of the outcomes in turn.
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

    /// `ENDPOINT METRIC=VALUE ...`: the endpoint sends this load report with each answer from now on, or no
    /// load report if no metric is given.
    fn set_load_report(&mut self, words: &[&str]) {
        let metric = |name| option(words, name).map(|value| value.parse::<f64>().expect("a number"));
        let report = LoadReport {
            requests_held: metric("held"),
            requests_queued: metric("waiting"),
            requests_per_s: metric("per_s"),
            service_time: metric("service").map(millis),
        };
        let endpoint = self.endpoint(words[0]);
        if report == LoadReport::default() {
            self.reports.remove(&endpoint);
        } else {
            self.reports.insert(endpoint, report);
        }
    }

    /// `OPTION ...`: replaces the settings, except for the request classes.
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
                _ => panic!("unknown endpoint health {health} in a control-plane event"),
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
            _ => panic!("unknown event {event}"),
        }
        self.poll();
    }

    /// Checks one expected decision, or a number of attempts or entries.
    fn expect(&mut self, words: &[&str]) {
        match words {
            ["..."] => self.decisions.clear(),
            ["entries", "<", limit] => {
                let entries = self.balancer().entry_count();
                let limit = limit.parse().expect("a count");
                assert!(entries < limit, "{entries} entries, expected less than {limit}");
            }
            ["count", endpoint, relation, limit] => self.expect_count(endpoint, relation, limit),
            _ => self.expect_decision(words),
        }
    }

    /// Checks the number of attempts of the last load at an endpoint.
    fn expect_count(&mut self, endpoint: &str, relation: &str, limit: &str) {
        let endpoint = self.endpoint(endpoint);
        let count = self.counts.get(&endpoint).copied().unwrap_or(0);
        let limit = limit.parse().expect("a count");
        let holds = match relation {
            "<" => count < limit,
            ">" => count > limit,
            _ => panic!("unknown relation {relation} in an expected count"),
        };
        assert!(holds, "{count} attempts, expected {relation} {limit}; all endpoints: {:?}", self.counts);
    }

    fn expect_decision(&mut self, expected: &[&str]) {
        let decision =
            self.decisions.pop_front().unwrap_or_else(|| panic!("no decision left, expected {expected:?}"));
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

    /// Binds an upper-case name to an endpoint other than the origin that no other upper-case name is bound
    /// to.
    fn bind(&mut self, name: &str, endpoint: &str, text: &str) {
        let id = self.endpoint(endpoint).0 as usize;
        let is_unbound = self.bindings.values().all(|bound| *bound != id);
        assert!(endpoint != "origin" && is_unbound, "{name} cannot stand for the endpoint of: {text}");
        self.bindings.insert(name.to_string(), id);
    }

    fn expect_no_decision(&self) {
        let texts: Vec<&str> = self.decisions.iter().map(|decision| decision.text.as_str()).collect();
        assert!(texts.is_empty(), "unexpected decisions: {texts:?}");
    }
}

/// The position of a name in `names`; a new name is added.
fn position_or_push(names: &mut Vec<String>, name: &str) -> usize {
    if let Some(position) = names.iter().position(|known| known == name) {
        return position;
    }
    names.push(name.to_string());
    names.len() - 1
}

/// Runs the scenario in the text of a scenario file.
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
                runner.client_timeouts_ms.push(number(rest, "timeout", DEFAULT_CLIENT_TIMEOUT_MS));
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
