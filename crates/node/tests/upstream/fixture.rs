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
use granitelb_node::http::{Message, MessageHead};
use granitelb_node::proxy::{FinalResponse, KnownEndpoint, RequestTable, TurnContext, Upstream};
use granitelb_node::transport::{ConnectionId, Owner, ReadinessEvent, Transport};

const ENDPOINT: EndpointId = EndpointId(7);
const UPSTREAM: Owner = Owner(2);
const CLIENT: Owner = Owner(9);
const CONNECT_TIMEOUT: Span = Span::from_millis(5000);
const KEEP_ALIVE: Span = Span::from_millis(60_000);
pub const REQUEST_TIMEOUT: Span = Span::from_millis(1200);
/// The share of a request's time after which a supposed duplicate is given up.
const DUPLICATE_WAIT_SHARE: f64 = 0.25;
/// Longer than anything takes that is waited for.
const TEST_TIMEOUT: Duration = Duration::from_secs(8);
/// Far less than the long messages of the tests: they stay with the node until they are read.
const RECEIVE_BUFFER_BYTES: usize = 4096;
/// How often a connection is looked for.
const ACCEPT_POLL: Duration = Duration::from_millis(1);
/// How long events are waited for.
const EVENT_WAIT: Span = Span::from_millis(20);

/// A node's upstream side and an endpoint.
///
/// The clock is the test's, and the node sees events of its sockets only when the test lets it, so that each
/// order of two events is forced.
pub struct Fixture {
    pub transport: Transport,
    pub requests: RequestTable,
    upstream: Upstream,
    now: Time,
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
            listener,
            client,
            last_request: 0,
        };
        fixture.set_listed(true);
        fixture
    }

    /// Calls the upstream side.
    fn with_upstream<T>(&mut self, call: impl FnOnce(&mut Upstream, &mut TurnContext<'_>) -> T) -> T {
        let mut turn =
            TurnContext { transport: &mut self.transport, requests: &mut self.requests, now: self.now };
        call(&mut self.upstream, &mut turn)
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

    /// Sends a new request that must not run twice.
    pub fn send_non_idempotent(&mut self) -> RequestId {
        self.send_attempt(REQUEST_TIMEOUT, false, "GET", Vec::new()).0
    }

    /// Sends a new request by an attempt that may start within this time.
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
            target: format!("/read/k{number}"),
            headers: vec![("Host".into(), b"n".to_vec())],
            ..MessageHead::default()
        };
        let request = Request {
            request_class: RequestClassId(0),
            key: Key(number),
            client_timeout: REQUEST_TIMEOUT,
            work: None,
            write: method != "GET",
        };
        let client_request_id = format!("r{number}").into();
        let message = Message { head, body };
        let inserted = self.requests.insert(self.client, request, client_request_id, message);
        let id = inserted.expect("a new identifier");
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

    /// The events that the node's sockets have by now.
    pub fn poll_events(&mut self) -> Vec<ReadinessEvent> {
        let deadline = self.transport.now() + EVENT_WAIT;
        let events = self.transport.wait(Some(deadline)).expect("epoll");
        events.into_iter().filter(|event| event.id.owner() == UPSTREAM).collect()
    }

    /// The events that the node's sockets have, once there are any.
    pub fn wait_for_events(&mut self) -> Vec<ReadinessEvent> {
        let start = Instant::now();
        loop {
            let events = self.poll_events();
            if !events.is_empty() {
                return events;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "no events");
        }
    }

    /// Lets the node handle events.
    pub fn handle_events(&mut self, events: Vec<ReadinessEvent>) {
        for event in events {
            self.with_upstream(|upstream, turn| upstream.on_event(turn, event));
        }
    }

    /// Lets the node read what has arrived, once there is something.
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

    /// Waits until the node has taken a response for a duplicate and waits for the one that follows.
    pub fn wait_for_duplicate(&mut self) {
        let deadline = self.now + REQUEST_TIMEOUT.scaled(DUPLICATE_WAIT_SHARE);
        self.wait_until("a duplicate", |fixture| {
            let finished = fixture.requests.poll_finished_attempt();
            assert!(finished.is_none(), "the duplicate was taken for the response");
            fixture.transport.timers.first().filter(|(at, _)| *at <= deadline)
        });
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

    /// Runs turns until `check` returns something.
    fn wait_until<T>(&mut self, what: &str, mut check: impl FnMut(&mut Fixture) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = check(self) {
                return found;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "waited in vain: {what}");
            self.run_turn();
        }
    }

    /// Advances the clock.
    pub fn advance_ms(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
    }

    /// Accepts a connection as the endpoint.
    pub fn accept(&self) -> TcpStream {
        self.listener.set_nonblocking(true).expect("a socket");
        let start = Instant::now();
        let stream = loop {
            if let Ok((stream, _)) = self.listener.accept() {
                break stream;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "no connection was opened");
            std::thread::sleep(ACCEPT_POLL);
        };
        self.listener.set_nonblocking(false).expect("a socket");
        stream.set_nonblocking(false).expect("a socket");
        stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a socket");
        stream
    }

    /// Whether the node has opened a connection that was not accepted yet.
    pub fn has_unaccepted_connection(&self) -> bool {
        self.listener.set_nonblocking(true).expect("a socket");
        let accepted = self.listener.accept();
        self.listener.set_nonblocking(false).expect("a socket");
        accepted.is_ok()
    }

    /// Serves some requests over one connection, each with a different response, and leaves the connection
    /// idle.
    pub fn connection_with_varied_responses(&mut self) -> TcpStream {
        let mut stream = None;
        for n in 0..6 {
            let request = self.send_read();
            let stream = stream.get_or_insert_with(|| self.accept());
            self.run_turn();
            read_head(stream).expect("a request");
            write(stream, &response(&format!("before-{n}")));
            assert_eq!(self.wait_for_outcome(request), AttemptOutcome::Fulfilled);
            self.poll_final_response(request);
            self.advance_ms(300);
        }
        stream.expect("a connection")
    }

    /// The outcome of an attempt, once it has ended.
    pub fn wait_for_outcome(&mut self, request: RequestId) -> AttemptOutcome {
        let finished =
            self.wait_until("the end of an attempt", |fixture| fixture.requests.poll_finished_attempt());
        assert_eq!(finished.request, request);
        finished.result.outcome
    }

    /// The body of the response that a request got from the endpoint, if it got one.
    pub fn poll_final_response(&mut self, request: RequestId) -> Option<Vec<u8>> {
        let undelivered = self.requests.poll_response()?;
        assert_eq!(undelivered.request, request, "a response to another request");
        match undelivered.response {
            FinalResponse::Upstream(message) => Some(message.body),
            FinalResponse::Local(_) | FinalResponse::ClientDisconnected => {
                panic!("a response of another kind")
            }
        }
    }
}

/// Reads the head of a message, byte by byte so that nothing after it is consumed; `None` at the end of the
/// connection.
pub fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Ok(_) => return None,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => return None,
            Err(error) => panic!("no message: {error}"),
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

/// A successful response with this body.
pub fn response(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

pub fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("a connection");
}

/// Resets a connection.
pub fn reset(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket");
}
