//! The balancer of one node: decides which endpoint serves which request.
//!
//! A host creates a [`Balancer`] from the settings. The host reports events by the `on_*` methods, which only
//! update the balancer's state. Then the host calls [`Balancer::poll_attempt`], [`Balancer::poll_response`],
//! [`Balancer::poll_cancellation`] and [`Balancer::poll_watch_request`] until each of them has nothing left
//! to return, and carries out what they returned. The host polls again no later than the time of
//! [`Balancer::poll_timeout`].
//!
//! A request is processed as follows. It waits in the request queue. Dispatch selects the available candidate
//! of the key with the highest weight (endpoint selection). The attempt's result updates the endpoint's state
//! (assessment). Then the request is closed, waits for another attempt, or is rejected.
//!
//! Two invariants are each enforced in one place. Every attempt passes `PermissionGate::is_permitted`, which
//! checks the site's rules. Every final response that the balancer itself gives passes `Balancer::respond`.
//!
//! `docs/design.md` describes the design and its reasons.

mod assessment;
mod attempt_tracking;
mod cancellation;
mod concurrency_limit;
mod dispatch;
mod endpoint_list;
mod endpoint_selection;
mod endpoint_watch;
mod load_reports;
mod outlier_detection;
mod permission;
mod rejection;
mod request_coalescing;
mod request_queue;
mod response_times;
#[cfg(test)]
mod test_support;
mod warmup;
mod work_sum;
mod zone_outliers;

use std::collections::VecDeque;

pub use self::endpoint_list::REMOVED_ENDPOINT_TTL;
pub use self::warmup::WarmupReport;

use self::attempt_tracking::{InFlightAttempts, record_result};
use self::concurrency_limit::ConcurrencyLimit;
use self::endpoint_list::{Endpoint, EndpointList};
use self::endpoint_selection::{EndpointSelection, update_pushes};
use self::endpoint_watch::WatchBackoff;
use self::load_reports::{ReceivedLoadReport, UsageEstimator};
use self::request_coalescing::InFlightFetches;
use self::request_queue::RequestQueue;
use self::response_times::ResponseTimes;
use self::warmup::WarmupTraffic;
use self::zone_outliers::ZoneOutlierDetector;
use crate::attempt::{Attempt, AttemptOutcome, AttemptResult};
use crate::control_plane::ControlPlaneUpdate;
use crate::endpoint::{EndpointRole, EndpointUpdate, LoadReport};
use crate::ids::{AttemptNumber, EndpointId, Key, RequestId};
use crate::pending_request::PendingRequest;
use crate::request::{LocalReply, Request};
use crate::seeded_hash::SeededRandom;
use crate::settings::{RequestClass, Settings};
use crate::time::{Span, Time};

/// The time constant by which request rates and response times decay; longer than that of usage, since they
/// change more slowly.
const RATE_TIME_CONSTANT: Span = Span::from_millis(12_000);
/// An answer that takes more than this share of its latency objective shows that the endpoint has a queue.
const SLOW_SLO_SHARE: f64 = 0.4;
/// An attempt that has had no response for less than this share of its latency objective shows nothing about
/// the endpoint's health.
const PROMPT_SLO_SHARE: f64 = 0.5;
/// The largest share of the latency objective that a request may wait for its first attempt.
const QUEUE_SLO_SHARE: f64 = 0.4;
/// The retry delay that a rate-limited client is given, as a multiple of the latency objective. A retry soon
/// after the rejection would miss the objective anyway.
const RETRY_AFTER_SLO_MULTIPLE: f64 = 4.0;
/// The largest share of the caches whose failure is believed at once. An endpoint list that drops more is
/// doubted, reports of the control plane eject no more, and if more caches that fetch from the origin leave
/// attempts without a response, the origin is at fault.
const MINORITY_SHARE: f64 = 0.34;
/// The interval at which waiting requests are dispatched again if no event occurs.
const RECHECK_INTERVAL: Span = Span::from_millis(20);
/// The number of steps in which an endpoint's share of the slots grows during warm-up. Each step moves keys,
/// and it moves the same keys at every node.
const WARMUP_STEPS: f64 = 8.0;
/// The least work, in seconds, that a request's value is divided by.
const MIN_WORK_SECONDS: f64 = 1e-6;

/// A final response that the balancer itself gives.
struct LocalResponse {
    id: RequestId,
    reply: LocalReply,
}

/// An attempt that the host is to cancel.
struct Cancellation {
    id: RequestId,
    number: AttemptNumber,
}

/// The balancer of one node. See the [module's documentation](self).
pub struct Balancer {
    settings: Settings,
    /// The latest time that the balancer was called with.
    now: Time,
    random: SeededRandom,
    endpoints: EndpointList,
    zones: ZoneOutlierDetector,
    watch: WatchBackoff,
    selection: EndpointSelection,
    warmup_traffic: WarmupTraffic,
    response_times: ResponseTimes,
    requests: RequestQueue,
    fetches: InFlightFetches,
    attempts: InFlightAttempts,
    responses: VecDeque<LocalResponse>,
    cancellations: VecDeque<Cancellation>,
}

impl Balancer {
    /// A balancer without endpoints. All its random decisions are determined by `seed`.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Balancer {
        Balancer {
            now,
            random: SeededRandom::new(seed),
            endpoints: EndpointList::default(),
            zones: ZoneOutlierDetector::default(),
            watch: WatchBackoff::new(settings.list_on_request, now),
            selection: EndpointSelection::new(seed, now),
            warmup_traffic: WarmupTraffic::new(&settings, now),
            response_times: ResponseTimes::new(&settings.request_classes, now),
            requests: RequestQueue::default(),
            fetches: InFlightFetches::default(),
            attempts: InFlightAttempts::default(),
            responses: VecDeque::new(),
            cancellations: VecDeque::new(),
            settings,
        }
    }

    /// Replaces the settings. Request classes must keep their positions, with new classes after them. Pending
    /// requests keep the deadlines, attempt limit and retry delay that they arrived under. State of endpoints
    /// is kept if it has the same meaning under the new settings, and is otherwise reset.
    pub fn on_settings_update(&mut self, now: Time, settings: Settings) {
        self.start_event(now);
        let old = std::mem::replace(&mut self.settings, settings);
        self.response_times.add_classes(&self.settings.request_classes, now);
        for endpoint in self.endpoints.iter_mut() {
            // Under the new settings usage may be measured in another way, so pushes and load reports are
            // reset.
            endpoint.push = 0.0;
            endpoint.last_load_report = None;
            endpoint.warmup_budget.restart_refill(now);
            if self.settings.nodes != old.nodes {
                // The initial limit depends on the number of nodes. Attempts in flight still count.
                let in_flight = endpoint.limit.in_flight();
                endpoint.limit = ConcurrencyLimit::new(self.settings.nodes, in_flight, now);
            }
        }
        self.warmup_traffic.on_settings_update(&old, &self.settings, now);
        self.update_slot_table();
    }

    /// Sets the endpoint list that the node's previous process received last. The list may be outdated.
    pub fn on_endpoints_restored(&mut self, now: Time, updates: &[EndpointUpdate]) {
        self.apply_endpoints(now, updates, true);
    }

    /// Applies the endpoint list, or only its changed entries if the list is not `complete`. Where the list
    /// is sent only on request, an update shows that the watch is established.
    pub fn on_endpoints_update(&mut self, now: Time, updates: &[EndpointUpdate], complete: bool) {
        self.watch.on_update();
        self.apply_endpoints(now, updates, complete);
    }

    fn apply_endpoints(&mut self, now: Time, updates: &[EndpointUpdate], complete: bool) {
        self.start_event(now);
        self.endpoints.apply(now, updates, complete, &self.settings, &mut self.random);
        self.update_serving_endpoints(now);
        self.zones.retain_zones(&self.endpoints.zones());
    }

    /// Schedules another watch request after the endpoint list was not available or the watch was lost.
    pub fn on_endpoints_watch_failed(&mut self, now: Time) {
        self.start_event(now);
        let jitter = self.random.next_unit_float();
        self.watch.on_failure(now, jitter);
    }

    /// Accepts a client's request. A request of an unknown class gets an error at once.
    pub fn on_request(&mut self, now: Time, id: RequestId, request: Request) {
        self.start_event(now);
        let class_index = usize::from(request.request_class.0);
        let Some(class) = self.settings.request_classes.get(class_index) else {
            return self.responses.push_back(LocalResponse { id, reply: LocalReply::Errored });
        };
        let pending = self.new_pending_request(now, request, class.clone());
        self.requests.insert(id, pending);
        self.selection.count_request(now);
        let is_origin_write = request.write && self.settings.is_cache_aside();
        if !is_origin_write {
            self.warmup_traffic.on_work_requested(now, &request);
            self.selection.on_key_requested(now, request.key, self.settings.nodes);
        }
    }

    /// The state of a new request, with its deadlines and limits by the present settings.
    fn new_pending_request(&mut self, now: Time, request: Request, class: RequestClass) -> PendingRequest {
        let work = if self.settings.is_value_per_work {
            1.0
        } else {
            self.response_times.expected_seconds(now, request.request_class, EndpointRole::Cache)
        };
        let value = class.billed_value / work.max(MIN_WORK_SECONDS);
        let slo = class.slo.min(request.client_timeout);
        let valued_time = if class.value_after_slo > 0.0 { request.client_timeout } else { slo };
        PendingRequest {
            request,
            priority: self.requests.next_priority(value),
            slo_deadline: now + slo,
            value_deadline: now + valued_time,
            client_deadline: now + request.client_timeout,
            queue_deadline: now + slo.scaled(QUEUE_SLO_SHARE),
            attempts: Vec::new(),
            max_attempts: usize::from(self.settings.max_attempts),
            retry_after: class.slo.scaled(RETRY_AFTER_SLO_MULTIPLE).min(self.settings.max_retry_after),
            may_have_executed: None,
            excluded_endpoints: Vec::new(),
            missed_in_cache: false,
        }
    }

    /// Closes a request whose client has disconnected or has its response by other means.
    pub fn on_client_disconnect(&mut self, now: Time, id: RequestId) {
        self.start_event(now);
        self.close(id);
    }

    /// Records the result of an attempt. Results of unknown attempts, and second results of an attempt, are
    /// ignored.
    pub fn on_attempt_finished(&mut self, now: Time, id: RequestId, result: &AttemptResult) {
        self.start_event(now);
        let Some(attempt) = self.attempts.remove(id, result) else { return };
        self.assess_attempt(now, &attempt, result.outcome, result.latency);
        let is_origin = self.endpoints.role(result.endpoint) == EndpointRole::Origin;
        let was_overtaken = self.is_overtaken(&attempt);
        let class = attempt.request.request_class;
        let expected = self.response_times.expected(now, class, EndpointRole::Cache);
        let Some(request) = self.requests.get_mut(id) else { return };
        record_result(request, result, is_origin, was_overtaken);
        let has_attempt_in_flight = request.first_in_flight().is_some();
        self.finish_fetch(id);
        // An error of a cache that took longer than an expected answer is that of a failed fetch from the
        // origin. The request is then rejected, since another cache would only repeat the fetch.
        let is_fetch_error = !self.settings.is_cache_aside()
            && result.outcome == AttemptOutcome::Errored
            && result.latency > expected;
        if result.answered {
            self.close(id);
        } else if is_fetch_error {
            self.reject(id);
        } else if !has_attempt_in_flight {
            self.requests.set_waiting(id);
        }
    }

    /// Stores the load report that came with an endpoint's answer. The host reports it before the attempt's
    /// result.
    pub fn on_load_report(&mut self, now: Time, endpoint: EndpointId, report: &LoadReport) {
        self.start_event(now);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.last_load_report = Some(ReceivedLoadReport { received_at: now, report: *report });
        }
    }

    /// Applies information from the control plane. A reported failure is ignored if the endpoint has
    /// responded to this node since. Because planners may report false information, reports of failures eject
    /// no more than a minority of the endpoints, and only a successful probe ends an ejection.
    pub fn on_control_plane_update(&mut self, now: Time, update: &ControlPlaneUpdate) {
        self.start_event(now);
        self.apply_reported_failures(now, &update.failing);
        for (id, _) in &update.answering {
            if let Some(endpoint) = self.endpoints.get_mut(*id) {
                endpoint.health.on_reported_answering(now);
            }
        }
        if let Some(shard_map) = &update.shard_map {
            self.selection.set_shard_map(shard_map);
        }
        for (id, lease) in &update.leases {
            if let Some(endpoint) = self.endpoints.get_mut(*id) {
                endpoint.lease = Some(*lease);
            }
        }
    }

    fn apply_reported_failures(&mut self, now: Time, failing: &[(EndpointId, Time)]) {
        let max_ejected = (self.selection.endpoint_count() as f64 * MINORITY_SHARE).max(1.0) as usize;
        let mut ejected = self.endpoints.iter().filter(|endpoint| endpoint.health.is_ejected()).count();
        for &(id, observed_at) in failing {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let is_newer = endpoint.last_response_at < observed_at;
            let is_ejected = endpoint.health.is_ejected();
            if !is_newer || endpoint.is_origin() || !is_ejected && ejected >= max_ejected {
                continue;
            }
            if !is_ejected {
                ejected += 1;
            }
            endpoint.health.on_reported_failing(now);
        }
    }

    /// Returns the next attempt to send.
    pub fn poll_attempt(&mut self, now: Time) -> Option<Attempt> {
        self.advance(now);
        while let Some(id) = self.requests.next_waiting() {
            let attempt = self.dispatch(now, id);
            if attempt.is_some() {
                return attempt;
            }
        }
        None
    }

    /// Returns the next final response that the balancer itself gives.
    pub fn poll_response(&mut self, now: Time) -> Option<(RequestId, LocalReply)> {
        self.advance(now);
        self.responses.pop_front().map(|response| (response.id, response.reply))
    }

    /// Returns the next attempt to cancel.
    pub fn poll_cancellation(&mut self) -> Option<(RequestId, AttemptNumber)> {
        self.cancellations.pop_front().map(|cancellation| (cancellation.id, cancellation.number))
    }

    /// Returns whether to request a watch on the endpoint list now.
    pub fn poll_watch_request(&mut self, now: Time) -> bool {
        self.watch.poll(now, self.settings.max_poll_interval)
    }

    /// The time at which to poll again if no event occurs before.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        let recheck = self.requests.has_waiting().then_some(now + RECHECK_INTERVAL);
        let timeouts = [self.requests.next_deadline(), recheck, self.watch.next_request_at()];
        timeouts.into_iter().flatten().min().map(|timeout| timeout.max(now))
    }

    /// The number of entries stored for requests, attempts, keys and endpoints, which is bounded however long
    /// the balancer runs.
    pub fn entry_count(&self) -> usize {
        self.requests.entry_count()
            + self.attempts.len()
            + self.fetches.len()
            + self.cancellations.len()
            + self.responses.len()
            + self.selection.key_count()
            + self.endpoints.len()
    }

    /// The values from which the budgets of endpoints in warm-up are computed; `None` if no serving cache is
    /// in warm-up.
    pub fn warmup_report(&self, now: Time) -> Option<WarmupReport> {
        let is_warming_up =
            |endpoint: &Endpoint| endpoint.is_serving() && endpoint.warmup_factor(now, &self.settings) < 1.0;
        self.endpoints
            .iter()
            .any(is_warming_up)
            .then(|| self.warmup_traffic.report(now, &self.response_times))
    }

    /// A key's candidates in descending order of weight.
    pub fn ranked_candidates(&self, key: Key) -> Vec<EndpointId> {
        self.selection.ranked_candidates(key)
    }

    /// Advances to the time of an event, and makes all waiting requests due for dispatch, since an endpoint
    /// may now be available to them.
    fn start_event(&mut self, now: Time) {
        self.advance(now);
        self.requests.restart_round();
    }

    /// Advances to the time `now`: processes deadlines that have passed, and runs a learning step if one is
    /// due.
    fn advance(&mut self, now: Time) {
        if now > self.now {
            self.now = now;
            self.requests.restart_round();
        }
        while let Some(deadline) = self.requests.pop_due_deadline(now) {
            self.on_deadline(now, deadline.at, deadline.id);
        }
        if self.selection.start_due_learning_step(now) {
            self.run_learning_step(now);
        }
    }

    /// Handles a deadline of a request that has passed: the client's deadline, the latency objective, or the
    /// time of the next check of a slow attempt.
    fn on_deadline(&mut self, now: Time, due_at: Time, id: RequestId) {
        let Some(request) = self.requests.get(id) else { return };
        if due_at >= request.client_deadline {
            self.respond(id, LocalReply::Errored);
        } else if due_at >= request.slo_deadline && request.first_in_flight().is_none() {
            self.reject(id);
        } else {
            self.cancel_or_recheck(now, id);
        }
    }

    /// Runs one learning step: updates each endpoint's push by the endpoint's usage, and all weights by the
    /// pushes.
    fn run_learning_step(&mut self, now: Time) {
        self.update_serving_endpoints(now);
        let settings = &self.settings;
        let serving = self.endpoints.iter().filter(|endpoint| endpoint.is_serving());
        let warm_size = serving.map(|cache| cache.size(settings) * cache.warmup_factor(now, settings)).sum();
        self.warmup_traffic.on_learning_step(now, warm_size);
        let usages = UsageEstimator { now, settings }.usages(&self.endpoints);
        update_pushes(&mut self.endpoints, &usages);
        self.selection.push(&self.endpoints);
    }

    fn update_serving_endpoints(&mut self, now: Time) {
        self.endpoints.update_removed_endpoints(now);
        self.update_slot_table();
    }

    /// Sets the serving caches' shares of the slots. A share grows in steps during warm-up, so that few keys
    /// have only candidates in warm-up.
    fn update_slot_table(&mut self) {
        let share = |endpoint: &Endpoint| {
            let warmup_factor = endpoint.warmup_factor(self.now, &self.settings);
            let step = (warmup_factor * WARMUP_STEPS).ceil() / WARMUP_STEPS;
            (endpoint.id(), endpoint.size(&self.settings) * step)
        };
        let serving = self.endpoints.iter().filter(|endpoint| endpoint.is_serving());
        let shares = serving.map(share).collect();
        self.selection.set_endpoints(shares);
    }
}
