//! A closed-loop simulation of clients, nodes, caches and an origin. The adapter decides for the nodes: the
//! attempts that it sends and cancels, and the requests that it rate-limits, determine the events that
//! follow.

use std::collections::BTreeMap;

use crate::endpoint::{ActiveFault, AttemptEnd, Endpoint, MILLISECOND, SECOND, ServiceDemand};
use crate::random::Random;
use crate::streams::{Incident, Site};
use crate::wire::*;

/// Interval between batches. Intervals without an event have no batch.
const BATCH_INTERVAL: u64 = 10 * MILLISECOND;
/// The simulated time at the start of a stream, in microseconds.
pub const START: u64 = 60 * SECOND;
/// Delay until an endpoint list reaches a node: a fixed part, and a part multiplied by the node's number.
const LIST_DELAY: u64 = 30 * MILLISECOND;
const LIST_DELAY_PER_NODE: u64 = 5 * MILLISECOND;
/// Time between the timeout of a client's request and the client's disconnect.
const DISCONNECT_DELAY: u64 = 20 * MILLISECOND;
/// Time between the cancellation of an attempt and its end.
const CANCEL_DELAY: u64 = 5 * MILLISECOND;
/// Longest time that a cache waits for the origin.
const FETCH_LIMIT: u64 = 400 * MILLISECOND;
/// Share of the rate-limited clients that retry, and the shortest delay before a retry.
const RETRY_SHARE: f64 = 0.5;
const MIN_RETRY_DELAY: u64 = 100 * MILLISECOND;
/// Number of random draws per batch, each of which can add one request.
const ARRIVAL_DRAWS: u32 = 16;
/// Work of a request at the origin, as a multiple of the work at a cache.
const ORIGIN_WORK_FACTOR: u64 = 4;
/// The endpoint number of the origin. Caches are numbered from 1.
const ORIGIN: u16 = 0;

struct Attempt {
    endpoint: u16,
    sent: u64,
    ended: bool,
    /// The outcome with which the attempt will end.
    outcome: u8,
    /// The time at which the attempt will end.
    due: u64,
}

struct Request {
    node: u16,
    /// The incarnation of the node that received the request.
    incarnation: u32,
    client_request: ClientRequest,
    work: u64,
    deadline: u64,
    finished: bool,
    is_retry: bool,
    attempts: Vec<Attempt>,
    /// The cache that reported a cache miss.
    cache_missed_at: Option<u16>,
}

#[derive(Default)]
struct Node {
    running: bool,
    incarnation: u32,
    watching: bool,
}

/// An event that is scheduled for a known time.
enum Pending {
    AttemptEnds { request: u64, attempt: u8 },
    Timer { node: u16, incarnation: u32, token: u64 },
    ClientDisconnects { request: u64 },
    ClientArrives { node: u16, client_request: ClientRequest, is_retry: bool },
    List { node: u16, incarnation: u32, scope: u8, entries: Vec<ListEntry> },
    WatchAnswer { node: u16, incarnation: u32 },
    Incident(Incident),
}

pub struct Simulator {
    site: Site,
    random: Random,
    clock: u64,
    batch: Batch,
    /// The scheduled events by time, and by the order in which they were scheduled.
    pending: BTreeMap<(u64, u64), Pending>,
    /// The number of events scheduled so far.
    scheduled: u64,
    nodes: Vec<Node>,
    /// The origin, then the caches.
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    /// The factor on the request rate, and the time until which it applies.
    load_surge: (f64, u64),
    /// The time until which watches on the endpoint list are refused.
    watches_refused_until: u64,
    /// The additional delay of responses to watches, and the time until which it applies.
    watch_delay: (u64, u64),
    /// The number of caches, from the first on, that the endpoint list omits.
    omitted_caches: usize,
}

impl Simulator {
    pub fn new(site: Site) -> Simulator {
        let mut simulator = Simulator {
            random: Random::new(site.seed),
            clock: START,
            batch: Batch::default(),
            pending: BTreeMap::new(),
            scheduled: 0,
            nodes: (0..site.settings.nodes).map(|_| Node::default()).collect(),
            endpoints: (0..=site.caches).map(|number| endpoint(&site, number)).collect(),
            requests: Vec::new(),
            load_surge: (1.0, 0),
            watches_refused_until: 0,
            watch_delay: (0, 0),
            omitted_caches: 0,
            site,
        };
        let incidents = std::mem::take(&mut simulator.site.incidents);
        for (second, incident) in incidents {
            simulator.schedule(START + (second * SECOND as f64) as u64, Pending::Incident(incident));
        }
        (0..simulator.site.settings.nodes).for_each(|node| simulator.start_node(node));
        simulator
    }

    /// The next batch and its time, or `None` at the end of the stream. The reply to the previous batch has
    /// to be processed before.
    pub fn next_batch(&mut self) -> Option<(u64, Vec<u8>)> {
        while self.batch.is_empty() {
            if self.clock >= START + self.site.seconds * SECOND {
                return None;
            }
            self.clock += BATCH_INTERVAL;
            while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= self.clock) {
                let pending = entry.remove();
                self.process(pending);
            }
            self.generate_requests();
        }
        Some((self.clock, std::mem::take(&mut self.batch).encode(self.clock)))
    }

    /// Carries out the actions that the adapter decided.
    pub fn on_reply(&mut self, actions: &[Action]) {
        for action in actions {
            match action.kind {
                ActionKind::Send { request, endpoint, timeout } => {
                    self.send(request, endpoint, timeout);
                }
                ActionKind::Timer { due, token } => {
                    let incarnation = self.nodes[usize::from(action.node)].incarnation;
                    let due = due.max(self.clock + 1);
                    self.schedule(due, Pending::Timer { node: action.node, incarnation, token });
                }
                ActionKind::RateLimit { request, retry_after } => self.rate_limit(request, retry_after),
                ActionKind::Fail { request } => self.requests[request as usize].finished = true,
                ActionKind::Cancel { request, attempt } => self.cancel(request, attempt),
                ActionKind::Watch => self.watch(action.node),
                ActionKind::Other { code } => panic!("unknown action code {code}"),
            }
        }
    }

    fn schedule(&mut self, at: u64, pending: Pending) {
        self.scheduled += 1;
        self.pending.insert((at, self.scheduled), pending);
    }

    fn process(&mut self, pending: Pending) {
        match pending {
            Pending::AttemptEnds { request, attempt } => self.attempt_ends(request, attempt),
            Pending::Timer { node, incarnation, token } if self.is_running(node, incarnation) => {
                self.batch.timer(node, token);
            }
            Pending::ClientDisconnects { request } => self.disconnect_client(request),
            Pending::ClientArrives { node, client_request, is_retry } => {
                self.accept_request(node, client_request, is_retry);
            }
            Pending::List { node, incarnation, scope, entries } if self.is_running(node, incarnation) => {
                self.batch.list(node, scope, &entries);
            }
            Pending::WatchAnswer { node, incarnation } if self.is_running(node, incarnation) => {
                self.answer_watch(node);
            }
            Pending::Incident(incident) => self.incident(incident),
            _ => {}
        }
    }

    fn is_running(&self, node: u16, incarnation: u32) -> bool {
        let known = &self.nodes[usize::from(node)];
        known.running && known.incarnation == incarnation
    }
}

/// The clients and their requests.
impl Simulator {
    fn generate_requests(&mut self) {
        let load_surge = if self.clock < self.load_surge.1 { self.load_surge.0 } else { 1.0 };
        let expected = self.site.requests_per_s as f64 * load_surge * BATCH_INTERVAL as f64 / SECOND as f64;
        for _ in 0..ARRIVAL_DRAWS {
            if self.random.chance(expected / f64::from(ARRIVAL_DRAWS)) {
                let (node, client_request) = self.draw_arrival();
                self.accept_request(node, client_request, false);
            }
        }
    }

    /// Draws the next request and its node. Keys with lower numbers are requested more often.
    fn draw_arrival(&mut self) -> (u16, ClientRequest) {
        let node = self.random.between(0, u64::from(self.site.settings.nodes)) as u16;
        let position = self.random.unit();
        let key = (self.site.keys as f64 * position * position * position) as u64 + 1;
        let write = self.random.chance(self.site.write_share);
        let writes = self.site.settings.request_classes.len() as u64 - 1;
        let request_class = if write { self.random.between(0, writes) as u16 + 1 } else { 0 };
        let work = self.random.between(self.site.work_us.0, self.site.work_us.1) as u32;
        let budget = self.site.settings.request_classes[usize::from(request_class)].client_timeout_us;
        (node, ClientRequest { request_class, key, budget, work: Some(work), write })
    }

    fn accept_request(&mut self, node: u16, client_request: ClientRequest, is_retry: bool) {
        let state = &self.nodes[usize::from(node)];
        if !state.running {
            return;
        }
        let id = self.requests.len() as u64;
        let deadline = self.clock + u64::from(client_request.budget);
        self.requests.push(Request {
            node,
            incarnation: state.incarnation,
            client_request,
            work: u64::from(client_request.work.unwrap_or(0)),
            deadline,
            finished: false,
            is_retry,
            attempts: Vec::new(),
            cache_missed_at: None,
        });
        let stated_work = client_request.work.filter(|_| self.site.states_work);
        self.batch.request(node, id, &ClientRequest { work: stated_work, ..client_request });
        let disconnects_at = if self.random.chance(self.site.disconnect_share) {
            self.clock + self.random.between(1, u64::from(client_request.budget))
        } else {
            deadline + DISCONNECT_DELAY
        };
        self.schedule(disconnects_at, Pending::ClientDisconnects { request: id });
    }

    fn disconnect_client(&mut self, id: u64) {
        let request = &self.requests[id as usize];
        let (node, finished) = (request.node, request.finished);
        if !finished && self.is_running(node, request.incarnation) {
            self.batch.client_disconnect(node, id);
        }
        self.requests[id as usize].finished = true;
    }

    fn rate_limit(&mut self, id: u64, retry_after: u64) {
        let request = &mut self.requests[id as usize];
        request.finished = true;
        let (node, client_request, is_retry) = (request.node, request.client_request, request.is_retry);
        if !is_retry && self.random.chance(RETRY_SHARE) {
            let client_request = ClientRequest { budget: client_request.budget / 4 * 3, ..client_request };
            let at = self.clock + retry_after.max(MIN_RETRY_DELAY);
            self.schedule(at, Pending::ClientArrives { node, client_request, is_retry: true });
        }
    }
}

/// Attempts at caches and at the origin.
impl Simulator {
    fn send(&mut self, id: u64, endpoint: u16, timeout: u64) {
        let request = &self.requests[id as usize];
        let limit = request.deadline.min(self.clock + timeout);
        let too_many = request.attempts.len() >= usize::from(self.site.settings.max_attempts);
        let end = if request.finished || too_many || limit <= self.clock {
            Some((NOT_SENT, self.clock + 1))
        } else if endpoint == ORIGIN {
            self.attempt_at_origin(id)
        } else {
            self.attempt_at_cache(id, endpoint)
        };
        let (outcome, due) = end.filter(|end| end.1 < limit).unwrap_or((TIMED_OUT, limit));
        let attempt = Attempt { endpoint, sent: self.clock, ended: false, outcome, due };
        let request = &mut self.requests[id as usize];
        let number = request.attempts.len() as u8;
        request.attempts.push(attempt);
        self.schedule(due, Pending::AttemptEnds { request: id, attempt: number });
    }

    fn attempt_at_origin(&mut self, id: u64) -> AttemptEnd {
        let demand = ServiceDemand {
            work: self.requests[id as usize].work * ORIGIN_WORK_FACTOR,
            cache_miss: false,
            fetch: 0,
        };
        self.endpoints[usize::from(ORIGIN)].start_attempt(self.clock, &demand, &mut self.random)
    }

    fn attempt_at_cache(&mut self, id: u64, number: u16) -> AttemptEnd {
        let request = &self.requests[id as usize];
        let (work, key, write) = (request.work, request.client_request.key, request.client_request.write);
        let is_miss = write || !self.endpoints[usize::from(number)].has(key);
        if !self.site.settings.through || !is_miss {
            let demand = ServiceDemand { work, cache_miss: is_miss, fetch: 0 };
            return self.endpoints[usize::from(number)].start_attempt(self.clock, &demand, &mut self.random);
        }
        let fetched = self.attempt_at_origin(id);
        let fetch = fetched.map_or(FETCH_LIMIT, |(_, end)| (end - self.clock).min(FETCH_LIMIT));
        let cache = &mut self.endpoints[usize::from(number)];
        let end = cache.start_attempt(
            self.clock,
            &ServiceDemand { work, cache_miss: false, fetch },
            &mut self.random,
        )?;
        match fetched {
            Some((FULFILLED, _)) => {
                cache.store(key);
                Some(end)
            }
            _ if end.0 == FULFILLED => Some((ERRORED, end.1)),
            _ => Some(end),
        }
    }

    fn cancel(&mut self, id: u64, number: u8) {
        let due = self.clock + CANCEL_DELAY;
        let attempt = &mut self.requests[id as usize].attempts[usize::from(number)];
        if !attempt.ended && attempt.due > due {
            (attempt.outcome, attempt.due) = (CANCELLED, due);
            self.schedule(due, Pending::AttemptEnds { request: id, attempt: number });
        }
    }

    fn attempt_ends(&mut self, id: u64, number: u8) {
        let request = &mut self.requests[id as usize];
        let (node, incarnation, key) = (request.node, request.incarnation, request.client_request.key);
        let attempt = &mut request.attempts[usize::from(number)];
        // A cancelled attempt has two scheduled ends, of which the first counts.
        if attempt.ended {
            return;
        }
        attempt.ended = true;
        let (endpoint, outcome, latency) = (attempt.endpoint, attempt.outcome, attempt.due - attempt.sent);
        request.finished |= outcome == FULFILLED;
        let finished = request.finished;
        match outcome {
            CACHE_MISS => request.cache_missed_at = Some(endpoint),
            FULFILLED if endpoint == ORIGIN && !request.client_request.write => {
                let cache = request.cache_missed_at;
                cache.into_iter().for_each(|c| self.endpoints[usize::from(c)].store(key));
            }
            _ => {}
        }
        if self.is_running(node, incarnation) {
            let answered = !matches!(outcome, TIMED_OUT | CANCELLED | NOT_SENT | UNREACHABLE);
            let columns = if answered { self.site.settings.report_columns } else { &[] };
            let report = self.endpoints[usize::from(endpoint)].report(self.clock, columns);
            let latency = latency as u32;
            let result =
                AttemptResult { attempt: number, endpoint, outcome, latency, finished, report: &report };
            self.batch.attempt_finished(node, id, &result);
        }
    }
}

/// Nodes, the endpoint list and incidents.
impl Simulator {
    fn start_node(&mut self, number: u16) {
        let node = &mut self.nodes[usize::from(number)];
        node.incarnation += 1;
        node.running = true;
        node.watching = !self.site.settings.list_on_request;
        let incarnation = node.incarnation;
        let text = self.site.settings.text(number, self.site.zones);
        self.batch.node_start(number, self.random.next(), &text);
        // The list that the previous incarnation received, from before the last cache was added.
        let mut restored = self.complete_list();
        restored.pop();
        self.batch.list(number, RESTORED_LIST, &restored);
        if !self.site.settings.list_on_request {
            self.send_list(number, incarnation, COMPLETE_LIST, self.complete_list());
        }
    }

    fn complete_list(&self) -> Vec<ListEntry> {
        let entries = self.endpoints.iter().map(|endpoint| endpoint.entry);
        let listed = |entry: &ListEntry| {
            let is_origin = entry.number == ORIGIN;
            let is_omitted = !is_origin && usize::from(entry.number) <= self.omitted_caches;
            entry.state != REMOVED && !is_omitted && !(is_origin && self.site.settings.through)
        };
        entries.filter(listed).collect()
    }

    fn send_list(&mut self, node: u16, incarnation: u32, scope: u8, entries: Vec<ListEntry>) {
        let at = self.clock + LIST_DELAY + u64::from(node) * LIST_DELAY_PER_NODE;
        self.schedule(at, Pending::List { node, incarnation, scope, entries });
    }

    fn send_list_to_watchers(&mut self, scope: u8, entries: &[ListEntry]) {
        for node in 0..self.site.settings.nodes {
            let state = &self.nodes[usize::from(node)];
            if state.running && state.watching {
                self.send_list(node, state.incarnation, scope, entries.to_vec());
            }
        }
    }

    fn watch(&mut self, node: u16) {
        let incarnation = self.nodes[usize::from(node)].incarnation;
        let extra_delay = if self.clock < self.watch_delay.1 { self.watch_delay.0 } else { 0 };
        self.schedule(self.clock + LIST_DELAY + extra_delay, Pending::WatchAnswer { node, incarnation });
    }

    fn answer_watch(&mut self, node: u16) {
        let is_refused = self.clock < self.watches_refused_until;
        self.nodes[usize::from(node)].watching = !is_refused;
        if is_refused {
            self.batch.watch_failed(node);
        } else {
            self.batch.list(node, COMPLETE_LIST, &self.complete_list());
        }
    }

    /// Changes the state of an entry, and sends the entry to the nodes that watch the list.
    fn set_entry_state(&mut self, number: u16, state: u8) {
        self.endpoints[usize::from(number)].entry.state = state;
        let entry = self.endpoints[usize::from(number)].entry;
        self.send_list_to_watchers(CHANGES, &[entry]);
    }

    fn set_fault(&mut self, number: u16, fault: ActiveFault) {
        self.endpoints[usize::from(number)].fault = Some(fault);
    }

    fn incident(&mut self, incident: Incident) {
        let until = |seconds: f64| self.clock + (seconds * SECOND as f64) as u64;
        match incident {
            Incident::Drain(number) => self.set_entry_state(number, DRAINING),
            Incident::Remove(number) => self.set_entry_state(number, REMOVED),
            Incident::Restart(number) => {
                self.endpoints[usize::from(number)].restart(self.clock);
                self.set_entry_state(number, READY);
            }
            Incident::EndpointFault(number, fault, share, seconds) => {
                let fault = ActiveFault { fault, share, until: until(seconds) };
                self.set_fault(number, fault);
            }
            Incident::ZoneFault(zone, fault, seconds) => {
                let fault = ActiveFault { fault, share: 1.0, until: until(seconds) };
                let caches = self.endpoints.iter().skip(1).filter(|e| e.entry.zone == zone);
                let numbers: Vec<u16> = caches.map(|e| e.entry.number).collect();
                numbers.into_iter().for_each(|number| self.set_fault(number, fault));
            }
            Incident::LoadSurge(factor, seconds) => self.load_surge = (factor, until(seconds)),
            Incident::WatchesRefused(seconds) => self.watches_refused_until = until(seconds),
            Incident::WatchesDelayed(delay, seconds) => {
                self.watch_delay = ((delay * SECOND as f64) as u64, until(seconds));
            }
            Incident::WatchesLost => self.close_watches(),
            Incident::ListOmits(caches) => {
                self.omitted_caches = caches;
                self.send_list_to_watchers(COMPLETE_LIST, &self.complete_list());
            }
            Incident::StopNode(node) => {
                self.nodes[usize::from(node)].running = false;
                self.batch.node_stop(node);
            }
            Incident::StartNode(node) => self.start_node(node),
            Incident::SettingsChange(settings) => self.site.settings = *settings,
        }
    }

    fn close_watches(&mut self) {
        for node in 0..self.site.settings.nodes {
            let state = &mut self.nodes[usize::from(node)];
            if state.running {
                state.watching = false;
                self.batch.watch_failed(node);
            }
        }
    }
}

/// Creates an endpoint. The origin is in zone 0; caches are spread over the zones, and each cell has two of
/// them.
fn endpoint(site: &Site, number: u16) -> Endpoint {
    let is_origin = number == ORIGIN;
    let sizes: &[f32] =
        if site.settings.weight_kind == "silent" || is_origin { &[1.0] } else { &[1.0, 1.5, 0.7] };
    let entry = ListEntry {
        number,
        kind: u16::from(is_origin),
        size: sizes[usize::from(number) % sizes.len()],
        zone: if is_origin { 0 } else { number % site.zones },
        cell: number / 2,
        state: READY,
        started: if site.starts_cold && !is_origin { START - SECOND } else { 0 },
    };
    let workers = if is_origin { site.origin_workers } else { site.cache_workers };
    Endpoint::new(entry, workers, site.settings.warm_after_us)
}
