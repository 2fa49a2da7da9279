//! The server side by itself, over real loopback connections: which events the node has seen when a call goes out, comes back
//! or is called off. Its clock is the test's, and it sees what its sockets have for it only when the test lets it, so that each
//! order of two events is forced.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use granitelb_balancer::calls::{Attempt, AttemptOutcome, EndpointUpdate, Request};
use granitelb_balancer::ids::{
    AttemptNumber, CellId, EndpointId, Key, KindId, RequestClassId, RequestId, ZoneId,
};
use granitelb_balancer::time::{Span, Time};
use granitelb_node::http::{Head, Message};
use granitelb_node::proxy::{Exchanges, FinalAnswer, Servers};
use granitelb_node::transport::{ConnId, Event, Owner, Transport};

const CACHE: EndpointId = EndpointId(7);
const CONNECT_LIMIT: Span = Span::from_millis(5000);
const KEEPALIVE: Span = Span::from_millis(60_000);
const TIMEOUT: Span = Span::from_millis(1200);
/// Longer than anything takes that is waited for.
const PATIENCE: Duration = Duration::from_secs(8);

/// A node's server side, and a cache.
struct Stage {
    transport: Transport,
    exchanges: Exchanges,
    servers: Servers,
    now: Time,
    cache: TcpListener,
    client: ConnId,
    calls: u64,
}

impl Stage {
    fn new() -> Stage {
        let cache = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a loopback address");
        // Far less than the long messages here: they stay with the node until they are read.
        rustix::net::sockopt::set_socket_recv_buffer_size(&cache, 4096).expect("a socket");
        let mut transport = Transport::new(64).expect("epoll");
        let client = transport.tell(&cache, Owner(9)).expect("epoll");
        let now = Time(1_000_000_000);
        let mut stage = Stage {
            transport,
            exchanges: Exchanges::default(),
            servers: Servers::new(Owner(2), CONNECT_LIMIT, KEEPALIVE),
            now,
            cache,
            client,
            calls: 0,
        };
        stage.list(true);
        stage
    }

    /// The list has the cache, or has it no more.
    fn list(&mut self, listed: bool) {
        let listing = EndpointUpdate {
            cache: CACHE,
            kind: KindId(0),
            size: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            ready: true,
            draining: false,
            started: None,
        };
        let at = self.cache.local_addr().expect("an address");
        let placed: BTreeMap<_, _> = listed.then_some((CACHE, (at, listing))).into_iter().collect();
        self.servers.place_all(&mut self.transport, &mut self.exchanges, self.now, &placed);
    }

    /// A call comes, and is sent to the cache.
    fn send(&mut self, method: &str, body: Vec<u8>) -> (RequestId, AttemptNumber) {
        self.send_within(TIMEOUT, method, body)
    }

    /// The same, by a shot that may begin for so long.
    fn send_within(&mut self, begin_within: Span, method: &str, body: Vec<u8>) -> (RequestId, AttemptNumber) {
        self.calls += 1;
        let head = Head {
            method: method.into(),
            target: format!("/read/k{}", self.calls),
            headers: vec![("Host".into(), b"n".to_vec())],
            ..Head::default()
        };
        let (request_class, key) = (RequestClassId(0), Key(self.calls));
        let call = Request { request_class, key, budget: TIMEOUT, work: None, write: method != "GET" };
        let (name, message) = (format!("r{}", self.calls).into(), Message { head, body });
        let id = self.exchanges.take(self.client, call, name, message).expect("a new name");
        let number = self.exchanges.shoot(id).expect("a call that waits");
        let shot = Attempt { request: id, cache: CACHE, give_up_after: TIMEOUT, begin_within };
        self.servers.send(&mut self.transport, &mut self.exchanges, self.now, &shot, number);
        (id, number)
    }

    fn read(&mut self) -> RequestId {
        self.send("GET", Vec::new()).0
    }

    /// What the node's sockets have for it by now.
    fn events(&mut self) -> Vec<Event> {
        let soon = self.transport.now() + Span::from_millis(20);
        let events = self.transport.wait(Some(soon)).expect("epoll");
        events.into_iter().filter(|e| e.id.owner() == Owner(2)).collect()
    }

    /// The same once there is anything.
    fn some_events(&mut self) -> Vec<Event> {
        let start = Instant::now();
        loop {
            let events = self.events();
            if !events.is_empty() {
                return events;
            }
            assert!(start.elapsed() < PATIENCE, "no events");
        }
    }

    /// The node takes in what it can read, once there is something.
    fn reads(&mut self) {
        loop {
            let events = self.some_events();
            let has_read = events.iter().any(|e| e.readable);
            for event in events {
                self.servers.event(&mut self.transport, &mut self.exchanges, self.now, event);
            }
            if has_read {
                return;
            }
        }
    }

    /// The node has seen an answer that it holds to be a copy, and waits for the one that follows.
    fn sees_a_copy(&mut self) {
        let by = self.now + TIMEOUT.scaled(0.25);
        self.until("a copy", |s| {
            assert!(s.exchanges.next_ended().is_none(), "the copy was taken for the answer");
            s.transport.timers.first().filter(|t| t.0 <= by)
        });
    }

    /// The node takes in what its sockets have, and then what its timers say.
    fn turn(&mut self) {
        for event in self.events() {
            self.servers.event(&mut self.transport, &mut self.exchanges, self.now, event);
        }
        self.timers();
    }

    fn timers(&mut self) {
        while let Some(id) = self.transport.timers.due(self.now) {
            self.servers.timer(&mut self.transport, &mut self.exchanges, self.now, id);
        }
    }

    /// Turns until there is something to show for it.
    fn until<T>(&mut self, what: &str, mut look: impl FnMut(&mut Stage) -> Option<T>) -> T {
        let start = Instant::now();
        loop {
            if let Some(found) = look(self) {
                return found;
            }
            assert!(start.elapsed() < PATIENCE, "waited in vain: {what}");
            self.turn();
        }
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now + Span::from_millis(ms);
    }

    fn accept(&self) -> TcpStream {
        let stream = self.cache.accept().expect("a connection").0;
        stream.set_read_timeout(Some(PATIENCE)).expect("a socket");
        stream
    }

    /// Whether the node has begun a connection that nobody has accepted yet.
    fn knocks(&self) -> bool {
        self.cache.set_nonblocking(true).expect("a socket");
        let came = self.cache.accept();
        self.cache.set_nonblocking(false).expect("a socket");
        came.is_ok()
    }

    /// Serves some calls, each by another answer, over one connection; and rests.
    fn has_served(&mut self) -> TcpStream {
        let mut cache = None;
        for n in 0..6 {
            let call = self.read();
            let cache = cache.get_or_insert_with(|| self.accept());
            self.turn();
            head(cache).expect("a message");
            write(cache, &answer(&format!("before-{n}")));
            assert_eq!(self.fate(call), AttemptOutcome::Fulfilled);
            self.given(call);
            self.pass(300);
        }
        cache.expect("a connection")
    }

    /// How a shot ended, once it has.
    fn fate(&mut self, of: RequestId) -> AttemptOutcome {
        let ended = self.until("a shot's end", |s| s.exchanges.next_ended());
        assert_eq!(ended.call, of);
        ended.end.outcome
    }

    /// What was given to a call from a cache's answer, if it was given one.
    fn given(&mut self, to: RequestId) -> Option<Vec<u8>> {
        match self.exchanges.poll_response() {
            Some((id, _, FinalAnswer::Fulfilled(message))) if id == to => Some(message.body),
            Some(_) => panic!("an answer for another call, or of another kind"),
            None => None,
        }
    }
}

/// Reads a message's head, byte by byte lest more is taken; the connection's end reads as none.
fn head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            Ok(_) => return None,
            Err(e) if e.kind() == ErrorKind::ConnectionReset => return None,
            Err(e) => panic!("no message: {e}"),
        }
    }
    Some(String::from_utf8(head).expect("text"))
}

/// Whether the node has sent nothing on a connection that stands.
fn is_silent(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let read = stream.read(&mut [0; 64]);
    stream.set_nonblocking(false).expect("a socket");
    read.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

fn told_ms(head: &str) -> u64 {
    let line = head.lines().find_map(|l| l.strip_prefix("X-Timeout-Ms: ")).expect("a time");
    line.parse().expect("a time")
}

fn answer(body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len())
}

fn write(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("a connection");
}

/// Ends a connection by a reset.
fn tear(stream: TcpStream) {
    rustix::net::sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).expect("a socket");
}

#[test]
fn a_cache_is_told_what_is_left_when_its_connection_is_up() {
    let mut stage = Stage::new();
    stage.read();
    let mut cache = stage.accept();
    stage.pass(700);
    stage.turn();
    assert_eq!(told_ms(&head(&mut cache).expect("a message")), 500);
}

#[test]
fn nothing_goes_out_when_a_connection_comes_up_as_the_time_is_up() {
    let mut stage = Stage::new();
    let call = stage.read();
    let mut cache = stage.accept();
    stage.pass(1200);
    // The two in one turn: that it is up is seen first.
    assert_eq!(stage.fate(call), AttemptOutcome::TimedOut);
    assert!(is_silent(&mut cache));
}

#[test]
fn a_connection_that_comes_up_for_a_client_that_has_left_serves_the_next_call() {
    let mut stage = Stage::new();
    let left = stage.read();
    let mut cache = stage.accept();
    stage.exchanges.leave(left);
    assert_eq!(stage.fate(left), AttemptOutcome::NotSent);
    assert!(is_silent(&mut cache));
    stage.pass(100);
    stage.read();
    assert!(!stage.knocks());
    assert!(head(&mut cache).expect("a message").starts_with("GET /read/k2 "));
}

#[test]
fn a_call_that_is_called_off_before_it_went_out_leaves_its_connection_to_the_next() {
    let mut stage = Stage::new();
    let (call, number) = stage.send("GET", Vec::new());
    let mut cache = stage.accept();
    stage.servers.recall(&mut stage.transport, &mut stage.exchanges, stage.now, call, number);
    assert_eq!(stage.fate(call), AttemptOutcome::Cancelled);
    stage.turn();
    stage.pass(100);
    stage.read();
    assert!(!stage.knocks());
    assert!(head(&mut cache).expect("a message").starts_with("GET /read/k2 "));
}

/// A late connection's shot, whose client has left, takes no idle connection with it.
#[test]
fn a_late_connection_for_a_client_that_has_left_ends_no_other() {
    let mut stage = Stage::new();
    let first = stage.read();
    let mut cache = stage.accept();
    stage.turn();
    head(&mut cache).expect("a message");
    let events = stage.events();
    assert!(events.is_empty(), "{events:?}");
    write(&mut cache, &answer("one"));
    // The second is sent while the first is out, and its connection's coming up is not seen.
    let events = stage.some_events();
    let second = stage.read();
    let mut beside = stage.accept();
    for event in events {
        stage.servers.event(&mut stage.transport, &mut stage.exchanges, stage.now, event);
    }
    assert_eq!(stage.fate(first), AttemptOutcome::Fulfilled);
    assert_eq!(stage.given(first), Some(b"one".to_vec()));
    stage.exchanges.leave(second);
    stage.pass(1000);
    stage.timers();
    assert_eq!(stage.fate(second), AttemptOutcome::NotSent);
    assert!(is_silent(&mut cache), "the idle connection was ended");
    stage.read();
    assert!(!stage.knocks());
    assert!(head(&mut cache).expect("a message").starts_with("GET /read/k3 "));
    assert!(is_silent(&mut beside));
}

/// The two are told in one turn, the list first.
#[test]
fn nothing_goes_out_when_a_connection_comes_up_to_a_cache_that_the_list_has_dropped() {
    let mut stage = Stage::new();
    let call = stage.read();
    let mut cache = stage.accept();
    let events = stage.some_events();
    stage.list(false);
    for event in events {
        stage.servers.event(&mut stage.transport, &mut stage.exchanges, stage.now, event);
    }
    assert_eq!(stage.fate(call), AttemptOutcome::NotSent);
    assert_eq!(head(&mut cache), None);
}

/// The copy stands on the wire before the next call's own answer, however soon that one follows.
#[test]
fn a_late_second_copy_is_not_given_to_the_next_call() {
    for apart in [true, false] {
        let mut stage = Stage::new();
        let mut cache = stage.has_served();
        let first = stage.read();
        head(&mut cache).expect("a message");
        write(&mut cache, &answer("one"));
        assert_eq!(stage.fate(first), AttemptOutcome::Fulfilled);
        assert_eq!(stage.given(first), Some(b"one".to_vec()));
        // Its only connection, and it hasn't rested.
        stage.pass(1);
        let second = stage.read();
        head(&mut cache).expect("a message");
        if apart {
            write(&mut cache, &answer("one"));
            stage.sees_a_copy();
            stage.pass(3);
            write(&mut cache, &answer("two"));
        } else {
            write(&mut cache, &format!("{}{}", answer("one"), answer("two")));
        }
        assert_eq!(stage.fate(second), AttemptOutcome::Fulfilled);
        assert_eq!(stage.given(second), Some(b"two".to_vec()));
    }
}

/// Not only of the answer just before: the connection may have carried more calls by then.
#[test]
fn a_second_copy_is_told_after_another_call_has_gone_over_its_connection() {
    let mut stage = Stage::new();
    let mut cache = stage.has_served();
    for body in ["one", "two", "three"] {
        let call = stage.read();
        head(&mut cache).expect("a message");
        if body == "three" {
            write(&mut cache, &answer("one"));
        }
        write(&mut cache, &answer(body));
        assert_eq!(stage.fate(call), AttemptOutcome::Fulfilled);
        assert_eq!(stage.given(call), Some(body.into()));
        stage.pass(2);
    }
}

/// Where a cache's answers are alike by nature, one call is sent on for it, and those after it are served at once.
#[test]
fn answers_that_are_alike_cost_one_more_attempt_and_no_more() {
    let mut stage = Stage::new();
    let mut cache = stage.has_served();
    let first = stage.read();
    head(&mut cache).expect("a message");
    write(&mut cache, &answer("ok"));
    assert_eq!(stage.fate(first), AttemptOutcome::Fulfilled);
    assert_eq!(stage.given(first), Some(b"ok".to_vec()));
    let second = stage.read();
    head(&mut cache).expect("a message");
    write(&mut cache, &answer("ok"));
    stage.sees_a_copy();
    stage.pass(300);
    assert_eq!(stage.fate(second), AttemptOutcome::Errored);
    assert_eq!(stage.given(second), None);
    let third = stage.read();
    let mut cache = stage.accept();
    stage.turn();
    head(&mut cache).expect("a message");
    write(&mut cache, &answer("ok"));
    assert_eq!(stage.fate(third), AttemptOutcome::Fulfilled);
    assert_eq!(stage.given(third), Some(b"ok".to_vec()));
    stage.pass(30);
    let fourth = stage.read();
    head(&mut cache).expect("a message");
    write(&mut cache, &answer("ok"));
    assert_eq!(stage.fate(fourth), AttemptOutcome::Fulfilled);
    assert_eq!(stage.given(fourth), Some(b"ok".to_vec()));
}

/// Where each write is answered by the same word, none of them waits, whatever reads are answered.
#[test]
fn answers_that_never_differed_are_served_at_once() {
    let mut stage = Stage::new();
    let mut cache = stage.has_served();
    for _ in 0..6 {
        let (call, _) = stage.send("PUT", b"value".to_vec());
        head(&mut cache).expect("a message");
        cache.read_exact(&mut [0; 5]).expect("a body");
        write(&mut cache, &answer("ok"));
        assert_eq!(stage.fate(call), AttemptOutcome::Fulfilled);
        assert_eq!(stage.given(call), Some(b"ok".to_vec()));
    }
}

/// Nothing is written to a connection whose end has come, so that what can't run twice may go elsewhere.
#[test]
fn a_call_is_not_written_to_a_connection_that_its_cache_has_ended() {
    let mut stage = Stage::new();
    let (call, _) = stage.send("PUT", b"value".to_vec());
    drop(stage.accept());
    assert_eq!(stage.fate(call), AttemptOutcome::Unreachable);

    // Nor the rest of one that was begun.
    let mut stage = Stage::new();
    let (call, _) = stage.send("PUT", vec![b'v'; 16 << 20]);
    let cache = stage.accept();
    stage.turn();
    rustix::net::shutdown(&cache, rustix::net::Shutdown::Write).expect("a connection");
    assert_eq!(stage.fate(call), AttemptOutcome::Unreachable);
}

/// An answer that was there before the message was written, and one that came before its last byte: neither was made for it.
#[test]
fn what_a_cache_says_before_it_has_the_whole_call_serves_nobody() {
    let mut stage = Stage::new();
    let call = stage.read();
    let mut cache = stage.accept();
    write(&mut cache, &answer("stale"));
    assert_eq!(stage.fate(call), AttemptOutcome::Unreachable);
    assert_eq!(stage.given(call), None);
    assert_eq!(head(&mut cache), None);

    let mut stage = Stage::new();
    let (call, _) = stage.send("PUT", vec![b'v'; 16 << 20]);
    let mut cache = stage.accept();
    stage.turn();
    head(&mut cache).expect("a message");
    write(&mut cache, &answer("stale"));
    assert_eq!(stage.fate(call), AttemptOutcome::Unreachable);
    assert_eq!(stage.given(call), None);

    // Nor one whose first bytes came before, and the rest after: it may have run by then.
    let mut stage = Stage::new();
    let (call, _) = stage.send("PUT", vec![b'v'; 16 << 20]);
    let mut cache = stage.accept();
    stage.turn();
    head(&mut cache).expect("a message");
    let stale = answer("stale");
    write(&mut cache, &stale[..20]);
    stage.reads();
    let cache = std::thread::spawn(move || {
        cache.read_exact(&mut vec![0; 16 << 20]).expect("a body");
        write(&mut cache, &stale[20..]);
        cache
    });
    assert_eq!(stage.fate(call), AttemptOutcome::Errored);
    assert_eq!(stage.given(call), None);
    drop(cache.join());
}

/// Interim answers are no answers, and may come at any time.
#[test]
fn a_call_may_be_told_to_go_on_before_it_is_written() {
    let mut stage = Stage::new();
    let (call, _) = stage.send("PUT", vec![b'v'; 16 << 20]);
    let mut cache = stage.accept();
    stage.turn();
    head(&mut cache).expect("a message");
    write(&mut cache, "HTTP/1.1 100 Continue\r\n\r\n");
    stage.reads();
    let cache = std::thread::spawn(move || {
        cache.read_exact(&mut vec![0; 16 << 20]).expect("a body");
        write(&mut cache, &answer("done"));
        cache
    });
    assert_eq!(stage.fate(call), AttemptOutcome::Fulfilled);
    assert_eq!(stage.given(call), Some(b"done".to_vec()));
    drop(cache.join());
}

/// That it is turned away may well be said before: nothing has run then.
#[test]
fn a_call_may_be_turned_away_before_it_is_written() {
    let mut stage = Stage::new();
    let call = stage.read();
    let mut cache = stage.accept();
    write(&mut cache, "HTTP/1.1 503 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(stage.fate(call), AttemptOutcome::Rejected);
    assert_eq!(head(&mut cache), None);
}

/// Only an orderly end is the end of an answer without a length, and none is that of one that tells its length.
#[test]
fn a_reset_or_an_early_end_makes_no_answer_whole() {
    let start = "HTTP/1.1 200 OK\r\n";
    let cases = [
        ("\r\nall", false, AttemptOutcome::Fulfilled),
        ("\r\nall", true, AttemptOutcome::Reset),
        ("\r\n", true, AttemptOutcome::Reset),
        ("Content-Length: 4\r\n\r\nall", false, AttemptOutcome::Reset),
        ("Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n", false, AttemptOutcome::Reset),
        ("Transfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n", false, AttemptOutcome::Reset),
        ("Content-Le", false, AttemptOutcome::Reset),
    ];
    for (rest, torn, expected) in cases {
        let mut stage = Stage::new();
        let call = stage.read();
        let mut cache = stage.accept();
        stage.turn();
        head(&mut cache).expect("a message");
        write(&mut cache, &format!("{start}{rest}"));
        stage.turn();
        if torn {
            tear(cache);
        } else {
            drop(cache);
        }
        assert_eq!(stage.fate(call), expected, "{rest:?}, torn: {torn}");
        let served = expected == AttemptOutcome::Fulfilled;
        assert_eq!(stage.given(call), served.then_some(b"all".to_vec()), "{rest:?}, torn: {torn}");
    }
}

#[test]
fn a_repeat_goes_out_in_its_time_or_not_at_all() {
    for in_time in [true, false] {
        let mut stage = Stage::new();
        let (call, _) = stage.send_within(Span::from_millis(200), "PUT", b"v".to_vec());
        let mut cache = stage.accept();
        stage.pass(if in_time { 199 } else { 200 });
        if in_time {
            stage.turn();
            assert!(head(&mut cache).expect("a message").starts_with("PUT "));
        } else {
            // Its connection's coming up and the end of its time are seen in one turn.
            assert_eq!(stage.fate(call), AttemptOutcome::NotSent);
            assert!(is_silent(&mut cache));
        }
    }
}

#[test]
fn a_repeat_whose_connection_does_not_come_up_in_its_time_is_let_go() {
    let mut stage = Stage::new();
    let (call, _) = stage.send_within(Span::from_millis(200), "PUT", b"v".to_vec());
    stage.pass(200);
    stage.timers();
    let ended = stage.exchanges.next_ended().expect("it has ended");
    assert_eq!((ended.call, ended.end.outcome), (call, AttemptOutcome::NotSent));
    // Its connection stays for the next call.
    let mut cache = stage.accept();
    stage.turn();
    assert!(is_silent(&mut cache));
}

#[test]
fn connections_to_caches_leave_room_for_the_list() {
    let mut stage = Stage::new();
    stage.transport.set_most(5);
    for _ in 0..3 {
        stage.read();
    }
    assert_eq!(stage.transport.room(), 2);
    let refused = stage.read();
    assert_eq!(stage.fate(refused), AttemptOutcome::NotSent);
    assert_eq!(stage.transport.room(), 2);
}
