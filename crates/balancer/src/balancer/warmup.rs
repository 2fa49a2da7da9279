//! Budgets for endpoints in warm-up (slow start) and for a leased origin.
//!
//! Each endpoint has a token bucket of work at each node. A node refills the bucket at its own part of the
//! load that the endpoint can serve, so that all nodes together stay below the load at which an endpoint in
//! warm-up fails.

use crate::endpoint::EndpointRole;
use crate::request::Request;
use crate::settings::Settings;
use crate::time::{Span, Time};

use super::endpoint_list::Endpoint;
use super::endpoint_selection::LEARNING_INTERVAL;
use super::response_times::ResponseTimes;
use super::work_sum::{WorkMean, WorkSum};

/// If requests ask for more work than caches recently accepted, endpoints in warm-up are sent at most this
/// multiple of the accepted work per unit of warm size. The overload multiple may lower it.
const MAX_DEMAND_GROWTH: f64 = 1.5;
/// The capacity of a bucket: the refill during this share of the overload window.
const CAPACITY_WINDOW_SHARE: f64 = 0.5;
/// The share of the overload multiple that nodes may use, since attempts may by chance arrive at twice the
/// intended rate. If an endpoint would fail even at twice its part of the load, that part is reduced.
const BURST_ALLOWANCE: f64 = 0.5;
/// The least warm size that the requested work is divided by.
const MIN_WARM_SIZE: f64 = 1e-9;

/// The token bucket of one endpoint. A token is a second of work, or one fetch if the endpoint is a leased
/// origin.
pub(super) struct WarmupBudget {
    tokens: f64,
    refilled_at: Time,
    /// The share of the next attempt's cost that must be available, drawn at random for each attempt. Where
    /// each of many nodes refills far less than one attempt, this spreads their attempts: the nodes neither
    /// all wait nor all send at once.
    required_share: f64,
}

impl WarmupBudget {
    pub fn new(required_share: f64, now: Time) -> WarmupBudget {
        WarmupBudget { tokens: 0.0, refilled_at: now, required_share }
    }

    /// Drops the refill since the last attempt, so that this time does not count at a new refill rate.
    pub fn restart_refill(&mut self, now: Time) {
        self.refilled_at = now;
    }

    fn available(&self, now: Time, rate: f64, capacity: f64) -> f64 {
        (self.tokens + rate * (now - self.refilled_at).as_secs_f64()).min(capacity)
    }

    /// Sets the tokens that are left after an attempt, and the share of the next attempt's cost that must be
    /// available.
    pub fn set(&mut self, now: Time, tokens: f64, required_share: f64) {
        self.tokens = tokens;
        self.refilled_at = now;
        self.required_share = required_share;
    }
}

/// The work that caches accept from this node, from which the buckets' refill rates are computed.
pub(super) struct WarmupTraffic {
    /// The work sent to caches during the overload window, without the attempts that the caches did not
    /// accept.
    sent_work: WorkSum,
    /// `sent_work` per unit of warm size, averaged over the duration of a warm-up.
    sent_per_size: WorkMean,
    /// The work of requests to caches that arrived during the overload window.
    requested_work: WorkSum,
    /// The sum of all serving caches' sizes at the last learning step, each multiplied by the cache's warm-up
    /// factor.
    warm_size: f64,
    max_demand_growth: f64,
}

impl WarmupTraffic {
    pub fn new(settings: &Settings, now: Time) -> WarmupTraffic {
        let window = settings.overload_window.max(LEARNING_INTERVAL);
        let warmup = settings.warmup_duration.max(LEARNING_INTERVAL);
        WarmupTraffic {
            sent_work: WorkSum::new(window, now),
            sent_per_size: WorkMean::new(warmup, now),
            requested_work: WorkSum::new(window, now),
            warm_size: 0.0,
            max_demand_growth: max_demand_growth(settings),
        }
    }

    /// Drops the sums if the new settings have another overload window, warm-up duration or kind of size.
    /// With sums of another meaning, endpoints in warm-up would be granted work that overloads them.
    pub fn on_settings_update(&mut self, old: &Settings, new: &Settings, now: Time) {
        let is_unchanged = old.overload_window == new.overload_window
            && old.warmup_duration == new.warmup_duration
            && old.sizes_are_capacities == new.sizes_are_capacities;
        if !is_unchanged {
            *self = WarmupTraffic { warm_size: self.warm_size, ..WarmupTraffic::new(new, now) };
        }
        self.max_demand_growth = max_demand_growth(new);
    }

    pub fn on_work_requested(&mut self, now: Time, request: &Request) {
        self.requested_work.add(now, request);
    }

    pub fn on_work_sent(&mut self, now: Time, request: &Request) {
        self.sent_work.add(now, request);
    }

    /// Subtracts the work of an attempt that did not reach its cache or that the cache rejected. A rejected
    /// request is retried, and its attempts do not show how much work caches can serve. If they counted, cold
    /// caches would be granted more work the more attempts an overloaded fleet rejects.
    pub fn on_work_not_accepted(&mut self, now: Time, sent_at: Time, request: &Request) {
        self.sent_work.subtract(now, sent_at, request);
    }

    /// Adds the present sum of sent work to the average. The step is skipped while no cache serves, and hence
    /// none accepts work: divided by a size of almost zero, the sum would grant endpoints in warm-up any
    /// amount.
    pub fn on_learning_step(&mut self, now: Time, warm_size: f64) {
        if warm_size > 0.0 {
            self.sent_per_size.add_scaled(now, &self.sent_work, 1.0 / warm_size);
        }
        self.warm_size = warm_size;
    }

    pub fn report(&self, now: Time, response_times: &ResponseTimes) -> WarmupReport {
        WarmupReport {
            requested_work: self.requested_work.seconds(now, response_times),
            sent_work: self.sent_work.seconds(now, response_times),
            warm_size: self.warm_size,
            work_per_size: self.work_per_size(now, response_times),
        }
    }

    /// The work per overload window that a unit of warm size is granted, in seconds. When the fleet becomes
    /// colder, the same requests are distributed over less warm size and would exceed the average of accepted
    /// work. The requested work then raises the grant, up to `max_demand_growth` times that average.
    fn work_per_size(&self, now: Time, response_times: &ResponseTimes) -> f64 {
        let sent = self.sent_per_size.seconds(now, response_times);
        let requested = self.requested_work.seconds(now, response_times) / self.warm_size.max(MIN_WARM_SIZE);
        requested.min(sent * self.max_demand_growth).max(sent)
    }
}

/// The largest factor by which budgets may exceed the work that caches accepted. Accepted work may equal the
/// caches' capacity, so the factor stays within the overload multiple. A part of that multiple is reserved
/// for random bursts and for endpoints that are smaller than listed.
fn max_demand_growth(settings: &Settings) -> f64 {
    (settings.overload_multiple * BURST_ALLOWANCE).clamp(1.0, MAX_DEMAND_GROWTH)
}

/// The values from which the budgets of endpoints in warm-up are computed, at one moment; for the log and
/// simulations.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmupReport {
    /// The work of requests to caches that arrived during the overload window, in seconds.
    pub requested_work: f64,
    /// The work that was sent to caches and accepted during the overload window, in seconds.
    pub sent_work: f64,
    /// The sum of all serving caches' sizes, each multiplied by the cache's warm-up factor.
    pub warm_size: f64,
    /// The work per overload window that a warm cache of size one is granted, in seconds.
    pub work_per_size: f64,
}

/// Checks attempts against the budgets of their endpoints, at one moment.
pub(super) struct WarmupGate<'a> {
    pub now: Time,
    pub settings: &'a Settings,
    pub traffic: &'a WarmupTraffic,
    pub response_times: &'a ResponseTimes,
}

impl WarmupGate<'_> {
    /// Whether the endpoint's budget permits an attempt.
    pub fn is_permitted(&self, endpoint: &Endpoint, request: &Request) -> bool {
        let cost = self.cost(endpoint, request);
        cost == 0.0 || self.available(endpoint, cost) >= endpoint.warmup_budget.required_share * cost
    }

    /// The tokens that an attempt takes from the endpoint's budget. A write at a leased origin costs nothing,
    /// since writes cannot go anywhere else and are not limited by the lease.
    pub fn cost(&self, endpoint: &Endpoint, request: &Request) -> f64 {
        if endpoint.lease.is_some() && endpoint.role == EndpointRole::Origin {
            return if request.write { 0.0 } else { 1.0 };
        }
        if endpoint.warmup_factor(self.now, self.settings) >= 1.0 {
            return 0.0;
        }
        self.response_times.work(self.now, request)
    }

    /// The tokens in the endpoint's bucket. The bucket has capacity for at least one attempt of this cost.
    pub fn available(&self, endpoint: &Endpoint, cost: f64) -> f64 {
        let rate = self.refill_rate(endpoint);
        let capacity = (rate * self.settings.overload_window.as_secs_f64() * CAPACITY_WINDOW_SHARE).max(cost);
        endpoint.warmup_budget.available(self.now, rate, capacity)
    }

    /// The tokens per second by which this node refills the endpoint's bucket. Without a lease, the rate is
    /// the endpoint's part, by size and warm-up factor, of the work that caches accepted from this node, so
    /// that all nodes together send about the endpoint's part of the load. The rate is at least enough for
    /// one attempt at a time from all nodes together: with less, no node would notice that endpoints work in
    /// a fleet that warms up as a whole. A lease sets the rate of the origin and only lowers the rate of a
    /// cache.
    fn refill_rate(&self, endpoint: &Endpoint) -> f64 {
        let warmup_factor = endpoint.warmup_factor(self.now, self.settings);
        let burst_factor = (self.settings.overload_multiple * BURST_ALLOWANCE).min(1.0);
        let factor_per_s = burst_factor / self.settings.overload_window.as_secs_f64();
        let work = self.traffic.work_per_size(self.now, self.response_times)
            * endpoint.size(self.settings)
            * factor_per_s;
        let own_rate = work.max(1.0 / self.settings.nodes) * warmup_factor;
        match (endpoint.lease, endpoint.role) {
            (None, _) => own_rate,
            (Some(lease), EndpointRole::Origin) => lease.quota_at(self.now),
            (Some(lease), EndpointRole::Cache) => own_rate.min(lease.quota_at(self.now) * warmup_factor),
        }
    }
}

/// The share of an endpoint's capacity that the endpoint has at least, by the time since its start. It grows
/// linearly from `initial_capacity_share` to one during the warm-up.
pub(super) fn warmup_factor(now: Time, started: Option<Time>, settings: &Settings) -> f64 {
    let Some(started) = started else { return 1.0 };
    if settings.warmup_duration == Span::ZERO {
        return 1.0;
    }
    let age = (now - started).as_secs_f64() / settings.warmup_duration.as_secs_f64();
    settings.initial_capacity_share + (1.0 - settings.initial_capacity_share) * age.min(1.0)
}

#[cfg(test)]
mod tests;
