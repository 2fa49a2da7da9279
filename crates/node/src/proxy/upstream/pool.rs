//! The connections to one endpoint that are not in use, and what is known of the endpoint's connections.

use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};

use crate::transport::ConnectionId;

/// A connection that is not established after this multiple of the fastest connect time, plus
/// [`CONNECT_DELAY_MARGIN`], is delayed: its first packet may be lost, and the system repeats it a second
/// later only.
const CONNECT_DELAY_MULTIPLE: f64 = 3.0;
const CONNECT_DELAY_MARGIN: Span = Span::from_millis(10);
/// Where none was established yet, one is delayed after this share of the connect timeout.
const FIRST_CONNECT_DELAY_SHARE: f64 = 0.2;
/// The fastest connect time grows by this factor with each connection, as network paths change.
const FASTEST_CONNECT_GROWTH: f64 = 1.05;

/// An endpoint that has sent unsolicited data gets no request on another connection that has just been
/// used, until nothing of the kind has arrived for this time: a new connection is opened.
const SUSPICION_TIME: Span = Span::from_millis(10_000);
/// How long the responses of an endpoint count as uniform after nothing followed a supposed duplicate.
const UNIFORM_RESPONSES_TIME: Span = Span::from_millis(300_000);

/// The unused connections to one endpoint.
pub(super) struct EndpointPool {
    pub(super) address: SocketAddr,
    /// Idle connections, the one used last at the end.
    pub(super) idle: Vec<ConnectionId>,
    /// Connections that are not established yet, the oldest first.
    pub(super) connecting: Vec<ConnectionId>,
    /// The shortest time that a connection recently took to be established.
    fastest_connect: Option<Span>,
    /// Until when the endpoint is suspected of sending unsolicited data.
    suspect_until: Time,
    /// Until when its responses count as equal from request to request, so that duplicates cannot be
    /// detected.
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
            suspect_until: Time(0),
            uniform_responses_until: Time(0),
        }
    }

    /// Records how long a connection took to be established.
    pub(super) fn record_connect_time(&mut self, took: Span) {
        let fastest = match self.fastest_connect {
            Some(fastest) => fastest.scaled(FASTEST_CONNECT_GROWTH).min(took),
            None => took,
        };
        self.fastest_connect = Some(fastest);
    }

    /// After how long a connecting connection is delayed, where `connect_timeout` is the time that it has.
    pub(super) fn connect_delay(&self, connect_timeout: Span) -> Span {
        match self.fastest_connect {
            Some(fastest) => fastest.scaled(CONNECT_DELAY_MULTIPLE) + CONNECT_DELAY_MARGIN,
            None => connect_timeout.scaled(FIRST_CONNECT_DELAY_SHARE),
        }
    }

    /// Records that the endpoint has sent unsolicited data.
    pub(super) fn mark_suspect(&mut self, now: Time) {
        self.suspect_until = now + SUSPICION_TIME;
    }

    /// Whether the endpoint has recently sent unsolicited data.
    pub(super) fn is_suspect(&self, now: Time) -> bool {
        self.suspect_until > now
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
