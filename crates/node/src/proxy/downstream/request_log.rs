//! Logs requests that were rejected, and accepted ones of an unusual form: the first of each kind at level info, the
//! others at level debug. The metrics have all of them, so that a flood doesn't fill the log.

use std::fmt;
use std::net::SocketAddrV4;

use super::rejection::Rejection;
use super::unusual_form::UnusualForm;
use crate::http::MessageHead;
use crate::proxy::client_request_id::ClientRequestId;
use crate::transport::{Connection, ConnectionId};

/// How many messages of a kind are logged at level info between two reports of the metrics.
const LOGGED_OF_EACH_KIND: u64 = 3;
/// The most characters of a class that are logged: clients choose the text.
const MAX_CLASS_LENGTH: usize = 64;
/// Stands for what is not known.
const UNKNOWN: &str = "-";

/// What the log tells about a request.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestLabel {
    id: Option<ClientRequestId>,
    class: Option<Box<str>>,
}

impl RequestLabel {
    /// The label of a request whose head is valid HTTP.
    pub(super) fn of(head: &MessageHead) -> RequestLabel {
        RequestLabel::new(ClientRequestId::of(head), head.target.path_segments().next())
    }

    /// The label of a request with this identifier and class, as far as they are known.
    pub(super) fn new(id: Option<ClientRequestId>, class: Option<&str>) -> RequestLabel {
        let class = class.map(|class| class.chars().take(MAX_CLASS_LENGTH).collect::<String>().into());
        RequestLabel { id, class }
    }

    fn id(&self) -> &str {
        self.id.as_ref().map_or(UNKNOWN, ClientRequestId::as_str)
    }

    fn class(&self) -> &str {
        self.class.as_deref().unwrap_or(UNKNOWN)
    }
}

/// The connection of a client, as the log names it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClientLabel {
    id: ConnectionId,
    peer: Option<SocketAddrV4>,
}

impl ClientLabel {
    /// The label of a connection.
    pub(super) fn of(connection: &Connection) -> ClientLabel {
        ClientLabel { id: connection.id(), peer: connection.peer_address() }
    }

    fn peer(&self) -> String {
        self.peer.map_or(UNKNOWN.into(), |peer| peer.to_string())
    }
}

impl fmt::Display for ClientLabel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "connection {} from {}", self.id, self.peer())
    }
}

/// Logs a rejection, the `count`th for its reason.
pub(super) fn log_rejection(client: ClientLabel, request: &RequestLabel, rejection: Rejection, count: u64) {
    log::log!(
        level_of(count),
        event = "message_rejected", connection:% = client.id, peer = client.peer(), status = rejection.status(),
        reason = rejection.name(), request_id = request.id(), class = request.class();
        "rejected a message on {client} with status {}: {rejection}; request {}, class {}",
        rejection.status(), request.id(), request.class()
    );
}

/// Logs an accepted request of an unusual form, the `count`th of this form.
pub(super) fn log_unusual_form(client: ClientLabel, request: &RequestLabel, form: UnusualForm, count: u64) {
    log::log!(
        level_of(count),
        event = "unusual_request", connection:% = client.id, peer = client.peer(), form = form.name(),
        request_id = request.id(), class = request.class();
        "accepted a request of an unusual form on {client}: {}; request {}, class {}",
        form.name(), request.id(), request.class()
    );
}

/// Whether the `count`th message of a kind is logged at the current level.
pub(super) fn is_logged(count: u64) -> bool {
    log::log_enabled!(level_of(count))
}

fn level_of(count: u64) -> log::Level {
    if count <= LOGGED_OF_EACH_KIND { log::Level::Info } else { log::Level::Debug }
}
