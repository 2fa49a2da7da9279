//! The idle and the connecting connections to one endpoint, and what was observed on its connections.

use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};

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

/// Until an endpoint has sent no unsolicited data for this time, it gets no request on a connection that was
/// used just before: a new connection is opened instead.
const UNSOLICITED_DATA_WINDOW: Span = Span::from_millis(10_000);
/// How long the responses of an endpoint count as uniform after no response followed a supposed duplicate.
const UNIFORM_RESPONSES_TIME: Span = Span::from_millis(300_000);

/// The idle and the connecting connections to one endpoint.
pub(super) struct EndpointPool {
    pub(super) address: SocketAddr,
    /// Idle connections, the most recently used one last.
    pub(super) idle: Vec<ConnectionId>,
    /// Connections that are not established yet, the oldest first.
    pub(super) connecting: Vec<ConnectionId>,
    /// The shortest time that a connection recently took to be established.
    fastest_connect: Option<Span>,
    /// Until when unsolicited data from the endpoint counts as recent.
    unsolicited_data_until: Time,
    /// Until when the endpoint's responses count as equal from request to request, so that duplicates cannot
    /// be detected.
    uniform_responses_until: Time,
}

impl EndpointPool {
    /// An empty pool for an endpoint at this address.
    pub(super) fn new(address: SocketAddr) -> EndpointPool {
        EndpointPool {
            address,
            idle: Vec::new(),
            connecting: Vec::new(),
            fastest_connect: None,
            unsolicited_data_until: Time(0),
            uniform_responses_until: Time(0),
        }
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

    /// Records that the endpoint has sent unsolicited data.
    pub(super) fn record_unsolicited_data(&mut self, now: Time) {
        self.unsolicited_data_until = now + UNSOLICITED_DATA_WINDOW;
    }

    /// Whether the endpoint has sent unsolicited data within [`UNSOLICITED_DATA_WINDOW`].
    pub(super) fn has_recent_unsolicited_data(&self, now: Time) -> bool {
        self.unsolicited_data_until > now
    }

    /// Records that the endpoint's responses are equal from request to request.
    pub(super) fn mark_uniform_responses(&mut self, now: Time) {
        self.uniform_responses_until = now + UNIFORM_RESPONSES_TIME;
    }

    /// Whether the endpoint's responses count as equal from request to request.
    pub(super) fn has_uniform_responses(&self, now: Time) -> bool {
        self.uniform_responses_until > now
    }
}
