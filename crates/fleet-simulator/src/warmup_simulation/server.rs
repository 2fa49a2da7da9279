//! Simulated cache servers: each has one service queue, a capacity that grows after its start, and a check of
//! the work that arrives in each window.

use std::collections::VecDeque;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::time::{Span, Time};

use super::{AttemptId, EventKind, NETWORK_DELAY, SIMULATION_START, Simulation};

/// An arrival at a server that is warming up.
struct Arrival {
    at: Time,
    /// Work in multiples of the mean work of a request.
    work: f64,
    /// Whether the sending node had been notified of the server's last start when it sent the attempt.
    notified: bool,
}

/// A cache server.
pub(super) struct Server {
    /// The time of the last start, or `None` if the server has run since the beginning.
    pub(super) started: Option<Time>,
    pub(super) ready: bool,
    incarnation: u32,
    /// When the server finishes all admitted work.
    free_at: Time,
    in_service: usize,
    /// Arrivals within the window that ends now, oldest first.
    window: VecDeque<Arrival>,
    overloaded: bool,
}

impl Server {
    pub(super) fn new(ready: bool) -> Server {
        Server {
            started: None,
            ready,
            incarnation: 0,
            free_at: SIMULATION_START,
            in_service: 0,
            window: VecDeque::new(),
            overloaded: false,
        }
    }

    /// Starts the server with an empty queue and a cold cache.
    pub(super) fn start(&mut self, now: Time) {
        self.started = Some(now);
        self.ready = true;
        self.free_at = now;
        self.in_service = 0;
        self.overloaded = false;
        self.incarnation += 1;
        self.window.clear();
    }

    /// Removes a finished attempt from the server's queue, unless the server has restarted since the attempt
    /// arrived.
    pub(super) fn finish(&mut self, incarnation: u32) {
        if self.incarnation == incarnation {
            self.in_service -= 1;
        }
    }
}

impl Simulation<'_> {
    /// Returns the share of its full capacity that a server with this start time has now.
    fn warmth(&self, started: Option<Time>) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (self.now - started).as_secs_f64() / self.scenario.warmup_time;
        self.scenario.initial_warmth + (1.0 - self.scenario.initial_warmth) * age.min(1.0)
    }

    /// Handles an attempt that arrives at its server. An attempt that has already ended at its node is
    /// ignored.
    pub(super) fn on_arrival(&mut self, attempt: AttemptId, notified: bool) {
        let Some(in_flight) = self.in_flight.get(&attempt) else { return };
        let cache = in_flight.cache;
        let work = in_flight.work;
        if !self.servers[cache].ready {
            let outcome = AttemptOutcome::Unreachable;
            self.schedule(NETWORK_DELAY, EventKind::AttemptFinished { attempt, outcome });
            return;
        }
        let warmth = self.warmth(self.servers[cache].started);
        if warmth < 1.0 {
            self.check_window(cache, work, notified, warmth);
        }
        let speed = self.scenario.capacities[cache] * warmth;
        let server = &mut self.servers[cache];
        if server.in_service > self.scenario.queue {
            let outcome = AttemptOutcome::Rejected;
            self.schedule(NETWORK_DELAY, EventKind::AttemptFinished { attempt, outcome });
            return;
        }
        server.in_service += 1;
        server.free_at = server.free_at.max(self.now) + Span::from_secs_f64(work / speed);
        let wait = server.free_at - self.now;
        let incarnation = server.incarnation;
        self.schedule(wait, EventKind::ServiceFinished { attempt, cache, incarnation });
    }

    /// Adds an arrival to the window of a server that is warming up, and compares the window's work with its
    /// bound. An overloaded server is counted and continues to serve, so that one fault can't hide the next.
    fn check_window(&mut self, cache: usize, work: f64, notified: bool, warmth: f64) {
        let scenario = self.scenario;
        let now = self.now;
        let window_length = Span::from_secs_f64(scenario.overload_window);
        let permitted_work =
            self.overload_multiple * scenario.capacities[cache] * warmth * scenario.overload_window;
        let permitted_requests = permitted_work / scenario.mean_work;
        let bound = permitted_requests + 2.0 * permitted_requests.sqrt() + 2.0;

        let server = &mut self.servers[cache];
        server.window.push_back(Arrival { at: now, work: work / scenario.mean_work, notified });
        while server.window.front().is_some_and(|oldest| now - oldest.at > window_length) {
            server.window.pop_front();
        }
        let total: f64 = server.window.iter().map(|arrival| arrival.work).sum();
        let from_notified: f64 =
            server.window.iter().filter(|arrival| arrival.notified).map(|arrival| arrival.work).sum();
        // The bound must hold if more than two thirds of the work come from notified nodes.
        let is_bound_in_force = from_notified > total * 2.0 / 3.0;

        self.result.warmup_work += work;
        if is_bound_in_force {
            self.result.max_window_load = self.result.max_window_load.max(total / bound);
        }
        if total > bound && !server.overloaded {
            server.overloaded = true;
            self.result.overloads += 1;
            if is_bound_in_force {
                self.result.violations += 1;
            }
        }
    }
}
