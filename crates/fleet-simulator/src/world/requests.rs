//! Clients: arrival of requests, final responses and retries.

use granitelb_balancer::ids::{Key, RequestClassId, RequestId};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{LocalReply, Request};
use granitelb_coordination::observation::Observation;
use rand::RngExt;
use rand_distr::{Distribution, Exp1};

use super::World;
use super::events::EventKind;
use crate::faults::FaultKind;
use crate::scenario::{READ_TIMEOUT, SLO, WRITE_TIMEOUT};

/// The delay of a retry by a client that ignores Retry-After or received none.
const RETRY_BACKOFF: Span = Span::from_millis(60);
/// The largest permitted delay of a node's own response after the client's deadline. The response depends on
/// a timer, so it can come late.
const DEADLINE_TOLERANCE: Span = Span::from_millis(1);
/// The key of [`FaultKind::HotKey`], which the popularity distribution does not contain.
const HOT_KEY: Key = Key(u64::MAX);

/// A request as its client submitted it.
#[derive(Clone, Copy, Debug)]
pub struct ClientRequest {
    /// When the client submitted the request for the first time. The SLO's time begins here.
    pub first_submitted: Time,
    /// When the client stops waiting for a response.
    pub deadline: Time,
    pub key: Key,
    pub write: bool,
    /// Whether this is the second submission, which is the last.
    pub is_retry: bool,
}

/// A request at a node that has no final response yet.
pub struct TrackedRequest {
    pub client: ClientRequest,
    /// The number of attempts that the node has sent.
    pub attempts: u8,
    /// The number of attempts that have not finished.
    pub in_flight: usize,
    /// The indexes of caches that responded with a cache miss.
    pub missed: Vec<usize>,
}

impl World<'_> {
    /// Returns a randomly drawn time to the next request at a node.
    pub(super) fn draw_interarrival_time(&mut self, node: usize) -> Span {
        let drawn: f64 = Exp1.sample(&mut self.rng);
        let burst = self.network.active_faults(self.now).find_map(|kind| match kind {
            FaultKind::Burst(factor) => Some(factor),
            _ => None,
        });
        let rate = self.nodes[node].request_rate * burst.unwrap_or(1.0);
        Span::from_secs_f64(drawn / rate)
    }

    pub(super) fn on_request_arrival(&mut self, node: usize) {
        if self.day_seconds(self.now) >= self.scenario.duration_s {
            return;
        }
        let next = self.draw_interarrival_time(node);
        self.schedule(next, EventKind::RequestArrives { node });
        let key = self.draw_key();
        let write = self.rng.random::<f64>() < self.scenario.write_ratio;
        let timeout = if write { WRITE_TIMEOUT } else { READ_TIMEOUT };
        if let Some(second) = self.second_of_day(self.now) {
            self.result.requests += 1;
            self.result.by_second[second].requests += 1;
        }
        let deadline = self.now + timeout;
        let request = ClientRequest { first_submitted: self.now, deadline, key, write, is_retry: false };
        self.submit_request(node, request);
    }

    /// Returns a randomly drawn key. The quantile for the popularity distribution is drawn even if the hot
    /// key replaces the key.
    fn draw_key(&mut self) -> Key {
        let hot_key_share = self.network.active_faults(self.now).find_map(|kind| match kind {
            FaultKind::HotKey(share) => Some(share),
            _ => None,
        });
        let quantile: f64 = self.rng.random();
        if let Some(share) = hot_key_share
            && self.rng.random::<f64>() < share
        {
            return HOT_KEY;
        }
        self.popularity.key_at(quantile)
    }

    pub(super) fn submit_request(&mut self, node: usize, client: ClientRequest) {
        self.last_request += 1;
        self.result.submissions += 1;
        let id = self.last_request;
        let request = Request {
            request_class: RequestClassId(u16::from(client.write)),
            key: client.key,
            client_timeout: client.deadline - self.now,
            work: Some(self.scenario.mean_work.scaled(self.popularity.work_factor(client.key))),
            write: client.write,
        };
        let tracked = TrackedRequest { client, attempts: 0, in_flight: 0, missed: Vec::new() };
        self.nodes[node].requests.insert(id, tracked);
        self.nodes[node].policy.on_request(self.now, RequestId(id), request);
        self.run_policy(node);
    }

    /// Counts a response of an endpoint that a client receives.
    pub(super) fn on_request_fulfilled(&mut self, client: &ClientRequest) {
        if self.now > client.deadline {
            self.result.invariant_violations += 1;
        }
        let Some(second) = self.second_of_day(client.first_submitted) else { return };
        if self.now - client.first_submitted <= SLO {
            self.result.within_slo += 1;
            self.result.by_second[second].within_slo += 1;
        } else {
            self.result.late += 1;
        }
    }

    /// Counts a response that the node itself gives a client, and may schedule the client's retry.
    pub(super) fn on_local_reply(&mut self, node: usize, id: u64, reply: LocalReply) {
        let Some(request) = self.nodes[node].requests.remove(&id) else {
            self.result.invariant_violations += 1;
            return;
        };
        let client = request.client;
        if self.now > client.deadline + DEADLINE_TOLERANCE {
            self.result.invariant_violations += 1;
        }
        let is_counted = self.second_of_day(client.first_submitted).is_some();
        let retry_after = match reply {
            LocalReply::RateLimited { retry_after } => {
                self.result.rate_limited += usize::from(is_counted);
                if !client.write && !request.missed.is_empty() {
                    self.observe(node, |_| Observation::FetchDenied);
                }
                retry_after
            }
            LocalReply::Errored => {
                self.result.errored += usize::from(is_counted);
                Span::ZERO
            }
        };
        if !client.is_retry {
            self.maybe_retry(node, client, retry_after);
        }
    }

    /// Schedules a retry for some clients, unless the client's deadline would have passed by then.
    fn maybe_retry(&mut self, node: usize, client: ClientRequest, retry_after: Span) {
        if self.rng.random::<f64>() >= self.scenario.retry_probability {
            return;
        }
        let is_compliant = self.rng.random::<f64>() < self.scenario.retry_after_compliance;
        let delay = if is_compliant { retry_after.max(RETRY_BACKOFF) } else { RETRY_BACKOFF };
        if self.now + delay < client.deadline {
            let request = ClientRequest { is_retry: true, ..client };
            self.schedule(delay, EventKind::RequestRetried { node, request });
        }
    }
}
