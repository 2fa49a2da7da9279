//! The settings that a host passes to a [`Balancer`](crate::balancer::Balancer) at the start and on a reload.

use crate::ids::{KindId, RequestClassId};
use crate::time::Span;

/// The settings of a balancer.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The origin's kind in the endpoint list, for sites whose nodes read from the origin after a cache miss
    /// and write to the origin (cache-aside). `None` where caches themselves fetch from the origin after a
    /// miss (read-through).
    pub origin: Option<KindId>,
    /// The request classes; a class's position is its [`RequestClassId`].
    pub request_classes: Vec<RequestClass>,
    /// The number of nodes, including this one.
    pub nodes: f64,
    /// Whether service discovery sends the endpoint list only on request.
    pub list_on_request: bool,
    /// The longest time between a node's requests for a watch while no watch is established; zero if the site
    /// sets no limit.
    pub max_poll_interval: Span,
    /// Whether only endpoints that were listed as draining are excluded from new attempts. Then an entry that
    /// lists an endpoint as gone, or a list without the endpoint, does not prove that the endpoint is gone.
    pub only_draining_excludes: bool,
    /// The least share of its capacity that an endpoint has when it starts.
    pub initial_capacity_share: f64,
    /// The time after an endpoint's start until its warm-up has ended at the latest.
    pub warmup_duration: Span,
    /// The multiple of its capacity at which an endpoint in warm-up fails, if received during
    /// `overload_window`.
    pub overload_multiple: f64,
    /// The time over which the work that an endpoint receives is compared with `overload_multiple`.
    pub overload_window: Span,
    /// The largest number of attempts of one request.
    pub max_attempts: u8,
    /// Whether a request may have two attempts in flight at the same time.
    pub hedged_requests: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that clients honor; zero if clients can't be sent one.
    pub max_retry_after: Span,
    /// Whether the billed value is per unit of work instead of per request.
    pub is_value_per_work: bool,
    /// Whether listed sizes are capacities; otherwise they hold only for the moment.
    pub sizes_are_capacities: bool,
}

impl Settings {
    /// Whether nodes themselves read from the origin after a cache miss; otherwise caches fetch from the
    /// origin.
    pub fn is_cache_aside(&self) -> bool {
        self.origin.is_some()
    }

    /// The shortest latency objective of the offered request classes; zero if none is offered.
    pub fn tightest_slo(&self) -> Span {
        self.request_classes
            .iter()
            .filter(|class| class.is_offered)
            .map(|class| class.slo)
            .min()
            .unwrap_or_default()
    }

    /// The settings of a request class.
    pub(crate) fn request_class(&self, id: RequestClassId) -> &RequestClass {
        &self.request_classes[usize::from(id.0)]
    }
}

/// The settings of a request class.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The latency objective.
    pub slo: Span,
    /// The value of an answer within the latency objective.
    pub billed_value: f64,
    /// The value of an answer after the latency objective, as a share of the billed value.
    pub value_after_slo: f64,
    /// Whether clients can send requests of this class. A class that is not offered is kept for requests that
    /// arrived under previous settings.
    pub is_offered: bool,
    /// The effect of executing a request twice.
    pub effect: Effect,
}

/// The effect of executing a request twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The same effect as executing the request once.
    Idempotent,
    /// The same effect as executing the request once, as long as endpoints recognize and drop the repeated
    /// request.
    Deduplicated {
        /// The endpoints among which a repeat is recognized.
        scope: DedupScope,
        /// The time for which a repeat is recognized, from the first attempt that may have executed the
        /// request.
        window: Span,
    },
    /// Harm, so that the request must not be executed twice.
    NonIdempotent,
}

/// The endpoints among which a repeated request is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// The endpoints in the zone of the first attempt's endpoint.
    Zone,
    /// The endpoints in the cell of the first attempt's endpoint.
    Cell,
}
