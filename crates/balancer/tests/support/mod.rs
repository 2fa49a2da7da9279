//! Set-up that the tests of the balancer share.

#![allow(dead_code, reason = "each test crate uses a part of it")]

use granitelb_balancer::EndpointUpdate;
use granitelb_balancer::ids::{CellId, EndpointId, KindId, ZoneId};
use granitelb_balancer::settings::{Effect, RequestClass, Settings};
use granitelb_balancer::time::Span;

/// The kind of caches, and the kind of the origin.
pub const CACHE_KIND: KindId = KindId(0);
pub const ORIGIN_KIND: KindId = KindId(1);

/// Cache-aside settings of one node.
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

/// A class whose answers are of no value after the latency objective.
pub fn request_class(slo: Span, effect: Effect) -> RequestClass {
    RequestClass { slo, billed_value: 1.0, value_after_slo: 0.0, is_offered: true, effect }
}

/// A list entry of an endpoint that is ready and warm.
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
