//! The settings that a host gives a [`Balancer`](crate::balancer::Balancer) at its start and on a reload.

use crate::ids::{KindId, RequestClassId};
use crate::time::Span;

/// The terms that a balancer works under.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The kind of the origin in the endpoint list: nodes ask it for cache misses and send it writes. `None`
    /// where caches fetch by themselves what they miss.
    pub origin: Option<KindId>,
    /// The request classes, in the order of their ids.
    pub request_classes: Vec<RequestClass>,
    /// The number of nodes, this one included.
    pub nodes: f64,
    /// Whether the endpoint list only comes on request.
    pub list_on_request: bool,
    /// The longest time that a node without a watch may go without asking for one; zero where none is set.
    pub max_poll_interval: Span,
    /// Whether only endpoints that were listed as draining are barred from new work: an entry that lists an
    /// endpoint as gone, or a list without it, proves nothing.
    pub only_draining_excludes: bool,
    /// The share of its capacity that an endpoint has at least when it starts.
    pub initial_capacity_share: f64,
    /// The time after its start at which an endpoint is warm at the latest.
    pub warmup_duration: Span,
    /// An endpoint in warm-up that receives this multiple of its capacity during `overload_window` fails.
    pub overload_multiple: f64,
    /// See `overload_multiple`.
    pub overload_window: Span,
    /// The most attempts of one request.
    pub max_attempts: u8,
    /// Whether a request may have two attempts in flight at the same time.
    pub hedged_requests: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// The longest `Retry-After` that clients respect; zero where they can't be given one.
    pub max_retry_after: Span,
    /// Whether the billed value counts per unit of work and not per request.
    pub is_value_per_work: bool,
    /// Whether listed sizes are capacities and not momentary figures.
    pub sizes_are_capacities: bool,
}

impl Settings {
    /// Whether the node asks the origin for what a cache misses; otherwise caches fetch it by themselves.
    pub fn is_cache_aside(&self) -> bool {
        self.origin.is_some()
    }

    /// The shortest latency objective of the request classes on offer.
    pub fn tightest_slo(&self) -> Span {
        self.request_classes
            .iter()
            .filter(|class| class.is_offered)
            .map(|class| class.slo)
            .min()
            .unwrap_or_default()
    }

    /// The terms of a request class.
    pub(crate) fn request_class(&self, id: RequestClassId) -> &RequestClass {
        &self.request_classes[usize::from(id.0)]
    }
}

/// The terms of a class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    /// The latency objective.
    pub slo: Span,
    /// The value of an answer within the latency objective.
    pub billed_value: f64,
    /// The share of the billed value that an answer after the latency objective has.
    pub value_after_slo: f64,
    /// Whether clients can ask for it. Classes that are not on offer stand for requests that arrived under
    /// former settings.
    pub is_offered: bool,
    /// What executing a request twice would do.
    pub effect: Effect,
}

/// What executing a request twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing more than executing it once.
    Idempotent,
    /// Repeats are recognized and dropped.
    Deduplicated {
        /// The endpoints among which a repeat is recognized.
        scope: DedupScope,
        /// How long after the first attempt that may have executed the request.
        window: Span,
    },
    /// Harm: the request must not be executed twice.
    NonIdempotent,
}

/// The endpoints among which a repeated request is recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All endpoints.
    All,
    /// Those in the zone of the first attempt's endpoint.
    Zone,
    /// Those in the cell of the first attempt's endpoint.
    Cell,
}
