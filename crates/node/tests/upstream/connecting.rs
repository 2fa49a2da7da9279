//! Attempts that wait for their connection, and connections whose attempt has ended.

use granitelb_balancer::time::Span;
use granitelb_balancer::{AttemptOutcome, LocalReply};
use granitelb_node::proxy::FinalResponse;
use test_case::test_case;

use crate::fixture::{Fixture, is_silent, read_head, response, write};

/// The remaining time that a request states in its `X-Timeout-Ms` header, in milliseconds.
fn timeout_ms(head: &str) -> u64 {
    let value = head.lines().find_map(|line| line.strip_prefix("X-Timeout-Ms: "));
    value.expect("an X-Timeout-Ms header").parse().expect("a number of milliseconds")
}

/// Connecting takes 700 ms of the request's 1200 ms. If the request stated its whole timeout, the endpoint
/// would work on it after the node has stopped waiting.
#[test]
fn request_carries_the_time_left_when_its_connection_is_established() {
    let mut fixture = Fixture::new();
    fixture.send_read();
    let mut stream = fixture.accept();
    fixture.advance_ms(700);
    fixture.run_turn();
    assert_eq!(timeout_ms(&read_head(&mut stream).expect("a request")), 500);
}

#[test]
fn request_is_not_sent_on_a_connection_established_at_its_deadline() {
    let mut fixture = Fixture::new();
    let request = fixture.send_read();
    let mut stream = fixture.accept();
    fixture.advance_ms(1200);
    // In one turn, the node handles first the event that the connection is established and then the deadline.
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::TimedOut);
    assert!(is_silent(&mut stream));
}

#[test]
fn connection_established_after_client_disconnect_serves_the_next_request() {
    let mut fixture = Fixture::new();
    let disconnected = fixture.send_read();
    let mut stream = fixture.accept();
    fixture.requests.on_client_disconnect(disconnected);
    assert_eq!(fixture.wait_for_outcome(disconnected), AttemptOutcome::NotSent);
    assert!(is_silent(&mut stream));
    fixture.advance_ms(100);
    fixture.send_read();
    assert!(!fixture.has_unaccepted_connection());
    assert!(read_head(&mut stream).expect("a request").starts_with("GET /read/k2 "));
}

#[test]
fn connection_of_attempt_cancelled_before_it_was_sent_serves_the_next_request() {
    let mut fixture = Fixture::new();
    let (request, number) = fixture.send("GET", Vec::new());
    let mut stream = fixture.accept();
    fixture.cancel(request, number);
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Cancelled);
    fixture.run_turn();
    fixture.advance_ms(100);
    fixture.send_read();
    assert!(!fixture.has_unaccepted_connection());
    assert!(read_head(&mut stream).expect("a request").starts_with("GET /read/k2 "));
}

/// An attempt waits for a delayed connection, and its client disconnects. If the attempt moved to an idle
/// connection of the endpoint, that connection would be closed together with the attempt.
#[test]
fn delayed_connection_of_disconnected_client_closes_no_other() {
    let mut fixture = Fixture::new();
    let first = fixture.send_read();
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    let events = fixture.poll_events();
    assert!(events.is_empty(), "{events:?}");
    write(&mut stream, &response("one"));
    // The second attempt is sent while the first is in flight. The node does not handle the event that the
    // second connection is established.
    let events = fixture.wait_for_events();
    let second = fixture.send_read();
    let mut second_stream = fixture.accept();
    fixture.handle_events(events);
    assert_eq!(fixture.wait_for_outcome(first), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(first), Some(b"one".to_vec()));
    fixture.requests.on_client_disconnect(second);
    fixture.advance_ms(1000);
    fixture.run_timers();
    assert_eq!(fixture.wait_for_outcome(second), AttemptOutcome::NotSent);
    assert!(is_silent(&mut stream), "the idle connection was closed");
    fixture.send_read();
    assert!(!fixture.has_unaccepted_connection());
    assert!(read_head(&mut stream).expect("a request").starts_with("GET /read/k3 "));
    assert!(is_silent(&mut second_stream));
}

/// In one turn, the node handles first the endpoint list without the endpoint and then the event that the
/// connection is established.
#[test]
fn request_is_not_sent_on_a_connection_established_after_its_endpoint_was_removed() {
    let mut fixture = Fixture::new();
    let request = fixture.send_read();
    let mut stream = fixture.accept();
    let events = fixture.wait_for_events();
    fixture.set_listed(false);
    fixture.handle_events(events);
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::NotSent);
    assert_eq!(read_head(&mut stream), None);
}

/// After the start deadline, an endpoint no longer recognizes a repeated write as a repeat and would execute
/// it twice.
#[test]
fn repeated_write_is_sent_before_its_start_deadline_or_not_at_all() {
    for is_in_time in [true, false] {
        let mut fixture = Fixture::new();
        let (request, _) = fixture.send_within(Span::from_millis(200), "PUT", b"v".to_vec());
        let mut stream = fixture.accept();
        fixture.advance_ms(if is_in_time { 199 } else { 200 });
        if is_in_time {
            fixture.run_turn();
            assert!(read_head(&mut stream).expect("a request").starts_with("PUT "));
        } else {
            // In one turn, the node handles the event that the connection is established and the start
            // deadline.
            assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::NotSent);
            assert!(is_silent(&mut stream));
        }
    }
}

#[test]
fn repeated_write_is_released_when_its_connection_is_not_established_in_time() {
    let mut fixture = Fixture::new();
    let (request, _) = fixture.send_within(Span::from_millis(200), "PUT", b"v".to_vec());
    fixture.advance_ms(200);
    fixture.run_timers();
    let finished = fixture.requests.poll_finished_attempt().expect("the attempt has ended");
    assert_eq!(finished.request, request);
    assert_eq!(finished.result.outcome, AttemptOutcome::NotSent);
    // The connection stays open for the next request.
    let mut stream = fixture.accept();
    fixture.run_turn();
    assert!(is_silent(&mut stream));
}

/// Attempts at unresponsive endpoints could take all descriptors. Without a descriptor for the watch on the
/// endpoint list, the node would miss that an endpoint drains.
#[test]
fn connections_to_endpoints_leave_descriptors_for_the_watch() {
    let mut fixture = Fixture::new();
    fixture.transport.set_max_connections(5);
    for _ in 0..3 {
        fixture.send_read();
    }
    assert_eq!(fixture.transport.available_connections(), 2);
    let refused = fixture.send_read();
    assert_eq!(fixture.wait_for_outcome(refused), AttemptOutcome::NotSent);
    assert_eq!(fixture.transport.available_connections(), 2);
}

/// Guards against an attempt that begins although its client may have disconnected: the client has sent faster
/// than the node reads for 0.1 s, and the end of its connection may stand behind what is unread.
#[test_case(99, true)]
#[test_case(100, false)]
fn attempt_begins_only_if_input_of_client_was_read_recently(unread_ms: u64, begins: bool) {
    let mut fixture = Fixture::new();
    let request = fixture.send_read();
    fixture.requests.set_client_unread_since(request, Some(fixture.now()));
    fixture.advance_ms(unread_ms);
    let mut stream = fixture.accept();
    fixture.run_turn();
    assert_eq!(fixture.requests.is_pending(request), begins);
    if begins {
        read_head(&mut stream).expect("a request");
        return;
    }
    assert!(is_silent(&mut stream));
    let response = fixture.requests.poll_response().map(|undelivered| undelivered.response);
    assert!(matches!(response, Some(FinalResponse::Local(LocalReply::Errored))));
    // The end of the attempt is reported, so that the balancer counts it no longer.
    assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::NotSent);
}
