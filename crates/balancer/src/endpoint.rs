//! Endpoints as service discovery lists them, and the load that they report.

use crate::ids::{CellId, EndpointId, KindId, ZoneId};
use crate::time::{Span, Time};

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub id: EndpointId,
    /// Its kind, which tells the origin from the caches.
    pub kind: KindId,
    /// Its size; a capacity where the settings say so, else a momentary figure.
    pub size: f64,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The cell that it belongs to.
    pub cell: CellId,
    /// Whether new work may be sent: neither draining nor gone.
    pub ready: bool,
    /// Whether it finishes its work and gets nothing new; an endpoint that is neither draining nor ready is gone.
    pub draining: bool,
    /// When it last started; `None` if that was long ago.
    pub started: Option<Time>,
}

/// What an endpoint does for the keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointRole {
    /// A cache server.
    Cache,
    /// The origin, which holds every key and takes the writes of cache-aside sites.
    Origin,
}

/// What an endpoint reports of its load, as far as it does.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests that it holds, queued ones included.
    pub requests_held: Option<f64>,
    /// Requests in its queue.
    pub requests_queued: Option<f64>,
    /// The recent service time of a request, without queueing.
    pub service_time: Option<Span>,
    /// Requests that it serves in a second.
    pub requests_per_s: Option<f64>,
}
