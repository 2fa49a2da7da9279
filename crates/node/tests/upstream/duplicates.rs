//! Duplicate responses, and responses that are equal from request to request.

use std::io::Read;

use granitelb_balancer::AttemptOutcome;

use crate::fixture::{Fixture, read_head, response, write};
use test_case::test_case;

/// A duplicate of the first response arrives before the response to the second request, either in the same
/// packet or 3 ms earlier. The second client must not get the duplicate.
#[test]
fn late_duplicate_is_not_given_to_the_next_request() {
    for is_apart in [true, false] {
        let mut fixture = Fixture::new();
        let mut stream = fixture.connection_with_varied_responses();
        let first = fixture.send_read();
        read_head(&mut stream).expect("a request");
        write(&mut stream, &response("one"));
        assert_eq!(fixture.wait_for_outcome(first), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(first), Some(b"one".to_vec()));
        // The second request has no other connection, though this one was idle only for a moment.
        fixture.advance_ms(1);
        let second = fixture.send_read();
        read_head(&mut stream).expect("a request");
        if is_apart {
            write(&mut stream, &response("one"));
            fixture.wait_for_duplicate();
            fixture.advance_ms(3);
            write(&mut stream, &response("two"));
        } else {
            write(&mut stream, &format!("{}{}", response("one"), response("two")));
        }
        assert_eq!(fixture.wait_for_outcome(second), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(second), Some(b"two".to_vec()));
    }
}

/// The duplicate need not follow its original directly: the connection may have carried more requests before
/// the duplicate arrives.
#[test]
fn duplicate_is_detected_after_another_request_on_its_connection() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    for body in ["one", "two", "three"] {
        let request = fixture.send_read();
        read_head(&mut stream).expect("a request");
        if body == "three" {
            write(&mut stream, &response("one"));
        }
        write(&mut stream, &response(body));
        assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(request), Some(body.into()));
        fixture.advance_ms(2);
    }
}

/// Where an endpoint's responses are equal from request to request, the second response is taken for a
/// duplicate and one request needs another attempt. Later requests are served at once.
#[test]
fn uniform_responses_cost_one_more_attempt_and_no_more() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    let first = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    assert_eq!(fixture.wait_for_outcome(first), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(first), Some(b"ok".to_vec()));
    let second = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    fixture.wait_for_duplicate();
    fixture.advance_ms(300);
    assert_eq!(fixture.wait_for_outcome(second), AttemptOutcome::Errored);
    assert_eq!(fixture.poll_final_response(second), None);
    let third = fixture.send_read();
    let mut stream = fixture.accept();
    fixture.run_turn();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    assert_eq!(fixture.wait_for_outcome(third), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(third), Some(b"ok".to_vec()));
    fixture.advance_ms(30);
    let fourth = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("ok"));
    assert_eq!(fixture.wait_for_outcome(fourth), AttemptOutcome::Fulfilled);
    assert_eq!(fixture.poll_final_response(fourth), Some(b"ok".to_vec()));
}

/// Where each write gets the same response body, no write waits for another response, although the responses
/// to reads differ.
#[test]
fn responses_that_never_differed_are_served_at_once() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    for _ in 0..6 {
        let (request, _) = fixture.send("PUT", b"value".to_vec());
        read_head(&mut stream).expect("a request");
        stream.read_exact(&mut [0; 5]).expect("a body");
        write(&mut stream, &response("ok"));
        assert_eq!(fixture.wait_for_outcome(request), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(request), Some(b"ok".to_vec()));
    }
}

/// An endpoint rejects a request, and its 503 response arrives a second time, some milliseconds late. A
/// request that must not be executed twice, sent on that connection in between, would get the duplicate as
/// its response: the duplicate says that nothing was executed, so the request would be sent again although
/// the endpoint executes it. Nothing distinguishes the duplicate from a response to that request. Hence the
/// connection carries no such request while a duplicate may arrive. The same holds for the 404 response of a
/// cache miss, also with another response in between.
#[test_case("HTTP/1.1 503 Service Unavailable\r\nx-not-processed: 1\r\nContent-Length: 0\r\n\r\n", 503; "rejected")]
#[test_case("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", 404; "cache miss")]
fn late_duplicate_of_a_not_executed_response_reaches_no_non_idempotent_request(
    not_executed: &str,
    status: u16,
) {
    for responses_between in [0, 1] {
        let mut fixture = Fixture::new();
        let mut stream = fixture.connection_with_varied_responses();
        let first = fixture.send_read();
        read_head(&mut stream).expect("a request");
        write(&mut stream, not_executed);
        let outcome = if status == 404 { AttemptOutcome::CacheMiss } else { AttemptOutcome::Rejected };
        assert_eq!(fixture.wait_for_outcome(first), outcome);
        for _ in 0..responses_between {
            fixture.advance_ms(25);
            let read = fixture.send_read();
            read_head(&mut stream).expect("a request");
            write(&mut stream, &response("between"));
            assert_eq!(fixture.wait_for_outcome(read), AttemptOutcome::Fulfilled);
            fixture.poll_final_response(read);
        }
        fixture.advance_ms(30);
        let non_idempotent = fixture.send_non_idempotent();
        let mut other = fixture.accept();
        fixture.run_turn();
        read_head(&mut other).expect("a request");
        write(&mut stream, not_executed);
        write(&mut other, &response("done"));
        assert_eq!(fixture.wait_for_outcome(non_idempotent), AttemptOutcome::Fulfilled);
        assert_eq!(fixture.poll_final_response(non_idempotent), Some(b"done".to_vec()));
    }
}

/// After a response which says that nothing was executed, the connection carries requests that may be
/// executed twice at once, and all requests once no duplicate can arrive any more.
#[test]
fn connection_after_a_not_executed_response_serves_reads_at_once_and_all_requests_later() {
    let mut fixture = Fixture::new();
    let mut stream = fixture.connection_with_varied_responses();
    let missed = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(fixture.wait_for_outcome(missed), AttemptOutcome::CacheMiss);
    fixture.advance_ms(30);
    let read = fixture.send_read();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("read"));
    assert_eq!(fixture.wait_for_outcome(read), AttemptOutcome::Fulfilled);
    fixture.poll_final_response(read);
    fixture.advance_ms(250);
    let non_idempotent = fixture.send_non_idempotent();
    read_head(&mut stream).expect("a request");
    write(&mut stream, &response("done"));
    assert_eq!(fixture.wait_for_outcome(non_idempotent), AttemptOutcome::Fulfilled);
}
