//! What the host tells a [`Balancer`](crate::balancer::Brain) once, at its start.

use crate::ids::KindId;
use crate::time::Span;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The kind that the list names the origin by: a node asks it for what caches lack, and for writes. None where
    /// caches fetch what they lack themselves.
    pub origin: Option<KindId>,
    pub request_classes: Vec<RequestClass>,
    /// How many nodes there are, this one included.
    pub nodes: f64,
    /// Whether the list of caches only comes when asked for.
    pub list_on_request: bool,
    /// How long a node without a watch may go without asking.
    pub max_poll_interval: Span,
    /// Whether new work is barred only from caches that were listed as draining: the list's word that one is gone, or
    /// its silence on one, proves nothing.
    pub only_draining_binds: bool,
    /// The share of its capacity that a cache starts with at least.
    pub cold_from: f64,
    /// How long after its start a cache is warm at the latest.
    pub warm_after: Span,
    /// A cold cache sent this many times what it can do, for `fall_window`, falls over.
    pub fall_multiple: f64,
    pub fall_window: Span,
    pub max_attempts: u8,
    pub hedged_requests: bool,
    pub may_cancel: bool,
    /// The longest wait that clients heed; zero where they can't be told.
    pub max_retry_after: Span,
    /// Whether billed value counts per unit of work and not per API call.
    pub value_by_work: bool,
    /// Whether listed sizes are capacities, not momentary figures.
    pub steady_sizes: bool,
}

impl Settings {
    /// Whether caches say what they lack and the node asks the origin, or they fetch it themselves.
    pub fn is_cache_aside(&self) -> bool {
        self.origin.is_some()
    }

    /// The SLO of the product with the least time.
    pub fn tightest_slo(&self) -> Span {
        self.request_classes.iter().filter(|p| p.offered).map(|p| p.slo).min().unwrap_or_default()
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct RequestClass {
    pub slo: Span,
    pub billed_value: f64,
    /// The part of it that an answer after the SLO is worth.
    pub value_after_slo: f64,
    /// Whether it can be asked for: others stand for calls that were taken under former settings.
    pub offered: bool,
    pub effect: Effect,
}

/// What running an API call twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Repeats are dropped within the scope, for the window from the first shot that may have run.
    Deduplicated {
        scope: DedupScope,
        window: Span,
    },
    NonIdempotent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    All,
    Zone,
    Cell,
}
