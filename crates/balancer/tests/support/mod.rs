//! Fixtures for the integration tests of the balancer.

#![allow(dead_code, reason = "each test crate uses a part of this module")]

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::ids::{CellId, EndpointId, KindId, ZoneId};
use granitelb_balancer::settings::{Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;

/// The kind of caches in the endpoint list.
pub const CACHE_KIND: KindId = KindId(0);
/// The kind of the origin in the endpoint list.
pub const ORIGIN_KIND: KindId = KindId(1);

/// The settings of a cache-aside site with one node.
pub fn settings(request_classes: Vec<RequestClass>) -> Settings {
    Settings {
        origin: Some(ORIGIN_KIND),
        request_classes,
        nodes: 1.0,
        list_on_request: false,
        max_poll_interval: Span::from_millis(10_000),
        only_draining_excludes: false,
        initial_capacity_share: 0.2,
        warmup_duration: Span::from_millis(20_000),
        overload_multiple: 3.0,
        overload_window: Span::from_millis(2000),
        max_attempts: 3,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: Span::from_millis(1500),
        is_value_per_work: false,
        sizes_are_capacities: false,
    }
}

/// A request class whose answers have no value after the latency objective.
pub fn request_class(slo: Span, effect: Effect) -> RequestClass {
    RequestClass { slo, billed_value: 1.0, value_after_slo: 0.0, is_offered: true, effect }
}

/// The list entry of a ready and warm endpoint.
pub fn listed(endpoint: EndpointId, kind: KindId) -> EndpointUpdate {
    EndpointUpdate {
        id: endpoint,
        kind,
        size: 1.0,
        zone: ZoneId(0),
        cell: CellId(0),
        ready: true,
        draining: false,
        started: None,
    }
}
