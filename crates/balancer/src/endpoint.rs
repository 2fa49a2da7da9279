//! Endpoints as service discovery lists them, and the load that endpoints report.

use crate::ids::{CellId, EndpointId, KindId, ZoneId};
use crate::time::{Span, Time};

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    /// The endpoint's identifier.
    pub id: EndpointId,
    /// The endpoint's kind, which distinguishes the origin from the caches.
    pub kind: KindId,
    /// The endpoint's size: a capacity if the settings say so, otherwise a value that holds only for the
    /// moment.
    pub size: f64,
    /// The zone that the endpoint runs in.
    pub zone: ZoneId,
    /// The cell that the endpoint belongs to.
    pub cell: CellId,
    /// Whether new attempts may be sent to the endpoint, which is then neither draining nor gone.
    pub ready: bool,
    /// Whether the endpoint finishes its attempts in flight and may get no new ones. An endpoint that is
    /// neither draining nor ready is gone.
    pub draining: bool,
    /// When the endpoint last started; `None` if it started long ago.
    pub started: Option<Time>,
}

/// Whether an endpoint is a cache or the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointRole {
    /// A cache server.
    Cache,
    /// The origin, which holds every key and receives the writes of cache-aside sites.
    Origin,
}

/// An endpoint's report of its own load. A metric that the endpoint does not report is `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests that the endpoint holds, including queued requests.
    pub requests_held: Option<f64>,
    /// The number of requests in the endpoint's queue.
    pub requests_queued: Option<f64>,
    /// The recent service time of a request, without queueing time.
    pub service_time: Option<Span>,
    /// The number of requests that the endpoint serves per second.
    pub requests_per_s: Option<f64>,
}
