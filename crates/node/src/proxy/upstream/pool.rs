//! The idle and the connecting connections to one endpoint, and how long connecting takes.

use granitelb_balancer::time::Span;

use crate::proxy::endpoint_directory::Incarnation;
use crate::transport::ConnectionId;

/// A connection that is not established after this multiple of the fastest connect time, plus
/// [`CONNECT_DELAY_MARGIN`], counts as delayed: its first packet may be lost, and the operating system
/// repeats that packet only a second later.
const CONNECT_DELAY_MULTIPLE: f64 = 3.0;
const CONNECT_DELAY_MARGIN: Span = Span::from_millis(10);
/// Until a first connection to the endpoint is established, a connection counts as delayed after this share
/// of the connect timeout.
const FIRST_CONNECT_DELAY_SHARE: f64 = 0.2;
/// The recorded fastest connect time grows by this factor with each connection, since network paths change.
const FASTEST_CONNECT_GROWTH: f64 = 1.05;

/// The idle and the connecting connections to one endpoint.
pub(super) struct EndpointPool {
    /// The process to which the connections lead.
    pub(super) incarnation: Incarnation,
    /// Idle connections, the most recently used one last.
    pub(super) idle: Vec<ConnectionId>,
    /// Connections that are not established yet, the oldest first.
    pub(super) connecting: Vec<ConnectionId>,
    /// The shortest time that a connection recently took to be established.
    fastest_connect: Option<Span>,
}

impl EndpointPool {
    /// An empty pool for the process that serves an endpoint.
    pub(super) fn new(incarnation: Incarnation) -> EndpointPool {
        EndpointPool { incarnation, idle: Vec::new(), connecting: Vec::new(), fastest_connect: None }
    }

    /// Records how long a connection took to be established.
    pub(super) fn record_connect_time(&mut self, connect_time: Span) {
        let fastest = match self.fastest_connect {
            Some(fastest) => fastest.scaled(FASTEST_CONNECT_GROWTH).min(connect_time),
            None => connect_time,
        };
        self.fastest_connect = Some(fastest);
    }

    /// The time after which a connecting connection counts as delayed. `connect_timeout` is the time in which
    /// the connection must be established.
    pub(super) fn connect_delay(&self, connect_timeout: Span) -> Span {
        match self.fastest_connect {
            Some(fastest) => fastest.scaled(CONNECT_DELAY_MULTIPLE) + CONNECT_DELAY_MARGIN,
            None => connect_timeout.scaled(FIRST_CONNECT_DELAY_SHARE),
        }
    }
}
