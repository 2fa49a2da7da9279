//! An upstream side with one endpoint, over real loopback connections.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::time::{Span, Time};
use granitelb_balancer::{Attempt, AttemptOutcome, EndpointUpdate, Request};
use granitelb_node::http::{Headers, Message, MessageHead, RequestTarget};
use granitelb_node::proxy::{
    ClientRequestId, FinalResponse, KnownEndpoint, RequestTable, TurnContext, Upstream,
};
use granitelb_node::transport::{ConnectionId, Owner, ReadinessEvent, Transport};

const ENDPOINT: EndpointId = EndpointId(7);
const UPSTREAM: Owner = Owner(2);
const CLIENT: Owner = Owner(9);
const CONNECT_TIMEOUT: Span = Span::from_millis(5000);
const KEEP_ALIVE: Span = Span::from_millis(60_000);
pub const REQUEST_TIMEOUT: Span = Span::from_millis(1200);
/// The longest time that a test waits for an event; every event comes sooner.
const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// The endpoint's receive buffer. It is far smaller than the tests' long messages, so that the node cannot
/// send one completely before the endpoint reads.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// The interval at which the fixture looks for a new connection.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// The longest time that one poll for events takes.
const EVENT_WAIT: Span = Span::from_millis(20);

/// The upstream side of a node, and an endpoint.
///
/// The test sets the clock and decides when the node handles the events of its sockets. A test can thus force
/// each order of two events.
pub struct Fixture {
    pub transport: Transport,
    pub requests: RequestTable,
    upstream: Upstream,
    now: Time,
    /// How long the node is held up in each turn, after it has read its clock.
    pub held_up: Span,
    listener: TcpListener,
    client: ConnectionId,
    last_request: u64,
}

impl Fixture {
    pub fn new() -> Fixture {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback address");
        rustix::net::sockopt::set_socket_recv_buffer_size(&listener, RECEIVE_BUFFER_BYTES).expect("a socket");
        let mut transport = Transport::new(64).expect("epoll");
        let client = transport.register_readable(&listener, CLIENT).expect("epoll");
        let mut fixture = Fixture {
            transport,
            requests: RequestTable::default(),
            upstream: Upstream::new(UPSTREAM, CONNECT_TIMEOUT, KEEP_ALIVE),
            now: Time(1_000_000_000),
            held_up: Span::ZERO,
            listener,
            client,
            last_request: 0,
        };
        fixture.set_listed(true);
        fixture
    }

    /// Calls the upstream side in a turn at the current time.
    fn with_upstream<T>(&mut self, call: impl FnOnce(&mut Upstream, &mut TurnContext<'_>) -> T) -> T {
        let mut turn =
            TurnContext { transport: &mut self.transport, requests: &mut self.requests, now: self.now };
        let result = call(&mut self.upstream, &mut turn);
        self.now = self.now + self.held_up;
        self.upstream.end_turn(self.now);
        result
    }

    /// Lists the endpoint, or removes it from the list.
    pub fn set_listed(&mut self, is_listed: bool) {
        let update = EndpointUpdate {
            id: ENDPOINT,
            kind: KindId(0),
            size: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            ready: true,
            draining: false,
            started: None,
        };
        let mut endpoints = BTreeMap::new();
        if is_listed {
            let address = self.listener.local_addr().expect("an address");
            endpoints.insert(ENDPOINT, KnownEndpoint { address, update });
        }
        self.with_upstream(|upstream, turn| upstream.set_endpoints(turn, &endpoints));
    }

    /// Sends a new request to the endpoint.
    pub fn send(&mut self, method: &str, body: Vec<u8>) -> (RequestId, AttemptNumber) {
        self.send_within(REQUEST_TIMEOUT, method, body)
    }

    /// Sends a new request that must not be executed twice.
    pub fn send_non_idempotent(&mut self) -> RequestId {
        self.send_attempt(REQUEST_TIMEOUT, false, "GET", Vec::new()).0
    }

    /// Sends a new request by an attempt that may only start within this time.
    pub fn send_within(
        &mut self,
        begin_within: Span,
        method: &str,
        body: Vec<u8>,
    ) -> (RequestId, AttemptNumber) {
        self.send_attempt(begin_within, true, method, body)
    }

    fn send_attempt(
        &mut self,
        begin_within: Span,
        is_idempotent: bool,
        method: &str,
        body: Vec<u8>,
    ) -> (RequestId, AttemptNumber) {
        self.last_request += 1;
        let number = self.last_request;
        let head = MessageHead {
            method: method.into(),
            target: RequestTarget::parse(&format!("/read/k{number}")).expect("a target"),
            headers: Headers::from_iter([("Host", "n")]),
            ..MessageHead::default()
        };
        let request = Request {
            request_class: RequestClassId(0),
            key: Key(number),
            client_timeout: REQUEST_TIMEOUT,
            work: None,
            write: method != "GET",
        };
        let client_request_id = ClientRequestId::parse(&format!("r{number}")).expect("an identifier");
        let message = Message { head, body };
        let inserted = self.requests.insert(self.now, self.client, request, client_request_id, message);
        let id = inserted.expect("an unused client request id");
        let attempt_number = self.requests.start_attempt(id).expect("a pending request");
        let attempt = Attempt {
            request: id,
            endpoint: ENDPOINT,
            timeout: REQUEST_TIMEOUT,
            begin_within,
            is_idempotent,
        };
        self.with_upstream(|upstream, turn| upstream.send(turn, &attempt, attempt_number));
        (id, attempt_number)
    }

    /// Sends a new read to the endpoint.
    pub fn send_read(&mut self) -> RequestId {
        self.send("GET", Vec::new()).0
    }

    /// Cancels an attempt.
    pub fn cancel(&mut self, request: RequestId, number: AttemptNumber) {
        self.with_upstream(|upstream, turn| upstream.cancel(turn, request, number));
    }

    /// Returns the events of the node's sockets that arrive within [`EVENT_WAIT`].
    pub fn poll_events(&mut self) -> Vec<ReadinessEvent> {
        let deadline = self.transport.now() + EVENT_WAIT;
        let events = self.transport.wait(Some(deadline)).expect("epoll");
        events.into_iter().filter(|event| event.id.owner() == UPSTREAM).collect()
    }

    /// Waits for events of the node's sockets and returns them.
    pub fn wait_for_events(&mut self) -> Vec<ReadinessEvent> {
        let start = Instant::now();
        loop {
            let events = self.poll_events();
            if !events.is_empty() {
                return events;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "no event of the node's sockets arrived");
        }
    }

    /// Lets the node handle events.
    pub fn handle_events(&mut self, events: Vec<ReadinessEvent>) {
        for event in events {
            self.with_upstream(|upstream, turn| upstream.on_event(turn, event));
        }
    }

    /// Waits until data arrives at the node, and lets the node read it.
    pub fn wait_until_read(&mut self) {
        loop {
            let events = self.wait_for_events();
            let is_readable = events.iter().any(|event| event.readable);
            self.handle_events(events);
            if is_readable {
                return;
            }
        }
    }

    /// Lets the node handle the events of its sockets, and then its timers.
    pub fn run_turn(&mut self) {
        let events = self.poll_events();
        self.handle_events(events);
        self.run_timers();
    }

    /// Lets the node handle its timers.
    pub fn run_timers(&mut self) {
        while let Some(id) = self.transport.timers.pop_due(self.now) {
            self.with_upstream(|upstream, turn| upstream.on_timer(turn, id));
        }
    }

    /// Runs turns until `check` returns a value, and returns that value.
    fn wait_until<T>(&mut self, awaited: &str, mut check: impl FnMut(&mut Fixture) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = check(self) {
                return found;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "{awaited} did not come within {TEST_TIMEOUT:?}");
            self.run_turn();
        }
    }

    /// The time of the clock.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Advances the clock.
    pub fn advance_ms(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
    }

    /// Accepts a connection as the endpoint.
    pub fn accept(&self) -> TcpStream {
        let start = Instant::now();
        loop {
            if let Some(stream) = self.accept_if_connected() {
                return stream;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "the node opened no connection to the endpoint");
            std::thread::sleep(ACCEPT_POLL_INTERVAL);
        }
    }

    /// Accepts a connection as the endpoint, if the node has opened one.
    pub fn accept_if_connected(&self) -> Option<TcpStream> {
        self.listener.set_nonblocking(true).expect("a socket");
        let accepted = self.listener.accept();
        self.listener.set_nonblocking(false).expect("a socket");
        let (stream, _) = accepted.ok()?;
        // Otherwise the system could hold a response back until the node has acknowledged the one before.
        stream.set_nodelay(true).expect("a socket");
        stream.set_nonblocking(false).expect("a socket");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        Some(stream)
    }

    /// Whether the node has opened a connection that the endpoint has not accepted. Accepts and closes it.
    pub fn has_unaccepted_connection(&self) -> bool {
        self.accept_if_connected().is_some()
    }

    /// Waits for the end of a request's attempt, and returns the outcome.
    pub fn wait_for_outcome(&mut self, request: RequestId) -> AttemptOutcome {
        let finished =
            self.wait_until("the end of an attempt", |fixture| fixture.requests.poll_finished_attempt());
        assert_eq!(finished.request, request);
        finished.result.outcome
    }

    /// The body of the final response to a request, if the endpoint has sent one.
    pub fn poll_final_response(&mut self, request: RequestId) -> Option<Vec<u8>> {
        let undelivered = self.requests.poll_response()?;
        assert_eq!(undelivered.request, request, "the final response answers another request");
        match undelivered.response {
            FinalResponse::Upstream(message) => Some(message.body),
            FinalResponse::Local(_) | FinalResponse::ClientDisconnected => {
                panic!("the final response is not from the endpoint")
            }
        }
    }
}

/// Reads the head of a message byte by byte, so that nothing after the head is consumed. Returns `None` at
/// the end of the connection.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Ok(_) => return None,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
            Err(error) => panic!("cannot read the head of a message: {error}"),
        }
    }
    Some(String::from_utf8(head).expect("text"))
}

/// Whether the node has sent nothing on an open connection.
pub fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let read = stream.read(&mut [0; 64]);
    stream.set_nonblocking(false).expect("a socket");
    read.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// The text of a successful response with this body.
pub fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

/// Writes text to a connection.
pub fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("a connection");
}

/// Closes a connection by a reset.
pub fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket");
}
