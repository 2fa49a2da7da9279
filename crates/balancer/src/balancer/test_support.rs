//! Fixtures for the unit tests of the balancer's components.

use crate::endpoint::EndpointUpdate;
use crate::ids::{CellId, EndpointId, Key, KindId, RequestClassId, ZoneId};
use crate::pending_request::{PendingRequest, RequestPriority, SentAttempt};
use crate::request::Request;
use crate::seeded_hash::SeededRandom;
use crate::settings::{Effect, RequestClass, Settings};
use crate::time::{Span, Time};

use super::endpoint_list::EndpointList;

pub const ORIGIN: EndpointId = EndpointId(99);
const CACHE_KIND: KindId = KindId(0);
const ORIGIN_KIND: KindId = KindId(1);

pub fn at(ms: u64) -> Time {
    Time(1_000_000_000) + Span::from_millis(ms)
}

/// Settings of a cache-aside site with one request class of this effect.
pub fn settings(effect: Effect) -> Settings {
    let class = RequestClass {
        slo: Span::from_millis(400),
        billed_value: 1.0,
        value_after_slo: 0.0,
        is_offered: true,
        effect,
    };
    Settings {
        origin: Some(ORIGIN_KIND),
        request_classes: vec![class],
        nodes: 1.0,
        list_on_request: false,
        max_poll_interval: Span::ZERO,
        only_draining_excludes: false,
        initial_capacity_share: 0.2,
        warmup_duration: Span::from_millis(20_000),
        overload_multiple: 3.0,
        overload_window: Span::from_millis(2000),
        max_attempts: 3,
        hedged_requests: false,
        may_cancel: true,
        max_retry_after: Span::ZERO,
        is_value_per_work: false,
        sizes_are_capacities: false,
    }
}

/// The list entry of a ready and warm endpoint; each endpoint has a zone and a cell of its own.
pub fn listed(id: EndpointId) -> EndpointUpdate {
    EndpointUpdate {
        id,
        kind: if id == ORIGIN { ORIGIN_KIND } else { CACHE_KIND },
        size: 1.0,
        zone: ZoneId(id.0 as u32),
        cell: CellId(id.0 as u32),
        ready: true,
        draining: false,
        started: None,
    }
}

/// An endpoint list of the caches 0 to `caches` − 1 and the origin.
pub fn endpoints(caches: u64, settings: &Settings) -> EndpointList {
    let mut updates: Vec<EndpointUpdate> = (0..caches).map(|id| listed(EndpointId(id))).collect();
    updates.push(listed(ORIGIN));
    let mut list = EndpointList::default();
    list.apply(at(0), &updates, true, settings, &mut SeededRandom::new(7));
    list.update_removed_endpoints(at(0));
    list
}

/// A pending read that arrived at time zero, with these attempts.
pub fn pending(attempts: Vec<SentAttempt>) -> PendingRequest {
    PendingRequest {
        request: read(),
        priority: RequestPriority { inverted_value: 0, sequence: 0 },
        slo_deadline: at(400),
        value_deadline: at(400),
        client_deadline: at(1000),
        queue_deadline: at(160),
        attempts,
        max_attempts: 3,
        retry_after: Span::ZERO,
        may_have_executed: None,
        excluded_endpoints: Vec::new(),
        missed_in_cache: false,
    }
}

pub fn read() -> Request {
    Request {
        request_class: RequestClassId(0),
        key: Key(1),
        client_timeout: Span::from_millis(1000),
        work: Some(Span::from_millis(10)),
        write: false,
    }
}

/// An attempt in flight since `sent_at`.
pub fn attempt(endpoint: u64, sent_at: Time) -> SentAttempt {
    SentAttempt { request: read(), endpoint: EndpointId(endpoint), sent_at, in_flight: true }
}
