//! Responses that arrive a second time: no request gets a response that was made for another one, whatever the
//! responses contain.

use std::io::Write;
use std::net::TcpStream;

use granitelb_balancer::AttemptOutcome;
use granitelb_balancer::ids::RequestId;
use granitelb_balancer::time::Span;
use proptest::prelude::*;
use test_case::test_matrix;

use crate::fixture::{Fixture, read_head, response, write};

const REJECTED: &str = "HTTP/1.1 503 Service Unavailable\r\nx-not-processed: 1\r\nContent-Length: 0\r\n\r\n";
const CACHE_MISS: &str = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
const SERVED: &str = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none";
/// The time in which a duplicate of a response arrives, in milliseconds.
const DUPLICATE_WINDOW_MS: u64 = 100;
/// The same before a request that must not be executed twice.
const DUPLICATE_WINDOW_NON_IDEMPOTENT_MS: u64 = 250;

/// Whether a request may be executed twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Idempotent,
    NonIdempotent,
}

impl Effect {
    fn window_ms(self) -> u64 {
        match self {
            Effect::Idempotent => DUPLICATE_WINDOW_MS,
            Effect::NonIdempotent => DUPLICATE_WINDOW_NON_IDEMPOTENT_MS,
        }
    }
}

/// A connection that has just delivered a response.
fn answer_first(fixture: &mut Fixture, answer: &str) -> TcpStream {
    let request = fixture.send_read();
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    write(&mut stream, answer);
    fixture.wait_for_outcome(request);
    fixture.requests.poll_response();
    stream
}

fn send_with_effect(fixture: &mut Fixture, effect: Effect) -> RequestId {
    match effect {
        Effect::Idempotent => fixture.send_read(),
        Effect::NonIdempotent => fixture.send_non_idempotent(),
    }
}

/// Guards against a request that is sent where a duplicate of an earlier response may still arrive, which it
/// would get as its own response: a read would get another key's value, and a request that must not be executed
/// twice would be sent again after the duplicate of a rejection or miss.
#[test_matrix([SERVED, CACHE_MISS, REJECTED], [Effect::Idempotent, Effect::NonIdempotent])]
fn request_is_not_sent_where_a_duplicate_may_arrive(answer: &str, effect: Effect) {
    let mut fixture = Fixture::new();
    let mut stream = answer_first(&mut fixture, answer);
    fixture.advance_ms(effect.window_ms() - 1);
    let request = send_with_effect(&mut fixture, effect);
    let mut other = fixture.accept();
    fixture.run_turn();
    read_head(&mut other).expect("a request");
    write(&mut stream, answer);
    write(&mut other, &response("own"));
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(request), Some(b"own".to_vec()));
    // The connection on which the duplicate arrived is closed.
    assert_eq!(read_head(&mut stream), None);
}

/// Once no duplicate can arrive any more, the connection carries the next request.
#[test_matrix([SERVED, CACHE_MISS, REJECTED], [Effect::Idempotent, Effect::NonIdempotent])]
fn connection_without_a_duplicate_carries_requests_again(answer: &str, effect: Effect) {
    let mut fixture = Fixture::new();
    let mut stream = answer_first(&mut fixture, answer);
    fixture.advance_ms(effect.window_ms());
    let request = send_with_effect(&mut fixture, effect);
    assert!(!fixture.has_unaccepted_connection());
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("own"));
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(request), Some(b"own".to_vec()));
}

/// A duplicate ends its connection, whether it arrives with the original, later, or only in part.
#[test_matrix([SERVED, CACHE_MISS, REJECTED], [0, 1, 99], [usize::MAX, 9])]
fn duplicate_ends_its_connection(answer: &str, late_ms: u64, bytes: usize) {
    let mut fixture = Fixture::new();
    let duplicate = &answer[..bytes.min(answer.len())];
    let mut stream = if late_ms == 0 {
        answer_first(&mut fixture, &format!("{answer}{duplicate}"))
    } else {
        let mut stream = answer_first(&mut fixture, answer);
        fixture.advance_ms(late_ms);
        write(&mut stream, duplicate);
        fixture.run_turn();
        stream
    };
    assert_eq!(read_head(&mut stream), None);
    fixture.advance_ms(DUPLICATE_WINDOW_NON_IDEMPOTENT_MS);
    fixture.send_read();
    assert!(fixture.has_unaccepted_connection());
}

/// The node was held up while the duplicate arrived: it has not read the duplicate when the next request is due.
#[test_matrix([SERVED, CACHE_MISS, REJECTED], [Effect::Idempotent, Effect::NonIdempotent])]
fn unread_duplicate_is_noticed_before_the_next_request(answer: &str, effect: Effect) {
    let mut fixture = Fixture::new();
    let mut stream = answer_first(&mut fixture, answer);
    write(&mut stream, answer);
    fixture.advance_ms(1000);
    let request = send_with_effect(&mut fixture, effect);
    let mut other = fixture.accept();
    fixture.run_turn();
    read_head(&mut other).expect("a request");
    write(&mut other, &response("own"));
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(request), Some(b"own".to_vec()));
}

/// Guards against a rest that is counted from before the response: the node is held up between reading its clock
/// and reading the response.
#[test_matrix([Effect::Idempotent, Effect::NonIdempotent])]
fn connection_rests_from_the_end_of_the_turn(effect: Effect) {
    let mut fixture = Fixture::new();
    fixture.held_up = Span::from_millis(150);
    answer_first(&mut fixture, SERVED);
    fixture.held_up = Span::ZERO;
    fixture.advance_ms(effect.window_ms() - 1);
    send_with_effect(&mut fixture, effect);
    assert!(fixture.has_unaccepted_connection());
}

/// Responses that are equal from request to request, as where each write gets the same response body, are taken
/// for what they are: none costs another attempt.
#[test]
fn equal_responses_are_served_at_once() {
    let mut fixture = Fixture::new();
    let mut stream = answer_first(&mut fixture, &response("ok"));
    for _ in 0..6 {
        fixture.advance_ms(DUPLICATE_WINDOW_MS);
        let request = fixture.send_read();
        read_head(&mut stream).expect("a request");
        write(&mut stream, &response("ok"));
        assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(request), Some(b"ok".to_vec()));
    }
}

/// A duplicate that is later than the window cannot be distinguished from a response. It reaches one request, and
/// no further one if the response to that request arrives within the window: it arrives on an idle connection
/// and ends it.
#[test]
fn duplicate_after_the_window_shifts_no_further_responses() {
    let mut fixture = Fixture::new();
    let mut stream = answer_first(&mut fixture, SERVED);
    fixture.advance_ms(DUPLICATE_WINDOW_MS);
    let request = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, SERVED);
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
    fixture.requests.poll_response();
    write(&mut stream, &response("own"));
    fixture.run_turn();
    assert_eq!(read_head(&mut stream), None);
}

#[derive(Clone, Copy, Debug)]
enum Answer {
    Served,
    CacheMiss,
    Rejected,
}

/// A request, its response, and what follows.
#[derive(Clone, Debug)]
struct Exchange {
    effect: Effect,
    answer: Answer,
    /// How long the endpoint works on the request, in milliseconds.
    work_ms: u64,
    /// How late the response arrives a second time, if it does, in milliseconds.
    duplicate_after_ms: Option<u64>,
    /// The time from the response to the next request, in milliseconds.
    pause_ms: u64,
}

fn exchange() -> impl Strategy<Value = Exchange> {
    let effect = prop_oneof![Just(Effect::Idempotent), Just(Effect::NonIdempotent)];
    let answer = prop_oneof![Just(Answer::Served), Just(Answer::CacheMiss), Just(Answer::Rejected)];
    let duplicate = prop::option::of(1..DUPLICATE_WINDOW_MS);
    let pause = prop_oneof![0..20u64, 80..120u64, 240..300u64];
    (effect, answer, 0..60u64, duplicate, pause).prop_map(
        |(effect, answer, work_ms, duplicate_after_ms, pause_ms)| Exchange {
            effect,
            answer,
            work_ms,
            duplicate_after_ms,
            pause_ms,
        },
    )
}

/// The endpoint's side of the drawn exchanges.
struct Endpoint {
    fixture: Fixture,
    streams: Vec<TcpStream>,
    /// The duplicates that are still to be sent: when, on which connection, and their text.
    duplicates: Vec<(u64, usize, String)>,
    now_ms: u64,
}

impl Endpoint {
    /// Lets time pass. Duplicates are sent when they are due.
    fn advance_to(&mut self, until_ms: u64) {
        self.duplicates.sort();
        while self.duplicates.first().is_some_and(|(due_ms, _, _)| *due_ms <= until_ms) {
            let (due_ms, stream, text) = self.duplicates.remove(0);
            self.set_time(due_ms);
            // The node may have closed the connection.
            let _ = self.streams[stream].write_all(text.as_bytes());
            self.fixture.run_turn();
        }
        self.set_time(until_ms);
    }

    fn set_time(&mut self, now_ms: u64) {
        self.fixture.advance_ms(now_ms.saturating_sub(self.now_ms));
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// The connection on which the next request arrives.
    fn receive_request(&mut self) -> usize {
        self.fixture.run_turn();
        if let Some(stream) = self.fixture.accept_if_connected() {
            self.streams.push(stream);
            self.fixture.run_turn();
        }
        let index = self.streams.iter().rposition(has_input).expect("a connection with a request");
        read_head(&mut self.streams[index]).expect("a request");
        index
    }

    fn play(&mut self, number: usize, exchange: &Exchange) {
        let request = send_with_effect(&mut self.fixture, exchange.effect);
        let index = self.receive_request();
        self.advance_to(self.now_ms + exchange.work_ms);
        let own = format!("own-{number}");
        let (text, outcome) = match exchange.answer {
            Answer::Served => (response(&own), AttemptOutcome::Fulfilled),
            Answer::CacheMiss => (CACHE_MISS.to_string(), AttemptOutcome::CacheMiss),
            Answer::Rejected => (REJECTED.to_string(), AttemptOutcome::Rejected),
        };
        write(&mut self.streams[index], &text);
        assert_eq!(self.fixture.wait_for_outcome(request), outcome);
        let body = self.fixture.poll_final_response(request);
        assert_eq!(body, (outcome == AttemptOutcome::Fulfilled).then(|| own.into_bytes()));
        if let Some(after_ms) = exchange.duplicate_after_ms {
            self.duplicates.push((self.now_ms + after_ms, index, text));
        }
        self.advance_to(self.now_ms + exchange.pause_ms);
    }
}

/// Whether the node has sent something that was not read.
fn has_input(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a socket");
    let peeked = stream.peek(&mut [0; 1]);
    stream.set_nonblocking(false).expect("a socket");
    peeked.is_ok_and(|count| count > 0)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Guards against a response that reaches a request for which it was not made, in any order of requests,
    /// responses and their duplicates within the window.
    #[test]
    fn each_request_gets_its_own_response(exchanges in prop::collection::vec(exchange(), 2..10)) {
        let fixture = Fixture::new();
        let mut endpoint = Endpoint { fixture, streams: Vec::new(), duplicates: Vec::new(), now_ms: 0 };
        for (number, exchange) in exchanges.iter().enumerate() {
            endpoint.play(number, exchange);
        }
    }
}
