//! A small closed loop of clients, nodes, caches and an origin. The adapter decides for the nodes; what it
//! sends, refuses and cancels settles what happens next.

use std::collections::BTreeMap;

use crate::endpoint::{Endpoint, Fate, MILLISECOND, SECOND, Spell, Task};
use crate::random::Random;
use crate::streams::{Incident, Site};
use crate::wire::*;

/// One batch in so long, unless nothing happened.
const BATCH_EVERY: u64 = 10 * MILLISECOND;
/// The clock at a stream's start.
pub const START: u64 = 60 * SECOND;
/// Until the list has reached a node, and so much more for each node's number.
const LIST_DELAY: u64 = 30 * MILLISECOND;
const LIST_DELAY_PER_NODE: u64 = 5 * MILLISECOND;
/// An unanswered client leaves so long after its time-out.
const ANSWER_SLACK: u64 = 20 * MILLISECOND;
/// How long a cancelled attempt takes to end.
const CANCEL_DELAY: u64 = 5 * MILLISECOND;
/// What a cache that fetches waits for where the origin never answers.
const FETCH_LIMIT: u64 = 400 * MILLISECOND;
/// Of the refused clients so many come back, and wait so long at least.
const RETRIES: f64 = 0.5;
const RETRY_AFTER: u64 = 100 * MILLISECOND;
/// Arrivals of a batch are drawn one by one, so many times.
const ARRIVAL_DRAWS: u32 = 16;
/// The origin takes so many times a cache's work.
const ORIGIN_WORK: u64 = 4;
/// The number of the origin's endpoint; caches have those from 1 on.
const ORIGIN: u16 = 0;

struct Attempt {
    endpoint: u16,
    sent: u64,
    ended: bool,
    /// How it will end, and when.
    outcome: u8,
    due: u64,
}

struct Request {
    node: u16,
    /// Which life of the node it belongs to.
    life: u32,
    arrival: Arrival,
    work: u64,
    deadline: u64,
    finished: bool,
    is_retry: bool,
    attempts: Vec<Attempt>,
    /// The cache that lacked the key.
    missed_at: Option<u16>,
}

#[derive(Default)]
struct Node {
    running: bool,
    life: u32,
    watching: bool,
}

/// What will happen at a time that is already known.
enum Pending {
    AttemptEnds { request: u64, attempt: u8 },
    Timer { node: u16, life: u32, token: u64 },
    ClientLeaves { request: u64 },
    ClientComes { node: u16, arrival: Arrival, is_retry: bool },
    List { node: u16, life: u32, scope: u8, entries: Vec<Entry> },
    WatchAnswer { node: u16, life: u32 },
    Incident(Incident),
}

pub struct Simulator {
    site: Site,
    random: Random,
    clock: u64,
    batch: Batch,
    pending: BTreeMap<(u64, u64), Pending>,
    scheduled: u64,
    nodes: Vec<Node>,
    /// The origin, then the caches.
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    crowd: (f64, u64),
    lists_fail_until: u64,
    /// How much later answers to watches come, and until when.
    lists_slow: (u64, u64),
    /// How many of the first caches the list leaves out.
    forgotten: usize,
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
            crowd: (1.0, 0),
            lists_fail_until: 0,
            lists_slow: (0, 0),
            forgotten: 0,
            site,
        };
        let incidents = std::mem::take(&mut simulator.site.incidents);
        for (second, incident) in incidents {
            simulator.schedule(START + (second * SECOND as f64) as u64, Pending::Incident(incident));
        }
        (0..simulator.site.settings.nodes).for_each(|node| simulator.start_node(node));
        simulator
    }

    /// The next batch and its clock; `None` when the stream has ended. Its reply has to be taken first.
    pub fn next_batch(&mut self) -> Option<(u64, Vec<u8>)> {
        while self.batch.is_empty() {
            if self.clock >= START + self.site.seconds * SECOND {
                return None;
            }
            self.clock += BATCH_EVERY;
            while let Some(entry) = self.pending.first_entry().filter(|entry| entry.key().0 <= self.clock) {
                let pending = entry.remove();
                self.happen(pending);
            }
            self.clients_come();
        }
        Some((self.clock, std::mem::take(&mut self.batch).encode(self.clock)))
    }

    /// Carries out what the adapter decided.
    pub fn take_reply(&mut self, actions: &[Action]) {
        for action in actions {
            match action.kind {
                ActionKind::Send { request, endpoint, give_up_after } => {
                    self.send(request, endpoint, give_up_after);
                }
                ActionKind::Timer { due, token } => {
                    let life = self.nodes[usize::from(action.node)].life;
                    let due = due.max(self.clock + 1);
                    self.schedule(due, Pending::Timer { node: action.node, life, token });
                }
                ActionKind::Refuse { request, come_back } => self.refuse(request, come_back),
                ActionKind::Fail { request } => self.requests[request as usize].finished = true,
                ActionKind::Cancel { request, attempt } => self.cancel(request, attempt),
                ActionKind::Watch => self.watch(action.node),
                ActionKind::Other { code } => panic!("the simulator knows no action {code}"),
            }
        }
    }

    fn schedule(&mut self, at: u64, pending: Pending) {
        self.scheduled += 1;
        self.pending.insert((at, self.scheduled), pending);
    }

    fn happen(&mut self, pending: Pending) {
        match pending {
            Pending::AttemptEnds { request, attempt } => self.attempt_ends(request, attempt),
            Pending::Timer { node, life, token } if self.lives(node, life) => self.batch.timer(node, token),
            Pending::ClientLeaves { request } => self.client_leaves(request),
            Pending::ClientComes { node, arrival, is_retry } => self.client_comes(node, arrival, is_retry),
            Pending::List { node, life, scope, entries } if self.lives(node, life) => {
                self.batch.list(node, scope, &entries);
            }
            Pending::WatchAnswer { node, life } if self.lives(node, life) => self.answer_watch(node),
            Pending::Incident(incident) => self.incident(incident),
            _ => {}
        }
    }

    fn lives(&self, node: u16, life: u32) -> bool {
        let known = &self.nodes[usize::from(node)];
        known.running && known.life == life
    }
}

/// Clients.
impl Simulator {
    fn clients_come(&mut self) {
        let crowd = if self.clock < self.crowd.1 { self.crowd.0 } else { 1.0 };
        let expected = self.site.requests_per_s as f64 * crowd * BATCH_EVERY as f64 / SECOND as f64;
        for _ in 0..ARRIVAL_DRAWS {
            if self.random.happens(expected / f64::from(ARRIVAL_DRAWS)) {
                let (node, arrival) = self.draw_arrival();
                self.client_comes(node, arrival, false);
            }
        }
    }

    /// The keys that are asked for most have low numbers.
    fn draw_arrival(&mut self) -> (u16, Arrival) {
        let node = self.random.between(0, u64::from(self.site.settings.nodes)) as u16;
        let place = self.random.unit();
        let key = (self.site.keys as f64 * place * place * place) as u64 + 1;
        let write = self.random.happens(self.site.write_share);
        let writes = self.site.settings.products.len() as u64 - 1;
        let product = if write { self.random.between(0, writes) as u16 + 1 } else { 0 };
        let work = self.random.between(self.site.work_us.0, self.site.work_us.1) as u32;
        let budget = self.site.settings.products[usize::from(product)].client_timeout_us;
        (node, Arrival { product, key, budget, work: Some(work), write })
    }

    fn client_comes(&mut self, node: u16, arrival: Arrival, is_retry: bool) {
        let state = &self.nodes[usize::from(node)];
        if !state.running {
            return;
        }
        let id = self.requests.len() as u64;
        let deadline = self.clock + u64::from(arrival.budget);
        self.requests.push(Request {
            node,
            life: state.life,
            arrival,
            work: u64::from(arrival.work.unwrap_or(0)),
            deadline,
            finished: false,
            is_retry,
            attempts: Vec::new(),
            missed_at: None,
        });
        let told = arrival.work.filter(|_| self.site.tells_work);
        self.batch.request(node, id, &Arrival { work: told, ..arrival });
        let leaves = if self.random.happens(self.site.leaving_share) {
            self.clock + self.random.between(1, u64::from(arrival.budget))
        } else {
            deadline + ANSWER_SLACK
        };
        self.schedule(leaves, Pending::ClientLeaves { request: id });
    }

    fn client_leaves(&mut self, id: u64) {
        let request = &self.requests[id as usize];
        let (node, finished) = (request.node, request.finished);
        if !finished && self.lives(node, request.life) {
            self.batch.client_left(node, id);
        }
        self.requests[id as usize].finished = true;
    }

    fn refuse(&mut self, id: u64, come_back: u64) {
        let request = &mut self.requests[id as usize];
        request.finished = true;
        let (node, arrival, is_retry) = (request.node, request.arrival, request.is_retry);
        if !is_retry && self.random.happens(RETRIES) {
            let arrival = Arrival { budget: arrival.budget / 4 * 3, ..arrival };
            let at = self.clock + come_back.max(RETRY_AFTER);
            self.schedule(at, Pending::ClientComes { node, arrival, is_retry: true });
        }
    }
}

/// Attempts.
impl Simulator {
    fn send(&mut self, id: u64, endpoint: u16, give_up_after: u64) {
        let request = &self.requests[id as usize];
        let limit = request.deadline.min(self.clock + give_up_after);
        let too_many = request.attempts.len() >= usize::from(self.site.settings.most_attempts);
        let fate = if request.finished || too_many || limit <= self.clock {
            Some((NOT_SENT, self.clock + 1))
        } else if endpoint == ORIGIN {
            self.ask_origin(id)
        } else {
            self.ask_cache(id, endpoint)
        };
        let (outcome, due) = fate.filter(|fate| fate.1 < limit).unwrap_or((TIMED_OUT, limit));
        let attempt = Attempt { endpoint, sent: self.clock, ended: false, outcome, due };
        let request = &mut self.requests[id as usize];
        let number = request.attempts.len() as u8;
        request.attempts.push(attempt);
        self.schedule(due, Pending::AttemptEnds { request: id, attempt: number });
    }

    fn ask_origin(&mut self, id: u64) -> Fate {
        let task = Task { work: self.requests[id as usize].work * ORIGIN_WORK, missing: false, fetch: 0 };
        self.endpoints[usize::from(ORIGIN)].take(self.clock, &task, &mut self.random)
    }

    fn ask_cache(&mut self, id: u64, number: u16) -> Fate {
        let request = &self.requests[id as usize];
        let (work, key, write) = (request.work, request.arrival.key, request.arrival.write);
        let lacks = write || !self.endpoints[usize::from(number)].has(key);
        if !self.site.settings.through || !lacks {
            let task = Task { work, missing: lacks, fetch: 0 };
            return self.endpoints[usize::from(number)].take(self.clock, &task, &mut self.random);
        }
        let fetched = self.ask_origin(id);
        let fetch = fetched.map_or(FETCH_LIMIT, |(_, end)| (end - self.clock).min(FETCH_LIMIT));
        let cache = &mut self.endpoints[usize::from(number)];
        let fate = cache.take(self.clock, &Task { work, missing: false, fetch }, &mut self.random)?;
        match fetched {
            Some((SERVED, _)) => {
                cache.store(key);
                Some(fate)
            }
            _ if fate.0 == SERVED => Some((ERRORED, fate.1)),
            _ => Some(fate),
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
        let (node, life, key) = (request.node, request.life, request.arrival.key);
        let attempt = &mut request.attempts[usize::from(number)];
        // One that was cancelled has ended before.
        if attempt.ended {
            return;
        }
        attempt.ended = true;
        let (endpoint, outcome, latency) = (attempt.endpoint, attempt.outcome, attempt.due - attempt.sent);
        request.finished |= outcome == SERVED;
        let finished = request.finished;
        match outcome {
            MISSED => request.missed_at = Some(endpoint),
            SERVED if endpoint == ORIGIN && !request.arrival.write => {
                let cache = request.missed_at;
                cache.into_iter().for_each(|c| self.endpoints[usize::from(c)].store(key));
            }
            _ => {}
        }
        if self.lives(node, life) {
            let answered = !matches!(outcome, TIMED_OUT | CANCELLED | NOT_SENT | UNREACHABLE);
            let columns = if answered { self.site.settings.report_columns } else { &[] };
            let report = self.endpoints[usize::from(endpoint)].report(self.clock, columns);
            let latency = latency as u32;
            let ending = Ending { attempt: number, endpoint, outcome, latency, finished, report: &report };
            self.batch.attempt_ended(node, id, &ending);
        }
    }
}

/// Nodes, the list and incidents.
impl Simulator {
    fn start_node(&mut self, number: u16) {
        let node = &mut self.nodes[usize::from(number)];
        node.life += 1;
        node.running = true;
        node.watching = !self.site.settings.list_on_request;
        let life = node.life;
        let text = self.site.settings.text(number, self.site.zones);
        self.batch.node_starts(number, self.random.next(), &text);
        // What an earlier life saw: the last cache is not in it yet.
        let mut remembered = self.full_list();
        remembered.pop();
        self.batch.list(number, REMEMBERED_LIST, &remembered);
        if !self.site.settings.list_on_request {
            self.send_list(number, life, FULL_LIST, self.full_list());
        }
    }

    fn full_list(&self) -> Vec<Entry> {
        let entries = self.endpoints.iter().map(|endpoint| endpoint.entry);
        let listed = |entry: &Entry| {
            let is_origin = entry.number == ORIGIN;
            let forgotten = !is_origin && usize::from(entry.number) <= self.forgotten;
            entry.state != GONE && !forgotten && !(is_origin && self.site.settings.through)
        };
        entries.filter(listed).collect()
    }

    fn send_list(&mut self, node: u16, life: u32, scope: u8, entries: Vec<Entry>) {
        let at = self.clock + LIST_DELAY + u64::from(node) * LIST_DELAY_PER_NODE;
        self.schedule(at, Pending::List { node, life, scope, entries });
    }

    fn send_list_to_watching(&mut self, scope: u8, entries: &[Entry]) {
        for node in 0..self.site.settings.nodes {
            let state = &self.nodes[usize::from(node)];
            if state.running && state.watching {
                self.send_list(node, state.life, scope, entries.to_vec());
            }
        }
    }

    fn watch(&mut self, node: u16) {
        let life = self.nodes[usize::from(node)].life;
        let later = if self.clock < self.lists_slow.1 { self.lists_slow.0 } else { 0 };
        self.schedule(self.clock + LIST_DELAY + later, Pending::WatchAnswer { node, life });
    }

    fn answer_watch(&mut self, node: u16) {
        let fails = self.clock < self.lists_fail_until;
        self.nodes[usize::from(node)].watching = !fails;
        if fails {
            self.batch.list_fails(node);
        } else {
            self.batch.list(node, FULL_LIST, &self.full_list());
        }
    }

    /// An entry changed, and the list tells.
    fn entry_changes(&mut self, number: u16, state: u8) {
        self.endpoints[usize::from(number)].entry.state = state;
        let entry = self.endpoints[usize::from(number)].entry;
        self.send_list_to_watching(CHANGES, &[entry]);
    }

    fn spell(&mut self, number: u16, spell: Spell) {
        self.endpoints[usize::from(number)].spell = Some(spell);
    }

    fn incident(&mut self, incident: Incident) {
        let until = |seconds: f64| self.clock + (seconds * SECOND as f64) as u64;
        match incident {
            Incident::Drain(number) => self.entry_changes(number, DRAINING),
            Incident::Remove(number) => self.entry_changes(number, GONE),
            Incident::Restart(number) => {
                self.endpoints[usize::from(number)].restart(self.clock);
                self.entry_changes(number, READY);
            }
            Incident::Trouble(number, trouble, share, seconds) => {
                let spell = Spell { trouble, share, until: until(seconds) };
                self.spell(number, spell);
            }
            Incident::ZoneTrouble(zone, trouble, seconds) => {
                let spell = Spell { trouble, share: 1.0, until: until(seconds) };
                let caches = self.endpoints.iter().skip(1).filter(|e| e.entry.zone == zone);
                let numbers: Vec<u16> = caches.map(|e| e.entry.number).collect();
                numbers.into_iter().for_each(|number| self.spell(number, spell));
            }
            Incident::Crowd(times, seconds) => self.crowd = (times, until(seconds)),
            Incident::ListsFail(seconds) => self.lists_fail_until = until(seconds),
            Incident::ListsSlow(later, seconds) => {
                self.lists_slow = ((later * SECOND as f64) as u64, until(seconds));
            }
            Incident::WatchesLost => self.lose_watches(),
            Incident::ListForgets(caches) => {
                self.forgotten = caches;
                self.send_list_to_watching(FULL_LIST, &self.full_list());
            }
            Incident::StopNode(node) => {
                self.nodes[usize::from(node)].running = false;
                self.batch.node_stops(node);
            }
            Incident::StartNode(node) => self.start_node(node),
            Incident::SettingsChange(settings) => self.site.settings = *settings,
        }
    }

    fn lose_watches(&mut self) {
        for node in 0..self.site.settings.nodes {
            let state = &mut self.nodes[usize::from(node)];
            if state.running {
                state.watching = false;
                self.batch.list_fails(node);
            }
        }
    }
}

/// The origin stands in zone 0 by itself; caches are spread over zones, and two by two over cells.
fn endpoint(site: &Site, number: u16) -> Endpoint {
    let is_origin = number == ORIGIN;
    let sizes: &[f32] = if site.settings.sizes == "silent" || is_origin { &[1.0] } else { &[1.0, 1.5, 0.7] };
    let entry = Entry {
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
