//! The balancer of one node: which endpoint serves which request.
//!
//! A host creates a [`Balancer`] from the settings. It reports what happens by the `on_*` methods, which only update
//! the balancer's state. Then it calls [`Balancer::poll_attempt`], [`Balancer::poll_response`],
//! [`Balancer::poll_cancellation`] and [`Balancer::poll_watch_request`] until each of them has nothing left, and
//! carries out what they return. It polls again at the latest at the time of [`Balancer::poll_timeout`].
//!
//! A request takes this way: it waits in the request queue; dispatch takes the key's available candidate of the highest
//! weight (endpoint selection); the attempt's result updates the endpoint's state (assessment); then the request is
//! closed, waits for another attempt, or is rejected.
//!
//! Two invariants each have one place that enforces them. Every attempt passes `PermissionGate::is_permitted`, which
//! checks the site's rules. Every final response that the balancer gives by itself passes `Balancer::respond`.
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

/// How long request rates and response times are remembered: they change more slowly than usage.
const RATE_TIME_CONSTANT: Span = Span::from_millis(12_000);
/// An answer slower than this share of its latency objective shows a queue.
const SLOW_SLO_SHARE: f64 = 0.4;
/// An attempt that has been without a response for less than this share of its latency objective shows nothing of the
/// endpoint.
const PROMPT_SLO_SHARE: f64 = 0.5;
/// The share of the latency objective that a request may wait for its first attempt.
const QUEUE_SLO_SHARE: f64 = 0.4;
/// A rejected client is asked to stay away for this multiple of the latency objective: a retry soon after would come
/// too late for it.
const RETRY_AFTER_SLO_MULTIPLE: f64 = 4.0;
/// What may be wrong about at most this share of the caches: a list that drops more is doubted, and the control plane
/// can't eject more.
const MINORITY_SHARE: f64 = 0.34;
/// How often waiting requests are looked at when nothing happens.
const RECHECK_INTERVAL: Span = Span::from_millis(20);
/// An endpoint's share of the slots grows with its warm-up in this many steps: each moves keys, at every node alike.
const WARMUP_STEPS: f64 = 8.0;
/// The least work in seconds that a request's value is related to.
const MIN_WORK_SECONDS: f64 = 1e-6;

/// A final response by the balancer itself.
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
    /// A balancer without endpoints. All its randomness follows from `seed`.
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

    /// Other settings hold from now on. Request classes keep their positions, and new ones follow. Pending requests
    /// keep their terms. What is known of endpoints stays where it means the same under the new settings; the rest
    /// starts anew.
    pub fn on_settings_update(&mut self, now: Time, settings: Settings) {
        self.start_event(now);
        let old = std::mem::replace(&mut self.settings, settings);
        self.response_times.add_classes(&self.settings.request_classes, now);
        for endpoint in self.endpoints.iter_mut() {
            // Usage may be of another kind now.
            endpoint.push = 0.0;
            endpoint.last_load_report = None;
            endpoint.warmup_budget.restart_refill(now);
            if self.settings.nodes != old.nodes {
                // Limits start by the number of nodes; attempts in flight still count.
                let in_flight = endpoint.limit.in_flight();
                endpoint.limit = ConcurrencyLimit::new(self.settings.nodes, in_flight, now);
            }
        }
        self.warmup_traffic.on_settings_update(&old, &self.settings, now);
        self.update_slot_table();
    }

    /// The endpoint list that the node's former process saw last. It may be outdated.
    pub fn on_endpoints_restored(&mut self, now: Time, updates: &[EndpointUpdate]) {
        self.apply_endpoints(now, updates, true);
    }

    /// The endpoint list, or its changed entries if it is not `complete`. Where the list only comes on request, the
    /// watch stands.
    pub fn on_endpoints_update(&mut self, now: Time, updates: &[EndpointUpdate], complete: bool) {
        self.watch.on_update();
        self.apply_endpoints(now, updates, complete);
    }

    fn apply_endpoints(&mut self, now: Time, updates: &[EndpointUpdate], complete: bool) {
        self.start_event(now);
        self.endpoints.apply(now, updates, complete, &self.settings, &mut self.random);
        self.apply_removals_and_sizes(now);
        self.zones.retain_zones(&self.endpoints.zones());
    }

    /// The endpoint list was not available, or the watch was lost.
    pub fn on_endpoints_watch_failed(&mut self, now: Time) {
        self.start_event(now);
        let jitter = self.random.next_unit_float();
        self.watch.on_failure(now, jitter);
    }

    /// A client's request arrived. A request of an unknown class fails at once.
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

    /// Sets the terms of a new request.
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

    /// The client does not wait for this request any more, or has its response by other means.
    pub fn on_client_disconnect(&mut self, now: Time, id: RequestId) {
        self.start_event(now);
        self.close(id);
    }

    /// An attempt has ended. Results of unknown attempts, and second results, change nothing.
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
        // An error slower than an answer is that of a failed fetch: another cache would only fetch again.
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

    /// An endpoint's load report came with an answer. It is reported before the attempt's result.
    pub fn on_load_report(&mut self, now: Time, endpoint: EndpointId, report: &LoadReport) {
        self.start_event(now);
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.last_load_report = Some(ReceivedLoadReport { received_at: now, report: *report });
        }
    }

    /// Information from the control plane. The balancer's own evidence counts where it is fresher. Since planners may
    /// lie, the information ejects no more than a minority of the endpoints, and none is taken back but by a probe.
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

    /// The next attempt to send.
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

    /// The next final response that the balancer gives by itself.
    pub fn poll_response(&mut self, now: Time) -> Option<(RequestId, LocalReply)> {
        self.advance(now);
        self.responses.pop_front().map(|response| (response.id, response.reply))
    }

    /// The next attempt to cancel.
    pub fn poll_cancellation(&mut self) -> Option<(RequestId, AttemptNumber)> {
        self.cancellations.pop_front().map(|cancellation| (cancellation.id, cancellation.number))
    }

    /// Whether to request a watch on the endpoint list now.
    pub fn poll_watch_request(&mut self, now: Time) -> bool {
        self.watch.poll(now, self.settings.max_poll_interval)
    }

    /// When to poll again if nothing happens before.
    pub fn poll_timeout(&self, now: Time) -> Option<Time> {
        let recheck = self.requests.has_waiting().then_some(now + RECHECK_INTERVAL);
        let timeouts = [self.requests.next_deadline(), recheck, self.watch.next_request_at()];
        timeouts.into_iter().flatten().min().map(|timeout| timeout.max(now))
    }

    /// The number of entries stored for requests, attempts, keys and endpoints. It is bounded, however long the
    /// balancer runs.
    pub fn entry_count(&self) -> usize {
        self.requests.entry_count()
            + self.attempts.len()
            + self.fetches.len()
            + self.cancellations.len()
            + self.responses.len()
            + self.selection.key_count()
            + self.endpoints.len()
    }

    /// What the budgets of endpoints in warm-up follow from, while a serving cache warms up.
    pub fn warmup_report(&self, now: Time) -> Option<WarmupReport> {
        let is_warming_up =
            |endpoint: &Endpoint| endpoint.is_serving() && endpoint.warmup_factor(now, &self.settings) < 1.0;
        self.endpoints
            .iter()
            .any(is_warming_up)
            .then(|| self.warmup_traffic.report(now, &self.response_times))
    }

    /// A key's candidates, the highest weight first.
    pub fn ranked_candidates(&self, key: Key) -> Vec<EndpointId> {
        self.selection.ranked_candidates(key)
    }

    /// Something happened: waiting requests are looked at anew.
    fn start_event(&mut self, now: Time) {
        self.advance(now);
        self.requests.restart_round();
    }

    /// Brings everything up to date that changes with time alone.
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

    /// A request's deadline has passed: that of its client, its latency objective, or the time at which a slow attempt
    /// is looked at.
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

    /// One learning step: updates the endpoints' pushes by their usage, and all weights by the pushes.
    fn run_learning_step(&mut self, now: Time) {
        self.apply_removals_and_sizes(now);
        let settings = &self.settings;
        let serving = self.endpoints.iter().filter(|endpoint| endpoint.is_serving());
        let warm_size = serving.map(|cache| cache.size(settings) * cache.warmup_factor(now, settings)).sum();
        self.warmup_traffic.on_learning_step(now, warm_size);
        let usages = UsageEstimator { now, settings }.usages(&self.endpoints);
        update_pushes(&mut self.endpoints, &usages);
        self.selection.push(&self.endpoints);
    }

    fn apply_removals_and_sizes(&mut self, now: Time) {
        self.endpoints.update_removed_endpoints(now);
        self.update_slot_table();
    }

    /// Gives serving caches their shares of the slots. During warm-up a share grows in steps, so that few keys have
    /// none but candidates in warm-up.
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
