//! The watch on discovery's endpoint list.
//!
//! One watch request is current at a time. The head of its response must arrive within [`RESPONSE_TIMEOUT`];
//! after the head, each complete line has a timeout of its own. At most one former watch is read as well,
//! until a complete line has arrived on the current watch.

mod line_decoder;
mod stream;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use granitelb_balancer::time::{Span, Time};

use self::stream::WatchStream;
use crate::http::{EndpointEntry, EndpointListUpdate, EndpointState};
use crate::transport::{CloseReason, Connection, ConnectionId, Owner, ReadinessEvent, Transport};

/// A watch request without a response head within this time is abandoned and repeated at once. Discovery
/// rejects requests that would wait for over 2 s. With a delay before the repeated request, its response
/// would arrive more than 6 s after discovery is available again.
const RESPONSE_TIMEOUT: Span = Span::from_millis(2500);
/// The most endpoints that are remembered as reported ended by a former watch.
const MAX_ENDED_ENDPOINTS: usize = 4096;

/// An event of the watch on the endpoint list.
pub(super) enum WatchEvent {
    /// An endpoint list was received.
    Update(EndpointListUpdate),
    /// The watch could not be opened, or was lost.
    Failed,
}

/// An endpoint that accepts no new requests, and the revision at which a former watch reported that.
struct EndedEndpoint {
    revision: u64,
    entry: EndpointEntry,
}

/// The watch on the endpoint list.
pub(super) struct DiscoveryWatch {
    owner: Owner,
    discovery: SocketAddr,
    connect_timeout: Span,
    /// The last revision received at the current address.
    revision: Option<u64>,
    current: Option<WatchStream>,
    /// The watch at a former address of discovery, or a watch on which lines stopped arriving. It is read
    /// until the current watch is established.
    former: Option<WatchStream>,
    /// The endpoints that a former watch at the same address has reported as ended since the current watch
    /// was requested, by their `uid`. Earlier reports are not kept: the response to the current request is
    /// newer.
    ended: BTreeMap<String, EndedEndpoint>,
}

impl DiscoveryWatch {
    /// Creates a watch that is not open. `revision` is the revision of the list that the node already has.
    pub(super) fn new(
        owner: Owner,
        discovery: SocketAddr,
        connect_timeout: Span,
        revision: Option<u64>,
    ) -> DiscoveryWatch {
        DiscoveryWatch {
            owner,
            discovery,
            connect_timeout,
            revision: revision.filter(|revision| *revision > 0),
            current: None,
            former: None,
            ended: BTreeMap::new(),
        }
    }

    /// Moves the watch to another address of discovery. Returns an event if the new watch fails at once.
    pub(super) fn set_discovery(
        &mut self,
        transport: &mut Transport,
        now: Time,
        discovery: SocketAddr,
        connect_timeout: Span,
    ) -> Option<WatchEvent> {
        self.connect_timeout = connect_timeout;
        if discovery == self.discovery {
            return None;
        }
        log::info!(
            event = "discovery_endpoint_changed";
            "discovery address changed: moving the watch on the endpoint list from {} to {discovery}",
            self.discovery
        );
        self.discovery = discovery;
        // Discovery at the new address may count revisions differently, so the complete list is requested.
        // Applying that list changes only the entries that differ.
        self.revision = None;
        if self.is_established() {
            close(transport, &mut self.former, CloseReason::NoLongerNeeded);
            self.former = self.current.take();
        }
        self.open(transport, now)
    }

    fn is_established(&self) -> bool {
        self.current.as_ref().is_some_and(WatchStream::is_established)
    }

    fn is_former(&self, id: ConnectionId) -> bool {
        self.former.as_ref().is_some_and(|stream| stream.connection.id() == id)
    }

    /// Requests a watch, unless a watch is established or its request may still be answered. Returns an event
    /// if the request fails at once.
    pub(super) fn request(&mut self, transport: &mut Transport, now: Time) -> Option<WatchEvent> {
        let is_open =
            self.current.as_ref().is_some_and(|stream| stream.is_established() || now < stream.deadline);
        if is_open {
            return None;
        }
        self.open(transport, now)
    }

    /// Requests a watch, and closes the current one if there is one.
    fn open(&mut self, transport: &mut Transport, now: Time) -> Option<WatchEvent> {
        close(transport, &mut self.current, CloseReason::DeadlineExceeded);
        self.ended.clear();
        let mut connection = match Connection::connect(transport, self.discovery, self.owner) {
            Ok(connection) => connection,
            Err(reason) => {
                log::warn!(
                    event = "watch_lost", reason:? = reason;
                    "cannot connect to discovery at {} for the endpoint list: {reason:?}", self.discovery
                );
                return Some(WatchEvent::Failed);
            }
        };
        let after = self.revision.map(|revision| format!("&after={revision}")).unwrap_or_default();
        let host = self.discovery;
        let request = format!("GET /registry/instances?watch=1{after} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        connection.output.push(request.as_bytes());
        let deadline = now + RESPONSE_TIMEOUT;
        transport.timers.set(connection.id(), deadline.min(now + self.connect_timeout));
        self.current = Some(WatchStream::new(self.discovery, connection, deadline));
        None
    }

    /// Handles an event of a connection to discovery.
    pub(super) fn on_event(
        &mut self,
        transport: &mut Transport,
        now: Time,
        event: ReadinessEvent,
    ) -> Vec<WatchEvent> {
        if self.is_former(event.id) {
            self.on_former_event(transport, now, event)
        } else {
            self.on_current_event(transport, now, event)
        }
    }

    fn on_former_event(
        &mut self,
        transport: &mut Transport,
        now: Time,
        event: ReadinessEvent,
    ) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        let Some(stream) = &mut self.former else { return events };
        // Discovery at another address may count revisions differently: its revisions are not comparable.
        let is_same_discovery = stream.address == self.discovery;
        let result = stream.on_event(transport, now, event, &mut events);
        if is_same_discovery {
            for list in lists(&events) {
                record_ended(&mut self.ended, list);
            }
        }
        let has_lists = lists(&events).next().is_some();
        if let Err(reason) = result {
            // No event is needed: another watch was requested already.
            close(transport, &mut self.former, reason);
        } else if self.is_established() {
            close(transport, &mut self.former, CloseReason::NoLongerNeeded);
        }
        // The balancer takes a list as a sign that the watch is open. Without a current watch, the event
        // makes the balancer request another one.
        if self.current.is_none() && has_lists {
            events.push(WatchEvent::Failed);
        }
        events
    }

    fn on_current_event(
        &mut self,
        transport: &mut Transport,
        now: Time,
        event: ReadinessEvent,
    ) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        let Some(stream) = &mut self.current else { return events };
        if stream.connection.id() != event.id {
            return events;
        }
        let was_established = stream.is_established();
        let result = stream.on_event(transport, now, event, &mut events);
        let is_newly_established = !was_established && stream.is_established();
        let revisions = || lists(&events).map(|list| list.revision).filter(|revision| *revision > 0);
        let first_revision = revisions().min().unwrap_or(u64::MAX);
        self.revision = revisions().last().or(self.revision);
        if is_newly_established {
            let later = self.take_ended_after(first_revision);
            events.extend(later.map(WatchEvent::Update));
        }
        if let Err(reason) = result {
            events.push(self.lose_current(transport, reason));
        } else if self.is_established() {
            close(transport, &mut self.former, CloseReason::NoLongerNeeded);
        }
        events
    }

    /// Returns the endpoints that a former watch has reported as ended after this revision.
    ///
    /// The response to the current watch request may have been written before those reports and arrive after
    /// them. Without these entries, an endpoint that is known to drain would get requests again until the
    /// current watch reports it too.
    fn take_ended_after(&mut self, revision: u64) -> Option<EndpointListUpdate> {
        let ended = std::mem::take(&mut self.ended);
        let later = ended.into_values().filter(|ended| ended.revision > revision);
        let entries: Vec<_> = later.map(|ended| ended.entry).collect();
        if entries.is_empty() {
            return None;
        }
        Some(EndpointListUpdate { revision, entries, ..EndpointListUpdate::default() })
    }

    /// Handles the timer of a connection to discovery: the connection was not established, the request was
    /// not answered, or no complete line arrived for too long.
    pub(super) fn on_timer(&mut self, transport: &mut Transport, id: ConnectionId) -> Option<WatchEvent> {
        if self.is_former(id) {
            // No event is needed: another watch was requested already.
            close(transport, &mut self.former, CloseReason::ConnectTimeout);
            return None;
        }
        if self.is_established() {
            // The watch may only be slow. It is read as the former watch, since its reports still count and a
            // new watch may take long to be established.
            log::warn!(
                event = "watch_lost", reason:? = CloseReason::PeerTimeout;
                "the endpoint list watch at discovery {} sent no line in time: requesting another watch",
                self.discovery
            );
            close(transport, &mut self.former, CloseReason::PeerTimeout);
            self.former = self.current.take();
            return Some(WatchEvent::Failed);
        }
        let now = transport.now();
        if self.has_unanswered_request(id, now) {
            return self.repeat_request(transport, now);
        }
        Some(self.lose_current(transport, CloseReason::ConnectTimeout))
    }

    fn has_unanswered_request(&self, id: ConnectionId, now: Time) -> bool {
        self.current.as_ref().is_some_and(|stream| stream.connection.id() == id && stream.deadline <= now)
    }

    /// Repeats a watch request that was not answered. The request is repeated without a delay: the node has
    /// already waited for the response, and after a further delay the next response would come too late.
    fn repeat_request(&mut self, transport: &mut Transport, now: Time) -> Option<WatchEvent> {
        log::warn!(
            event = "watch_lost", reason:? = CloseReason::PeerTimeout;
            "discovery at {} did not answer the request for the endpoint list in time: repeating the request",
            self.discovery
        );
        self.open(transport, now)
    }

    fn lose_current(&mut self, transport: &mut Transport, reason: CloseReason) -> WatchEvent {
        log::warn!(
            event = "watch_lost", reason:? = reason;
            "lost the watch on the endpoint list at discovery {}: {reason:?}", self.discovery
        );
        close(transport, &mut self.current, reason);
        WatchEvent::Failed
    }
}

fn lists(events: &[WatchEvent]) -> impl Iterator<Item = &EndpointListUpdate> {
    events.iter().filter_map(|event| match event {
        WatchEvent::Update(list) => Some(list),
        WatchEvent::Failed => None,
    })
}

fn close(transport: &mut Transport, stream: &mut Option<WatchStream>, reason: CloseReason) {
    if let Some(stream) = stream.take() {
        log::debug!("connection to discovery {} closed: {reason:?}", stream.address);
        stream.connection.close(transport);
    }
}

/// Records the endpoints that a former watch reports as ended, and removes those that it reports as active.
fn record_ended(ended: &mut BTreeMap<String, EndedEndpoint>, list: &EndpointListUpdate) {
    for entry in &list.entries {
        if entry.state == EndpointState::Active {
            ended.remove(&entry.uid);
        } else if ended.len() < MAX_ENDED_ENDPOINTS {
            let endpoint = EndedEndpoint { revision: list.revision, entry: entry.clone() };
            ended.insert(entry.uid.clone(), endpoint);
        }
    }
}
